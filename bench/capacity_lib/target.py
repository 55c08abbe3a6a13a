"""Extrapolates the measured slopes to the target size and compares each line with its limit."""

import math

from capacity_lib.fits import evaluate, format_number

# The target size. STARTS_PER_SECOND counts task starts at peak.
WORKERS, STARTS_PER_SECOND, TASKS_PER_JOB, TEAMS, ZONES, REGIONS = 21_000, 950_000, 100, 110, 14, 5
JOBS_PER_SECOND = STARTS_PER_SECOND / TASKS_PER_JOB
CHANGES_PER_DAY, BURST_CHANGES_PER_SECOND = 55_000, 10  # changes of the configuration
ENTRIES_PER_AGENT = 6
MEAN_RUN_SECONDS = 0.5  # assumed; the design page says 50 ms to 1 s, a few tasks several seconds
ANSWER_RETENTION_SECONDS, OUTCOME_RETENTION_SECONDS = 60, 1_200
CONTROL_THREAD_SHARE = 0.7  # share of a core that a control thread may use at peak
SCOPE_AGENTS = 32  # agents in the runs that measured scope_heap
CPU_LIMIT_US_PER_SECOND, MEMORY_LIMIT_BYTES, TRAFFIC_LIMIT_BYTES_PER_SECOND = 20_000, 256e6, 4_000
# Limits of the calls to the store, and the limit in seconds of a configuration change, of the
# tool's CPU time for one and of a takeover.
STORE_WRITES_PER_SECOND, STORE_READS_PER_SECOND, EVENT_LIMIT_SECONDS = 300, 2_000, 3.0
FAILED_VMS_PER_DAY, REPLACED_VMS_PER_DAY, VMS_PER_RACK = 180, 8_200, 3
BUILT, DESIGNED = "built", "designed only"


class Line:
    """One line (row) of a role's table.

    `limit` is None if no limit is set. `slopes` names the slopes that the value depends on, and is
    empty if the value follows from the target size alone. `change` is the change that would bring
    the value below the limit.
    """

    def __init__(self, name, value, unit, limit, slopes, mechanism, status, change=""):
        self.name, self.value, self.unit, self.limit = name, value, unit, limit
        self.slopes, self.mechanism, self.status, self.change = slopes, mechanism, status, change

    def fits(self):
        return self.limit is None or self.value <= self.limit

    def verdict(self):
        if self.limit is None:
            return "no limit set"
        ratio = self.value / self.limit
        return "fits" if ratio <= 1 else \
            f"**does not fit**, {format_number(ratio)} times the limit: {self.change}"


