#!/usr/bin/env bash
# Plays one pattern of misbehaving clients (tests/crowd/crowd.c) against one of
# our processes: tests/crowd/crowd.sh CASE.  Checked are that the process lives,
# that its memory and its open descriptors stay under the case's bounds, and
# that one ordinary request is answered while the crowd is still there.  No
# case depends on the speed of the machine.
set -u
cd "$(dirname "$0")/../.."
trap '' PIPE
. tests/cluster.sh
. tests/platform_cluster.sh
KIB=1024 MIB=1048576
MEMORY_MB=32       # of a host
DESCRIPTORS=200   # that a process may open
DESCRIPTORS_MAX=160 # under the crowd: some must be left for ordinary requests

memory () { sed -n "s/^$2:[^0-9]*\([0-9]*\) kB/\1/p" "/proc/$1/status"; }
descriptors () { ls "/proc/$1/fd" | wc -l; }

# statement TEXT PATTERN: whether a session of its own at entry host 4 gets the
# answer PATTERN.
statement () {
  local line answer=
  exec 5<>"/dev/tcp/127.0.0.1/$(caller_port 4)" || return 1
  printf 'START orders me\r\nQUERY ordinary %s\r\n' "$1" >&5
  while IFS= read -r -t 10 -u 5 line; do
    line=${line%$'\r'}
    case $line in READY*) [ -z "$answer" ] || break ;; *) answer="$answer$line|" ;; esac
  done
  exec 5>&-
  case $answer in $2) return 0 ;; *) return 1 ;; esac
}
gets () { # gets PORT PATH: whether the answer has the status 200
  local line=
  exec 5<>"/dev/tcp/127.0.0.1/$1" || return 1
  printf 'GET %s HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n' "$2" >&5
  IFS= read -r -t 10 -u 5 line
  exec 5>&-
  case $line in *" 200 "*) return 0 ;; *) return 1 ;; esac
}
ordinary () {
  case $CASE in
    http_ready_*) gets "$(ready_port 4)" /api/ready ;;
    http_operator_*) gets "$OPERATOR" /metrics ;;
    http_control_*) gets "$(control_port 1)" /api/config/describe ;;
    http_callers_*) gets $((BASE + 3)) /health ;;
    line_calm) # the longest statements are still served
      statement "WRITE calm $(repeated 1040000)" "DONE sig.*" \
        && statement "READ calm" "ROW xxxxx*DONE sig.*" ;;
    *) statement "WRITE ordinary 1" "DONE sig.*" ;;
  esac
}
repeated () { head -c "$1" /dev/zero | tr '\0' x; }

start_platform_hosts () {
  start_platform || return 1
  eventually 20 taken 1 10 && eventually 10 ready 4 \
    && eventually 15 statement "WRITE ordinary 0" "DONE sig.*"
}

# The settings of the hosts, lowered for the crowd.
write_host_of_platform=$(declare -f write_host)
eval "${write_host_of_platform/write_host/write_plain_host}"
write_host () {
  write_plain_host "$@"
  sed -i "s/\"limits\": {/\"limits\": {\"memory_mb\": $MEMORY_MB, \"body_bytes\": 2097152, /" "$DIR/host$1.json"
}

write_settings_of_cluster=$(declare -f write_settings)
eval "${write_settings_of_cluster/write_settings/write_plain_settings}"
write_settings () {
  write_plain_settings "$@"
  sed -i "s/\"limits\": {/\"limits\": {\"memory_mb\": $MEMORY_MB, /" "$DIR/host$1.json"
}

X1000=$(printf 'x%.0s' $(seq 1000))
ONES=$(printf '1,%.0s' $(seq 500))
QUERY='START orders me\r\nQUERY q1 WRITE k '
post () { printf 'POST %s HTTP/1.1\\r\\nHost: x\\r\\nContent-Length: %s\\r\\n\\r\\n' "$1" "$2"; }

prepares () { # prepares FIRST LAST: the statements of these numbers
  local n
  for n in $(seq "$1" "$2"); do
    printf 'QUERY p%s PREPARE s%s READ %s\\r\\n' "$n" "$n" "$X1000$X1000$X1000$X1000$X1000"
  done
}

# more NAME CONNECTIONS ARGUMENTS: starts one more crowd, and waits until it has
# sent everything.
more () {
  local name=$1 count=$2
  shift 2
  (ulimit -Sn 6000; exec "$BIN/crowd" --port "$PORT" --connections "$count" "$@") >"$DIR/$name.out" 2>&1 &
  PID[$name]=$!
  eventually 30 grep -qs settled "$DIR/$name.out"
}

