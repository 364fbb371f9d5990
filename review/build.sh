#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start.
set -euo pipefail
cd "$(dirname "$0")/standin"
GOWORK=off GOPROXY=off GOFLAGS=-buildvcs=false go build -o ../bin/standin .
