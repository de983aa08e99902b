#!/usr/bin/env bash
# Generates gen/ from the schema. Needs protoc; the plugins come from go.mod's tools.
set -euo pipefail
cd "$(dirname "$0")/.."
plugins=$(mktemp -d)
trap 'rm -rf "$plugins"' EXIT
go build -o "$plugins" google.golang.org/protobuf/cmd/protoc-gen-go connectrpc.com/connect/cmd/protoc-gen-connect-go
PATH="$plugins:$PATH" protoc -I proto --go_out=. --go_opt=module=eelgrasshollow \
  --connect-go_out=. --connect-go_opt=module=eelgrasshollow proto/eelgrass/v1/*.proto
gofmt -w gen
