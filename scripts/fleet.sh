# Functions that start a fleet on loopback, sourced by demo.sh, load.sh and soak.sh. They read the
# numbers of processes from controls, entries, engines, plains and stores. When the sourcing script
# exits, all started processes are stopped.
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

start() { # name: starts a process with the command that "run" has stored for it
  local name=$1
  # shellcheck disable=SC2086 # the arguments contain no spaces
  "$bin"/${commands[$name]} >>"$work/$name.log" 2>&1 &
  pids[$name]=$!
}

run() { # name, binary, arguments...: stores the command and starts the process
  local name=$1; shift
  commands[$name]="$*"
  start "$name"
}

stop() { # names...: sends SIGTERM to all of them; each must exit with status 0
  local name
  for name in "$@"; do kill -TERM "${pids[$name]}"; done
  for name in "$@"; do
    wait "${pids[$name]}" || fail "$name did not stop cleanly"
    unset "pids[$name]"
  done
}

crash() { # name: sends SIGKILL
  local pid=${pids[$1]}
  kill -KILL "$pid"
  wait "$pid" 2>/dev/null || true
  unset "pids[$1]"
}

retry_until_ok() { # error message, command...: retries the command for 30 seconds or longer
  local what=$1 n; shift
  for n in $(seq 300); do
    if "$@" >"$work/last" 2>&1; then return; fi
    sleep 0.1
  done
  cat "$work/last" >&2
  fail "$what (after $n attempts)"
}

failure_domain() { local letters=abcd; printf '%s' "${letters:$(( ($1 - 1) % 4 )):1}"; }

json_field() { # name: prints the value of a field of the JSON text on standard input
  sed -n "s/.*\"$1\": *\"\{0,1\}\([^\",}]*\)\"\{0,1\}.*/\1/p" | head -n 1
}

ctl() { "$bin/eelctl" --server "$operators" --token-file "$work/operator-token" "$@"; }
call() { "$bin/eelgrass-load" call "$@"; }

write_settings() {
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
failure_domain = $(failure_domain "$i")
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
failure_domain = $(failure_domain "$i")
address = 127.0.0.1:$((7000 + i))
peer_address = 127.0.0.1:$((7050 + i))
[control]
addresses = $peers
[security]
hash_key_file = $work/hash-key
END
  done
}

start_processes() { # model: starts all processes of the fleet
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

configure_fleet() { # model [order path] [lookup path]: creates the model, the routes and the endpoints
  local i
  retry_until_ok "no control replica responds" ctl status
  retry_until_ok "the model can't be created" ctl model put "$1" --weights-version v1
  ctl route put "$1" --kind model --model "$1" --idempotent >/dev/null
  ctl route put orders --kind plain --path-prefix "${2:-/orders}" --service ordering --call-tokens 10 >/dev/null
  ctl route put stock --kind plain --path-prefix "${3:-/stock}" --service ordering --call-tokens 10 --idempotent >/dev/null
  for i in $(seq "$engines"); do
    ctl endpoint put "engine-$i" --address "127.0.0.1:$((7300 + i))" --failure-domain "$(failure_domain "$i")" \
      --role engine --models "$1" $( [ $((i % 3)) -eq 0 ] || echo --checks-fencing ) >/dev/null
  done
  for i in $(seq "$plains"); do
    ctl endpoint put "plain-$i" --address "127.0.0.1:$((7400 + i))" --failure-domain "$(failure_domain "$i")" \
      --role plain --service ordering >/dev/null
  done
  for i in $(seq "$stores"); do
    ctl endpoint put "store-$i" --address "127.0.0.1:$((7500 + i))" --failure-domain "$(failure_domain "$i")" --role kept-cache >/dev/null
  done
}

create_account() { # name, rate, burst: creates a client account and a key; sets key, key_id and revision
  ctl account create "$1" --rate "$2" --burst "$3" >/dev/null
  ctl key issue "$1" -o json >"$work/key"
  key=$(json_field token <"$work/key") key_id=$(json_field id <"$work/key") revision=$(json_field revision <"$work/key")
  [ -n "$key" ] || fail "no key was issued: $(cat "$work/key")"
}

address_list() { # base port, count: prints the addresses with ports base+1 to base+count
  local i text=""
  for i in $(seq "$2"); do text+=${text:+, }127.0.0.1:$(($1 + i)); done
  echo "$text"
}

wait_in_force() { # revision: waits until the revision is in force and every entry VM serves
  ctl wait "$1" --timeout 20s >/dev/null
  local i
  for i in $(seq "$entries"); do retry_until_ok "entry-$i does not serve" entry_serves "$i"; done
}

entry_serves() { call --entry "127.0.0.1:$((7000 + $1))" --method GET --path /v1/entries | grep -q '^status: 200'; }
