#!/usr/bin/env bash
# Prints what the nodes of a cluster without load use: CPU, resident memory,
# and bytes read and written (/proc/PID/io, which counts sockets and the log).
# The mean over all nodes is one line, so that runs at several sizes show
# slopes. To be run inside lab-cluster.sh:
#
#   scripts/lab-cluster.sh -n 9 -e 38 scripts/idle-overhead.sh [SECONDS]
set -euo pipefail
seconds=${1:-10}
: "${LAB_PIDS:?run this by scripts/lab-cluster.sh}"
hz=$(getconf CLK_TCK)

# Prints CPU ticks, resident KiB, bytes read and bytes written over all nodes.
totals() {
  local file pid
  for file in "$LAB_PIDS"/node*.pid; do
    pid=$(cat "$file")
    echo "$(awk '{print $14 + $15}' "/proc/$pid/stat")" \
      "$(awk '/^VmRSS/ {print $2}' "/proc/$pid/status")" \
      "$(awk '/^rchar/ {r = $2} /^wchar/ {w = $2} END {print r, w}' "/proc/$pid/io")"
  done | awk '{c += $1; m += $2; r += $3; w += $4} END {printf "%d %d %d %d %d\n", NR, c, m, r, w}'
}

sleep 12 # past the first host lists, and the 10 s after which unheard nodes are dead
read -r nodes cpu0 _ read0 written0 < <(totals)
sleep "$seconds"
read -r nodes cpu1 rss read1 written1 < <(totals)
engines=$(find "$LAB_PIDS" -name 'engine*.pid' | wc -l)
awk -v n="$nodes" -v e="$engines" -v s="$seconds" -v hz="$hz" \
  -v c=$((cpu1 - cpu0)) -v m="$rss" -v r=$((read1 - read0)) -v w=$((written1 - written0)) 'BEGIN {
  printf "nodes=%d engines=%d cpu=%.2f%% rss=%.1fMiB read=%.1fKB/s written=%.1fKB/s (mean of a node)\n",
    n, e, 100 * c / hz / s / n, m / 1024 / n, r / 1000 / s / n, w / 1000 / s / n }'
