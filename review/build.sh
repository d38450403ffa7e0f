#!/usr/bin/env bash
# Builds every stand-in that the cases start, into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for main in review/[0-9]/main.go; do
  [ -f "$main" ] || continue
  number=$(basename "$(dirname "$main")")
  go build -o "target/review/case$number" "./review/$number"
done
