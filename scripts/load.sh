#!/usr/bin/env bash
# Runs the load of a deployment's example settings against a fleet of today's size on
# loopback, without faults: scripts/load.sh litoral|tatrametal [SECONDS]. The report goes
# to out/DEPLOYMENT.json and .html; a broken promise makes it fail.
set -euo pipefail
cd "$(dirname "$0")/.."
deployment=$1 seconds=${2:-60}
controls=${CONTROLS:-3} entries=${ENTRIES:-9} engines=${ENGINES:-9} plains=${PLAINS:-4} stores=${STORES:-1}
example=examples/$deployment
source scripts/fleet.sh
mkdir -p out

setting() { sed -n "s/^$1 = //p" "$example/load.ini"; } # key

model=$(setting model)
settings
processes "$model"
fleet "$model" "$(setting order_path)" "$(setting lookup_path)"
: >"$work/accounts"
while read -r name _ share grant burst; do
  case $name in ''|'#'*) continue ;; esac
  account "$name" "$grant" "$burst"
  echo "$name $key $share $grant $burst" >>"$work/accounts"
done <"$example/accounts"
in_force "$revision"
sed -e "s|^entries = .*|entries = $(list 7000 "$entries")|" -e "s|^accounts_file = .*|accounts_file = $work/accounts|" \
  -e "s|^duration = .*|duration = ${seconds}s|" -e "s|^\[target\]|&\nplain_endpoints = $(list 7400 "$plains")\nengine_endpoints = $(list 7300 "$engines")|" \
  "$example/load.ini" >"$work/load.ini"
"$bin/eelgrass-load" --config "$work/load.ini" --json "out/$deployment.json" --html "out/$deployment.html"
