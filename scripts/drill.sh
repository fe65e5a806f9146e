#!/usr/bin/env bash
# Brings failures about in separate processes: a killed owner, a frozen daemon,
# a store outage, lost replies, a leaving VM, racing operators, and a stop
# under load. Exits non-zero if anything was not as promised.
set -euo pipefail
cd "$(dirname "$0")/.."
work=.drill
source scripts/lib.sh

order() { # daemon-number key
  request "$1" -X POST -H "Idempotency-Key: $2" -d '{"cartons":1}' "http://127.0.0.1:700$1/v1/services/reorder/orders"
}
faults() { curl -sf -X PUT -d "$1" "http://$BAMBOOYARD_PLATFORM_ADDRESS/faults" > /dev/null; }
job_finished() { # key tasks
  [ "$(bin/bambooyard --caller 127.0.0.1:7001 job describe --member state-library --key "$1" | grep -c finished)" = "$2" ]
}

start_fakes examples/association.yaml
start_daemon 1 hobart hobart-1
start_daemon 2 hobart hobart-2
start_daemon 3 hobart hobart-1
start_daemon 4 launceston launceston-1
until_true "the daemons did not find each other" knows 4
bin/bambooyard apply -f examples/association.yaml --author drill --wait
for n in 1 2 3 4; do until_true "daemon d$n is not ready" curl -sf "http://127.0.0.1:710$n/readyz"; done

echo "== the owner of a cell is killed while tasks of its jobs run"
start_site 4
for n in 1 2 3; do start_node "$n"; done
cell_owner() { grep -l "event=cell_recovered" "$work"/n?.log | sed 's/.*n\([0-9]\).log/\1/' | head -1; }
until_true "no daemon owns the cell" cell_owner
owner=$(cell_owner)
other=$((owner % 3 + 1))
export BAMBOOYARD_JOBS="127.0.0.1:75${other}2"
for i in 1 2 3 4 5 6; do bin/bambooyard job apply --queue scans --id "00000000000000b$i" -f examples/job.yaml; done
kill -KILL "${pids[n$owner]}"
wait "${pids[n$owner]}" 2>/dev/null || true
unset "pids[n$owner]"
completed() { bin/bambooyard job state --queue scans --id "00000000000000b$1" | grep -q "is completed"; }
for i in 1 2 3 4 5 6; do until_true "job b$i did not complete after the owner's death" completed "$i"; done
no_breach
start_node "$owner"
echo "every job completed, and no task ran twice"

echo "== a daemon of the cell is frozen, and wakes after another has taken over"
frozen=$(grep -l "event=cell_recovered" "$work"/n?.log | grep -v "n$owner.log" | sed 's/.*n\([0-9]\).log/\1/' | head -1)
kill -STOP "${pids[n$frozen]}"
export BAMBOOYARD_JOBS="127.0.0.1:75${owner}2"
for i in 7 8 9; do bin/bambooyard job apply --queue scans --id "00000000000000b$i" -f examples/job.yaml; done
for i in 7 8 9; do until_true "job b$i did not complete while the owner was frozen" completed "$i"; done
kill -CONT "${pids[n$frozen]}"
until_true "the frozen daemon is not ready again" curl -sf "http://127.0.0.1:741$frozen/"
no_breach
for n in 1 2 3; do end "n$n"; done
end site
echo "no promise was broken"

echo "== owners are killed while their tasks run"
for i in 1 2 3 4 5 6; do
  bin/bambooyard job submit --member state-library --key "killed-$i" --tasks 4 --payload run=4s > /dev/null
done
sleep 1
kill -KILL "${pids[d3]}"
wait "${pids[d3]}" 2>/dev/null || true
unset "pids[d3]"
for i in 1 2 3 4 5 6; do until_true "job killed-$i did not finish" job_finished "killed-$i" 4; done
echo "every task finished"
start_daemon 3 hobart hobart-1
until_true "daemon d3 is not ready again" curl -sf http://127.0.0.1:7103/readyz

echo "== a VM is shrunk below what a task holds"
bin/bambooyard job submit --member state-library --key big --milli-processors 40000 --payload run=30s > /dev/null
big() { bin/bambooyard --caller 127.0.0.1:7001 job describe --member state-library --key big; }
running() { big | grep -q running; }
until_true "job big does not run" running
vm=$(big | awk '/running/ { print $3 }')
awk -v vm="$vm" '$0 ~ "- name: " vm "$" { here = 1 } here && /capacity/ { sub(/64000/, "20000"); here = 0 } { print }' \
  examples/association.yaml > "$work/shrunk.yaml"
