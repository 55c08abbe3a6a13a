"""Stand-ins of the platform for the cases in review/: store, runners, clients, balancer, process starter.

Only Python's standard library is used. All addresses are loopback addresses of one random network 127.A.B.0/24.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import traceback
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
FRONT_PORT, READY_PORT, CONTROL_PORT, PLATFORM_PORT, RUNNER_PORT = 8161, 8167, 8166, 8169, 8080
INTERNAL_PORTS = [7720, 7735]
METRICS_PORT = 9464
CALL_DELAY_S = 2.0  # a call that is executed late gets no answer until then
TIME_LIMIT_S = 110  # of a whole script; the limit for a case is 120 s

# Figures of the installations, as in the settings of a process (`bounds`, `heartbeatMs`).
HEARTBEAT_S = 1.5
DRAIN_S, CANCEL_S, CONFIG_APPLY_S, STOP_S, HOLD_MAX_S, RETRY_S, REUSE_AFTER_S, CONTACT_S = \
    2.0, 3.0, 2.0, 0.05, 1.0, 1.3, 2.0, 3.0


class CannotRun(Exception):
    """The case could not be played as planned, so it says nothing about the rule."""


class Record:
    """Writes what was sent, answered and run, one line per event with the time in seconds from the start."""

    def __init__(self, path):
        self.begin = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.begin

    def __call__(self, event, **fields):
        text = " ".join(f"{name}={json.dumps(value)}" for name, value in fields.items())
        self.file.write(f"{self.now():8.3f} {event} {text}\n")
        self.file.flush()


# HTTP


class Request:
    def __init__(self, method, target, headers, body):
        self.method, self.headers, self.body = method, headers, body
        parts = urllib.parse.urlsplit(target)
        self.path = parts.path
        self.query = dict(urllib.parse.parse_qsl(parts.query, keep_blank_values=True))

    def json(self):
        return json.loads(self.body or b"{}")


DROP = object()  # result of a handler that closes the connection without a response


async def read_message(reader):
    """Reads the first line, headers and body of a request or response; None at the end of the connection."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return lines[0], headers, body


def abort(writer):
    """Closes a connection with a reset."""
    try:
        raw = writer.get_extra_info("socket")
        if raw is not None:
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    except OSError:
        pass  # already closed
    writer.transport.abort()


class HttpServer:
    """HTTP/1.1 server; `handler` returns (status, object of the JSON body) or DROP."""

    def __init__(self, host, port, handler):
        self.host, self.port, self.handler = host, port, handler
        self.server = None
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.accept, self.host, self.port, reuse_address=True)

    def stop(self):
        """Closes the port and resets all connections, as the end of a process does."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            abort(writer)

    async def accept(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, headers, body = await read_message(reader)
                method, target, _ = line.split(" ")
                result = await self.handler(Request(method, target, headers, body))
                if result is DROP:
                    abort(writer)
                    return
                status, value = result
                data = json.dumps(value).encode()
                writer.write(f"HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\n"
                             f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Channel:
    """A client's connection to one address. `reset` breaks it, also while a response is awaited."""

    def __init__(self, host, port):
        self.host, self.port = host, port
        self.reader = self.writer = None

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection(self.host, self.port)
        return self

    async def request(self, method, target, host, body=None, headers=None):
        """Returns (status, decoded body), or None when the connection breaks before the response."""
        data = b"" if body is None else json.dumps(body).encode()
        lines = [f"{method} {target} HTTP/1.1", f"Content-Length: {len(data)}"]
        if "Host" not in (headers or {}):
            lines.append(f"Host: {host}")
        if body is not None:
            lines.append("Content-Type: application/json")
        lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
        try:
            self.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + data)
            await self.writer.drain()
            line, _, answer = await read_message(self.reader)
        except (OSError, asyncio.IncompleteReadError):
            return None
        return int(line.split(" ")[1]), json.loads(answer) if answer else None

    def reset(self):
        abort(self.writer)

    def close(self):
        self.writer.close()


async def call(address, method, target, body=None, headers=None, timeout=1.0):
    """One request on a new connection; None without a response in time."""
    host, port = address.split(":")
    channel = Channel(host, int(port))

    async def run():
        await channel.open()
        return await channel.request(method, target, address, body, headers)

    try:
        return await asyncio.wait_for(run(), timeout)
    except (OSError, asyncio.TimeoutError):
        return None
    finally:
        if channel.writer is not None:
            channel.close()


# Store


