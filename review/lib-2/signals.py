"""Sends SIGHUP to entries and agents under load, some hundred times a second for 20 s, and counts those that end.

Not a case of the review: the platform sends far fewer signals. Exits with 1 if a process has ended by itself.
"""

import asyncio
import pathlib
import signal
import sys

from standins import FRONT, Record, Runner, System, job_id, submit

SECONDS = 20.0
SIGNAL_INTERVAL_S = 0.002
JOB_INTERVAL_S = 0.02  # for each entry
WORK_S = 0.05


async def send_jobs(record, entry, posts):
    while True:
        steps = [{"count": 2, "cpu": 1000, "memMb": 64, "estimateMs": int(WORK_S * 1000)}]
        post = asyncio.create_task(submit(record, (entry.ip, FRONT), "/lohu930/", job_id(), steps, "quote", 1500))
        posts.add(post)
        post.add_done_callback(posts.discard)
        await asyncio.sleep(JOB_INTERVAL_S)


async def run(record):
    system = System(record)
    posts, signals = set(), 0
    try:
        entries = [system.add("entry", zone) for zone in ("wien-a", "wien-b")]
        agents = [system.add("agent", zone) for zone in ("wien-a", "wien-b")]
        system.write_config(3, [("desk", "/lohu930/", "desk")])
        await system.start()
        for number, agent in enumerate(agents):
            await Runner(record, f"i-{number}", agent, system.app_host(agent), lambda task, spec: WORK_S).start()
        if not await system.wait_ready():
            return 2
        traffic = [asyncio.create_task(send_jobs(record, entry, posts)) for entry in entries]
        end = record.now() + SECONDS
        while record.now() < end:
            for machine in system.machines:
                if machine.running():
                    machine.process.send_signal(signal.SIGHUP)
                    signals += 1
            await asyncio.sleep(SIGNAL_INTERVAL_S)
        for task in traffic:
            task.cancel()
        ended = [machine for machine in system.machines if not machine.running()]
        for machine in ended:
            lines = (system.folder / f"{machine.name}.log").read_text().splitlines()
            print(machine.name, "ended with", machine.process.returncode, "after:",
                  next((line for line in reversed(lines) if line.startswith("bamboohead ")), lines[-1]))
        print("signals", signals, "ended", len(ended), "of", len(system.machines))
        return 1 if ended else 0
    finally:
        for post in list(posts):
            post.cancel()
        system.close()


sys.exit(asyncio.run(run(Record(pathlib.Path("/dev/null")))))
