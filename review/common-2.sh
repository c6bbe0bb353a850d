# Functions of the scripts of the second review; sourced by them. A small deployment on loopback: the stand-in store of this
# project, stand-in backend servers and one gateway of the deploy file's build.
set -euo pipefail
ROOT="$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)"
CASE="$(cd "$(dirname "$0")" && pwd)"
PROGRAM="${PROGRAM:-$ROOT/target/cardamomhill}"
STORE_PROGRAM="${STORE_PROGRAM:-$ROOT/target/review-2/tests/standins/standin-store}"
SERVER_PROGRAM="$ROOT/review/standins-2/server.pl"
TROUBLE="${TROUBLE:-1}"
RECORD="$CASE/record.txt"
WORK="$(mktemp -d)"
PIDS=()
: >"$RECORD"

stop_all() {
    local pid
    for pid in "${PIDS[@]}"; do kill "$pid" 2>/dev/null || true; done
    sleep 0.2
    for pid in "${PIDS[@]}"; do kill -9 "$pid" 2>/dev/null || true; done
    wait 2>/dev/null || true
    rm -rf "$WORK"
}
trap stop_all EXIT
# cannot_run TEXT: ends the script because the case could not be run.
cannot_run() {
    echo "not run: $*" | tee -a "$RECORD"
    exit 2
}
[ -x "$PROGRAM" ] || cannot_run "no $PROGRAM; build it as the deploy file says"
[ -x "$STORE_PROGRAM" ] || cannot_run "no stand-in store; run review/build-2.sh"