# Extrapolates the slopes to the target size, which the constants above state: the number of
# entries, and the lines of each role's table.
class Model:
    def __init__(self, slopes, process_rows):
        self.s = slopes
        self.config_seconds = max(max(row["config_seconds"]) for row in process_rows
                                  if "config_seconds" in row)
        self.tool_entries = next(row["entries"] for row in process_rows
                                 if row["experiment"] == "idle_by_agents")
        # With few agents, many orders share a message. The runs of the cores give the factor by
        # which a start costs more with many agents.
        self.few_agents_us = evaluate(slopes["p_job_control_cpu"], TASKS_PER_JOB) / TASKS_PER_JOB
        starts = slopes["core_start_cpu"]["points"]
        self.many_agents_factor = (starts[-1][1] / starts[-1][0]) / (
            starts[0][1] / starts[0][0])
        control = self.few_agents_us * self.many_agents_factor
        self.control_us = control
        needed = STARTS_PER_SECOND * control / 1e6 / CONTROL_THREAD_SHARE
        self.entries = math.ceil(needed / ZONES) * ZONES
        # Agents that chose a given entry and exchange heartbeats with it.
        self.connected_agents = WORKERS * ENTRIES_PER_AGENT / self.entries
        self.agent_starts = STARTS_PER_SECOND / WORKERS
        self.in_flight = self.agent_starts * MEAN_RUN_SECONDS
        # Size in bytes of a manifest with 110 teams and the 4 zones of the runs.
        self.manifest = evaluate(slopes["config_team_bytes"], TEAMS)
        self.change_bytes = evaluate(slopes["config_agent_bytes"], self.manifest)

    def slope(self, name):
        return self.s[name]["slope"]

    def upper_at(self, name, x):
        """Upper bound of the value at x.

        Follows the line through the mean of the points whose slope is the fitted one plus two
        standard errors, or 0 if that is negative.
        """
        line = self.s[name]
        slope = max(0.0, line["slope"] + 2 * line["slope_error"])
        points = line["points"]
        mean_x = sum(p[0] for p in points) / len(points)
        mean_y = sum(p[1] for p in points) / len(points)
        return mean_y + slope * (x - mean_x)

    def upper(self, name):
        """Upper bound of a slope too small to measure: the slope, at least 0, plus two errors."""
        return max(0.0, self.slope(name)) + 2 * self.s[name]["slope_error"]

    def entry(self):
        n, connected_agents, slope = self.entries, self.connected_agents, self.slope
        per_start = evaluate(
            self.s["p_job_cpu"], TASKS_PER_JOB) / TASKS_PER_JOB * self.many_agents_factor
        heartbeat = connected_agents * slope("entry_agent_bytes")
        # A heartbeat without teams plus the bytes of each team in use, in both directions.
        peers = (n - 1) * 2 * (slope("entry_peer_bytes") + TEAMS * slope("entry_team_bytes"))
        answers = JOBS_PER_SECOND * ANSWER_RETENTION_SECONDS / n * slope("answer_heap")
        outcomes = JOBS_PER_SECOND * OUTCOME_RETENTION_SECONDS / n * slope("outcome_heap")
        records = JOBS_PER_SECOND * 2 * MEAN_RUN_SECONDS / n * slope("record_heap")
        links = connected_agents * (slope("entry_agent_heap") + slope("p_entry_agent_rss"))
        scopes = n * slope("scope_heap") * connected_agents / SCOPE_AGENTS
        return [
            Line("work: CPU per process", STARTS_PER_SECOND / n * per_start, "us/s", None,
                 ["p_job_cpu", "core_start_cpu"],
                 "orders and updates in batches; sessions name their home", BUILT),
            Line("work: CPU of all entries divided by the 21,000 workers",
                 STARTS_PER_SECOND * per_start / WORKERS, "us/s per worker",
                 CPU_LIMIT_US_PER_SECOND, ["p_job_cpu", "core_start_cpu"],
                 "no VM is reserved for control", BUILT,
                 "larger batches; one update per task"),
            Line("work: messages with start orders, updates and acknowledgements",
                 STARTS_PER_SECOND / n * slope("core_start_messages"), "messages/s", None,
                 ["core_start_messages"], "one batch per agent and home in each pass", BUILT),
            Line("work: bytes of start orders, updates and acknowledgements",
                 STARTS_PER_SECOND / n * slope("core_start_bytes"), "bytes/s",
                 None, ["core_start_bytes"], "one batch per agent and home in each pass", BUILT),
            Line("control: CPU for connected agents",
                 connected_agents * slope("p_entry_agent_cpu"), "us/s", CPU_LIMIT_US_PER_SECOND,
                 ["p_entry_agent_cpu"], "each agent chooses 6 entries by rendezvous hashing", BUILT,
                 f"at most {CPU_LIMIT_US_PER_SECOND / slope('p_entry_agent_cpu'):.0f} connected "
                 "agents stay within the limit; one aggregated heartbeat per rack or zone, longer "
                 "intervals while idle"),
            Line("control: bytes for connected agents", heartbeat, "bytes/s",
                 TRAFFIC_LIMIT_BYTES_PER_SECOND, ["entry_agent_bytes"],
                 "each agent chooses 6 entries by rendezvous hashing and omits heartbeats while "
                 "other messages carry its stamps", BUILT,
                 f"at most {TRAFFIC_LIMIT_BYTES_PER_SECOND / slope('entry_agent_bytes'):.0f} "
                 "connected agents stay within the limit; one aggregated heartbeat per rack or "
                 "zone, longer intervals while idle, or fewer entries per agent"),
            Line("control: bytes for other entries, 110 teams in use", peers, "bytes/s",
                 TRAFFIC_LIMIT_BYTES_PER_SECOND, ["entry_peer_bytes", "entry_team_bytes"],
                 "heartbeats with usage and version to all entries every 500 ms", BUILT,
                 "even without teams at most "
                 f"{TRAFFIC_LIMIT_BYTES_PER_SECOND / 2 / slope('entry_peer_bytes'):.0f} other "
                 "entries stay within the limit; usage only when changed or every few seconds, "
                 "full mesh only within a region"),
            Line("state: answers retained for 60 s", answers, "bytes", MEMORY_LIMIT_BYTES,
                 ["answer_heap"], "two copies, released after 60 s", BUILT,
                 "answers at only one of the two entries, or each in one heap block"),
            Line("state: outcomes retained for 20 min", outcomes, "bytes", MEMORY_LIMIT_BYTES,
                 ["outcome_heap"], "48 bytes each in the design", BUILT,
                 "one sorted array per session in place of a node per outcome"),
            Line("state: jobs in flight (1 s)", records, "bytes", MEMORY_LIMIT_BYTES,
                 ["record_heap"], "record at the backup before the first start", BUILT,
                 "store each payload only once"),
            Line("state: agents and their links", links, "bytes", MEMORY_LIMIT_BYTES,
                 ["entry_agent_heap", "p_entry_agent_rss"],
                 "one scope per home; one DEALER socket per agent (sum of heap and RSS, an upper "
                 "bound)", BUILT, "one socket for all agents of a rack"),
            Line("state: scopes of the homes shared with each other entry", scopes, "bytes",
                 MEMORY_LIMIT_BYTES, ["scope_heap"],
                 "one list of agents per home at both its entries", BUILT,
                 "few backups per entry, or one list shared by its homes"),
            Line("state: sum of all state lines and of a process without load",
                 answers + outcomes + records + links + scopes
                 + self.s["p_entry_agent_rss"]["intercept"], "bytes", MEMORY_LIMIT_BYTES,
                 ["p_entry_agent_rss"], "excludes fragmentation of the allocator", BUILT,
                 "answers at only one of the two entries, or each in one heap block"),
        ]

    def agent(self):
        n, slope = self.entries, self.slope
        idle_cpu = evaluate(self.s["p_agent_entry_cpu"], ENTRIES_PER_AGENT)
        idle_bytes = evaluate(self.s["agent_entry_bytes"], n)
        task_cpu = evaluate(self.s["p_agent_job_cpu"], TASKS_PER_JOB) / TASKS_PER_JOB
        change = CHANGES_PER_DAY / 86_400
        return [
            Line("control: CPU when idle", idle_cpu, "us/s", CPU_LIMIT_US_PER_SECOND,
                 ["p_agent_entry_cpu"], "6 entries; one tick every 10 ms", BUILT,
                 "sleep until the next timer"),
            Line("control: bytes when idle", idle_bytes, "bytes/s", TRAFFIC_LIMIT_BYTES_PER_SECOND,
                 ["agent_entry_bytes"],
                 "6 entries; heartbeats every 500 ms; member lists every 10 s",
                 BUILT, "fewer entries per agent; member lists only when changed"),
            Line("control: bytes of configuration, mean", change * self.change_bytes, "bytes/s",
                 TRAFFIC_LIMIT_BYTES_PER_SECOND, ["config_agent_bytes", "config_team_bytes"],
                 "an entry answers a pull with the whole manifest", BUILT,
                 "agents need only the zones: push them without teams, or only the changes"),
            Line("control: bytes when idle and of configuration, mean",
                 idle_bytes + change * self.change_bytes, "bytes/s", TRAFFIC_LIMIT_BYTES_PER_SECOND,
                 ["agent_entry_bytes", "config_agent_bytes", "config_team_bytes"],
                 "sum of the two lines above", BUILT,
                 "push only the zones to agents; fewer entries per agent"),
            Line("control: bytes of configuration, burst of 10 changes/s, as measured",
                 dict(self.s["config_rate_bytes"]["points"])[BURST_CHANGES_PER_SECOND], "bytes/s",
                 TRAFFIC_LIMIT_BYTES_PER_SECOND, ["config_rate_bytes"],
                 "an entry answers a pull with the whole manifest; an agent pulls at most every "
                 "250 ms", BUILT,
                 "several changes in one write; push only the zones to agents"),
            Line("work: CPU for starts", self.agent_starts * task_cpu, "us/s",
                 CPU_LIMIT_US_PER_SECOND, ["p_agent_job_cpu"],
                 "updates in batches; one HTTP request per task", BUILT,
                 "counts as work, not control; persistent connections to the target"),
            Line("control and work: CPU when idle and for starts",
                 idle_cpu + self.agent_starts * task_cpu, "us/s",
                 CPU_LIMIT_US_PER_SECOND, ["p_agent_entry_cpu", "p_agent_job_cpu"],
                 "sum of the two CPU lines above", BUILT,
                 "sleep until the next timer; fewer updates per task"),
            Line("work: bytes of starts", self.agent_starts * slope("core_start_bytes"), "bytes/s",
                 TRAFFIC_LIMIT_BYTES_PER_SECOND, ["core_start_bytes"],
                 "orders and updates, 60-byte payloads", BUILT,
                 "counts as work, not control; short job references within a batch"),
            Line("state: memory of the process",
                 evaluate(self.s["p_agent_entry_rss"], ENTRIES_PER_AGENT)
                 + max(0, n - ENTRIES_PER_AGENT) * slope("agent_entry_heap")
                 + self.agent_starts * ANSWER_RETENTION_SECONDS * slope("agent_record_heap"),
                 "bytes", MEMORY_LIMIT_BYTES,
                 ["p_agent_entry_rss", "agent_entry_heap", "agent_record_heap"],
                 "task records retained for 60 s, at most 96 MB of contents", BUILT,
                 "shorter retention"),
        ]

    def tool(self):
        n = self.entries
        state = self.connected_agents * self.slope("p_state_bytes")
        # The tool parses the state dump of each entry, which lists all agents connected to it.
        dump_cpu = self.slope("p_tool_cpu") / self.tool_entries * self.connected_agents
        return [
            Line("configuration in force: longest time of all runs, not extrapolated",
                 self.config_seconds, "s", EVENT_LIMIT_SECONDS,
                 ["p_config_seconds", "p_config_entries"],
                 "the tool pushes to the entries, the entries announce the version, agents pull",
                 BUILT),
            Line("configuration in force: time by connected agents, upper bound",
                 self.upper_at("p_config_seconds", self.connected_agents), "s",
                 EVENT_LIMIT_SECONDS, ["p_config_seconds"],
                 "push, announcement and pull; slope plus two standard errors; includes the work "
                 "of the tool, which polls every 100 ms", BUILT,
                 "entries count the agents without the current version"),
            Line("configuration in force: time by entries, upper bound",
                 self.upper_at("p_config_entries", n), "s", EVENT_LIMIT_SECONDS,
                 ["p_config_entries"],
                 "push, announcement and pull; same kind of bound as in the line above", BUILT,
                 "push to one entry per zone"),
            Line("configuration in force: time until all cores have it, 10 ms per hop",
                 evaluate(self.s["config_agent_ms"], self.connected_agents) / 1e3, "s",
                 EVENT_LIMIT_SECONDS, ["config_agent_ms"],
                 "immediate announcement, pull, push", BUILT),
            Line("CPU of the tool to confirm a change", n * dump_cpu, "s", EVENT_LIMIT_SECONDS,
                 ["p_tool_cpu"], "reads and parses the state dump of every entry, again every "
                 "100 ms until all hold the version", BUILT,
                 "entries count the agents without the current version and the tool reads only the "
                 "count"),
            Line("bytes that the tool reads to confirm a change once", n * state, "bytes", None,
                 ["p_state_bytes"], "state dump of every entry", BUILT),
        ]

    def store(self):
        n = self.entries
        mean = CHANGES_PER_DAY / 86_400
        return [
            Line("calls while idle", evaluate(self.s["p_store_calls"], n), "calls/s",
                 STORE_READS_PER_SECOND, ["p_store_calls"],
                 "one read per second and one watch per entry", BUILT,
                 "one reader per zone"),
            Line("calls of 21,000 agents (two standard errors)",
                 WORKERS * 2 * self.s["p_store_agent_calls"]["slope_error"], "calls/s", None,
                 ["p_store_agent_calls"], "agents never call the store; the value is the upper "
                 "bound that the runs give", BUILT),
            Line("writes, mean", mean, "writes/s", STORE_WRITES_PER_SECOND, [],
                 "55,000 changes a day, one write per change", BUILT),
            Line("writes, burst", BURST_CHANGES_PER_SECOND, "writes/s", STORE_WRITES_PER_SECOND, [],
                 "assumed 10 changes/s from one build pipeline", BUILT),
            Line("size of the manifest", self.manifest, "bytes", 1e6, ["config_team_bytes"],
                 "stored as one value", BUILT, "one value per region"),
        ]

    def target_connection(self):
        task_cpu = evaluate(self.s["p_agent_job_cpu"], TASKS_PER_JOB) / TASKS_PER_JOB
        return [
            Line("requests from the agent", self.agent_starts, "requests/s", None, [],
                 "one HTTP request per task, at most one per slot at a time", BUILT),
            Line("announcements", 1, "requests/s", None, [], "PUT /v1/target every second", BUILT),
            Line("CPU of the agent including the HTTP requests", self.agent_starts * task_cpu,
                 "us/s", CPU_LIMIT_US_PER_SECOND, ["p_agent_job_cpu"], "cpp-httplib client", BUILT,
                 "persistent connections"),
        ]

    def failures(self):
        n, connected_agents, slope = self.entries, self.connected_agents, self.slope
        replaced = evaluate(self.s["replacement_messages"], n)
        rate = (FAILED_VMS_PER_DAY + REPLACED_VMS_PER_DAY) / 86_400
        zone = WORKERS / ZONES
        return [
            Line("scope messages per replaced VM, all entries", replaced, "messages", None,
                 ["replacement_messages"], "one scope per home", BUILT),
            Line("scope messages for 8,380 replaced VMs a day, per entry", replaced * rate / n,
                 "messages/s", None, ["replacement_messages"], "one scope per home", BUILT),
            Line("tasks in flight lost with a VM", self.in_flight, "tasks", None, [],
                 "each fails its job with the outcome unknown", BUILT),
            Line("jobs lost per day when 180 VMs fail, of 820 million at peak rate",
                 FAILED_VMS_PER_DAY * self.in_flight, "jobs", None, [],
                 "at most one job per task in flight", BUILT),
            Line("jobs lost with a rack of 3 VMs", VMS_PER_RACK * self.in_flight, "jobs", None, [],
                 "at most one job per task in flight", BUILT),
            Line("tasks in flight lost with a zone", zone * self.in_flight, "tasks", None, [],
                 "jobs are spread over zones: up to all jobs in flight are lost", BUILT),
            Line("takeover of an entry: fence messages",
                 connected_agents * slope("takeover_agent_messages"), "messages", None,
                 ["takeover_agent_messages"], "the backup fences the agents of the scope", BUILT),
            Line("takeover of an entry: total CPU of its backups",
                 connected_agents * slope("takeover_agent_cpu")
                 + JOBS_PER_SECOND * 2 * MEAN_RUN_SECONDS / n * self.upper("takeover_job_cpu"),
                 "us", None, ["takeover_agent_cpu", "takeover_job_cpu"],
                 "records at the backups; cost per job: slope plus two standard errors", BUILT),
            Line("takeover of an entry: longest time from the kill, not extrapolated",
                 max(y for _, y in self.s["p_takeover_seconds"]["points"]), "s",
                 EVENT_LIMIT_SECONDS, ["p_takeover_seconds"],
                 "2 s without an echo from the entry, then the fence; the limit is 2 s plus 1 s "
                 "for the reports of the agents", BUILT, "-"),
        ]
