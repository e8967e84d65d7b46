#!/usr/bin/env bash
# Builds the project's store stand-in and the programs of the cases. Run it
# after the build of the deploy file, from anywhere.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B review/build -G Ninja -DCMAKE_BUILD_TYPE=Release \
  -DBERYLLANE_BUILD_TESTS=OFF -DBERYLLANE_BUILD_BENCH=OFF >/dev/null
ninja -C review/build beryllane-store-standin
mkdir -p review/build/cases
for source in review/*/case.cxx; do
  name=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -Wall -I. -o "review/build/cases/case-$name" "$source" -pthread
done
