#!/usr/bin/env bash
# Tests how real processes take odd JSON documents at each address that reads
# one.  Prints one line per case; the exit status is 0 only if all cases pass.
# No case depends on timing.
set -u
cd "$(dirname "$0")/.."
trap '' PIPE
. tests/cluster.sh
. tests/platform_cluster.sh
. tests/platform_sessions.sh

bodies=(null $' null\n' true 0 '""' '[]' '[null]' '{}' '{"version":null}' NaN -Infinity '')

start_platform || exit 1
eventually 20 taken 1 10
check manifest-accepted $?
eventually 10 ready 4 && eventually 10 ready 5 && eventually 10 ready 6
check entries-ready $?
eventually 20 once 4 orders "WRITE a 1" "DONE sig.*"
check served $? "$answer"

# refused NAME PORT PATH: sends each body; the answers must be refusals.
refused () {
  local body status
  for body in "${bodies[@]}"; do
    status=$(http POST "$2" "$3" "$body" | head -1)
    [ "${status:0:1}" = 4 ] || { echo "$1 <$body>: ${status:-no answer}"; return 1; }
  done
}
# The JSON value null ended the process that read it.
while read -r name port path; do
  why=$(refused "$name" "$port" "$path" 2>&1)
  check "odd-documents-refused-$name" $? "$why"
done <<END
heartbeat $(control_port 1) /api/instances/i-odd/heartbeat
manifest $(control_port 2) /api/config/replace
declaration-at-control $(operator_port 3) /v1/config
declaration-at-entry $(operator_port 6) /v1/config
END
# A manifest with a comment was acknowledged, and read back as sent.
commented="{/* one */$(manifest 11 "${routes[@]}" | cut -c2-)"
[ "$(replace 1 "$commented" | head -1)" = 400 ]
check manifest-with-a-comment-refused $?
alive=0
for n in 1 2 3 4 5 6; do kill -0 "${PID[host$n]}" 2>/dev/null || { alive=1; echo "host$n has ended"; }; done
check all-processes-run $alive
once 4 orders "READ a" "ROW 1 *DONE sig.*"
check serves-on $? "$answer"
# Nothing of them was taken.
eventually 10 taken 1 10 && http GET "$(control_port 1)" /api/config/describe | grep -q '"version":10,'
check manifest-unchanged $?

state | grep -q "violations=0"
check no-promise-broken $? "$(state)"
echo "$passed passed, $failed failed"
[ "$failed" = 0 ]
