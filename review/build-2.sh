#!/usr/bin/env bash
# Builds the programs of cases 6 to 10, each of which holds all stand-ins that its script starts.
set -euo pipefail
cd "$(dirname "$0")/.."
for case in 6 7 8 9 10; do
  [ ! -f "review/$case/main.go" ] || go build -o "target/review-2/case$case" "./review/$case"
done
