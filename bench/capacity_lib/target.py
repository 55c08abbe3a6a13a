"""Extrapolates the slopes to the target size and judges each line."""

import math

from capacity_lib.fits import at, show

WORKERS, STARTS, TASKS, TEAMS, ZONES, REGIONS = 21_000, 950_000, 100, 110, 14, 5
JOBS = STARTS / TASKS
CHANGES_A_DAY, BURST_A_SECOND = 55_000, 10
CHOSEN = 6
MEAN_RUN_SECONDS = 0.5  # assumed; the design page says 50 ms to 1 s, a few several seconds
ANSWER_SECONDS, OUTCOME_SECONDS = 60, 1_200
CONTROL_THREAD_SHARE = 0.7  # of a core, at peak
SCOPE_AGENTS = 32  # of the runs behind scope_heap
CPU_LIMIT, MEMORY_LIMIT, BYTES_LIMIT = 20_000, 256e6, 4_000  # us/s, bytes, bytes/s
STORE_WRITES, STORE_READS, FORCE_LIMIT = 300, 2_000, 3.0
FAILED_VMS, REPLACED_VMS, RACK = 180, 8_200, 3
BUILT, DESIGNED = "built", "designed only"


class Line:
    """One line of a role's table."""

    def __init__(self, name, value, unit, limit, slopes, mechanism, status, change=""):
        self.name, self.value, self.unit, self.limit = name, value, unit, limit
        self.slopes, self.mechanism, self.status, self.change = slopes, mechanism, status, change

    def fits(self):
        return self.limit is None or self.value <= self.limit

    def verdict(self):
        if self.limit is None:
            return "no limit set"
        share = self.value / self.limit
        return "fits" if share <= 1 else f"**does not fit**, {show(share)} times: {self.change}"


