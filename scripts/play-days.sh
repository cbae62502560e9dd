#!/usr/bin/env bash
# Plays the days under deploy/days on deployments and names what broke.
#
#   scripts/play-days.sh FLEETBENCH WHY SEED SITE...
#
# Environment: JOBS plays at the same time (4), LOGS a folder for the plays' output (kept only if given), DAYS a pattern of
# days (all). Ends with 1 if a rule was broken or a day could not be played.
set -euo pipefail
cd "$(dirname "$0")/.."
bench=$1 why=$2 seed=$3
shift 3
logs=${LOGS:-$(mktemp -d)}
mkdir -p "$logs"
[ -n "${LOGS:-}" ] || trap 'rm -rf "$logs"' EXIT

play() {
    local bench=$1 why=$2 seed=$3 logs=$4 site=$5 day=$6
    local log verdict worth
    log="$logs/$(basename "$site" .toml).$(basename "$day" .toml).$seed.log"
    "$bench" run "$site" "$day" --seed "$seed" --jobs 1 --no-cpu --log all --why "$why" >"$log" 2>&1 || true
    worth=$(awk '/^day  /{getline; print $4; exit}' "$log")
    verdict=$(grep -m1 '^rules broken' "$log" || true)
    [ -n "$worth" ] || verdict="NOT PLAYED: $(tail -1 "$log")"
    # A deployment does not have every kind of trouble.
    [[ $verdict != *"is not open" ]] || verdict="not open here"
    printf '%-26s %-22s seed %s  worth %-6s %s\n' \
        "$(basename "$site" .toml)" "$(basename "$day" .toml)" "$seed" "${worth:--}" "$verdict"
}
export -f play

for site in "$@"; do
    for day in deploy/days/${DAYS:-*}.toml; do
        printf '%s\0%s\0' "$site" "$day"
    done
done | xargs -0 -P "${JOBS:-4}" -n 2 bash -c 'play "$@"' play "$bench" "$why" "$seed" "$logs" | sort | tee "$logs/summary"
! grep -qE 'rules broken|NOT PLAYED' "$logs/summary"
