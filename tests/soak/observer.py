"""Checks the guarantees of the system from what callers and targets observe."""

import time

DRAIN_LIMIT_S = 2.0  # no task may start on a target this long after its report of draining was acknowledged
ZONE_OUT_LIMIT_S = 5.0  # no task may start in a zone this long after the zone was taken out
# No task of a job may start this long after the job's last caller left or was answered, nor run this long after that
# at the end of the test.
CANCEL_LIMIT_S = 3.0
# This long after a change no request may be handled in a way that only the previous state allows. The observer does
# not check this limit.
CONFIG_LIMIT_S = 2.0


# A job of a simulated caller. `job` is its id, `kind` one of callers.JOB_KINDS.
class Job:
    def __init__(self, job, kind, steps, spec):
        self.id, self.kind, self.steps, self.spec = job, kind, steps, spec
        self.send_times = []  # times at which a request for the job was sent
        self.refusal_count = 0
        self.answers = []
        self.starts = 0  # number of task runs that targets have started
        self.done = set()  # names of the tasks that have completed
        self.closed_at = None  # when the last caller left or was answered; None while a request is open


class Observer:
    """Collects the violations of guarantees as text: the name of a rule, the time and the details.

    Rules that this class checks:
      UNASKED  a task starts whose job is unknown or has another spec; or a task starts, or runs at the end of the test,
               more than CANCEL_LIMIT_S after the last caller of its job left or was answered
      REFUSED  a task has started although all requests for its job were refused
      TWICE    a task starts while another run of it is active
      LIMIT    the CPU demand of the active runs on a target exceeds its capacity
      ORDER    a task starts before all tasks of the steps that it depends on are done
      DRAIN    a task starts on a target more than DRAIN_LIMIT_S after its report of draining was acknowledged
      EVAC     a task starts in a zone more than ZONE_OUT_LIMIT_S after the zone was taken out
      MIXED    a job is answered as succeeded although some of its tasks are not done
    Rules that other modules check and add here:
      EXIT     a process exited unexpectedly
      STOP     a process did not stop as required after SIGTERM
      RETRY    a refusal has no Retry-After header
      RECOVER  too few of the jobs submitted during the evaluation were served
      MEMORY   a process uses more than MAX_MEMORY_MB at the evaluation
    """

    def __init__(self):
        self.jobs = {}
        self.active = {}  # task name to its active runs: {(target name, number of its lifetime): run number}
        self.used_cpu = {}  # (target name, lifetime) to the CPU demand of its active runs, in thousandths of a core
        self.zones_out = {}  # zone to the time at which it was taken out
        self.exempt_until = {}  # target name to the end of its exemption from time bounds
        self.violations = []
        self.start_time = time.monotonic()

    def add_violation(self, rule, text):
        self.violations.append(f"{rule} at={time.monotonic() - self.start_time:.3f} {text}")

    def exempt(self, name, seconds):
        """Exempts a target from rules with a time bound, because a fault affects it or its agent."""
        end = time.monotonic() + seconds
        self.exempt_until[name] = max(self.exempt_until.get(name, 0), end)

    def time_bounds_apply(self, name, now):
        return now >= self.exempt_until.get(name, 0)

    # Targets

    @staticmethod
    def parse_task_name(task):
        job, _, step, index = task.split(".")
        return job, int(step), int(index)

    def run_time_s(self, task):
        job, step, _ = self.parse_task_name(task)
        return self.jobs[job].steps[step]["run_s"] if job in self.jobs else 0.05

    def cpu_demand(self, task):
        job, step, _ = self.parse_task_name(task)
        return self.jobs[job].steps[step]["cpu"] if job in self.jobs else 0

    def started(self, target, task, run, spec):
        now = time.monotonic()
        name, step, _ = self.parse_task_name(task)
        job = self.jobs.get(name)
        if job is None or job.spec != spec:
            self.add_violation("UNASKED", f"task={task} target={target.name}")
            return
        job.starts += 1
        if job.refusal_count and job.refusal_count == len(job.send_times):
            self.add_violation("REFUSED", f"task={task} starts after the refusal of its job")
        others = self.active.setdefault(task, {})
        if others:
            self.add_violation("TWICE", f"task={task} run={run} target={target.name} others={others}")
        lifetime = (target.name, target.lifetime_count)
        others[lifetime] = run
        self.used_cpu[lifetime] = self.used_cpu.get(lifetime, 0) + self.cpu_demand(task)
        if self.used_cpu[lifetime] > target.cpu:
            self.add_violation("LIMIT", f"target={target.name} used={self.used_cpu[lifetime]} of={target.cpu}")
        for before in job.steps[step].get("after", []):
            for index in range(job.steps[before]["count"]):
                if f"{name}.0.{before}.{index}" not in job.done:
                    self.add_violation("ORDER", f"task={task} before step={before} index={index}")
        acked = target.drain_acked
        if acked is not None and now - acked > DRAIN_LIMIT_S and self.time_bounds_apply(target.name, now):
            self.add_violation("DRAIN", f"task={task} target={target.name} after_s={now - acked:.2f}")
        out = self.zones_out.get(target.zone)
        if out is not None and now - out > ZONE_OUT_LIMIT_S and self.time_bounds_apply(target.name, now):
            self.add_violation("EVAC", f"task={task} zone={target.zone} after_s={now - out:.2f}")
        if job.closed_at is not None and now - job.closed_at > CANCEL_LIMIT_S and \
                self.time_bounds_apply(target.name, now):
            self.add_violation("UNASKED", f"task={task} after_s={now - job.closed_at:.2f} target={target.name}")

    def ended(self, target, task, run, end_reason):
        lifetime = (target.name, target.lifetime_count)
        if self.active.get(task, {}).pop(lifetime, None) is not None:
            self.used_cpu[lifetime] -= self.cpu_demand(task)
        if end_reason == "done" and (job := self.jobs.get(self.parse_task_name(task)[0])) is not None:
            job.done.add(task)

    def check_orphans(self):
        """Reports tasks that still run long after their callers left. Called at the end of the test."""
        now = time.monotonic()
        for task, runs_by_lifetime in self.active.items():
            job = self.jobs[self.parse_task_name(task)[0]]
            for name, _ in runs_by_lifetime:
                if job.closed_at is not None and now - job.closed_at > CANCEL_LIMIT_S and \
                        self.time_bounds_apply(name, now):
                    self.add_violation("UNASKED", f"task={task} runs on target={name}")

    # Callers

    def submitted(self, job):
        self.jobs.setdefault(job.id, job).closed_at = None

    def answered(self, job, state):
        job.closed_at = time.monotonic()
        job.answers.append(state)
        wanted = {f"{job.id}.0.{number}.{index}" for number, step in enumerate(job.steps)
                  for index in range(step["count"])}
        if state == "succeeded" and not wanted <= job.done:
            self.add_violation("MIXED", f"job={job.id} missing={sorted(wanted - job.done)[:3]}")

    def refused(self, job):
        job.closed_at = time.monotonic()
        job.refusal_count += 1
        if job.refusal_count == len(job.send_times) and job.starts > 0:
            self.add_violation("REFUSED", f"job={job.id} starts={job.starts}")

    # Records that a request ended without the job's outcome: time-out, broken connection or unexpected status.
    def caller_left(self, job):
        job.closed_at = time.monotonic()