class Model:
    def __init__(self, slopes, process_rows):
        self.s = slopes
        self.config_seconds = max(max(row["config_seconds"]) for row in process_rows
                                  if "config_seconds" in row)
        self.tool_entries = next(row["entries"] for row in process_rows
                                 if row["experiment"] == "idle_by_agents")
        # Orders for few agents share messages; the cores show what more agents cost.
        self.small_us = at(slopes["p_job_control_cpu"], TASKS) / TASKS
        starts = slopes["core_start_cpu"]["points"]
        self.spread = (starts[-1][1] / starts[-1][0]) / (starts[0][1] / starts[0][0])
        control = self.small_us * self.spread
        self.control_us = control
        needed = STARTS * control / 1e6 / CONTROL_THREAD_SHARE
        self.entries = math.ceil(needed / ZONES) * ZONES
        self.heard = WORKERS * CHOSEN / self.entries
        self.agent_starts = STARTS / WORKERS
        self.in_flight = self.agent_starts * MEAN_RUN_SECONDS
        # The manifest with 110 teams and 4 zones as measured.
        self.manifest = at(slopes["config_team_bytes"], TEAMS)
        self.change_bytes = at(slopes["config_agent_bytes"], self.manifest)

    def slope(self, name):
        return self.s[name]["slope"]

    def upper_at(self, name, x):
        """Value at x with the slope plus two standard errors, not below zero."""
        line = self.s[name]
        slope = max(0.0, line["slope"] + 2 * line["slope_error"])
        points = line["points"]
        mean_x = sum(p[0] for p in points) / len(points)
        mean_y = sum(p[1] for p in points) / len(points)
        return mean_y + slope * (x - mean_x)

    def upper(self, name):
        """Slope for a cost that was too small to measure: not below zero, plus two errors."""
        return max(0.0, self.slope(name)) + 2 * self.s[name]["slope_error"]

    def entry(self):
        n, heard, slope = self.entries, self.heard, self.slope
        per_start = at(self.s["p_job_cpu"], TASKS) / TASKS * self.spread
        heartbeat = heard * slope("entry_agent_bytes")
        # A heartbeat without teams, and what each team in use adds, in both directions.
        peers = (n - 1) * 2 * (slope("entry_peer_bytes") + TEAMS * slope("entry_team_bytes"))
        answers = JOBS * ANSWER_SECONDS / n * slope("answer_heap")
        outcomes = JOBS * OUTCOME_SECONDS / n * slope("outcome_heap")
        records = JOBS * 2 * MEAN_RUN_SECONDS / n * slope("record_heap")
        links = heard * (slope("entry_agent_heap") + slope("p_entry_agent_rss"))
        scopes = n * slope("scope_heap") * heard / SCOPE_AGENTS
        return [
            Line("work: CPU of a process", STARTS / n * per_start, "us/s", None,
                 ["p_job_cpu", "core_start_cpu"],
                 "batches of orders and updates; sessions naming their home", BUILT),
            Line("work: CPU of all entries, shared by the 21,000 workers",
                 STARTS * per_start / WORKERS, "us/s a worker", CPU_LIMIT,
                 ["p_job_cpu", "core_start_cpu"], "no VM is reserved for control", BUILT,
                 "larger batches; one update a task"),
            Line("work: start orders, updates, acknowledgements",
                 STARTS / n * slope("core_start_messages"), "messages/s", None,
                 ["core_start_messages"], "batching by agent and home each pass", BUILT),
            Line("work: bytes of the same", STARTS / n * slope("core_start_bytes"), "bytes/s",
                 None, ["core_start_bytes"], "batching by agent and home each pass", BUILT),
            Line("control: CPU for agents heard", heard * slope("p_entry_agent_cpu"), "us/s",
                 CPU_LIMIT, ["p_entry_agent_cpu"], "rendezvous choice of 6 entries", BUILT,
                 f"the limit allows {CPU_LIMIT / slope('p_entry_agent_cpu'):.0f} agents heard; one "
                 "aggregated heartbeat a rack or zone, longer intervals while idle"),
            Line("control: bytes for agents heard", heartbeat, "bytes/s", BYTES_LIMIT,
                 ["entry_agent_bytes"],
                 "rendezvous choice of 6 entries; agents leave heartbeats out when traffic carries "
                 "stamps", BUILT,
                 f"the limit allows {BYTES_LIMIT / slope('entry_agent_bytes'):.0f} agents heard; "
                 "aggregate heartbeats per rack or zone, longer intervals while idle, or fewer "
                 "entries an agent"),
            Line("control: bytes for other entries, 110 teams in use", peers, "bytes/s",
                 BYTES_LIMIT, ["entry_peer_bytes", "entry_team_bytes"],
                 "usage and version in heartbeats each 500 ms to all entries", BUILT,
                 f"even without teams the limit allows "
                 f"{BYTES_LIMIT / 2 / slope('entry_peer_bytes'):.0f} peers; usage only when "
                 "changed or each few seconds, full mesh only within a region"),
            Line("state: answers kept 60 s", answers, "bytes", MEMORY_LIMIT, ["answer_heap"],
                 "two copies, released after 60 s", BUILT,
                 "answers at one of the two entries, or on the heap in one block"),
            Line("state: outcomes kept 20 min", outcomes, "bytes", MEMORY_LIMIT,
                 ["outcome_heap"], "48 bytes each in the design", BUILT,
                 "one ordered array a session instead of a node an outcome"),
            Line("state: jobs in flight (1 s)", records, "bytes", MEMORY_LIMIT, ["record_heap"],
                 "record at the backup before the first start", BUILT, "keep payloads once"),
            Line("state: agents and their links", links, "bytes", MEMORY_LIMIT,
                 ["entry_agent_heap", "p_entry_agent_rss"],
                 "scope by home; one DEALER socket an agent (heap and RSS added, an upper bound)",
                 BUILT, "one socket for all agents of a rack"),
            Line("state: scopes of the homes with every other entry", scopes, "bytes",
                 MEMORY_LIMIT, ["scope_heap"], "an agent list for each home at both its entries",
                 BUILT, "few backups an entry, or one list shared by its homes"),
            Line("state: the sum of these and of a process without load",
                 answers + outcomes + records + links + scopes
                 + self.s["p_entry_agent_rss"]["intercept"], "bytes", MEMORY_LIMIT,
                 ["p_entry_agent_rss"], "without the allocator's fragmentation", BUILT,
                 "answers at one of the two entries, or in one block of memory each"),
        ]

    def agent(self):
        n, slope = self.entries, self.slope
        idle_cpu = at(self.s["p_agent_entry_cpu"], CHOSEN)
        idle_bytes = at(self.s["agent_entry_bytes"], n)
        task_cpu = at(self.s["p_agent_job_cpu"], TASKS) / TASKS
        change = CHANGES_A_DAY / 86_400
        return [
            Line("control: CPU when idle", idle_cpu, "us/s", CPU_LIMIT, ["p_agent_entry_cpu"],
                 "6 entries; a tick each 10 ms", BUILT, "sleep until the next timer"),
            Line("control: bytes when idle", idle_bytes, "bytes/s", BYTES_LIMIT,
                 ["agent_entry_bytes"], "6 entries, heartbeats each 500 ms; member lists each 10 s",
                 BUILT, "fewer entries an agent, member lists only when changed"),
            Line("control: bytes of configuration, mean", change * self.change_bytes, "bytes/s",
                 BYTES_LIMIT, ["config_agent_bytes", "config_team_bytes"],
                 "whole manifest pushed on pull", BUILT,
                 "agents need the zones only: push them without teams, or changes only"),
            Line("control: bytes when idle and of configuration, mean",
                 idle_bytes + change * self.change_bytes, "bytes/s", BYTES_LIMIT,
                 ["agent_entry_bytes", "config_agent_bytes", "config_team_bytes"],
                 "as the two lines", BUILT,
                 "push agents the zones only; fewer entries an agent"),
            Line("control: bytes of configuration, burst of 10 changes/s, as measured",
                 dict(self.s["config_rate_bytes"]["points"])[BURST_A_SECOND], "bytes/s",
                 BYTES_LIMIT, ["config_rate_bytes"],
                 "whole manifest pushed on pull; an agent pulls at most each 250 ms", BUILT,
                 "several changes in one write; agents get the zones only"),
            Line("work: CPU for starts", self.agent_starts * task_cpu, "us/s", CPU_LIMIT,
                 ["p_agent_job_cpu"], "batched updates; one HTTP request a task", BUILT,
                 "counts as work, not control; kept connections to the target"),
            Line("control and work: CPU together", idle_cpu + self.agent_starts * task_cpu, "us/s",
                 CPU_LIMIT, ["p_agent_entry_cpu", "p_agent_job_cpu"], "as the two lines", BUILT,
                 "sleep until the next timer; fewer updates a task"),
            Line("work: bytes of starts", self.agent_starts * slope("core_start_bytes"), "bytes/s",
                 BYTES_LIMIT, ["core_start_bytes"], "orders and updates, 60-byte payloads", BUILT,
                 "counts as work; short job references in a batch"),
            Line("state: memory of the process", at(self.s["p_agent_entry_rss"], CHOSEN)
                 + max(0, n - CHOSEN) * slope("agent_entry_heap")
                 + self.agent_starts * ANSWER_SECONDS * slope("agent_record_heap"), "bytes",
                 MEMORY_LIMIT, ["p_agent_entry_rss", "agent_entry_heap", "agent_record_heap"],
                 "task records 60 s, at most 96 MB of contents", BUILT, "shorter retention"),
        ]

    def tool(self):
        n = self.entries
        state = self.heard * self.slope("p_state_bytes")
        # The tool parses the dump of each entry, which names each agent that the entry hears.
        a_dump = self.slope("p_tool_cpu") / self.tool_entries * self.heard
        return [
            Line("configuration in force: longest of all runs, not extrapolated",
                 self.config_seconds, "s", FORCE_LIMIT, ["p_config_seconds", "p_config_entries"],
                 "tool pushes to the entries, entries announce, agents pull", BUILT),
            Line("configuration in force, by agents heard, upper bound",
                 self.upper_at("p_config_seconds", self.heard), "s", FORCE_LIMIT,
                 ["p_config_seconds"], "the same; slope plus two standard errors, includes the "
                 "tool's own work, which polls each 100 ms", BUILT,
                 "entries count their lagging agents"),
            Line("configuration in force, by entries, upper bound",
                 self.upper_at("p_config_entries", n), "s", FORCE_LIMIT, ["p_config_entries"],
                 "the same", BUILT, "push to one entry a zone"),
            Line("configuration in force in all cores, 10 ms a hop",
                 at(self.s["config_agent_ms"], self.heard) / 1e3, "s", FORCE_LIMIT,
                 ["config_agent_ms"], "announcement at once, pull, push", BUILT),
            Line("CPU of the tool to confirm a change", n * a_dump, "s", FORCE_LIMIT,
                 ["p_tool_cpu"], "reads and parses the state dump of every entry, again each 100 ms"
                 " until all hold the version", BUILT,
                 "entries count their lagging agents and the tool reads only the count"),
            Line("bytes read to confirm a change once", n * state, "bytes", None,
                 ["p_state_bytes"], "state dump of every entry; no limit is set", BUILT),
        ]

    def store(self):
        n = self.entries
        mean = CHANGES_A_DAY / 86_400
        return [
            Line("calls while idle", at(self.s["p_store_calls"], n), "calls/s", STORE_READS,
                 ["p_store_calls"], "one read a second and one watch an entry", BUILT,
                 "one reader a zone"),
            Line("calls of 21,000 agents (two standard errors)",
                 WORKERS * 2 * self.s["p_store_agent_calls"]["slope_error"], "calls/s", None,
                 ["p_store_agent_calls"], "agents never call the store; the line shows how far "
                 "the run bounds that", BUILT),
            Line("writes, mean", mean, "writes/s", STORE_WRITES, [], "55,000 a day, one write a "
                 "change", BUILT),
            Line("writes, burst", BURST_A_SECOND, "writes/s", STORE_WRITES, [],
                 "assumed 10 changes/s of one pipeline", BUILT),
            Line("value of the manifest", self.manifest, "bytes", 1e6, ["config_team_bytes"],
                 "one value", BUILT, "one value a region"),
        ]

    def target_connection(self):
        task_cpu = at(self.s["p_agent_job_cpu"], TASKS) / TASKS
        return [
            Line("requests from the agent", self.agent_starts, "requests/s", None, [],
                 "one HTTP request a task, at most one a slot at a time", BUILT),
            Line("announcements", 1, "requests/s", None, [], "PUT /v1/target each second", BUILT),
            Line("agent's CPU with the HTTP request", self.agent_starts * task_cpu, "us/s",
                 CPU_LIMIT, ["p_agent_job_cpu"], "cpp-httplib client", BUILT,
                 "connections kept open"),
        ]

    def failures(self):
        n, heard, slope = self.entries, self.heard, self.slope
        replaced = at(self.s["replacement_messages"], n)
        rate = (FAILED_VMS + REPLACED_VMS) / 86_400
        zone = WORKERS / ZONES
        return [
            Line("scope messages a replaced VM, all entries", replaced, "messages", None,
                 ["replacement_messages"], "scope of each home", BUILT),
            Line("the same, 8,380 a day, a second and entry", replaced * rate / n, "messages/s",
                 None, ["replacement_messages"], "scope of each home", BUILT),
            Line("tasks in flight lost with a VM", self.in_flight, "tasks", None, [],
                 "each fails its job as outcome unknown", BUILT),
            Line("jobs lost a day by 180 VMs, of 820 million at peak rate",
                 FAILED_VMS * self.in_flight, "jobs", None, [],
                 "at most one job a task in flight", BUILT),
            Line("jobs lost with a rack of 3", RACK * self.in_flight, "jobs", None, [],
                 "the same", BUILT),
            Line("tasks in flight lost with a zone", zone * self.in_flight, "tasks", None, [],
                 "jobs spread over zones: up to all jobs in flight are lost", BUILT),
            Line("takeover of an entry: fence messages",
                 heard * slope("takeover_agent_messages"), "messages", None,
                 ["takeover_agent_messages"], "scope, fence at the agents", BUILT),
            Line("takeover of an entry: CPU of its backups in all",
                 heard * slope("takeover_agent_cpu")
                 + JOBS * 2 * MEAN_RUN_SECONDS / n * self.upper("takeover_job_cpu"), "us", None,
                 ["takeover_agent_cpu", "takeover_job_cpu"],
                 "records at the backups; a job's part is at most two standard errors", BUILT),
            Line("takeover of an entry: longest time from the kill, not extrapolated",
                 max(y for _, y in self.s["p_takeover_seconds"]["points"]), "s", FORCE_LIMIT,
                 ["p_takeover_seconds"], "2 s of silence since the last echo, then the fence; "
                 "limit: 2 s and 1 s for the reports", BUILT, "-"),
        ]
