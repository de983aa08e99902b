#!/usr/bin/env bash
# Usage: scripts/tools.sh COMMAND...
# Installs the commands that this machine lacks with apt-get. Where that can't be done, it names them
# and fails.
set -euo pipefail

declare -A packages=([gcc]="gcc libc6-dev" [make]=make [spin]=spin)
missing=() install=()
for command in "$@"; do
  if ! command -v "$command" >/dev/null; then
    missing+=("$command")
    install+=(${packages[$command]-})
  fi
done
if [ ${#missing[@]} -eq 0 ]; then
  exit 0
fi
if [ ${#install[@]} -eq 0 ] || ! command -v apt-get >/dev/null || [ "$(id -u)" != 0 ]; then
  echo "These commands are missing: ${missing[*]}" >&2
  if [ ${#install[@]} -gt 0 ]; then
    echo "On Debian: sudo apt-get install ${install[*]}" >&2
  fi
  exit 1
fi
apt-get update -qq
apt-get install -y -qq "${install[@]}"
for command in "${missing[@]}"; do
  if ! command -v "$command" >/dev/null; then
    echo "The command $command is still missing" >&2
    exit 1
  fi
done
