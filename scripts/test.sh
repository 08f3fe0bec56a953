#!/usr/bin/env bash
# Runs all tests with the race detector. Tests listed in KNOWN-RED.txt are
# skipped by exact name and printed; every line "test: NAME" names one.
set -euo pipefail
cd "$(dirname "$0")/.."
skip=""
if [ -f KNOWN-RED.txt ]; then
  names=$(sed -n 's/^test: *\([A-Za-z0-9_]*\).*/\1/p' KNOWN-RED.txt)
  for name in $names; do
    echo "known red, not run: $name"
    skip="${skip:+$skip|}^$name\$"
  done
fi
go test -race -count=1 ${skip:+-skip "$skip"} ./...
