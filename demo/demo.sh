#!/usr/bin/env bash
# The main job on loopback: a write, the read of it through another host, a
# failover, a second configuration.  One summary line per step; exit status 0
# only if all were right.
set -u
cd "$(dirname "$0")/.."
CONTROL_HOSTS="1"
ENTRY_HOSTS="2 3"
. tests/cluster.sh
CONTROL_HOSTS="1"
ENTRY_HOSTS="2 3"
DATABASE_OPTIONS="--lag-ms 30"
failed=0

step () { # step NAME RESULT DETAIL
  local word=ok
  [ "$2" = 0 ] || { word=FAILED; failed=1; }
  printf '%-14s %s  %s\n' "$1" "$word" "$3"
}

start_system
step start $? "1 control host, 2 entry hosts with dispatchers, 3 databases (primary $(primary_of 1))"

out=$(eventually 5 run_on 2 --service quote --session "$DIR/token" put batch-7 41.70 2>&1)
step write $? "through host2: $(tail -1 <<<"$out")"

out=$(run_on 3 --service quote --session "$DIR/token" --read get batch-7 2>&1)
grep -q '41.70' <<<"$out"
step read-own-write $? "through host3: $out"

old=$(primary_of 1)
began=$(date +%s%3N)
kill_process "$old"
eventually 10 run_on 2 --service quote --session "$DIR/token" put batch-7 43.10 >/dev/null 2>&1
result=$?
gap=$(( $(date +%s%3N) - began ))
new=$(primary_of 1)
[ "$result" = 0 ] && [ -n "$new" ] && [ "$new" != "$old" ]
step failover $? "killed $old, $new took over; writes again after $gap ms"

out=$(run_on 3 --service quote --session "$DIR/token" --read get batch-7 2>&1)
grep -q '43.10' <<<"$out"
step read-after $? "through host3: $out"

declaration 2 500 > "$DIR/declaration2.json"
out=$(operate 2 apply "$DIR/declaration2.json" --who demo 2>&1)
result=$?
in_force () { [ "$(operate 1 status | grep -c 'config_in_force=2')" = 3 ]; }
[ "$result" = 0 ] && eventually 2 in_force
step configuration $? "$out; in force on $(operate 1 status | grep -c 'config_in_force=2') of 3 hosts"

for h in 1 2 3; do signal "host$h" TERM; done
result=0
for h in 3 2 1; do wait "${PID[host$h]}" || result=1; unset "PID[host$h]"; done
step stop $result "all hosts drained"
exit $failed
