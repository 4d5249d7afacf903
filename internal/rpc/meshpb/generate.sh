#!/bin/sh
set -eu
cd "$(dirname "$0")"
bin=$(mktemp -d)
GOBIN=$bin go install google.golang.org/protobuf/cmd/protoc-gen-go@v1.36.12
GOBIN=$bin go install github.com/twitchtv/twirp/protoc-gen-twirp@v8.1.3+incompatible
PATH=$bin:$PATH protoc --go_out=paths=source_relative:. --twirp_out=paths=source_relative:. mesh.proto
rm -r "$bin"
