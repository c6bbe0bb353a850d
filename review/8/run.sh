#!/usr/bin/env bash
# One part of long prompts crashes servers. See claim.txt. PARTS is the number of shared parts of a prompt, 60 unless set, and
# POISON_ID the id of the part in question.
source "$(dirname "$0")/../common-2.sh"
PARTS="${PARTS:-60}"
POISON_ID="${POISON_ID:-bad0bad0}"
STABLE_WINDOW_S=4
DOWN_S=2
IDS=(one two three four)

start_store
POISON=()
[ "$TROUBLE" = 0 ] || POISON=(--poison "$POISON_ID")
# supervise ID: runs a server, and starts it again some seconds after it has crashed, as a new process of the same id.
supervise() {
    local id="$1" port="PORT_$1" child
    trap 'kill "$child" 2>/dev/null; exit 0' TERM
    while true; do
        perl "$SERVER_PROGRAM" --port "${!port}" --id "$id" --record "$RECORD" "${POISON[@]}" &
        child=$!
        register "$id" "$(date +%s%3N)"
        wait "$child" || true
        sleep "$DOWN_S"
    done
}
for id in "${IDS[@]}"; do
    free_port "PORT_$id"
    supervise "$id" >>"$WORK/server_$id.log" 2>&1 &
    PIDS+=($!)
done
for id in "${IDS[@]}"; do
    port="PORT_$id"
    wait_for 5 listens "${!port}" || cannot_run "server $id does not listen"
done
configure 100000 "$(route draft streaming 2 8000 ',"stream-resume":true,"gap-target-ms":120,"session-affinity":true')"
start_gateway
wait_for_servers "${IDS[@]}"
caller() { perl "$ROOT/review/standins-2/caller.pl" --gate "$GATE_PORT" --record "$RECORD" --deadline 8000 --path "/draft/x?events=20&bytes=60&interval=10" "$@"; }
# prompt LAST_SHARED OWN: the parts of a conversation of so many turns. All prompts share all parts but the last two.
prompt() {
    local text="" number
    for number in $(seq $((PARTS - 1))); do text+="$(printf '%08x' $((0x5c1e0000 + number))):20,"; done
    echo "Cardamomhill-Prompt-Prefix: $text$1:20,$2:20"
}
note "shared parts of a prompt: $PARTS"
CALLERS=()
for number in 1 2 3; do
    caller --name "sound$number" --pause 150 --until 45 --header "$(prompt 5c1effff "50000$number")" &
    CALLERS+=($!)
done
sleep 3
# A request with the part in question each 0.7 s, no two alike, each from a caller of its own that does not come back.
for number in $(seq 55); do
    caller --name "poison$number" --header "$(prompt "$POISON_ID" "$(printf '600%05x' "$number")")" &
    CALLERS+=($!)
    sleep 0.7
done
wait "${CALLERS[@]}"

crashes="$(grep -c ' crash ' "$RECORD" || true)"
fifth="$(awk '$2 == "crash" { if (++n == 5) print $1 }' "$RECORD")"
late=0
if [ -n "$fifth" ]; then
    late="$(awk -v from="$fifth" -v window="$STABLE_WINDOW_S" '$2 == "run" && $4 ~ /^poison/ && $1 > from + window' "$RECORD" | wc -l)"
fi
# Sound requests that are sent later than two windows after the fifth crash, and how many of them began at the first attempt.
before="$(awk -v to="$(awk '$2 == "sent" && $3 ~ /^poison/ { print $1; exit }' "$RECORD")" '$2 == "sent" && $3 ~ /^sound/ && $1 < to { n++ } $2 == "answered" && $3 ~ /^sound/ && $4 == 200 && $1 < to { m++ } END { print m + 0 " of " n + 0 }' "$RECORD")"
note "crashes: $crashes; requests with the part that reached servers later than $STABLE_WINDOW_S s after the fifth: $late; sound ones answered before: $before"
note "gateway: blocked $(grep -ac 'event=prompt-blocked' "$WORK/gateway.log" || true) parts, refused $(grep -ac 'event=refused.*prompt-blocked' "$WORK/gateway.log" || true) requests"
note "sound requests, by status: $(awk '$3 ~ /^sound/ && ($2 == "answered" || $2 == "unanswered") { n[$2 " " $4]++ } END { for (k in n) printf "%s: %d; ", k, n[k] }' "$RECORD")"
if [ "$TROUBLE" != 0 ] && [ "$crashes" -lt 3 ]; then cannot_run "only $crashes crashes"; fi
if [ "$late" -gt 3 ]; then
    broken "BUDGET: $late requests with the part reached servers later than $STABLE_WINDOW_S s after the fifth of $crashes crashes"
fi
held "$late requests with the part reached servers later than $STABLE_WINDOW_S s after the fifth crash, $crashes crashes"
