#!/usr/bin/env bash
# Checks every Promela model in spec/ with fixed options. A model NAME.pml must hold;
# the same model built with -DBROKEN must be caught. A file NAME.opts gives pan's options.
set -euo pipefail
cd "$(dirname "$0")"
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

run() { # model, defines, log
  local model=$1 defines=$2 log=$3 dir="$work/$(basename "$1" .pml)$2"
  mkdir -p "$dir"
  (cd "$dir" && spin -a $defines "$OLDPWD/$model" >"$log" 2>&1 \
    && gcc -O2 -DSAFETY -DMEMLIM=4096 -DVECTORSZ=4096 -o pan pan.c 2>>"$log" \
    && ./pan $(cat "$OLDPWD/${model%.pml}.opts" 2>/dev/null || echo "-m1000000") >>"$log" 2>&1)
}

status=0
shopt -s nullglob
for model in *.pml; do
  log="$work/${model%.pml}.log"
  run "$model" "" "$log" || true
  if ! grep -q "errors: 0" "$log" || grep -q "max search depth too small" "$log"; then
    echo "FAIL $model"; cat "$log"; status=1; continue
  fi
  states=$(grep "states, stored" "$log" | awk '{print $1}')
  for broken in $(grep -o 'BROKEN[_A-Z0-9]*' "$model" | sort -u); do
    run "$model" "-D$broken" "$log" || true
    if ! grep -qE "errors: [1-9]" "$log"; then
      echo "FAIL $model: -D$broken was not caught"; cat "$log"; status=1
    else
      echo "ok   $model -D$broken is caught"
    fi
  done
  echo "ok   $model holds, $states states"
done
exit $status
