#!/usr/bin/env bash
# Builds the stand-ins of the third review's scripts. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/standin-3"
GOWORK=off GOFLAGS=-mod=mod GOTOOLCHAIN=local go build -o ../../target/review3 .