# free_port NAME: sets the variable to a port on which nothing listens.
free_port() {
    local port
    for _ in $(seq 100); do
        port=$((20000 + RANDOM % 12000))
        if ! grep -qi ":$(printf '%04X' "$port") " /proc/net/tcp /proc/net/udp; then
            printf -v "$1" '%s' "$port"
            return 0
        fi
    done
    cannot_run "no free port"
}
# start NAME COMMAND...: starts a process; its id is in PID_NAME.
start() {
    local name="$1"
    shift
    "$@" >>"$WORK/$name.log" 2>&1 &
    PIDS+=($!)
    printf -v "PID_$name" '%s' "$!"
}
# wait_for SECONDS COMMAND...
wait_for() {
    local tries=$(($1 * 20))
    shift
    for _ in $(seq "$tries"); do
        if "$@" >/dev/null 2>&1; then return 0; fi
        sleep 0.05
    done
    return 1
}
# put KIND NAME SPEC: creates an object in the store, or replaces it.
put() {
    local object="{\"metadata\":{\"name\":\"$2\"},\"spec\":$3}" status
    status="$(curl -sS -o /dev/null -w '%{http_code}' -X POST "http://$STORE/objects/$1" -d "$object")"
    if [ "$status" = 409 ]; then
        curl -sS -o /dev/null -X PUT "http://$STORE/objects/$1/$2" -d "$object"
    fi
}
start_store() {
    free_port STORE_PORT
    STORE="127.0.0.1:$STORE_PORT"
    start store "$STORE_PROGRAM" "$STORE"
    wait_for 5 curl -s "http://$STORE/objects/servers" || cannot_run "the stand-in store does not answer"
}
service() { echo "{\"name\":\"$1\",\"health-path\":\"/health\",\"max-connections\":500,\"protocol\":\"h1\",\"tls\":false}"; }
# route NAME TYPE ATTEMPTS TIMEOUT [FURTHER MEMBERS [SERVICE]]
route() {
    echo "{\"name\":\"$1\",\"hostname\":\"shop.example\",\"path-prefix\":\"/$1/\",\"route-type\":\"$2\",\"timeout-ms\":$4,\"target-latency-ms\":400,\"priority\":1,\"service\":\"${6:-shop}\",\"max-attempts\":$3,\"public\":false${5:-}}"
}
# configure BODY_BYTES ROUTE...: writes the next version of the configuration.
VERSION=0
configure() {
    local bytes="$1" routes
    shift
    routes="$(IFS=,; echo "$*")"
    VERSION=$((VERSION + 1))
    put config main "{\"version\":$VERSION,\"routes\":[$routes],\"services\":[$(service shop),$(service writer)],\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":$bytes,\"header-timeout-ms\":10000,\"idle-timeout-ms\":15000},\"tenants\":[{\"name\":\"workshop\",\"api-keys\":[\"key1\"]}]}"
}
# server ID [OPTION...]: starts a stand-in backend server; its port is in PORT_ID.
server() {
    local id="$1"
    shift
    free_port "PORT_$id"
    run_server "$id" "$@"
}
# run_server ID [OPTION...]: starts it at the port that it has.
run_server() {
    local id="$1" port="PORT_$1"
    shift
    start "server_$id" perl "$SERVER_PROGRAM" --port "${!port}" --id "$id" --record "$RECORD" "$@"
    wait_for 5 listens "${!port}" || cannot_run "server $id does not listen"
}
listens() { grep -qi "0100007F:$(printf '%04X' "$1") 00000000:0000 0A" /proc/net/tcp; }
# register ID [BORN [SERVICE [SEQUENCE]]]: writes the registration of a server.
register() {
    local port="PORT_$1"
    put servers "$1" "{\"service\":\"${3:-shop}\",\"address\":\"127.0.0.1:${!port}\",\"zone\":\"nashua-rack\",\"version\":\"v1\",\"slots\":12,\"state\":\"ready\",\"cold-remaining-ms\":0,\"born\":${2:-1700000000000},\"sequence\":${4:-1}}"
}
# heartbeats SERVICE ID...: writes the registrations again every 1.2 s, in the background.
heartbeats() {
    local service="$1"
    shift
    (
        trap 'exit 0' TERM
        for sequence in $(seq 2 100); do
            sleep 1.2 &
            wait $!
            for id in "$@"; do register "$id" 1700000000000 "$service" "$sequence"; done
        done
    ) >/dev/null 2>&1 &
    PIDS+=($!)
}
# start_gateway: with the settings that deploy/gateway.yaml.in gives an entry host of granite-notch-grown.
start_gateway() {
    free_port GATE_PORT
    free_port READY_PORT
    free_port PEER_PORT
    GATE="127.0.0.1:$GATE_PORT"
    cat >"$WORK/gateway.yaml" <<SETTINGS
host: front-nashua-rack-1
failure_domain: nashua-rack
listen: $GATE
operator_listen: 127.0.0.1:$READY_PORT
peer_listen: 127.0.0.1:$PEER_PORT
platform: $STORE
retry_slack: 318
retry_ratio: 0.2
retry_window_s: 10
termination_grace_s: 8
coordinate_groups: true
link_megabits_per_second: 28
cold_overshoot: 1.5
cold_slack: 5
evacuation_limit_ms: 5000
engine_stall_ms: 1500
memory_megabytes: 112
max_descriptors: 2870
SETTINGS
    "$PROGRAM" config check gateway "$WORK/gateway.yaml" >/dev/null || cannot_run "the settings are refused"
    start gateway "$PROGRAM" gateway --settings "$WORK/gateway.yaml"
    wait_for 10 gateway_ready || cannot_run "the gateway does not become ready"
}
gateway_ready() { [ "$(curl -s -o /dev/null -w '%{http_code}' "http://127.0.0.1:$READY_PORT/readyz")" = 200 ]; }
# known_server ID: whether the gateway knows the server.
known_server() { grep -q "event=server-present server=$1 " "$WORK/gateway.log"; }
# wait_for_servers ID...
wait_for_servers() {
    local id
    for id in "$@"; do wait_for 10 known_server "$id" || cannot_run "the gateway does not learn of server $id"; done
}
note() { echo "$(date +%s.%3N) $*" >>"$RECORD"; }
# broken TEXT, held TEXT: the verdict.
broken() {
    note "verdict: broken: $*"
    echo "broken: $*"
    exit 1
}
held() {
    note "verdict: held: $*"
    echo "held: $*"
    exit 0
}
