#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/. It needs the standard library only.
set -eu
cd "$(dirname "$0")/standin"
mkdir -p ../../target
GOWORK=off GOFLAGS="-buildvcs=false" go build -o ../../target/review-standin .
