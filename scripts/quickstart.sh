#!/usr/bin/env bash
# Runs the whole path on loopback: stand-ins, three daemons in two regions, a
# document, quick requests, a booking sent twice, a batch job and the reports.
# Exits non-zero if anything was not as promised.
set -euo pipefail
cd "$(dirname "$0")/.."
work=.quickstart
rm -rf "$work"
mkdir -p "$work"
export BAMBOOYARD_PLATFORM_ADDRESS=127.0.0.1:7300
export BAMBOOYARD_DRAIN_DELAY=200ms
export USER="${USER:-operator}"
pids=()

fail() { echo "NOT AS PROMISED: $*" >&2; tail -n 20 "$work"/*.log >&2; exit 1; }
stop_all() { for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done; wait 2>/dev/null || true; }
trap stop_all EXIT

start_daemon() { # name number region data-centre
  bin/bambooyardd --name "$1" --region "$3" --data-centre "$4" \
    --caller-address "127.0.0.1:700$2" --operator-address "127.0.0.1:710$2" --peer-address "127.0.0.1:720$2" \
    2> "$work/$1.log" &
  pids+=($!)
}

until_true() { # what command...
  local what=$1; shift
  for _ in $(seq 150); do "$@" > /dev/null 2>&1 && return 0; sleep 0.2; done
  fail "$what"
}

request() { # daemon-number arguments...
  local n=$1; shift
  curl -sS -m 10 -D "$work/headers" -H 'Bambooyard-Member: conservators' "$@" > "$work/answer" || fail "request to daemon $n got no answer"
  cat "$work/answer"; grep -i '^bambooyard-verdict' "$work/headers" | tr -d '\r'
}

expect() { grep -q -- "$2" "$1" || fail "$1 lacks '$2': $(cat "$1")"; }

bin/bambooyard-fakes --platform-address "$BAMBOOYARD_PLATFORM_ADDRESS" --document examples/association.yaml 2> "$work/fakes.log" &
fakes=$!
pids+=($fakes)
until_true "the stand-ins did not start" curl -sf http://127.0.0.1:7300/counts
start_daemon d1 1 hobart hobart-1
start_daemon d2 2 hobart hobart-2
start_daemon d3 3 launceston launceston-1
until_true "daemon d1 did not start" curl -sf http://127.0.0.1:7101/healthz
until_true "daemon d2 did not start" curl -sf http://127.0.0.1:7102/healthz
until_true "daemon d3 did not start" curl -sf http://127.0.0.1:7103/healthz
three() { [ "$(bin/bambooyard status --output json | grep -c '"peer_address"')" = 3 ]; }
until_true "the daemons did not find each other" three

echo "== apply"
bin/bambooyard apply -f examples/association.yaml --author quickstart --wait | tee "$work/apply"
expect "$work/apply" "in force on"
for n in 1 2 3; do until_true "daemon d$n is not ready" curl -sf "http://127.0.0.1:710$n/readyz"; done

echo "== a quick request to each daemon"
for n in 1 2 3; do
  request "$n" "http://127.0.0.1:700$n/v1/services/stock-check/gloves/cotton"
  expect "$work/headers" "Bambooyard-Verdict: ran"
  expect "$work/answer" '"path":"/gloves/cotton"'
done

echo "== a reorder sent twice, to two daemons"
request 1 -X POST -H 'Idempotency-Key: order-1' -d '{"cartons":2}' http://127.0.0.1:7001/v1/services/reorder/orders
cp "$work/answer" "$work/first"
request 2 -X POST -H 'Idempotency-Key: order-1' -d '{"cartons":2}' http://127.0.0.1:7002/v1/services/reorder/orders
cmp "$work/first" "$work/answer" || fail "the second answer differs from the first"
runs=0
for port in $(grep -A1000 'name: reorder' examples/association.yaml | grep -o "127.0.0.1:22[0-9]*"); do
  runs=$((runs + $(curl -sf "http://$port/runs?key=order-1")))
done
[ "$runs" = 1 ] || fail "the reorder ran $runs times"
echo "the reorder ran $runs time"

echo "== refusals"
request 1 -X POST http://127.0.0.1:7001/v1/services/reorder/orders
expect "$work/headers" "Bambooyard-Verdict: not-run"
request 1 http://127.0.0.1:7001/v1/services/nothing/x
expect "$work/answer" "unknown_service"

echo "== a batch job"
bin/bambooyard job submit --member state-library --key reconcile-1 --tasks 3 --payload run=500ms
finished() { [ "$(bin/bambooyard --caller 127.0.0.1:7002 job describe --member state-library --key reconcile-1 | grep -c finished)" = 3 ]; }
until_true "the batch job did not finish" finished
bin/bambooyard --caller 127.0.0.1:7003 job describe --member state-library --key reconcile-1

echo "== status"
bin/bambooyard status
echo "== burn report, over all daemons"
counted() {
  bin/bambooyard report burn > "$work/burn"
  grep -Eq "^stock-check +conservators +3 +0 +0 +0 +0 " "$work/burn" && grep -Eq "^reorder +conservators +2 +0 +0 +0 +0 " "$work/burn"
}
until_true "the burn report differs from the requests that were sent" counted
cat "$work/burn"
bin/bambooyard report burn --output html > "$work/burn.html"
expect "$work/burn.html" "</html>"

echo "== graceful stop"
for pid in "${pids[@]}"; do
  [ "$pid" = "$fakes" ] && continue
  kill -TERM "$pid"
done
for pid in "${pids[@]}"; do
  [ "$pid" = "$fakes" ] && continue
  wait "$pid" || fail "a daemon did not stop gracefully"
done
kill -TERM "$fakes"
wait "$fakes" || fail "the stand-ins did not stop"
pids=()
echo "== everything was as promised"
