#!/usr/bin/env bash
# Tests the gateway with real processes: a stand-in store, two stand-in backend servers, one of them faulty, and two
# gateways. Guards against lost, wrong or repeated answers when a server fails or misbehaves, and against stale
# configurations and registrations after the store fails.
set -euo pipefail
cd "$(dirname "$0")/.."
source tests/support/expect.sh
BUILD_DIRECTORY="${BUILD_DIRECTORY:-build}"
PROGRAM="$BUILD_DIRECTORY/cardamomhill"
STANDINS="$BUILD_DIRECTORY/tests/standins"
PORT_BASE=28700
# AddressSanitizer keeps up to 256 MB of freed memory by default, which would disturb the check of a gateway's memory.
export ASAN_OPTIONS=quarantine_size_mb=1
STORE="127.0.0.1:$PORT_BASE"
GOOD="127.0.0.1:$((PORT_BASE + 1))"
BAD="127.0.0.1:$((PORT_BASE + 2))"
GATE_A="127.0.0.1:$((PORT_BASE + 10))"
GATE_B="127.0.0.1:$((PORT_BASE + 20))"
READY_A="127.0.0.1:$((PORT_BASE + 11))"
READY_B="127.0.0.1:$((PORT_BASE + 21))"
DIRECTORY="$(mktemp -d)"
PIDS=()
stop_all() {
    for pid in "${PIDS[@]}"; do kill "$pid" 2>/dev/null || true; done
    wait 2>/dev/null || true
    rm -rf "$DIRECTORY"
}
trap stop_all EXIT

start() { # start NAME COMMAND...
    local name="$1"
    shift
    "$@" >"$DIRECTORY/$name.log" 2>&1 &
    PIDS+=($!)
    printf -v "PID_${name//-/_}" '%s' "$!"
}
gateway() { # gateway NAME PORT
    cat >"$DIRECTORY/$1.yaml" <<EOF
host: $1
failure_domain: d1
listen: 127.0.0.1:$2
operator_listen: 127.0.0.1:$(($2 + 1))
peer_listen: 127.0.0.1:$(($2 + 2))
platform: $STORE
drain_grace_ms: 300
EOF
    start "$1" "$PROGRAM" gateway --settings "$DIRECTORY/$1.yaml"
}
wait_for() { # wait_for COMMAND...
    for _ in $(seq 100); do
        if "$@" >/dev/null 2>&1; then return 0; fi
        sleep 0.05
    done
    echo "timed out: $*"
    return 1
}
ready() { [ "$(curl -s -o /dev/null -w '%{http_code}' "http://$1/readyz")" = 200 ]; }
put() { # put METHOD PATH SPEC NAME
    curl -sS -o /dev/null -X "$1" "http://$STORE/objects/$2" -d "{\"metadata\":{\"name\":\"$4\"},\"spec\":$3}"
}
server() { # server ID ADDRESS STATE METHOD [BORN]
    local path="servers"
    [ "$4" = PUT ] && path="servers/$1"
    put "$4" "$path" "{\"service\":\"shop\",\"address\":\"$2\",\"zone\":\"d1\",\"version\":\"v1\",\"slots\":4,\"state\":\"$3\",\"cold-remaining-ms\":0,\"born\":${5:-1},\"sequence\":1}" "$1"
}
route() { # route PREFIX TYPE ATTEMPTS TIMEOUT EXTRA
    echo "{\"name\":\"r$1\",\"hostname\":\"shop.example\",\"path-prefix\":\"/$1/\",\"route-type\":\"$2\",\"timeout-ms\":$4,\"target-latency-ms\":200,\"priority\":1,\"service\":\"shop\",\"max-attempts\":$3,\"public\":false$5}"
}
configuration() { # configuration VERSION KEYS EXTRA_ROUTES
    echo "{\"version\":$1,\"routes\":[$(route safe idempotent 2 2000 ""),$(route pay non_idempotent 1 1500 ""),$(route draft streaming 2 4000 ",\"stream-resume\":true,\"gap-target-ms\":120")$3],\"services\":[{\"name\":\"shop\",\"health-path\":\"/health\",\"max-connections\":50,\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":100000,\"header-timeout-ms\":1000,\"idle-timeout-ms\":15000},\"tenants\":[{\"name\":\"workshop\",\"api-keys\":[$2]}]}"
}
KEY=k1
echo 0 >"$DIRECTORY/calls"
call() { # call PATH [CURL ARGUMENTS]: the answer's body, then its status
    local path="$1"
    shift
    # In a file, since calls run in subshells, which cannot change variables here.
    echo $(($(cat "$DIRECTORY/calls") + 1)) >"$DIRECTORY/calls"
    curl -sS -m 6 -w '\n%{http_code}' "http://$GATE_A/$path" -H "Host: shop.example" -H "Authorization: Token $KEY" \
        -H "Cardamomhill-Request-Id: $(call_id)" -H "Cardamomhill-Request-Deadline: 5000" "$@" 2>/dev/null || true
}
call_id() { echo "c$(cat "$DIRECTORY/calls")"; }
status() { call "$@" | tail -n 1; }
field() { sed -n "s/.*\"$1\":\"\([^\"]*\)\".*/\1/p" | head -n 1; }
runs() { curl -sS "http://$1/runs/$(call_id)"; }
total_runs() { echo $(($(runs "$GOOD") + $(runs "$BAD"))); }

