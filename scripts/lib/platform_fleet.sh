# A small fleet on the platform's stand-ins: a store, three model runners, a
# plain service and routers. Source after fleet.sh.
PLATFORM_HOST=shop.example
PLATFORM_KEY=key-of-workshop

store_port() { echo $((FLEET_PORT + 600)); }
store_control() { echo $((FLEET_PORT + 601)); }
target_port() { echo $((FLEET_PORT + 610 + $1)); }
target_control() { echo $((FLEET_PORT + 630 + $1)); }
entry_port() { echo $((FLEET_PORT + 650 + $1)); }
entry_ready() { echo $((FLEET_PORT + 660 + $1)); }
entry_peer() { echo $((FLEET_PORT + 670 + 2 * $1)); }
entry_metrics() { echo $((FLEET_PORT + 680 + $1)); }

put_record() { # TOPIC KEY VALUE
  jq -n --arg t "$1" --arg k "$2" --argjson v "$3" \
    '{put: {topic: $t, key: $k, value: $v}}' |
    curl -fs --data-binary @- "127.0.0.1:$(store_control)/" >/dev/null
}

platform_config() {
  cat <<JSON
{"version": 1,
 "routes": [
  {"name": "advice", "host": "$PLATFORM_HOST", "pathPrefix": "/advice/",
   "kind": "streaming", "resumable": true, "timeoutMs": 8000,
   "targetLatencyMs": 800, "priority": 1, "service": "scribe", "maxAttempts": 2},
  {"name": "book", "host": "$PLATFORM_HOST", "pathPrefix": "/book/",
   "kind": "unsafe", "timeoutMs": 2000, "targetLatencyMs": 200, "priority": 1,
   "service": "desk", "maxAttempts": 1}],
 "services": [
  {"name": "scribe", "healthPath": "/health", "maxConnections": 100,
   "engine": {"slots": 8, "kvCapacityTokens": 100000, "kvTokenBytes": 327680}},
  {"name": "desk", "healthPath": "/health", "maxConnections": 100}],
 "limits": {"maxHeaderBytes": 8192, "maxBodyBytes": 65536,
            "headerTimeoutMs": 1000, "idleTimeoutMs": 5000},
 "tenants": [{"name": "workshop", "apiKeys": ["$PLATFORM_KEY"]}]}
JSON
}

start_target() { # NUMBER SERVICE ARGUMENTS...
  local i=$1 service=$2
  shift 2
  start "target-$i" "$FLEET_BUILD/standins/beryllane-runner-standin" \
    --listen "127.0.0.1:$(target_port "$i")" \
    --control_listen "127.0.0.1:$(target_control "$i")" \
    --store_control "127.0.0.1:$(store_control)" --id "target-$i" \
    --service "$service" --zone "${ZONES[$((i % 3))]}" "$@"
}

start_entry() { # NUMBER
  local i=$1
  cat >"$FLEET_DIR/entry-$i.toml" <<TOML
node = "entry-$i"
ip = "127.0.0.1"
zone = "${ZONES[$((i % 3))]}"
region = "${REGIONS[$((i % 3))]}"
internalPortRange = [$(entry_peer "$i"), $(($(entry_peer "$i") + 1))]
[zones]
iasi-a = "iasi"
cluj-a = "cluj"
bucuresti-a = "bucuresti"
[listen]
front = "127.0.0.1:$(entry_port "$i")"
ready = "127.0.0.1:$(entry_ready "$i")"
[bounds]
leaseMs = 1000
graceS = 8
[platform]
address = "127.0.0.1:$(store_port)"
TOML
  start "entry-$i" "$FLEET_BUILD/apps/beryllaned" --platform \
    --platform_settings "$FLEET_DIR/entry-$i.toml" \
    --metrics_port "$(entry_metrics "$i")"
}

start_platform_fleet() { # ROUTERS
  start store "$FLEET_BUILD/standins/beryllane-store-standin" \
    --listen "127.0.0.1:$(store_port)" \
    --control_listen "127.0.0.1:$(store_control)"
  wait_for 5 curl -fs "127.0.0.1:$(store_control)/"
  put_record keyed.op config "$(platform_config)"
  for i in 1 2 3; do start_target "$i" scribe --model m1; done
  start_target 4 desk
  for i in $(seq 1 "$1"); do start_entry "$i"; done
  for i in $(seq 1 "$1"); do
    wait_for 10 curl -fs "127.0.0.1:$(entry_ready "$i")/api/ready"
  done
}
