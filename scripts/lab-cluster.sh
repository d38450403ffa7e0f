#!/usr/bin/env bash
# Starts nodes with simulated engines, a booking service and a platform on
# loopback addresses (see cluster.sh), runs a command and then kills the
# processes by their ids.
#
#   scripts/lab-cluster.sh [-n NODES] [-e ENGINES] [-d DIR] [-k] [-f ENGINE-FLAG]... COMMAND...
#
#   -n  number of nodes, 3 by default
#   -e  number of engines, 4 by default
#   -d  directory for settings, logs and pid files, which is kept; a new
#       temporary directory by default
#   -k  keep the directory even if the command succeeds
#   -f  flag to pass to the engines, such as --max-running=16; may be repeated
#
# The command finds the directory of the pid files in the environment variable
# LAB_PIDS. LAB_NET sets the first two octets of the addresses, 127.0 by default;
# the experiment files use the default. The lines in $node_settings are appended
# to the settings of each node.
#
#   scripts/lab-cluster.sh -e 8 bin/yuccahatch lab load --file lab/experiments/engine-kill.toml --report /tmp/engine-kill
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/cluster.sh
nodes=3
engines=4
run=
keep=
flags=()
while getopts n:e:d:kf: option; do
  case $option in
    n) nodes=$OPTARG ;;
    e) engines=$OPTARG ;;
    d) run=$OPTARG ;;
    k) keep=1 ;;
    f) flags+=("$OPTARG") ;;
    *) exit 2 ;;
  esac
done
shift $((OPTIND - 1))
if [ $# -eq 0 ]; then
  echo "no command given; see the comment at the top of $0" >&2
  exit 2
fi
if [ -z "$run" ]; then
  run=$(mktemp -d)
else
  mkdir -p "$run"
  keep=1
fi
finish() {
  status=$?
  stop_all
  if [ "$status" -eq 0 ] && [ -z "$keep" ]; then
    rm -rf "$run"
  else
    echo "settings and logs are in $run"
  fi
}
trap finish EXIT
start_cluster "$nodes" "$engines" "${flags[@]}"
export LAB_PIDS=$run
"$@"
