"""Measures CPU time, memory, control traffic and store calls of processes on loopback."""

import http.client
import json
import os
import pathlib
import re
import resource
import shutil
import signal
import subprocess
import tempfile
import threading
import time

ZONES = ["zone-1", "zone-2", "zone-3", "zone-4"]
SETTLE_SECONDS = 4
IDLE_SECONDS = 6
START_LIMIT_SECONDS = 40
LOAD_REPEATS = 3


def call(port, method, path, body=None, timeout=60):
    """Sends one HTTP request to a process on loopback; returns the status code and the body.

    The timeout is in seconds.
    """
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
    try:
        headers = {"Content-Type": "application/json"} if body else {}
        connection.request(method, path, body, headers)
        response = connection.getresponse()
        return response.status, response.read().decode()
    finally:
        connection.close()


def parse_metrics(text):
    """Parses the Prometheus text format into values by series name, label set included."""
    values = {}
    for line in text.splitlines():
        if line and not line.startswith("#"):
            name, value = line.rsplit(" ", 1)
            values[name] = float(value)
    return values


class Process:
    """A child process with its log file and HTTP port."""

    def __init__(self, command, log, port):
        self.port = port
        self.log = pathlib.Path(log)
        with open(log, "w") as out:
            self.popen = subprocess.Popen(command, stdout=out, stderr=subprocess.STDOUT)

    def cpu_seconds(self):
        """CPU time in seconds of all threads, from the nanoseconds in schedstat.

        The clock ticks in stat are too coarse.
        """
        total = 0
        for task in os.listdir(f"/proc/{self.popen.pid}/task"):
            try:
                with open(f"/proc/{self.popen.pid}/task/{task}/schedstat") as stat:
                    total += int(stat.read().split()[0])
            except FileNotFoundError:
                pass
        return total / 1e9

    def control_cpu_seconds(self):
        """CPU time in seconds of the control thread, which is the main thread."""
        with open(f"/proc/{self.popen.pid}/task/{self.popen.pid}/schedstat") as stat:
            return int(stat.read().split()[0]) / 1e9

    def rss_bytes(self):
        with open(f"/proc/{self.popen.pid}/status") as status:
            return int(re.search(r"VmRSS:\s+(\d+)", status.read()).group(1)) * 1024

    def metrics(self):
        return parse_metrics(call(self.port, "GET", "/metrics")[1])

    def state(self):
        return json.loads(call(self.port, "GET", "/v1/state")[1])

    # Sends the signal `number` unless the process has ended, then waits for its end.
    def stop(self, number=signal.SIGKILL):
        if self.popen.poll() is None:
            self.popen.send_signal(number)
        self.popen.wait()


class Fleet:
    """A store, entries, agents and targets on 400 loopback ports from `base`.

    Raises RuntimeError if they do not find each other within START_LIMIT_SECONDS.
    """

    def __init__(self, build, base, entries, agents, teams=3, services=1, slots=2):
        self.build = pathlib.Path(build)
        self.base = base
        self.slots = slots
        self.service_names = [f"service-number-{i}" for i in range(services)]
        self.team_names = [f"team-number-{i}" for i in range(teams)]
        self.work = tempfile.mkdtemp(prefix="capacity-")
        self.entries, self.agents, self.others = [], [], []
        try:
            self._start(entries, agents)
        except BaseException:
            self.stop()
            raise

    def _run(self, name, port, *command):
        return Process([str(part) for part in command], f"{self.work}/{name}.log", port)

    def _settings(self, name, zone, zmq, port, extra):
        path = f"{self.work}/{name}.json"
        seeds = [f"tcp://127.0.0.1:{self.base + 21 + i}" for i in range(2)]
        body = {"zone": zone, "endpoint": f"tcp://127.0.0.1:{zmq}", "seeds": seeds,
                "http": {"address": "127.0.0.1", "port": port}, **extra}
        pathlib.Path(path).write_text(json.dumps(body))
        return path

    def _start(self, entries, agents):
        base, binary = self.base, self.build / "bamboohead"
        self.store = self._run("store", base, self.build / "standins", "store", "--port", base)
        self.others.append(self.store)
        for i in range(entries):
            extra = {"entry": {"store": [f"127.0.0.1:{base}"]}}
            extra["http"] = {"address": "127.0.0.1", "port": base + 51 + i, "max_connections": 64}
            path = self._settings(f"entry-{i}", ZONES[i % 4], base + 21 + i, base + 51 + i, extra)
            self.entries.append(self._run(f"entry-{i}", base + 51 + i, binary, "entry",
                                          "--settings", path))
        time.sleep(1)
        targets = []
        for i in range(agents):
            path = self._settings(f"agent-{i}", ZONES[i % 4], base + 200 + i, base + 100 + i, {})
            self.agents.append(self._run(f"agent-{i}", base + 100 + i, binary, "agent",
                                         "--settings", path))
            service = self.service_names[i % len(self.service_names)]
            targets += ["--target", f"{base + 300 + i},{service},{self.slots},"
                                    f"127.0.0.1:{base + 100 + i}"]
        self.others.append(self._run("targets", base + 90, self.build / "standins", "target",
                                     *targets, "--admin-port", base + 90,
                                     "--behaviour", '{"echo": true}'))
        self.apply(1)
        self._await(agents)

    def _await(self, agents):
        limit = time.monotonic() + START_LIMIT_SECONDS
        # An agent chooses 6 entries. With more entries than that, not every entry has all agents.
        wanted = agents if len(self.entries) <= 6 else 1
        while time.monotonic() < limit:
            known = [len([a for a in e.state().get("agents", []) if a.get("alive")])
                     for e in self.entries]
            peers = [len(e.state().get("entries", [])) for e in self.entries]
            if min(known) >= wanted and min(peers) >= len(self.entries) - 1:
                return
            time.sleep(0.2)
        raise RuntimeError(f"fleet not connected within {START_LIMIT_SECONDS} s: per entry, agents "
                           f"alive {known}, other entries {peers}")

    def manifest(self, weight):
        teams = {name: {"weight": weight, "max_running": 100000} for name in self.team_names}
        services = {name: {"weight": 1, "default_deadline_ms": 60000}
                    for name in self.service_names}
        return json.dumps({"zones": {zone: {"state": "in"} for zone in ZONES},
                           "services": services, "teams": teams})

    def apply(self, weight):
        """Applies a manifest; returns the wall time in seconds until the tool reports it in force.

        Calls the tool until a call succeeds; raises RuntimeError after 50 failed calls.
        """
        path = f"{self.work}/manifest.json"
        pathlib.Path(path).write_text(self.manifest(weight))
        entries = ",".join(f"127.0.0.1:{e.port}" for e in self.entries)
        for _ in range(50):
            begin = time.monotonic()
            done = subprocess.run([str(self.build / "bamboohead"), "manifest", "apply", path,
                                   "--store", f"127.0.0.1:{self.base}", "--entries", entries],
                                  capture_output=True, text=True)
            if done.returncode == 0:
                return time.monotonic() - begin
            time.sleep(0.2)
        raise RuntimeError("manifest apply failed 50 times; last output: "
                           f"{done.stdout} {done.stderr}")

    def store_calls(self):
        return json.loads(call(self.base, "GET", "/admin/counters")[1])

    def stop(self):
        for process in self.agents + self.entries + self.others:
            process.stop()
        shutil.rmtree(self.work, ignore_errors=True)

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.stop()


