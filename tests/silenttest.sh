#!/usr/bin/env bash
# Connections between an entry process and an agent become unresponsive for good while new connections work. Guards
# against streams that hang or are truncated, and against a second execution of a request sent on such a connection.
set -euo pipefail
cd "$(dirname "$0")/.."
PORT_BASE=28400
STEP_TIME_MS=10
source scripts/fleet.sh
source tests/support/expect.sh
source tests/support/payments.sh

fleet_start
fleet_spawn proxy-chat "$BUILD_DIRECTORY/tests/standins/standin-proxy" "127.0.0.1:$((PORT_BASE + 30))" "127.0.0.1:$AGENT_ENGINE_PORT"
fleet_spawn proxy-orders "$BUILD_DIRECTORY/tests/standins/standin-proxy" "127.0.0.1:$((PORT_BASE + 31))" "127.0.0.1:$AGENT_PLAIN_PORT"
AGENT_ENGINE_PORT=$((PORT_BASE + 30))
AGENT_PLAIN_PORT=$((PORT_BASE + 31))
fleet_configure token >/dev/null
fleet_create_slots orders

stream() { # PROMPT FILE
    curl -sS --max-time 60 "http://$ENTRY_A/v1/services/chat/generate" "${auth[@]}" \
        -d "{\"prompt\":\"$1\",\"tokens\":600,\"stream\":true}" >"$2"
}
expected_stream() { for i in $(seq 0 599); do printf 'data: %s-%d \n\n' "$1" "$i"; done; }

for round in 1 2; do
    stream "s$round" "$FLEET_DIRECTORY/stream.txt" &
    stream_pid=$!
    sleep 1
    kill -USR1 "$PID_proxy_chat"
    if [ "$round" -eq 2 ]; then
        # The new connection becomes unresponsive as well.
        sleep 3
        kill -USR1 "$PID_proxy_chat"
    fi
    wait "$stream_pid"
    expect "a stream whose connection becomes unresponsive $round time(s) arrives whole and in order" \
        "$(expected_stream "s$round" | md5sum)" "$(md5sum <"$FLEET_DIRECTORY/stream.txt")"
done
resumed="$(curl -sS "http://$AGENT_ENGINE_OPERATOR/metrics" | sed -n 's/^cardamomhill_attempts_resumed_total //p')"
expect "the streams were resumed, not repeated" 3 "$resumed"

key="$(new_key)"
expect "a payment runs" 200 "$(pay "$ENTRY_A" "$key" 1 | tail -c 3)"
kill -USR1 "$PID_proxy_orders"
key="$(new_key)"
expect "a payment that is sent over an unresponsive connection gets its answer" 200 "$(pay "$ENTRY_A" "$key" 1 | tail -c 3)"
expect "and runs once" 1 "$(executions "$key")"
curl -sS "http://$PLAIN/faults" -d '{"delay_ms":1000}' >/dev/null
key="$(new_key)"
pay "$ENTRY_A" "$key" 1 >"$FLEET_DIRECTORY/silent.txt" &
pay_pid=$!
sleep 0.5
kill -USR1 "$PID_proxy_orders"
wait "$pay_pid"
expect "a payment whose connection becomes unresponsive while it runs gets its answer" 200 "$(tail -c 3 "$FLEET_DIRECTORY/silent.txt")"
expect "and runs once" 1 "$(executions "$key")"
finish_expectations
