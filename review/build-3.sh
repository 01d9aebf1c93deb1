#!/usr/bin/env bash
# Builds the stand-ins of the third review's scripts. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/standin-3"
GOWORK=off GOTOOLCHAIN=local go build -buildvcs=false -o ../../target/review3 .
