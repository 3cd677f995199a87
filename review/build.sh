#!/usr/bin/env bash
# Builds the stand-ins and the harness of the cases into review/bin. They need the Go toolchain alone, no network.
set -euo pipefail
cd "$(dirname "$0")/src"
GOWORK=off GOTOOLCHAIN=local GOFLAGS=-buildvcs=false CGO_ENABLED=0 go build -o ../bin/ ./...
