"""Stand-in of a runner as the platform describes it: leases, fences, runs, ends, reports."""

import asyncio
import time

import aiohttp
from aiohttp import web

from platform_store import drop_connection

LONGEST_LEASE_S = 1.0
STOP_S = 0.03
REPORT_INTERVAL_S = 0.5
CALL_TIMEOUT_S = 1.0


class Run:
    def __init__(self, number, timer):
        self.number = number
        self.timer = timer
        self.stopping = False


class Target:
    """One target; `observer` is told of each start and end. `life` grows with each restart."""

    def __init__(self, name, host, port, agent, zone, service, cpu, random, observer):
        self.name, self.host, self.port, self.agent = name, host, port, agent
        self.zone, self.service, self.cpu = zone, service, cpu
        self.random, self.observer = random, observer
        self.speed = 1.0  # factor of run times
        self.fail_share = 0.0
        self.hang_share = 0.0
        self.unhealthy = False
        self.late_share = 0.0  # of the calls that get no answer and are carried out seconds later
        self.lost_share = 0.0  # of the calls that are carried out and get no answer
        self.down = True
        self.draining = False
        self.drain_acked = None
        self.sequence = 0
        self.lives = 0
        self.session = None

    async def open(self):
        app = web.Application(middlewares=[self.misbehave])
        app.add_routes([web.post("/run-start", self.run_start), web.post("/run-stop", self.run_stop),
                        web.post("/hold", self.hold)])
        runner = web.AppRunner(app, access_log=None)
        await runner.setup()
        await web.TCPSite(runner, self.host, self.port).start()
        self.session = aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=CALL_TIMEOUT_S))
        self.begin_life(False)
        asyncio.create_task(self.report_always())
        asyncio.create_task(self.expire_lease())

    async def close(self):
        self.down = True
        await self.session.close()

    # Lifetimes

    def begin_life(self, new_id):
        self.lives += 1
        if new_id or self.lives == 1:
            self.id = f"i-{self.name}-{self.lives}"
        self.born_ms = int(time.time() * 1000)
        self.born = time.monotonic()
        self.rate = self.random.uniform(0.98, 1.0)  # of the target's clock
        self.offset_ms = self.random.randrange(1_000, 1_000_000)
        self.fence = 0
        self.runs = {}  # task name to Run
        self.ends = []
        self.ended_count = 0
        self.highest = {}  # task name to the highest run that was stopped or has ended
        self.lease_ms = 0
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
        return int(self.offset_ms + (time.monotonic() - self.born) * 1000 * self.rate)

    async def expire_lease(self):
        while True:
            await asyncio.sleep(0.01)
            if not self.down and self.runs and self.clock_ms() > self.lease_ms:
                for task in list(self.runs):
                    self.end(task, "lapsed")

    async def report_always(self):
        while True:
            if not self.down:
                await self.report()
            await asyncio.sleep(REPORT_INTERVAL_S)

    async def report(self):
        self.sequence += 1
        life = self.lives
        state = "draining" if self.draining else "ready"
        body = {"service": self.service, "address": f"{self.host}:{self.port}", "zone": self.zone,
                "version": "v1", "slots": 8, "state": state, "coldLeftMs": 0,
                "capacity": {"cpu": self.cpu, "memMb": 65536, "gpu": 0}, "labels": ["a"],
                "clockMs": self.clock_ms(), "born": self.born_ms, "seq": self.sequence}
        try:
            async with self.session.put(f"http://{self.agent}/instances/{self.id}", json=body) as reply:
                drains = reply.status == 200 and state == "draining" and life == self.lives
                if drains and self.drain_acked is None:
                    self.drain_acked = time.monotonic()
        except (aiohttp.ClientError, asyncio.TimeoutError, OSError):
            pass  # the next report follows

    async def leave(self, drain_s):
        """A planned end, then a new lifetime with another id."""
        life = self.lives
        self.draining = True
        await asyncio.sleep(drain_s)
        if self.lives != life or self.down:
            return  # crashed meanwhile
        try:
            await self.session.delete(f"http://{self.agent}/instances/{self.id}")
        except (aiohttp.ClientError, asyncio.TimeoutError, OSError):
            pass  # the agent may be down
        self.crash()
        await asyncio.sleep(0.5)
        self.begin_life(True)

    # Calls

    @web.middleware
    async def misbehave(self, request, handler):
        if self.down:
            drop_connection(request)
        await request.read()
        draw = self.random.random()
        if draw < self.late_share and request.path != "/hold":
            asyncio.create_task(self.carry_out_late(request, handler))
            drop_connection(request)
        life = self.lives
        response = await handler(request)
        if self.down or self.lives != life or draw > 1 - self.lost_share:
            drop_connection(request)
        return response

    async def carry_out_late(self, request, handler):
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

    def extend(self, until_ms):
        limit = self.clock_ms() + int(LONGEST_LEASE_S * 1000)
        self.lease_ms = max(self.lease_ms, min(until_ms, limit))

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
        self.extend(body["untilMs"])
        held = self.runs.get(task)
        if held is not None and held.number == number:
            return web.json_response({"clockMs": self.clock_ms()})
        if number <= self.highest.get(task, 0) or held is not None:
            return self.refusal("old")
        duration = self.observer.run_time(task) * self.speed * self.random.uniform(0.9, 1.1)
        how = "done"
        draw = self.random.random()
        if draw < self.fail_share:
            duration, how = 0.01, "failed"
        elif draw > 1 - self.hang_share:
            duration = 3600.0
        timer = asyncio.get_running_loop().call_later(duration, self.end, task, how)
        self.runs[task] = Run(number, timer)
        self.observer.started(self, task, number, body["taskSpec"])
        return web.json_response({"clockMs": self.clock_ms()})

    async def run_stop(self, request):
        body = await request.json()
        refused = self.check(request, body.get("fence", 0))
        if refused is not None:
            return refused
        task, number = body["task"], body["run"]
        self.highest[task] = max(self.highest.get(task, 0), number)
        held = self.runs.get(task)
        if held is not None and held.number == number and not held.stopping:
            held.stopping = True
            held.timer.cancel()
            held.timer = asyncio.get_running_loop().call_later(STOP_S, self.end, task, "stopped")
        return web.json_response({"clockMs": self.clock_ms()})

    async def hold(self, request):
        body = await request.json()
        refused = self.check(request, body.get("fence", 0))
        if refused is not None:
            return refused
        if "untilMs" in body:
            self.extend(body["untilMs"])
        seen = body["seenUpto"]
        self.ends = [end for end in self.ends if end[0] > seen]
        if not self.ends and body.get("waitMs", 0):
            self.end_event.clear()
            try:
                await asyncio.wait_for(self.end_event.wait(), body["waitMs"] / 1000)
            except asyncio.TimeoutError:
                pass
        running = [[task, run.number, "", 0, 100] for task, run in self.runs.items()]
        return web.json_response({"clockMs": self.clock_ms(), "born": self.born_ms,
                                  "running": running, "ended": self.ends[:500]})

    def end(self, task, how):
        run = self.runs.pop(task)
        run.timer.cancel()
        self.ended_count += 1
        self.highest[task] = max(self.highest.get(task, 0), run.number)
        self.ends.append([self.ended_count, task, run.number, how, ""])
        self.observer.ended(self, task, run.number, how)
        self.end_event.set()
