#!/usr/bin/env bash
# Measures what a host adds to requests: starts one target without service time
# and one host on loopback and runs "sapphirectl load" against both.
# Usage: scripts/load.sh [flags of sapphirectl load]
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o bin/ ./cmd/...

work=$(mktemp -d)
pids=()
stop_all() {
  trap - EXIT
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$work"
}
trap stop_all EXIT
trap 'exit 130' INT TERM
start() { "$@" >>"$work/log" 2>&1 & pids+=($!); }

start bin/standin log -listen 127.0.0.1:23900
start bin/standin hosts -listen 127.0.0.1:23901
start bin/standin target -listen 127.0.0.1:23001 -latency 0 -slots 512 -queue 512
start bin/sapphirehaven -host-id load-host -region r -zone z -caller-listen 127.0.0.1:23101 -admin-listen 127.0.0.1:23201 \
  -peer-listen 127.0.0.1:23301 -log-url http://127.0.0.1:23900 -hosts-url http://127.0.0.1:23901 -admin-token load-measurement
cat >"$work/document.yaml" <<'YAML'
format: 1
name: load
regions: [{name: r, zones: [z]}]
services:
  - name: s
    limits: {queue_length: 1024}
    targets: [{name: t, address: "127.0.0.1:23001", zone: z, slots: 512}]
    classes: [{name: lookup, idempotent: true}]
routes: [{name: all, path_prefix: /, service: s, class: lookup}]
YAML
for _ in $(seq 50); do
  bin/sapphirectl document apply -admin http://127.0.0.1:23201 -token load-measurement -base 0 "$work/document.yaml" >/dev/null 2>&1 && break
  sleep 0.1
done
bin/sapphirectl load -direct http://127.0.0.1:23001/lookup -host http://127.0.0.1:23101/lookup \
  -direct-metrics http://127.0.0.1:23001/metrics -host-metrics http://127.0.0.1:23201/metrics "$@"
