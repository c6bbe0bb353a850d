#!/usr/bin/env bash
# Prints the measured figures of docs/CAPACITY.md again; takes some minutes on an idle machine.
set -euo pipefail
cd "$(dirname "$0")/.."

scripts/install-packages.sh
scripts/build.sh build >/dev/null
run() {
    printf '\n== %s\n' "$*"
    "$@"
}
run build/bench/configurationbench
run build/bench/membershipbench
run build/bench/executionbench
run build/bench/routingbench time memory
run build/bench/groupbench
run build/bench/relaybench

printf '\n== processes of scripts/fleet.sh, idle for 10 s: CPU ticks of 10 ms (user, system), resident memory\n'
source scripts/fleet.sh
fleet_start
fleet_configure token >/dev/null
fleet_create_slots orders >/dev/null
names=(entry_a entry_b agent_orders agent_chat)
ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }
declare -A before
for name in "${names[@]}"; do
    pid="PID_$name"
    before[$name]="$(ticks "${!pid}")"
done
sleep 10
for name in "${names[@]}"; do
    pid="PID_$name"
    echo "$name: $(($(ticks "${!pid}") - before[$name])) ticks, $(awk '/VmRSS/{print $2 " kB"}' "/proc/${!pid}/status")," \
        "$(awk '/Threads/{print $2 " threads"}' "/proc/${!pid}/status")"
done
