#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into target/. They use Go's standard library alone.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/standin"
mkdir -p ../../target
GOFLAGS= GOWORK=off CGO_ENABLED=0 go build -buildvcs=false -o ../../target/review-standin .
