#!/usr/bin/env bash
# Builds the stand-ins that the cases 6 to 10 start, with the standard library alone and without
# a network. The nodes are built by the build line of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/standin2"
mkdir -p ../../target
GOWORK=off GOPROXY=off GOTOOLCHAIN=local go build -buildvcs=false -o ../../target/review-standin2 .
