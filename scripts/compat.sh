#!/usr/bin/env bash
# Checks that two builds can read each other's stored data and messages.
# Usage: scripts/compat.sh FIRST SECOND, the directories of the two builds.
# Daemons of FIRST write into stand-ins that keep running. Daemons of SECOND read
# that data and then run together with daemons of FIRST. Swap the arguments for
# the other direction.
set -euo pipefail
first=$(realpath "$1")
second=$(realpath "$2")
cd "$(dirname "$0")/.."
work_dir=.compat
source scripts/lib.sh

# start_build_daemon starts daemon dN of a build and waits until it responds.
start_build_daemon() { # build number region data-centre
  "$1/bambooyardd" --name "d$2" --region "$3" --data-centre "$4" \
    --caller-address "127.0.0.1:700$2" --operator-address "127.0.0.1:710$2" --peer-address "127.0.0.1:720$2" \
    2>> "$work_dir/d$2.log" &
  pids[d$2]=$!
  wait_until "daemon d$2 did not start" curl -sf "http://127.0.0.1:710$2/healthz"
}

# start_build_node starts daemon nN of a build on the stand-in site and waits
# until it is ready.
start_build_node() { # build number
  sed "s/@N/$2/g" examples/node.toml > "$work_dir/n$2.toml"
  BAMBOOYARD_NODE_FILE="$work_dir/n$2.toml" "$1/bambooyardd" >> "$work_dir/n$2.log" 2>&1 &
  pids[n$2]=$!
  wait_until "daemon n$2 is not ready" curl -sf "http://127.0.0.1:741$2/"
}

send_reorder() { # daemon-number key
  send_request "$1" -X POST -H "Idempotency-Key: $2" -d '{"cartons":1}' "http://127.0.0.1:700$1/v1/services/reorder/orders"
}

# check_same_answer checks that two daemons give the same answer to a reorder with
# one key, and that it ran once.
check_same_answer() { # key daemon-number daemon-number
  send_reorder "$2" "$1"
  cp "$work_dir/answer" "$work_dir/answer-$1"
  send_reorder "$3" "$1"
  cmp "$work_dir/answer-$1" "$work_dir/answer" || fail "daemons d$2 and d$3 gave different answers to key $1"
  [ "$(count_runs "$1")" = 1 ] || fail "reorder $1 ran $(count_runs "$1") times"
}

# output_has reads the whole output of a command: it would fail if grep closed the pipe before its end.
output_has() { # text command...
  local text=$1 output
  shift
  output=$("$@") && [[ $output == *"$text"* ]]
}

job_finished() { # build daemon-number key tasks
  [ "$("$1/bambooyard" --caller "127.0.0.1:700$2" job describe --member state-library --key "$3" | grep -c finished)" = "$4" ]
}

# job_answered fails while the job's shard has no owner, as just after a takeover.
job_answered() { # build daemon-number key
  "$1/bambooyard" --caller "127.0.0.1:700$2" job describe --member state-library --key "$3"
}

burn_counts_complete() { # build
  "$1/bambooyard" report burn > "$work_dir/burn"
  grep -Eq "^reorder +conservators +3 +0 +0 +0 +0 " "$work_dir/burn"
}

session_count_is() { # build daemon-number count
  [ "$("$1/bambooyard" --operator "127.0.0.1:710$2" status --output json | grep -c '"peer_address"')" = "$3" ]
}

job_state_is() { # build daemon-number job state
  "$1/bambooyard" --jobs "127.0.0.1:75${2}2" job state --queue scans --id "$3" | grep -q "is $4"
}

recovered_at_least() { # daemon-number count: times that the daemon became the owner
  [ "$(grep -c 'event=cell_recovered' "$work_dir/n$1.log")" -ge "$2" ]
}

kill_node() { # number
  kill -KILL "${pids[n$1]}"
  wait "${pids[n$1]}" 2>/dev/null || true
  unset "pids[n$1]"
}

