"""Invariants that a soak checks, based on what callers and runners observe."""

import math
import random
import threading
from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from itertools import product

from plantainyard.clock import read_clock
from soak.callers import Callers, PendingCount, SubmissionState, TrackedJob
from soak.plan import Fault, FaultKind
from soak.site import EVACUATION_DEADLINE_S, Site
from standins.platform import RunnerState

__all__ = [
    "InvariantMonitor",
    "check_counts",
    "check_evacuations",
    "check_jobs",
    "list_waiting",
]

CHECK_INTERVAL_S = 0.05
"""Time between two checks of the running tasks."""

COMPLETION_TIMEOUT_S = 60.0
"""Longest time until all jobs have ended once all faults are healed. The longest lease
is 10 s, and the remaining work may have to wait for it twice."""

MIN_COUNTED_WAIT_S = 5.0
"""Waiting time after which an accepted job must be included in the count: a count may
be 2 s old, and a caller waits 3 s for a response."""


HELD_BACK_S = 2.0
"""Time after a fault within which orders that it held back arrive."""


class InvariantMonitor:
    """Checks all runners periodically and collects the violations in `broken`.

    Parameters
    ----------
    site : Site
        Site whose runners are checked.
    callers : Callers
        Source of the sizes of tasks.
    """

    def __init__(self, site: Site, callers: Callers) -> None:
        self.site = site
        self.callers = callers
        self.broken: list[str] = []

    def run(self, stopping: threading.Event) -> None:
        """Check periodically until `stopping` is set."""
        while not stopping.wait(CHECK_INTERVAL_S):
            self.check()

    def check(self) -> None:
        """Check that no task runs twice and no runner exceeds its capacity."""
        running = _list_running(self.site)
        counts = Counter(task for tasks in running.values() for task in tasks)
        for task, count in counts.items():
            if count > 1:
                self._record(f"{task} runs {count} times at once")
        sizes = {t.job_id: t.body["steps"] for t in list(self.callers.jobs)}
        for name, tasks in running.items():
            cpu = sum(_find_cpu(sizes, task) for task in tasks)
            capacity = self.site.runners[0].capacity["cpu"]
            if cpu > capacity:
                self._record(
                    f"{name} runs tasks of {cpu} cpu; its capacity is {capacity}"
                )

    def _record(self, violation: str) -> None:
        if violation not in self.broken:
            self.broken.append(violation)


def _list_running(site: Site) -> dict[str, list[str]]:
    """Return the running tasks by runner, all at the same point in time."""
    now = read_clock()
    found: dict[str, list[str]] = {}
    for runner in site.runners:
        runner.lock.acquire()
    try:
        for runner in site.runners:
            runner.advance(now)
            found[runner.runner] = list(runner.running)
    finally:
        for runner in site.runners:
            runner.lock.release()
    return found


def _find_cpu(sizes: dict[str, list[dict[str, int]]], task: str) -> int:
    job_id, _, step, _ = task.split(".")
    steps = sizes.get(job_id)
    return steps[int(step)]["cpu"] if steps else 0


def check_jobs(site: Site, callers: Callers) -> list[str]:
    """Return the jobs that end in a wrong state once all faults are healed."""
    source = random.Random(callers.seed)
    deadline = read_clock() + COMPLETION_TIMEOUT_S
    unfinished = [t for t in callers.jobs if t.state == SubmissionState.ACCEPTED]
    wrong: dict[str, str] = {}
    while unfinished and read_clock() < deadline:
        wrong = {
            t.job_id: found
            for t in unfinished
            if (found := _check_job(callers, t, source))
        }
        unfinished = [job for job in unfinished if job.job_id in wrong]
    started = {s[1].partition(".")[0] for r in site.runners for s in r.started}
    rejected = [t for t in callers.jobs if t.state == SubmissionState.REJECTED]
    ran = [f"{t.job_id} was refused and ran" for t in rejected if t.job_id in started]
    return [f"{job}: {found}" for job, found in wrong.items()] + ran


