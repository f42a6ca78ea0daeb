# Starts a small system on loopback for the demo and the process tests.  To be
# sourced by bash.  Every process that it starts is ended by its pid.

BIN=${BIN:-build}
DIR=$(mktemp -d)
declare -A PID
BASE=0

port_is_free () { ! (exec 3<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null; }

# Sets BASE to a port number from which on 61 ports are free.
pick_base () {
  local try p
  for try in $(seq 1 50); do
    BASE=$((12000 + RANDOM % 180 * 100))
    for p in $(seq "$BASE" $((BASE + 60))); do
      port_is_free "$p" || continue 2
    done
    return 0
  done
  echo "no free ports" >&2
  return 1
}

# Addresses of host NUMBER, and the port of database NUMBER.
caller_of () { echo "127.0.0.1:$((BASE + $1 * 3))"; }
operator_of () { echo "127.0.0.1:$((BASE + $1 * 3 + 1))"; }
link_of () { echo "127.0.0.1:$((BASE + $1 * 3 + 2))"; }
database_port () { echo $((BASE + 40 + $1)); }

CONTROL_HOSTS="1"
peers () {
  local n comma=
  for n in $CONTROL_HOSTS; do
    printf '%s{"host": "host%s", "address": "%s"}' "$comma" "$n" "$(link_of "$n")"
    comma=,
  done
}

# write_settings NUMBER ROLES
write_settings () {
  cat > "$DIR/host$1.json" <<EOF
// Written by tests/cluster.sh.
{
  "host": "host$1",
  "data_centre": "dc$(( ($1 - 1) % 3 + 1 ))",
  "cluster_key": "a key for loopback only",
  "listen": {"caller": "$(caller_of "$1")", "operator": "$(operator_of "$1")", "link": "$(link_of "$1")"},
  "roles": [$2],
  "control": {"data": "$DIR/data$1", "peers": [$(peers)]},
  "log": {"file": "$DIR/host$1.log", "level": "info"},
  "limits": {"drain_ms": 8000, "answer_bytes": 65536}
}
EOF
}

# start_host NUMBER [ARGUMENTS]
start_host () {
  local n=$1
  shift
  "$BIN/galenamountd" --settings "$DIR/host$n.json" "$@" >>"$DIR/host$n.out" 2>&1 &
  PID[host$n]=$!
}

# start_database NUMBER GROUP [ARGUMENTS]
start_database () {
  local n=$1 group=$2
  shift 2
  local announce=() h
  for h in $ENTRY_HOSTS; do announce+=(--announce "$(caller_of "$h")"); done
  "$BIN/galenamount-standin" --id "db$n" --group "$group" \
    --listen "127.0.0.1:$(database_port "$n")" --data-centre "dc$(( (n - 1) % 3 + 1 ))" \
    "${announce[@]}" "$@" >>"$DIR/db$n.out" 2>&1 &
  PID[db$n]=$!
}

# signal NAME SIGNAL
signal () { kill -"$2" "${PID[$1]}" 2>/dev/null; }

kill_process () {
  signal "$1" KILL
  wait "${PID[$1]}" 2>/dev/null
  unset "PID[$1]"
}

stop_all () {
  local name
  for name in "${!PID[@]}"; do
    kill -CONT "${PID[$name]}" 2>/dev/null
    kill -KILL "${PID[$name]}" 2>/dev/null
    wait "${PID[$name]}" 2>/dev/null
  done
  PID=()
}

clean_up () {
  stop_all
  [ -n "${KEEP:-}" ] && echo "kept $DIR" || rm -rf "$DIR"
}
trap clean_up EXIT

# eventually SECONDS COMMAND...: repeats COMMAND until it succeeds; fails after
# SECONDS.
eventually () {
  local end=$((SECONDS + $1))
  shift
  until "$@"; do
    [ "$SECONDS" -ge "$end" ] && return 1
    sleep 0.05
  done
}

# run_on NUMBER ARGUMENTS, operate NUMBER COMMAND ARGUMENTS: call galenamount
# with the callers' or the operators' address of host NUMBER.
run_on () { local n=$1; shift; "$BIN/galenamount" run --host "$(caller_of "$n")" "$@"; }
operate () { local n=$1 c=$2; shift 2; "$BIN/galenamount" "$c" --host "$(operator_of "$n")" "$@"; }

declaration () {
  cat <<EOF
{
  // number $1
  "number": $1,
  "groups": [{"name": "costing", "databases": 3}],
  "services": [
    {"name": "quote", "depends_on": ["costing"], "rank": "urgent", "deadline_ms": ${2:-2000}, "worth": 10},
    {"name": "recipe", "depends_on": ["costing"], "rank": "routine", "deadline_ms": 2000, "repeatable": true},
    {"name": "margin", "depends_on": ["costing"], "rank": "bulk", "deadline_ms": 5000, "max_age_ms": 3000}
  ],
  "floors": {"routine": 0.15, "bulk": 0.05}
}
EOF
}

primary_of () { operate "$1" status 2>/dev/null | sed -n 's/.*group=costing .*primary=\([^ ]*\).*/\1/p'; }
has_primary () { [ -n "$(primary_of "$1")" ]; }
healthy () { (exec 3<>"/dev/tcp/127.0.0.1/$((BASE + $1 * 3))" && printf 'GET /health HTTP/1.0\r\n\r\n' >&3 && head -1 <&3 | grep -q 200) 2>/dev/null; }

# start_system: starts the hosts of CONTROL_HOSTS and ENTRY_HOSTS, which must
# include host 1, and three databases.  The first control host bootstraps the
# control group.
start_system () {
  pick_base || return 1
  local n first=1
  for n in $CONTROL_HOSTS; do
    case " $ENTRY_HOSTS " in
      *" $n "*) write_settings "$n" '"control", "entry", "dispatcher"' ;;
      *) write_settings "$n" '"control"' ;;
    esac
    if [ "$first" = 1 ]; then start_host "$n" --init-control; else start_host "$n"; fi
    first=0
  done
  for n in $ENTRY_HOSTS; do
    case " $CONTROL_HOSTS " in *" $n "*) continue ;; esac
    write_settings "$n" '"entry", "dispatcher"'
    start_host "$n"
  done
  declaration 1 > "$DIR/declaration1.json"
  set -- $ENTRY_HOSTS
  eventually 10 operate 1 apply "$DIR/declaration1.json" --who demo >/dev/null 2>&1 || return 1
  start_database 1 costing --primary ${DATABASE_OPTIONS:-}
  start_database 2 costing ${DATABASE_OPTIONS:-}
  start_database 3 costing ${DATABASE_OPTIONS:-}
  eventually 10 has_primary 1 || return 1
  for n in $ENTRY_HOSTS; do eventually 10 healthy "$n" || return 1; done
}
