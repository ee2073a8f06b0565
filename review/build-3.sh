#!/usr/bin/env bash
# Builds the stand-ins of the third review's scripts, after the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/standin3"
mkdir -p ../../target/review-3
GOWORK=off GOTOOLCHAIN=local GOFLAGS=-mod=mod CGO_ENABLED=0 go build -o ../../target/review-3/standin3 .
