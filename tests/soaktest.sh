#!/usr/bin/env bash
# A short soak with the seeds of tests/soak/seeds.txt: gateways in separate processes, with faults from outside.
# SOAK_SEEDS="100 101" SOAK_SECONDS=20 runs other seeds, SOAK_JOBS of them at a time; SOAK_ARGUMENTS are added.
set -euo pipefail
cd "$(dirname "$0")/.."
BUILD_DIRECTORY="${BUILD_DIRECTORY:-build}"
JOBS="${SOAK_JOBS:-3}"
DIRECTORY="$(mktemp -d)"
PROGRAM="${SOAK_PROGRAM:-$BUILD_DIRECTORY/cardamomhill}"
SOAK="$BUILD_DIRECTORY/tests/soak/cardamomhill-soak"
export BUILD_DIRECTORY DIRECTORY PROGRAM SOAK

run_seed() { # run_seed SEED SECONDS [WORD]: keeps the logs of a run that fails; an option as third word is added
    local logs="$DIRECTORY/$1"
    local option=""
    [[ "${3:-}" == --* ]] && option="$3"
    mkdir -p "$logs"
    # shellcheck disable=SC2086
    if "$SOAK" --program "$PROGRAM" --directory "$logs" --seed "$1" --seconds "$2" $option ${SOAK_ARGUMENTS:-} \
        >"$logs/soak.log" 2>&1; then
        grep '^seed' "$logs/soak.log"
        rm -rf "$logs"
    else
        tail -n 20 "$logs/soak.log"
        echo "seed $1 failed; logs in $logs"
        return 1
    fi
}
export -f run_seed

if [ -n "${SOAK_SEEDS:-}" ]; then
    for seed in $SOAK_SEEDS; do echo "$seed ${SOAK_SECONDS:-10}"; done
else
    grep -v '^#' tests/soak/seeds.txt | cut -d ' ' -f 1-3
fi >"$DIRECTORY/plan.txt"
status=0
xargs -P "$JOBS" -L 1 bash -euo pipefail -c 'run_seed "$@"' run_seed <"$DIRECTORY/plan.txt" || status=1
[ "$status" = 1 ] || rm -rf "$DIRECTORY"
exit "$status"
