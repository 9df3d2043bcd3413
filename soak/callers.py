"""Callers: they submit, repeat where no answer came, cancel, and ask."""

import json
import math
import random
import threading
from typing import Any, NamedTuple

import urllib3
from urllib3.exceptions import HTTPError

from plantainyard.clock import read_clock
from soak.site import Site
from standins.platform.samples import HOST, PREFIX, make_body, make_step_body

__all__ = ["Callers", "PendingCount", "TrackedJob", "SubmissionState"]

TIMEOUT_S = 3.0
"""Time that a caller waits for an answer."""

TRIES = 6
CANCELLED_PART = 0.15
LASTING_PART = 0.1
REFUSED = (429, 503)
COUNT_EVERY_S = (0.1, 0.5)
"""Shortest and longest time between two questions for the number of waiting jobs."""
UNTOLD = -1
"""Taken for the number where an answer has none; it is always too small."""


class SubmissionState:
    """What a caller knows of its submission."""

    ACCEPTED = "accepted"
    REJECTED = "rejected"
    UNKNOWN = "unknown"


class TrackedJob:
    """One job as its caller sees it.

    Attributes
    ----------
    job_id : str
        Chosen by the caller.
    body : dict
        What was submitted.
    state : str
        One of `SubmissionState`.
    cancelled : bool
        The request to cancel it was answered with success.
    wants_cancel : bool
        Its caller tries to cancel it.
    accepted_at : float
        When its caller was told that it is accepted.
    """

    def __init__(self, source: random.Random) -> None:
        self.job_id = f"{source.getrandbits(64):016x}"
        lasting = source.random() < LASTING_PART
        size = source.randint(1, 4)
        steps = [make_step_body(size, cpu=2000, long_running=lasting)]
        if not lasting and source.random() < 0.5:
            steps.append(make_step_body(2, cpu=3000, after=(0,)))
        self.body = make_body(*steps, spec=self.job_id)
        self.lasting = lasting
        self.wants_cancel = lasting or source.random() < CANCELLED_PART
        self.state = SubmissionState.UNKNOWN
        self.cancelled = False
        self.accepted_at = math.inf


class PendingCount(NamedTuple):
    """An answer to the question for the number of waiting jobs.

    Attributes
    ----------
    asked_at, answered_at : float
        When the question was sent, and when its answer was there.
    pending : int
        The number.
    """

    asked_at: float
    answered_at: float
    pending: int


class Callers:
    """Callers of a site, each on a thread of its own.

    Attributes
    ----------
    jobs : list of TrackedJob
        What they know of their jobs.
    counts : list of PendingCount
        What they were told of the number of waiting jobs.
    """

    def __init__(self, site: Site, seed: int) -> None:
        self.site = site
        self.seed = seed
        self.jobs: list[TrackedJob] = []
        self.counts: list[PendingCount] = []
        self.pool = urllib3.PoolManager(retries=False, maxsize=8)

    def run(self, number: int, stopping: threading.Event) -> None:
        """Submit one job after the other until `stopping` is set."""
        source = random.Random(f"{self.seed}/{number}")
        while not stopping.wait(source.uniform(0.05, 0.3)):
            ticket = TrackedJob(source)
            self.jobs.append(ticket)
            self._submit(ticket, source)
            if ticket.wants_cancel and ticket.state == SubmissionState.ACCEPTED:
                stopping.wait(source.uniform(0.0, 2.0))
                self.cancel(ticket, source)

    def poll_counts(self, stopping: threading.Event) -> None:
        """Ask for the number of waiting jobs until `stopping` is set.

        Notes
        -----
        It draws from a source of its own: the jobs of a seed don't depend on it.
        """
        source = random.Random(f"{self.seed}/counts")
        while not stopping.wait(source.uniform(*COUNT_EVERY_S)):
            asked_at = read_clock()
            status, body = self.call("GET", "", source)
            if status == 200:
                pending = body.get("pending", UNTOLD)
                self.counts.append(PendingCount(asked_at, read_clock(), pending))

    def _submit(self, ticket: TrackedJob, source: random.Random) -> None:
        refused = 0
        for tries in range(1, TRIES + 1):
            status, _ = self.call("POST", ticket.job_id, source, ticket.body)
            if status == 200:
                ticket.accepted_at = read_clock()
                ticket.state = SubmissionState.ACCEPTED
                return
            refused += status in REFUSED
            if refused == tries and tries >= 2:
                ticket.state = SubmissionState.REJECTED
                return

    def cancel(self, ticket: TrackedJob, source: random.Random) -> None:
        """Try to cancel a job."""
        for _ in range(TRIES):
            status, _ = self.call("DELETE", ticket.job_id, source)
            if status == 200:
                ticket.cancelled = True
                return

    def call(
        self, method: str, job_id: str, source: random.Random, body: Any = None
    ) -> tuple[int, dict[str, Any]]:
        """Call one instance; status zero where no answer came."""
        member = source.choice(self.site.members)
        try:
            answer = self.pool.request(
                method,
                f"http://{member.address}{PREFIX}{job_id}",
                body=None if body is None else json.dumps(body).encode(),
                headers={"Host": HOST, "Content-Type": "application/json"},
                timeout=TIMEOUT_S,
            )
            return answer.status, json.loads(answer.data)
        except (HTTPError, OSError, ValueError):
            return 0, {}
