"""Stand-in for the platform's targets: leases, fences, runs, ends of runs and state reports."""

import asyncio
import time

import aiohttp
from aiohttp import web

from platform_store import drop_connection

MAX_LEASE_S = 1.0  # longest lease that a target grants; it shortens longer ones
STOP_DURATION_S = 0.03  # time from a stop call to the end of the run
REPORT_INTERVAL_S = 0.5  # interval between status reports to the agent
CALL_TIMEOUT_S = 1.0  # time-out of the target's own calls to the agent


class TaskRun:
    def __init__(self, number, timer):
        self.number = number
        self.timer = timer
        self.stopping = False


class Target:
    """One target. Notifies `observer` of each start and end of a run.

    `lifetime_count` is incremented by each restart.
    """

    def __init__(self, name, host, port, agent, zone, service, cpu, random, observer):
        self.name, self.host, self.port, self.agent = name, host, port, agent
        self.zone, self.service, self.cpu = zone, service, cpu
        self.random, self.observer = random, observer
        self.run_time_factor = 1.0  # run times are multiplied by it; above 1 the target is slower
        self.fail_share = 0.0
        self.hang_share = 0.0
        self.unhealthy = False
        self.late_share = 0.0  # share of the start and stop calls that get no response and are handled 2 to 6 s later
        self.lost_share = 0.0  # share of all calls that are handled but get no response
        self.down = True
        self.draining = False
        self.drain_acked = None
        self.sequence = 0
        self.lifetime_count = 0
        self.session = None

    async def open(self):
        app = web.Application(middlewares=[self.inject_faults])
        app.add_routes([web.post("/run-start", self.run_start), web.post("/run-stop", self.run_stop),
                        web.post("/hold", self.hold)])
        runner = web.AppRunner(app, access_log=None)
        await runner.setup()
        await web.TCPSite(runner, self.host, self.port).start()
        self.session = aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=CALL_TIMEOUT_S))
        self.begin_lifetime(False)
        asyncio.create_task(self.report_periodically())
        asyncio.create_task(self.expire_lease())

    async def close(self):
        self.down = True
        await self.session.close()

    # Lifetimes

    def begin_lifetime(self, new_id):
        self.lifetime_count += 1
        if new_id or self.lifetime_count == 1:
            self.id = f"i-{self.name}-{self.lifetime_count}"
        self.born_ms = int(time.time() * 1000)
        self.born = time.monotonic()
        self.clock_rate = self.random.uniform(0.98, 1.0)  # rate of the target's clock relative to real time
        self.clock_offset_ms = self.random.randrange(1_000, 1_000_000)
        self.fence = 0
        self.runs = {}  # task name to its TaskRun
        self.unacknowledged_ends = []  # rows [number of the end, task, run number, reason, text]
        self.ended_count = 0  # number of the last end
        self.highest_ended_run = {}  # task name to the highest number of a run that was stopped or has ended
        self.lease_until_ms = 0
        self.sequence = 0
        self.draining = False
        self.drain_acked = None
        self.end_event = asyncio.Event()
        self.down = False

    def crash(self):
        self.down = True
        for task, run in list(self.runs.items()):
            run.timer.cancel()
            self.observer.ended(self, task, run.number, "crash")
        self.runs = {}
        self.end_event.set()

    def clock_ms(self):
        return int(self.clock_offset_ms + (time.monotonic() - self.born) * 1000 * self.clock_rate)

    async def expire_lease(self):
        while True:
            await asyncio.sleep(0.01)
            if not self.down and self.runs and self.clock_ms() > self.lease_until_ms:
                for task in list(self.runs):
                    self.end(task, "lapsed")

    async def report_periodically(self):
        while True:
            if not self.down:
                await self.report()
            await asyncio.sleep(REPORT_INTERVAL_S)

    async def report(self):
        self.sequence += 1
        lifetime = self.lifetime_count
        state = "draining" if self.draining else "ready"
        body = {"service": self.service, "address": f"{self.host}:{self.port}", "zone": self.zone,
                "version": "v1", "slots": 8, "state": state, "coldLeftMs": 0,
                "capacity": {"cpu": self.cpu, "memMb": 65536, "gpu": 0}, "labels": ["a"],
                "clockMs": self.clock_ms(), "born": self.born_ms, "seq": self.sequence}
        try:
            async with self.session.put(f"http://{self.agent}/instances/{self.id}", json=body) as reply:
                drain_acknowledged = reply.status == 200 and state == "draining" and lifetime == self.lifetime_count
                if drain_acknowledged and self.drain_acked is None:
                    self.drain_acked = time.monotonic()
        except (aiohttp.ClientError, asyncio.TimeoutError, OSError):
            pass  # the next periodic report retries

    async def leave(self, drain_s):
        """Drains for `drain_s`, deregisters at the agent, and starts a new lifetime with another id 0.5 s later."""
        lifetime = self.lifetime_count
        self.draining = True
        await asyncio.sleep(drain_s)
        if self.lifetime_count != lifetime or self.down:
            return  # crashed while draining
        try:
            await self.session.delete(f"http://{self.agent}/instances/{self.id}")
        except (aiohttp.ClientError, asyncio.TimeoutError, OSError):
            pass  # the agent may be down
        self.crash()
        await asyncio.sleep(0.5)
        self.begin_lifetime(True)

    # Calls

    @web.middleware
    async def inject_faults(self, request, handler):
        if self.down:
            drop_connection(request)
        await request.read()
        draw = self.random.random()
        if draw < self.late_share and request.path != "/hold":
            asyncio.create_task(self.handle_late(request, handler))
            drop_connection(request)
        lifetime = self.lifetime_count
        response = await handler(request)
        if self.down or self.lifetime_count != lifetime or draw > 1 - self.lost_share:
            drop_connection(request)
        return response

    async def handle_late(self, request, handler):
        await asyncio.sleep(self.random.uniform(2.0, 6.0))
        if not self.down:
            await handler(request)

    def refusal(self, reason):
        return web.json_response({"clockMs": self.clock_ms(), "reason": reason}, status=409)

    def check(self, request, fence):
        if request.headers.get("X-Bamboohead-Target-Instance", self.id) != self.id:
            return web.json_response({"clockMs": self.clock_ms()}, status=421)
        if fence < self.fence:
            return self.refusal("fence")
        self.fence = fence
        return None

    def extend_lease(self, until_ms):
        limit = self.clock_ms() + int(MAX_LEASE_S * 1000)
        self.lease_until_ms = max(self.lease_until_ms, min(until_ms, limit))

    async def run_start(self, request):
        body = await request.json()
        if self.unhealthy:
            return web.json_response({"clockMs": self.clock_ms()}, status=503)
        refused = self.check(request, body.get("fence", 0))
        if refused is not None:
            return refused
        task, number = body["task"], body["run"]
        if body["untilMs"] <= self.clock_ms():
            return self.refusal("late")
        self.extend_lease(body["untilMs"])
        current = self.runs.get(task)
        if current is not None and current.number == number:
            return web.json_response({"clockMs": self.clock_ms()})
        if number <= self.highest_ended_run.get(task, 0) or current is not None:
            return self.refusal("old")
        duration = self.observer.run_time_s(task) * self.run_time_factor * self.random.uniform(0.9, 1.1)
        end_reason = "done"
        draw = self.random.random()
        if draw < self.fail_share:
            duration, end_reason = 0.01, "failed"
        elif draw > 1 - self.hang_share:
            duration = 3600.0
        timer = asyncio.get_running_loop().call_later(duration, self.end, task, end_reason)
        self.runs[task] = TaskRun(number, timer)
        self.observer.started(self, task, number, body["taskSpec"])
        return web.json_response({"clockMs": self.clock_ms()})

    async def run_stop(self, request):
        body = await request.json()
        refused = self.check(request, body.get("fence", 0))
        if refused is not None:
            return refused
        task, number = body["task"], body["run"]
        self.highest_ended_run[task] = max(self.highest_ended_run.get(task, 0), number)
        current = self.runs.get(task)
        if current is not None and current.number == number and not current.stopping:
            current.stopping = True
            current.timer.cancel()
            current.timer = asyncio.get_running_loop().call_later(STOP_DURATION_S, self.end, task, "stopped")
        return web.json_response({"clockMs": self.clock_ms()})

    # Handles list_runs: removes the ends that the agent acknowledges, extends the lease if `untilMs` is given, waits up
    # to `waitMs` ms for an end if none is left, and lists the current runs and the unacknowledged ends (at most 500).
    async def hold(self, request):
        body = await request.json()
        refused = self.check(request, body.get("fence", 0))
        if refused is not None:
            return refused
        if "untilMs" in body:
            self.extend_lease(body["untilMs"])
        seen = body["seenUpto"]
        self.unacknowledged_ends = [end for end in self.unacknowledged_ends if end[0] > seen]
        if not self.unacknowledged_ends and body.get("waitMs", 0):
            self.end_event.clear()
            try:
                await asyncio.wait_for(self.end_event.wait(), body["waitMs"] / 1000)
            except asyncio.TimeoutError:
                pass
        running = [[task, run.number, "", 0, 100] for task, run in self.runs.items()]
        return web.json_response({"clockMs": self.clock_ms(), "born": self.born_ms,
                                  "running": running, "ended": self.unacknowledged_ends[:500]})

    # Ends a run. `end_reason` is done, failed, stopped or lapsed (its lease expired).
    def end(self, task, end_reason):
        run = self.runs.pop(task)
        run.timer.cancel()
        self.ended_count += 1
        self.highest_ended_run[task] = max(self.highest_ended_run.get(task, 0), run.number)
        self.unacknowledged_ends.append([self.ended_count, task, run.number, end_reason, ""])
        self.observer.ended(self, task, run.number, end_reason)
        self.end_event.set()
