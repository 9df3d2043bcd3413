"""Measuring the run times of tasks, and estimating jobs from them.

The run time of a task at full pace is known once it has ended, and roughly once it has
reported some progress. What is measured of a step's own tasks replaces the estimate for
all of its tasks, as they are alike, and so moves the deadline of its job.
"""

from collections.abc import Iterable

from plantainyard.dispatch.model import Job, Task
from plantainyard.dispatch.pacing import FULL_PACE
from plantainyard.dispatch.policy import RunTimePolicy
from plantainyard.dispatch.queue import find_critical_paths_ms, set_deadlines
from plantainyard.dispatch.run_times import (
    RunTimes,
    estimate_ms,
    expire_entries,
    learn_run_time,
    replaces_declared,
)

__all__ = [
    "apply_run_time_policy",
    "begin_run_clock",
    "estimate_job",
    "measure_end",
    "measure_progress",
    "record_pace",
    "summarize_estimate",
    "update_estimates",
]

MIN_SHARE = 0.15
"""Share of a run that must have passed for its run time to be known: reports are whole
percents and come up to a second late."""

MAX_MEASURED_TASKS = 64
"""Number of measured tasks of a step that are kept: more would say little more."""

LIST_INTERVAL_S = 1.0
"""Time between updates of all jobs from the entries, which change with each task that
ends, but little."""

MAX_UPDATED_JOBS = 50
"""Number of jobs updated from the entries with one tick: each takes up to 0.04 ms."""


def begin_run_clock(task: Task) -> None:
    """Begin to measure a run whose start is sent; see `Task.worked_s`.

    Notes
    -----
    A run that resumes from a checkpoint is measured from its first reported progress.
    """
    task.worked_s = task.worked_until = 0.0
    task.first_percent = -1 if task.checkpoint else 0


def record_pace(task: Task, now: float) -> None:
    """Count the time of a run until now, before its pace changes."""
    if task.first_percent >= 0 and task.resolved_at is not None:
        since = task.worked_until or task.resolved_at
        task.worked_s += max(0.0, now - since) * _get_pace_share(task)
        task.worked_until = now


def _get_pace_share(task: Task) -> float:
    if not task.step.spec.backfill:
        return 1.0
    # A negative pace is one whose order failed: the one before it is in force.
    pace = task.pace if task.pace >= 0 else task.previous_pace
    return pace / FULL_PACE


def measure_progress(
    run_times: RunTimes, policy: RunTimePolicy | None, task: Task, now: float
) -> None:
    """Measure the run time of a task that has just reported progress.

    Notes
    -----
    A running task that reports 100 percent doesn't tell when it will end.
    """
    if policy is None or task.step.spec.long_running:
        return
    if not 0 <= task.percent < 100:
        return
    if task.first_percent < 0:
        task.first_percent = task.percent
        task.worked_s, task.worked_until = 0.0, now
        return
    record_pace(task, now)
    run_ms = _find_run_ms(task, task.percent)
    if run_ms:
        _record_run_time(run_times, task, run_ms)


def measure_end(
    run_times: RunTimes, policy: RunTimePolicy | None, task: Task, now: float
) -> None:
    """Measure and learn the run time of a task that has just completed."""
    if policy is None or task.step.spec.long_running:
        return
    record_pace(task, now)
    run_ms = _find_run_ms(task, 100)
    if run_ms:
        _record_run_time(run_times, task, run_ms)
        submission = task.step.job.submission
        learn_run_time(run_times, policy, submission, task.step.number, run_ms, now)


def _find_run_ms(task: Task, percent: int) -> float:
    """Return the run time of a task by its progress; 0.0 if that says too little."""
    share = (percent - task.first_percent) / 100
    if task.first_percent < 0 or not task.worked_until or share < MIN_SHARE:
        return 0.0
    return 1000 * task.worked_s / share


