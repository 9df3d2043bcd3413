"""Run times of steps, learned from the tasks that have ended.

Guards against work that is placed last because of an inaccurate declaration: a task of
one second that was declared with a tenth of it counted as of no more use after two
seconds, and everything else was placed before it.

Run times of the steps with one number in one queue are alike: their logarithms vary
around a mean. What a submitter declares is another estimate, with an error of its own.
Both are weighed by their variances, so that exact declarations stay in force.
"""

import math
from dataclasses import dataclass, field
from typing import NamedTuple

from plantainyard.batch.values import Submission
from plantainyard.dispatch.model import Job
from plantainyard.dispatch.policy import RunTimePolicy

__all__ = [
    "RunTimeEntry",
    "RunTimePrior",
    "RunTimes",
    "MAX_LOG",
    "MIN_LOG",
    "StepKey",
    "estimate_ms",
    "expire_entries",
    "learn_run_time",
    "list_priors",
    "replaces_declared",
    "round_figure",
    "weigh_estimate",
]

MIN_RUN_MS = 1.0
"""Shortest run time that is told apart; also stands for a declared time of zero."""

MAX_RUN_MS = 1e10
"""Longest run time, a third of a year: bounds what a mistaken declaration can do."""

MIN_LOG, MAX_LOG = math.log(MIN_RUN_MS), math.log(MAX_RUN_MS)

PRIOR_STEPS = 2.0
"""Number of steps that the prior variances count for: after as many, what was learned
is half of the estimate of a variance."""

PRIOR_VARIANCE = 1.0
"""Variance of the logarithm of run times before any was learned: a factor of e."""

PRIOR_ERROR = 0.16
"""Mean squared error of the logarithm of declared figures before any was learned: the
platform calls them rough, and they are usually within half of the run time."""

MIN_ERROR = 1e-4
"""Least mean squared error of declared figures: a hundredth of the run time is below
what reports resolve."""

MAX_STEPS = 50.0
"""Number of steps that an entry counts for at most, so that it follows a change of the
run times within as many steps."""

StepKey = tuple[str, int]
"""Queue and step number."""


class RunTimeEntry(NamedTuple):
    """What is known of the run times of one step number of a queue.

    Attributes
    ----------
    steps : float
        Number of steps that it was learned from; a task counts for its share of a step.
    mean, variance : float
        Mean and variance of the logarithm of run times in milliseconds.
    declared_steps : float
        Number of these steps whose run time was declared.
    error : float
        Mean squared error of the logarithm of these declared run times.
    learned_at : float
        When the last run time was learned, on the dispatcher's clock.
    """

    steps: float = 0.0
    mean: float = 0.0
    variance: float = 0.0
    declared_steps: float = 0.0
    error: float = 0.0
    learned_at: float = 0.0


class RunTimePrior(NamedTuple):
    """What another instance needs to know to estimate the run times of a step.

    Attributes
    ----------
    step : int
        Number of the step.
    mean, variance : float
        Mean of the logarithm of run times in milliseconds, and its variance for one
        step.
    declared_variance : float
        Mean squared error of the logarithm of declared figures.
    """

    step: int
    mean: float
    variance: float
    declared_variance: float


@dataclass(slots=True, eq=False)
class RunTimes:
    """What one owner has learned of run times.

    Attributes
    ----------
    entries : dict
        Entries by queue and step number, the one that was used last at the end. An
        entry is used when a run time is learned.
    changed_jobs : dict
        Jobs of which a run time was measured since the last tick, by id.
    jobs_to_update : list of Job
        Jobs that are yet to be updated from the entries.
    has_news : bool
        Whether an entry has changed since these jobs were listed.
    listed_at, stored_at : float
        When they were listed, and when the entries were last included in a commit.
    """

    entries: dict[StepKey, RunTimeEntry] = field(default_factory=dict)
    changed_jobs: dict[str, Job] = field(default_factory=dict)
    jobs_to_update: list[Job] = field(default_factory=list)
    has_news: bool = False
    listed_at: float = 0.0
    stored_at: float = 0.0


def learn_run_time(
    run_times: RunTimes,
    policy: RunTimePolicy,
    submission: Submission,
    number: int,
    run_ms: float,
    now: float,
) -> None:
    """Learn the run time of one task of a step.

    Parameters
    ----------
    run_times : RunTimes
        Changed in place.
    policy : RunTimePolicy
        Bounds the number of entries.
    submission : Submission
        The task's job.
    number : int
        Number of its step.
    run_ms : float
        Run time at full pace in milliseconds.
    now : float
        The dispatcher's clock.

    Notes
    -----
    Guards against a wide step that outweighs all others: its tasks are alike and say
    little more than one of them, so that each counts for its share of the step.
    """
    spec = submission.steps[number]
    key = submission.queue, number
    entry = run_times.entries.pop(key, RunTimeEntry())
    observed = _take_log(run_ms)
    weight = 1 / max(1, spec.size)
    entry = _add_run_time(entry, observed, weight)
    if spec.estimate_ms > 0:
        error = (observed - _take_log(spec.estimate_ms)) ** 2
        entry = _add_error(entry, error, weight)
    run_times.entries[key] = entry._replace(learned_at=now)
    run_times.has_news = True
    while len(run_times.entries) > policy.max_entries:
        del run_times.entries[next(iter(run_times.entries))]


