#!/bin/bash
# Builds the programs of the scripts in this folder, with their stand-ins, into target/review/. They lie in platform/, as they
# contain names of the platform.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
for main in review/platform/case[1-5]/main.go; do
  [ -e "$main" ] || continue
  case=$(basename "$(dirname "$main")")
  go build -o "target/review/$case" "./review/platform/$case"
done
