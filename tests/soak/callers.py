"""Simulated callers: they reuse connections, abandon some requests early and resubmit unanswered jobs."""

import asyncio
import json
import time

import aiohttp

from observer import Job

REQUEST_TIMEOUT_S = 1.5
RETRY_DELAY_S = 1.3  # delay before a job whose request failed without an answer is resubmitted
JOB_KINDS = {  # name: (weight of the random choice, steps); modelled on the workloads in examples/
    "short": (4, [{"count": 8, "run_s": 0.06}]),
    "long": (1, [{"count": 4, "run_s": 0.6}]),
    "lookup": (8, [{"count": 2, "run_s": 0.2}]),
    "chain": (2, [{"count": 2, "run_s": 0.05}, {"count": 3, "run_s": 0.1, "after": [0]}]),
}


class Callers:
    def __init__(self, random, observer, entries, rate):
        self.random, self.observer, self.entries, self.rate = random, observer, entries, rate
        self.routes = []  # (host, path prefix) pairs that jobs are sent to
        self.results = []  # (time of submission, outcome, duration in seconds)
        self.unanswered = []  # (time sent, time failed, entry) of requests that failed without an answer
        self.sessions = {}
        self.submissions = set()  # asyncio tasks, one for each job that is being submitted
        self.running = True

    def session(self, entry):
        """Returns the connection pool of an entry; its connections stay open until the entry closes them."""
        if entry not in self.sessions:
            connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=600)
            self.sessions[entry] = aiohttp.ClientSession(connector=connector)
        return self.sessions[entry]

    async def run(self):
        while self.running:
            await asyncio.sleep(self.random.expovariate(self.rate))
            if self.routes:
                task = asyncio.create_task(self.submit_job())
                self.submissions.add(task)
                task.add_done_callback(self.submissions.discard)

    async def close(self):
        self.running = False
        if self.submissions:
            await asyncio.wait(self.submissions, timeout=6)
        for session in self.sessions.values():
            await session.close()

    def make_job(self):
        names = list(JOB_KINDS)
        kind = self.random.choices(names, [JOB_KINDS[name][0] for name in names])[0]
        steps = [dict(step, cpu=self.random.randrange(1000, 2200)) for step in JOB_KINDS[kind][1]]
        number = f"{self.random.getrandbits(64):016x}"
        return Job(number, kind, steps, f"spec-{number}")

    @staticmethod
    def body(job):
        steps = [{"count": step["count"], "cpu": step["cpu"], "memMb": 64,
                  "estimateMs": int(step["run_s"] * 1000),
                  **({"after": step["after"]} if "after" in step else {})} for step in job.steps]
        return json.dumps({"taskSpec": job.spec, "bestEffort": True, "steps": steps})

    async def submit_job(self):
        job = self.make_job()
        host, prefix = self.random.choice(self.routes)
        begin = time.monotonic()
        outcome = "lost"
        for attempt in range(3):
            short_timeout = self.random.random() < 0.05
            timeout_s = self.random.uniform(0.05, 0.5) if short_timeout else REQUEST_TIMEOUT_S
            outcome = await self.send_request(job, host, prefix, timeout_s)
            if outcome != "broken":
                break
            await asyncio.sleep(RETRY_DELAY_S)
        self.results.append((begin, outcome, time.monotonic() - begin))

    async def send_request(self, job, host, prefix, timeout_s):
        entry = self.random.choice(self.entries)
        sent = time.monotonic()
        job.send_times.append(sent)
        self.observer.submitted(job)
        headers = {"Host": host, "X-Bamboohead-Deadline-Ms": str(int(timeout_s * 1000)),
                   "Content-Type": "application/json"}
        try:
            timeout = aiohttp.ClientTimeout(total=timeout_s)
            async with self.session(entry).post(f"http://{entry}{prefix}{job.id}", headers=headers,
                                                data=self.body(job), timeout=timeout) as reply:
                text = await reply.text()
        except asyncio.TimeoutError:
            self.observer.caller_left(job)
            return "gave_up"
        except (aiohttp.ClientError, OSError):
            self.observer.caller_left(job)
            self.unanswered.append((sent, time.monotonic(), entry))
            return "broken"
        if reply.status == 200:
            state = json.loads(text)["state"]
            self.observer.answered(job, state)
            return state
        if reply.status in (429, 503):
            self.observer.refused(job)
            if "Retry-After" not in reply.headers:
                self.observer.add_violation("RETRY", f"job={job.id} status={reply.status} no Retry-After")
            return "refused"
        self.observer.caller_left(job)
        return f"status_{reply.status}"
