#!/usr/bin/env bash
# Runs a complete example on loopback: stand-ins, three daemons in two regions, a
# document, latency-critical requests, a reorder sent twice, batch jobs and the
# reports. Exits non-zero if any step does not give the expected result.
set -euo pipefail
cd "$(dirname "$0")/.."
work_dir=.quickstart
source scripts/lib.sh

start_fakes examples/association.yaml
start_daemon 1 hobart hobart-1
start_daemon 2 hobart hobart-2
start_daemon 3 launceston launceston-1
wait_until "the daemons did not discover each other" daemon_count_is 3

echo "== apply"
bin/bambooyard apply -f examples/association.yaml --author quickstart --wait | tee "$work_dir/apply"
expect_in_file "$work_dir/apply" "in force on"
for n in 1 2 3; do wait_until "daemon d$n is not ready" curl -sf "http://127.0.0.1:710$n/readyz"; done

echo "== a latency-critical request to each daemon"
for n in 1 2 3; do
  send_request "$n" "http://127.0.0.1:700$n/v1/services/stock-check/gloves/cotton"
  print_response
  expect_in_file "$work_dir/headers" "Bambooyard-Verdict: ran"
  expect_in_file "$work_dir/answer" '"path":"/gloves/cotton"'
done

echo "== the same reorder sent to two daemons"
send_request 1 -X POST -H 'Idempotency-Key: order-1' -d '{"cartons":2}' http://127.0.0.1:7001/v1/services/reorder/orders
print_response
cp "$work_dir/answer" "$work_dir/first"
send_request 2 -X POST -H 'Idempotency-Key: order-1' -d '{"cartons":2}' http://127.0.0.1:7002/v1/services/reorder/orders
print_response
cmp "$work_dir/first" "$work_dir/answer" || fail "the second answer to the reorder differs from the first"
count=$(count_runs order-1)
[ "$count" = 1 ] || fail "the reorder ran $count times"
echo "the reorder ran once"

echo "== refusals"
send_request 1 -X POST http://127.0.0.1:7001/v1/services/reorder/orders
print_response
expect_in_file "$work_dir/headers" "Bambooyard-Verdict: not-run"
send_request 1 http://127.0.0.1:7001/v1/services/nothing/x
print_response
expect_in_file "$work_dir/answer" "unknown_service"

echo "== a batch job"
bin/bambooyard job submit --member state-library --key reconcile-1 --tasks 3 --payload run=500ms
batch_job_finished() { [ "$(bin/bambooyard --caller 127.0.0.1:7002 job describe --member state-library --key reconcile-1 | grep -c finished)" = 3 ]; }
wait_until "the batch job did not finish" batch_job_finished
bin/bambooyard --caller 127.0.0.1:7003 job describe --member state-library --key reconcile-1

echo "== status"
bin/bambooyard status
echo "== burn report, over all daemons"
burn_counts_complete() {
  bin/bambooyard report burn > "$work_dir/burn"
  grep -Eq "^stock-check +conservators +3 +0 +0 +0 +0 " "$work_dir/burn" && grep -Eq "^reorder +conservators +2 +0 +0 +0 +0 " "$work_dir/burn"
}
wait_until "the burn report does not match the requests sent" burn_counts_complete
cat "$work_dir/burn"
bin/bambooyard report burn --output html > "$work_dir/burn.html"
expect_in_file "$work_dir/burn.html" "</html>"

echo "== jobs with steps, over the platform's protocol"
start_site 4
for n in 1 2 3; do start_node "$n"; done
export BAMBOOYARD_JOBS=127.0.0.1:7512
bin/bambooyard job apply --queue scans --id 00000000000000a1 -f examples/job.yaml
bin/bambooyard job apply --queue scans --id 00000000000000a1 -f examples/job.yaml # changes nothing
job_state_is() { bin/bambooyard --jobs "127.0.0.1:75${3}2" job state --queue scans --id "$1" | grep -q "is $2"; }
wait_until "the job with steps did not complete" job_state_is 00000000000000a1 completed 2
bin/bambooyard job state --queue scans --id 00000000000000a1
bin/bambooyard job apply --queue scans --id 00000000000000a2 -f examples/service.yaml
wait_until "the service did not start running" job_state_is 00000000000000a2 running 3
bin/bambooyard job withdraw --queue scans --id 00000000000000a2
wait_until "the service was not cancelled" job_state_is 00000000000000a2 cancelled 1
bin/bambooyard job pending --queue scans
check_no_violations

echo "== graceful stop"
for name in n1 n2 n3 site; do stop_process "$name"; done
for name in d1 d2 d3 fakes; do stop_process "$name"; done
echo "== all steps gave the expected result"