def _check_job(callers: Callers, job: TrackedJob, source: random.Random) -> str:
    """Return what is wrong with a job now, or an empty text if nothing is.

    Notes
    -----
    A request to cancel that wasn't answered with success is repeated, as real callers
    do: just after the faults all instances may be starting, and six attempts pass
    almost at once.
    """
    if job.wants_cancel and not job.cancelled:
        callers.cancel(job, source)
    status, body = callers.call("GET", job.job_id, source)
    expected = {"cancelled", "completed"} if job.wants_cancel else {"completed"}
    if job.long_running and job.cancelled:
        expected = {"cancelled"}
    if status == 200 and body.get("state") in expected:
        return ""
    return f"status {status}, {body}"


def check_evacuations(site: Site, plan: Sequence[Fault], began_at: float) -> list[str]:
    """Return the starts in evacuated domains after the bound.

    Notes
    -----
    A start is excused if it may have been on its way since before: its runner was cut
    off, which holds orders back, or an instance was paused.
    """
    return [
        f"{task} started on {runner.runner} {at - evacuation.begun_at:.2f} s after "
        f"the evacuation of {evacuation.domain} was requested"
        for runner, evacuation in product(site.runners, site.evacuations)
        if runner.domain == evacuation.domain
        for at, task, _ in runner.started
        if evacuation.begun_at + EVACUATION_DEADLINE_S
        < at
        < (evacuation.ended_at or math.inf)
        if not _was_held_back(site, runner, plan, at - began_at)
    ]


def _was_held_back(
    site: Site, runner: RunnerState, plan: Sequence[Fault], at: float
) -> bool:
    """Return whether an order that arrived at a time may have been sent long before."""
    number = site.runners.index(runner)
    return any(
        fault.at <= at <= fault.at + fault.for_s + HELD_BACK_S
        for fault in plan
        if fault.kind == FaultKind.PAUSE
        or (fault.kind == FaultKind.CUT_RUNNER and fault.target == number)
    )


def check_counts(site: Site, callers: Callers) -> tuple[int, list[str]]:
    """Return the number of counts that had to include a job, and the wrong counts.

    Notes
    -----
    As with the other checks, faults are no excuse: an instance that may not know all
    waiting jobs must refuse the query.
    """
    job_starts = _find_job_starts(site)
    checked = [(c, list_waiting(callers.jobs, job_starts, c)) for c in callers.counts]
    wrong = [
        f"a response reports {count.pending} waiting jobs at {count.asked_at:.3f}; "
        f"{len(waiting)} have waited for {MIN_COUNTED_WAIT_S} s: {waiting[:5]}"
        for count, waiting in checked
        if 2 * count.pending < len(waiting)
    ]
    return sum(bool(waiting) for _, waiting in checked), wrong


def _find_job_starts(site: Site) -> dict[str, float]:
    """Return the start time of the first task of each job that has started."""
    job_starts: dict[str, float] = {}
    for runner in site.runners:
        for at, task, _ in runner.started:
            job_id = task.partition(".")[0]
            job_starts[job_id] = min(at, job_starts.get(job_id, math.inf))
    return job_starts


def list_waiting(
    jobs: Iterable[TrackedJob], job_starts: Mapping[str, float], count: PendingCount
) -> list[str]:
    """Return the ids of the jobs that a count must include.

    Parameters
    ----------
    jobs : iterable of TrackedJob
        Jobs as their callers see them; jobs that they try to cancel are ignored.
    job_starts : mapping
        Start time of the first task of a job, by job.
    count : PendingCount
        Response that is checked.
    """
    return [
        job.job_id
        for job in jobs
        if job.accepted_at < count.asked_at - MIN_COUNTED_WAIT_S
        and not job.wants_cancel
        and job_starts.get(job.job_id, math.inf) > count.answered_at
    ]
