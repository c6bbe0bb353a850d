#!/usr/bin/env bash
# Requests through entry processes and agents to engines, all real processes: whole and streamed answers, refused
# requests, the operator port and graceful shutdown.
set -euo pipefail
cd "$(dirname "$0")/.."
PORT_BASE=28200
STEP_TIME_MS=5
source scripts/fleet.sh
source tests/support/expect.sh

fleet_start
fleet_configure token >/dev/null
auth=(-H "Authorization: Bearer token")

expect "a whole answer arrives whole" \
    '{"text":"a-0 a-1 a-2 "}' \
    "$(curl -sS "http://$ENTRY_A/v1/services/chat/generate" "${auth[@]}" -d '{"prompt":"a","tokens":3}')"
expect "a stream arrives in order and complete" \
    "data: b-0 data: b-1 data: b-2 " \
    "$(curl -sS "http://$ENTRY_B/v1/services/chat/generate" "${auth[@]}" \
        -d '{"prompt":"b","tokens":3,"stream":true}' | grep . | tr -d '\n')"
expect "an idempotent call of a plain service is answered" \
    '{"execution":1}' \
    "$(curl -sS "http://$ENTRY_A/v1/services/orders/stock/paper" "${auth[@]}")"
expect "a wrong token is refused with 401" \
    401 "$(curl -sS -o /dev/null -w '%{http_code}' "http://$ENTRY_A/v1/services/chat/generate" -H 'Authorization: Bearer x' -d '{}')"
expect "an unknown service is refused with 404" \
    404 "$(curl -sS -o /dev/null -w '%{http_code}' "http://$ENTRY_A/v1/services/none/x" "${auth[@]}")"
expect "a body over 1 MiB is refused with 413" \
    413 "$(head -c 1100000 /dev/zero | curl -sS -o /dev/null -w '%{http_code}' -H 'Expect:' "http://$ENTRY_A/v1/services/chat/generate" "${auth[@]}" --data-binary @-)"
expect "a malformed request is refused with 400" \
    "HTTP/1.1 400" "$(printf 'no http\r\n\r\n' | timeout 5 bash -c 'exec 3<>/dev/tcp/'"${ENTRY_A/://}"'; cat >&3; head -c 12 <&3')"
expect "the operator port serves metrics" \
    1 "$(curl -sS "http://$ENTRY_A_OPERATOR/metrics" | grep -c '^cardamomhill_requests_total{outcome="completed"}')"
expect "a conflicting creation is refused with status 1" \
    1 "$("$PROGRAM" profile create desk --platform "$PLATFORM" --set class=batch >/dev/null 2>&1; echo $?)"
expect "a configuration object with mistakes is refused with status 3" \
    3 "$("$PROGRAM" profile create other --platform "$PLATFORM" --set class=none --set x=1 >/dev/null 2>&1; echo $?)"

curl -sS "http://$ENTRY_A/v1/services/chat/generate" "${auth[@]}" \
    -d '{"prompt":"c","tokens":200,"stream":true}' >"$FLEET_DIRECTORY/stream.txt" &
stream_pid=$!
sleep 0.2
fleet_stop
wait "$stream_pid"
expect "a graceful shutdown of entry and agent cuts off no stream" 200 "$(grep -c '^data: c-' "$FLEET_DIRECTORY/stream.txt")"
finish_expectations