echo "== both builds read settings, documents, charts and logs alike"
for build in "$first" "$second"; do
  BAMBOOYARD_NAME=d9 BAMBOOYARD_CALLER_ADDRESS=127.0.0.1:7009 "$build/bambooyardd" --region hobart --data-centre hobart-1 \
    --operator-address 127.0.0.1:7109 --peer-address 127.0.0.1:7209 --print-settings
  for file in examples/association.yaml examples/cooperative.yaml; do "$build/bambooyard" validate -f "$file"; done
  for file in document/testdata/bad/*.yaml; do "$build/bambooyard" validate -f "$file" 2>&1 || true; done
  "$build/bambooyard" charts
  for file in explain/testdata/*.log; do
    for id in $(grep -oE ' job=[0-9a-f]+' "$file" | sort -u | cut -d= -f2); do "$build/bambooyard" explain "$id" "$file"; done
  done
done > "$work_dir/read" 2>&1
lines_per_build=$(($(wc -l < "$work_dir/read") / 2))
[ "$lines_per_build" -gt 100 ] || fail "only $lines_per_build lines of output to compare"
cmp <(head -n "$lines_per_build" "$work_dir/read") <(tail -n "$lines_per_build" "$work_dir/read") || fail "the builds print different output for the same settings, documents, charts or logs"
echo "$lines_per_build lines of output are equal"

echo "== the first build stores a document, an outcome, jobs and burn counts"
"$first/bambooyard-fakes" --platform-address "$BAMBOOYARD_PLATFORM_ADDRESS" --document examples/association.yaml 2> "$work_dir/fakes.log" &
pids[fakes]=$!
wait_until "the stand-ins did not start" curl -sf "http://$BAMBOOYARD_PLATFORM_ADDRESS/counts"
start_build_daemon "$first" 1 hobart hobart-1
start_build_daemon "$first" 2 hobart hobart-2
wait_until "d1 and d2 did not discover each other" session_count_is "$first" 1 2
"$first/bambooyard" apply -f examples/association.yaml --author compat --wait
for n in 1 2; do wait_until "daemon d$n is not ready" curl -sf "http://127.0.0.1:710$n/readyz"; done
check_same_answer stored 1 2
cp "$work_dir/answer" "$work_dir/stored"
"$first/bambooyard" job submit --member state-library --key ended --tasks 3 --payload run=300ms > /dev/null
wait_until "job ended did not finish" job_finished "$first" 1 ended 3
"$first/bambooyard" job submit --member state-library --key under-way --tasks 3 --payload run=6s > /dev/null
sleep 1
for n in 1 2; do stop_process "d$n"; done

echo "== the second build reads the stored data"
start_build_daemon "$second" 1 hobart hobart-1
start_build_daemon "$second" 2 hobart hobart-2
for n in 1 2; do wait_until "daemon d$n is not ready" curl -sf "http://127.0.0.1:710$n/readyz"; done
output_has "revision 1" "$second/bambooyard" status || fail "the stored document is not in force"
output_has compat "$second/bambooyard" history || fail "the stored history is missing"
send_reorder 1 stored
cmp "$work_dir/stored" "$work_dir/answer" || fail "the stored outcome was not replayed"
[ "$(count_runs stored)" = 1 ] || fail "reorder stored ran $(count_runs stored) times"
wait_until "daemon d2 does not tell the state of job ended" job_answered "$second" 2 ended
job_finished "$second" 2 ended 3 || fail "the stored job ended is not finished"
wait_until "job under-way did not finish" job_finished "$second" 1 under-way 3
wait_until "the burn report lacks the stored counts" burn_counts_complete "$second"

echo "== a daemon of the first build runs together with daemons of the second"
start_build_daemon "$first" 3 launceston launceston-1
wait_until "d1 did not discover d3" session_count_is "$first" 1 3
wait_until "d3 did not discover d1 and d2" session_count_is "$second" 3 3
wait_until "daemon d3 is not ready" curl -sf http://127.0.0.1:7103/readyz
sed 's/deadline_ms: 5000/deadline_ms: 5500/' examples/association.yaml > "$work_dir/changed.yaml"
"$first/bambooyard" --operator 127.0.0.1:7101 apply -f "$work_dir/changed.yaml" --author compat --wait | grep "in force on"
"$second/bambooyard" --operator 127.0.0.1:7103 rollback --to 1 --wait | grep "in force on"
check_same_answer first-then-second 3 1
check_same_answer second-then-first 2 3
for n in 1 2 3 4; do
  "$first/bambooyard" --caller 127.0.0.1:7003 job submit --member state-library --key "at-first-$n" --tasks 2 --payload run=300ms > /dev/null
  "$second/bambooyard" --caller 127.0.0.1:7001 job submit --member state-library --key "at-second-$n" --tasks 2 --payload run=300ms > /dev/null
done
for n in 1 2 3 4; do
  wait_until "a daemon of the second build does not report job at-first-$n as finished" job_finished "$first" 1 "at-first-$n" 2
  wait_until "a daemon of the first build does not report job at-second-$n as finished" job_finished "$second" 3 "at-second-$n" 2
done
for n in 1 2; do
  "$second/bambooyard" job submit --member state-library --key "moved-$n" --tasks 3 --payload run=4s > /dev/null
done
sleep 1
for n in 1 2; do stop_process "d$n"; done
for n in 1 2; do wait_until "job moved-$n did not finish under the first build" job_finished "$second" 3 "moved-$n" 3; done
stop_process d3
stop_process fakes

echo "== the owner is of the first build, the followers are of the second"
"$first/bambooyard-fakes" --site-address 127.0.0.1:7600 --site-workers 4 --site-work 2s 2> "$work_dir/site.log" &
pids[site]=$!
wait_until "the stand-in site did not start" curl -sf http://127.0.0.1:7600/breaches
start_build_node "$first" 1
wait_until "n1 did not become the owner" recovered_at_least 1 1
start_build_node "$second" 2
start_build_node "$second" 3
apply_job() { "$1/bambooyard" --jobs "127.0.0.1:75${2}2" job apply --queue scans --id "$3" -f examples/job.yaml; }
apply_job "$first" 2 00000000000000c1
apply_job "$second" 1 00000000000000c2
for n in 1 2 3; do
  wait_until "n$n does not report job c1 as completed" job_state_is "$first" "$n" 00000000000000c1 completed
  wait_until "n$n does not report job c2 as completed" job_state_is "$second" "$n" 00000000000000c2 completed
done

echo "== graceful hand-over to the second build"
apply_job "$second" 3 00000000000000c3
stop_process n1
wait_until "neither n2 nor n3 became the owner" grep -q event=cell_recovered "$work_dir/n2.log" "$work_dir/n3.log"
for n in 2 3; do
  wait_until "n$n does not report job c1 as completed after the hand-over" job_state_is "$second" "$n" 00000000000000c1 completed
  wait_until "n$n does not report job c3 as completed after the hand-over" job_state_is "$second" "$n" 00000000000000c3 completed
  wait_until "n$n does not report job c2 as completed after the hand-over" job_state_is "$second" "$n" 00000000000000c2 completed
done
check_no_violations

echo "== the owner is of the second build, a follower is of the first"
start_build_node "$first" 1
apply_job "$second" 1 00000000000000c4
apply_job "$first" 3 00000000000000c5
for n in 1 2 3; do
  for id in c4 c5; do wait_until "n$n does not report job $id as completed" job_state_is "$first" "$n" "00000000000000$id" completed; done
done

echo "== graceful hand-over to the first build"
apply_job "$second" 1 00000000000000c6
for n in 2 3; do stop_process "n$n"; done
wait_until "n1 did not become the owner again" recovered_at_least 1 2
wait_until "n1 does not report job c5 as completed after the hand-over" job_state_is "$first" 1 00000000000000c5 completed
wait_until "n1 does not report job c6 as completed after the hand-over" job_state_is "$first" 1 00000000000000c6 completed
check_no_violations

echo "== owners are killed: the second build takes over from the first, and back"
start_build_node "$second" 2
apply_job "$second" 2 00000000000000c7
kill_node 1
wait_until "job c7 did not complete after the first build's owner was killed" job_state_is "$second" 2 00000000000000c7 completed
start_build_node "$first" 1
apply_job "$first" 1 00000000000000c8
kill_node 2
wait_until "job c8 did not complete after the second build's owner was killed" job_state_is "$first" 1 00000000000000c8 completed
apply_job "$first" 1 00000000000000c9
"$second/bambooyard" --jobs 127.0.0.1:7512 job withdraw --queue scans --id 00000000000000c9
wait_until "job c9 was not cancelled" job_state_is "$first" 1 00000000000000c9 cancelled
check_no_violations
"$first/bambooyard" explain 00000000000000c1 "$work_dir"/n?.log > "$work_dir/explanation"
"$second/bambooyard" explain 00000000000000c1 "$work_dir"/n?.log | cmp "$work_dir/explanation" || fail "the builds print different explanations of job c1"
stop_process n1
stop_process site
echo "== the builds are compatible"
