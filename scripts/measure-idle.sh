#!/usr/bin/env bash
# Starts entries and targets without load on loopback and prints processor time and memory of each kind.
# ENTRIES, TARGETS and SECONDS_IDLE set the size (default 3, 15, 20).
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --quiet --locked -p porthoistd -p porthoist-standin
entries="${ENTRIES:-3}" targets="${TARGETS:-15}" seconds="${SECONDS_IDLE:-20}"
bin=target/release
folder="$(mktemp -d)"
pids=() entry_pids=() target_pids=()
trap 'kill "${pids[@]}" 2>/dev/null || true; sleep 0.2; kill -9 "${pids[@]}" 2>/dev/null || true; rm -rf "$folder"' EXIT
echo '{"config/team/demo": {"cells": {"kind": "team", "name": "demo"}, "edit": "start"}, "config/service/m": {"cells": {"kind": "service", "name": "m"}, "edit": "start"}}' > "$folder/items.json"
address() { until grep -q "^$2 " "$folder/$1"; do sleep 0.05; done; sed -n "s/^$2 //p" "$folder/$1"; }
start() { local name="$1"; shift; "$@" > "$folder/$name" 2>/dev/null & pids+=($!); }
start platform $bin/porthoist-standin platform --items "$folder/items.json"
start engine $bin/porthoist-standin engine
platform="http://$(address platform listening)" engine="http://$(address engine listening)"
common=(--platform "$platform" --fleet-key measure-fleet-key-01 --operator-token measure-operator-01 --zone a --log-level error)
for i in $(seq "$targets"); do start "t$i" $bin/porthoistd --role target --name "t$i" --services m --backend "$engine" "${common[@]}"; target_pids+=("${pids[-1]}"); done
for i in $(seq "$entries"); do start "e$i" $bin/porthoistd --role entry --name "e$i" "${common[@]}"; entry_pids+=("${pids[-1]}"); done
ticks() { local sum=0 pid; for pid in "$@"; do sum=$((sum + $(awk '{print $14 + $15}' "/proc/$pid/stat"))); done; echo $sum; }
memory() { local sum=0 pid; for pid in "$@"; do sum=$((sum + $(awk '/VmRSS/ {print $2}' "/proc/$pid/status"))); done; echo $sum; }
sleep 6
before_e=$(ticks "${entry_pids[@]}") before_t=$(ticks "${target_pids[@]}")
sleep "$seconds"
after_e=$(ticks "${entry_pids[@]}") after_t=$(ticks "${target_pids[@]}")
echo "$entries entries, $targets targets, idle for $seconds s"
awk -v d=$((after_e - before_e)) -v n="$entries" -v s="$seconds" -v m="$(memory "${entry_pids[@]}")" 'BEGIN { printf "an entry: %.2f%% of a core, %.1f MB\n", d / n / s, m / n / 1024 }'
awk -v d=$((after_t - before_t)) -v n="$targets" -v s="$seconds" -v m="$(memory "${target_pids[@]}")" 'BEGIN { printf "a target: %.2f%% of a core, %.1f MB\n", d / n / s, m / n / 1024 }'
