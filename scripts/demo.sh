#!/usr/bin/env bash
# Runs the main job on stand-ins: three nodes, four engines, a booking service
# and a platform, each a process of its own. Kills an engine and a node in
# mid-answer and prints a report. Exits with 1 if any promise is broken.
set -euo pipefail
cd "$(dirname "$0")/.."
run=$(mktemp -d)
pids=()
finish() {
  status=$?
  for pid in "${pids[@]}"; do
    kill -9 "$pid" 2>/dev/null || true
  done
  if [ "$status" -eq 0 ]; then
    rm -rf "$run"
  else
    echo "logs are in $run"
  fi
}
trap finish EXIT

start() { # NAME COMMAND...
  local name=$1
  shift
  "$@" >"$run/$name.log" 2>&1 &
  pids+=($!)
  eval "pid_$name=$!"
  disown
}

wait_for() { # URL
  for _ in $(seq 100); do
    if bin/yuccahatch lab get "$1" >/dev/null 2>&1; then
      return
    fi
    sleep 0.1
  done
  echo "no answer from $1"
  exit 1
}

head -c 32 /dev/urandom >"$run/cursor.key"
operator_key=demo-operator
operator_hash=$(printf %s "$operator_key" | sha256sum | cut -d' ' -f1)
caller_hash=$(printf %s demo-caller | sha256sum | cut -d' ' -f1)

for i in 1 2 3; do
  cat >>"$run/hosts.toml" <<EOF
[[hosts]]
host_id = "node$i"
address = "127.0.1.$i:7400"
caller_address = "127.0.1.$i:7401"
data_centre = "dc$i"
state = "live"
EOF
  cat >"$run/node$i.toml" <<EOF
[host]
id = "node$i"
data_centre = "dc$i"
[[data_centres]]
name = "dc1"
region = "demo"
[[data_centres]]
name = "dc2"
region = "demo"
[[data_centres]]
name = "dc3"
region = "demo"
[listen]
callers = "127.0.1.$i:7401"
operators = "127.0.1.$i:7402"
nodes = "127.0.1.$i:7400"
[platform]
url = "http://127.0.2.1:7500"
timeout = "1s"
[security]
cursor_key_file = "$run/cursor.key"
operator_key_hashes = ["sha256:$operator_hash"]
insecure = true
EOF
done
for i in 1 2 3 4; do
  cat >>"$run/hosts.toml" <<EOF
[[backends]]
backend_id = "engine$i"
url = "http://127.0.3.$i:7600"
data_centre = "dc$((i % 3 + 1))"
kind = "engine"
state = "live"
EOF
done
cat >>"$run/hosts.toml" <<EOF
[[backends]]
backend_id = "booking1"
url = "http://127.0.4.1:7700"
data_centre = "dc1"
kind = "service"
service = "booking"
state = "live"
EOF
cat >"$run/contract.toml" <<EOF
customer = "demo"
keys = ["sha256:$caller_hash"]
priority = "normal"
share_percent = 100
models = ["airing-plan-1"]
[[non_idempotent]]
service = "booking"
methods = ["POST"]
path_prefix = "/bookings"
EOF

start platform bin/yuccahatch lab platform --listen 127.0.2.1:7500 --hosts "$run/hosts.toml"
for i in 1 2 3 4; do
  start "engine$i" bin/yuccahatch lab engine --listen "127.0.3.$i:7600" --model airing-plan-1 --token-rate 20
done
start booking bin/yuccahatch lab service --listen 127.0.4.1:7700 --latency 20ms
for i in 1 2 3; do
  start "node$i" bin/yuccahatchd run --config "$run/node$i.toml"
done
for i in 1 2 3; do
  wait_for "http://127.0.1.$i:7402/readyz"
done

export YUCCAHATCH_OPERATOR_KEY=$operator_key
bin/yuccahatch contract put "$run/contract.toml" --node 127.0.1.1:7402 --wait

echo "== load: 30 answers and 30 bookings; engine1 dies after 3 s, node1 after 5 s"
bin/yuccahatch lab demo --node 127.0.1.1:7401 --node 127.0.1.2:7401 --node 127.0.1.3:7401 \
  --key demo-caller --model airing-plan-1 --service-url http://127.0.4.1:7700 \
  --metrics 127.0.1.2:7402 --metrics 127.0.1.3:7402 &
demo=$!
sleep 3
kill -9 "$pid_engine1"
sleep 2
kill -9 "$pid_node1"
wait "$demo"
