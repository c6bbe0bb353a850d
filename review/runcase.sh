#!/usr/bin/env bash
# Runs the script of one case: review/runcase.sh N. Exit status 1: the rule was broken, 0: it held, 2: it couldn't run.
# With TROUBLE=0 the disruption is left out, with KEEP=1 the logs of the gateways are kept.
set -uo pipefail
cd "$(dirname "$0")/.."

number="$1"
program="build-review/case-$number"
if [ ! -x "$program" ] || [ ! -x target/cardamomhill ]; then
    echo "build first: the deploy file's build, then review/build.sh"
    exit 2
fi
directory="$(mktemp -d)"
# Runs in a process group of its own, whose number is that of its first process.
timeout --signal=KILL 115 "$program" "$directory" "review/$number/record.txt" "${TROUBLE:-1}" &
group=$!
clean_up() {
    kill -KILL -- "-$group" 2>/dev/null
    if [ -n "${KEEP:-}" ]; then echo "logs: $directory"; else rm -rf "$directory"; fi
}
trap clean_up EXIT
trap 'exit 2' INT TERM
wait "$group"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
