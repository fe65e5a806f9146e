#!/usr/bin/env bash
# Checks that two builds understand what the other stores and sends.
# Usage: scripts/compat.sh FIRST SECOND, directories of two builds. Daemons of
# FIRST write into stand-ins that keep running, and daemons of SECOND read it and
# then run beside them. Swap the arguments for the other direction.
set -euo pipefail
first=$(realpath "$1")
second=$(realpath "$2")
cd "$(dirname "$0")/.."
work=.compat
source scripts/lib.sh

# daemon starts daemon dN of a build.
daemon() { # build number region data-centre
  "$1/bambooyardd" --name "d$2" --region "$3" --data-centre "$4" \
    --caller-address "127.0.0.1:700$2" --operator-address "127.0.0.1:710$2" --peer-address "127.0.0.1:720$2" \
    2>> "$work/d$2.log" &
  pids[d$2]=$!
  until_true "daemon d$2 did not start" curl -sf "http://127.0.0.1:710$2/healthz"
}

# node starts daemon nN of a build on the stand-in site.
node() { # build number
  sed "s/@N/$2/g" examples/node.toml > "$work/n$2.toml"
  BAMBOOYARD_NODE_FILE="$work/n$2.toml" "$1/bambooyardd" >> "$work/n$2.log" 2>&1 &
  pids[n$2]=$!
  until_true "daemon n$2 is not ready" curl -sf "http://127.0.0.1:741$2/"
}

order() { # daemon-number key
  request "$1" -X POST -H "Idempotency-Key: $2" -d '{"cartons":1}' "http://127.0.0.1:700$1/v1/services/reorder/orders"
}

same_answer() { # key daemon daemon: two daemons give one answer to a key, which runs once
  order "$2" "$1"
  cp "$work/answer" "$work/answer-$1"
  order "$3" "$1"
  cmp "$work/answer-$1" "$work/answer" || fail "daemons d$2 and d$3 answer key $1 differently"
  [ "$(runs "$1")" = 1 ] || fail "$1 ran $(runs "$1") times"
}

finished() { # build daemon-number key tasks
  [ "$("$1/bambooyard" --caller "127.0.0.1:700$2" job describe --member state-library --key "$3" | grep -c finished)" = "$4" ]
}

counted() { # build
  "$1/bambooyard" report burn > "$work/burn"
  grep -Eq "^reorder +conservators +3 +0 +0 +0 +0 " "$work/burn"
}

peers() { # build daemon-number count
  [ "$("$1/bambooyard" --operator "127.0.0.1:710$2" status --output json | grep -c '"peer_address"')" = "$3" ]
}

state_is() { # build daemon-number job state
  "$1/bambooyard" --jobs "127.0.0.1:75${2}2" job state --queue scans --id "$3" | grep -q "is $4"
}

recovered() { # daemon-number count: the daemon has become the owner so many times
  [ "$(grep -c 'event=cell_recovered' "$work/n$1.log")" -ge "$2" ]
}

kill_node() { # number
  kill -KILL "${pids[n$1]}"
  wait "${pids[n$1]}" 2>/dev/null || true
  unset "pids[n$1]"
}