class Store:
    """The platform's store. `delay_s` is the time that each answer takes."""

    page_items, page_bytes = 500, 1_000_000  # a page ends at the first of these limits, and has one item at least
    history_s = 20.0  # changes are kept for watches for this long

    def __init__(self, record, host):
        self.record = record
        self.address = f"{host}:{PLATFORM_PORT}"
        self.server = HttpServer(host, PLATFORM_PORT, self.handle)
        self.items = {}
        self.leases = {}
        self.events = []  # (time, event) of the last `history_s`
        self.oldest_revision = 0  # watches from before it get 410
        self.revision = 10
        self.last_lease = 0
        self.delay_s = 0.004
        self.changed = asyncio.Event()
        self.on_page = None  # called with (query, names of the items of the page) when a page has been read

    async def start(self):
        await self.server.start()
        asyncio.create_task(self.expire_leases())

    # Writes

    def write(self, key, value, lease=0):
        self.revision += 1
        created = self.items[key]["created"] if key in self.items else self.revision
        self.items[key] = {"key": key, "value": base64.b64encode(value).decode(), "revision": self.revision,
                           "created": created, "lease": lease}
        self.events.append((time.monotonic(), dict(self.items[key])))
        self.wake()

    def erase(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.events.append((time.monotonic(), {"key": key, "revision": self.revision, "deleted": True}))
            self.wake()

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def forget(self):
        while self.events and time.monotonic() - self.events[0][0] > self.history_s:
            self.oldest_revision = self.events.pop(0)[1]["revision"]

    def operator_writes(self, key, value):
        """A write of the operator; its return is the ack."""
        self.write(key, json.dumps(value).encode())
        self.record("operator_acked", key=key, revision=self.revision, version=value.get("version"))

    async def expire_leases(self):
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for number in [n for n, lease in self.leases.items() if lease[0] <= now]:
                self.end_lease(number)

    def end_lease(self, number):
        del self.leases[number]
        for key in [k for k, item in self.items.items() if item["lease"] == number]:
            self.erase(key)

    # Calls

    async def handle(self, request):
        await asyncio.sleep(self.delay_s / 2)
        result = await self.execute(request)
        await asyncio.sleep(self.delay_s / 2)
        return result

    async def execute(self, request):
        method, path = request.method, request.path
        if (method, path) == ("GET", "/kv-range"):
            return self.list_items(request.query)
        if (method, path) == ("GET", "/kv-watch"):
            return await self.watch(request.query)
        if (method, path) == ("GET", "/kv-key"):
            item = self.items.get(request.query["key"])
            return (200, {**item, "currentRev": self.revision}) if item else (404, {"currentRev": self.revision})
        if (method, path) == ("POST", "/kv-txn"):
            return self.transaction(request.json())
        if (method, path) == ("POST", "/kv-lease"):
            ttl_s = max(1.0, min(600.0, request.json()["ttlMs"] / 1000))
            self.last_lease += 1
            self.leases[self.last_lease] = [time.monotonic() + ttl_s, ttl_s]
            return 200, {"lease": self.last_lease, "ttlMs": int(ttl_s * 1000)}
        if method == "POST" and path.startswith("/kv-keep/"):
            lease = self.leases.get(int(path.rsplit("/", 1)[1]))
            if lease is None:
                return 404, {}
            lease[0] = time.monotonic() + lease[1]
            return 200, {"ttlMs": int(lease[1] * 1000)}
        if method == "DELETE" and path.startswith("/kv-lease-end/"):
            number = int(path.rsplit("/", 1)[1])
            if number not in self.leases:
                return 404, {}
            self.end_lease(number)
            return 200, {}
        return 404, {}

    def list_items(self, query):
        keys = sorted(k for k in self.items if k.startswith(query["prefix"]) and k > query.get("after", ""))
        page, size = [], 0
        for key in keys[:self.page_items]:
            size += len(self.items[key]["value"])
            if page and size > self.page_bytes:
                break
            page.append(key)
        answer = {"items": [self.items[k] for k in page], "hasMore": len(keys) > len(page),
                  "currentRev": self.revision}
        if self.on_page is not None:
            self.on_page(query, page)
        return 200, answer

    async def watch(self, query):
        prefix, after = query["prefix"], int(query["after"])
        end = time.monotonic() + int(query.get("waitMs", "0")) / 1000
        self.forget()
        if after < self.oldest_revision:
            return 410, {"currentRev": self.revision}
        while True:
            found = [e for _, e in self.events if e["revision"] > after and e["key"].startswith(prefix)]
            left = end - time.monotonic()
            if found or left <= 0:
                return 200, {"events": found, "currentRev": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def transaction(self, body):
        if any(w["key"].startswith(("op/", "servers/")) for w in body.get("writes", [])):
            return 403, {}
        if any(w.get("lease", 0) and w["lease"] not in self.leases for w in body.get("writes", [])):
            return 404, {}
        expected = body.get("expect", [])
        if any(self.items.get(row["key"], {}).get("revision", 0) != row["revision"] for row in expected):
            return 412, {"items": [self.items[row["key"]] for row in expected if row["key"] in self.items]}
        for row in body.get("writes", []):
            self.write(row["key"], base64.b64decode(row["value"]), row.get("lease", 0))
        for key in body.get("remove", []):
            self.erase(key)
        return 200, {"revision": self.revision}


# Runners


class Run:
    def __init__(self, number, spec):
        self.number, self.spec = number, spec
        self.stopping = False
        self.timer = None


class Runner:
    """A runner: leases, fences, runs and ends as PROTOCOL.md describes. A task's text says how long it runs:
    {"ms": N}. `watcher` is called with (event, runner, task, run, text) for each start and end.
    """

    def __init__(self, record, watcher, machine, host, agent, zone, service, labels, cpu):
        self.record, self.watcher, self.machine, self.host = record, watcher, machine, host
        self.agent, self.zone, self.service, self.labels, self.cpu = agent, zone, service, labels, cpu
        self.server = HttpServer(host, RUNNER_PORT, self.handle)
        self.lives = 0
        self.up = False
        self.state = "ready"
        self.delayed = []  # calls that got no answer and are executed late
        self.delays = lambda request: False  # whether a call is to be one of them
        self.beating = asyncio.create_task(self.beat())
        self.expiring = asyncio.create_task(self.expire_lease())

    async def begin_life(self, labels=None, keep_id=False):
        self.lives += 1
        if labels is not None:
            self.labels = labels
        if not keep_id or self.lives == 1:
            self.id = f"i-{self.machine}-{self.lives}"
        self.born_ms = int(time.time() * 1000)
        self.begin = time.monotonic()
        self.offset_ms = 0  # the clock starts anew in each life
        self.fence = self.seq = self.last_end = 0
        self.runs, self.ends, self.highest_ended = {}, [], {}
        self.until_ms = 0
        self.state = "ready"
        self.end_event = asyncio.Event()
        self.up = True
        self.record("runner_begins", machine=self.machine, id=self.id, labels=self.labels, cpu=self.cpu)
        for request in self.delayed:  # reach the runner as soon as it is back
            self.record("late_call", path=request.path, answer=await self.handle(request))
        self.delayed = []
        await self.server.start()
        await self.report()

    def crash(self):
        self.up = False
        self.server.stop()
        self.record("runner_crashes", machine=self.machine, id=self.id, running=len(self.runs))
        for task in list(self.runs):
            self.end(task, "crash")
        self.end_event.set()

    def clock_ms(self):
        return int(self.offset_ms + (time.monotonic() - self.begin) * 1000 * 0.99)

    async def beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            if self.up:
                await self.report()

    def report_body(self):
        self.seq += 1
        return {"service": self.service, "address": f"{self.host}:{RUNNER_PORT}", "zone": self.zone, "version": "v1",
                "slots": 8, "state": self.state, "coldLeftMs": 0, "clockMs": self.clock_ms(), "seq": self.seq,
                "capacity": {"cpu": self.cpu, "memMb": 65536, "gpu": 0}, "labels": self.labels,
                "born": self.born_ms, "machine": self.machine}

    async def report(self):
        body = self.report_body()
        answer = await call(self.agent, "PUT", f"/instances/{self.id}", body)
        self.record("report", id=self.id, seq=body["seq"], state=body["state"], answer=answer and answer[0])
        return answer is not None and answer[0] // 100 == 2

    async def expire_lease(self):
        while True:
            await asyncio.sleep(0.005)
            if self.up and self.runs and self.clock_ms() > self.until_ms:
                for task in list(self.runs):
                    self.end(task, "lapsed")

    # Calls

    async def handle(self, request):
        if not self.up:
            return DROP
        if self.delays(request):
            self.delayed.append(request)
            self.record("call_left_unanswered", id=self.id, path=request.path)
            await asyncio.sleep(CALL_DELAY_S)
            return DROP
        life = self.lives
        body = request.json()
        if request.headers.get("x-bamboohead-target-instance", self.id) != self.id:
            return 421, {"clockMs": self.clock_ms()}
        if body.get("fence", 0) < self.fence:
            return self.refusal("fence")
        self.fence = body.get("fence", 0)
        if request.path == "/run-start":
            result = self.run_start(body)
        elif request.path == "/run-stop":
            result = self.run_stop(body)
        elif request.path == "/hold":
            result = await self.hold(body)
        else:
            result = 404, {}
        return result if self.up and self.lives == life else DROP

    def refusal(self, reason):
        return 409, {"clockMs": self.clock_ms(), "reason": reason}

    def extend_lease(self, until_ms):
        self.until_ms = max(self.until_ms, min(until_ms, self.clock_ms() + int(HOLD_MAX_S * 1000)))

    def run_start(self, body):
        task, number = body["task"], body["run"]
        if body["untilMs"] <= self.clock_ms():
            return self.refusal("late")
        self.extend_lease(body["untilMs"])
        current = self.runs.get(task)
        if current is not None and current.number == number:
            return 200, {"clockMs": self.clock_ms()}
        if current is not None or number <= self.highest_ended.get(task, 0):
            return self.refusal("old")
        run = Run(number, body["taskSpec"])
        self.runs[task] = run
        run.timer = asyncio.get_running_loop().call_later(json.loads(run.spec)["ms"] / 1000, self.end, task, "done")
        self.record("start", task=task, run=number, runner=self.id, labels=self.labels)
        self.watcher("start", self, task, number, run.spec)
        return 200, {"clockMs": self.clock_ms()}

    def run_stop(self, body):
        task, number = body["task"], body["run"]
        self.highest_ended[task] = max(self.highest_ended.get(task, 0), number)
        run = self.runs.get(task)
        if run is not None and run.number == number and not run.stopping:
            run.stopping = True
            run.timer.cancel()
            run.timer = asyncio.get_running_loop().call_later(STOP_S * 0.6, self.end, task, "stopped")
        return 200, {"clockMs": self.clock_ms()}

    async def hold(self, body):
        if "untilMs" in body:
            self.extend_lease(body["untilMs"])
        self.ends = [end for end in self.ends if end[0] > body["seenUpto"]]
        if not self.ends and body.get("waitMs", 0):
            self.end_event.clear()
            try:
                await asyncio.wait_for(self.end_event.wait(), min(body["waitMs"], 2000) / 1000)
            except asyncio.TimeoutError:
                pass
        return 200, {"clockMs": self.clock_ms(), "born": self.born_ms,
                     "running": [[task, run.number, "", 0, 100] for task, run in self.runs.items()],
                     "ended": self.ends[:500]}

    def end(self, task, how):
        run = self.runs.pop(task)
        run.timer.cancel()
        self.highest_ended[task] = max(self.highest_ended.get(task, 0), run.number)
        if how != "crash":
            self.last_end += 1
            self.ends.append([self.last_end, task, run.number, how, ""])
        self.record("end", task=task, run=run.number, runner=self.id, how=how)
        self.watcher("end", self, task, run.number, how)
        self.end_event.set()


# The system's processes


def fill_template(text, fields):
    def value(match):
        path, _, form = match.group(1).partition("|")
        found = fields
        for part in path.split("."):
            found = found[int(part)] if isinstance(found, list) else found[part]
        return json.dumps(found) if form == "json" else str(found)
    return re.sub(r"\{\{([^}#^/]+)\}\}", value, text)


class Process:
    """A program of the deploy file on one machine, with its own loopback address."""

    def __init__(self, fleet, name, role, host, zone):
        self.fleet, self.name, self.role, self.host, self.zone = fleet, name, role, host, zone
        self.front = f"{host}:{FRONT_PORT}"
        self.ready_address = f"{host}:{READY_PORT}"
        self.control = f"{host}:{CONTROL_PORT}"
        self.ready = False
        self.misses = 0
        self.child = None

    def start(self):
        role = self.fleet.roles[self.role]
        fields = {"node": self.name, "zone": self.zone, "ip": self.host, "internalPorts": INTERNAL_PORTS,
                  "listen": {"front": self.front, "ready": self.ready_address, "control": self.control},
                  "platform": {"address": self.fleet.store.address}, "seeds": self.fleet.seeds}
        settings = self.fleet.folder / f"{self.name}.json"
        settings.write_text(fill_template((ROOT / role["template"]).read_text(), fields))
        command = [str(settings) if part == "/etc/bamboohead/local.yaml" else part for part in role["run"].split()]
        log = open(self.fleet.folder / f"{self.name}.log", "ab")
        self.child = subprocess.Popen(command, cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        log.close()
        self.fleet.record("process_started", name=self.name)

    def send(self, number):
        self.fleet.record("signal", name=self.name, signal=signal.Signals(number).name)
        self.child.send_signal(number)

    async def exit(self, timeout):
        end = time.monotonic() + timeout
        while self.child.poll() is None and time.monotonic() < end:
            await asyncio.sleep(0.02)
        return self.child.poll()


class Fleet:
    """Entries on `edge` machines and agents on `side` machines, one zone each in turn, and the platform around them."""

    def __init__(self, record, entries, sides, zones=("wien-a", "wien-b", "graz-a", "linz-a")):
        import tomllib
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="bamboohead-review-"))
        self.roles = {role["on"]: role for role in
                      tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"].values()}
        if not (ROOT / "target/bamboohead").exists():
            raise CannotRun("target/bamboohead is missing: run the build of the deploy file")
        self.net = self.find_free_net(entries + sides)
        self.store = Store(record, f"{self.net}.1")
        self.entries = [Process(self, f"edge-{n}", "edge", f"{self.net}.{10 + n}", zones[n % len(zones)])
                        for n in range(entries)]
        self.agents = [Process(self, f"side-{n}", "side", f"{self.net}.{100 + n}", zones[n % len(zones)])
                       for n in range(sides)]
        self.seeds = [process.control for process in self.agents[:3]]
        self.runners = []

    @staticmethod
    def find_free_net(machines):
        for _ in range(20):
            net = f"127.{random.randrange(10, 250)}.{random.randrange(1, 250)}"
            try:
                for host in [1, *range(10, 10 + machines), *range(100, 100 + machines)]:
                    for port in (FRONT_PORT, READY_PORT, CONTROL_PORT, PLATFORM_PORT, RUNNER_PORT, INTERNAL_PORTS[0],
                                 METRICS_PORT):
                        with socket.socket() as probe:
                            probe.bind((f"{net}.{host}", port))
                return net
            except OSError:
                continue
        raise CannotRun("no free loopback network")

    async def start(self, config):
        self.store.write("op/config", json.dumps(config).encode())
        await self.store.start()
        for process in [*self.entries, *self.agents]:
            process.start()
        self.probing = asyncio.create_task(self.probe())

    async def probe(self):
        """The platform's readiness checks, once a second; a node is out of rotation after two misses."""
        async def check(entry):
            answer = await call(entry.ready_address, "GET", "/readiness")
            if answer is not None and answer[0] == 200:
                entry.misses, entry.ready = 0, True
            else:
                entry.misses += 1
                entry.ready = entry.ready and entry.misses < 2
        while True:
            await asyncio.gather(*(check(entry) for entry in self.entries), asyncio.sleep(1.0))

    async def until(self, what, condition, timeout=20.0):
        end = time.monotonic() + timeout
        while not condition():
            if time.monotonic() > end:
                raise CannotRun(f"not reached within {timeout} s: {what}")
            await asyncio.sleep(0.05)

    async def until_ready(self):
        await self.until("all entries are ready", lambda: all(entry.ready for entry in self.entries))

    def check_alive(self):
        for process in [*self.entries, *self.agents]:
            if process.child is not None and process.child.poll() is not None:
                raise CannotRun(f"{process.name} has exited with {process.child.returncode}")

    def close(self):
        for process in [*self.entries, *self.agents]:
            if process.child is not None and process.child.poll() is None:
                process.child.kill()
        for process in [*self.entries, *self.agents]:
            if process.child is not None:
                process.child.wait()
        if os.environ.get("KEEP"):
            print(f"logs: {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def route(name, host, prefix, service, **more):
    return {"name": name, "host": host, "prefix": prefix, "service": service, "priority": 0, "maxAttempts": 3,
            "stretch": 1.6, "targetLatencyMs": 60, "timeoutMs": 30000, **more}


def job_id():
    return f"{random.getrandbits(64):016x}"


def main(play, folder):
    """Runs `play(record, trouble)`, which returns a list of texts, one for each breach of the rule."""
    record = Record(pathlib.Path(folder) / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record("case", trouble=trouble)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        breaches = asyncio.run(asyncio.wait_for(play(record, trouble), TIME_LIMIT_S))
    except Exception as error:  # any failure of the stand-ins means that the case could not run
        record("cannot_run", error=repr(error))
        traceback.print_exc()
        sys.exit(2)
    for text in breaches[:10]:
        record("breach", text=text)
        print(text)
    print(f"{'broken' if breaches else 'held'}: {len(breaches)} breaches")
    sys.exit(1 if breaches else 0)
