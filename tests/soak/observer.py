"""Checks the promises of the system from what callers and targets see."""

import time

DRAIN_S = 2.0  # after an acknowledged report of draining no task starts
ZONE_OUT_S = 5.0  # after a zone was taken out no task starts there
CANCEL_S = 3.0  # after its caller has left no task of a job runs
CONFIG_S = 2.0  # after a change no request is handled as only the state before allows


class Job:
    def __init__(self, job, kind, steps, spec):
        self.id, self.kind, self.steps, self.spec = job, kind, steps, spec
        self.asked = []  # sends, each with the time of its end or None
        self.refused = 0
        self.answers = []
        self.starts = 0
        self.done = set()
        self.left = None  # when the last caller left or was answered


class Observer:
    """Collects violations as text; a violation is a broken promise."""

    def __init__(self):
        self.jobs = {}
        self.active = {}  # task name to {(target name, life): run}
        self.used = {}  # (target name, life) to processors of its active runs
        self.zones_out = {}  # zone to time of the change
        self.disturbed = {}  # target name to the end of the last fault near it or its agent
        self.violations = []
        self.origin = time.monotonic()

    def violate(self, rule, text):
        self.violations.append(f"{rule} at={time.monotonic() - self.origin:.3f} {text}")

    def disturb(self, name, seconds):
        """Rules with a time bound do not hold for a target whose agent is disturbed."""
        end = time.monotonic() + seconds
        self.disturbed[name] = max(self.disturbed.get(name, 0), end)

    def calm(self, name, now):
        return now >= self.disturbed.get(name, 0)

    # Targets

    @staticmethod
    def parts(task):
        job, _, step, index = task.split(".")
        return job, int(step), int(index)

    def run_time(self, task):
        job, step, _ = self.parts(task)
        return self.jobs[job].steps[step]["run_s"] if job in self.jobs else 0.05

    def demand(self, task):
        job, step, _ = self.parts(task)
        return self.jobs[job].steps[step]["cpu"] if job in self.jobs else 0

    def started(self, target, task, run, spec):
        now = time.monotonic()
        name, step, _ = self.parts(task)
        job = self.jobs.get(name)
        if job is None or job.spec != spec:
            self.violate("UNASKED", f"task={task} target={target.name}")
            return
        job.starts += 1
        if job.refused and job.refused == len(job.asked):
            self.violate("REFUSED", f"task={task} starts after the refusal of its job")
        others = self.active.setdefault(task, {})
        if others:
            self.violate("TWICE", f"task={task} run={run} target={target.name} others={others}")
        life = (target.name, target.lives)
        others[life] = run
        self.used[life] = self.used.get(life, 0) + self.demand(task)
        if self.used[life] > target.cpu:
            self.violate("LIMIT", f"target={target.name} used={self.used[life]} of={target.cpu}")
        for before in job.steps[step].get("after", []):
            for index in range(job.steps[before]["count"]):
                if f"{name}.0.{before}.{index}" not in job.done:
                    self.violate("ORDER", f"task={task} before step={before} index={index}")
        acked = target.drain_acked
        if acked is not None and now - acked > DRAIN_S and self.calm(target.name, now):
            self.violate("DRAIN", f"task={task} target={target.name} after_s={now - acked:.2f}")
        out = self.zones_out.get(target.zone)
        if out is not None and now - out > ZONE_OUT_S and self.calm(target.name, now):
            self.violate("EVAC", f"task={task} zone={target.zone} after_s={now - out:.2f}")
        if job.left is not None and now - job.left > CANCEL_S and self.calm(target.name, now):
            self.violate("UNASKED", f"task={task} after_s={now - job.left:.2f} target={target.name}")

    def ended(self, target, task, run, how):
        life = (target.name, target.lives)
        if self.active.get(task, {}).pop(life, None) is not None:
            self.used[life] -= self.demand(task)
        if how == "done" and (job := self.jobs.get(self.parts(task)[0])) is not None:
            job.done.add(task)

    def orphans(self):
        """Tasks that run on although their callers left long ago; call it at the end of a run."""
        now = time.monotonic()
        for task, holders in self.active.items():
            job = self.jobs[self.parts(task)[0]]
            for name, _ in holders:
                if job.left is not None and now - job.left > CANCEL_S and self.calm(name, now):
                    self.violate("UNASKED", f"task={task} runs on target={name}")

    # Callers

    def submitted(self, job):
        self.jobs.setdefault(job.id, job).left = None

    def answered(self, job, state):
        job.left = time.monotonic()
        job.answers.append(state)
        wanted = {f"{job.id}.0.{number}.{index}" for number, step in enumerate(job.steps)
                  for index in range(step["count"])}
        if state == "succeeded" and not wanted <= job.done:
            self.violate("MIXED", f"job={job.id} missing={sorted(wanted - job.done)[:3]}")

    def refused(self, job):
        job.left = time.monotonic()
        job.refused += 1
        if job.refused == len(job.asked) and job.starts > 0:
            self.violate("REFUSED", f"job={job.id} starts={job.starts}")

    def lost(self, job):
        job.left = time.monotonic()
