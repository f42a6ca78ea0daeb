#!/usr/bin/env bash
# Slopes of real processes: memory per idle caller connection and processor time
# per statement at an entry host and at a dispatching host.
set -u
cd "$(dirname "$0")/.."
. tests/cluster.sh
CONTROL_HOSTS="1"
ENTRY_HOSTS="2 3"
DATABASE_OPTIONS="--service-ms 1 --slots 8 --connections 200"
start_system || exit 1
cat > "$DIR/mix.json" <<'EOF'
[{"label": "read", "service": "recipe", "statement": "get", "access": "read", "params": ["k"], "rate": 400}]
EOF
rss () { awk '/^VmRSS/{print $2 * 1024}' "/proc/${PID[$1]}/status"; }
ticks () { awk '{print $14 + $15}' "/proc/${PID[$1]}/stat"; }
owner=$(operate 1 status | sed -n 's/.*group=costing .*dispatcher=host\([0-9]*\).*/\1/p')
entry=2; [ "$owner" = 2 ] && entry=3
idle_ticks=$(ticks host$entry); control_ticks=$(ticks host1)
sleep 5
hz=$(getconf CLK_TCK)
echo "idle_host.cpu_share=$(awk -v a="$idle_ticks" -v b="$(ticks host$entry)" -v hz="$hz" 'BEGIN{printf "%.4f", (b-a)/hz/5}')"
echo "idle_control.cpu_share=$(awk -v a="$control_ticks" -v b="$(ticks host1)" -v hz="$hz" 'BEGIN{printf "%.4f", (b-a)/hz/5}')"
echo "idle_host.rss_bytes=$(rss host$entry)"
# statements NAME: processor time per statement, at the entry host and at the
# dispatching host.
statements () {
  local e d n role h from
  e=$(ticks host$entry) d=$(ticks host$owner)
  "$BIN/galenamount" load --host "$(caller_of $entry)" --seconds 8 --quiet "$DIR/mix.json" > "$DIR/load.txt"
  n=$(awk '/ ok /{print $2; exit}' "$DIR/load.txt")
  for role in entry dispatcher; do
    [ $role = entry ] && { h=host$entry; from=$e; } || { h=host$owner; from=$d; }
    awk -v r="$1.$role" -v a="$from" -v b="$(ticks $h)" -v hz="$hz" -v n="$n" 'BEGIN{printf "%s_us=%.1f\n", r, (b-a)/hz*1e6/n}'
  done
}
statements statement
before=$(rss host$entry)
fds=()
for i in $(seq 1 2000); do exec {fd}<>"/dev/tcp/127.0.0.1/$((BASE + entry * 3))" && fds+=("$fd"); done
sleep 1
echo "connection.rss_bytes=$(( ($(rss host$entry) - before) / 2000 ))"
statements statement_with_2000_idle_connections
