#!/usr/bin/env bash
# Builds the stand-ins that the cases' scripts start, with the standard library alone and
# without a network. The project's programs are built by the build line of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/standin"
GOWORK=off GOPROXY=off GOTOOLCHAIN=local go build -buildvcs=false -o ../bin/reviewcase .
