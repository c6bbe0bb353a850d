# Functions that start and stop a small fleet on loopback; sourced by scripts/demo.sh and the process tests.
# Needs a finished build in BUILD_DIRECTORY (default: build).

BUILD_DIRECTORY="${BUILD_DIRECTORY:-build}"
PROGRAM="$BUILD_DIRECTORY/cardamomhill"
PORT_BASE="${PORT_BASE:-28100}"

PLATFORM="127.0.0.1:$((PORT_BASE))"
ENGINE="127.0.0.1:$((PORT_BASE + 1))"
PLAIN="127.0.0.1:$((PORT_BASE + 2))"
ENTRY_A="127.0.0.1:$((PORT_BASE + 10))"
ENTRY_A_OPERATOR="127.0.0.1:$((PORT_BASE + 11))"
ENTRY_B="127.0.0.1:$((PORT_BASE + 13))"
ENTRY_B_OPERATOR="127.0.0.1:$((PORT_BASE + 14))"
AGENT_ENGINE_PORT=$((PORT_BASE + 20))
AGENT_ENGINE_OPERATOR="127.0.0.1:$((PORT_BASE + 21))"
AGENT_PLAIN_PORT=$((PORT_BASE + 22))
AGENT_PLAIN_OPERATOR="127.0.0.1:$((PORT_BASE + 23))"
STEP_TIME_MS="${STEP_TIME_MS:-33}"

FLEET_DIRECTORY=""
FLEET_PIDS=()

# fleet_spawn NAME COMMAND...: starts a process with its log in the fleet's directory.
fleet_spawn() {
    local name="$1"
    shift
    "$@" >"$FLEET_DIRECTORY/$name.out" 2>"$FLEET_DIRECTORY/$name.log" &
    FLEET_PIDS+=("$!")
    eval "PID_${name//-/_}=$!"
}

# fleet_wait_ready ADDRESS: waits until a process says that it is ready.
fleet_wait_ready() {
    for _ in $(seq 200); do
        if curl -sf "http://$1/readyz" >/dev/null 2>&1; then
            return 0
        fi
        sleep 0.1
    done
    echo "not ready: $1" >&2
    return 1
}

# fleet_crash NAME: kills a process and waits for its end. Its ports are in use until then, so that a successor that is
# started sooner may fail to listen.
fleet_crash() {
    local name="PID_${1//-/_}"
    kill -KILL "${!name}"
    wait "${!name}" || true
}

fleet_write_entry_settings() { # NAME LISTEN OPERATOR CONTROL SEED
    cat >"$FLEET_DIRECTORY/$1.yaml" <<YAML
host: $1
failure_domain: zona-centro
listen: $2
operator_listen: $3
control_listen: $4
platform: $PLATFORM
seeds: [$5]
drain_grace_ms: 200
YAML
}

fleet_write_agent_settings() { # NAME PORT OPERATOR ENGINE CONTROL_PORT
    cat >"$FLEET_DIRECTORY/agent-$1.yaml" <<YAML
backend_server: $1
failure_domain: zona-centro
listen: 127.0.0.1:$2
operator_listen: $3
control_listen: 127.0.0.1:$5
engine: $4
platform: $PLATFORM
seeds: [127.0.0.1:$((PORT_BASE + 12)), 127.0.0.1:$((PORT_BASE + 15))]
YAML
}

fleet_write_settings() {
    local control_a="127.0.0.1:$((PORT_BASE + 12))" control_b="127.0.0.1:$((PORT_BASE + 15))"
    fleet_write_entry_settings entry-a "$ENTRY_A" "$ENTRY_A_OPERATOR" "$control_a" "$control_b"
    fleet_write_entry_settings entry-b "$ENTRY_B" "$ENTRY_B_OPERATOR" "$control_b" "$control_a"
    fleet_write_agent_settings chat-1 "$AGENT_ENGINE_PORT" "$AGENT_ENGINE_OPERATOR" "$ENGINE" "$((PORT_BASE + 24))"
    fleet_write_agent_settings orders-1 "$AGENT_PLAIN_PORT" "$AGENT_PLAIN_OPERATOR" "$PLAIN" "$((PORT_BASE + 25))"
}

fleet_start() {
    FLEET_DIRECTORY="$(mktemp -d)"
    trap fleet_kill EXIT
    fleet_write_settings
    fleet_spawn platform "$BUILD_DIRECTORY/tests/standins/standin-platform" "$PLATFORM"
    fleet_spawn engine "$BUILD_DIRECTORY/tests/standins/standin-backend" "$ENGINE" "$STEP_TIME_MS"
    fleet_spawn plain "$BUILD_DIRECTORY/tests/standins/standin-backend" "$PLAIN" "$STEP_TIME_MS"
    fleet_spawn agent-chat "$PROGRAM" agent --settings "$FLEET_DIRECTORY/agent-chat-1.yaml"
    fleet_spawn agent-orders "$PROGRAM" agent --settings "$FLEET_DIRECTORY/agent-orders-1.yaml"
    fleet_spawn entry-a "$PROGRAM" entry --settings "$FLEET_DIRECTORY/entry-a.yaml"
    fleet_spawn entry-b "$PROGRAM" entry --settings "$FLEET_DIRECTORY/entry-b.yaml"
    for _ in $(seq 100); do
        if curl -sf "http://$PLATFORM/objects" >/dev/null 2>&1; then
            return 0
        fi
        sleep 0.1
    done
    echo "the platform does not answer" >&2
    return 1
}

