# Functions shared by scripts/demo.sh and scripts/lab-cluster.sh. They start
# nodes, engines, a booking service and a platform as separate processes on
# loopback addresses. This file is meant to be sourced and needs the binaries
# in bin/.
#
# Addresses, prefixed with $net (127.0 by default):
#   $net.1.I:7401  node I: port 7401 for callers, 7402 for operators, 7400 for other nodes
#   $net.2.1:7500  platform
#   $net.3.I:7600  engine I
#   $net.4.1:7700  booking service
net=${LAB_NET:-127.0}
operator_key=demo-operator
caller_key=demo-caller
model=airing-plan-1
pids=()

# Kills all processes that start has started, by their ids.
stop_all() {
  local pid
  for pid in "${pids[@]}"; do
    kill -9 "$pid" 2>/dev/null || true
  done
}

# start NAME COMMAND... runs a command in the background. Its output goes to
# $run/NAME.log and its process id to $run/NAME.pid.
start() {
  local name=$1
  shift
  "$@" >"$run/$name.log" 2>&1 &
  pids+=($!)
  echo $! >"$run/$name.pid"
  disown
}

pid_of() { cat "$run/$1.pid"; }

# wait_for NAME URL waits up to 100 polls, 0.1 s apart, until the URL can be
# fetched. It fails at once if the process has exited, for instance because its
# address is in use.
wait_for() {
  local _
  for _ in $(seq 100); do
    if ! kill -0 "$(pid_of "$1")" 2>/dev/null; then
      echo "$1 exited; last lines of its log:" >&2
      tail -n 5 "$run/$1.log" >&2
      return 1
    fi
    if bin/yuccahatch lab get "$2" >/dev/null 2>&1; then
      return
    fi
    sleep 0.1
  done
  echo "$1 did not respond at $2 within 100 attempts" >&2
  return 1
}

sha256_of() { printf %s "$1" | sha256sum | cut -d' ' -f1; }

# write_files NODES ENGINES writes the host list, the settings file of each node
# and a contract. Nodes and engines are distributed over three data centres. The
# lines in $node_settings are appended to the settings of each node.
write_files() {
  local i
  head -c 32 /dev/urandom >"$run/cursor.key"
  : >"$run/hosts.toml"
  for i in $(seq "$1"); do
    cat >>"$run/hosts.toml" <<END
[[hosts]]
host_id = "node$i"
address = "$net.1.$i:7400"
caller_address = "$net.1.$i:7401"
data_centre = "dc$(((i - 1) % 3 + 1))"
state = "live"
END
    write_node_settings "$i"
  done
  for i in $(seq "$2"); do
    cat >>"$run/hosts.toml" <<END
[[backends]]
backend_id = "engine$i"
url = "http://$net.3.$i:7600"
data_centre = "dc$((i % 3 + 1))"
kind = "engine"
state = "live"
END
  done
  cat >>"$run/hosts.toml" <<END
[[backends]]
backend_id = "booking1"
url = "http://$net.4.1:7700"
data_centre = "dc1"
kind = "service"
service = "booking"
state = "live"
END
  cat >"$run/contract.toml" <<END
customer = "demo"
keys = ["sha256:$(sha256_of "$caller_key")"]
priority = "normal"
share_percent = 100
models = ["$model"]
[[non_idempotent]]
service = "booking"
methods = ["POST"]
path_prefix = "/bookings"
END
}

write_node_settings() {
  cat >"$run/node$1.toml" <<END
[host]
id = "node$1"
data_centre = "dc$((($1 - 1) % 3 + 1))"
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
callers = "$net.1.$1:7401"
operators = "$net.1.$1:7402"
nodes = "$net.1.$1:7400"
[platform]
url = "http://$net.2.1:7500"
timeout = "1s"
[security]
cursor_key_file = "$run/cursor.key"
operator_key_hashes = ["sha256:$(sha256_of "$operator_key")"]
insecure = true
${node_settings:-}
END
}

# start_cluster NODES ENGINES [ENGINE-FLAG...] writes the files, starts all
# processes, waits until the nodes are ready and puts the contract into force.
start_cluster() {
  local nodes=$1 engines=$2 i
  shift 2
  write_files "$nodes" "$engines"
  start platform bin/yuccahatch lab platform --listen "$net.2.1:7500" --hosts "$run/hosts.toml"
  for i in $(seq "$engines"); do
    start "engine$i" bin/yuccahatch lab engine --listen "$net.3.$i:7600" --model "$model" "$@"
  done
  start booking bin/yuccahatch lab service --listen "$net.4.1:7700" --latency 20ms
  for i in $(seq "$nodes"); do
    start "node$i" bin/yuccahatchd run --config "$run/node$i.toml"
  done
  wait_for platform "http://$net.2.1:7500/healthz"
  for i in $(seq "$engines"); do
    wait_for "engine$i" "http://$net.3.$i:7600/healthz"
  done
  for i in $(seq "$nodes"); do
    wait_for "node$i" "http://$net.1.$i:7402/readyz"
  done
  export YUCCAHATCH_OPERATOR_KEY=$operator_key
  bin/yuccahatch contract put "$run/contract.toml" --node "$net.1.1:7402" --wait
}
