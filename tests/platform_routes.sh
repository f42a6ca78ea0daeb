#!/usr/bin/env bash
# Tests what a dropped route leaves behind, with real processes and a stand-in
# for the operators' platform.  Prints one line per case; the exit status is 0
# only if all cases pass.  No case depends on timing: idle transactions are kept
# for longer than the script runs.
set -u
cd "$(dirname "$0")/.."
trap '' PIPE
. tests/cluster.sh
. tests/platform_cluster.sh
. tests/platform_sessions.sh

transaction () { # transaction FD HOST DATABASE: opens one that stays open
  open "$1" "$2" "$3" && says "$1" BEGIN "DONE -|" && says "$1" "WRITE t$1 1" "DONE sig.*"
}
# in_force VERSION ROUTE...: whether control host 1 takes that manifest
in_force () { [ "$(replace 1 "$(manifest "$@" | sed 's/"txIdleMs":3000/"txIdleMs":600000/')" | head -1)" = 200 ]; }
unknown () { # unknown HOST DATABASE: whether the host refuses sessions there
  local line
  exec 4<>"/dev/tcp/127.0.0.1/$(caller_port "$1")"
  printf 'START %s me\r\n' "$2" >&4
  IFS= read -r -t 10 -u 4 line
  close 4
  [ "${line:0:8}" = "ERR NODB" ]
}

start_platform || exit 1
eventually 20 in_force 10 "${routes[@]}"
check manifest-accepted $?
eventually 10 ready 4 && eventually 10 ready 5 && eventually 10 ready 6
check entries-ready $?
served () { transaction 3 5 orders && says 3 COMMIT "DONE sig.*"; }
eventually 15 served
check transaction-served $? "$answer"
close 3

# A session forgot its own write when its route went to another service and back:
# its reads went to replicas that lacked the write.
elsewhere="$(route levels read_your_writes | sed 's/"stock"/"spare"/')"
spare () { # spare VERSION ROUTE...: like in_force, with a service that has no databases
  [ "$(replace 1 "$(manifest "$@" | sed 's/"services":\[/&{"name":"spare","maxConnections":40},/')" | head -1)" = 200 ]
}
eventually 10 once 4 levels "READ m" "ROW none *"
for n in 0 1 2; do [ "db$n" = "$(primary)" ] || fault "db$n" lag; done
open 3 4 levels && says 3 "READ m" "ROW none *" && says 3 "WRITE m 1" "DONE sig.*"
check write-before-the-route-moves $? "$answer"
spare 10100 "$(route orders primary)" "$elsewhere" "$(route shelf bounded_staleness)"
away () { says 3 "READ m" "ERR BUSY*"; }
eventually 10 away
check route-moved $? "$answer"
eventually 10 in_force 10200 "${routes[@]}"
back () { says 3 "READ m" "ROW *"; }
eventually 10 back
case $answer in "ROW 1 "*) true ;; *) false ;; esac
check own-write-seen-after-the-route-came-back $? "$answer"
lacking=0
for _ in {1..20}; do says 3 "READ m" "ROW 1 *" || lacking=$((lacking + 1)); done
[ "$lacking" = 0 ]
check own-write-seen-by-all-reads $? "$lacking of 20 lack it"
close 3
for n in 0 1 2; do fault "db$n" fresh; done

# Transactions whose route was dropped kept their places, here all that there
# are, until they had been idle for too long: their end was ignored.
fill () { # fill DATABASE: takes all places of transactions
  local fd
  for fd in {10..23}; do transaction "$fd" 4 "$1" || return 1; done
}
fill levels
check places-taken $? "$answer"
in_force 10300 "$(route orders primary)"
eventually 10 unknown 4 levels && eventually 10 unknown 5 levels && eventually 10 unknown 6 levels
check route-dropped $?
says 10 ROLLBACK "DONE -|" && says 11 ROLLBACK "DONE -|" && says 12 ROLLBACK "DONE -|"
check transaction-of-dropped-route-rolls-back $? "$answer"
for fd in {13..15}; do says "$fd" COMMIT "*"; done
for fd in {16..18}; do says "$fd" "READ a" "*"; done
for fd in {10..23}; do close "$fd"; done
fill orders
check transaction-of-dropped-route-leaves-its-place $? "$answer"
for fd in {10..23}; do close "$fd"; done

state | grep -q "violations=0"
check no-promise-broken $? "$(state)"
echo "$passed passed, $failed failed"
[ "$failed" = 0 ]
