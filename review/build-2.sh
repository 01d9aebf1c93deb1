#!/usr/bin/env bash
# Builds the stand-ins of the cases of the second review.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
GOWORK=off go build -buildvcs=false -o ../../target/review-standin2 .
