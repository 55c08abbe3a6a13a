# Starts a small system of real processes for the failure checks: the store stand-in, 4 entries, and
# in each of 4 zones one agent with a target of 4 slots. Sourced from the project's root by
# tests/checks/*, which set `base_port` (the first of 400 ports) beforehand and pass BUILD_DIR.

binary="$1/bamboohead"
standins="$1/standins"
work="$(mktemp -d)"
. scripts/lib/workload.sh
agents=4
slots=4
log_level="${LOG_LEVEL:-warning}"
use_workload verband
# Time after the end of the command that takes a zone out, from which on no task may start in the zone:
# rule R3, bound of docs/design.md 2.3. scripts/demo allows 4 s from the start of the command.
zone_grace_us=4500000
wait_timeout_s=30     # limit of each wait for a condition; passing runs need far less
job_pids=()
job_names=()
job_tasks=()
tasks_per_job=16
payload_end=""
service="${services[0]}"
failures=0

# Sends SIGKILL, because a process stopped by SIGSTOP does not handle SIGTERM.
clean_up() {
    local code=$? pid
    for pid in $(jobs -p); do
        kill -KILL "$pid" 2>/dev/null || true
    done
    wait 2>/dev/null
    if [ "$code" -eq 0 ]; then
        rm -r "$work"
    else
        echo "logs and journal: $work"
    fi
}
trap clean_up EXIT
trap 'exit 130' INT TERM

expect() { # name, arithmetic condition, detail
    if (($2)); then
        echo "expect name=$1 result=passed $3"
    else
        echo "expect name=$1 result=failed condition=\"$2\" $3"
        failures=$((failures + 1))
    fi
}

now_us() { "$standins" now; }

wait_until() { # description, command that succeeds when the condition holds
    local what="$1" limit=$((SECONDS + wait_timeout_s))
    shift
    until "$@"; do
        if ((SECONDS >= limit)); then
            echo "condition not met within $wait_timeout_s s: $what"
            return 1
        fi
        sleep 0.1
    done
}

# Checks the ports first: the stand-ins' HTTP servers share a port in use without an error, which
# would mix two systems.
check_ports_free() {
    local port
    for port in "$base_port" $((base_port + 11)) $((base_port + 21)) $((base_port + 41)) $((base_port + 101)) \
        $((base_port + 104)) $((base_port + 201)) $((base_port + 301)) $((base_port + 304)); do
        if (exec 3<>"/dev/tcp/127.0.0.1/$port") 2>/dev/null; then
            echo "port $port is in use; set BASE_PORT to the first of 400 free ports"
            return 1
        fi
    done
}

start_fleet() {
    check_ports_free
    : >"$work/journal"
    start_system
    if ! "$binary" manifest apply "examples/$workload/manifest.json" --store "$store" \
        --entries "$entry_list" >"$work/apply.out" 2>&1; then
        cat "$work/apply.out"
        return 1
    fi
    wait_for_targets
    wait_until "all processes report a current configuration" all_processes_current
}

all_processes_current() {
    local i
    for ((i = 1; i <= entries + agents; i++)); do
        state_of "127.0.0.1:$((i <= entries ? base_port + 10 + i : base_port + 100 + i - entries))" |
            grep -q '"config_version":[0-9]*,"current":true' || return 1
    done
}

entry_at() { echo "127.0.0.1:$((base_port + 10 + $1))"; }

# Prints the addresses of all entries, starting with the given one.
entries_from() { # entry number
    local i list=""
    for ((i = 0; i < entries; i++)); do
        list+="${list:+,}$(entry_at $((($1 - 1 + i) % entries + 1)))"
    done
    echo "$list"
}

# Prints the number of jobs in one phase over all entries; backup copies count as well. Agents and their
# tasks have a count "running" in the state, too, so only the object "jobs" is read.
jobs_in_phase() { # phase
    local i
    for ((i = 1; i <= entries; i++)); do
        state_of "$(entry_at "$i")" | grep -o '"jobs":{[^}]*}' |
            grep -o "\"$1\":[0-9]*" || true
    done | awk -F: '{ n += $2 } END { print n + 0 }'
}

