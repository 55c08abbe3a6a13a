"""Callers that keep their connections, give up, and send again what was lost."""

import asyncio
import json
import time

import aiohttp

from observer import Job

PATIENCE_S = 1.5
RESEND_S = 1.3  # a job whose answer was lost is sent again this much later
KINDS = {  # weight, steps; like the jobs of both users
    "short": (4, [{"count": 8, "run_s": 0.06}]),
    "long": (1, [{"count": 4, "run_s": 0.6}]),
    "lookup": (8, [{"count": 2, "run_s": 0.2}]),
    "chain": (2, [{"count": 2, "run_s": 0.05}, {"count": 3, "run_s": 0.1, "after": [0]}]),
}


class Callers:
    def __init__(self, random, observer, entries, rate):
        self.random, self.observer, self.entries, self.rate = random, observer, entries, rate
        self.routes = []  # (host, prefix) in force
        self.results = []  # (time, outcome, seconds)
        self.broken = []  # (time sent, time, entry) of requests that ended without an answer
        self.sessions = {}
        self.tasks = set()
        self.running = True

    def session(self, entry):
        """One pool of connections for each entry, kept until the entry closes them."""
        if entry not in self.sessions:
            connector = aiohttp.TCPConnector(limit=64, keepalive_timeout=600)
            self.sessions[entry] = aiohttp.ClientSession(connector=connector)
        return self.sessions[entry]

    async def run(self):
        while self.running:
            await asyncio.sleep(self.random.expovariate(self.rate))
            if self.routes:
                task = asyncio.create_task(self.one_job())
                self.tasks.add(task)
                task.add_done_callback(self.tasks.discard)

    async def close(self):
        self.running = False
        if self.tasks:
            await asyncio.wait(self.tasks, timeout=6)
        for session in self.sessions.values():
            await session.close()

    def make_job(self):
        names = list(KINDS)
        kind = self.random.choices(names, [KINDS[name][0] for name in names])[0]
        steps = [dict(step, cpu=self.random.randrange(1000, 2200)) for step in KINDS[kind][1]]
        number = f"{self.random.getrandbits(64):016x}"
        return Job(number, kind, steps, f"spec-{number}")

    @staticmethod
    def body(job):
        steps = [{"count": step["count"], "cpu": step["cpu"], "memMb": 64,
                  "estimateMs": int(step["run_s"] * 1000),
                  **({"after": step["after"]} if "after" in step else {})} for step in job.steps]
        return json.dumps({"taskSpec": job.spec, "bestEffort": True, "steps": steps})

    async def one_job(self):
        job = self.make_job()
        host, prefix = self.random.choice(self.routes)
        begin = time.monotonic()
        outcome = "lost"
        for attempt in range(3):
            gives_up = self.random.random() < 0.05
            patience = self.random.uniform(0.05, 0.5) if gives_up else PATIENCE_S
            outcome = await self.attempt(job, host, prefix, patience)
            if outcome != "broken":
                break
            await asyncio.sleep(RESEND_S)
        self.results.append((begin, outcome, time.monotonic() - begin))

    async def attempt(self, job, host, prefix, patience):
        entry = self.random.choice(self.entries)
        sent = time.monotonic()
        job.asked.append(sent)
        self.observer.submitted(job)
        headers = {"Host": host, "X-Bamboohead-Deadline-Ms": str(int(patience * 1000)),
                   "Content-Type": "application/json"}
        try:
            timeout = aiohttp.ClientTimeout(total=patience)
            async with self.session(entry).post(f"http://{entry}{prefix}{job.id}", headers=headers,
                                                data=self.body(job), timeout=timeout) as reply:
                text = await reply.text()
        except asyncio.TimeoutError:
            self.observer.lost(job)
            return "gave_up"
        except (aiohttp.ClientError, OSError):
            self.observer.lost(job)
            self.broken.append((sent, time.monotonic(), entry))
            return "broken"
        if reply.status == 200:
            state = json.loads(text)["state"]
            self.observer.answered(job, state)
            return state
        if reply.status in (429, 503):
            self.observer.refused(job)
            if "Retry-After" not in reply.headers:
                self.observer.violate("RETRY", f"job={job.id} status={reply.status} no Retry-After")
            return "refused"
        self.observer.lost(job)
        return f"status_{reply.status}"
