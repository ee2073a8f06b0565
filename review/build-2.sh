#!/usr/bin/env bash
# Builds the stand-ins that the cases 6 to 10 start. The nodes are built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")/standin2"
mkdir -p ../../target
GOWORK=off go build -o ../../target/review-standin2 .
