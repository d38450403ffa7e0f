#!/usr/bin/env bash
# Prints the resources that the nodes of an idle cluster use: CPU, resident
# memory, and bytes read and written (from /proc/PID/io, which counts sockets
# and the log). Prints the mean over all nodes on one line, so that runs with
# different cluster sizes show how the cost grows. Run it through lab-cluster.sh:
#
#   scripts/lab-cluster.sh -n 9 -e 38 scripts/idle-overhead.sh [SECONDS]
set -euo pipefail
seconds=${1:-10}
: "${LAB_PIDS:?run this through scripts/lab-cluster.sh}"
hz=$(getconf CLK_TCK)

# Prints the number of nodes and, summed over all nodes, CPU ticks, resident
# memory in KiB, bytes read and bytes written.
totals() {
  local file pid
  for file in "$LAB_PIDS"/node*.pid; do
    pid=$(cat "$file")
    echo "$(awk '{print $14 + $15}' "/proc/$pid/stat")" \
      "$(awk '/^VmRSS/ {print $2}' "/proc/$pid/status")" \
      "$(awk '/^rchar/ {r = $2} /^wchar/ {w = $2} END {print r, w}' "/proc/$pid/io")"
  done | awk '{c += $1; m += $2; r += $3; w += $4} END {printf "%d %d %d %d %d\n", NR, c, m, r, w}'
}

# Nodes read their first host lists in this time, and a node that has not been
# heard from is declared dead after 10 s.
sleep 12
read -r nodes cpu0 _ read0 written0 < <(totals)
sleep "$seconds"
read -r nodes cpu1 rss read1 written1 < <(totals)
engines=$(find "$LAB_PIDS" -name 'engine*.pid' | wc -l)
awk -v n="$nodes" -v e="$engines" -v s="$seconds" -v hz="$hz" \
  -v c=$((cpu1 - cpu0)) -v m="$rss" -v r=$((read1 - read0)) -v w=$((written1 - written0)) 'BEGIN {
  printf "nodes=%d engines=%d cpu=%.2f%% rss=%.1fMiB read=%.1fKB/s written=%.1fKB/s (mean of a node)\n",
    n, e, 100 * c / hz / s / n, m / 1024 / n, r / 1000 / s / n, w / 1000 / s / n }'
