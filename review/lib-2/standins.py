"""Stand-ins of the platform, for the cases of the second review: the metadata store, runners, the address that
forwards the clients' channels to the entry nodes, and clients. Uses the standard library of Python only.

A machine has its own loopback address, so that the ports are the same on all machines, as on the platform.
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
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
FRONT, READY, CONTROL, STORE, APP = 8161, 8167, 8166, 8169, 8080
INTERNAL_PORTS = [7720, 7735]
HEARTBEAT_S = 1.5
HOLD_MAX_S = 1.0  # the bound holdMaxMs
STOP_S = 0.03  # below the bound stopMs


class Record:
    """The file record.txt of a case: what was sent, answered and run, with the seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.begin = time.monotonic()

    def now(self):
        return time.monotonic() - self.begin

    def write(self, event, **fields):
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{self.now():8.3f} {event} {text}\n")
        self.file.flush()


# HTTP


async def read_message(reader):
    """Reads a request or a response. Returns its first line, headers and body, or None at the end of the channel."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    try:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return lines[0], headers, body


def encode_response(status, body):
    content = json.dumps(body).encode()
    return (f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(content)}\r\n\r\n").encode() + content


async def serve(host, port, handler):
    """Serves HTTP: `handler(method, path, headers, body)` returns (status, object), or None to close the channel."""

    async def accept(reader, writer):
        try:
            while message := await read_message(reader):
                method, path, _ = message[0].split(" ")
                answer = await handler(method, path, message[1], message[2])
                if answer is None:
                    break
                writer.write(encode_response(*answer))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(accept, host, port)


async def request(address, method, path, body=None, headers=None, timeout=10.0):
    """Sends a request on a new channel. Returns (status, object); (0, reason) when no answer came."""
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(*address)
            content = b"" if body is None else json.dumps(body).encode()
            fields = {"Host": f"{address[0]}:{address[1]}", "Content-Type": "application/json",
                      "Content-Length": str(len(content)), **(headers or {})}
            head = f"{method} {path} HTTP/1.1\r\n" + "".join(f"{n}: {v}\r\n" for n, v in fields.items()) + "\r\n"
            writer.write(head.encode() + content)
            await writer.drain()
            message = await read_message(reader)
            if message is None:
                return 0, "channel ended"
            return int(message[0].split(" ")[1]), json.loads(message[2] or b"{}")
    except TimeoutError:
        return 0, "no answer in time"
    except OSError as error:
        return 0, type(error).__name__
    finally:
        if writer is not None:
            writer.close()


# The platform's store


class Store:
    """The metadata store. Each machine reaches it at an address of its own; calls and answers of
    machines in `cut` are held up."""

    def __init__(self):
        self.items = {}
        self.events = []
        self.revision = 10
        self.leases = {}
        self.last_lease = 0
        self.cut = set()
        self.changed = asyncio.Event()

    async def start(self, host, machine):
        async def handle(method, path, headers, body):
            await self.until_reachable(machine)
            answer = await self.handle(method, path, body)
            await self.until_reachable(machine)
            return answer

        await serve(host, STORE, handle)

    async def until_reachable(self, machine):
        """Holds up what is on its way while the path between the store and the machine is cut."""
        while machine in self.cut:
            await asyncio.sleep(0.005)

    def put(self, key, value, lease=0):
        self.revision += 1
        created = self.items[key]["created"] if key in self.items else self.revision
        self.items[key] = {"key": key, "value": base64.b64encode(value).decode(), "revision": self.revision,
                           "created": created, "lease": lease}
        self.notify(dict(self.items[key]))

    def remove(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.notify({"key": key, "revision": self.revision, "deleted": True})

    def notify(self, event):
        self.events.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    async def expire_leases(self):
        while True:
            await asyncio.sleep(0.05)
            for number in [n for n, (end, _) in self.leases.items() if end <= time.monotonic()]:
                self.end_lease(number)

    def end_lease(self, number):
        del self.leases[number]
        for key in [k for k, item in self.items.items() if item["lease"] == number]:
            self.remove(key)

    async def handle(self, method, path, body):
        path, _, query_text = path.partition("?")
        query = dict(pair.split("=", 1) for pair in query_text.split("&") if pair)
        call = json.loads(body) if body else {}
        if path == "/kv-range":
            keys = sorted(k for k in self.items if k.startswith(query["prefix"]) and k > query.get("after", ""))
            return 200, {"items": [self.items[k] for k in keys], "hasMore": False, "currentRev": self.revision}
        if path == "/kv-watch":
            return await self.watch(query)
        if path == "/kv-txn":
            return self.transaction(call)
        if path == "/kv-lease":
            self.last_lease += 1
            length = call["ttlMs"] / 1000
            self.leases[self.last_lease] = (time.monotonic() + length, length)
            return 200, {"lease": self.last_lease, "ttlMs": call["ttlMs"]}
        number = int(path.rsplit("/", 1)[1]) if path.rsplit("/", 1)[1].isdigit() else 0
        if number not in self.leases:
            return 404, {}
        if path.startswith("/kv-keep/"):
            length = self.leases[number][1]
            self.leases[number] = (time.monotonic() + length, length)
            return 200, {"ttlMs": int(length * 1000)}
        self.end_lease(number)
        return 200, {}

    async def watch(self, query):
        end = time.monotonic() + int(query.get("waitMs", "0")) / 1000
        while True:
            found = [event for event in self.events
                     if event["revision"] > int(query["after"]) and event["key"].startswith(query["prefix"])]
            left = end - time.monotonic()
            if found or left <= 0:
                return 200, {"events": found, "currentRev": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except TimeoutError:
                pass

    def transaction(self, call):
        for row in call.get("expect", []):
            if self.items.get(row["key"], {}).get("revision", 0) != row["revision"]:
                return 412, {"items": [self.items[r["key"]] for r in call["expect"] if r["key"] in self.items]}
        for write in call.get("writes", []):
            if write.get("lease", 0) and write["lease"] not in self.leases:
                return 404, {}
        for write in call.get("writes", []):
            self.put(write["key"], base64.b64decode(write["value"]), write.get("lease", 0))
        for key in call.get("remove", []):
            self.remove(key)
        return 200, {"revision": self.revision}


# Runners


class Run:
    def __init__(self, number, begin):
        self.number, self.begin = number, begin
        self.timer = None
        self.stopping = False


class Runner:
    """A runner. `work(task, spec)` returns how many seconds a task takes. Records each begin and end of a run."""

    def __init__(self, record, name, machine, app_host, work, service="desk", cpu=32000, labels=("a", "r1-1")):
        self.record, self.name, self.machine, self.host = record, name, machine, app_host
        self.work, self.service, self.cpu, self.labels = work, service, cpu, list(labels)
        self.runs = {}
        self.history = []  # rows [task, run, begin, end, how, cpu capacity, demand]
        self.server = None
        self.writers = set()
        self.first_report_s = 0.0  # from the start of a lifetime, when it takes calls, to its first status report

    async def start(self):
        """Begins a lifetime. It keeps the id of the one before."""
        self.born = int(time.time() * 1000)
        self.clock_base = time.monotonic()
        self.fence = 0
        self.sequence = 0
        self.state = "ready"
        self.runs, self.ended, self.end_count, self.newest_ended = {}, [], 0, {}
        self.lease_until = 0
        self.end_event = asyncio.Event()
        self.record.write("runner_starts", runner=self.name, cpu=self.cpu, labels=",".join(self.labels))
        self.server = await asyncio.start_server(self.accept, self.host, APP)
        self.tasks = [asyncio.create_task(self.report_periodically()), asyncio.create_task(self.expire_lease())]

    async def crash(self):
        self.record.write("runner_crashes", runner=self.name)
        for task in self.tasks:
            task.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        for task in list(self.runs):
            self.end(task, "crash")

    async def accept(self, reader, writer):
        self.writers.add(writer)
        try:
            while message := await read_message(reader):
                path = message[0].split(" ")[1]
                call = json.loads(message[2] or b"{}")
                answer = await self.handle(path, message[1], call)
                writer.write(encode_response(*answer))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def clock_ms(self):
        return 100_000 + int((time.monotonic() - self.clock_base) * 1000)

    async def report_periodically(self):
        await asyncio.sleep(self.first_report_s)
        while True:
            self.sequence += 1
            body = {"service": self.service, "address": f"{self.host}:{APP}", "zone": self.machine.zone,
                    "version": "v1", "slots": 8, "state": self.state, "coldLeftMs": 0,
                    "capacity": {"cpu": self.cpu, "memMb": 65536, "gpu": 0}, "labels": self.labels,
                    "clockMs": self.clock_ms(), "born": self.born, "seq": self.sequence}
            status, _ = await request((self.machine.ip, CONTROL), "PUT", f"/instances/{self.name}", body, timeout=1.0)
            self.record.write("status_report", runner=self.name, seq=self.sequence, cpu=self.cpu, status=status)
            await asyncio.sleep(HEARTBEAT_S)

    async def expire_lease(self):
        while True:
            await asyncio.sleep(0.005)
            if self.runs and self.clock_ms() > self.lease_until:
                for task in list(self.runs):
                    self.end(task, "lapsed")

    def end(self, task, how):
        run = self.runs.pop(task)
        run.timer.cancel()
        self.end_count += 1
        self.newest_ended[task] = max(self.newest_ended.get(task, 0), run.number)
        self.ended.append([self.end_count, task, run.number, how, ""])
        self.history.append([task, run.number, run.begin, self.record.now(), how])
        self.record.write("run_ends", runner=self.name, task=task, run=run.number, how=how)
        self.end_event.set()
        self.end_event = asyncio.Event()

    def extend_lease(self, call):
        if "untilMs" in call:
            longest = self.clock_ms() + int(HOLD_MAX_S * 1000)
            self.lease_until = max(self.lease_until, min(call["untilMs"], longest))

    def refuse(self, reason):
        return 409, {"clockMs": self.clock_ms(), "reason": reason}

    async def handle(self, path, headers, call):
        if headers.get("x-bamboohead-target-instance", self.name) != self.name:
            return 421, {"clockMs": self.clock_ms()}
        if call.get("fence", 0) < self.fence:
            return self.refuse("fence")
        self.fence = call.get("fence", 0)
        if path == "/run-start":
            return self.start_run(call)
        if path == "/run-stop":
            return self.stop_run(call)
        return await self.hold(call)

    def start_run(self, call):
        task, number = call["task"], call["run"]
        if call["untilMs"] <= self.clock_ms():
            return self.refuse("late")
        self.extend_lease(call)
        if task in self.runs and self.runs[task].number == number:
            return 200, {"clockMs": self.clock_ms()}
        if task in self.runs or number <= self.newest_ended.get(task, 0):
            return self.refuse("old")
        run = Run(number, self.record.now())
        self.runs[task] = run
        run.timer = asyncio.get_running_loop().call_later(self.work(task, call["taskSpec"]), self.end, task, "done")
        self.record.write("run_begins", runner=self.name, task=task, run=number, spec=call["taskSpec"],
                          cpu=self.cpu, labels=",".join(self.labels))
        self.on_start(task, number, call["taskSpec"])
        return 200, {"clockMs": self.clock_ms()}

    def on_start(self, task, number, spec):
        """Called after each start; a case may replace it."""

    def stop_run(self, call):
        task, number = call["task"], call["run"]
        self.newest_ended[task] = max(self.newest_ended.get(task, 0), number)
        run = self.runs.get(task)
        if run is not None and run.number == number and not run.stopping:
            run.stopping = True
            run.timer.cancel()
            run.timer = asyncio.get_running_loop().call_later(STOP_S, self.end, task, "stopped")
        return 200, {"clockMs": self.clock_ms()}

    async def hold(self, call):
        self.extend_lease(call)
        self.ended = [end for end in self.ended if end[0] > call.get("seenUpto", 0)]
        if not self.ended and call.get("waitMs", 0):
            try:
                await asyncio.wait_for(self.end_event.wait(), call["waitMs"] / 1000)
            except TimeoutError:
                pass
        return 200, {"clockMs": self.clock_ms(), "born": self.born, "ended": self.ended[:500],
                     "running": [[task, run.number, "", 0, 0] for task, run in self.runs.items()]}


# Machines and the project's processes


def render(text, fields):
    """Fills the placeholders of a settings template, as the platform does; sections are not needed here."""

    def value_of(match):
        name, _, form = match.group(1).partition("|")
        value = fields
        for part in name.split("."):
            value = value[int(part)] if isinstance(value, list) else value[part]
        return json.dumps(value) if form == "json" else str(value)

    return re.sub(r"\{\{([^}]+)\}\}", value_of, text)


class Machine:
    """A machine with one process of the system, started with the command of the deploy file."""

    def __init__(self, system, role, ip, zone, store_host):
        self.system, self.role, self.ip, self.zone, self.store_host = system, role, ip, zone, store_host
        self.name = f"{role}-{ip.rsplit('.', 1)[1]}"
        self.process = None

    def start(self):
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"][self.role]
        fields = {"node": self.name, "zone": self.zone, "ip": self.ip, "internalPorts": INTERNAL_PORTS,
                  "listen": {"front": f"{self.ip}:{FRONT}", "ready": f"{self.ip}:{READY}",
                             "control": f"{self.ip}:{CONTROL}"},
                  "platform": {"address": f"{self.store_host}:{STORE}"}, "seeds": self.system.seeds}
        settings = self.system.folder / f"{self.name}.json"
        settings.write_text(render((ROOT / deploy["template"]).read_text(), fields))
        words = [str(settings) if word == "/etc/bamboohead/local.yaml" else word for word in deploy["run"].split(" ")]
        log = open(self.system.folder / f"{self.name}.log", "ab")
        self.process = subprocess.Popen([str(ROOT / words[0]), *words[1:]], stdout=log, stderr=log, cwd=ROOT)
        log.close()
        self.system.record.write("process_starts", machine=self.name, ip=self.ip, zone=self.zone)

    def send(self, number):
        self.system.record.write("signal", machine=self.name, signal=signal.Signals(number).name)
        self.process.send_signal(number)

    def running(self):
        return self.process is not None and self.process.poll() is None

    def kill(self):
        if self.running():
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()

    async def terminate(self, grace_s=6.0):
        """Stops the process as the platform does: SIGTERM, and SIGKILL after the grace period."""
        self.send(signal.SIGTERM)
        end = time.monotonic() + grace_s
        while self.running() and time.monotonic() < end:
            await asyncio.sleep(0.02)
        self.kill()
        self.system.record.write("process_ends", machine=self.name)


class System:
    """A small deployment on loopback addresses."""

    def __init__(self, record):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.net = free_net()
        self.store = Store()
        self.machines = []
        self.seeds = []
        self.count = 0

    def add(self, role, zone):
        self.count += 1
        machine = Machine(self, role, f"127.{self.net}.1.{self.count}", zone, f"127.{self.net}.3.{self.count}")
        self.machines.append(machine)
        if role == "agent" and len(self.seeds) < 3:
            self.seeds.append(f"{machine.ip}:{CONTROL}")
        return machine

    def app_host(self, machine):
        return f"127.{self.net}.4.{machine.ip.rsplit('.', 1)[1]}"

    async def start(self):
        self.expiry = asyncio.create_task(self.store.expire_leases())
        for machine in self.machines:
            await self.store.start(machine.store_host, machine)
        for machine in self.machines:
            machine.start()

    def write_config(self, version, routes):
        """Writes a desired state; `routes` are rows (name, prefix, service)."""
        body = {"version": version, "limits": {"maxBodyBytes": 262144},
                "routes": [{"name": name, "host": "nony24.example", "prefix": prefix, "service": service,
                            "priority": 0, "maxAttempts": 3, "stretch": 2.0, "targetLatencyMs": 5000,
                            "timeoutMs": 30000} for name, prefix, service in routes],
                "services": [{"name": name, "enforcesCapacity": False} for name in sorted({r[2] for r in routes})]}
        self.store.put("op/config", json.dumps(body).encode())
        self.record.write("operator_writes", key="op/config", version=version)

    async def wait_ready(self, limit_s=20.0):
        """Waits until all entries report themselves ready."""
        end = time.monotonic() + limit_s
        waiting = [m for m in self.machines if m.role == "entry"]
        while waiting and time.monotonic() < end:
            ready = [await request((m.ip, READY), "GET", "/readiness", timeout=1.0) for m in waiting]
            waiting = [m for m, (status, _) in zip(waiting, ready) if status != 200]
            await asyncio.sleep(0.1)
        return not waiting

    def close(self):
        for machine in self.machines:
            machine.kill()
        shutil.rmtree(self.folder, ignore_errors=True)


def free_net():
    """Second octet of the loopback addresses; one on which the ports are free."""
    for net in random.sample(range(20, 250), 200):
        try:
            for port in (FRONT, CONTROL, STORE, APP, INTERNAL_PORTS[0], 9464):
                with socket.socket() as probe:
                    probe.bind((f"127.{net}.1.1", port))
            return net
        except OSError:
            continue
    raise OSError("no free loopback addresses")


async def submit(record, address, prefix, job, steps, spec, deadline_ms):
    """Hands a job in that needn't be kept; the answer comes when it has ended."""
    record.write("client_posts", job=job, to=address[0], deadline_ms=deadline_ms)
    status, body = await request(address, "POST", prefix + job, {"taskSpec": spec, "bestEffort": True, "steps": steps},
                                 {"Host": "nony24.example", "X-Bamboohead-Deadline-Ms": str(deadline_ms)},
                                 timeout=deadline_ms / 1000)
    record.write("client_gets_answer", job=job, status=status, body=json.dumps(body).replace(" ", ""))
    return status, body


def job_id():
    return f"{random.getrandbits(64):016x}"


def main(case):
    """Runs `case(record, trouble)`, which returns an exit code: 0 the rule held, 1 it was broken, 2 cannot run."""
    record = Record(pathlib.Path(sys.argv[0]).resolve().parent / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write("case_starts", trouble=trouble)
    try:
        code = asyncio.run(asyncio.wait_for(case(record, trouble), 110))
    except (OSError, TimeoutError) as error:
        record.write("case_cannot_run", reason=repr(error))
        code = 2
    record.write("case_ends", code=code, meaning={0: "held", 1: "broken", 2: "not_run"}[code])
    print({0: "held", 1: "broken", 2: "not run"}[code])
    sys.exit(code)
