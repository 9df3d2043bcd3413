"""Callers that submit jobs, retry unanswered calls, cancel jobs and poll the queue."""

import json
import math
import random
import threading
from typing import Any, NamedTuple

import urllib3
from urllib3.exceptions import HTTPError

from plantainyard.clock import read_clock
from soak.site import LABEL, Site
from standins.platform.samples import HOST, PREFIX, make_body, make_step_body

__all__ = ["Callers", "PendingCount", "SubmissionState", "TrackedJob"]

TIMEOUT_S = 3.0
"""Time that a caller waits for a response."""

MAX_ATTEMPTS = 6
CANCELLED_SHARE = 0.15
LONG_RUNNING_SHARE = 0.1
LABELLED_SHARE = 2
"""One in so many jobs requires the label in its last step, if some runners have it."""

LONG_TASKS_SHARE = 2
LONG_TASKS_S = (6.0, 8.0, 10.0, 12.0, 14.0)
"""One in so many jobs has tasks that take so long, if there are long tasks: longer than
it takes until the tasks of a silent runner start elsewhere."""

REFUSED_STATUSES = (429, 503)
POLL_INTERVAL_RANGE_S = (0.1, 0.5)
"""Shortest and longest time between two polls of the number of waiting jobs."""
MISSING_COUNT = -1
"""Used as the count if a response contains none; it is always too small."""


class SubmissionState:
    """Result of a submission as far as its caller knows it."""

    ACCEPTED = "accepted"
    REJECTED = "rejected"
    UNKNOWN = "unknown"


class TrackedJob:
    """One job as its caller sees it.

    Attributes
    ----------
    job_id : str
        Id chosen by the caller.
    body : dict
        Submitted JSON object.
    long_running : bool
        The job has no end of its own.
    state : str
        One of `SubmissionState`.
    cancelled : bool
        The request to cancel it was answered with success.
    wants_cancel : bool
        Its caller tries to cancel it.
    accepted_at : float
        Time of the response that accepted it.
    """

    def __init__(self, source: random.Random, label: str = "") -> None:
        self.job_id = f"{source.getrandbits(64):016x}"
        long_running = source.random() < LONG_RUNNING_SHARE
        size = source.randint(1, 4)
        steps = [make_step_body(size, cpu=2000, long_running=long_running)]
        if not long_running and source.random() < 0.5:
            steps.append(make_step_body(2, cpu=3000, after=(0,)))
        # By the id, so that the other jobs of a seed don't depend on the label.
        if label and int(self.job_id, 16) % LABELLED_SHARE == 0:
            steps[-1]["requires"] = label
        self.body = make_body(*steps, spec=self.job_id)
        self.long_running = long_running
        self.wants_cancel = long_running or source.random() < CANCELLED_SHARE
        self.state = SubmissionState.UNKNOWN
        self.cancelled = False
        self.accepted_at = math.inf


class PendingCount(NamedTuple):
    """Response to a query for the number of waiting jobs.

    Attributes
    ----------
    asked_at, answered_at : float
        Times at which the query was sent and its response received.
    pending : int
        Number of waiting jobs.
    """

    asked_at: float
    answered_at: float
    pending: int


class Callers:
    """Callers of a site, each on a thread of its own.

    Attributes
    ----------
    jobs : list of TrackedJob
        Submitted jobs as the callers see them.
    counts : list of PendingCount
        Responses to queries for the number of waiting jobs.
    """

    def __init__(self, site: Site, seed: int, long_tasks: bool = False) -> None:
        self.site = site
        self.seed = seed
        self.long_tasks = long_tasks
        self.jobs: list[TrackedJob] = []
        self.counts: list[PendingCount] = []
        self.pool = urllib3.PoolManager(retries=False, maxsize=8)

    def run(self, number: int, stopping: threading.Event) -> None:
        """Submit one job after the other until `stopping` is set."""
        source = random.Random(f"{self.seed}/{number}")
        has_label = any(LABEL in runner.labels for runner in self.site.runners)
        label = LABEL if has_label else ""
        while not stopping.wait(source.uniform(0.05, 0.3)):
            job = TrackedJob(source, label)
            self.jobs.append(job)
            if self.long_tasks:
                self._lengthen(job)
            self._submit(job, source)
            if job.wants_cancel and job.state == SubmissionState.ACCEPTED:
                stopping.wait(source.uniform(0.0, 2.0))
                self.cancel(job, source)

    def _lengthen(self, job: TrackedJob) -> None:
        """Let the tasks of some jobs run for long, chosen by the id as the label is."""
        number, rest = divmod(int(job.job_id, 16), LONG_TASKS_SHARE)
        if rest or job.long_running:
            return
        for runner in self.site.runners:
            with runner.lock:
                runner.durations[job.job_id] = LONG_TASKS_S[number % len(LONG_TASKS_S)]

    def poll_counts(self, stopping: threading.Event) -> None:
        """Query the number of waiting jobs until `stopping` is set.

        Notes
        -----
        Uses a random generator of its own, so that the jobs of a seed don't depend on
        the number of queries.
        """
        source = random.Random(f"{self.seed}/counts")
        while not stopping.wait(source.uniform(*POLL_INTERVAL_RANGE_S)):
            asked_at = read_clock()
            status, body = self.call("GET", "", source)
            if status == 200:
                pending = body.get("pending", MISSING_COUNT)
                self.counts.append(PendingCount(asked_at, read_clock(), pending))

    def _submit(self, job: TrackedJob, source: random.Random) -> None:
        refused = 0
        for attempt in range(1, MAX_ATTEMPTS + 1):
            status, _ = self.call("POST", job.job_id, source, job.body)
            if status == 200:
                job.accepted_at = read_clock()
                job.state = SubmissionState.ACCEPTED
                return
            refused += status in REFUSED_STATUSES
            if refused == attempt and attempt >= 2:
                job.state = SubmissionState.REJECTED
                return

    def cancel(self, job: TrackedJob, source: random.Random) -> None:
        """Try to cancel a job, with a limited number of attempts."""
        for _ in range(MAX_ATTEMPTS):
            status, _ = self.call("DELETE", job.job_id, source)
            if status == 200:
                job.cancelled = True
                return

    def call(
        self, method: str, job_id: str, source: random.Random, body: Any = None
    ) -> tuple[int, dict[str, Any]]:
        """Call a random instance and return status and body of its response.

        The status is zero if no valid response was received.
        """
        instance = source.choice(self.site.instances)
        try:
            response = self.pool.request(
                method,
                f"http://{instance.address}{PREFIX}{job_id}",
                body=None if body is None else json.dumps(body).encode(),
                headers={"Host": HOST, "Content-Type": "application/json"},
                timeout=TIMEOUT_S,
            )
            return response.status, json.loads(response.data)
        except (HTTPError, OSError, ValueError):
            return 0, {}
