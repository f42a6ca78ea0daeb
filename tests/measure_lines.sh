#!/usr/bin/env bash
# Processor time of entry hosts on the operators' platform, as real processes:
# for each idle second with many open sessions, and for each statement.
# SESSIONS, RATE and SECONDS_EACH choose the load; PROFILE, a command with the
# process id as its last argument, runs beside it.
set -u
cd "$(dirname "$0")/.."
. tests/cluster.sh
. tests/platform_cluster.sh
sessions=${SESSIONS:-300} rate=${RATE:-600} seconds=${SECONDS_EACH:-6}
start_platform || exit 1
eventually 20 taken 1 10 || exit 1
for n in 4 5 6; do eventually 10 ready "$n" || exit 1; done
sleep 2
# used: nanoseconds of processor time of the entry hosts so far.
used () {
  local n sum=0
  for n in 4 5 6; do sum=$((sum + $(awk '{print $1}' "/proc/${PID[host$n]}/schedstat"))); done
  echo "$sum"
}
load () { # load RATE
  "$BIN/line_load" --callers "127.0.0.1:$(caller_port 4)" --callers "127.0.0.1:$(caller_port 5)" \
    --callers "127.0.0.1:$(caller_port 6)" --sessions "$sessions" --rate "$1" --seconds "$seconds"
}
load 0 >/dev/null & idle=$!
sleep 2
from=$(used); sleep 3; to=$(used)
wait "$idle"
per_second=$(((to - from) / 3))
echo "lines.idle_second_us=$((per_second / 3000))"
from=$(used)
profile=
[ -z "${PROFILE:-}" ] || { $PROFILE "${PID[host4]}" & profile=$!; }
load "$rate" >"$DIR/load.txt"
to=$(used)
answered=$(sed -n 's/answered=\([0-9]*\) .*/\1/p' "$DIR/load.txt")
echo "lines.statements=$answered $(sed 's/.* //' "$DIR/load.txt")"
echo "lines.statement_us=$(((to - from - per_second * (seconds + 1)) / 1000 / (answered + 1)))"
[ -z "$profile" ] || wait "$profile"
