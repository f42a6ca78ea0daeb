#!/usr/bin/env bash
# Tests real processes under signals, a lost data folder and races.  Prints one
# line per case; the exit status is 0 only if all cases pass.  No case depends
# on timing, only on the final result.
set -u
cd "$(dirname "$0")/.."
trap '' PIPE
. tests/cluster.sh
CONTROL_HOSTS="1 2 3"
ENTRY_HOSTS="1 2 3 4"
passed=0 failed=0

check () { # check NAME RESULT [DETAIL]
  if [ "$2" = 0 ]; then passed=$((passed + 1)); echo "ok     $1"; else
    failed=$((failed + 1)); echo "FAILED $1 ${3:-}"; fi
}
write () { run_on "$1" --service quote --session "$DIR/token" put "$2" "$3" >/dev/null 2>&1; }
reads () { run_on "$1" --service quote --session "$DIR/token" --read get "$2" 2>/dev/null | grep -q "\"$3\""; }
leader () { operate "$1" status 2>/dev/null | sed -n 's/^leader=host\([0-9]*\).*/\1/p'; }
voters () { [ "$(operate "$1" status 2>/dev/null | grep -c 'role=voter settled=true')" = "$2" ]; }
other_than () { local n; for n in 1 2 3; do [ "$n" != "$1" ] && { echo "$n"; return; }; done; }
apply () { declaration "$2" "${3:-2000}" > "$DIR/apply.json"; operate "$1" apply "$DIR/apply.json" --who test 2>&1; }
applied () { apply "$@" | grep -q accepted; }
gone () { ! kill -0 "$1" 2>/dev/null; }

start_system
check start $?
eventually 15 voters 1 3
check three-voters $?
eventually 10 write 1 a 1 && eventually 5 reads 2 a 1
check read-own-write-through-another-host $?

# A killed primary is replaced, and returns as a replica.
old=$(primary_of 1)
kill_process "$old"
eventually 15 write 1 a 2 && reads 3 a 2
check primary-killed $?
start_database "${old#db}" costing
returned () { operate 1 status | grep "id=$1 " | grep -q role=replica; }
eventually 15 returned "$old"
check old-primary-returns-as-replica $?

# A frozen primary is replaced, and stays replaced after SIGCONT.
old=$(primary_of 1)
signal "$old" STOP
eventually 15 write 2 a 3 && reads 1 a 3
check primary-frozen $?
signal "$old" CONT
sleep 1
[ "$(primary_of 1)" != "$old" ] && eventually 10 reads 3 a 3 && eventually 10 write 3 a 4
check thawed-primary-stays-replaced $?

# A request id runs once, however often the request is sent.
for i in 1 2 3; do run_on "$i" --service quote --session "$DIR/token" --request-id once-1 append ledger 5 >/dev/null; done
out=$(run_on 2 --service quote --session "$DIR/token" --read sum ledger)
grep -q '"sum": "5", "count": "1"' <<<"$out"
check resent-request-runs-once $? "$out"
run_on 1 --service quote --outcome --request-id once-1 >/dev/null
check outcome-by-request-id $?

# Where the statements of a service go, as each host sees it.
operate 3 route quote | grep -q "group=costing term=[0-9]* primary=$(primary_of 1) dispatcher=host"
check route-shows-the-primary $?
operate 3 route nowhere 2>&1 | grep -q 'no service "nowhere"'
check unknown-route $?

# A transaction continues through several entry hosts, and is lost with its
# dispatcher.
id=$(run_on 1 --service quote --begin | sed -n 's/^transaction=//p')
run_on 2 --service quote --transaction "$id" append ledger 7 >/dev/null &&
  run_on 3 --service quote --transaction "$id" --commit --session "$DIR/token" >/dev/null
