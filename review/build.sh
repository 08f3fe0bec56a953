#!/usr/bin/env bash
# Builds the stand-ins of the review: store, targets, callers and the platform, in one program.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p ../target
CGO_ENABLED=0 GOFLAGS=-mod=mod GOWORK=off go build -buildvcs=false -o ../target/review-stand-ins ./platform
