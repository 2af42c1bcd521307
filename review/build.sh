#!/usr/bin/env bash
# Builds the stand-ins of the review's cases. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/standin"
GOWORK=off GOPROXY=off go build -o ../bin/standin .
