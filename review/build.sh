#!/bin/bash
# Builds the programs of the scripts in this folder, with their stand-ins, into target/review/.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
for main in review/[1-5]/main.go; do
  [ -e "$main" ] || continue
  n=$(basename "$(dirname "$main")")
  go build -o "target/review/case$n" "./review/$n"
done
