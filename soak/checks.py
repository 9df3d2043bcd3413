"""The promises that a soak checks, from what callers and runners see."""

import math
import random
import threading
from collections import Counter
from collections.abc import Iterable, Mapping

from plantainyard.clock import read_clock
from soak.callers import Callers, PendingCount, SubmissionState, TrackedJob
from soak.site import Site

__all__ = ["InvariantMonitor", "check_counts", "check_jobs", "list_waiting"]

LOOK_EVERY_S = 0.05
"""Time between looks at what runs."""

PATIENCE_S = 60.0
"""Longest wait for everything to be done once all faults are healed: the longest lease
is ten seconds, and all that is left may wait for it twice."""

SEEN_S = 5.0
"""Age from which an accepted job that waits must be in the count: a count may be two
seconds old, and a caller waits three for an answer."""


class InvariantMonitor:
    """Looks at all runners all the time; `broken` says what it found.

    Parameters
    ----------
    site : Site
        What to look at.
    callers : Callers
        For the sizes of tasks.
    """

    def __init__(self, site: Site, callers: Callers) -> None:
        self.site = site
        self.callers = callers
        self.broken: list[str] = []

    def run(self, stopping: threading.Event) -> None:
        """Look until `stopping` is set."""
        while not stopping.wait(LOOK_EVERY_S):
            self.look()

    def look(self) -> None:
        """Check that no task runs twice and no runner holds too much."""
        running = _list_running(self.site)
        counts = Counter(task for tasks in running.values() for task in tasks)
        for task, count in counts.items():
            if count > 1:
                self._note(f"{task} is at work {count} times")
        sizes = {t.job_id: t.body["steps"] for t in list(self.callers.jobs)}
        for name, tasks in running.items():
            cpu = sum(_find_cpu(sizes, task) for task in tasks)
            capacity = self.site.runners[0].capacity["cpu"]
            if cpu > capacity:
                self._note(f"{name} holds {cpu} of {capacity}")

    def _note(self, text: str) -> None:
        if text not in self.broken:
            self.broken.append(text)


def _list_running(site: Site) -> dict[str, list[str]]:
    """Return the tasks at work by runner, at one moment."""
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
    """Return what is wrong with the jobs once all faults are over."""
    source = random.Random(callers.seed)
    until = read_clock() + PATIENCE_S
    left = [t for t in callers.jobs if t.state == SubmissionState.ACCEPTED]
    wrong: dict[str, str] = {}
    while left and read_clock() < until:
        wrong = {t.job_id: found for t in left if (found := _ask(callers, t, source))}
        left = [ticket for ticket in left if ticket.job_id in wrong]
    started = {s[1].partition(".")[0] for r in site.runners for s in r.started}
    rejected = [t for t in callers.jobs if t.state == SubmissionState.REJECTED]
    ran = [f"{t.job_id} was refused and ran" for t in rejected if t.job_id in started]
    return [f"{job}: {found}" for job, found in wrong.items()] + ran


def _ask(callers: Callers, ticket: TrackedJob, source: random.Random) -> str:
    """Return what is wrong with a job now; empty where nothing is.

    Notes
    -----
    A request to cancel that wasn't answered with success is repeated, as callers do:
    just after the faults all instances may be starting, and six tries are over at once.
    """
    if ticket.wants_cancel and not ticket.cancelled:
        callers.cancel(ticket, source)
    status, body = callers.call("GET", ticket.job_id, source)
    expected = {"cancelled", "completed"} if ticket.wants_cancel else {"completed"}
    if ticket.lasting and ticket.cancelled:
        expected = {"cancelled"}
    if status == 200 and body.get("state") in expected:
        return ""
    return f"status {status}, {body}"


def check_counts(site: Site, callers: Callers) -> tuple[int, list[str]]:
    """Return how many counts could be too small, and which were.

    Notes
    -----
    As with the other checks, faults excuse nothing: an instance that may not know all
    that waits is to refuse the question.
    """
    begun = _find_begins(site)
    told = [(c, list_waiting(callers.jobs, begun, c)) for c in callers.counts]
    wrong = [
        f"{count.pending} jobs are said to wait at {count.asked_at:.3f}; "
        f"{len(waiting)} have for {SEEN_S} s: {waiting[:5]}"
        for count, waiting in told
        if 2 * count.pending < len(waiting)
    ]
    return sum(bool(waiting) for _, waiting in told), wrong


def _find_begins(site: Site) -> dict[str, float]:
    """Return when the first task of each job that has begun started."""
    begun: dict[str, float] = {}
    for runner in site.runners:
        for at, task, _ in runner.started:
            job_id = task.partition(".")[0]
            begun[job_id] = min(at, begun.get(job_id, math.inf))
    return begun


def list_waiting(
    jobs: Iterable[TrackedJob], begun: Mapping[str, float], count: PendingCount
) -> list[str]:
    """Return the jobs that a count must not leave out.

    Parameters
    ----------
    jobs : iterable of TrackedJob
        What callers know; jobs that they try to cancel don't count.
    begun : mapping
        When the first task of a job started, by job.
    count : PendingCount
        The answer.
    """
    return [
        ticket.job_id
        for ticket in jobs
        if ticket.accepted_at < count.asked_at - SEEN_S
        and not ticket.wants_cancel
        and begun.get(ticket.job_id, math.inf) > count.answered_at
    ]
