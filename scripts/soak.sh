#!/usr/bin/env bash
# Usage: scripts/soak.sh [MINUTES] [SEED]
# Runs load with all oracles against a fleet of production size on loopback, and injects random faults
# from a fixed seed. Writes the report to out/soak.json and out/soak.html. Fails if an oracle
# finds a violation.
set -euo pipefail
cd "$(dirname "$0")/.."
minutes=${1:-10} seed=${2:-1}
controls=${CONTROLS:-3} entries=${ENTRIES:-9} engines=${ENGINES:-9} plains=${PLAINS:-4} stores=${STORES:-1}
rate=${RATE:-60}
source scripts/fleet.sh
mkdir -p out
RANDOM=$seed
declare -A fault_counts=()

# random_up_to N: prints a random number from 1 to N, derived from the seed.
random_up_to() { echo $((RANDOM % $1 + 1)); }

inject() { # address of a stand-in, fault as JSON
  call --entry "$1" --path /admin/fault --body "$2" --timeout 5s >/dev/null || true
}

inject_random_fault() {
  local i seconds
  case $((RANDOM % 13)) in
    0) i=$(random_up_to "$entries"); log_fault entry-crash "entry-$i"; crash "entry-$i"; sleep 1; start "entry-$i" ;;
    1) i=$(random_up_to "$controls"); log_fault control-crash "control-$i"; crash "control-$i"; sleep 2; start "control-$i" ;;
    2) i=$(random_up_to "$controls"); seconds=$(random_up_to 6); log_fault control-pause "control-$i for $seconds s"
       kill -STOP "${pids[control-$i]}"; sleep "$seconds"; kill -CONT "${pids[control-$i]}" ;;
    3) i=$(random_up_to "$entries"); seconds=$(random_up_to 6); log_fault entry-pause "entry-$i for $seconds s"
       kill -STOP "${pids[entry-$i]}"; sleep "$seconds"; kill -CONT "${pids[entry-$i]}" ;;
    4) i=$(random_up_to "$entries"); log_fault entry-stop "entry-$i"; stop "entry-$i"; start "entry-$i" ;;
    5) i=$(random_up_to "$engines"); log_fault engine-crash "engine-$i"; inject "127.0.0.1:$((7300 + i))" '{"kind":"crash"}' ;;
    6) i=$(random_up_to "$engines"); log_fault engine-kill "engine-$i"; crash "engine-$i"; sleep 2; start "engine-$i" ;;
    7) i=$(random_up_to "$engines"); log_fault engine-silent "engine-$i"
       inject "127.0.0.1:$((7300 + i))" '{"kind":"silent"}'; sleep 4; inject "127.0.0.1:$((7300 + i))" '{"kind":"clear"}' ;;
    8) i=$(random_up_to "$engines"); log_fault engine-crossed "engine-$i"; inject "127.0.0.1:$((7300 + i))" '{"kind":"crossed","count":3}' ;;
    9) i=$(random_up_to "$engines"); log_fault engine-empty "engine-$i"; inject "127.0.0.1:$((7300 + i))" '{"kind":"empty","count":3}' ;;
    10) i=$(random_up_to "$engines"); log_fault events-lost "engine-$i"; inject "127.0.0.1:$((7300 + i))" '{"kind":"lose-event","count":200}' ;;
    11) i=$(random_up_to "$plains"); log_fault answers-lost "plain-$i"; inject "127.0.0.1:$((7400 + i))" '{"kind":"cut-stream","count":2}' ;;
    12) i=$(random_up_to "$plains"); log_fault plain-late "plain-$i"; inject "127.0.0.1:$((7400 + i))" '{"kind":"late","count":5,"delay_ms":2000}' ;;
  esac
}

log_fault() { # kind, target
  fault_counts[$1]=$(( ${fault_counts[$1]:-0} + 1 ))
  printf '%4ds fault: %s %s\n' "$SECONDS" "$1" "$2"
}

address_list() { # base port, count: prints the addresses with ports base+1 to base+count
  local i text=""
  for i in $(seq "$2"); do text+=${text:+, }127.0.0.1:$(($1 + i)); done
  echo "$text"
}

write_load() {
  cat >"$work/load.ini" <<END
[target]
entries = $(address_list 7000 "$entries")
accounts_file = $work/accounts
plain_endpoints = $(address_list 7400 "$plains")
operators = $(address_list 7200 "$controls")
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
write_settings
start_processes quotes
configure_fleet quotes
: >"$work/accounts"
for line in "almacenes 5 400000 800000" "restaurants 3 250000 500000" "trattorias 1 80000 160000" \
  "canteens 1 80000 160000" "markets 0.5 40000 80000"; do
  read -r name share grant burst <<<"$line"
  create_account "$name" "$grant" "$burst"
  echo "$name $key $share $grant $burst" >>"$work/accounts"
done
wait_in_force "$revision"
write_load

say "Load for $minutes minutes with seed $seed"
"$bin/eelgrass-load" --config "$work/load.ini" --json out/soak.json --html out/soak.html >"$work/report" 2>"$work/progress" &
load=$!
SECONDS=0
while [ "$SECONDS" -lt $((minutes * 60 - 10)) ]; do
  sleep $((RANDOM % 4 + 1))
  inject_random_fault
done
status=0
wait "$load" || status=$?
say "Injected faults"
for kind in "${!fault_counts[@]}"; do echo "$kind ${fault_counts[$kind]}"; done | sort
say "Report"
cat "$work/report"
tail -n 3 "$work/progress"
exit "$status"
