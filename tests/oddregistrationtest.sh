#!/usr/bin/env bash
# Tests with real processes that gateways serve and follow the store beside entries that cannot be read: one runs when an
# entry arrives, which it gets from a watch, and one starts while the entry is there, which it gets from a list.
set -euo pipefail
cd "$(dirname "$0")/.."
source tests/support/expect.sh
BUILD_DIRECTORY="${BUILD_DIRECTORY:-build}"
PROGRAM="${PROGRAM:-$BUILD_DIRECTORY/cardamomhill}"
STANDINS="$BUILD_DIRECTORY/tests/standins"
PORT_BASE=29300
STORE="127.0.0.1:$PORT_BASE"
GOOD="127.0.0.1:$((PORT_BASE + 1))"
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
}
gateway() { # gateway NAME PORT
    cat >"$DIRECTORY/$1.yaml" <<YAML
host: $1
failure_domain: d1
listen: 127.0.0.1:$2
operator_listen: 127.0.0.1:$(($2 + 1))
peer_listen: 127.0.0.1:$(($2 + 2))
platform: $STORE
drain_grace_ms: 300
YAML
    start "$1" "$PROGRAM" gateway --settings "$DIRECTORY/$1.yaml"
}
wait_for() { # wait_for COMMAND...
    for _ in $(seq 80); do
        if "$@" >/dev/null 2>&1; then return 0; fi
        sleep 0.05
    done
    return 1
}
ready() { [ "$(curl -s -o /dev/null -w '%{http_code}' "http://127.0.0.1:$(($1 + 1))/readyz")" = 200 ]; }
metric() { # metric PORT NAME: 0 while it is not counted
    local value
    value="$(curl -sS "http://127.0.0.1:$(($1 + 1))/metrics" | sed -n "s/^cardamomhill_$2 //p")"
    echo "${value:-0}"
}
put() { # put KIND NAME SPEC
    curl -sS -o /dev/null -X PUT "http://$STORE/objects/$1/$2" -d "{\"metadata\":{\"name\":\"$2\"},\"spec\":$3}"
}
raw() { curl -sS -o /dev/null -X PUT "http://$STORE/$1/$2" -H 'Expect:' --data-binary @-; } # raw raw|raw-item KIND/NAME
remove() { curl -sS -o /dev/null -X DELETE "http://$STORE/objects/servers/$1"; }
registration() { # registration ADDRESS SLOTS EXTRA
    echo "{\"service\":\"shop\",\"address\":\"$1\",\"zone\":\"d1\",\"version\":\"v1\",\"slots\":$2,\"state\":\"ready\",\"cold-remaining-ms\":0,\"born\":1,\"sequence\":1$3}"
}
configuration() { # configuration VERSION
    echo "{\"version\":$1,\"routes\":[{\"name\":\"r\",\"hostname\":\"shop.example\",\"path-prefix\":\"/safe/\",\"route-type\":\"idempotent\",\"timeout-ms\":2000,\"target-latency-ms\":200,\"priority\":1,\"service\":\"shop\",\"max-attempts\":2,\"public\":false}],\"services\":[{\"name\":\"shop\",\"health-path\":\"/health\",\"max-connections\":50,\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":100000,\"header-timeout-ms\":1000,\"idle-timeout-ms\":15000},\"tenants\":[{\"name\":\"workshop\",\"api-keys\":[\"k1\"]}]}"
}
CALLS=0
served() { # served PORT: how many of four calls are answered
    local answered=0
    for _ in 1 2 3 4; do
        CALLS=$((CALLS + 1))
        [ "$(curl -sS -m 3 -o /dev/null -w '%{http_code}' "http://127.0.0.1:$1/safe/ok" -H "Host: shop.example" \
            -H "Authorization: Token k1" -H "Cardamomhill-Request-Id: c$1-$CALLS" \
            -H "Cardamomhill-Request-Deadline: 3000" 2>/dev/null)" = 200 ] && answered=$((answered + 1))
    done
    echo "$answered"
}
present() { grep -q "event=server-present server=$2 " "$DIRECTORY/$1.log"; }
gone() { grep -q "event=server-gone server=$2 " "$DIRECTORY/$1.log"; }
yes_or_no() { if "$@" >/dev/null 2>&1; then echo yes; else echo no; fi; }

odd_entry() { # odd_entry NAME: its bytes
    case "$1" in
        deep) echo "{\"service\":$(head -c 100000 /dev/zero | tr '\0' '[')$(head -c 100000 /dev/zero | tr '\0' ']')}" ;;
        huge-number) registration "$GOOD" 1e999 "" ;;
        bytes) printf '{"service":"\xff\xfe"}' ;;
        surrogate) echo '{"service":"\ud800"}' ;;
        cut-in-string) echo '{"service":"sh' ;;
        cut-in-object) echo '{"service":"shop","slots":4' ;;
        cut-in-array) echo '{"service":"shop","slots":[4' ;;
        closed-twice) echo '{"service":"shop"}}' ;;
        no-json) printf '\xff\x00\x01' ;;
        port) registration 127.0.0.1:70000 4 "" ;;
        negative-slots) registration "$GOOD" -4 "" ;;
        many-slots) registration "$GOOD" 18446744073709551616 "" ;;
        fraction-of-a-slot) registration "$GOOD" 0.5 "" ;;
        odd-group) registration "$GOOD" 4 ",\"group\":{\"name\":\"g\",\"epoch\":-1,\"rank\":7,\"state\":\"open\"},\"size\":2" ;;
        group-of-another-type) registration "$GOOD" 4 ",\"group\":7" ;;
    esac
}

