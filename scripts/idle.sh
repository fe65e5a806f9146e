#!/usr/bin/env bash
# Measures the resource use of idle daemons (memory, processor time, bytes on
# loopback and store operations) by the number of daemons or of VMs.
# Usage: scripts/idle.sh daemons|vms
set -euo pipefail
cd "$(dirname "$0")/.."
work_dir=.idle
source scripts/lib.sh
export BAMBOOYARD_SETTLE="${BAMBOOYARD_SETTLE:-8}"
measure_seconds=15

print_document() { # vms: prints a document with one target on each VM
  local n=$1 i
  echo "inventory:"
  echo "  regions:"
  echo "    - name: hobart"
  echo "      data_centres:"
  echo "        - name: hobart-1"
  printf "          racks: [r0"
  for ((i = 1; i <= (n - 1) / 10; i++)); do printf ", r%d" "$i"; done
  echo "]"
  echo "  vms:"
  for ((i = 0; i < n; i++)); do
    echo "    - {name: w$i, rack: r$((i / 10)), worker_address: '127.0.0.1:$((10000 + i))', capacity: {milli_processors: 64000, memory_mb: 250000}}"
  done
  echo "  services:"
  echo "    - name: stock-check"
  echo "      targets:"
  for ((i = 0; i < n; i++)); do echo "        - {vm: w$i, address: '127.0.0.2:$((10000 + i))', slots: 8, connections: 64}"; done
  echo "rules:"
  echo "  services: [{name: stock-check, deadline_ms: 1000, max_deadline_ms: 2000}]"
  echo "  members: [{name: conservators, weight: 1}]"
}

loopback_bytes() { awk '/ lo:/ { print $2 }' /proc/net/dev; }
cpu_ticks() { awk '{ print $14 + $15 }' "/proc/$1/stat"; }
store_counts() { curl -sf "http://$BAMBOOYARD_PLATFORM_ADDRESS/counts"; }
json_field() { sed "s/.*\"$1\":\([0-9]*\).*/\1/"; }

measure() { # daemons vms
  local n=$1 vms=$2 i ticks_before=0 ticks_after=0 rss=0 bytes_before bytes_after store_before store_after hz
  print_document "$vms" > "$work_dir/document.yaml"
  start_fakes examples/association.yaml
  for ((i = 1; i <= n; i++)); do start_daemon "$i" hobart hobart-1; done
  bin/bambooyard apply -f "$work_dir/document.yaml" --author idle --wait > /dev/null
  sleep "$BAMBOOYARD_SETTLE"
  hz=$(getconf CLK_TCK)
  for ((i = 1; i <= n; i++)); do ticks_before=$((ticks_before + $(cpu_ticks "${pids[d$i]}"))); done
  bytes_before=$(loopback_bytes)
  store_before=$(store_counts)
  sleep "$measure_seconds"
  store_after=$(store_counts)
  bytes_after=$(loopback_bytes)
  for ((i = 1; i <= n; i++)); do
    ticks_after=$((ticks_after + $(cpu_ticks "${pids[d$i]}")))
    rss=$((rss + $(awk '/VmRSS/ { print $2 }' "/proc/${pids[d$i]}/status")))
  done
  awk -v n="$n" -v vms="$vms" -v rss="$rss" -v cpu="$((ticks_after - ticks_before))" -v hz="$hz" -v bytes="$((bytes_after - bytes_before))" -v span="$measure_seconds" \
    -v reads="$(($(echo "$store_after" | json_field reads) - $(echo "$store_before" | json_field reads)))" \
    -v writes="$(($(echo "$store_after" | json_field row_writes) - $(echo "$store_before" | json_field row_writes)))" \
    'BEGIN { printf "%d daemons, %d VMs, each: %.1f MB resident, %.2f%% of a core, %.0f B/s, %.2f reads/s, %.2f row writes/s\n", n, vms, rss / n / 1000, 100 * cpu / hz / span / n, bytes / span / n, reads / span / n, writes / span / n }'
  # All daemons stop, so a graceful hand-over would have no recipient.
  for ((i = 1; i <= n; i++)); do kill -KILL "${pids[d$i]}"; done
  stop_all
  pids=()
}

case "${1:-daemons}" in
  daemons) for n in 2 4 6 8; do measure "$n" 65; done ;;
  vms) for v in 65 500 1000 2000; do measure 2 "$v"; done ;;
esac
