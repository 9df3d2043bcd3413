"""What the soak's check of the counts of waiting jobs takes for a broken promise."""

import math
import random
from types import SimpleNamespace
from typing import Any

import pytest

from soak.callers import Callers, PendingCount, SubmissionState, TrackedJob
from soak.checks import check_counts

ASKED_AT = 100.0
ANSWERED_AT = 100.5


def make_ticket(accepted_at: float, wants_cancel: bool = False) -> TrackedJob:
    ticket = TrackedJob(random.Random(accepted_at))
    ticket.state = SubmissionState.ACCEPTED
    ticket.accepted_at = accepted_at
    ticket.wants_cancel = wants_cancel
    return ticket


def check(
    pending: int, jobs: list[TrackedJob], started: dict[str, float] | None = None
) -> tuple[int, list[str]]:
    starts = [(at, f"{job}.0.0.1", 1) for job, at in (started or {}).items()]
    site: Any = SimpleNamespace(runners=[SimpleNamespace(started=starts)], members=[])
    callers = Callers(site, 1)
    callers.jobs = jobs
    callers.counts = [PendingCount(ASKED_AT, ANSWERED_AT, pending)]
    return check_counts(site, callers)


@pytest.mark.parametrize(
    ("pending", "broken"), [(-1, 1), (0, 1), (1, 1), (2, 0), (3, 0), (99, 0)]
)
def test_under_half_of_what_waits_is_too_small(pending, broken):
    # A count that left out jobs whose starts came to nothing was told to callers.
    told, wrong = check(pending, [make_ticket(90.0 + n) for n in range(3)])
    assert (told, len(wrong)) == (1, broken)


def test_one_job_that_waits_alone_must_be_counted():
    # On a quiet queue a single job that is left out is half of all.
    assert len(check(0, [make_ticket(94.9)])[1]) == 1


@pytest.mark.parametrize(
    "ticket",
    [
        make_ticket(95.1),
        make_ticket(math.inf),
        make_ticket(90.0, wants_cancel=True),
    ],
)
def test_young_unanswered_and_cancelled_jobs_may_be_left_out(ticket):
    assert check(0, [ticket]) == (0, [])


def test_a_job_counts_until_its_first_task_starts():
    ticket = make_ticket(90.0)
    assert check(0, [ticket], {ticket.job_id: 100.4}) == (0, [])
    assert len(check(0, [ticket], {ticket.job_id: 100.6})[1]) == 1


def test_an_answer_without_a_number_is_never_right():
    assert len(check(-1, [])[1]) == 1
