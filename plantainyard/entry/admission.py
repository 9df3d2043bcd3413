"""Admission: whether a submission is accepted, by the forecast of its unit's owner.

A job that can't end before it is of no more use takes capacity from others and earns
nothing. Its caller learns at once that there is no capacity in time, and when to come
back. Whatever is not known for certain leads to acceptance.
"""

import math
import threading
from collections import OrderedDict
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from plantainyard.batch.values import Submission
from plantainyard.dispatch.expectations import expect_end
from plantainyard.dispatch.load import QueueForecast
from plantainyard.dispatch.placing import is_finite
from plantainyard.dispatch.policy import AdmissionPolicy
from plantainyard.dispatch.queue import (
    CERTAIN_SHARE,
    LATE_FACTOR,
    find_allowed_time_s,
    find_critical_paths_ms,
)
from plantainyard.dispatch.run_times import RunTimePrior, weigh_estimate
from plantainyard.dispatch.unit_forecasts import UnitForecast
from plantainyard.dispatch.work_kinds import find_kind

__all__ = [
    "ACCEPTED",
    "Admission",
    "Cause",
    "RejectedJobs",
    "can_be_rejected",
    "choose_return_s",
    "decide_admission",
]

RETURNING_FACTOR = 1.5
"""Factor of the bound for callers that return after their time, so that whoever has
waited longest is admitted first."""

MAX_REJECTED_JOBS = 10_000
"""Maximum number of rejected ids that an instance remembers: about 1 MB."""

REJECTED_RETENTION_S = 60.0
"""Time for which an instance remembers a rejected id: twice the longest time after
which its caller is asked to return by default."""

SPREAD_DIGITS = 4
"""Number of hexadecimal digits of a job's id that determine its place in the spread."""

DIGITS_BASE = 16


class Cause:
    """Reasons for a decision."""

    IN_TIME = ""
    NO_CAPACITY = "no capacity in time"
    OPEN_JOBS = "too many open jobs"


class Admission(NamedTuple):
    """The decision about a submission.

    Attributes
    ----------
    cause : str
        One of `Cause`; empty if the job is accepted.
    retry_after_s : int
        Time after which the caller of a rejected job should return.
    wait_s, ratio, bound : float
        Time until the job would start, its end relative to its objective, and the
        ratio above which it is rejected.
    """

    cause: str = Cause.IN_TIME
    retry_after_s: int = 0
    wait_s: float = 0.0
    ratio: float = 0.0
    bound: float = 0.0


ACCEPTED = Admission()


def can_be_rejected(submission: Submission) -> bool:
    """Return whether admission applies: not to scheduled and long-running jobs."""
    has_long_running = any(step.long_running for step in submission.steps)
    return not submission.times and not has_long_running


def decide_admission(
    forecast: UnitForecast | None,
    submission: Submission,
    policy: AdmissionPolicy,
    is_returning: bool,
) -> Admission:
    """Return whether a job is accepted.

    Parameters
    ----------
    forecast : UnitForecast or None
        What the owner of the job's unit knows; None if it didn't tell.
    submission : Submission
        The job.
    policy : AdmissionPolicy
        Settings.
    is_returning : bool
        The job was rejected before, and its caller returns after its time.

    Notes
    -----
    Addresses bursts over a nearly full service, in which every job waits until it is of
    no more use. Rejects only if all units forecast that the job can't end within three
    times its objective and none has free capacity for it.
    """
    if forecast is None or not can_be_rejected(submission):
        return ACCEPTED
    has_current_count = forecast.own_age_s <= policy.max_age_s
    if has_current_count and forecast.open_jobs > policy.max_open_jobs:
        wait_s = max((row.wait_s for row in forecast.lowest), default=0.0)
        return_s = choose_return_s(wait_s, submission.job_id, policy.max_return_s)
        return Admission(Cause.OPEN_JOBS, return_s, wait_s)
    row = _find_row(forecast, submission)
    if row is None or forecast.age_s > policy.max_age_s:
        return ACCEPTED
    estimates_ms = _estimate_run_times(submission, forecast.run_times)
    path_ms = max(find_critical_paths_ms(submission.steps, estimates_ms))
    path_s = path_ms / 1000
    allowed_s = find_allowed_time_s(submission, path_ms)
    work = _measure_work(submission, estimates_ms)
    wait_s, ratio = expect_end(row.waits_s, row.late_waits_s, work, path_s, allowed_s)
    bound = LATE_FACTOR * (RETURNING_FACTOR if is_returning else 1.0)
    if ratio <= bound:
        return Admission(Cause.IN_TIME, 0, wait_s, ratio, bound)
    # The wait decreases by a second each second unless further work arrives.
    excess_s = wait_s + CERTAIN_SHARE * path_s - bound * allowed_s
    return_s = choose_return_s(excess_s, submission.job_id, policy.max_return_s)
    return Admission(Cause.NO_CAPACITY, return_s, wait_s, ratio, bound)


