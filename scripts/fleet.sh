# Functions that start a fleet on loopback, for demo.sh and soak.sh to source. They read
# controls, entries, engines, plains and stores, and stop what they have started when
# the script ends.
bin=$PWD/bin
work=$(mktemp -d)
declare -A pids=() commands=()
operators=

say() { printf '\n== %s\n' "$*"; }
fail() { printf 'FAILED: %s\n' "$*" >&2; exit 1; }

cleanup() {
  local status=$? name
  for name in "${!pids[@]}"; do
    kill -CONT "${pids[$name]}" 2>/dev/null || true
    kill -TERM "${pids[$name]}" 2>/dev/null || true
  done
  for name in "${!pids[@]}"; do wait "${pids[$name]}" 2>/dev/null || true; done
  if [ "$status" -ne 0 ]; then
    for log in "$work"/*.log; do printf -- '--- %s\n' "$(basename "$log")"; tail -n 15 "$log"; done >&2
  fi
  if [ -z "${KEEP_LOGS:-}" ]; then rm -rf "$work"; else echo "logs are in $work"; fi
}
trap cleanup EXIT

start() { # name: starts the process again as it was declared
  local name=$1
  # shellcheck disable=SC2086 # the arguments hold no spaces of their own
  "$bin"/${commands[$name]} >>"$work/$name.log" 2>&1 &
  pids[$name]=$!
}

run() { # name, binary, arguments...
  local name=$1; shift
  commands[$name]="$*"
  start "$name"
}

stop() { # names: a planned stop of all of them, each of which must end cleanly
  local name
  for name in "$@"; do kill -TERM "${pids[$name]}"; done
  for name in "$@"; do
    wait "${pids[$name]}" || fail "$name did not stop cleanly"
    unset "pids[$name]"
  done
}

crash() { # name: no warning
  local pid=${pids[$1]}
  kill -KILL "$pid"
  wait "$pid" 2>/dev/null || true
  unset "pids[$1]"
}

until_ok() { # what, command...: tries for 30 seconds
  local what=$1 n; shift
  for n in $(seq 300); do
    if "$@" >"$work/last" 2>&1; then return; fi
    sleep 0.1
  done
  cat "$work/last" >&2
  fail "$what, after $n tries"
}

domain() { local letters=abcd; printf '%s' "${letters:$(( ($1 - 1) % 4 )):1}"; }

field() { # name: the value of a JSON field of standard input
  sed -n "s/.*\"$1\": *\"\{0,1\}\([^\",}]*\)\"\{0,1\}.*/\1/p" | head -n 1
}

ctl() { "$bin/eelctl" --server "$operators" --token-file "$work/operator-token" "$@"; }
call() { "$bin/eelgrass-load" call "$@"; }

settings() {
  printf 'loopback-hash-key-0123456789abcdef\n' >"$work/hash-key"
  printf 'loopback-operator-token-0123456789\n' >"$work/operator-token"
  printf 'loopback loopback-operator-token-0123456789\n' >"$work/operators"
  chmod 600 "$work"/hash-key "$work"/operator*
  local replicas="" peers="" i
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

processes() { # model
  local i
  for i in $(seq "$controls"); do run "control-$i" eelgrass-control --config "$work/control-$i.ini"; done
  for i in $(seq "$entries"); do run "entry-$i" eelgrass-entry --config "$work/entry-$i.ini"; done
  for i in $(seq "$engines"); do
    run "engine-$i" eelgrass-standin engine --listen "127.0.0.1:$((7300 + i))" --name "engine-$i" --model "$1=v1" --seed "$i" --keep 20s --event-loss 0.02 \
      "--checks-fencing=$( [ $((i % 3)) -eq 0 ] && echo false || echo true )"
  done
  for i in $(seq "$plains"); do
    run "plain-$i" eelgrass-standin plain --listen "127.0.0.1:$((7400 + i))" --name ordering
  done
  for i in $(seq "$stores"); do run "store-$i" eelgrass-standin store --listen "127.0.0.1:$((7500 + i))"; done
}

fleet() { # model [order path] [lookup path]: puts routes and endpoints in place
  local i
  until_ok "no control replica answers" ctl status
  until_ok "set the model" ctl model put "$1" --weights-version v1
  ctl route put "$1" --kind model --model "$1" --idempotent >/dev/null
  ctl route put orders --kind plain --path-prefix "${2:-/orders}" --service ordering --call-tokens 10 >/dev/null
  ctl route put stock --kind plain --path-prefix "${3:-/stock}" --service ordering --call-tokens 10 --idempotent >/dev/null
  for i in $(seq "$engines"); do
    ctl endpoint put "engine-$i" --address "127.0.0.1:$((7300 + i))" --failure-domain "$(domain "$i")" \
      --role engine --models "$1" $( [ $((i % 3)) -eq 0 ] || echo --checks-fencing ) >/dev/null
  done
  for i in $(seq "$plains"); do
    ctl endpoint put "plain-$i" --address "127.0.0.1:$((7400 + i))" --failure-domain "$(domain "$i")" \
      --role plain --service ordering >/dev/null
  done
  for i in $(seq "$stores"); do
    ctl endpoint put "store-$i" --address "127.0.0.1:$((7500 + i))" --failure-domain "$(domain "$i")" --role kept-cache >/dev/null
  done
}

account() { # name, rate, burst: leaves key, key_id and revision
  ctl account create "$1" --rate "$2" --burst "$3" >/dev/null
  ctl key issue "$1" -o json >"$work/key"
  key=$(field token <"$work/key") key_id=$(field id <"$work/key") revision=$(field revision <"$work/key")
  [ -n "$key" ] || fail "no key was issued: $(cat "$work/key")"
}

list() { # base port, count
  local i text=""
  for i in $(seq "$2"); do text+=${text:+, }127.0.0.1:$(($1 + i)); done
  echo "$text"
}

in_force() { # revision: waits until every entry VM has it and serves
  ctl wait "$1" --timeout 20s >/dev/null
  local i
  for i in $(seq "$entries"); do until_ok "entry-$i does not serve" serving "$i"; done
}

serving() { call --entry "127.0.0.1:$((7000 + $1))" --method GET --path /v1/entries | grep -q '^status: 200'; }
