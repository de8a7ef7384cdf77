#!/usr/bin/env bash
# Builds winchvane, starts a whole region on free loopback ports, runs requests through it, stops a
# gateway in between, and ends what it started. With --keep the region stays up.
set -euo pipefail
cd "$(dirname "$0")/.."

keep=no
[ "${1:-}" = --keep ] && keep=yes

cargo build --quiet --locked --workspace
bin=target/debug
work=$(mktemp -d)
pids=()

stop_all() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$work"
}
fail() {
  echo "quickstart: failed: $*" >&2
  # The programs log to standard output.
  [ ! -s "$work/head" ] || cat "$work/head" >&2
  tail -n 12 "$work"/*.out "$work"/*.log >&2 || true
  exit 1
}
trap stop_all EXIT

start() { # name, command...
  local name=$1
  shift
  "$@" >"$work/$name.out" 2>"$work/$name.log" &
  pids+=($!)
}
wait_for() { # what, command...
  local what=$1
  shift
  for _ in $(seq 300); do
    "$@" >/dev/null 2>&1 && return
    sleep 0.1
  done
  fail "$what did not come about"
}
is_ready() { curl -sf "http://127.0.0.1:$1/ready"; }

mapfile -t port < <("$bin/winchvane-standin" ports 16)
platform=${port[0]}
start standin "$bin/winchvane-standin" fleet --platform-port "$platform" \
  --engines 3 --plain 1 --load-ms 100

for n in 1 2 3; do
  cat >"$work/control-$n.yaml" <<YAML
name: control-$n
zone: zone-$n
region: quickstart
listen_peers: 127.0.0.1:${port[$n]}
listen_admin: 127.0.0.1:${port[$((n + 3))]}
data_folder: $work/control-$n
replicas:
  - {name: control-1, address: "127.0.0.1:${port[1]}"}
  - {name: control-2, address: "127.0.0.1:${port[2]}"}
  - {name: control-3, address: "127.0.0.1:${port[3]}"}
store: {loads_per_s: 9, concurrent_loads: 4}
platform_address: 127.0.0.1:$platform
platform_poll_ms: 200
pools:
  - {name: quotes, kind: engine, checks_epoch: true}
  - {name: portal, kind: plain, checks_epoch: false, places: 64}
YAML
  cat >"$work/gateway-$n.yaml" <<YAML
name: gateway-$n
zone: zone-$n
listen_callers: 127.0.0.1:${port[$((n + 6))]}
listen_peers: 127.0.0.1:${port[$((n + 9))]}
listen_admin: 127.0.0.1:${port[$((n + 12))]}
control: ["127.0.0.1:${port[1]}", "127.0.0.1:${port[2]}", "127.0.0.1:${port[3]}"]
stop_grace_ms: 200
YAML
  start "control-$n" "$bin/winchvane-control" --settings "$work/control-$n.yaml"
  start "gateway-$n" "$bin/winchvane-gateway" --settings "$work/gateway-$n.yaml"
done
gateway_2_pid=${pids[4]}
for n in 1 2 3; do wait_for "gateway-$n ready" is_ready "${port[$((n + 6))]}"; done
one=${port[7]} two=${port[8]} three=${port[9]}
server=127.0.0.1:${port[13]}
winchvane() { "$bin/winchvane" --server "$server" "$@"; }

winchvane check -f examples/jinfeng/declarations
winchvane apply -f examples/jinfeng/declarations
winchvane apply -f examples/jinfeng/declarations | grep -q '4 unchanged\|7 unchanged' ||
  fail "applying again was not harmless"
in_force() { curl -sf "http://127.0.0.1:$1/v1/models/taichung-quote"; }
for n in "$one" "$two" "$three"; do wait_for "the quote service in force" in_force "$n"; done

json='content-type: application/json'
echo "A quote:"
curl -sS --fail-with-body -D "$work/head" -H "$json" "http://127.0.0.1:$one/v1/completions" \
  -d '{"model": "taichung-quote", "prompt": "bracket, 40 pieces, 6061", "max_tokens": 8}' ||
  fail "the quote"
echo
grep -qi '^winchvane-adapter: shop-taichung' "$work/head" || fail "the quote's adapter"

echo "A summary, streamed:"
curl -sfN -H "$json" "http://127.0.0.1:$two/v1/chat/completions" -d '{"model":
  "head-office-summary", "stream": true, "messages": [{"role": "user", "content": "sum up"}]}' \
  >"$work/stream" || fail "the summary"
tail -n 4 "$work/stream"
grep -q '^data: \[DONE\]' "$work/stream" || fail "the summary's end"

key=order-$RANDOM$RANDOM
order() { # port
  curl -sf -H "$json" -H "idempotency-key: $key" -d '{"item": "aluminium", "pallets": 1}' \
    "http://127.0.0.1:$1/services/shop-portal/orders"
}
echo "An order, twice with one key, at two gateways:"
first=$(order "$one") || fail "the order"
second=$(order "$three") || fail "the order sent again"
echo "$first"
[ "$first" = "$second" ] || fail "the order was answered differently: $second"
plain=$(grep -o '"address":"[^"]*","name":"plain-000"' "$work/standin.out" | cut -d'"' -f4)
curl -sf "http://$plain/counts" | grep -q "\"$key\":1" || fail "the order did not run once"

echo "A gateway stops while quotes go on:"
(
  for _ in $(seq 40); do
    curl -sf -o /dev/null -H "$json" "http://127.0.0.1:$one/v1/completions" \
      -d '{"model": "taichung-quote", "prompt": "x", "max_tokens": 4}' || echo error
  done
) >"$work/during" &
during=$!
kill -TERM "$gateway_2_pid"
wait "$gateway_2_pid" || fail "the gateway did not stop with status 0"
wait "$during"
[ ! -s "$work/during" ] || fail "$(wc -l <"$work/during") quotes failed while a gateway stopped"
winchvane status
echo "quickstart: ok"

if [ "$keep" = yes ]; then
  cat <<TEXT

The region is up; end it with Ctrl-C. Try:
  curl -H '$json' http://127.0.0.1:$one/v1/completions -d '{"model": "taichung-quote", "prompt": "x"}'
  curl http://127.0.0.1:$three/v1/models
  $bin/winchvane --server $server status
  $bin/winchvane --server $server get service -o yaml
  $bin/winchvane --server $server dump
Settings and logs are in $work
TEXT
  wait
fi