start store "$STANDINS/standin-store" "$STORE"
start good "$STANDINS/standin-direct" "$GOOD" good-1
start bad "$STANDINS/standin-direct" "$BAD" bad-1
wait_for curl -s "http://$STORE/objects/servers"
gateway gate-a $((PORT_BASE + 10))
gateway gate-b $((PORT_BASE + 20))
wait_for curl -s "http://$READY_A/healthz"
expect "settings are checked without starting anything" 0 \
    "$("$PROGRAM" config check gateway "$DIRECTORY/gate-a.yaml" >/dev/null 2>&1; echo $?)"
expect "an unknown key in the settings is an error" 3 \
    "$(sed 's/^host:/hosst:/' "$DIRECTORY/gate-a.yaml" >"$DIRECTORY/wrong.yaml"; "$PROGRAM" config check gateway "$DIRECTORY/wrong.yaml" >/dev/null 2>&1; echo $?)"
expect "a gateway without configuration is not ready" 1 "$(ready "$READY_A"; echo $?)"
expect "a gateway without configuration refuses with 503" 503 "$(status safe/ok)"
put POST servers '"no registration"' broken-1
put POST servers '{"service":"shop","address":7}' broken-2
server good-1 "$GOOD" ready POST
put POST config "$(configuration 3 '"k1","k2"' "")" main
wait_for ready "$READY_A"
wait_for ready "$READY_B"
sleep 0.5

answer="$(call "safe/ok?x=1" -H "X-Private: 1" -H "Connection: X-Private" -H "Cardamomhill-Tenant: forged" -d 'body')"
expect "a call reaches a server and its answer comes back whole" 200 "$(echo "$answer" | tail -n 1)"
expect "method, target and body are unchanged" "POST /safe/ok?x=1 body" \
    "$(echo "$answer" | field method) $(echo "$answer" | field target) $(echo "$answer" | field body)"
