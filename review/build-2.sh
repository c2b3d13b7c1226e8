#!/bin/sh
# Builds the stand-ins of the second review's scripts, after the build of the deploy file.
set -e
cd "$(dirname "$0")/standin2"
GOFLAGS=-mod=mod GOWORK=off go build -buildvcs=false -o ../../target/review2/standin2 .