echo "== settings, documents and charts are read alike"
for build in "$first" "$second"; do
  BAMBOOYARD_NAME=d9 BAMBOOYARD_CALLER_ADDRESS=127.0.0.1:7009 "$build/bambooyardd" --region hobart --data-centre hobart-1 \
    --operator-address 127.0.0.1:7109 --peer-address 127.0.0.1:7209 --print-settings
  for file in examples/association.yaml examples/cooperative.yaml; do "$build/bambooyard" validate -f "$file"; done
  for file in document/testdata/bad/*.yaml; do "$build/bambooyard" validate -f "$file" 2>&1 || true; done
  "$build/bambooyard" charts
  for file in explain/testdata/*.log; do
    for id in $(grep -oE ' job=[0-9a-f]+' "$file" | sort -u | cut -d= -f2); do "$build/bambooyard" explain "$id" "$file"; done
  done
done > "$work/read" 2>&1
half=$(($(wc -l < "$work/read") / 2))
[ "$half" -gt 100 ] || fail "only $half lines were read"
cmp <(head -n "$half" "$work/read") <(tail -n "$half" "$work/read") || fail "the builds read settings, documents, charts or logs differently"
echo "$half lines are the same"

echo "== the first build writes a document, an outcome, jobs and burn counts"
"$first/bambooyard-fakes" --platform-address "$BAMBOOYARD_PLATFORM_ADDRESS" --document examples/association.yaml 2> "$work/fakes.log" &
pids[fakes]=$!
until_true "the stand-ins did not start" curl -sf "http://$BAMBOOYARD_PLATFORM_ADDRESS/counts"
daemon "$first" 1 hobart hobart-1
daemon "$first" 2 hobart hobart-2
until_true "the daemons did not find each other" peers "$first" 1 2
"$first/bambooyard" apply -f examples/association.yaml --author compat --wait
for n in 1 2; do until_true "daemon d$n is not ready" curl -sf "http://127.0.0.1:710$n/readyz"; done
same_answer stored 1 2
cp "$work/answer" "$work/stored"
"$first/bambooyard" job submit --member state-library --key ended --tasks 3 --payload run=300ms > /dev/null
until_true "job ended did not finish" finished "$first" 1 ended 3
"$first/bambooyard" job submit --member state-library --key under-way --tasks 3 --payload run=6s > /dev/null
sleep 1
for n in 1 2; do end "d$n"; done

echo "== the second build reads them"
daemon "$second" 1 hobart hobart-1
daemon "$second" 2 hobart hobart-2
for n in 1 2; do until_true "daemon d$n is not ready" curl -sf "http://127.0.0.1:710$n/readyz"; done
"$second/bambooyard" status | grep -q "revision 1" || fail "the document is not in force"
"$second/bambooyard" history | grep -q compat || fail "the history is lost"
order 1 stored
cmp "$work/stored" "$work/answer" || fail "the stored outcome is lost"
[ "$(runs stored)" = 1 ] || fail "stored ran $(runs stored) times"
finished "$second" 2 ended 3 || fail "the ended job is lost"
until_true "the job under way did not finish" finished "$second" 1 under-way 3
until_true "the stored burn counts are lost" counted "$second"

echo "== a daemon of the first build runs beside daemons of the second"
daemon "$first" 3 launceston launceston-1
until_true "d1 does not know d3" peers "$first" 1 3
until_true "d3 does not know the others" peers "$second" 3 3
until_true "daemon d3 is not ready" curl -sf http://127.0.0.1:7103/readyz
sed 's/deadline_ms: 5000/deadline_ms: 5500/' examples/association.yaml > "$work/changed.yaml"
"$first/bambooyard" --operator 127.0.0.1:7101 apply -f "$work/changed.yaml" --author compat --wait | grep "in force on"
"$second/bambooyard" --operator 127.0.0.1:7103 rollback --to 1 --wait | grep "in force on"
same_answer first-then-second 3 1
same_answer second-then-first 2 3
for n in 1 2 3 4; do
  "$first/bambooyard" --caller 127.0.0.1:7003 job submit --member state-library --key "at-first-$n" --tasks 2 --payload run=300ms > /dev/null
  "$second/bambooyard" --caller 127.0.0.1:7001 job submit --member state-library --key "at-second-$n" --tasks 2 --payload run=300ms > /dev/null
done
for n in 1 2 3 4; do
  until_true "job at-first-$n is not seen by the second build" finished "$first" 1 "at-first-$n" 2
  until_true "job at-second-$n is not seen by the first build" finished "$second" 3 "at-second-$n" 2
done
for n in 1 2; do
  "$second/bambooyard" job submit --member state-library --key "moved-$n" --tasks 3 --payload run=4s > /dev/null
done
sleep 1
for n in 1 2; do end "d$n"; done
for n in 1 2; do until_true "job moved-$n did not finish under the first build" finished "$second" 3 "moved-$n" 3; done
end d3
end fakes

echo "== owner of the first build, followers of the second"
"$first/bambooyard-fakes" --site-address 127.0.0.1:7600 --site-workers 4 --site-work 2s 2> "$work/site.log" &
pids[site]=$!
until_true "the stand-in site did not start" curl -sf http://127.0.0.1:7600/breaches
node "$first" 1
until_true "n1 is not the owner" recovered 1 1
node "$second" 2
node "$second" 3
apply() { "$1/bambooyard" --jobs "127.0.0.1:75${2}2" job apply --queue scans --id "$3" -f examples/job.yaml; }
apply "$first" 2 00000000000000c1
apply "$second" 1 00000000000000c2
for n in 1 2 3; do
  until_true "n$n does not know job c1" state_is "$first" "$n" 00000000000000c1 completed
  until_true "n$n does not know job c2" state_is "$second" "$n" 00000000000000c2 completed
done

echo "== hand-over to the second build"
apply "$second" 3 00000000000000c3
end n1
until_true "neither n2 nor n3 is the owner" grep -q event=cell_recovered "$work/n2.log" "$work/n3.log"
for n in 2 3; do
  until_true "n$n lost job c1" state_is "$second" "$n" 00000000000000c1 completed
  until_true "n$n lost job c3" state_is "$second" "$n" 00000000000000c3 completed
  until_true "n$n lost job c2" state_is "$second" "$n" 00000000000000c2 completed
done
no_breach

echo "== owner of the second build, follower of the first"
node "$first" 1
apply "$second" 1 00000000000000c4
apply "$first" 3 00000000000000c5
for n in 1 2 3; do
  for id in c4 c5; do until_true "n$n does not know job $id" state_is "$first" "$n" "00000000000000$id" completed; done
done

echo "== hand-over to the first build"
apply "$second" 1 00000000000000c6
for n in 2 3; do end "n$n"; done
until_true "n1 is not the owner again" recovered 1 2
until_true "n1 lost job c5" state_is "$first" 1 00000000000000c5 completed
until_true "n1 lost job c6" state_is "$first" 1 00000000000000c6 completed
no_breach

echo "== owners are killed, first to second and back"
node "$second" 2
apply "$second" 2 00000000000000c7
kill_node 1
until_true "job c7 did not complete after the first build's owner was killed" state_is "$second" 2 00000000000000c7 completed
node "$first" 1
apply "$first" 1 00000000000000c8
kill_node 2
until_true "job c8 did not complete after the second build's owner was killed" state_is "$first" 1 00000000000000c8 completed
apply "$first" 1 00000000000000c9
"$second/bambooyard" --jobs 127.0.0.1:7512 job withdraw --queue scans --id 00000000000000c9
until_true "job c9 was not cancelled" state_is "$first" 1 00000000000000c9 cancelled
no_breach
"$first/bambooyard" explain 00000000000000c1 "$work"/n?.log > "$work/story"
"$second/bambooyard" explain 00000000000000c1 "$work"/n?.log | cmp "$work/story" || fail "the builds explain job c1 differently"
end n1
end site
echo "== the builds understand each other"