# growth CONNECTIONS BYTES: the bound of memory, a quarter of what the crowd
# sends within the protocol's limits.
growth () { GROWTH_MAX=$(($1 * $2 / 4 / KIB)); }

# Sets TARGET, the process under test, PORT, CROWD, its arguments, and
# GROWTH_MAX in KiB.
choose () {
  TARGET=host4 PORT=$(caller_port 4) GROWTH_MAX=$((10 * KIB))
  case $CASE in
    line_unfinished)
      growth 40 1000000
      CROWD=(--connections 40 --head "$QUERY" --repeat "$X1000" --times 1000) ;;
    line_pieces)
      growth 40 1000000
      CROWD=(--connections 40 --head "$QUERY" --repeat "$X1000" --times 1000 --piece 512) ;;
    line_bytewise)
      CROWD=(--connections 40 --head "$QUERY" --repeat x --times 2000 --piece 1) ;;
    line_endless) # twenty times the limit
      growth 40 1000000
      CROWD=(--connections 40 --head "$QUERY" --repeat "$X1000" --times 20000) ;;
    line_fields)
      growth 40 900000
      CROWD=(--connections 40 --head 'START orders me\r\nQUERY q1 ' --repeat 'a ' --times 450000 --tail '\r\n') ;;
    line_ahead) # small statements
      growth 8 10000000
      CROWD=(--connections 8 --deaf --head 'START orders me\r\n' --repeat "QUERY q1 WRITE k $X1000\\r\\n" --times 10000) ;;
    line_large_ahead)
      growth 10 8000000
      CROWD=(--connections 10 --head 'START orders me\r\n' \
        --repeat "QUERY q1 WRITE k $(printf "$X1000%.0s" $(seq 100))\\r\\n" --times 80) ;;
    line_unread) # answers of 200 KB that are never read
      growth 40 4000000
      CROWD=(--connections 40 --deaf --head 'START orders me\r\n' --repeat 'QUERY q1 READ large\r\n' --times 20) ;;
    line_calm)
      CROWD=(--connections 1 --head 'START orders me\r\n') ;;
    line_silent)
      CROWD=(--connections 300 --again 900) ;;
    line_half)
      CROWD=(--connections 300 --head 'START orders me\r\nQUERY q1 WRI') ;;
    line_idle)
      CROWD=(--connections 300 --head 'START orders me\r\n') ;;
    line_prepared) # 40 statements of 5 KB in each session, never given up
      CROWD=(--connections 60 --head "START orders me\\r\\n$(prepares 1 20)" --tail "$(prepares 21 40)") ;;
    line_in_transaction)
      CROWD=(--connections 60 --head 'START orders me\r\nQUERY q1 BEGIN\r\nQUERY q2 WRITE held 1\r\n') ;;
    large) # by hand: 5,000 idle, 500 slow and 50 flooding connections
      GROWTH_MAX=$((90 * KIB - $(memory "${PID[host4]}" VmRSS)))
      more idle 5000 --head 'START orders me\r\nQUERY q1 READ a\r\n'
      more slow 250 --head 'START orders me\r\nQUERY q1 WRITE k ' --repeat x --times 1000 --piece 1 --drip-ms 50
      more deaf 250 --deaf --head 'START orders me\r\n' --repeat 'QUERY q1 READ large\r\n' --times 20
      CROWD=(--connections 50 --again 500 --head 'START orders me\r\n' \
        --repeat "QUERY q1 WRITE k $(printf "$X1000%.0s" $(seq 100))\\r\\n" --times 80) ;;
    line_reconnect)
      CROWD=(--connections 20 --head 'START orders me\r\n' --again 6000) ;;
    link_silent)
      PORT=$((BASE + 4))
      CROWD=(--connections 300 --again 900) ;;
    link_prefix) # a length of 8 MiB, and half of that
      PORT=$((BASE + 4))
      growth 20 4000000
      CROWD=(--connections 20 --frame 8388607 --repeat "$X1000" --times 4000) ;;
    link_garbage)
      PORT=$((BASE + 4))
      CROWD=(--connections 100 --again 2000 --head '\001\001\001\001' --repeat "$X1000" --times 100) ;;
    link_reconnect)
      PORT=$((BASE + 4))
      CROWD=(--connections 20 --again 6000 --head '\001') ;;
    http_control_wide) # each value of a legal text takes a hundred bytes in memory
      GROWTH_MAX=$((48 * KIB))
      CROWD=(--connections 8 --head "$(post /api/config/replace 2000003)[" \
        --repeat "$ONES" --times 2000 --tail '1]') ;;
    http_control_unread) # answers of 1 MB
      growth 60 1000000
      CROWD=(--connections 60 --deaf --head 'GET /api/config/describe HTTP/1.1\r\nHost: x\r\n\r\n') ;;
    http_*_bodies) # each body lacks its last bytes
      growth 40 1900000
      CROWD=(--connections 40 --head "$(post "$WHERE" 2000000)" --repeat "$X1000" --times 1900) ;;
    http_*_headers) # 10 MB each
      CROWD=(--connections 20 --head 'GET / HTTP/1.1\r\nHost: x\r\n' \
        --repeat "X-Field: $X1000\\r\\n" --times 10000) ;;
    http_*_announced)
      CROWD=(--connections 300 --head "$(post "$WHERE" 200000)") ;;
    http_*_slow)
      CROWD=(--connections 300 --head 'GET / HTTP/1.1\r\nHost: x\r\nX-' --repeat x --times 1000 --piece 1 --drip-ms 200) ;;
    *) echo "unknown case $CASE" >&2; return 1 ;;
  esac
  case $CASE in
    http_ready_*) PORT=$(ready_port 4) ;;
    http_operator_*) PORT=$OPERATOR ;;
    http_control_*) TARGET=host1 PORT=$(control_port 1) ;;
    http_callers_*) TARGET=host1 PORT=$((BASE + 3)) ;;
  esac
}

