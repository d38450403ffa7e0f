#!/usr/bin/env bash
# Generates the Go code for the node-to-node protocol and for cursors from their
# .proto files. Requires protoc.
set -euo pipefail
cd "$(dirname "$0")/.."
tools=$(mktemp -d)
trap 'rm -rf "$tools"' EXIT
go build -o "$tools/" google.golang.org/protobuf/cmd/protoc-gen-go google.golang.org/grpc/cmd/protoc-gen-go-grpc

generate() {
  PATH=$tools:$PATH protoc -I "$1" \
    --go_out="$1" --go_opt=paths=source_relative \
    --go-grpc_out="$1" --go-grpc_opt=paths=source_relative \
    "$2"
}

generate internal/peer/node/nodepb node.proto
generate internal/cursor/cursorpb cursor.proto
