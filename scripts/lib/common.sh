# Shared by the scripts: paths, packages and the build.
set -euo pipefail
ROOT=$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)
cd "$ROOT"

PACKAGES="libboost1.81-dev libnng-dev libabsl-dev libspdlog-dev
  librapidcheck-dev libtomlplusplus-dev nlohmann-json3-dev libxxhash-dev libssl-dev
  libbenchmark-dev libgtest-dev libclang-rt-14-dev ninja-build ccache
  cmake g++ clang-format-14 clang-tidy-14 curl jq"

# Lets the compiler's cache serve any checkout of the same sources.
export CCACHE_BASEDIR=$ROOT CCACHE_NOHASHDIR=true

# Installs what is missing. Needs root only where something is missing.
install_packages() {
  local missing=()
  for package in $PACKAGES; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null |
      grep -q 'install ok installed' || missing+=("$package")
  done
  [ ${#missing[@]} -eq 0 ] && return
  echo "installing ${missing[*]}"
  apt-get update -qq
  DEBIAN_FRONTEND=noninteractive apt-get install -y -qq "${missing[@]}" >/dev/null
}

# configure DIRECTORY [CMAKE ARGUMENTS]
configure() {
  local directory=$1
  shift
  cmake -S . -B "$directory" -G Ninja "$@" >/dev/null
}
