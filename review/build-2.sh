#!/bin/sh
# Builds the stand-ins and drivers of the scripts in review/6 and after. Needs the standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
out=$(pwd)/target/review-2
cd review/rig2/platform
GOFLAGS=-mod=mod GOWORK=off CGO_ENABLED=0 go build -o "$out/" ./cmd/...
