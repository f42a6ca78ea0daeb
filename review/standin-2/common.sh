# Functions for the scripts of this review: three control hosts, two entry hosts
# and the databases of fleet.c on loopback addresses.  To be sourced by a run.sh,
# which sets CASE (its folder) first.

ROOT=$(cd "$CASE/../.." && pwd)
RECORD=$CASE/record.txt
FLEET=$ROOT/target/review-2/fleet
TROUBLE=${TROUBLE:-1}
DIR=$(mktemp -d)
declare -A PID
cd "$ROOT" || exit 2
: >"$RECORD"

# Every machine has a loopback address of its own, and all have the same ports.
NET=127.$((RANDOM % 200 + 20)).$((RANDOM % 250 + 1))
control_ip () { echo "$NET.1$1"; }
entry_ip () { echo "$NET.2$1"; }
PLATFORM_IP=$NET.30
LINK=7440 CONTROL_PORT=8782 CALLERS=8784 READY=8785 PLATFORM_PORT=8790

end_all () {
  local name
  for name in "${!PID[@]}"; do
    kill -CONT "${PID[$name]}" 2>/dev/null
    kill -KILL "${PID[$name]}" 2>/dev/null
    wait "${PID[$name]}" 2>/dev/null
  done
  rm -rf "$DIR"
}
trap end_all EXIT
cannot_run () { echo "can't run: $*"; echo "can't run: $*" >>"$RECORD"; exit 2; }
say () { echo "$(awk '{printf "%d", $1 * 1000}' /proc/uptime) $*" >>"$RECORD"; }

seeds () { printf '"%s:%s", "%s:%s", "%s:%s"' "$(control_ip 1)" $CONTROL_PORT "$(control_ip 2)" $CONTROL_PORT "$(control_ip 3)" $CONTROL_PORT; }
# The settings that the templates of deploy/ give.  write_control N FOUND
write_control () {
  local ip
  ip=$(control_ip "$1")
  cat >"$DIR/control$1.json" <<END
{
  "host": "core-z$1-1", "data_centre": "z$1", "cluster_key": "links of one deployment",
  "listen": {"operator": "$ip:9464", "link": "$ip:$LINK"},
  "roles": ["control"],
  "control": {"data": "$DIR/data$1", "seeds": [$(seeds)], "seeds_port": $LINK, "found": $2, "voters_min": 3},
  "log": {"level": "info"},
  "limits": {"body_bytes": 2097152, "drain_ms": 2000, "control_lease_ms": 0, "memory_mb": 256},
  "customers": {"revocation_ms": 0},
  "platform": {"control": "$ip:$CONTROL_PORT", "orders": "$PLATFORM_IP:$PLATFORM_PORT"}
}
END
}
write_entry () {
  local ip
  ip=$(entry_ip "$1")
  cat >"$DIR/entry$1.json" <<END
{
  "host": "frontend-z$1-1", "data_centre": "z$1", "cluster_key": "links of one deployment",
  "listen": {"operator": "$ip:9464", "link": "$ip:$LINK"},
  "roles": ["pool"],
  "control": {"seeds": [$(seeds)], "seeds_port": $LINK},
  "log": {"level": "info"},
  "limits": {"body_bytes": 2097152, "answer_bytes": 1048576, "drain_ms": 5000, "control_lease_ms": 0, "link_mbps": 700.0, "memory_mb": 182},
  "customers": {"revocation_ms": 0},
  "platform": {"callers": "$ip:$CALLERS", "ready": "$ip:$READY"}
}
END
}
start () { # start NAME
  target/galenamountd --settings "$DIR/$1.json" >>"$DIR/$1.log" 2>&1 &
  PID[$1]=$!
}

