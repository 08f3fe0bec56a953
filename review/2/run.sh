#!/usr/bin/env bash
# Case 2: a target's entry is removed while many hosts are killed; the other hosts never learn of it. See claim.txt.
cd "$(dirname "$0")" || exit 2
stand_ins=../../target/review-stand-ins
[ -x "$stand_ins" ] || { echo "run review/build.sh first"; exit 2; }
exec "$stand_ins" lost-removal ../.. .
