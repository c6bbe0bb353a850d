#!/usr/bin/env bash
# Non-idempotent requests to real processes: retries, concurrent copies, a killed entry process, a killed agent, a paused
# agent, an engine that loses its answer, and an outage of the platform. Guards against a second execution and against a
# wrong "not run".
set -euo pipefail
cd "$(dirname "$0")/.."
PORT_BASE=28300
STEP_TIME_MS=5
source scripts/fleet.sh
source tests/support/expect.sh
source tests/support/payments.sh

fleet_start
fleet_configure token >/dev/null
fleet_create_slots orders

key="$(new_key)"
expect "a payment runs" '{"execution":1} 200' "$(pay "$ENTRY_A" "$key" 10)"
expect "its retry through another entry process gets the recorded answer" \
    '{"execution":1} 200' "$(pay "$ENTRY_B" "$key" 10)"
expect "another request with the same key is refused" 422 "$(pay "$ENTRY_A" "$key" 11 | tail -c 3)"
expect "a payment without key is refused before it is sent" not-sent \
    "$(outcome "$(curl -sS "http://$ENTRY_A/v1/services/orders/payments" "${auth[@]}" -d 1)")"
expect "a key that is no UUIDv7 is refused" 400 "$(pay "$ENTRY_A" "no-uuid" 1 | tail -c 3)"

key="$(new_key)"
for i in 1 2 3 4 5 6 7 8; do
    entry="$ENTRY_A"
    if [ $((i % 2)) -eq 0 ]; then entry="$ENTRY_B"; fi
    pay "$entry" "$key" race >"$FLEET_DIRECTORY/race.$i" &
    race_pids[i]=$!
done
wait "${race_pids[@]}"
expect "eight concurrent copies get the same answer" 1 "$(cat "$FLEET_DIRECTORY"/race.* | sed 's/200/200\n/g' | sort -u | grep -c .)"
expect "eight concurrent copies run once" 1 "$(executions "$key")"

curl -sS "http://$PLAIN/faults" -d '{"lose_answers":1}' >/dev/null
key="$(new_key)"
expect "an answer that the engine lost is unknown" unknown "$(outcome "$(pay "$ENTRY_A" "$key" 1)")"
expect "its retry is unknown too" unknown "$(outcome "$(pay "$ENTRY_B" "$key" 1)")"
expect "and does not run again" 1 "$(executions "$key")"

curl -sS "http://$PLATFORM/faults" -d '{"down":true}' >/dev/null
key="$(new_key)"
expect "a payment runs while the platform is down" 200 "$(pay "$ENTRY_A" "$key" 1 | tail -c 3)"
curl -sS "http://$PLATFORM/faults" -d '{"down":false}' >/dev/null

curl -sS "http://$PLAIN/faults" -d '{"delay_ms":1500}' >/dev/null
key="$(new_key)"
pay "$ENTRY_A" "$key" 1 >/dev/null 2>&1 &
lost_pid=$!
sleep 0.5
fleet_crash entry-a
wait "$lost_pid" || true
expect "after the entry process was killed, a retry through another one gets the answer" \
    200 "$(pay "$ENTRY_B" "$key" 1 | tail -c 3)"
expect "and the payment ran once" 1 "$(executions "$key")"
fleet_restart_entry_a

key="$(new_key)"
pay "$ENTRY_B" "$key" 1 >"$FLEET_DIRECTORY/killed.txt" &
killed_pid=$!
sleep 0.5
fleet_crash agent-orders
wait "$killed_pid"
expect "a payment whose agent was killed is unknown" unknown "$(outcome "$(cat "$FLEET_DIRECTORY/killed.txt")")"
curl -sS "http://$PLAIN/faults" -d '{}' >/dev/null
fleet_restart_agent_orders
expect "its retry at the restarted agent is unknown" unknown "$(outcome "$(pay_until_definite "$ENTRY_B" "$key" 1)")"
expect "and does not run again" 1 "$(executions "$key")"
fleet_wait_floor
key="$(new_key)"
expect "a new payment runs at the restarted agent" 200 "$(pay "$ENTRY_B" "$key" 1 | tail -c 3)"

key="$(new_key)"
kill -STOP "$PID_agent_orders"
pay "$ENTRY_B" "$key" 1 >"$FLEET_DIRECTORY/paused.txt" &
paused_pid=$!
sleep 4
kill -CONT "$PID_agent_orders"
wait "$paused_pid"
expect "a payment sent to a paused agent is answered after the pause" 200 "$(tail -c 3 "$FLEET_DIRECTORY/paused.txt")"
expect "and runs once" 1 "$(executions "$key")"
finish_expectations