out=$(run_on 4 --service quote --session "$DIR/token" --read sum ledger)
grep -q '"sum": "12"' <<<"$out"
check transaction-roams $? "$out"
owner=$(operate 1 status | sed -n 's/.*group=costing .*dispatcher=host\([0-9]*\).*/\1/p')
id=$(run_on "$owner" --service quote --begin | sed -n 's/^transaction=//p')
kill_process "host$owner"
through=$(other_than "$owner")
out=$(run_on "$through" --service quote --transaction "$id" append ledger 100 2>&1)
grep -q -e transaction_lost -e unavailable <<<"$out"
check transaction-lost-with-its-dispatcher $? "$out"
eventually 15 write "$through" a 5
check another-host-dispatches $?
out=$(run_on "$through" --service quote --session "$DIR/token" --read sum ledger)
grep -q '"sum": "12"' <<<"$out"
check lost-transaction-left-nothing $? "$out"
start_host "$owner"
eventually 15 healthy "$owner"
check host-returns $?

# Two operators apply declarations with the same number: one wins, the other
# gets a conflict, and a resend gets the first answer.
eventually 10 voters 1 3
declaration 2 900 > "$DIR/one.json"
declaration 2 901 > "$DIR/two.json"
operate 1 apply "$DIR/one.json" --who one > "$DIR/one.out" 2>&1 & first=$!
operate 4 apply "$DIR/two.json" --who two > "$DIR/two.out" 2>&1
wait "$first"
[ "$(cat "$DIR/one.out" "$DIR/two.out" | grep -c accepted)" = 1 ] && [ "$(cat "$DIR/one.out" "$DIR/two.out" | grep -c 'was taken by')" = 1 ]
check one-of-two-operators-wins $? "$(cat "$DIR/one.out" "$DIR/two.out")"
winner=one; grep -q accepted "$DIR/two.out" && winner=two
[ "$(operate 2 apply "$DIR/$winner.json" 2>&1)" = "$(cat "$DIR/$winner.out")" ]
check resend-gets-the-first-answer $?
eventually 10 applied 3 3
check next-number $?
in_force () { [ "$(operate 1 status | grep -c "config_in_force=$1")" = 4 ]; }
eventually 10 in_force 3
check in-force-on-every-host $?
operate 2 history | grep -q 'what=config.*outcome=conflict'
check audit-trail $?

# A control leader that is frozen for longer than any lease is replaced, and
# catches up after SIGCONT.
lead=$(leader 4)
signal "host$lead" STOP
rest=$(other_than "$lead")
eventually 20 applied "$rest" 4
check leader-frozen $?
signal "host$lead" CONT
eventually 10 in_force 4
check thawed-leader-goes-on $?

# A control host that has lost its disk votes again only after an operator's
# replace; after that, another control host may be lost.
lost=$(other_than "$(leader 4)")
kill_process "host$lost"
rm -rf "$DIR/data$lost"
start_host "$lost"
sleep 1.5
operate 4 status | grep "host=host$lost role=voter" >/dev/null
old_disk=$?
eventually 15 operate 4 control replace "host$lost" >/dev/null 2>&1 && eventually 15 voters 4 3
check lost-disk-replaced $(( $? + old_disk ))
second=$(other_than "$lost")
kill_process "host$second"
eventually 20 applied 4 5
check second-host-lost-after-the-repair $?
start_host "$second"
eventually 15 voters 4 3
check second-host-returns $?

# The load tool measures and checks its input; SIGHUP reopens the log.
echo '[{"label": "read", "service": "recipe", "statement": "get", "access": "read", "params": ["a"], "rate": 50}]' > "$DIR/mix.json"
"$BIN/galenamount" load --host "$(caller_of 1)" --host "$(caller_of 2)" --seconds 1 --quiet --svg "$DIR/load.svg" "$DIR/mix.json" > "$DIR/load.out" &&
  grep -q '^read: p50' "$DIR/load.out" && grep -q '^  ok ' "$DIR/load.out" && grep -q '<rect' "$DIR/load.svg"
