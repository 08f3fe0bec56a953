#!/usr/bin/env bash
# Case 1: answers whose declared length is the largest one and whose bytes do not end. See claim.txt.
cd "$(dirname "$0")"
exec ../../target/review-stand-ins endless-length ../.. .
