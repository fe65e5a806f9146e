#!/usr/bin/env bash
# Injects failures into daemons that run as separate processes: killed owners, a
# suspended daemon, a store outage, lost replies, a leaving VM, concurrent
# changes, and a stop under load. Exits non-zero if any guarantee is violated.
set -euo pipefail
cd "$(dirname "$0")/.."
work_dir=.drill
source scripts/lib.sh

send_reorder() { # daemon-number key
  send_request "$1" -X POST -H "Idempotency-Key: $2" -d '{"cartons":1}' "http://127.0.0.1:700$1/v1/services/reorder/orders"
}
inject_faults() { curl -sf -X PUT -d "$1" "http://$BAMBOOYARD_PLATFORM_ADDRESS/faults" > /dev/null; }
job_finished() { # key tasks
  [ "$(bin/bambooyard --caller 127.0.0.1:7001 job describe --member state-library --key "$1" | grep -c finished)" = "$2" ]
}

start_fakes examples/association.yaml
start_daemon 1 hobart hobart-1
start_daemon 2 hobart hobart-2
start_daemon 3 hobart hobart-1
start_daemon 4 launceston launceston-1
wait_until "the daemons did not discover each other" daemon_count_is 4
bin/bambooyard apply -f examples/association.yaml --author drill --wait
for n in 1 2 3 4; do wait_until "daemon d$n is not ready" curl -sf "http://127.0.0.1:710$n/readyz"; done

echo "== the owner of a cell is killed while tasks of its jobs run"
start_site 4
for n in 1 2 3; do start_node "$n"; done
cell_owner() { grep -l "event=cell_recovered" "$work_dir"/n?.log | sed 's/.*n\([0-9]\).log/\1/' | head -1; }
wait_until "no daemon owns the cell" cell_owner
owner=$(cell_owner)
follower=$((owner % 3 + 1))
export BAMBOOYARD_JOBS="127.0.0.1:75${follower}2"
for i in 1 2 3 4 5 6; do bin/bambooyard job apply --queue scans --id "00000000000000b$i" -f examples/job.yaml; done
kill -KILL "${pids[n$owner]}"
wait "${pids[n$owner]}" 2>/dev/null || true
unset "pids[n$owner]"
cell_job_completed() { bin/bambooyard job state --queue scans --id "00000000000000b$1" | grep -q "is completed"; }
for i in 1 2 3 4 5 6; do wait_until "job b$i did not complete after the owner was killed" cell_job_completed "$i"; done
check_no_violations
start_node "$owner"
echo "all jobs completed, and no task ran twice"

echo "== the cell's owner is suspended and resumes after another daemon has taken over"
suspended=$(grep -l "event=cell_recovered" "$work_dir"/n?.log | grep -v "n$owner.log" | sed 's/.*n\([0-9]\).log/\1/' | head -1)
kill -STOP "${pids[n$suspended]}"
export BAMBOOYARD_JOBS="127.0.0.1:75${owner}2"
for i in 7 8 9; do bin/bambooyard job apply --queue scans --id "00000000000000b$i" -f examples/job.yaml; done
for i in 7 8 9; do wait_until "job b$i did not complete while the owner was suspended" cell_job_completed "$i"; done
kill -CONT "${pids[n$suspended]}"
wait_until "the resumed daemon did not become ready again" curl -sf "http://127.0.0.1:741$suspended/"
check_no_violations
for n in 1 2 3; do stop_process "n$n"; done
stop_process site
echo "the workers saw no violation"

echo "== a daemon is killed while tasks of its shards run"
for i in 1 2 3 4 5 6; do
  bin/bambooyard job submit --member state-library --key "killed-$i" --tasks 4 --payload run=4s > /dev/null
done
sleep 1
kill -KILL "${pids[d3]}"
wait "${pids[d3]}" 2>/dev/null || true
unset "pids[d3]"
for i in 1 2 3 4 5 6; do wait_until "job killed-$i did not finish" job_finished "killed-$i" 4; done
echo "all tasks finished"
start_daemon 3 hobart hobart-1
wait_until "daemon d3 is not ready again" curl -sf http://127.0.0.1:7103/readyz

echo "== a document reduces a VM below what a task holds"
bin/bambooyard job submit --member state-library --key big --milli-processors 40000 --payload run=30s > /dev/null
describe_big_job() { bin/bambooyard --caller 127.0.0.1:7001 job describe --member state-library --key big; }
big_job_running() { describe_big_job | grep -q running; }
wait_until "job big does not run" big_job_running
vm=$(describe_big_job | awk '/running/ { print $3 }')
awk -v vm="$vm" '$0 ~ "- name: " vm "$" { in_vm = 1 } in_vm && /capacity/ { sub(/64000/, "20000"); in_vm = 0 } { print }' \
  examples/association.yaml > "$work_dir/shrunk.yaml"
for n in 1 2; do
  if bin/bambooyard --operator "127.0.0.1:710$n" apply -f "$work_dir/shrunk.yaml" > "$work_dir/shrink" 2>&1; then
    fail "daemon d$n accepted a document that reduces $vm below what a task holds"
  fi
  expect_in_file "$work_dir/shrink" "is below what tasks on VM \"$vm\" hold"
