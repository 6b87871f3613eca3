#!/bin/sh
# Generates internal/wire from the .proto files; needs protoc and protoc-gen-go.
set -eu
cd "$(dirname "$0")"
protoc --go_out=.. --go_opt=module=sassafrasturn.example ./*.proto
