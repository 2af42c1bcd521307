#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/standin-2"
GOWORK=off GOPROXY=off GOFLAGS=-mod=mod go build -o ../../target/review-2 .
