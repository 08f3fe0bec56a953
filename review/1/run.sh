#!/usr/bin/env bash
# Case 1: answers whose declared length is the largest one and whose bytes do not end. See claim.txt.
cd "$(dirname "$0")" || exit 2
stand_ins=../../target/review-stand-ins
[ -x "$stand_ins" ] || { echo "run review/build.sh first"; exit 2; }
exec "$stand_ins" endless-length ../.. .
