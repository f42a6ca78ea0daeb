#!/usr/bin/env bash
# Builds the stand-in that the scripts 6 to 10 start, into target/review-2/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
gcc -std=gnu11 -D_GNU_SOURCE -Wall -Wextra -Wno-format-truncation -O2 \
  -o target/review-2/fleet review/standin-2/fleet.c
