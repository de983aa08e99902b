#!/usr/bin/env bash
# Runs every test under the race detector. Tests that KNOWN-RED.txt names (lines
# "test TestName/subtest ...") run apart: their verdict is printed and does not count.
set -uo pipefail
cd "$(dirname "$0")/.."
limit=${1:-8m}
reds=$(awk '$1 == "test" {gsub("/", "$/^", $2); print "^" $2 "$"}' KNOWN-RED.txt | sort -u | paste -sd'|' -)
if [ -z "$reds" ]; then
  exec go test -race -timeout "$limit" ./...
fi
go test -race -timeout "$limit" -skip "$reds" ./...
verdict=$?
echo "known red, printed and not counted:"
grep '^test ' KNOWN-RED.txt
go test -race -timeout "$limit" -run "$reds" ./... 2>&1 | grep -E '^ *--- (FAIL|PASS|SKIP)|FAIL:|^(ok|FAIL)' | grep -v 'no test' || true
exit $verdict
