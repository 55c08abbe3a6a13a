# Starts and stops the system of one example workload on loopback ports: the store stand-in, 4 entries, and
# 10 agents with their targets in four zones. Submits no jobs. Sourced by scripts/demo, bench/run and tests/lib/fleet.sh, from the
# project's root.
#
# Uses: work (directory for settings and logs), binary, standins, base_port (first port), log_level (optional).
# Sets: pids (process ids of all started processes), pid_of (process id by log name).

entries=4
# May be changed by the sourcing script: agents before it calls use_workload, the others before it starts
# processes.
agents=10
slots=8 # slots of each target
entry_policy=credits
entry_connections=256
declare -A pid_of=()
pids=()

# Sets zones, services, team and zone_out of a workload, and the addresses store, entry_list and
# agent_list.
use_workload() { # name
    workload="$1"
    case "$workload" in
    verband)
        zones=(vienna-1 vienna-2 graz linz)
        services=(tray-availability price-quote rack-lookup)
        team=dealers
        zone_out=graz
        ;;
    coulee)
        zones=(prairie-north prairie-south prairie-east prairie-west)
        services=(quote-check hold-confirmation release)
        team=school-gyms
        zone_out=prairie-east
        ;;
    *)
        echo "unknown workload $workload; known: verband, coulee" >&2
        return 2
        ;;
    esac
    local i
    store="127.0.0.1:$base_port"
    entry_list=""
    agent_list=""
    for ((i = 1; i <= entries; i++)); do
        entry_list+="${entry_list:+,}127.0.0.1:$((base_port + 10 + i))"
    done
    for ((i = 1; i <= agents; i++)); do
        agent_list+="${agent_list:+,}127.0.0.1:$((base_port + 100 + i))"
    done
}

stop_all() {
    local pid
    for pid in "${pids[@]}"; do
        kill "$pid" 2>/dev/null || true
    done
    for pid in "${pids[@]}"; do
        wait "$pid" 2>/dev/null || true
    done
    pids=()
    pid_of=()
}

start() { # log name, command
    local name="$1"
    shift
    "$@" >"$work/$name.log" 2>&1 &
    pids+=("$!")
    pid_of["$name"]="$!"
}

# Prints an example settings file with values filled in: the zone and the addresses of one process, the
# number of connections, the policy, the log level, the seeds and the store.
settings() { # file, zone, ZeroMQ port, HTTP port
    sed -e "s|\"zone\": \"[^\"]*\"|\"zone\": \"$2\"|" \
        -e "s|\"endpoint\": \"[^\"]*\"|\"endpoint\": \"tcp://127.0.0.1:$3\"|" \
        -e "s|\"port\": [0-9]*|\"port\": $4|" \
        -e "s|\"max_connections\": [0-9]*|\"max_connections\": $entry_connections|" \
        -e "s|\"entry\": {|\"entry\": {\"policy\": \"$entry_policy\", |" \
        -e "s|\"level\": \"[a-z]*\"|\"level\": \"${log_level:-info}\"|" \
        -e "s|\"seeds\": .*\],|\"seeds\": [\"tcp://127.0.0.1:$((base_port + 21))\", \"tcp://127.0.0.1:$((base_port + 22))\"],|" \
        -e "s|\"store\": \[.*\]|\"store\": [\"$store\"]|" "$1"
}

start_entries() {
    local i
    for ((i = 1; i <= entries; i++)); do
        settings "examples/$workload/entry.json" "${zones[i - 1]}" $((base_port + 20 + i)) \
            $((base_port + 10 + i)) >"$work/entry-$i.json"
        start "entry-$i" "$binary" entry --settings "$work/entry-$i.json"
    done
}

# Prints the service of an agent: the first four agents serve the first service, one in each zone; the
# next three serve the second, the others the third.
service_of() { # agent
    if (($1 <= 4)); then
        echo "${services[0]}"
    elif (($1 <= 7)); then
        echo "${services[1]}"
    else
        echo "${services[2]}"
    fi
}

start_agents() {
    local i zone
    for ((i = 1; i <= agents; i++)); do
        zone="${zones[(i - 1) % 4]}"
        settings "examples/$workload/agent.json" "$zone" $((base_port + 200 + i)) $((base_port + 100 + i)) \
            >"$work/agent-$i.json"
        start "agent-$i" "$binary" agent --settings "$work/agent-$i.json"
    done
}

# Starts one process per zone for the targets of the zone; the label in the journal is the zone.
start_targets() {
    local i z targets
    for ((z = 0; z < 4; z++)); do
        targets=()
        for ((i = z + 1; i <= agents; i += 4)); do
            targets+=(--target "$((base_port + 300 + i)),$(service_of "$i"),$slots,127.0.0.1:$((base_port + 100 + i))")
        done
        start "target-${zones[z]}" "$standins" target "${targets[@]}" --admin-port $((base_port + 41 + z)) \
            --label "${zones[z]}" --journal "$work/journal" --behaviour '{"echo": true}'
    done
}

wait_for_targets() {
    local i tries known
    for ((i = 1; i <= entries; i++)); do
        known=0
        for ((tries = 0; tries < 150; tries++)); do
            known="$("$binary" state --process "127.0.0.1:$((base_port + 10 + i))" 2>/dev/null |
                grep -o "\"slots\":$slots[,}]" | wc -l || true)"
            [ "$known" -ge "$agents" ] && continue 2
            sleep 0.1
        done
        echo "entry $i reports $known of $agents targets" >&2
        return 1
    done
}

start_system() {
    start store "$standins" store --port "$base_port"
    start_entries
    # Agents request the list of entries from the entries at startup and then every 10 s, so they are
    # started after the entries have discovered each other.
    sleep 1
    start_agents
    start_targets
}
