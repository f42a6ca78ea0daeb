#!/usr/bin/env bash
# A replica is replaced as planned; of the other copies, one receives nothing and one
# is down for some seconds.  Then the primary crashes.
set -u
CASE=$(cd "$(dirname "$0")" && pwd)
. "$CASE/../standin-2/common.sh"

start_all 3 1200
state () { command_to state | tr '\n' ' '; }
db1_leads () { command_to state | grep -q '^db1 up primary' || cannot_run "db1 does not lead"; }
promoted_other () { command_to state | grep -v '^db1 ' | grep -q primary; }

# Transactions that only read, at the primary: BEGIN, READ, COMMIT, four a second.
readers () {
  local n=0
  while [ -e "$DIR/go" ]; do
    open_session 1 orders || { sleep 0.2; continue; }
    while [ -e "$DIR/go" ]; do
      n=$((n + 1))
      ask "b$n" BEGIN && ask "r$n" "READ k1" && ask "c$n" COMMIT
      case $answer in DONE*) ;; *) break ;; esac
      sleep 0.25
    done
    exec 3>&-
  done
}
# Single writes, through the other entry host.
writers () {
  local n=0
  while [ -e "$DIR/go" ]; do
    n=$((n + 1))
    once 2 orders "x$n" "WRITE x$n v$n" "DONE *"
    sleep 0.4
  done
}

# The release: db4 starts, then db2 says that it leaves, and goes on for drainMs.
command_to reborn db4 >/dev/null
sleep 2
command_to drain db2 >/dev/null
sleep 6
say "before: $(state)"
if [ "$TROUBLE" != 0 ]; then
  command_to crash db4 >/dev/null # a replica crashes; it will come back with its log
  command_to deaf db3 >/dev/null  # another one receives nothing
fi
db1_leads
kept=0
for n in 1 2 3 4 5; do
  once 1 orders "w$n" "WRITE k$n v$n" "DONE *" && kept=$((kept + 1))
  sleep 0.1
done
[ "$kept" = 5 ] || cannot_run "only $kept of 5 writes are acknowledged"
sleep 0.7
command_to leave db2 >/dev/null # the end of the planned work
touch "$DIR/go"
readers & PID[readers]=$!
writers & PID[writers]=$!
sleep 3
say "db2 has left: $(state)"
if [ "$TROUBLE" != 0 ]; then
  db1_leads
  command_to crash db1 >/dev/null # the primary crashes
  rm "$DIR/go"
  sleep 0.2
  command_to start db4 >/dev/null
  eventually 20 promoted_other || say "no database was promoted in 20 s"
  say "after: $(state)"
  command_to hear db3 >/dev/null
  command_to start db1 >/dev/null # the primary comes back with its log
  sleep 4
fi
rm -f "$DIR/go"
lost=0
for n in 1 2 3 4 5; do
  eventually 10 once 2 orders "check$n-$RANDOM" "READ k$n" "ROW *DONE *" || cannot_run "k$n can't be read"
  case $answer in "ROW v$n|"*) ;; *) lost=$((lost + 1)) ;; esac
done
say "end: $(state)"
rule=$(grep -c ' LOST ' "$RECORD")
echo "$lost of 5 acknowledged writes can't be read; $rule acknowledged commits were missing in a promoted log"
[ "$rule" = 0 ]
