#!/usr/bin/env bash
# Runs three nodes against four simulated engines, a simulated booking service
# and a simulated platform, each in a separate process. Kills an engine and a
# node while answers are being generated and prints a report. Exits with status
# 1 if any guarantee is violated.
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/cluster.sh
run=$(mktemp -d)
finish() {
  status=$?
  stop_all
  if [ "$status" -eq 0 ]; then
    rm -rf "$run"
  else
    echo "logs are in $run"
  fi
}
trap finish EXIT

start_cluster 3 4 --token-rate 20

echo "== load: 30 answers and 30 bookings; engine1 dies after 3 s, node1 after 5 s"
bin/yuccahatch lab demo --node "$net.1.1:7401" --node "$net.1.2:7401" --node "$net.1.3:7401" \
  --key "$caller_key" --model "$model" --service-url "http://$net.4.1:7700" \
  --metrics "$net.1.2:7402" --metrics "$net.1.3:7402" > >(tee "$run/report.txt") &
demo=$!
sleep 3
kill -9 "$(pid_of engine1)"
sleep 2
kill -9 "$(pid_of node1)"
wait "$demo"

slowest=$(sed -n 's/^slowest resume *//p' "$run/report.txt")
if [ -n "$slowest" ]; then
  echo "== the request with the slowest resume, as the nodes that are left explain it"
  bin/yuccahatch explain "$slowest" --node "$net.1.2:7402" --node "$net.1.3:7402" ||
    echo "its node has ended, and none of the others took it over"
fi
