# Functions that the scripts share. Source it from the root of the repository
# with `work_dir` set to a directory for logs and other files; it is cleared.
rm -rf "$work_dir"
mkdir -p "$work_dir"
export BAMBOOYARD_PLATFORM_ADDRESS=127.0.0.1:7300
export BAMBOOYARD_DRAIN_DELAY=200ms
export USER="${USER:-operator}"
declare -A pids=()

fail() { echo "FAILED: $*" >&2; tail -n 20 "$work_dir"/*.log >&2; exit 1; }

# stop_all resumes and terminates all processes, and waits for them.
stop_all() {
  for pid in "${pids[@]}"; do kill -CONT "$pid" 2>/dev/null || true; kill "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
}
trap stop_all EXIT

start_fakes() { # document
  bin/bambooyard-fakes --platform-address "$BAMBOOYARD_PLATFORM_ADDRESS" --document "$1" 2> "$work_dir/fakes.log" &
  pids[fakes]=$!
  wait_until "the stand-ins did not start" curl -sf "http://$BAMBOOYARD_PLATFORM_ADDRESS/counts"
}

start_daemon() { # number region data-centre
  bin/bambooyardd --name "d$1" --region "$2" --data-centre "$3" \
    --caller-address "127.0.0.1:700$1" --operator-address "127.0.0.1:710$1" --peer-address "127.0.0.1:720$1" \
    2>> "$work_dir/d$1.log" &
  pids[d$1]=$!
  wait_until "daemon d$1 did not start" curl -sf "http://127.0.0.1:710$1/healthz"
}

start_site() { # workers
  bin/bambooyard-fakes --site-address 127.0.0.1:7600 --site-workers "$1" 2> "$work_dir/site.log" &
  pids[site]=$!
  wait_until "the stand-in site did not start" curl -sf http://127.0.0.1:7600/breaches
}

# start_node starts a daemon on the stand-in site. Its callers' port is 740N. Its
# peer, metrics and job interfaces use the ports from 75N0 on.
start_node() { # number
  sed "s/@N/$1/g" examples/node.toml > "$work_dir/n$1.toml"
  BAMBOOYARD_NODE_FILE="$work_dir/n$1.toml" bin/bambooyardd > "$work_dir/n$1.log" 2>&1 &
  pids[n$1]=$!
  wait_until "daemon n$1 is not ready" curl -sf "http://127.0.0.1:741$1/"
}

# check_no_violations fails if the stand-in workers saw a violation of the
# protocol.
check_no_violations() {
  [ "$(curl -sf http://127.0.0.1:7600/breaches)" = null ] || fail "the stand-in site saw violations: $(curl -sf http://127.0.0.1:7600/breaches)"
}

# wait_until repeats a command until it succeeds, at most 300 times at intervals
# of 0.1 s, and fails with the message after that.
wait_until() { # message command...
  local message=$1; shift
  for _ in $(seq 300); do "$@" > /dev/null 2>&1 && return 0; sleep 0.1; done
  fail "$message"
}

# count_daemons prints how many daemons d1 lists, itself included.
count_daemons() { bin/bambooyard status --output json | grep -c '"peer_address"' || true; }

daemon_count_is() { [ "$(count_daemons)" = "$1" ]; }

send_request() { # daemon-number arguments...
  local n=$1; shift
  curl -sS -m 15 -D "$work_dir/headers" -H 'Bambooyard-Member: conservators' "$@" > "$work_dir/answer" || fail "daemon d$n did not answer a request"
}

print_response() { cat "$work_dir/answer"; grep -i '^bambooyard-verdict' "$work_dir/headers" | tr -d '\r'; }

# expect_in_file fails unless a file has a line that matches the pattern.
expect_in_file() { grep -q -- "$2" "$1" || fail "$1 does not contain '$2': $(cat "$1")"; }

# count_runs prints how often a reorder with the given key has run, over all
# runners.
count_runs() {
  local sum=0 port
  for port in $(sed -n '/name: reorder/,/name: /p' examples/association.yaml | grep -o "127.0.0.1:22[0-9]*"); do
    sum=$((sum + $(curl -sf "http://$port/runs?key=$1")))
  done
  echo "$sum"
}

# stop_process stops a process gracefully and fails unless it exits with status 0.
stop_process() { # name
  kill -TERM "${pids[$1]}"
  wait "${pids[$1]}" || fail "$1 did not stop gracefully"
  unset "pids[$1]"
}
