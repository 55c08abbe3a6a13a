"""Random faults; several may be active at the same time.

Most are reverted after their duration. Not reverted are mute, store_forgets, store_revokes and routes_change.
"""

import asyncio
import signal

# Values of a target's fields while no fault affects it.
FAULT_FREE_BEHAVIOUR = {"run_time_factor": 1.0, "fail_share": 0.0, "hang_share": 0.0, "unhealthy": False,
                        "late_share": 0.0, "lost_share": 0.0}
RECOVERY_GRACE_S = 3.0  # time after a fault during which rules with a time bound are not checked


# The kinds of faults. Each is a method whose name is a value of --only; `seconds` is the drawn duration, which some
# kinds ignore: they end at once or have a duration of their own.
class Faults:
    def __init__(self, run):
        self.run = run
        self.random = run.random
        self.kinds = [self.kill, self.kill_many, self.terminate, self.terminate_slow, self.roll,
                      self.pause, self.hang_up,
                      self.messages, self.mute, self.store_cut, self.store_down, self.store_slow,
                      self.store_lost, self.store_forgets, self.store_revokes, self.target_crash,
                      self.target_leaves, self.target_slow, self.target_fails, self.target_hangs,
                      self.target_unhealthy, self.calls_late, self.calls_lost, self.zone_out,
                      self.routes_change, self.burst]

    def exempt(self, process, seconds):
        """Exempts the targets that a fault of the process affects from rules with a time bound."""
        for target in self.run.targets_affected_by(process):
            self.run.observer.exempt(target.name, seconds + RECOVERY_GRACE_S)

    def random_subset(self, candidates, max_count):
        return self.random.sample(candidates, self.random.randint(1, min(max_count, len(candidates))))

    async def restart(self, process, pause_s):
        await asyncio.sleep(pause_s)
        if not self.run.ending:
            process.start()

    # Kills one process and restarts it after up to `seconds`.
    async def kill(self, seconds):
        process = self.random.choice(self.run.fleet.processes)
        if not process.available():
            return
        self.exempt(process, seconds)
        await process.kill()
        await self.restart(process, self.random.uniform(0.05, seconds))

    # Kills about 60 % of the processes at the same time and restarts them.
    async def kill_many(self, seconds):
        processes = [process for process in self.run.fleet.processes
                     if process.available() and self.random.random() < 0.6]
        for process in processes:
            self.exempt(process, 1.0)
            await process.kill()
        for process in processes:
            await self.restart(process, 0.02)

    # Stops one process gracefully and restarts it.
    async def terminate(self, seconds):
        process = self.random.choice(self.run.fleet.processes)
        if not process.available():
            return
        self.exempt(process, 6.0 + seconds)
        if fault := await process.stop():
            self.run.observer.add_violation("STOP", fault)
        await self.restart(process, self.random.uniform(0.05, 1.0))

    # Stops one entry gracefully while it gets a small share of its processor, and restarts it.
    async def terminate_slow(self, seconds):
        process = self.random.choice(self.run.fleet.entries)
        if not process.available():
            return
        self.exempt(process, 7.0)
        slowness = asyncio.create_task(process.slow_down(0.01, self.random.uniform(0.1, 0.3)))
        fault = await process.stop()
        slowness.cancel()
        if fault:
            self.run.observer.add_violation("STOP", fault)
        await self.restart(process, 0.05)

    # Stops and restarts up to four processes one after the other, as a rolling update does.
    async def roll(self, seconds):
        for process in self.random_subset(self.run.fleet.processes, 4):
            if not process.available() or self.run.ending:
                continue
            self.exempt(process, 7.0)
            if fault := await process.stop():
                self.run.observer.add_violation("STOP", fault)
            await self.restart(process, 0.05)

    # Suspends up to three processes with SIGSTOP and resumes them after `seconds`.
    async def pause(self, seconds):
        processes = self.random_subset(self.run.fleet.processes, 3)
        for process in processes:
            self.exempt(process, seconds)
            process.send(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        for process in processes:
            process.send(signal.SIGCONT)

    # Rewrites the settings of random processes without a change and sends them SIGHUP, to reload them.
    async def hang_up(self, seconds):
        for process in self.random_subset(self.run.fleet.processes, len(self.run.fleet.processes)):
            process.write_settings()
            process.send(signal.SIGHUP)
            await asyncio.sleep(self.random.uniform(0, 0.2))

    # Disturbs the incoming message connections of up to four processes in one of six ways.
    async def messages(self, seconds):
        mode = self.random.choice(["delay", "silent", "to_server_blocked", "from_server_blocked",
                                   "refuse", "reset"])
        processes = self.random_subset(self.run.fleet.processes, 4)
        for process in processes:
            self.exempt(process, seconds)
            process.message_proxy.delay_s = self.random.uniform(0.01, 0.4)
            process.message_proxy.mode = "pass" if mode == "reset" else mode
            process.message_proxy.reset(1.0 if mode in ("reset", "refuse") else 0.0, self.random)
        await asyncio.sleep(seconds)
        for process in processes:
            process.message_proxy.mode = "pass"

    # Stops the data of 40 % of the open connections permanently, without closing them.
    async def mute(self, seconds):
        for process in self.run.fleet.processes:
            # A process replaces its message connection to a peer after 7 s without a message of the peer, or after 5 s
            # in which the peer's messages show that it receives none. A muted connection to the store is closed when a
            # call on it times out.
            self.exempt(process, 10.0)
            process.message_proxy.mute(0.4, self.random)
            process.store_proxy.mute(0.4, self.random)

    # Cuts random processes off from the store.
    async def store_cut(self, seconds):
        processes = self.random_subset(self.run.fleet.processes, len(self.run.fleet.processes))
        for process in processes:
            self.exempt(process, seconds)
            process.store_proxy.mode = self.random.choice(["silent", "refuse", "from_server_blocked"])
            process.store_proxy.reset(1.0 if process.store_proxy.mode == "refuse" else 0.0, self.random)
        await asyncio.sleep(seconds)
        for process in processes:
            process.store_proxy.mode = "pass"

    def exempt_all(self, seconds):
        for process in self.run.fleet.processes:
            self.exempt(process, seconds)

    # Makes the store unavailable to all; leases may or may not expire meanwhile.
    async def store_down(self, seconds):
        self.exempt_all(seconds)
        self.run.store.expires_while_down = self.random.random() < 0.5
        self.run.store.fault = self.random.choice(["busy", "silent", "reset"])
        await asyncio.sleep(seconds)
        self.run.store.fault = "none"

    # Delays the handling of all calls to the store by 0.1 to 0.6 s.
    async def store_slow(self, seconds):
        self.exempt_all(seconds)
        self.run.store.delay_s = self.random.uniform(0.1, 0.6)
        await asyncio.sleep(seconds)
        self.run.store.delay_s = 0.0

    # Loses the answers to 40 % of the POST calls to the store.
    async def store_lost(self, seconds):
        self.run.store.lost_share = 0.4
        await asyncio.sleep(seconds)
        self.run.store.lost_share = 0.0

    # Drops the history of the store, so that watches have to start anew.
    async def store_forgets(self, seconds):
        self.run.store.drop_history()

    # Deletes all keys below bamboohead/, whose leases stay valid.
    async def store_revokes(self, seconds):
        self.run.store.delete_keys("bamboohead/")

    # Crashes up to three targets one after the other; each restarts, some under a new id.
    async def target_crash(self, seconds):
        for target in self.random_subset(self.run.targets, 3):
            if target.down:
                continue
            target.crash()
            new_id = self.random.random() < 0.4
            await asyncio.sleep(self.random.uniform(0.02, 1.5))
            if target.down:
                target.begin_lifetime(new_id)

    # Drains a target for 2.5 s, deregisters it and starts it under a new id.
    async def target_leaves(self, seconds):
        target = self.random.choice(self.run.targets)
        if not target.down and not target.draining:
            await target.leave(2.5)

    # Sets fields of up to `max_count` random targets for `seconds`.
    async def with_targets(self, seconds, max_count, **fields):
        targets = self.random_subset(self.run.targets, max_count)
        for target in targets:
            for name, value in fields.items():
                setattr(target, name, value)
        await asyncio.sleep(seconds)
        for target in targets:
            for name in fields:
                setattr(target, name, FAULT_FREE_BEHAVIOUR[name])

    async def target_slow(self, seconds):
        await self.with_targets(seconds, 3, run_time_factor=6.0)

    async def target_fails(self, seconds):
        await self.with_targets(seconds, 2, fail_share=1.0)

    async def target_hangs(self, seconds):
        await self.with_targets(seconds, 2, hang_share=0.8)

    async def target_unhealthy(self, seconds):
        await self.with_targets(seconds, 2, unhealthy=True)

    async def calls_late(self, seconds):
        await self.with_targets(seconds, len(self.run.targets), late_share=0.2)

    async def calls_lost(self, seconds):
        await self.with_targets(seconds, len(self.run.targets), lost_share=0.2)

    # Takes a zone out for 5 s more than `seconds`.
    async def zone_out(self, seconds):
        zone = self.random.choice(self.run.zones)
        if zone in self.run.observer.zones_out:
            return
        await self.run.take_zone_out(zone)
        await asyncio.sleep(seconds + 5.0)
        await self.run.bring_zone_back(zone)

    # Adds or removes one to five routes, one every 0.2 s.
    async def routes_change(self, seconds):
        for _ in range(self.random.randint(1, 5)):
            await self.run.change_routes()
            await asyncio.sleep(0.2)

    # Triples the rate of jobs.
    async def burst(self, seconds):
        self.run.callers.rate *= 3
        await asyncio.sleep(seconds)
        self.run.callers.rate /= 3