done
bin/bambooyard job cancel --member state-library --key big > /dev/null
echo "both daemons refused the document"

echo "== a suspended daemon resumes after a configuration change"
kill -STOP "${pids[d2]}"
sed 's/deadline_ms: 5000/deadline_ms: 5500/' examples/association.yaml > "$work_dir/changed.yaml"
bin/bambooyard apply -f "$work_dir/changed.yaml" --author drill --wait --timeout 30s
kill -CONT "${pids[d2]}"
# The revision of the suspended daemon is no longer in force: after resuming, it
# must refuse the request or serve it under the new revision.
send_request 2 "http://127.0.0.1:7002/v1/services/stock-check/x"
if grep -q "Bambooyard-Verdict: ran" "$work_dir/headers"; then
  revision=$(bin/bambooyard --operator 127.0.0.1:7102 status | grep -o 'revision [0-9]*' | head -1)
  [ "$revision" = "revision 2" ] || fail "the resumed daemon served under $revision"
else
  expect_in_file "$work_dir/headers" "Bambooyard-Verdict: not-run"
fi
wait_until "the resumed daemon did not become ready again" curl -sf http://127.0.0.1:7102/readyz
echo "the resumed daemon served nothing under the old revision"

echo "== store outage"
inject_faults '{"outage":true}'
send_request 1 http://127.0.0.1:7001/v1/services/stock-check/x
expect_in_file "$work_dir/headers" "Bambooyard-Verdict: ran"
send_reorder 1 outage-1
expect_in_file "$work_dir/headers" "Bambooyard-Verdict: not-run"
expect_in_file "$work_dir/headers" "Retry-After"
inject_faults '{}'
reorder_accepted() { send_reorder 2 outage-1; grep -q "Bambooyard-Verdict: ran" "$work_dir/headers"; }
wait_until "a reorder refused during the outage does not run after it" reorder_accepted
[ "$(count_runs outage-1)" = 1 ] || fail "reorder outage-1 ran $(count_runs outage-1) times"
echo "latency-critical requests were served; the reorder was refused and ran once after the outage"

echo "== the store's replies are lost"
for i in $(seq 20); do
  inject_faults '{"lose_replies":1}'
  send_reorder $((i % 2 + 1)) "lost-$i"
  send_reorder $((i % 2 + 2)) "lost-$i"
  count=$(count_runs "lost-$i")
  [ "$count" -le 1 ] || fail "reorder lost-$i ran $count times"
  if [ "$count" = 1 ]; then
    grep -q "Bambooyard-Verdict: not-run" "$work_dir/headers" && fail "reorder lost-$i ran, but its retry got the verdict not-run"
  fi
done
inject_faults '{}'
echo "no reorder ran twice"

echo "== a VM leaves"
curl -sf -X PUT -d leaving "http://$BAMBOOYARD_PLATFORM_ADDRESS/vms/w001" > /dev/null
sleep 3
for i in $(seq 100); do
  send_request 1 http://127.0.0.1:7001/v1/services/stock-check/x
  grep -q '"w001"' "$work_dir/answer" && fail "a VM received a request 3 s after it was listed as leaving"
done
echo "the leaving VM received no more requests"

echo "== two operators change the same revision concurrently"
base=$(bin/bambooyard status | grep -o 'revision [0-9]*' | head -1 | cut -d' ' -f2)
sed 's/deadline_ms: 5000/deadline_ms: 5600/' examples/association.yaml > "$work_dir/a.yaml"
sed 's/deadline_ms: 5000/deadline_ms: 5700/' examples/association.yaml > "$work_dir/b.yaml"
winners=0
bin/bambooyard --operator 127.0.0.1:7101 apply -f "$work_dir/a.yaml" --based-on "$base" > "$work_dir/race-a" 2>&1 & apply_a_pid=$!
bin/bambooyard --operator 127.0.0.1:7102 apply -f "$work_dir/b.yaml" --based-on "$base" > "$work_dir/race-b" 2>&1 & apply_b_pid=$!
wait "$apply_a_pid" && winners=$((winners + 1))
wait "$apply_b_pid" && winners=$((winners + 1))
[ "$winners" = 1 ] || fail "$winners of two concurrent changes were accepted: $(cat "$work_dir/race-a" "$work_dir/race-b")"
echo "one change was accepted, the other got a conflict"

echo "== a daemon stops under load"
for i in $(seq 10); do
  curl -sS -m 15 -o "$work_dir/slow-$i" -w '%{http_code}\n' -H 'Bambooyard-Member: conservators' -H 'Bambooyard-Deadline-Ms: 10000' \
    "http://127.0.0.1:7004/v1/services/stock-check/slow?delay=2s" > "$work_dir/slow-$i.status" & slow_pids[$i]=$!
done
sleep 0.5
stop_process d4
for i in $(seq 10); do
  wait "${slow_pids[$i]}" || fail "request $i in flight was aborted"
  expect_in_file "$work_dir/slow-$i.status" 200
done
echo "no request in flight was aborted"

for name in d1 d2 d3 fakes; do stop_process "$name"; done
echo "== all guarantees held"