def _take_log(run_ms: float) -> float:
    """Return the logarithm of a run time within its bounds."""
    return math.log(min(MAX_RUN_MS, max(MIN_RUN_MS, run_ms)))


def _add_run_time(entry: RunTimeEntry, observed: float, weight: float) -> RunTimeEntry:
    """Return the entry with a further run time in its exponential moving moments."""
    steps = min(MAX_STEPS, entry.steps + weight)
    share = weight / steps
    distance = observed - entry.mean
    return entry._replace(
        steps=steps,
        mean=entry.mean + share * distance,
        variance=(1 - share) * (entry.variance + share * distance**2),
    )


def _add_error(entry: RunTimeEntry, error: float, weight: float) -> RunTimeEntry:
    steps = min(MAX_STEPS, entry.declared_steps + weight)
    share = weight / steps
    return entry._replace(
        declared_steps=steps, error=entry.error + share * (error - entry.error)
    )


def replaces_declared(entry: RunTimeEntry | None, policy: RunTimePolicy) -> bool:
    """Return whether the declared run times of a step are too far off to be used.

    Notes
    -----
    Guards against a queue that is served worse for better figures: the order of
    placement allows for declared figures that are off by half, and puts off work that
    is known to be late only as it becomes so.
    """
    return find_declared_variance(entry or RunTimeEntry()) >= policy.min_error


def estimate_ms(run_times: RunTimes, submission: Submission, number: int) -> float:
    """Return the estimated run time of a step's tasks, in milliseconds.

    Notes
    -----
    The declared figure and the learned mean are weighed by the inverse of their
    variances. Before anything was learned, or once it is too old, the declared figure
    is returned as it is.
    """
    spec = submission.steps[number]
    entry = run_times.entries.get((submission.queue, number))
    if entry is None or spec.long_running:
        return min(MAX_RUN_MS, max(MIN_RUN_MS, spec.estimate_ms))
    return weigh_estimate(spec.estimate_ms, _make_prior(number, entry))


def weigh_estimate(declared_ms: float, prior: RunTimePrior) -> float:
    """Return the run time estimated from a declared figure and what was learned.

    Parameters
    ----------
    declared_ms : float
        Declared run time in milliseconds; zero if there is none.
    prior : RunTimePrior
        What was learned of the step.

    Examples
    --------
    >>> round(weigh_estimate(100.0, RunTimePrior(0, math.log(1_000), 0.25, 0.25)), 1)
    316.2
    """
    if declared_ms <= 0:
        return math.exp(prior.mean)
    declared_weight = 1 / prior.declared_variance
    learned_weight = 1 / prior.variance
    weighed = declared_weight * _take_log(declared_ms) + learned_weight * prior.mean
    return math.exp(weighed / (declared_weight + learned_weight))


def _make_prior(number: int, entry: RunTimeEntry) -> RunTimePrior:
    return RunTimePrior(
        number,
        entry.mean,
        find_learned_variance(entry),
        find_declared_variance(entry),
    )


def list_priors(
    run_times: RunTimes, policy: RunTimePolicy | None, queue: str
) -> tuple[RunTimePrior, ...]:
    """Return what replaces the declared run times of a queue's steps.

    Notes
    -----
    May be called from any thread.
    """
    if policy is None:
        return ()
    return tuple(
        RunTimePrior(number, *map(round_figure, _make_prior(number, entry)[1:]))
        for (name, number), entry in list(run_times.entries.items())
        if name == queue and replaces_declared(entry, policy)
    )


def find_learned_variance(entry: RunTimeEntry) -> float:
    """Return the variance of a step's run time around the learned mean.

    Notes
    -----
    It includes the error of the mean itself, which is large after one task.
    """
    steps = entry.steps
    variance = (PRIOR_STEPS * PRIOR_VARIANCE + steps * entry.variance) / (
        PRIOR_STEPS + steps
    )
    return variance * (1 + 1 / steps)


def find_declared_variance(entry: RunTimeEntry) -> float:
    """Return the mean squared error of the declared figures."""
    steps = entry.declared_steps
    error = (PRIOR_STEPS * PRIOR_ERROR + steps * entry.error) / (PRIOR_STEPS + steps)
    return max(MIN_ERROR, error)


def round_figure(value: float) -> float:
    """Return a learned figure as precisely as others need it."""
    return float(f"{value:.4g}")


def expire_entries(run_times: RunTimes, policy: RunTimePolicy, now: float) -> None:
    """Remove the entries that are too old, or more than the policy permits."""
    entries = run_times.entries
    while entries:
        oldest = next(iter(entries))
        is_old = now - entries[oldest].learned_at > policy.max_age_s
        if not is_old and len(entries) <= policy.max_entries:
            return
        del entries[oldest]
        run_times.has_news = True
