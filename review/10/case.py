"""A zone is evacuated while the entry is cut off from the store and the agents are not.

Trouble: the entry is partitioned from the store for 5.5 s. 0.2 s later the operator writes op/evacuate/ZONE for a zone
whose runners are in use. The agents reach the store all the while. Without the trouble only the operator writes.
"""

import asyncio
import os
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib-2"))

from standins import FRONT, Runner, System, job_id, main, submit

ENTRIES = int(os.environ.get("ENTRIES", "1"))
CUT_S = 5.5
WORK_S = 0.06
JOB_INTERVAL_S = 0.05
EVACUATE_S = 5.0  # evacuateMs
ZONE = "graz-a"


async def send_jobs(record, entry, posts):
    while True:
        steps = [{"count": 4, "cpu": 3100, "memMb": 64, "estimateMs": int(WORK_S * 1000)}]
        posts.append(asyncio.create_task(
            submit(record, (entry.ip, FRONT), "/lohu930/", job_id(), steps, "quote", 1500)))
        await asyncio.sleep(JOB_INTERVAL_S)


async def heal(system, record):
    await asyncio.sleep(CUT_S)
    system.store.cut.clear()
    record.write("cut_ends")


async def case(record, trouble):
    system = System(record)
    posts = []
    try:
        entries = [system.add("entry", zone) for zone in ("wien-a", "wien-b")[:ENTRIES]]
        agents = [system.add("agent", zone) for zone in ("wien-a", "wien-b", ZONE, ZONE)]
        system.write_config(3, [("desk", "/lohu930/", "desk")])
        await system.start()
        starts = []
        runners = []
        for number, agent in enumerate(agents):
            runner = Runner(record, f"i-{number}", agent, system.app_host(agent), lambda task, spec: WORK_S)
            runner.on_start = lambda task, run, spec, zone=agent.zone: starts.append((record.now(), zone, task))
            await runner.start()
            runners.append(runner)
        if not await system.wait_ready():
            return 2
        await asyncio.sleep(2.0)
        traffic = [asyncio.create_task(send_jobs(record, entry, posts)) for entry in entries]
        await asyncio.sleep(4.0)
        if trouble:
            system.store.cut.update(entries)
            record.write("cut_begins", machines=",".join(entry.name for entry in entries))
            healing = asyncio.create_task(heal(system, record))
        await asyncio.sleep(0.2)
        before = sum(zone == ZONE for _, zone, _ in starts)
        system.store.put(f"op/evacuate/{ZONE}", b"{}")
        acknowledged = record.now()
        record.write("operator_writes", key=f"op/evacuate/{ZONE}")
        await asyncio.sleep(EVACUATE_S + 5.0)
        for task in traffic:
            task.cancel()
        late = [(at, task) for at, zone, task in starts if zone == ZONE and at > acknowledged + EVACUATE_S]
        last = max((at for at, zone, _ in starts if zone == ZONE), default=0) - acknowledged
        served = sum(post.done() and post.result()[0] == 200 for post in posts)
        record.write("check", jobs=len(posts), served=served, starts_in_zone_before=before,
                     starts_in_zone_over_5_s_after_the_ack=len(late), last_start_after_s=round(last, 3))
        if before == 0 or served == 0:
            return 2
        return 1 if late else 0
    finally:
        for post in posts:
            post.cancel()
        system.close()


main(case)
