#!/usr/bin/env bash
# Sessions prepare statements and keep them, as the pages let them.
set -u
CASE=$(cd "$(dirname "$0")" && pwd)
. "$CASE/../standin-2/common.sh"

MEMORY_MB=182 # memoryMb of the settings, as on the site
SESSIONS=40 STATEMENTS=100 BYTES=50000
[ "$TROUBLE" = 0 ] && STATEMENTS=2
start_all 3 1200
for n in 1 2; do
  "$FLEET" prepare "$RECORD" "$(entry_ip $n)" $CALLERS lookup $SESSIONS 40000 $STATEMENTS $BYTES &
  PID[load$n]=$!
done
# The platform kills a process that uses more than memoryMb, and starts it again
# after a short delay.
killed=(0 0 0) most=0
end=$((SECONDS + 38))
while [ $SECONDS -lt $end ] && ! { [ "${killed[1]}" -ge 3 ] && [ "${killed[2]}" -ge 3 ]; }; do
  for n in 1 2; do
    used=$(awk '/^VmRSS/ {print $2}' "/proc/${PID[entry$n]}/status" 2>/dev/null)
    used=${used:-0}
    [ "$used" -gt "$most" ] && most=$used
    if [ "$used" -gt $((MEMORY_MB * 1024)) ]; then
      say "entry$n uses $used kB, more than memoryMb: killed"
      kill -KILL "${PID[entry$n]}"
      wait "${PID[entry$n]}" 2>/dev/null
      killed[$n]=$((killed[$n] + 1))
      sleep 0.3
      start entry$n
    fi
  done
  sleep 0.05
done
say "killed: entry1 ${killed[1]} times, entry2 ${killed[2]} times; at most $most kB in use"
tail -1 "$RECORD"
[ "${killed[1]}" -lt 3 ] || [ "${killed[2]}" -lt 3 ]
