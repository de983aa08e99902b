#!/usr/bin/env bash
# Starts a small fleet on loopback and demonstrates a streamed completion, a request that must not be
# repeated, the withdrawal of a key and planned stops. It fails at the first step without the expected
# result. All started processes are stopped at the end.
set -euo pipefail
cd "$(dirname "$0")/.."
controls=${CONTROLS:-3} entries=${ENTRIES:-3} engines=${ENGINES:-3} plains=${PLAINS:-2} stores=${STORES:-1}
source scripts/fleet.sh

expect() { # pattern, error message: fails unless the last response matches the pattern
  grep -qE "$1" "$work/answer" || { cat "$work/answer" >&2; fail "$2"; }
}

body='{"model":"quotes","max_tokens":12,"stream":true,"messages":[{"role":"system","content":"Price list: tagliatelle, fideos al huevo, sorrentinos."},{"role":"user","content":"Draft a restock quote."}]}'

say "Starting $controls control, $entries entry, $engines engines, $plains plain services, $stores kept-cache store"
write_settings
start_processes quotes
configure_fleet quotes
create_account litoral 200000 400000
wait_in_force "$revision"
echo "configuration revision $revision is in force on every entry VM"

say "The entry VMs that a client may use"
call --entry 127.0.0.1:7001 --method GET --path /v1/entries | tail -n +4

say "A streamed completion through entry-1"
call --entry 127.0.0.1:7001 --key "$key" --body "$body" >"$work/answer"
expect '^status: 200' "the completion was refused"
expect '\[DONE\]' "the stream has no end mark"
echo "$(grep -c '^data: {' "$work/answer") events in order, then the end mark"

say "An order, sent twice with the same Idempotency-Key through two entry VMs"
for entry in 1 $(( entries > 1 ? 2 : 1 )); do
  call --entry "127.0.0.1:$((7000 + entry))" --key "$key" --path /orders --idempotency-key order-1 \
    --body '{"item":"sorrentinos","boxes":4}' >"$work/answer"
  expect '^status: 200' "the order was refused"
  expect '"run":1' "the order ran again"
done
ran=0
for i in $(seq "$plains"); do
  n=$(call --entry "127.0.0.1:$((7400 + i))" --method GET --path /admin/stats | json_field order-1)
  ran=$((ran + ${n:-0}))
done
[ "$ran" -eq 1 ] || fail "the services ran the order $ran times"
echo "both requests got the same response; the services ran the order once"

say "The same Idempotency-Key with another body"
call --entry 127.0.0.1:7001 --key "$key" --path /orders --idempotency-key order-1 --body '{"boxes":400}' >"$work/answer"
expect '^outcome: not-run' "another body with the same Idempotency-Key was not refused"
echo "refused, not run"

say "Where the same completion would go now, without sending it"
printf '%s' "$body" | ctl route explain --account litoral --route quotes --request - >"$work/answer"
expect '^entry-1 +(send|wait) +engine-' "entry-1 does not explain the routing"
sed -n "1,$((entries + 1))p" "$work/answer"

say "A key is withdrawn by the operator"
revision=$(ctl key withdraw "$key_id" -o json | json_field revision)
ctl wait "$revision" --timeout 20s >/dev/null
call --entry 127.0.0.1:7001 --key "$key" --body "$body" >"$work/answer"
expect '^status: 401' "a withdrawn key still works"
expect '^outcome: not-run' "the refusal does not have the outcome not-run"
echo "refused, not run"

say "Planned stops"
stop $(printf '%s\n' "${!pids[@]}" | grep entry)
stop $(printf '%s\n' "${!pids[@]}" | grep control)
echo "entry and control VMs stopped cleanly"
say "The demo succeeded"
echo "In a running fleet, 'eelctl route explain --account NAME --route NAME --request FILE' shows where a request would go"
echo "now and why, and 'eelctl explain REQUEST-ID LOG-FILE...' what happened to one that was sent."