# Succeeds when all entries together store at least two copies per job, as they do when each job is stored
# by both its primary and its backup. Ended jobs count as well, also those of earlier submissions.
jobs_replicated() { # number of jobs
    (($(jobs_in_phase running) + $(jobs_in_phase record) + $(jobs_in_phase ended) >= 2 * $1))
}

# Sends a request to a stand-in's admin interface.
admin_request() { # port offset, path, JSON
    curl -sf -X PUT "http://127.0.0.1:$((base_port + $1))/admin/$2" -d "$3" >"$work/curl.log"
}

state_of() { # address
    "$binary" state --process "$1" 2>/dev/null || true
}

# Submits jobs in the background; each job's caller tries the entries in order.
# Uses tasks_per_job and payload_end, which is appended to each payload.
submit_jobs() { # name, number of jobs, run time of a task in ms, entries
    local i tasks="" job="$work/$1.json"
    for ((i = 0; i < tasks_per_job; i++)); do
        tasks+="{\"payload\": \"run_ms=$3;part=$i$payload_end\"},"
    done
    echo "{\"team\": \"$team\", \"service\": \"$service\", \"deadline_ms\": 30000," \
        "\"tasks\": [${tasks%,}]}" >"$job"
    for ((i = 1; i <= $2; i++)); do
        "$binary" submit --entry "$4" --job "$job" >"$work/$1-$i.answer" 2>"$work/$1-$i.err" &
        pids+=("$!")
        job_pids+=("$!")
        job_names+=("$1-$i")
        job_tasks+=("$tasks_per_job")
    done
}

# Waits for the jobs submitted since the last call. Sets jobs (number of jobs), complete (number of
# complete answers), tasks (number of tasks of all jobs) and incomplete_jobs (" NAME:EXIT_CODE:ERROR_KIND"
# of each job without a complete answer).
wait_for_jobs() {
    local i code answer
    jobs=${#job_pids[@]}
    complete=0
    tasks=0
    incomplete_jobs=""
    for i in "${!job_pids[@]}"; do
        code=0
        wait "${job_pids[$i]}" || code=$?
        answer="$work/${job_names[$i]}.answer"
        tasks=$((tasks + job_tasks[i]))
        if [ "$code" -eq 0 ] && [ "$(grep -o 'run_ms=' "$answer" | wc -l)" -eq "${job_tasks[$i]}" ]; then
            complete=$((complete + 1))
        else
            incomplete_jobs+=" ${job_names[$i]}:$code:$(sed -n 's/.*"kind":"\([a-z_]*\)".*/\1/p' "$answer")"
        fi
    done
    job_pids=()
    job_names=()
    job_tasks=()
}

# Prints the number of matches of a pattern in incomplete_jobs.
count_incomplete() { # pattern
    (grep -o -- "$1" <<<"$incomplete_jobs" || true) | wc -l
}

# Prints the number of task starts in the targets' journal within a time range. The label is the zone;
# times are in microseconds, as printed by now_us.
starts_between() { # label or "all", from, to
    awk -v zone="$1" -v from="$2" -v to="$3" \
        '$1 >= from && $1 < to && (zone == "all" || $5 == zone) { n++ } END { print n + 0 }' \
        "$work/journal"
}

count_starts() { wc -l <"$work/journal"; }

started_at_least() { (($(count_starts) >= $1)); }

# Prints the number of tasks that were started more than once.
count_repeated_tasks() {
    awk '{ n[$2 " " $3]++ } END { for (t in n) if (n[t] > 1) r++; print r + 0 }' "$work/journal"
}

# Checks, for tests in which no job may be lost, that each job completed and that each of its tasks was
# started exactly once.
expect_all_complete() {
    wait_for_jobs
    local starts repeated
    starts="$(count_starts)"
    repeated="$(count_repeated_tasks)"
    expect all_complete "complete == jobs && jobs > 0" "jobs=$jobs complete=$complete others=$incomplete_jobs"
    expect none_twice "repeated == 0" "repeated=$repeated"
    expect each_task_once "starts == tasks" "starts=$starts tasks=$tasks"
}
