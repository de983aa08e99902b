#!/usr/bin/env bash
# Sets a small fleet up on loopback and shows the whole path: a streamed completion, a
# call that must not be repeated, a withdrawn key, planned stops. Everything it starts,
# it stops; it ends with a failure as soon as a step does not do what it should.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$PWD/bin
controls=${CONTROLS:-1} entries=${ENTRIES:-2} engines=${ENGINES:-3} plains=${PLAINS:-1}
work=$(mktemp -d)
declare -A pids=()

say() { printf '\n== %s\n' "$*"; }
fail() { printf 'FAILED: %s\n' "$*" >&2; exit 1; }

cleanup() {
  local status=$?
  for name in "${!pids[@]}"; do kill -TERM "${pids[$name]}" 2>/dev/null || true; done
  for name in "${!pids[@]}"; do wait "${pids[$name]}" 2>/dev/null || true; done
  if [ "$status" -ne 0 ]; then
    for log in "$work"/*.log; do printf -- '--- %s\n' "$(basename "$log")"; tail -n 15 "$log"; done >&2
  fi
  rm -rf "$work"
}
trap cleanup EXIT

start() { # name, binary, arguments...
  local name=$1 binary=$2; shift 2
  "$bin/$binary" "$@" >"$work/$name.log" 2>&1 &
  pids[$name]=$!
}

stop() { # name: a planned stop must end cleanly
  local pid=${pids[$1]}
  kill -TERM "$pid"
  wait "$pid" || fail "$1 did not stop cleanly"
  unset "pids[$1]"
}

until_ok() { # what, command...: tries for 30 seconds
  local what=$1; shift
  for _ in $(seq 300); do
    if "$@" >"$work/last" 2>&1; then return; fi
    sleep 0.1
  done
  cat "$work/last" >&2
  fail "$what"
}

domain() { local letters=abcd; printf '%s' "${letters:$(( ($1 - 1) % 4 )):1}"; }

field() { # name: the value of a JSON field of standard input
  sed -n "s/.*\"$1\": *\"\{0,1\}\([^\",}]*\)\"\{0,1\}.*/\1/p" | head -n 1
}

ctl() { "$bin/eelctl" --server "$operators" --token-file "$work/operator-token" "$@"; }
call() { "$bin/eelgrass-load" call "$@"; }

settings() {
  printf 'demo-hash-key-0123456789abcdefghij\n' >"$work/hash-key"
  printf 'demo-operator-token-0123456789\n' >"$work/operator-token"
  printf 'demo demo-operator-token-0123456789\n' >"$work/operators"
  chmod 600 "$work"/hash-key "$work"/operator*
  local replicas="" peers="" i
  operators=""
  for i in $(seq "$controls"); do
    replicas+=${replicas:+,}$i=127.0.0.1:$((7100 + i))
    peers+=${peers:+,}127.0.0.1:$((7100 + i))
    operators+=${operators:+,}http://127.0.0.1:$((7200 + i))
  done
  for i in $(seq "$controls"); do
    cat >"$work/control-$i.ini" <<END
[node]
name = control-$i
failure_domain = $(domain "$i")
data_dir = $work/control-$i
peer_address = 127.0.0.1:$((7100 + i))
operator_address = 127.0.0.1:$((7200 + i))
[control]
replica_id = $i
replicas = $replicas
[security]
hash_key_file = $work/hash-key
operator_tokens_file = $work/operators
END
  done
  for i in $(seq "$entries"); do
    cat >"$work/entry-$i.ini" <<END
[node]
name = entry-$i
failure_domain = $(domain "$i")
address = 127.0.0.1:$((7000 + i))
peer_address = 127.0.0.1:$((7050 + i))
[control]
addresses = $peers
[security]
hash_key_file = $work/hash-key
END
  done
}

processes() {
  local i
  for i in $(seq "$controls"); do start "control-$i" eelgrass-control --config "$work/control-$i.ini"; done
  for i in $(seq "$entries"); do start "entry-$i" eelgrass-entry --config "$work/entry-$i.ini"; done
  for i in $(seq "$engines"); do
    start "engine-$i" eelgrass-standin engine --listen "127.0.0.1:$((7300 + i))" --name "engine-$i" --model quotes=v1
  done
  for i in $(seq "$plains"); do
    start "plain-$i" eelgrass-standin plain --listen "127.0.0.1:$((7400 + i))" --name ordering
  done
}

configure() {
  local i
  until_ok "no control replica answers" ctl status
  until_ok "create the client account" ctl account create litoral --rate 200000 --burst 400000
  ctl model put quotes --weights-version v1 >/dev/null
  ctl route put quotes --kind model --model quotes --idempotent >/dev/null
  ctl route put orders --kind plain --path-prefix /orders --service ordering --call-tokens 10 >/dev/null
  for i in $(seq "$engines"); do
    ctl endpoint put "engine-$i" --address "127.0.0.1:$((7300 + i))" --failure-domain "$(domain "$i")" \
      --role engine --models quotes --checks-fencing >/dev/null
  done
  for i in $(seq "$plains"); do
    ctl endpoint put "plain-$i" --address "127.0.0.1:$((7400 + i))" --failure-domain "$(domain "$i")" \
      --role plain --service ordering >/dev/null
  done
  ctl key issue litoral -o json >"$work/key"
  key=$(field token <"$work/key") key_id=$(field id <"$work/key") revision=$(field revision <"$work/key")
  [ -n "$key" ] || fail "no key was issued: $(cat "$work/key")"
  ctl wait "$revision" --timeout 20s >/dev/null
}

expect() { # pattern, what: the last answer must match
  grep -qE "$1" "$work/answer" || { cat "$work/answer" >&2; fail "$2"; }
}

body='{"model":"quotes","max_tokens":12,"stream":true,"messages":[{"role":"system","content":"Price list: tagliatelle, fideos al huevo, sorrentinos."},{"role":"user","content":"Draft a restock quote."}]}'

say "Starting $controls control, $entries entry, $engines engines, $plains plain service(s)"
settings
processes
configure
echo "configuration revision $revision is in force on every entry VM"

say "Which entry VMs should a caller use?"
serving() { call --entry 127.0.0.1:7001 --method GET --path /v1/entries | grep -q '^status: 200'; }
until_ok "no entry VM names addresses" serving
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
call --entry 127.0.0.1:7401 --method GET --path /admin/stats --body "" >"$work/answer"
echo "both calls got the same answer; the service ran it once"

say "A key that the operator withdraws"
revision=$(ctl key withdraw "$key_id" -o json | field revision)
ctl wait "$revision" --timeout 20s >/dev/null
call --entry 127.0.0.1:7001 --key "$key" --body "$body" >"$work/answer"
expect '^status: 401' "a withdrawn key still works"
expect '^outcome: not-run' "the refusal does not say that nothing ran"
echo "refused, not run"

say "Planned stops"
for name in $(printf '%s\n' "${!pids[@]}" | grep entry) $(printf '%s\n' "${!pids[@]}" | grep control); do stop "$name"; done
echo "entry and control VMs stopped cleanly"
say "The demo did all that it should"
