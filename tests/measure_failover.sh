#!/usr/bin/env bash
# Gaps in service with real processes, in real time: writes at 100 a second, a
# fault after two seconds, and the longest time without a good write.
# Usage: tests/measure_failover.sh [ertis|tracnica]
set -u
cd "$(dirname "$0")/.."
. tests/cluster.sh
CONTROL_HOSTS="1 2 3"
ENTRY_HOSTS="1 2 3 4"
# The databases of one user: ertis, or tracnica.
USER_SIZE=${1:-ertis}
DATABASE_OPTIONS="--slots 2 --connections 40 --connect-ms 10"
[ "$USER_SIZE" = tracnica ] && DATABASE_OPTIONS="--slots 2 --connections 60 --connect-ms 30"
start_system || { echo "failover_measured=0"; exit 1; }
cat > "$DIR/mix.json" <<'EOF'
[{"label": "write", "service": "quote", "statement": "put", "access": "write", "params": ["k", "$n"], "rate": 100},
 {"label": "read", "service": "recipe", "statement": "get", "access": "read", "params": ["k"], "rate": 100}]
EOF
three_voters () { [ "$(operate 1 status 2>/dev/null | grep -c 'role=voter settled=true')" = 3 ]; }
eventually 15 three_voters
replicas () { [ "$(operate 1 status 2>/dev/null | grep -c 'group=costing role=replica')" = 2 ]; }

# gap NAME COMMAND...: the gap that COMMAND causes.
gap () {
  local name=$1 hosts=() h
  shift
  for h in ${LOAD_HOSTS:-1 2 3 4}; do hosts+=(--host "$(caller_of "$h")"); done
  eventually 15 replicas
  sleep 1
  "$BIN/galenamount" load "${hosts[@]}" --seconds 8 --quiet "$DIR/mix.json" > "$DIR/$name.txt" &
  local load=$!
  sleep 2
  "$@" >/dev/null 2>&1
  wait "$load"
  local write read
  write=$(sed -n 's/^write: .*longest gap \([0-9]*\) ms/\1/p' "$DIR/$name.txt")
  read=$(sed -n 's/^read: .*longest gap \([0-9]*\) ms/\1/p' "$DIR/$name.txt")
  echo "failover_gap_ms.$USER_SIZE.$name=$write"
  echo "read_gap_ms.$USER_SIZE.$name=$read"
}
kill_primary () { old=$(primary_of 1); kill_process "$old"; }
freeze_primary () { old=$(primary_of 1); signal "$old" STOP; }
cut_primary () { run_on 1 --service quote "SELECT galenamount.fault" cut_from_peers 1; }
leave_primary () { run_on 1 --service quote "SELECT galenamount.fault" leaving 1; }
kill_dispatcher () {
  owner=$(operate 1 status | sed -n 's/.*group=costing .*dispatcher=host\([0-9]*\).*/\1/p')
  kill_process "host$owner"
}
drain_dispatcher () { operate "$owner" drain; }

echo "time=real"
gap none true
gap kill kill_primary
start_database "${old#db}" costing $DATABASE_OPTIONS
gap freeze freeze_primary
signal "$old" CONT
sleep 2
gap peer_cut cut_primary
run_on 1 --service quote "SELECT galenamount.fault" cut_from_peers 0 >/dev/null 2>&1
owner=$(operate 1 status | sed -n 's/.*group=costing .*dispatcher=host\([0-9]*\).*/\1/p')
LOAD_HOSTS=$(for h in 1 2 3 4; do [ "$h" = "$owner" ] || echo "$h"; done)
gap dispatcher_kill kill_dispatcher
start_host "$owner"
eventually 15 healthy "$owner"
eventually 15 three_voters
owner=$(operate 1 status | sed -n 's/.*group=costing .*dispatcher=host\([0-9]*\).*/\1/p')
LOAD_HOSTS=$(for h in 1 2 3 4; do [ "$h" = "$owner" ] || echo "$h"; done)
gap dispatcher_drain drain_dispatcher