for n in 1 2; do
  if bin/bambooyard --operator "127.0.0.1:710$n" apply -f "$work/shrunk.yaml" > "$work/shrink" 2>&1; then
    fail "daemon d$n accepted a document that shrinks $vm below what a task holds"
  fi
  expect "$work/shrink" "is below what tasks on VM \"$vm\" hold"
done
bin/bambooyard job cancel --member state-library --key big > /dev/null
echo "the document was refused by each daemon"

echo "== a frozen daemon wakes after a change"
kill -STOP "${pids[d2]}"
sed 's/deadline_ms: 5000/deadline_ms: 5500/' examples/association.yaml > "$work/changed.yaml"
bin/bambooyard apply -f "$work/changed.yaml" --author drill --wait --timeout 30s
kill -CONT "${pids[d2]}"
# The frozen daemon's rules are no longer in force: it refuses or serves by the new ones.
request 2 "http://127.0.0.1:7002/v1/services/stock-check/x"
if grep -q "Bambooyard-Verdict: ran" "$work/headers"; then
  revision=$(bin/bambooyard --operator 127.0.0.1:7102 status | grep -o 'revision [0-9]*' | head -1)
  [ "$revision" = "revision 2" ] || fail "the woken daemon served under $revision"
else
  expect "$work/headers" "Bambooyard-Verdict: not-run"
fi
until_true "the woken daemon is not ready again" curl -sf http://127.0.0.1:7102/readyz
echo "it served nothing under old rules"

echo "== the store is out"
faults '{"outage":true}'
request 1 http://127.0.0.1:7001/v1/services/stock-check/x
expect "$work/headers" "Bambooyard-Verdict: ran"
order 1 outage-1
expect "$work/headers" "Bambooyard-Verdict: not-run"
expect "$work/headers" "Retry-After"
faults '{}'
accepted() { order 2 outage-1; grep -q "Bambooyard-Verdict: ran" "$work/headers"; }
until_true "a reorder refused in the outage does not run after it" accepted
[ "$(runs outage-1)" = 1 ] || fail "outage-1 ran $(runs outage-1) times"
echo "quick requests went on, a reorder was refused and ran once later"

echo "== replies of the store are lost"
for i in $(seq 20); do
  faults '{"lose_replies":1}'
  order $((i % 2 + 1)) "lost-$i"
  order $((i % 2 + 2)) "lost-$i"
  count=$(runs "lost-$i")
  [ "$count" -le 1 ] || fail "lost-$i ran $count times"
  if [ "$count" = 1 ]; then
    grep -q "Bambooyard-Verdict: not-run" "$work/headers" && fail "lost-$i ran, but its second try says not-run"
  fi
done
faults '{}'
echo "no reorder ran twice"

echo "== a VM leaves"
curl -sf -X PUT -d leaving "http://$BAMBOOYARD_PLATFORM_ADDRESS/vms/w001" > /dev/null
sleep 3
for i in $(seq 100); do
  request 1 http://127.0.0.1:7001/v1/services/stock-check/x
  grep -q '"w001"' "$work/answer" && fail "a leaving VM got a request 3 s after the first sign"
done
echo "it got no more requests"

echo "== two operators race"
base=$(bin/bambooyard status | grep -o 'revision [0-9]*' | head -1 | cut -d' ' -f2)
sed 's/deadline_ms: 5000/deadline_ms: 5600/' examples/association.yaml > "$work/a.yaml"
sed 's/deadline_ms: 5000/deadline_ms: 5700/' examples/association.yaml > "$work/b.yaml"
won=0
bin/bambooyard --operator 127.0.0.1:7101 apply -f "$work/a.yaml" --based-on "$base" > "$work/race-a" 2>&1 & racer_a=$!
bin/bambooyard --operator 127.0.0.1:7102 apply -f "$work/b.yaml" --based-on "$base" > "$work/race-b" 2>&1 & racer_b=$!
wait "$racer_a" && won=$((won + 1))
wait "$racer_b" && won=$((won + 1))
[ "$won" = 1 ] || fail "$won of two racing operators won: $(cat "$work/race-a" "$work/race-b")"
echo "one won, the other got a conflict"

echo "== a daemon stops under load"
for i in $(seq 10); do
  curl -sS -m 15 -o "$work/slow-$i" -w '%{http_code}\n' -H 'Bambooyard-Member: conservators' -H 'Bambooyard-Deadline-Ms: 10000' \
    "http://127.0.0.1:7004/v1/services/stock-check/slow?delay=2s" > "$work/slow-$i.status" & slow[$i]=$!
done
sleep 0.5
end d4
for i in $(seq 10); do
  wait "${slow[$i]}" || fail "slow request $i was cut off"
  expect "$work/slow-$i.status" 200
done
echo "it cut off no request"

for name in d1 d2 d3 fakes; do end "$name"; done
echo "== everything was as promised"