check load $? "$(cat "$DIR/load.out")"
echo '[{"label": "read", "service": "recipe"}]' > "$DIR/bad.json"
"$BIN/galenamount" load --host "$(caller_of 1)" "$DIR/bad.json" 2>&1 | grep -q 'bad.json:1:2: \[0\]: "statement" is missing'
check bad-mix $?
mv "$DIR/host4.log" "$DIR/host4.old"
signal host4 HUP
logged_anew () { [ -e "$DIR/host4.log" ]; }
eventually 10 logged_anew
check log-opened-anew $?

# ask_kept FD: a request over a connection that is kept open.  Stores the status
# in $status, and in $ends whether the answer ends the connection.
ask_kept () {
  local line length=0 body='{"service": "recipe", "statement": "get", "access": "read", "params": ["a"]}'
  status= ends=
  printf 'POST /v1/statement HTTP/1.1\r\nHost: x\r\nContent-Length: %s\r\n\r\n%s' "${#body}" "$body" >&"$1" 2>/dev/null || return 1
  IFS= read -r -t 10 -u "$1" line || return 1
  status=${line#* } status=${status%% *}
  while IFS= read -r -t 10 -u "$1" line && [ "$line" != $'\r' ]; do
    line=${line%$'\r'}
    case ${line,,} in content-length:*) length=${line##* } ;; connection:*close*) ends=1 ;; esac
  done
  IFS= read -r -t 10 -N "$length" -u "$1" line
}
# keep_asking: requests without a pause until an answer ends the connection.
keep_asking () {
  local n=0
  exec 7<>"/dev/tcp/127.0.0.1/$((BASE + drained * 3))"
  until [ -n "$ends" ]; do
    ask_kept 7 && [ "$status" = 200 ] || { echo "request $n: status '$status'"; return; }
    n=$((n + 1))
  done
}

# A drain under load cuts off no request.
drained=4 ends=
kept=
( for i in $(seq 1 60); do run_on 1 --service recipe --read get a >/dev/null 2>>"$DIR/load.err" || echo "$i" >> "$DIR/load.bad"; done ) & load=$!
run_on "$drained" --service margin sleep 700 > "$DIR/inflight.out" 2>&1 & inflight=$!
for i in 1 2 3; do keep_asking >> "$DIR/kept.bad" & kept="$kept $!"; done
sleep 0.2
operate "$drained" drain >/dev/null
wait "$inflight"
check in-flight-request-finishes $? "$(cat "$DIR/inflight.out")"
wait "${PID[host$drained]}"
check drained-host-exits-0 $?
unset "PID[host$drained]"
wait "$load"
[ ! -s "$DIR/load.bad" ]
check no-request-cut-off $? "$(cat "$DIR/load.err" 2>/dev/null | head -3)"
# A request over a connection that was kept open got no answer as the host ended.
wait $kept
[ ! -s "$DIR/kept.bad" ]
check drain-ends-kept-connections-with-an-answer $? "$(cat "$DIR/kept.bad")"

# A transaction on a draining host can still be committed.
owner=$(operate 1 status | sed -n 's/.*group=costing .*dispatcher=host\([0-9]*\).*/\1/p')
through=$(other_than "$owner")
id=$(run_on "$through" --service quote --begin | sed -n 's/^transaction=//p')
operate "$owner" drain >/dev/null
run_on "$through" --service quote --transaction "$id" append ledger 30 >/dev/null &&
  run_on "$through" --service quote --transaction "$id" --commit --session "$DIR/token" >/dev/null
check transaction-ends-during-a-drain $?
wait "${PID[host$owner]}"
check its-host-exits-0 $?
out=$(run_on "$through" --service quote --session "$DIR/token" --read sum ledger)
grep -q '"sum": "42"' <<<"$out"
check its-postings-are-there $? "$out"
write_settings "$owner" '"control", "entry", "dispatcher"'
sed -i "s|\"limits\"|\"tokens\": {\"caller\": \"a token for callers\", \"operator\": \"a token for operators\"}, \"tls\": {\"certificate\": \"$DIR/cert.pem\", \"key\": \"$DIR/key.pem\"}, \"limits\"|" "$DIR/host$owner.json"
openssl req -x509 -newkey rsa:2048 -nodes -subj /CN=localhost -days 2 -keyout "$DIR/key.pem" -out "$DIR/cert.pem" >/dev/null 2>&1
start_host "$owner"

# A host with TLS and tokens.  secure PATH PORT [HEADER] prints the status line.
secure () {
  printf 'GET %s HTTP/1.0\r\n%s\r\n' "$1" "${3:+$3
}" | sed 's/$/\r/; s/\r\r$/\r/' |
    timeout 5 openssl s_client -quiet -verify_quiet -connect "127.0.0.1:$2" 2>/dev/null | head -1
}
secure_is () { secure "$2" "$3" "${4:-}" | grep -q " $1 "; }
eventually 15 secure_is 200 /health "$((BASE + owner * 3))"
check tls-health $?
secure_is 401 /v1/status "$((BASE + owner * 3 + 1))"
check operators-edge-wants-its-token $?
secure_is 401 /v1/status "$((BASE + owner * 3 + 1))" "Authorization: Bearer a token for callers"
check callers-token-is-no-operators $?
secure_is 200 /v1/status "$((BASE + owner * 3 + 1))" "Authorization: Bearer a token for operators"
check operators-token $?

