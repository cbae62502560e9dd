#!/usr/bin/env bash
# Starts platform, engine, target and entry as processes on loopback and runs porthoist-lab load against them.
# Arguments go to porthoist-lab load, for example --rate 2000 --stream.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --quiet --locked -p porthoistd -p porthoist-standin -p porthoist-lab
bin=target/release
folder="$(mktemp -d)"
pids=()
trap 'kill "${pids[@]}" 2>/dev/null || true; rm -rf "$folder"' EXIT
cat > "$folder/items.json" <<'ITEMS'
{"config/team/demo": {"cells": {"kind": "team", "name": "demo", "rate": "1000000/s", "concurrency": "1000000"}, "edit": "start"},
 "config/service/demo-model": {"cells": {"kind": "service", "name": "demo-model"}, "edit": "start"}}
ITEMS
address() { # file, name
  until grep -q "^$2 " "$folder/$1"; do sleep 0.05; done
  sed -n "s/^$2 //p" "$folder/$1"
}
start() { # name, program...
  local name="$1"; shift
  "$@" > "$folder/$name" & pids+=($!)
}
start platform $bin/porthoist-standin platform --items "$folder/items.json"
start engine $bin/porthoist-standin engine
platform="http://$(address platform listening)"
engine="http://$(address engine listening)"
common=(--platform "$platform" --fleet-key measure-fleet-key-01 --operator-token measure-operator-01 --zone a --log-level warning)
start target $bin/porthoistd --role target --name t1 --services demo-model --backend "$engine" --slots 4096 --queue 4096 "${common[@]}"
address target fleet > /dev/null
start entry $bin/porthoistd --role entry --name e1 "${common[@]}"
entry="http://$(address entry callers)"
operator="http://$(address entry operator)"
until curl -sf "$operator/readyz" > /dev/null; do sleep 0.1; done
sleep 1.5
$bin/porthoist-lab load --entry "$entry" --direct "$engine" "$@"
if [ -n "${CPU:-}" ]; then for pid in "${pids[@]}"; do echo "cpu seconds of $pid: $(ps -o cputimes=,rss=,comm= -p "$pid")"; done; fi