def snapshot(group):
    return [(p.cpu_seconds(), p.metrics(), p.control_cpu_seconds()) for p in group]


def totals(group, before, seconds):
    """Mean per process of a group: CPU time and traffic by kind since `before`, present RSS."""
    after = snapshot(group)
    count = len(group)
    kinds = {}
    sums = {"sent_messages": 0, "sent_bytes": 0, "received_messages": 0, "received_bytes": 0}
    for (_, old, _), (_, new, _) in zip(before, after):
        for series, value in new.items():
            found = re.match(r'bamboohead_kind_(\w+)_(sent|received)_total{kind="(\w+)"}', series)
            if found:
                unit, direction, kind = found.groups()
                increase = (value - old.get(series, 0)) / count
                sums[f"{direction}_{unit}"] += increase
                kinds[f"{direction}_{unit}:{kind}"] = (kinds.get(f"{direction}_{unit}:{kind}", 0)
                                                       + increase)
    cpu = sum(new[0] - old[0] for old, new in zip(before, after)) / count
    control = sum(new[2] - old[2] for old, new in zip(before, after)) / count
    return {"seconds": seconds, "cpu_seconds": cpu, "control_cpu_seconds": control,
            "kinds": kinds, **sums, "rss_bytes": sum(p.rss_bytes() for p in group) / count}


def measure(fleet, work):
    """Runs `work` and returns the use of entries, agents and store meanwhile."""
    entries, agents = snapshot(fleet.entries), snapshot(fleet.agents)
    calls = fleet.store_calls()
    begin = time.monotonic()
    work()
    seconds = time.monotonic() - begin
    after = fleet.store_calls()
    return {"entry": totals(fleet.entries, entries, seconds),
            "agent": totals(fleet.agents, agents, seconds), "seconds": seconds,
            "store_calls": {kind: after.get(kind, 0) - calls.get(kind, 0) for kind in after},
            "load_average": os.getloadavg()[0]}


def idle(experiment, build, base, changes=0, **sizes):
    with Fleet(build, base, **sizes) as fleet:
        time.sleep(SETTLE_SECONDS)
        row = {"experiment": experiment, **sizes,
               **measure(fleet, lambda: time.sleep(IDLE_SECONDS))}
        row["state_bytes"] = len(call(fleet.entries[0].port, "GET", "/v1/state")[1])
        if changes:
            times = []
            tool = resource.getrusage(resource.RUSAGE_CHILDREN)
            row["config"] = measure(
                fleet, lambda: times.extend(fleet.apply(2 + i) for i in range(changes)))
            ended = resource.getrusage(resource.RUSAGE_CHILDREN)
            row["tool_cpu_seconds"] = (ended.ru_utime + ended.ru_stime
                                       - tool.ru_utime - tool.ru_stime) / changes
            row["tool_rss_bytes"] = ended.ru_maxrss * 1024
            row["config_seconds"] = times
            row["manifest_bytes"] = len(fleet.manifest(2))
    return row