def _find_row(forecast: UnitForecast, submission: Submission) -> QueueForecast | None:
    """Return the forecast for a job's kind unless free capacity contradicts it."""
    kind = find_kind(submission)
    if kind is None:
        return None
    largest = max(
        (step.resources.cpu for step in submission.steps if is_finite(step)), default=0
    )
    has_capacity = (
        forecast.has_unused if kind.backfill else largest <= forecast.free_size
    )
    rows = (row for row in forecast.lowest if row.backfill == kind.backfill)
    return None if has_capacity else next(rows, None)


def _estimate_run_times(
    submission: Submission, learned: Iterable[RunTimePrior]
) -> tuple[float, ...]:
    """Return the estimated run time of each step's tasks in milliseconds.

    Notes
    -----
    Guards against a job that is rejected because its declared run time, and so the
    objective that follows from it, is far too short.
    """
    priors = {prior.step: prior for prior in learned}
    return tuple(
        weigh_estimate(step.estimate_ms, priors[number])
        if number in priors
        else step.estimate_ms
        for number, step in enumerate(submission.steps)
    )


def _measure_work(submission: Submission, estimates_ms: Sequence[float]) -> float:
    """Return the estimated work of a job in core-seconds."""
    return sum(
        step.size * max(step.resources.cpu, 1) * estimate_ms / 1e6
        for step, estimate_ms in zip(submission.steps, estimates_ms, strict=True)
    )


def choose_return_s(delay_s: float, job_id: str, max_return_s: float) -> int:
    """Return the time after which a caller should return, in whole seconds.

    Parameters
    ----------
    delay_s : float
        Time after which there may be capacity.
    job_id : str
        The job's id, a hexadecimal number.
    max_return_s : float
        Longest time.

    Notes
    -----
    Guards against callers that return together and form the next burst: they are spread
    over as much time again, at least over a second.

    Examples
    --------
    >>> choose_return_s(4.0, "0000000000000000", 30.0)
    4
    >>> choose_return_s(4.0, "7fffffffffffffff", 30.0)
    6
    >>> choose_return_s(60.0, "ffffffffffffffff", 30.0)
    30
    """
    share = int(job_id[:SPREAD_DIGITS], DIGITS_BASE) / DIGITS_BASE**SPREAD_DIGITS
    begin_s = min(max(1.0, delay_s), max_return_s / 2)
    return max(1, min(math.ceil(begin_s * (1 + share)), math.floor(max_return_s)))


class RejectedJobs:
    """The ids that an instance has rejected, and when their callers may return.

    Notes
    -----
    Bounded in number and age. It is in memory only: an instance that is lost forgets
    the ids, which costs their callers nothing but the leniency.
    """

    def __init__(self) -> None:
        self._rejected: OrderedDict[str, tuple[float, float]] = OrderedDict()
        self._lock = threading.Lock()

    def count(self) -> int:
        """Return the number of remembered ids."""
        return len(self._rejected)

    def add(self, job_id: str, retry_after_s: int, now: float) -> None:
        """Remember an id, of which the caller was asked to return after a time."""
        with self._lock:
            self._expire(now)
            self._rejected.pop(job_id, None)
            self._rejected[job_id] = now, now + retry_after_s
            if len(self._rejected) > MAX_REJECTED_JOBS:
                self._rejected.popitem(last=False)

    def is_returning(self, job_id: str, now: float) -> bool:
        """Return whether the caller of a rejected job returns after its time."""
        with self._lock:
            self._expire(now)
            found = self._rejected.get(job_id)
        return found is not None and now >= found[1]

    def discard(self, job_id: str) -> None:
        """Forget an id that was accepted."""
        with self._lock:
            self._rejected.pop(job_id, None)

    def _expire(self, now: float) -> None:
        while self._rejected:
            oldest = next(iter(self._rejected))
            if now - self._rejected[oldest][0] <= REJECTED_RETENTION_S:
                return
            del self._rejected[oldest]