# fleet_wait_all_ready: a process is ready once it has a configuration, so this follows fleet_configure.
fleet_wait_all_ready() {
    local operator
    for operator in "$ENTRY_A_OPERATOR" "$ENTRY_B_OPERATOR" "$AGENT_ENGINE_OPERATOR" "$AGENT_PLAIN_OPERATOR"; do
        fleet_wait_ready "$operator"
    done
}

# fleet_configure TOKEN: creates the configuration that the demonstration and the tests use.
fleet_configure() {
    local hash
    hash="$(printf '%s' "$1" | sha256sum | cut -d' ' -f1)"
    "$PROGRAM" profile create desk --platform "$PLATFORM" --set class=interactive --set timeout_ms=20000
    "$PROGRAM" service create chat --platform "$PLATFORM" --set kind=model --set profile=desk
    "$PROGRAM" service create orders --platform "$PLATFORM" --set kind=plain --set profile=desk \
        --set 'idempotent_calls=["GET /stock"]'
    "$PROGRAM" backendserver create chat-1 --platform "$PLATFORM" --set service=chat \
        --set failure_domain=zona-centro --set agent_address=127.0.0.1 \
        --set agent_port="$AGENT_ENGINE_PORT" --set capacity=64
    "$PROGRAM" backendserver create orders-1 --platform "$PLATFORM" --set service=orders \
        --set failure_domain=zona-centro --set agent_address=127.0.0.1 \
        --set agent_port="$AGENT_PLAIN_PORT" --set capacity=64
    "$PROGRAM" organisation create tambor --platform "$PLATFORM" --set "token_sha256=[\"$hash\"]"
    fleet_wait_all_ready
    fleet_wait_version "$("$PROGRAM" organisation list --platform "$PLATFORM" | sed -n 's/^tambor version \([0-9]*\).*/\1/p')"
}

# fleet_wait_version VERSION: waits until both entry processes have a configuration version in force.
fleet_wait_version() {
    local operator
    for operator in "$ENTRY_A_OPERATOR" "$ENTRY_B_OPERATOR"; do
        for _ in $(seq 100); do
            if "$PROGRAM" status --operator-port "$operator" | grep -q "\"configuration_version\":$1,"; then
                continue 2
            fi
            sleep 0.1
        done
        echo "version $1 is not in force at $operator" >&2
        return 1
    done
}

# fleet_wait_floor: waits until keys that are issued now are above the floor of an owner that has just started
# (1 s accepted ahead and 1 s clock difference, see docs/execution.md).
fleet_wait_floor() {
    sleep 2.2
}

# fleet_wait_slots OPERATOR COUNT: waits until the agent at an operator port serves that many slots.
fleet_wait_slots() {
    for _ in $(seq 100); do
        if curl -sS "http://$1/metrics" | grep -q "^cardamomhill_slots_serving $2\$"; then
            return 0
        fi
        sleep 0.1
    done
    echo "the agent at $1 does not serve $2 slots" >&2
    return 1
}

# fleet_create_slots SERVICE: gives all slots of a service to orders-1.
fleet_create_slots() {
    "$PROGRAM" slots create "$1" --platform "$PLATFORM"
    fleet_wait_slots "$AGENT_PLAIN_OPERATOR" 256
    fleet_wait_floor
}

fleet_restart_entry_a() {
    fleet_spawn entry-a "$PROGRAM" entry --settings "$FLEET_DIRECTORY/entry-a.yaml"
    fleet_wait_ready "$ENTRY_A_OPERATOR"
}

fleet_restart_agent_orders() {
    fleet_spawn agent-orders "$PROGRAM" agent --settings "$FLEET_DIRECTORY/agent-orders-1.yaml"
    fleet_wait_ready "$AGENT_PLAIN_OPERATOR"
    fleet_wait_slots "$AGENT_PLAIN_OPERATOR" 256
}

# fleet_stop: shuts all processes down gracefully, entry processes first, and waits for them.
fleet_stop() {
    kill -TERM "$PID_entry_a" "$PID_entry_b"
    wait "$PID_entry_a" "$PID_entry_b"
    kill -TERM "$PID_agent_chat" "$PID_agent_orders"
    wait "$PID_agent_chat" "$PID_agent_orders"
}

# Ends whatever is left; only processes that fleet_spawn started.
fleet_kill() {
    local pid
    for pid in "${FLEET_PIDS[@]}"; do
        kill -KILL "$pid" 2>/dev/null || true
    done
    wait 2>/dev/null || true
    rm -rf "$FLEET_DIRECTORY"
}