# http METHOD IP PORT PATH [BODY]: sends a request; prints the status and body.
http () {
  local body=${5:-} line status= length=0
  exec 9<>"/dev/tcp/$2/$3" || return 1
  printf '%s %s HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Type: application/json\r\nContent-Length: %s\r\n\r\n%s' \
    "$1" "$4" "${#body}" "$body" >&9
  read -r -t 5 -u 9 line && status=${line#* } && status=${status%% *}
  while read -r -t 5 -u 9 line && [ "${line%$'\r'}" != "" ]; do
    case ${line%$'\r'} in [Cc]ontent-[Ll]ength:*) length=${line##*: }; length=${length%$'\r'} ;; esac
  done
  local text=
  [ "$length" -gt 0 ] && IFS= read -r -t 5 -N "$length" -u 9 text
  printf '%s\n%s\n' "$status" "$text"
  exec 9>&-
} 2>/dev/null
eventually () { # eventually SECONDS COMMAND...
  local end=$((SECONDS + $1))
  shift
  until "$@"; do
    [ "$SECONDS" -ge "$end" ] && return 1
    sleep 0.1
  done
}

route () { # route DATABASE TYPE TIMEOUT-MS
  printf '{"name":"r-%s","database":"%s","pathPrefix":"/","routeType":"%s","timeoutMs":%s,"targetLatencyMs":600,"priority":1,"serviceName":"stock","maxAttempts":2,"maxStalenessMs":1500}' "$1" "$1" "$2" "$3"
}
manifest () { # manifest VERSION
  printf '{"version":%s,"routes":[%s,%s,%s],"services":[{"name":"stock","healthCheckPath":"/health","maxConnections":64,"protocol":"h1","tls":false,"syncReplicas":1}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000,"txIdleMs":3000}}' \
    "$1" "$(route orders primary 800)" "$(route lookup bounded_staleness 1200)" "$(route levels read_your_writes 800)"
}
taken () { [ "$(http POST "$(control_ip "$1")" $CONTROL_PORT /api/config/replace "$(manifest "$2")" | head -1)" = 200 ]; }
ready () { [ "$(http GET "$(entry_ip "$1")" $READY /api/ready | head -1)" = 200 ]; }

command_to () { # command_to WHAT [DATABASE]: a command to the databases
  exec 8<>"/dev/tcp/$PLATFORM_IP/$((PLATFORM_PORT + 1))" || return 1
  printf '%s %s\n' "$1" "${2:-}" >&8
  while read -r -t 5 -u 8 line && [ "$line" != . ]; do echo "$line"; done
  exec 8>&-
}

# A session on descriptor 3: open_session ENTRY DATABASE, ask ID TEXT.  ask stores
# the lines before READY in $answer.
receive () {
  local line
  answer=
  while read -r -t 5 -u 3 line; do
    line=${line%$'\r'}
    case $line in READY*) return 0 ;; esac
    answer="$answer$line|"
  done
  return 1
}
open_session () {
  exec 3<>"/dev/tcp/$(entry_ip "$1")/$CALLERS" || return 1
  printf 'START %s client\r\n' "$2" >&3
  receive
} 2>/dev/null
ask () {
  say "sent $1 $2"
  printf 'QUERY %s %s\r\n' "$1" "$2" >&3
  receive || answer="$answer closed"
  say "answered $1 $answer"
}
# once ENTRY DATABASE ID TEXT PATTERN: whether a session of its own gets PATTERN.
once () {
  answer=
  open_session "$1" "$2" && ask "$3" "$4"
  exec 3>&-
  case $answer in $5) return 0 ;; *) return 1 ;; esac
}

# Starts all: WORK-MS of a statement, BEAT-MS between two announcements.
start_all () {
  local n
  [ -x "$FLEET" ] && [ -x target/galenamountd ] || cannot_run "the programs are not built"
  for n in 1 2 3; do write_control $n true; start control$n; done
  for n in 1 2; do write_entry $n; start entry$n; done
  "$FLEET" serve "$RECORD" "$PLATFORM_IP" $PLATFORM_PORT "$1" "$2" \
    "$(control_ip 1):$CONTROL_PORT" "$(control_ip 2):$CONTROL_PORT" "$(control_ip 3):$CONTROL_PORT" 2>>"$DIR/fleet.log" &
  PID[fleet]=$!
  eventually 15 taken 1 10 || cannot_run "no manifest is accepted"
  eventually 10 ready 1 && eventually 10 ready 2 || cannot_run "the entry hosts are not ready"
  # From now on the settings say that the system has started before.
  for n in 1 2 3; do write_control $n false; done
  eventually 20 once 1 orders warm-$RANDOM "READ a" "ROW *" || cannot_run "no read is served"
}