def submit_all(fleet, tasks, jobs, callers, run_ms, entry=None):
    """Submits jobs from several callers; returns the number of jobs with the outcome complete.

    Waits for all answers. All callers use `entry`, or are spread over the entries if it is None.
    """
    complete = []

    def caller(number):
        port = (fleet.entries[number % len(fleet.entries)] if entry is None else entry).port
        session = json.loads(call(port, "POST", "/v1/sessions")[1])["session"]
        for job in range(number, jobs, callers):
            body = json.dumps({"id": "j" + session[1:] + f".{job + 1}", "team": "team-number-0",
                               "service": "service-number-0", "deadline_ms": 60000,
                               "tasks": [{"payload": f"run_ms={run_ms};" + "p" * 50}] * tasks})
            try:
                _, text = call(port, "POST", "/v1/jobs", body)
                complete.append(json.loads(text)["outcome"] == "complete")
            except (OSError, http.client.HTTPException):
                complete.append(False)

    threads = [threading.Thread(target=caller, args=(i,)) for i in range(callers)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return sum(complete)


def load_once(fleet, tasks, jobs):
    done = []
    row = measure(fleet, lambda: done.append(submit_all(fleet, tasks, jobs, 6, 20)))
    if done[0] != jobs:
        raise RuntimeError(f"only {done[0]} of {jobs} jobs were complete")
    return {"tasks": tasks, "jobs": jobs, "complete": done[0], **row}


def least_cpu_row(rows):
    """Returns the row with the least CPU time. Other work on the machine can only add to it.

    The weights are the numbers of entries and agents in load().
    """
    return min(rows, key=lambda row: 3 * row["entry"]["cpu_seconds"]
               + 16 * row["agent"]["cpu_seconds"])


def load(build, base, sizes, starts):
    """Measures jobs of each size in tasks on one fleet, with about `starts` tasks per size."""
    rows = []
    with Fleet(build, base, entries=3, agents=16, slots=8) as fleet:
        time.sleep(SETTLE_SECONDS)
        idle_use = measure(fleet, lambda: time.sleep(IDLE_SECONDS))
        for tasks in sizes:
            row = least_cpu_row([load_once(fleet, tasks, max(6, starts // tasks))
                                 for _ in range(LOAD_REPEATS)])
            for side in ("entry", "agent"):
                for name in ("cpu", "control"):
                    field = "cpu_seconds" if name == "cpu" else "control_cpu_seconds"
                    row[f"idle_{side}_{name}_per_second"] = \
                        idle_use[side][field] / idle_use["seconds"]
            rows.append({"experiment": "load_by_tasks", "entries": 3, "agents": 16, **row})
    return rows


def takeover(build, base, jobs):
    """Kills an entry with running jobs; measures the time until its backup ends the takeover.

    The time is None if the takeover does not end within 10 s.
    """
    tasks, agents = 8, 16
    with Fleet(build, base, entries=2, agents=agents, slots=8) as fleet:
        time.sleep(SETTLE_SECONDS)
        killed_entry, backup = fleet.entries
        submitter = threading.Thread(target=submit_all,
                                     args=(fleet, tasks, jobs, jobs, 1500, killed_entry))
        submitter.start()
        time.sleep(1.2)
        before = snapshot([backup])
        killed_entry.stop()
        begin = time.monotonic()
        seconds = None
        while time.monotonic() - begin < 10 and seconds is None:
            if "takeover_end" in backup.log.read_text():
                seconds = time.monotonic() - begin
            time.sleep(0.01)
        after = totals([backup], before, time.monotonic() - begin)
        submitter.join()
    return {"experiment": "takeover_by_jobs", "entries": 2, "agents": agents, "jobs": jobs,
            "tasks": tasks, "takeover_seconds": seconds, "entry": after,
            "load_average": os.getloadavg()[0]}


def run_all(build, base, log_progress):
    """Runs all experiments in sequence; returns their rows. Calls `log_progress` after each row."""
    rows = []

    def add(measured):
        for row in measured if isinstance(measured, list) else [measured]:
            log_progress(f"{row['experiment']} entries {row['entries']} agents {row['agents']}")
            rows.append(row)

    for agents in (8, 16, 32, 64):
        add(idle("idle_by_agents", build, base, changes=8, entries=3, agents=agents))
    add(load(build, base, (1, 10, 25, 50, 100, 200), 2000))
    for entries in (2, 4, 8, 12):
        add(idle("idle_by_entries", build, base, changes=8, entries=entries, agents=8))
    for jobs in (5, 10, 20, 40):
        add(takeover(build, base, jobs))
    for teams in (3, 30, 60, 110):
        add(idle("idle_by_teams", build, base, changes=2, entries=3, agents=8, teams=teams))
    for services in (1, 10, 30, 60):
        add(idle("idle_by_services", build, base, entries=3, agents=8, services=services))
    return rows