# Limits of the callers' port: idle time, connections, headers, answers.
write_settings 4 '"entry"'
sed -i 's|"limits": {|"limits": {"idle_ms": 1000, "connections": 5, |' "$DIR/host4.json"
start_host 4
eventually 15 healthy 4
port=$((BASE + 12))
for sent in '' 'POST /v1/statement HTTP/1.1\r\nHo' 'GET /health HTTP/1.1\r\nHost: x\r\n\r\n'; do
  timeout 20 bash -c "exec 3<>/dev/tcp/127.0.0.1/$port; printf '$sent' >&3; cat <&3 >/dev/null" || echo "$sent" >> "$DIR/idle.out"
done
[ ! -s "$DIR/idle.out" ]
check idle-connections-are-closed $? "$(cat "$DIR/idle.out" 2>/dev/null)"
fds=() served=0
for i in 1 2 3 4 5 6 7 8; do
  exec {fd}<>"/dev/tcp/127.0.0.1/$port"
  fds+=("$fd")
  printf 'GET /health HTTP/1.1\r\nHost: x\r\n\r\n' >&"$fd" 2>/dev/null
  timeout 2 head -1 <&"$fd" 2>/dev/null | grep -q 200 && served=$((served + 1))
done
for fd in "${fds[@]}"; do exec {fd}>&-; done
[ "$served" -ge 1 ] && [ "$served" -le 5 ]
check connections-are-bounded $? "$served of 8"
eventually 15 healthy 4
check bound-frees-itself $?
exec 5<>"/dev/tcp/127.0.0.1/$port"
{ printf 'GET /health HTTP/1.0\r\nX: '; head -c 200000 /dev/zero | tr '\0' x; printf '\r\n\r\n'; } >&5 2>/dev/null
! timeout 5 head -1 <&5 2>/dev/null | grep -q ' 200 '
check headers-are-bounded $?
exec 5>&-
large=$(head -c 100000 /dev/zero | tr '\0' y)
run_on "$through" --service quote put large "$large" >/dev/null && run_on "$through" --service quote --read get large 2>&1 | grep -q too_large
check answers-are-bounded $?

