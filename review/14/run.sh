#!/usr/bin/env bash
# A part of a prompt crashes each runner that begins to answer on it. The
# requests with it, and the sound requests of the same caller, share another
# part that comes later in the prompt. TROUBLE=0: nothing crashes.
. "$(dirname "$0")/../lab-3/fleet.sh"
RUNNERS=12
ROUTERS=6
STABLE_MS=4000
BEFORE=25
AFTER=45
DEADLY=()
[ "$TROUBLE" = 0 ] || DEADLY=(--deadly dead0001)

# Restarts a runner 3 s after it has crashed, under a new id.
keep_runner() { # NUMBER
  local child life=0
  trap 'kill -KILL "$child" 2>/dev/null; exit' TERM
  while :; do
    "$LAB/runner" --listen "$(runner_ip "$1"):8080" --store "$STORE_CONTROL" \
      --id "i-$1-$life" --service gown-scribe --zone "${ZONES[$(($1 % 3))]}" \
      --model m0 --record "$RECORD" "${DEADLY[@]}" &
    child=$!
    wait "$child"
    sleep 3 &
    child=$!
    wait "$child"
    drop keyed.servers "i-$1-$life"
    life=$((life + 1))
  done
}
KEEPERS=()
end_keepers() {
  local pid
  for pid in "${KEEPERS[@]}"; do kill -TERM "$pid" 2>/dev/null; done
  for pid in "${KEEPERS[@]}"; do wait "$pid" 2>/dev/null; done
  end_all
}
trap end_keepers EXIT

start_store
put_config 1
for i in $(seq $RUNNERS); do
  keep_runner "$i" >"$WORK/runner-$i.log" 2>&1 &
  KEEPERS+=($!)
done
for i in $(seq $ROUTERS); do start_router "$i"; done
wait_ready $ROUTERS
sleep 5

# Sound requests of another caller, all the while.
for i in $(seq $ROUTERS); do
  call --to "$(front "$i")" --key key-2 --path /reply/1 --deadline_ms 15000 \
    --model m0 --id "other$i" --parts "bb0$i:800,5000$i@:300" --count 90 \
    --pause_ms 600
done
sound() { # NUMBER
  call --to "$(front $(($1 % ROUTERS + 1)))" --path /reply/1 \
    --deadline_ms 15000 --model m0 --id "sound$1" \
    --parts "aa0001:800,6000$1:200"
}
deadly() { # NUMBER
  call --to "$(front $(($1 % ROUTERS + 1)))" --path /reply/1 \
    --deadline_ms 15000 --model m0 --id "deadly$1" \
    --parts "dead0001:600,aa0001:800,7000$1:200"
}
for n in $(seq $BEFORE); do
  sound "$n"
  sleep 1
done
# Three of the other kind within a second, at three machines; then one every
# 4 s.
sound $((BEFORE + 1))
sleep 0.7
for n in 1 2 3; do
  deadly "$n"
  sleep 0.2
done
for n in $(seq $AFTER); do
  sound $((BEFORE + 1 + n))
  [ $((n % 4)) != 0 ] || deadly $((3 + n))
  sleep 1
done

from=$(grep ' crash ' "$RECORD" | sort -n | sed -n '1,5s/ .*//p' | tail -1)
if [ "$TROUBLE" = 0 ]; then
  from=$(grep 'sent request=deadly3-' "$RECORD" | sed 's/ .*//')
fi
[ -n "$from" ] || cannot_run "nothing crashed"
first=$(grep 'sent request=deadly1-' "$RECORD" | sed 's/ .*//')
# Share of the caller's sound requests that began to run, before the first
# request of the other kind and from 2 x stableWindowMs after the fifth crash,
# or the last.
note "from=$from first=$first"
result=$(awk -v first="$first" -v from=$((from + 2 * STABLE_MS)) '
  / sent request=sound/ { sent[$4] = $1 }
  / run request=sound/ { ran[$4] = 1 }
  END {
    for (id in sent) {
      if (sent[id] < first) { before++; if (id in ran) began_before++ }
      if (sent[id] >= from) { after++; if (id in ran) began_after++ }
    }
    print began_before + 0, before + 0, began_after + 0, after + 0
  }' "$RECORD")
read -r began_before before began_after after <<<"$result"
crashes=$(grep -c ' crash ' "$RECORD")
text="$crashes crashes; sound requests that began: $began_before of $before"
text+=" before, $began_after of $after from $((2 * STABLE_MS)) ms after the"
text+=" fifth crash or the last"
note "check: $text"
echo "$text"
[ "$before" -ge 20 ] && [ "$after" -ge 20 ] || cannot_run "too few requests"
[ $((began_after * before * 2)) -ge $((began_before * after)) ]
