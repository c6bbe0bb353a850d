#!/usr/bin/env bash
# Configuration changes in real processes. Guards against changes that come into force late, against a return to an older
# version after restarts while the platform is unavailable, and against a wrong result being reported for a write that
# competes with others or whose answer is lost.
set -euo pipefail
cd "$(dirname "$0")/.."
PORT_BASE=28600
STEP_TIME_MS=5
source scripts/fleet.sh
source tests/support/expect.sh

fleet_start
fleet_configure token >/dev/null

change() { "$PROGRAM" profile change desk --platform "$PLATFORM" --set "timeout_ms=$1"; }
version_of_desk() { "$PROGRAM" profile list --platform "$PLATFORM" | sed -n 's/^desk version \([0-9]*\).*/\1/p'; }
in_force() { "$PROGRAM" status --operator-port "$1" | sed -n 's/.*"configuration_version":\([0-9]*\).*/\1/p'; }
# wait_in_force VERSION: prints in-force if all four processes have the version within 5 s, else late. The limit is 6
# because SECONDS counts whole seconds.
wait_in_force() {
    local deadline=$((SECONDS + 6)) operator
    for operator in "$ENTRY_A_OPERATOR" "$ENTRY_B_OPERATOR" "$AGENT_ENGINE_OPERATOR" "$AGENT_PLAIN_OPERATOR"; do
        until [ "$(in_force "$operator")" -ge "$1" ]; do
            if [ "$SECONDS" -ge "$deadline" ]; then
                echo late
                return 0
            fi
            sleep 0.1
        done
    done
    echo in-force
}

change 10001 >/dev/null
expect "an accepted change is in force in all processes within 5 s" in-force "$(wait_in_force "$(version_of_desk)")"

for i in 1 2 3 4 5 6; do
    { change $((11000 + i)) >"$FLEET_DIRECTORY/change.$i" 2>"$FLEET_DIRECTORY/conflict.$i" \
        && echo succeeded || echo refused; } >"$FLEET_DIRECTORY/result.$i" &
    change_pids[i]=$!
done
before="$(version_of_desk)"
wait "${change_pids[@]}"
succeeded="$(cat "$FLEET_DIRECTORY"/result.* | grep -c succeeded)"
expect "of concurrent changes by operators, each successful one creates one version" "$succeeded" "$(sort -u "$FLEET_DIRECTORY"/change.* | grep -c version)"
expect "each refused change reports the expected and the current version" "$((6 - succeeded))" \
    "$(cat "$FLEET_DIRECTORY"/conflict.* | grep -c 'based on version [0-9]*, now at version [0-9]*' || true)"
expect "at least one of them succeeds" yes "$([ "$succeeded" -ge 1 ] && [ "$before" -ge 1 ] && echo yes)"

before="$(version_of_desk)"
curl -sS "http://$PLATFORM/faults" -d '{"lose_write_answers":1}' >/dev/null
expect "a write whose answer is lost is reported as successful" 0 "$(change 12000 >/dev/null; echo $?)"
expect "and takes effect once" $((before + 1)) "$(version_of_desk)"
newest="$(version_of_desk)"
expect "it is in force in all processes within 5 s" in-force "$(wait_in_force "$newest")"

curl -sS --max-time 20 "http://$ENTRY_A/v1/services/chat/generate" -H "Authorization: Bearer token" \
    -d '{"prompt":"y","tokens":600,"stream":true}' >"$FLEET_DIRECTORY/stream.txt" &
stream_pid=$!
sleep 0.5
"$PROGRAM" backendserver change chat-1 --platform "$PLATFORM" --set capacity=65 >/dev/null
newest="$("$PROGRAM" backendserver list --platform "$PLATFORM" | sed -n 's/^chat-1 version \([0-9]*\).*/\1/p')"
wait_in_force "$newest" >/dev/null
expect "a request is answered after its backend server's configuration changed during a stream" '{"text":"z-0 "}' \
    "$(curl -sS --max-time 3 "http://$ENTRY_A/v1/services/chat/generate" -H "Authorization: Bearer token" -d '{"prompt":"z","tokens":1}')"
wait "$stream_pid"
expect "the connections opened before and after the change do not replace each other" 0 \
    "$(grep -c 'superseded' "$FLEET_DIRECTORY/agent-chat.log" || true)"
expect "and the stream arrives complete" 600 "$(grep -c '^data: y-' "$FLEET_DIRECTORY/stream.txt")"

curl -sS -X PUT "http://$PLATFORM/objects/profiles/damaged" -H 'If-None-Match: *' -d '{"retired":"yes"}' >/dev/null
change 12500 >/dev/null
newest="$(version_of_desk)"
expect "a malformed object on the platform does not delay changes of other objects" in-force "$(wait_in_force "$newest")"

curl -sS "http://$PLATFORM/faults" -d '{"down":true}' >/dev/null
expect "a write during an outage fails with status 1" 1 "$(change 13000 >/dev/null 2>&1; echo $?)"
for round in 1 2; do
    fleet_crash entry-a
    fleet_restart_entry_a
    expect "an entry process restarted while the platform is unavailable has the newest version ($round)" "$newest" "$(in_force "$ENTRY_A_OPERATOR")"
    fleet_crash entry-b
    fleet_spawn entry-b "$PROGRAM" entry --settings "$FLEET_DIRECTORY/entry-b.yaml"
    fleet_wait_ready "$ENTRY_B_OPERATOR"
    expect "so has the other entry process, restarted after it ($round)" "$newest" "$(in_force "$ENTRY_B_OPERATOR")"
done
fleet_crash agent-chat
fleet_spawn agent-chat "$PROGRAM" agent --settings "$FLEET_DIRECTORY/agent-chat-1.yaml"
fleet_wait_ready "$AGENT_ENGINE_OPERATOR"
expect "and a restarted agent serves requests with it" '{"text":"x-0 "}' \
    "$(curl -sS --retry 5 --retry-all-errors --retry-delay 1 --fail "http://$ENTRY_A/v1/services/chat/generate" -H "Authorization: Bearer token" -d '{"prompt":"x","tokens":1}')"
curl -sS "http://$PLATFORM/faults" -d '{"down":false}' >/dev/null
change 14000 >/dev/null
expect "after the outage a change is in force within 5 s" in-force "$(wait_in_force "$(version_of_desk)")"
finish_expectations