def _record_run_time(run_times: RunTimes, task: Task, run_ms: float) -> None:
    job = task.step.job
    measured = job.measured_ms.setdefault(task.step.number, {})
    measured[task.key.occurrence, task.key.number] = run_ms
    if len(measured) > MAX_MEASURED_TASKS:
        del measured[next(iter(measured))]
    run_times.changed_jobs[job.submission.record_id] = job


def update_estimates(
    run_times: RunTimes, jobs: Iterable[Job], policy: RunTimePolicy | None, now: float
) -> None:
    """Update the jobs of which something was learned since the last tick.

    Notes
    -----
    Guards against an owner that falls behind: a job's estimates are updated at most
    once per tick after its own tasks were measured. What was learned of other jobs
    is applied to all jobs at most once a second, `MAX_UPDATED_JOBS` per tick.
    """
    if policy is None:
        return
    expire_entries(run_times, policy, now)
    for job in run_times.changed_jobs.values():
        estimate_job(run_times, policy, job)
    run_times.changed_jobs = {}
    is_due = now - run_times.listed_at >= LIST_INTERVAL_S
    if run_times.has_news and is_due and not run_times.jobs_to_update:
        run_times.jobs_to_update = list(jobs)
        run_times.listed_at = now
        run_times.has_news = False
    for job in run_times.jobs_to_update[-MAX_UPDATED_JOBS:]:
        estimate_job(run_times, policy, job)
    del run_times.jobs_to_update[-MAX_UPDATED_JOBS:]


def estimate_job(run_times: RunTimes, policy: RunTimePolicy | None, job: Job) -> None:
    """Update the estimates of a job, its remaining time and its deadlines."""
    if policy is None or job.final_state:
        return
    numbers = range(len(job.submission.steps))
    estimates_ms = tuple(
        _estimate_step(run_times, policy, job, number) for number in numbers
    )
    if estimates_ms != job.estimates_ms:
        _set_estimates(job, estimates_ms)


def _estimate_step(
    run_times: RunTimes, policy: RunTimePolicy, job: Job, number: int
) -> float:
    entry = run_times.entries.get((job.submission.queue, number))
    if not replaces_declared(entry, policy):
        return float(job.submission.steps[number].estimate_ms)
    measured = job.measured_ms.get(number)
    if measured:
        return sorted(measured.values())[len(measured) // 2]
    return estimate_ms(run_times, job.submission, number)


def _set_estimates(job: Job, estimates_ms: tuple[float, ...]) -> None:
    job.estimates_ms = estimates_ms
    job.remaining_ms = find_critical_paths_ms(job.submission.steps, estimates_ms)
    set_deadlines(job, job.accepted_at)


def summarize_estimate(
    run_times: RunTimes, policy: RunTimePolicy | None, job: Job, now: float
) -> dict[str, float]:
    """Return what decided about a job's deadline, for logs; empty if switched off.

    Returns
    -------
    dict
        Longest chain of steps by declared and by estimated run times, and the age of
        the oldest entry that was available for it. A step without entry has no age.
    """
    if policy is None:
        return {}
    submission = job.submission
    found = (
        run_times.entries.get((submission.queue, number))
        for number in range(len(submission.steps))
    )
    ages_s = [now - entry.learned_at for entry in found if entry is not None]
    figures_s = {
        "declared_s": max(find_critical_paths_ms(submission.steps)) / 1000,
        "estimated_s": max(job.remaining_ms) / 1000,
        "entries_age_s": max(ages_s, default=-1.0),
    }
    return {name: round(seconds, 2) for name, seconds in figures_s.items()}


def apply_run_time_policy(
    run_times: RunTimes, jobs: Iterable[Job], policy: RunTimePolicy | None
) -> None:
    """Apply a policy that was read while jobs are open.

    Notes
    -----
    With the part switched off, the declared figures are in force again.
    """
    run_times.has_news = True
    if policy is not None:
        return
    run_times.entries.clear()
    run_times.changed_jobs = {}
    run_times.jobs_to_update = []
    for job in jobs:
        job.measured_ms = {}
        if job.estimates_ms:
            _set_estimates(job, ())
