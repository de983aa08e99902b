#!/usr/bin/env bash
# Usage: scripts/load.sh litoral|tatrametal [SECONDS]
# Runs the load of a deployment's example settings against a fleet of production size, on loopback
# and without faults. Writes the report to out/DEPLOYMENT.json and out/DEPLOYMENT.html. Fails
# if an oracle finds a violation.
set -euo pipefail
cd "$(dirname "$0")/.."
deployment=$1 seconds=${2:-60}
controls=${CONTROLS:-3} entries=${ENTRIES:-9} engines=${ENGINES:-9} plains=${PLAINS:-4} stores=${STORES:-1}
example=examples/$deployment
source scripts/fleet.sh
mkdir -p out

setting() { sed -n "s/^$1 = //p" "$example/load.ini"; } # key: prints its value in the example settings

model=$(setting model)
write_settings
start_processes "$model"
configure_fleet "$model" "$(setting order_path)" "$(setting lookup_path)"
: >"$work/accounts"
while read -r name _ share grant burst; do
  case $name in ''|'#'*) continue ;; esac
  create_account "$name" "$grant" "$burst"
  echo "$name $key $share $grant $burst" >>"$work/accounts"
done <"$example/accounts"
wait_in_force "$revision"
sed -e "s|^entries = .*|entries = $(address_list 7000 "$entries")|" -e "s|^accounts_file = .*|accounts_file = $work/accounts|" \
  -e "s|^duration = .*|duration = ${seconds}s|" -e "s|^\[target\]|&\nplain_endpoints = $(address_list 7400 "$plains")\nengine_endpoints = $(address_list 7300 "$engines")|" \
  "$example/load.ini" >"$work/load.ini"
"$bin/eelgrass-load" --config "$work/load.ini" --json "out/$deployment.json" --html "out/$deployment.html"
