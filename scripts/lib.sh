# Functions that the quick start and the failure drill share. Source it from
# the repository's root with `work` set to a directory for logs.
rm -rf "$work"
mkdir -p "$work"
export BAMBOOYARD_PLATFORM_ADDRESS=127.0.0.1:7300
export BAMBOOYARD_DRAIN_DELAY=200ms
export USER="${USER:-operator}"
declare -A pids=()

fail() { echo "NOT AS PROMISED: $*" >&2; tail -n 20 "$work"/*.log >&2; exit 1; }

stop_all() {
  for pid in "${pids[@]}"; do kill -CONT "$pid" 2>/dev/null || true; kill "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
}
trap stop_all EXIT

start_fakes() { # document
  bin/bambooyard-fakes --platform-address "$BAMBOOYARD_PLATFORM_ADDRESS" --document "$1" 2> "$work/fakes.log" &
  pids[fakes]=$!
  until_true "the stand-ins did not start" curl -sf "http://$BAMBOOYARD_PLATFORM_ADDRESS/counts"
}

start_daemon() { # number region data-centre
  bin/bambooyardd --name "d$1" --region "$2" --data-centre "$3" \
    --caller-address "127.0.0.1:700$1" --operator-address "127.0.0.1:710$1" --peer-address "127.0.0.1:720$1" \
    2>> "$work/d$1.log" &
  pids[d$1]=$!
  until_true "daemon d$1 did not start" curl -sf "http://127.0.0.1:710$1/healthz"
}

start_site() { # workers
  bin/bambooyard-fakes --site-address 127.0.0.1:7600 --site-workers "$1" 2> "$work/site.log" &
  pids[site]=$!
  until_true "the stand-in site did not start" curl -sf http://127.0.0.1:7600/breaches
}

# start_node starts a daemon on the stand-in site. Its callers' port is 740N,
# and from port 75N0 on lie the peer, metrics and job interfaces.
start_node() { # number
  sed "s/@N/$1/g" examples/node.toml > "$work/n$1.toml"
  BAMBOOYARD_NODE_FILE="$work/n$1.toml" bin/bambooyardd > "$work/n$1.log" 2>&1 &
  pids[n$1]=$!
  until_true "daemon n$1 is not ready" curl -sf "http://127.0.0.1:741$1/"
}

# no_breach demands that the stand-in workers saw no broken promise.
no_breach() {
  [ "$(curl -sf http://127.0.0.1:7600/breaches)" = null ] || fail "the site saw: $(curl -sf http://127.0.0.1:7600/breaches)"
}

until_true() { # what command...
  local what=$1; shift
  for _ in $(seq 300); do "$@" > /dev/null 2>&1 && return 0; sleep 0.1; done
  fail "$what"
}

# live_daemons prints how many daemons d1 knows.
live_daemons() { bin/bambooyard status --output json | grep -c '"peer_address"' || true; }

knows() { [ "$(live_daemons)" = "$1" ]; }

request() { # daemon-number arguments...
  local n=$1; shift
  curl -sS -m 15 -D "$work/headers" -H 'Bambooyard-Member: conservators' "$@" > "$work/answer" || fail "request to daemon $n got no answer"
}

show() { cat "$work/answer"; grep -i '^bambooyard-verdict' "$work/headers" | tr -d '\r'; }

expect() { grep -q -- "$2" "$1" || fail "$1 lacks '$2': $(cat "$1")"; }

# runs prints how often a reorder with the given key has run, over all runners.
runs() {
  local sum=0 port
  for port in $(sed -n '/name: reorder/,/name: /p' examples/association.yaml | grep -o "127.0.0.1:22[0-9]*"); do
    sum=$((sum + $(curl -sf "http://$port/runs?key=$1")))
  done
  echo "$sum"
}

end() { # name: ends a process gracefully and demands a clean exit
  kill -TERM "${pids[$1]}"
  wait "${pids[$1]}" || fail "$1 did not stop gracefully"
  unset "pids[$1]"
}
