#!/usr/bin/env bash
# Runs the whole path on loopback: stand-ins, three daemons in two regions, a
# document, quick requests, a booking sent twice, a batch job and the reports.
# Exits non-zero if anything was not as promised.
set -euo pipefail
cd "$(dirname "$0")/.."
work=.quickstart
source scripts/lib.sh

start_fakes examples/association.yaml
start_daemon 1 hobart hobart-1
start_daemon 2 hobart hobart-2
start_daemon 3 launceston launceston-1
until_true "the daemons did not find each other" knows 3

echo "== apply"
bin/bambooyard apply -f examples/association.yaml --author quickstart --wait | tee "$work/apply"
expect "$work/apply" "in force on"
for n in 1 2 3; do until_true "daemon d$n is not ready" curl -sf "http://127.0.0.1:710$n/readyz"; done

echo "== a quick request to each daemon"
for n in 1 2 3; do
  request "$n" "http://127.0.0.1:700$n/v1/services/stock-check/gloves/cotton"
  show
  expect "$work/headers" "Bambooyard-Verdict: ran"
  expect "$work/answer" '"path":"/gloves/cotton"'
done

echo "== a reorder sent twice, to two daemons"
request 1 -X POST -H 'Idempotency-Key: order-1' -d '{"cartons":2}' http://127.0.0.1:7001/v1/services/reorder/orders
show
cp "$work/answer" "$work/first"
request 2 -X POST -H 'Idempotency-Key: order-1' -d '{"cartons":2}' http://127.0.0.1:7002/v1/services/reorder/orders
show
cmp "$work/first" "$work/answer" || fail "the second answer differs from the first"
count=$(runs order-1)
[ "$count" = 1 ] || fail "the reorder ran $count times"
echo "the reorder ran once"

echo "== refusals"
request 1 -X POST http://127.0.0.1:7001/v1/services/reorder/orders
show
expect "$work/headers" "Bambooyard-Verdict: not-run"
request 1 http://127.0.0.1:7001/v1/services/nothing/x
show
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

echo "== jobs with steps, over the platform's protocol"
start_site 4
for n in 1 2 3; do start_node "$n"; done
export BAMBOOYARD_JOBS=127.0.0.1:7512
bin/bambooyard job apply --queue scans --id 00000000000000a1 -f examples/job.yaml
bin/bambooyard job apply --queue scans --id 00000000000000a1 -f examples/job.yaml # changes nothing
state_is() { bin/bambooyard --jobs "127.0.0.1:75${3}2" job state --queue scans --id "$1" | grep -q "is $2"; }
until_true "the job with steps did not complete" state_is 00000000000000a1 completed 2
bin/bambooyard job state --queue scans --id 00000000000000a1
bin/bambooyard job apply --queue scans --id 00000000000000a2 -f examples/service.yaml
until_true "the service does not run" state_is 00000000000000a2 running 3
bin/bambooyard job withdraw --queue scans --id 00000000000000a2
until_true "the service was not cancelled" state_is 00000000000000a2 cancelled 1
bin/bambooyard job pending --queue scans
no_breach

echo "== graceful stop"
for name in n1 n2 n3 site; do end "$name"; done
for name in d1 d2 d3 fakes; do end "$name"; done
echo "== everything was as promised"