expect "the organisation comes from the key, whatever the caller says" workshop "$(echo "$answer" | field organisation)"
expect "the key is not passed on" "" "$(echo "$answer" | field key)"
expect "headers of one connection are not passed on" "" "$(echo "$answer" | field private)"
expect "only the chosen instance may run the call" good-1 "$(echo "$answer" | field instance)"
deadline="$(echo "$answer" | field deadline)"
expect "the server is given no more than what the route allows" 1 "$((deadline > 1500 && deadline <= 2000))"
expect "an unknown key is refused with 401" 401 "$(KEY=k9 status safe/ok)"
expect "a path without a route is refused with 404" 404 "$(status none/ok)"
expect "another host name is refused with 404" 404 "$(curl -sS -o /dev/null -w '%{http_code}' "http://$GATE_A/safe/ok" -H 'Host: other.example')"
expect "a body over the limit is refused with 413" 413 "$(head -c 200000 /dev/zero | curl -sS -o /dev/null -w '%{http_code}' -H 'Expect:' "http://$GATE_A/safe/ok" -H 'Host: shop.example' --data-binary @-)"
smuggled="$(printf 'POST /safe/ok HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /safe/ok HTTP/1.1\r\n\r\n' | timeout 3 bash -c 'exec 3<>/dev/tcp/'"${GATE_A/://}"'; cat >&3; head -c 12 <&3')"
expect "a request with two framings is refused" "HTTP/1.1 400" "$smuggled"

server bad-1 "$BAD" ready POST
wait_for grep -q "event=server-present server=bad-1" "$DIRECTORY/gate-a.log"
for fault in shed error truncated unsigned silent extra misdirected unpromised; do
    failures=0
    for _ in 1 2 3 4; do
        [ "$(call "safe/$fault" | tail -n 1)" = 200 ] || failures=$((failures + 1))
    done
    expect "an idempotent call is answered although one server answers $fault" 0 "$failures"
done
broken_at_bad="event=attempt-ended .*server=bad-1 end=broken"
high_water() { awk '/^VmHWM/ { print $2 }' "/proc/$PID_gate_a/status"; }
memory_before="$(high_water)"
for fault in unnamed endless-head endless-foreign; do
    server bad-1 "$BAD" ready PUT "$RANDOM" # as a new process, so that recorded failures do not count
    sleep 1.1
    wrong=0
    slow=0
    tried_before="$(grep -c "$broken_at_bad" "$DIRECTORY/gate-a.log" || true)"
    # The choice between two idle servers is random: at least six calls, and as many more as it takes to try both.
    for number in $(seq 40); do
        [ "$number" -le 6 ] || [ "$(grep -c "$broken_at_bad" "$DIRECTORY/gate-a.log" || true)" = "$tried_before" ] || break
        begun="$(date +%s%3N)"
        # Only a genuine answer of a server has this field.
        [ -n "$(call "safe/$fault" | field server)" ] || wrong=$((wrong + 1))
        [ $(($(date +%s%3N) - begun)) -lt 2500 ] || slow=$((slow + 1))
    done
    expect "an idempotent call gets its own answer although one server answers $fault" 0 "$wrong"
    expect "and within the time of its route ($fault)" 0 "$slow"
    expect "that server was tried ($fault)" 1 "$(($(grep -c "$broken_at_bad" "$DIRECTORY/gate-a.log") > tried_before))"
done
for fault in truncated unsigned unpromised; do
    twice=0
    promised=0
    server bad-1 "$BAD" ready PUT "$RANDOM" # as a new process, so that recorded failures do not count
    sleep 1.1
    for _ in 1 2 3 4; do
        code="$(call "pay/$fault" -d x | tail -n 1)"
        [ "$(total_runs)" -le 1 ] || twice=$((twice + 1))
        [ "$code" != 503 ] || [ "$(total_runs)" = 0 ] || promised=$((promised + 1))
    done
    expect "a payment runs at most once when a server answers $fault" 0 "$twice"
    expect "a payment that ran is not reported as not run ($fault)" 0 "$promised"
done
server bad-1 "$BAD" ready PUT 99999
sleep 1.1
expected_events="$(for i in $(seq 10); do echo "data: event-$i"; done)"
broken=0
for number in $(seq 40); do
    [ "$number" -le 6 ] || ! grep -q 'event=routed .*after_event=4' "$DIRECTORY/gate-a.log" || break
    [ "$(call draft/broken-stream -d x | grep '^data')" = "$expected_events" ] || broken=$((broken + 1))
done
expect "a stream that breaks continues at another server without a gap or a repetition" 0 "$broken"
expect "a broken stream was resumed" 1 "$(grep -c 'event=routed .*after_event=4' "$DIRECTORY/gate-a.log" | sed 's/^[1-9][0-9]*$/1/')"
for fault in endless-event trickle; do
    server bad-1 "$BAD" ready PUT "$RANDOM"
    sleep 1.1
    broken=0
    for _ in 1 2 3 4; do
        [ "$(call "draft/$fault" -d x | grep '^data: event')" = "$expected_events" ] || broken=$((broken + 1))
    done
    expect "a stream continues at another server when its server answers $fault" 0 "$broken"
done
expect "the caller gets no byte of an event that did not end" 0 "$(call draft/endless-event -d x | grep -c xxxx)"
expect "the memory of a gateway that was sent endless bytes stays bounded" 1 "$(($(high_water) - memory_before < 32768))"
expect "an answer that ends with its connection arrives whole" "until the end" "$(call safe/endless | head -n 1)"

# The steps of docs/OPERATIONS.md that lead from a request id to the cause of its outcome.
lines_of() { grep -h "request=$1 " "$DIRECTORY/gate-a.log" | sed 's/.* event=//'; }
unknown="$(grep -o 'event=ended request=[^ ]* outcome=unknown' "$DIRECTORY/gate-a.log" | head -n 1 | sed 's/.*request=\([^ ]*\).*/\1/')"
expect "the log leads from an unknown outcome to its cause" "routed attempt-ended retry-decided ended" \
    "$(lines_of "$unknown" | cut -d ' ' -f 1 | tr '\n' ' ' | sed 's/ $//')"
expect "it names server, reason and load of the choice" 1 \
    "$(lines_of "$unknown" | grep -c 'server=bad-1 reason=[a-z-]* load=[0-9.]* candidates=[0-9]* attempt=1 left_ms=[0-9]*')"
expect "and why it was not sent again" 1 "$(lines_of "$unknown" | grep -c 'verdict=not-repeatable')"
expect "a refusal names its reason and the configuration" 1 \
    "$(grep -c 'event=refused request=[^ ]* status=401 problem=token-invalid .* configuration=3 ' "$DIRECTORY/gate-a.log")"

explained="$("$PROGRAM" explain "$unknown" "$DIRECTORY/gate-a.log" "$DIRECTORY/gate-b.log")"
expect "explain says why the outcome is unknown" 1 "$(echo "$explained" | grep -c 'must not run twice, so it was not sent again')"
expect "and which configuration was in force" 1 "$(echo "$explained" | grep -c 'configuration: .* version=3 ')"
expect "an unknown request is an error" 1 "$("$PROGRAM" explain none "$DIRECTORY/gate-a.log" >/dev/null 2>&1; echo $?)"

before="$(curl -sS "http://$GOOD/abandoned")"
server bad-1 "$BAD" draining PUT
wait_for grep -q "event=server-leaving server=bad-1" "$DIRECTORY/gate-a.log"
used=0
for _ in $(seq 8); do
    [ "$(call safe/ok | field server)" = good-1 ] || used=$((used + 1))
done
expect "a leaving server gets no new calls" 0 "$used"
curl -sS -m 0.1 -o /dev/null "http://$GATE_A/draft/stream" -H "Host: shop.example" -H "Authorization: Token k1" \
    -H "Cardamomhill-Request-Id: gone" -d x 2>/dev/null || true
sleep 0.5
expect "the work for a caller that disconnected is cancelled" 1 "$(($(curl -sS "http://$GOOD/abandoned") > before))"

curl -sS -o /dev/null "http://$STORE/faults" -d '{"down":true}'
sleep 0.3
expect "calls are served while the store is unavailable" 200 "$(status safe/ok)"
curl -sS -o /dev/null "http://$STORE/faults" -d '{"down":false,"drop_history":true}'
put PUT config/main "$(configuration 8 '"k2"' ",$(route fresh idempotent 2 2000 "")")" main
wait_for grep -q "event=configuration-in-force version=8" "$DIRECTORY/gate-a.log"
expect "after an outage without history a revoked key is refused" 401 "$(status safe/ok)"
expect "and a new route is served" 200 "$(KEY=k2 status fresh/ok)"
put PUT config/main "$(configuration 5 '"k1"' "")" main
sleep 0.5
expect "an older version is rejected" 401 "$(status safe/ok)"
put PUT config/main "$(configuration 9 '"k1"' "")" main
wait_for grep -q "event=configuration-in-force version=9" "$DIRECTORY/gate-a.log"
server bad-1 "$BAD" ready PUT 7
sleep 1.1
curl -sS -o /dev/null "http://$STORE/faults" -d '{"down":true}'
sleep 0.5
curl -sS -o /dev/null "http://$STORE/faults" -d '{"down":false}'
sleep 3.5 # the grace period of registrations that lapsed in the outage
curl -sS -o /dev/null -X DELETE "http://$STORE/objects/servers/bad-1"
wait_for grep -q 'event=server-gone server=bad-1' "$DIRECTORY/gate-a.log" || true
expect "a server that is unregistered some time after an outage is removed at once" 1 \
    "$(grep -c 'event=server-gone server=bad-1' "$DIRECTORY/gate-a.log")"
curl -sS -o /dev/null "http://$STORE/faults" -d '{"mute":true}'
put PUT config/main "$(configuration 10 '"k1"' "")" main
curl -sS -o /dev/null "http://$STORE/faults" -d '{"mute":false,"forget":true,"cut_watches":true}'
wait_for grep -q "event=configuration-in-force version=10" "$DIRECTORY/gate-a.log" && seen=0 || seen=$?
expect "a change that a broken watch missed is in force afterwards" 0 "$seen"
expect "the metrics count calls by outcome" 1 "$(curl -sS "http://$READY_A/metrics" | grep -c '^cardamomhill_calls_total{outcome="delivered"}')"
for gauge in configuration_version=10 store_in_contact=1 servers_registered=1 retries_left=[0-9]* kept_connections=[0-9]* \
    hosts_heard=2 unreachable_domains=0 calls_in_progress=0 event_pause_seconds_count=[0-9]*; do
    expect "the metrics include ${gauge%%=*}" 1 "$(curl -sS "http://$READY_A/metrics" | grep -cx "cardamomhill_${gauge%%=*} ${gauge#*=}")"
done
expect "gateways receive notices from each other" 1 "$(wait_for grep -q 'cardamomhill_peer_notices_total' <(curl -sS "http://$READY_B/metrics"); curl -sS "http://$READY_B/metrics" | grep -c '^cardamomhill_peer_notices_total')"

relay_status() { curl -sS -o /dev/null -w '%{http_code}' "http://127.0.0.1:$((PORT_BASE + 12))/relay/$1"; }
expect "a gateway of a small failure domain follows the store for itself" 1 "$(curl -sS "http://$READY_A/status" | grep -c '"store_role":"direct"')"
expect "and refuses to relay changes to others" 421 "$(relay_status 'servers?since=0.1')"
expect "an unknown kind is not relayed" 404 "$(relay_status none)"
expect "a revision that is no number is refused" 404 "$(relay_status 'servers?since=0.1x')"
expect "a revision without an era is refused" 404 "$(relay_status 'servers?since=1')"

call draft/stream -d x >"$DIRECTORY/stream.txt" &
stream=$!
sleep 0.1
kill -TERM "$PID_gate_a"
sleep 0.05
expect "a gateway that shuts down is not ready" 1 "$(ready "$READY_A"; echo $?)"
wait "$stream"
expect "a shutdown interrupts no stream" "$expected_events" "$(grep '^data' "$DIRECTORY/stream.txt")"
wait "$PID_gate_a" && code=0 || code=$?
expect "a shutdown ends with success" 0 "$code"
kill -HUP "$PID_gate_b"
sleep 0.1
expect "a gateway survives SIGHUP" 0 "$(ready "$READY_B"; echo $?)"
finish_expectations
