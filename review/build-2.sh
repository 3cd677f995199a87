#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. They use the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/src-2"
GOWORK=off GOFLAGS=-buildvcs=false go build -o ../../target/review-2/reviewcases .
