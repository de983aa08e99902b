#!/usr/bin/env bash
# Today's sizes on loopback under load, with random faults from a fixed seed and every
# oracle on: scripts/soak.sh [MINUTES] [SEED]. The report goes to out/soak.json and
# out/soak.html; a broken promise makes it fail.
set -euo pipefail
cd "$(dirname "$0")/.."
minutes=${1:-10} seed=${2:-1}
controls=${CONTROLS:-3} entries=${ENTRIES:-9} engines=${ENGINES:-9} plains=${PLAINS:-4} stores=${STORES:-1}
rate=${RATE:-60}
source scripts/fleet.sh
mkdir -p out
RANDOM=$seed
declare -A struck=()

# one_of N: 1 to N, from the seed.
one_of() { echo $((RANDOM % $1 + 1)); }

inject() { # address, fault as JSON
  call --entry "$1" --path /admin/fault --body "$2" --timeout 5s >/dev/null || true
}

fault() {
  local i seconds
  case $((RANDOM % 13)) in
    0) i=$(one_of "$entries"); note entry-crash "entry-$i"; crash "entry-$i"; sleep 1; start "entry-$i" ;;
    1) i=$(one_of "$controls"); note control-crash "control-$i"; crash "control-$i"; sleep 2; start "control-$i" ;;
    2) i=$(one_of "$controls"); seconds=$(one_of 6); note control-pause "control-$i for $seconds s"
       kill -STOP "${pids[control-$i]}"; sleep "$seconds"; kill -CONT "${pids[control-$i]}" ;;
    3) i=$(one_of "$entries"); seconds=$(one_of 6); note entry-pause "entry-$i for $seconds s"
       kill -STOP "${pids[entry-$i]}"; sleep "$seconds"; kill -CONT "${pids[entry-$i]}" ;;
    4) i=$(one_of "$entries"); note entry-stop "entry-$i"; stop "entry-$i"; start "entry-$i" ;;
    5) i=$(one_of "$engines"); note engine-crash "engine-$i"; inject "127.0.0.1:$((7300 + i))" '{"kind":"crash"}' ;;
    6) i=$(one_of "$engines"); note engine-kill "engine-$i"; crash "engine-$i"; sleep 2; start "engine-$i" ;;
    7) i=$(one_of "$engines"); note engine-silent "engine-$i"
       inject "127.0.0.1:$((7300 + i))" '{"kind":"silent"}'; sleep 4; inject "127.0.0.1:$((7300 + i))" '{"kind":"clear"}' ;;
    8) i=$(one_of "$engines"); note engine-crossed "engine-$i"; inject "127.0.0.1:$((7300 + i))" '{"kind":"crossed","count":3}' ;;
    9) i=$(one_of "$engines"); note engine-empty "engine-$i"; inject "127.0.0.1:$((7300 + i))" '{"kind":"empty","count":3}' ;;
    10) i=$(one_of "$engines"); note events-lost "engine-$i"; inject "127.0.0.1:$((7300 + i))" '{"kind":"lose-event","count":200}' ;;
    11) i=$(one_of "$plains"); note answers-lost "plain-$i"; inject "127.0.0.1:$((7400 + i))" '{"kind":"cut-stream","count":2}' ;;
    12) i=$(one_of "$plains"); note plain-late "plain-$i"; inject "127.0.0.1:$((7400 + i))" '{"kind":"late","count":5,"delay_ms":2000}' ;;
  esac
}

note() { # kind, what
  struck[$1]=$(( ${struck[$1]:-0} + 1 ))
  printf '%4ds fault: %s %s\n' "$SECONDS" "$1" "$2"
}

list() { # base port, count
  local i text=""
  for i in $(seq "$2"); do text+=${text:+, }127.0.0.1:$(($1 + i)); done
  echo "$text"
}

write_load() {
  cat >"$work/load.ini" <<END
[target]
entries = $(list 7000 "$entries")
accounts_file = $work/accounts
plain_endpoints = $(list 7400 "$plains")
operators = $(list 7200 "$controls")
operator_token_file = $work/operator-token
[run]
name = soak
duration = ${minutes}m
rate = $rate
callers = 100
seed = $seed
timeout = 30s
attempts = 5
[prompts]
levels = 6000x4, 2000x30
own_tokens = 150
max_tokens = 32
hot_shift = 30s
[mix]
model = quotes
lookup_share = 0.1
lookup_path = /stock
order_share = 0.25
order_path = /orders
call_tokens = 10
resend_share = 0.2
[greedy]
account = markets
times = 5
[oracles]
withdraw_account = canteens
withdraw_after = $((minutes * 30))s
END
}

say "Starting $controls control, $entries entry, $engines engines, $plains plain services, $stores kept-cache store"
settings
processes quotes
fleet quotes
: >"$work/accounts"
for line in "almacenes 5 400000 800000" "restaurants 3 250000 500000" "trattorias 1 80000 160000" \
  "canteens 1 80000 160000" "markets 0.5 40000 80000"; do
  read -r name share grant burst <<<"$line"
  account "$name" "$grant" "$burst"
  echo "$name $key $share $grant $burst" >>"$work/accounts"
done
in_force "$revision"
write_load

say "Load for $minutes minutes with seed $seed"
"$bin/eelgrass-load" --config "$work/load.ini" --json out/soak.json --html out/soak.html >"$work/report" 2>"$work/progress" &
load=$!
SECONDS=0
while [ "$SECONDS" -lt $((minutes * 60 - 10)) ]; do
  sleep $((RANDOM % 4 + 1))
  fault
done
status=0
wait "$load" || status=$?
say "Faults brought about"
for kind in "${!struck[@]}"; do echo "$kind ${struck[$kind]}"; done | sort
say "Report"
cat "$work/report"
tail -n 3 "$work/progress"
exit "$status"
