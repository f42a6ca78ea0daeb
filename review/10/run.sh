#!/usr/bin/env bash
# An entry host gets SIGTERM while its sessions send one read after the other.
set -u
CASE=$(cd "$(dirname "$0")" && pwd)
. "$CASE/../standin-2/common.sh"

SESSIONS=24
start_all 15 1200
term_ms=4000
[ "$TROUBLE" = 0 ] && term_ms=0
"$FLEET" load "$RECORD" "$(entry_ip 1)" $CALLERS lookup $SESSIONS 12000 "${PID[entry1]}" $term_ms ||
  cannot_run "the load"

# The rule: after SIGTERM, a connection ends without a complete answer to a request
# that has been passed on to a database, up to 1 s after gracePeriodS (6 s).  Left
# out: requests sent up to 3 s after SIGTERM, those older than the route's timeout
# (1,200 ms), and what no database received.
awk '
  $2 == "SIGTERM" { term = $1 }
  $2 == "received" { passed[$3] = 1 }
  $2 == "sent" { sent[$3] = $1 }
  $2 == "answered" { served[$3] = 1 }
  $2 == "closed" { ended[$3] = $1 }
  END {
    for (id in sent) { asked++; if (id in served) answered++ }
    for (id in ended)
      if ((id in sent) && !(id in served)) {
        cut++
        if (term && sent[id] > term + 3000 && ended[id] <= term + 7000 && ended[id] - sent[id] < 1200 && (id in passed)) {
          bad++
          print "broken: " id " sent " sent[id] - term " ms after SIGTERM, passed on, cut " ended[id] - sent[id] " ms later without an answer"
        }
      }
    print asked " requests, " answered " answered, " cut + 0 " cut, " bad + 0 " of these against the rule"
    exit bad > 0 ? 1 : 0
  }' "$RECORD" >"$DIR/verdict"
code=$?
cat "$DIR/verdict" >>"$RECORD"
tail -4 "$DIR/verdict"
exit $code