RUNNING=$((PORT_BASE + 10))
start store "$STANDINS/standin-store" "$STORE"
start good "$STANDINS/standin-direct" "$GOOD" good-1
wait_for curl -s "http://$STORE/objects/servers"
wait_for curl -s "http://$GOOD/abandoned" || { echo "the stand-in server does not run"; exit 1; }
put config main "$(configuration 1)"
put servers good-1 "$(registration "$GOOD" 4 "")"
gateway running "$RUNNING"
expect "a gateway is ready" yes "$(yes_or_no wait_for ready "$RUNNING")"

number=0
ENTRIES="${ENTRIES:-deep huge-number bytes surrogate cut-in-string cut-in-object cut-in-array closed-twice no-json port
    negative-slots many-slots fraction-of-a-slot odd-group group-of-another-type}"
for entry in $ENTRIES; do
    number=$((number + 1))
    odd_entry "$entry" | raw raw "servers/odd-$entry"
    sleep 1.3
    expect "a running gateway serves when an entry arrives ($entry)" 4 "$(served "$RUNNING")"
    put servers "after-$number" "$(registration "$GOOD" 4 "")"
    expect "and follows the servers that register later ($entry)" yes "$(yes_or_no wait_for present running "after-$number")"
    expect "the entry names no server ($entry)" no "$(yes_or_no present running "odd-$entry")"
    new=$((RUNNING + 10 * number))
    gateway "new-$entry" "$new"
    expect "a gateway that starts beside the entry gets ready ($entry)" yes "$(yes_or_no wait_for ready "$new")"
    expect "and serves ($entry)" 4 "$(served "$new")"
    put servers "later-$number" "$(registration "$GOOD" 4 "")"
    expect "and follows the servers that register later, too ($entry)" yes \
        "$(yes_or_no wait_for present "new-$entry" "later-$number")"
    expect "the entry names no server there either ($entry)" no "$(yes_or_no present "new-$entry" "odd-$entry")"
    kill "${PIDS[-1]}" 2>/dev/null || true
    wait "${PIDS[-1]}" 2>/dev/null || true
    remove "odd-$entry"
    # They have the address of good-1, which refuses calls to them.
    remove "after-$number"
    remove "later-$number"
done
finish_expectations
