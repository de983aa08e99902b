#!/usr/bin/env bash
# Runs every test under the race detector. Tests that KNOWN-RED.txt names (lines
# "test TestName ...") run apart: their verdict is printed and does not count.
set -uo pipefail
cd "$(dirname "$0")/.."
limit=${1:-8m}
# A name may be TestName or TestName/subtest; each part is matched whole.
reds=$(awk '$1 == "test" {n = split($2, part, "/"); s = ""; for (i = 1; i <= n; i++) s = s (i > 1 ? "/" : "") "^" part[i] "$"; print s}' \
  KNOWN-RED.txt 2>/dev/null | sort -u | paste -sd'|' -)
if [ -z "$reds" ]; then
  exec go test -race -timeout "$limit" ./...
fi
go test -race -timeout "$limit" -skip "$reds" ./...
verdict=$?
echo "known red, printed and not counted:"
grep '^test ' KNOWN-RED.txt
go test -race -timeout "$limit" -run "$reds" ./... 2>&1 | grep -v 'no test' || true
exit $verdict
