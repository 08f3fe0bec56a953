#!/usr/bin/env bash
# Runs all tests with the race detector. Tests listed in KNOWN-RED.txt are
# skipped by exact name and printed; every line "test: NAME" names one. The
# fleets of internal/discovery are small under the race detector and are run
# again at full size without it.
set -euo pipefail
cd "$(dirname "$0")/.."
known_red=''
while IFS= read -r line; do
  test=${line#test: }
  echo "known red, not run: $test"
  known_red="$known_red|^$test\$"
done < <(grep -E '^test: ' KNOWN-RED.txt 2>/dev/null || true)
skip="^TestClients$known_red"
# A package of fleets in memory can take more than the default of 10 minutes on a busy machine.
go test -race -timeout 30m -count=1 -skip "$skip" ./...
go test -count=1 -skip "$skip" ./internal/discovery
go test -count=1 -timeout 30m -run '^TestClients' -skip "${known_red#|}" ./internal/systemtest
