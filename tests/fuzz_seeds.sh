#!/usr/bin/env bash
# Runs the schedules of tests/fuzz/seeds.tests.  Usage: tests/fuzz_seeds.sh FUZZ
red=0
while read -r seed steps what; do
  case $seed in '#'* | '') continue ;; esac
  "$1" --seed "$seed" --steps "$steps" --quiet || { echo "red: seed $seed: $what"; red=1; }
done < tests/fuzz/seeds.tests
exit $red
