#!/usr/bin/env bash
# Case 2: a target's entry is removed while many hosts are killed; the other hosts never learn of it. See claim.txt.
cd "$(dirname "$0")"
exec ../../target/review-stand-ins lost-removal ../.. .