# A file of the JSON value null, which is neither settings nor a declaration, was
# taken as good, and ended the host that it was sent to.
echo null > "$DIR/null.json"
"$BIN/galenamount" check "$DIR/null.json" >"$DIR/null.out" 2>&1
[ $? = 2 ] && grep -q 'null.json:1:1: the text: must be an object' "$DIR/null.out"
check null-is-no-declaration $? "$(cat "$DIR/null.out")"
"$BIN/galenamount" check --settings "$DIR/null.json" >"$DIR/null.out" 2>&1
[ $? = 2 ] && grep -q 'must be an object' "$DIR/null.out"
check null-is-no-settings $? "$(cat "$DIR/null.out")"
"$BIN/galenamountd" --settings "$DIR/null.json" >"$DIR/null.out" 2>&1
[ $? = 2 ] && grep -q 'must be an object' "$DIR/null.out"
check daemon-without-settings-fails $? "$(cat "$DIR/null.out")"
operate "$through" apply "$DIR/null.json" >"$DIR/null.out" 2>&1
[ $? = 2 ] && grep -q 'must be an object' "$DIR/null.out" && kill -0 "${PID[host$through]}"
check applied-null-is-refused $? "$(cat "$DIR/null.out")"

# Bad input from callers and on links.
for body in '' '{' null ' null ' '{"service": 5}' '{"service": "quote", "statement": "put", "service": "quote"}' '{"service": "nobody", "statement": "x"}'; do
  printf 'POST /v1/statement HTTP/1.0\r\nContent-Length: %s\r\n\r\n%s' "${#body}" "$body" |
    timeout 5 bash -c "exec 3<>/dev/tcp/127.0.0.1/$((BASE + through * 3)); cat >&3; head -1 <&3" | grep -q ' 40[04] ' || echo "$body" >> "$DIR/bad.out"
done
head -c 300000 /dev/zero | tr '\0' x > "$DIR/large"
exec 5<>"/dev/tcp/127.0.0.1/$((BASE + through * 3))"
{ printf 'POST /v1/statement HTTP/1.0\r\nContent-Length: 300000\r\n\r\n'; cat "$DIR/large"; } >&5 2>/dev/null &
sender=$!
timeout 5 head -1 <&5 | grep -q ' 413 ' || echo large >> "$DIR/bad.out"
exec 5>&-
wait "$sender" 2>/dev/null
[ ! -s "$DIR/bad.out" ]
check bad-bodies-are-refused $? "$(cat "$DIR/bad.out" 2>/dev/null)"
head -c 64 /dev/urandom | timeout 5 bash -c "exec 3<>/dev/tcp/127.0.0.1/$((BASE + through * 3 + 2)); cat >&3; cat <&3 >/dev/null" 2>/dev/null
metric () { exec 4<>"/dev/tcp/127.0.0.1/$((BASE + through * 3 + 1))"; printf 'GET /metrics HTTP/1.0\r\n\r\n' >&4; sed -n "s/^galenamount_$1 \([0-9]*\).*/\1/p" <&4; exec 4>&-; }
[ "$(metric frames_bad_total)" -gt 0 ] && eventually 10 write "$through" a 9
check garbage-closes-its-link-alone $?

# With customers declared, services that need a key are closed to the HTTP
# interface, which takes none; a public one is served.
with_customers () {
  declaration 6 | sed 's/"floors"/"customers": [{"name": "acme", "keys": ["a-key"]}], "floors"/; s/"repeatable": true/&, "public": true/' > "$DIR/apply.json"
  operate 4 apply "$DIR/apply.json" --who test 2>&1 | grep -q accepted
}
eventually 20 with_customers
closed () { run_on "$through" --service quote --read get a 2>&1 | grep -q unauthorized; }
eventually 10 closed && run_on "$through" --service recipe --read get a >/dev/null 2>&1
check private-services-need-a-key $?
operate "$through" route quote | grep -q callers=customers && operate "$through" route recipe | grep -q callers=public
check route-tells-who-may-call $?

echo "$passed passed, $failed failed"
[ "$failed" = 0 ]
