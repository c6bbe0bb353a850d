#!/usr/bin/env bash
# Sets up everything and shows requests from end to end on loopback: a stand-in platform, a stand-in model engine and
# plain service, two agents and two entry processes, each a process of its own.
set -euo pipefail
cd "$(dirname "$0")/.."

scripts/install-packages.sh
scripts/build.sh build >/dev/null
source scripts/fleet.sh
fleet_start

token="demo-token"
say() { printf '\n== %s\n' "$1"; }

say "operators create a profile, two services, an organisation and two backend servers"
fleet_configure "$token"

say "a whole answer of a model (POST /v1/services/chat/generate)"
curl -sS -i "http://$ENTRY_A/v1/services/chat/generate" -H "Authorization: Bearer $token" \
    -d '{"prompt":"layout","tokens":8}'
echo

say "a streamed answer through the other entry process"
curl -sS -N "http://$ENTRY_B/v1/services/chat/generate" -H "Authorization: Bearer $token" \
    -d '{"prompt":"draft","tokens":5,"stream":true}'

say "an idempotent call of a plain service"
curl -sS "http://$ENTRY_A/v1/services/orders/stock/paper" -H "Authorization: Bearer $token"
echo

say "a payment and its repetition through the other entry process: one execution, one answer"
fleet_create_slots orders
key="$(curl -sS "http://$ENTRY_A/v1/keys" -H "Authorization: Bearer $token" -d '{"service":"orders"}' |
    sed -n 's/.*"idempotency_key":"\([^"]*\)".*/\1/p')"
for entry in "$ENTRY_A" "$ENTRY_B"; do
    curl -sS -i "http://$entry/v1/services/orders/payments" -H "Authorization: Bearer $token" \
        -H "Idempotency-Key: $key" -d '{"amount":10}' | grep -iE '^HTTP|replayed|execution'
    echo
done

say "a wrong token is refused"
curl -sS "http://$ENTRY_A/v1/services/chat/generate" -H "Authorization: Bearer wrong" -d '{}'
echo

say "state of an entry process"
"$PROGRAM" status --operator-port "$ENTRY_A_OPERATOR"

say "log lines of the requests (entry-a)"
grep -E 'event=(routed|request-ended)' "$FLEET_DIRECTORY/entry-a.log"

say "graceful shutdown"
fleet_stop
echo "all processes have ended"