start_system_of_case () {
  WHERE=/v1/statement
  case $CASE in
    http_callers_*)
      CONTROL_HOSTS=1 ENTRY_HOSTS=1
      start_system || return 1 ;;
    *) start_platform_hosts || return 1 ;;
  esac
  OPERATOR=$(operator_port 4)
  case $CASE in
    http_ready_*) WHERE=/api/ready ;;
    http_operator_*) WHERE=/v1/apply ;;
    http_control_unread)
      local small
      small=$(manifest 11 "${routes[@]}")
      [ "$(replace 1 "{\"pad\":\"$(printf "$X1000%.0s" $(seq 1000))\",${small#?}" | head -1)" = 200 ] || return 1 ;;
    http_control_*) WHERE=/api/config/replace ;;
    line_unread|large)
      statement "WRITE large $(printf "$X1000%.0s" $(seq 200))" "DONE sig.*" ;;
  esac
}

# Starts the system, anew where another process has taken one of its ports
# meanwhile (event GM104).
start_case () {
  local try
  for try in 1 2 3; do
    start_system_of_case && return 0
    grep -qs GM104 "$DIR"/*.log "$DIR"/*.out || return 1
    stop_all
    rm -rf "$DIR" && DIR=$(mktemp -d)
  done
  return 1
}

CASE=$1
[ "$CASE" = large ] && MEMORY_MB=112 DESCRIPTORS=20000 DESCRIPTORS_MAX=20000
ulimit -Sn "$DESCRIPTORS"
start_case 2>/dev/null || {
  echo "FAILED $CASE: the system did not start"
  grep -hsE "WARN|ERROR" "$DIR"/*.log | tail -20
  exit 1
}
choose || exit 1
target=${PID[$TARGET]}
before=$(memory "$target" VmRSS)
ulimit -Sn 2000
"$BIN/crowd" --port "$PORT" "${CROWD[@]}" >"$DIR/crowd.out" 2>&1 &
PID[crowd]=$!
eventually 30 grep -qs settled "$DIR/crowd.out" || { echo "FAILED $CASE: the crowd did not settle"; exit 1; }
peak=$(memory "$target" VmHWM)
open=$(descriptors "$target")
answered=no
eventually 20 ordinary 2>>"$DIR/start.out" && answered=yes
lives=no
kill -0 "$target" 2>/dev/null && lives=yes && peak=$(memory "$target" VmHWM)
[ "$CASE" = large ] && cat "$DIR"/{idle,slow,deaf}.out
result="lives: $lives; memory: $((peak - before)) of $GROWTH_MAX KiB; descriptors: $open of $DESCRIPTORS_MAX; answered: $answered; $(cat "$DIR/crowd.out")"
if [ "$lives" = yes ] && [ "$answered" = yes ] && [ $((peak - before)) -lt "$GROWTH_MAX" ] \
  && [ "$open" -lt "$DESCRIPTORS_MAX" ]; then
  echo "ok     $CASE: $result"
else
  echo "FAILED $CASE: $result"
  exit 1
fi
