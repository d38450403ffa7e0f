#!/usr/bin/env bash
# Generates the Go code of the protocol between nodes. Needs protoc.
set -euo pipefail
cd "$(dirname "$0")/.."
tools=$(mktemp -d)
trap 'rm -rf "$tools"' EXIT
go build -o "$tools/" google.golang.org/protobuf/cmd/protoc-gen-go google.golang.org/grpc/cmd/protoc-gen-go-grpc
PATH=$tools:$PATH protoc -I internal/peer/node/nodepb \
  --go_out=internal/peer/node/nodepb --go_opt=paths=source_relative \
  --go-grpc_out=internal/peer/node/nodepb --go-grpc_opt=paths=source_relative \
  node.proto
