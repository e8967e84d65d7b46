# A fleet on this machine: platform, engines, a service and routers. Source
# after common.sh. Only processes started here are ended, by their ids.
FLEET_BUILD=${FLEET_BUILD:-$ROOT/build}
FLEET_PORT=${FLEET_PORT:-17000}
FLEET_PIDS=()
ZONES=(iasi-a cluj-a bucuresti-a)
REGIONS=(iasi cluj bucuresti)

platform_port() { echo "$FLEET_PORT"; }
platform_control() { echo $((FLEET_PORT + 1)); }
service_port() { echo $((FLEET_PORT + 2)); }
service_control() { echo $((FLEET_PORT + 3)); }
engine_port() { echo $((FLEET_PORT + 100 + $1)); }
engine_control() { echo $((FLEET_PORT + 200 + $1)); }
router_port() { echo $((FLEET_PORT + 300 + $1)); }
router_admin() { echo $((FLEET_PORT + 400 + $1)); }
router_peer() { echo $((FLEET_PORT + 500 + $1)); }

start() { # LOG COMMAND...
  local log=$1
  shift
  "$@" >"$FLEET_DIR/$log.out" 2>"$FLEET_DIR/$log.log" &
  LAST_PID=$!
  FLEET_PIDS+=("$LAST_PID")
}

wait_for() { # SECONDS COMMAND...
  local limit=$(($1 * 20))
  shift
  for ((n = 0; n < limit; n++)); do
    "$@" >/dev/null 2>&1 && return 0
    sleep 0.05
  done
  echo "gave up waiting for: $*" >&2
  return 1
}

write_hosts() { # ROUTERS ENGINES
  {
    echo '['
    for ((i = 1; i <= $1; i++)); do
      printf '{"id":"router-%d","role":"router","zone":"%s","address":"127.0.0.1:%d","peer_address":"127.0.0.1:%d","state":"live"},\n' \
        "$i" "${ZONES[$(((i - 1) % 3))]}" "$(router_port "$i")" "$(router_peer "$i")"
    done
    for ((i = 1; i <= $2; i++)); do
      printf '{"id":"runner-%d","role":"runner","pool":"assistant","zone":"%s","address":"127.0.0.1:%d","state":"live"},\n' \
        "$i" "${ZONES[$(((i - 1) % 3))]}" "$(engine_port "$i")"
    done
    printf '{"id":"desk-1","role":"service","pool":"order-desk","zone":"cluj-a","address":"127.0.0.1:%d","state":"live"}\n]\n' \
      "$(service_port)"
  } >"$FLEET_DIR/hosts.json"
}

start_platform() { # ROUTERS ENGINES
  write_hosts "$1" "$2"
  start platform "$FLEET_BUILD/standins/beryllane-platform-standin" \
    --listen "127.0.0.1:$(platform_port)" \
    --control_listen "127.0.0.1:$(platform_control)" \
    --hosts_file "$FLEET_DIR/hosts.json"
}

start_engine() { # NUMBER ARGUMENTS...
  local i=$1
  shift
  start "runner-$i" "$FLEET_BUILD/standins/beryllane-engine-standin" \
    --listen "127.0.0.1:$(engine_port "$i")" \
    --control_listen "127.0.0.1:$(engine_control "$i")" \
    --id "runner-$i" --seed "$i" "$@"
}

start_service() {
  start desk-1 "$FLEET_BUILD/standins/beryllane-service-standin" \
    --listen "127.0.0.1:$(service_port)" \
    --control_listen "127.0.0.1:$(service_control)" --id desk-1
}

start_router() { # NUMBER ARGUMENTS...
  local i=$1
  shift
  start "router-$i" "$FLEET_BUILD/apps/beryllaned" \
    --listen "127.0.0.1:$(router_port "$i")" \
    --admin_listen "127.0.0.1:$(router_admin "$i")" \
    --peer_listen "127.0.0.1:$(router_peer "$i")" \
    --host_id "router-$i" \
    --availability_zone "${ZONES[$(((i - 1) % 3))]}" \
    --region "${REGIONS[$(((i - 1) % 3))]}" \
    --log_service "127.0.0.1:$(platform_port)" \
    --host_list "127.0.0.1:$(platform_port)" \
    --peers "$(peer_list)" "$@"
}

peer_list() {
  echo "127.0.0.1:$(router_peer 1),127.0.0.1:$(router_peer 2)"
}

ctl() {
  "$FLEET_BUILD/apps/beryllanectl" \
    --log_service "127.0.0.1:$(platform_port)" "$@"
}

admins() { # ROUTERS
  local list=()
  for ((i = 1; i <= $1; i++)); do list+=("127.0.0.1:$(router_admin "$i")"); done
  (IFS=,; echo "${list[*]}")
}

targets() { # ROUTERS
  local list=()
  for ((i = 1; i <= $1; i++)); do list+=("127.0.0.1:$(router_port "$i")"); done
  (IFS=,; echo "${list[*]}")
}

# start_fleet ROUTERS ENGINES ENGINE_ARGUMENTS...
start_fleet() {
  local routers=$1 engines=$2
  shift 2
  start_platform "$routers" "$engines"
  wait_for 5 curl -fs "127.0.0.1:$(platform_port)/v1/hosts"
  for ((i = 1; i <= engines; i++)); do start_engine "$i" "$@"; done
  start_service
  ctl config publish "$ROOT/examples/config/umplutura-moale.json" \
    --author quickstart --comment "first version" >/dev/null
  for ((i = 1; i <= routers; i++)); do start_router "$i" ${ROUTER_ARGUMENTS:-}; done
  for ((i = 1; i <= routers; i++)); do
    wait_for 10 curl -fs "127.0.0.1:$(router_port "$i")/readyz"
  done
}

stop_fleet() {
  for pid in "${FLEET_PIDS[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${FLEET_PIDS[@]}"; do wait "$pid" 2>/dev/null || true; done
  FLEET_PIDS=()
}
