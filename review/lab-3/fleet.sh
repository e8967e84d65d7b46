# A small deployment on loopback addresses: a store, routers, runners. To be
# sourced by a case's run.sh from its own folder. Only processes started here
# are ended, by their ids.
set -u
CASE_DIR=$(cd "$(dirname "${BASH_SOURCE[1]}")" && pwd)
ROOT=$(cd "$CASE_DIR/../.." && pwd)
LAB=$ROOT/target/review-3
STANDINS=$ROOT/target/review-3/standins
TROUBLE=${TROUBLE:-1}
RECORD=$CASE_DIR/record.txt
: >"$RECORD"
cd "$ROOT" || exit 2
# Addresses of this run: 127.N.M.x
NET=127.$((20 + RANDOM % 200)).$((1 + RANDOM % 250))
WORK=$(mktemp -d)
PIDS=()
STORE=$NET.1:8784
STORE_CONTROL=$NET.1:8785
ZONES=(akl-a wlg-a chc-a)
REGIONS=(auckland wellington christchurch)

cannot_run() {
  echo "cannot run: $*" >&2
  exit 2
}
end_all() {
  local pid
  for pid in "${PIDS[@]}"; do kill -KILL "$pid" 2>/dev/null; done
  for pid in "${PIDS[@]}"; do wait "$pid" 2>/dev/null; done
  sort -n -o "$RECORD" "$RECORD"
  rm -rf "$WORK"
}
trap end_all EXIT

now_ms() { "$LAB/clock"; }
note() { echo "$(now_ms) $*" >>"$RECORD"; }

put() { # TOPIC KEY VALUE
  "$LAB/put" "$STORE_CONTROL" \
    "{\"put\":{\"topic\":\"$1\",\"key\":\"$2\",\"value\":$3}}" >/dev/null
}

drop() { # TOPIC KEY
  "$LAB/put" "$STORE_CONTROL" \
    "{\"drop\":{\"topic\":\"$1\",\"key\":\"$2\"}}" >/dev/null
}

start_store() {
  "$STANDINS/beryllane-store-standin" --listen "$STORE" \
    --control_listen "$STORE_CONTROL" >"$WORK/store.log" 2>&1 &
  PIDS+=($!)
  local n
  for n in $(seq 100); do
    "$LAB/put" "$STORE_CONTROL" '{}' >/dev/null 2>&1 && return
    sleep 0.05
  done
  cannot_run "the store does not start"
}

put_config() { # VERSION
  put keyed.op config '{"version":'"$1"',
 "routes":[
  {"name":"verdict","host":"salon.example","pathPrefix":"/verdict/","kind":"streaming","timeoutMs":6000,"targetLatencyMs":600,"gapTargetMs":400,"priority":1,"service":"gown-scribe","maxAttempts":2,"public":false,"sticky":true,"resumable":true},
  {"name":"reply","host":"salon.example","pathPrefix":"/reply/","kind":"streaming","timeoutMs":15000,"targetLatencyMs":500,"gapTargetMs":400,"priority":0,"service":"gown-scribe","maxAttempts":1,"public":false,"sticky":true,"resumable":false},
  {"name":"booking","host":"salon.example","pathPrefix":"/booking/","kind":"unsafe","timeoutMs":2000,"targetLatencyMs":200,"priority":2,"service":"atelier-desk","maxAttempts":1,"public":false}],
 "services":[
  {"name":"gown-scribe","healthPath":"/health","maxConnections":360,"protocol":"h1","tls":false,"engine":{"slots":64,"kvCapacityTokens":114242,"kvTokenBytes":327680,"linkMbps":180000.0,"maxConcurrency":12,"models":[{"name":"m0"}]}},
  {"name":"atelier-desk","healthPath":"/health","maxConnections":96,"protocol":"h1","tls":false}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
 "tenants":[{"name":"salon-1","apiKeys":["key-1"],"priority":1,"isolated":false},
  {"name":"salon-2","apiKeys":["key-2"],"priority":1,"isolated":false}]}'
}

router_ip() { echo "$NET.$((10 + $1))"; }
front() { echo "$(router_ip "$1"):8782"; }

start_router() { # NUMBER
  local ip zone=$((($1 - 1) % 3))
  ip=$(router_ip "$1")
  cat >"$WORK/router-$1.toml" <<TOML
node = "front-${ZONES[$zone]}-$1"
role = "router"
machineClass = "front"
serves = ["front"]
ip = "$ip"
zone = "${ZONES[$zone]}"
region = "${REGIONS[$zone]}"
internalPortRange = [7340, 7355]
seeds = []
firstStart = true
lossCounts = false
discovery = "platform"
entry = "vip"
heartbeatIntervalMs = 1200
contracts = ["base","drain","config","cost","retry","recover","kvcache","stream","engine","tenants","platform"]
[zones]
akl-a = "auckland"
wlg-a = "wellington"
chc-a = "christchurch"
[listen]
front = "$ip:8782"
ready = "$ip:8789"
[limits]
cpuShare = 0.25
cores = 1
memoryMb = 260
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 2
zones = 0
regions = 0
[bounds]
seedLagS = 3
addressReuseS = 2
stableWindowMs = 4000
ackTimeoutMs = 5000
catchUpS = 4
drainTimeoutMs = 2500
graceS = 8
lossSlackMs = 200
configPropagationMs = 2500
rollbackSlackMs = 250
maxStretchMs = 6000
strictRevocation = true
revokeMs = 5000
retryBudgetRatio = 0.2
retryWindowS = 10
retryBudgetSlack = 52
recoveryS = 12
deliveryDelayMs = 250
retryAfterS = 10
fencingRequired = true
leaseMs = 3000
thawSlackMs = 300
versionMs = 8000
versionAllMs = 11000
[platform]
address = "$STORE"
form = "log"
writesPerS = 400
readsPerS = 2000
parts = 8
appendMs = 4.0
partMbS = 20.0
readMbS = 80.0
recordBytes = 262144
callBytes = 2097152
keep_s = 300
partMb = 200
ttlMinMs = 1000
TOML
  # The command of the deploy file.
  BERYLLANE_SETTINGS="$WORK/router-$1.toml" \
    target/apps/beryllaned --platform --metrics_port=9464 \
    >"$WORK/router-$1.log" 2>&1 &
  PIDS+=($!)
  ROUTER_PID=$!
}

wait_ready() { # ROUTERS
  local i n
  for i in $(seq "$1"); do
    for n in $(seq 200); do
      "$LAB/put" "$(router_ip "$i"):8789" - /api/ready >/dev/null 2>&1 &&
        continue 2
      sleep 0.05
    done
    cannot_run "router $i does not get ready"
  done
}

runner_ip() { echo "$NET.$((100 + $1))"; }

start_runner() { # NUMBER SERVICE FLAGS...
  local i=$1 service=$2
  shift 2
  "$LAB/runner" --listen "$(runner_ip "$i"):8080" --store "$STORE_CONTROL" \
    --id "i-$i" --service "$service" --zone "${ZONES[$((i % 3))]}" \
    --record "$RECORD" "$@" >"$WORK/runner-$i.log" 2>&1 &
  RUNNER_PID=$!
  PIDS+=($!)
}

call() { # FLAGS...
  "$LAB/caller" --record "$RECORD" --host salon.example --key key-1 "$@" \
    2>/dev/null &
  CALLER_PID=$!
  PIDS+=($!)
}
