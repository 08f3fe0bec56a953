#!/usr/bin/env bash
# Plays the users' deployments of the current set on their bench, one after the other,
# and prints one table beside the last one that was kept.
#
#   scripts/regression.sh KIT OUTPUT [LAST]
#
# KIT is the folder of the users' system pages, OUTPUT a folder for the logs and the
# table, LAST the table of an earlier run. HUNT=1 hunts as well: 40 days a site, 8 on
# those with 60 hosts or more. Nothing else should run meanwhile: a day of the largest
# deployment needs 13 GB.
set -euo pipefail
if [ $# -lt 2 ]; then
  sed -n '2,10s/^# \{0,1\}//p' "$0"
  exit 2
fi
kit=$1 output=$2 last=${3:-}
bench=$(find "$kit" -path '*/bin/fleetbench' -not -path "$kit/bin/*" | sort | tail -1)
if [ -z "$bench" ]; then
  echo "KIT: no fleetbench below $kit" >&2
  exit 2
fi
mkdir -p "$output"

# Site, days of a hunt, and days that are played at once.
sites="sites/errata-desk:40:4 sites/awea-gateway:40:4 grown/errata-desk-grown:8:4 grown/awea-gateway-grown:8:4
large/errata-desk-large:8:1"

failed=0
for entry in $sites; do
  IFS=: read -r site days jobs <<<"$entry"
  name=$(basename "$site")
  "$bench" score "$kit/$site.toml" --jobs "$jobs" --why "regression" >"$output/$name.score" 2>&1 || failed=1
  if [ "${HUNT:-0}" = 1 ]; then
    "$bench" hunt "$kit/$site.toml" --days "$days" --jobs "$jobs" --why "regression" >"$output/$name.hunt" 2>&1 || failed=1
  fi
done

# A row for each day: deployment, day, worth, served, refused, failed; then the gate.
for entry in $sites; do
  name=$(basename "${entry%%:*}")
  awk -v site="$name" '
    $2 ~ /^[0-9]+\/[0-9]+$/ { print site, $1, $4, $5, $6, $7 }
    /^GATE/ { print site, $0 }' "$output/$name.score"
  if [ -f "$output/$name.hunt" ]; then
    awk -v site="$name" '/rule broken|rules broken/ { print site, "hunt:", $0 }' "$output/$name.hunt"
  fi
done >"$output/table"
if [ -n "$last" ]; then
  diff --side-by-side --width=150 "$last" "$output/table" || true
else
  column -t "$output/table"
fi
exit $failed
