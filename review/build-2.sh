#!/bin/bash
# Builds the stand-ins of the second review into target/review-2. Run it after the build of the deploy file.
set -e
cd "$(dirname "$0")/standin-2"
mkdir -p ../../target/review-2
GOWORK=off GOFLAGS=-mod=mod CGO_ENABLED=0 go build -buildvcs=false -o ../../target/review-2/standin2 .
