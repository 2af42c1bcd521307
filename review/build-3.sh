#!/usr/bin/env bash
# Builds the stand-ins of the third review's cases, without a network.
set -euo pipefail
cd "$(dirname "$0")/standin-3"
mkdir -p ../../target
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off go build -o ../../target/review-standin-3 .
