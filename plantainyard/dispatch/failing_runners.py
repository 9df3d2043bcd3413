"""Failing runners: how much failed runs speak against a runner, and its quarantine.

A runner that fails what it starts looks free and attracts new work. Jobs that fail
everywhere would suspend sound runners, if each failed run counted against its runner.
The blame is therefore decided relative to the other tasks of the same step.
"""

from collections.abc import Iterable

from plantainyard.dispatch.health_state import (
    Failure,
    Health,
    RunnerHealth,
    get_record,
    get_runner,
)
from plantainyard.dispatch.limits import Limits
from plantainyard.dispatch.model import Runner, Task
from plantainyard.dispatch.rates import StepRecord

__all__ = [
    "blame",
    "evaluate_failures",
    "observe_failure",
    "suspend_failing",
]

REPEATED_FAILURE_FACTOR = 0.25
"""Factor on the blame for a task that had failed before, which says little about the
runner."""


def blame(step: StepRecord, runner: str) -> float:
    """Return how much the failed runs of a step speak against a runner, from 0 to 1.

    Parameters
    ----------
    step : StepRecord
        The step.
    runner : str
        Incarnation of the runner.

    Notes
    -----
    Addresses jobs that can never succeed and fail at one runner after the other: if a
    task has also failed at another runner, and none has completed elsewhere, it is the
    job that fails. Otherwise the blame is the share of the tasks that haven't failed,
    among those that haven't failed at this runner; it is 1 if there are none.
    """
    here = step.failed_at.get(runner)
    if not here:
        return 0.0
    failed_elsewhere = len(step.failed_at) > 1
    done_elsewhere = step.done_count > step.done_at.get(runner, 0)
    if failed_elsewhere and not done_elsewhere:
        return 0.0
    others = step.size - len(here)
    if others <= 0:
        return 1.0
    return max(0.0, 1 - (len(step.failed) - len(here)) / others)


def observe_failure(health: Health, task: Task, runner: Runner, now: float) -> None:
    """Learn from a failed run of a task whose failures aren't counted yet."""
    record = get_record(health, task)
    record.seen_at = now
    record.failed.add(task.key.number)
    record.failed_at.setdefault(runner.incarnation, set()).add(task.key.number)
    found = get_runner(health, runner)
    factor = REPEATED_FAILURE_FACTOR if task.failures else 1.0
    found.failures.append(Failure(record, factor))
    _update_blame(found, runner)


def _update_blame(found: RunnerHealth, runner: Runner) -> None:
    """Update a runner's failure score; the siblings' ends may change the blame."""
    blamed = _sum_blame(found.failures, runner)
    runner.failure_score = max(0.0, runner.failure_score + blamed - found.blamed)
    found.blamed = blamed


def _sum_blame(failures: Iterable[Failure], runner: Runner) -> float:
    return sum(f.factor * blame(f.record, runner.incarnation) for f in failures)


def suspend_failing(health: Health, runner: Runner, limits: Limits, now: float) -> None:
    """Quarantine a runner that fails its tasks, if not too many are avoided already.

    Notes
    -----
    Addresses runners that fail at once whatever they start, ten times within an
    evaluation's interval. Failures of a single step are left to the next evaluation, as
    reports of its siblings may show by then that it is the job that fails. If the bound
    is reached, that evaluation also decides which runners are the worst.
    """
    if runner.failure_score < limits.quarantine_after:
        return
    found = get_runner(health, runner)
    if found.failures and len({id(f.record) for f in found.failures}) < 2:
        return
    _accuse(found, runner, limits, now)
    avoided = health.avoided
    if runner.incarnation in avoided or len(avoided) < health.max_avoided:
        avoided.add(runner.incarnation)
        runner.quarantined_until = found.failing_until


def _accuse(found: RunnerHealth, runner: Runner, limits: Limits, now: float) -> None:
    found.failing_until = now + limits.quarantine_s
    found.accused = tuple(found.failures)
    found.accused_from = limits.quarantine_after - runner.failure_score + found.blamed


def evaluate_failures(
    found: RunnerHealth, runner: Runner, limits: Limits, now: float
) -> None:
    """Update the blame, and end a quarantine once it is over or was unfounded.

    Notes
    -----
    Addresses jobs that are known to fail everywhere only after they have failed at the
    second runner. A later success at the runner ends no quarantine: its task may have
    started before the runner began to fail.
    """
    _update_blame(found, runner)
    if not found.failing_until:
        if runner.failure_score >= limits.quarantine_after:
            _accuse(found, runner, limits, now)
    elif _sum_blame(found.accused, runner) < found.accused_from:
        found.failing_until = 0.0
    elif found.failing_until < now:
        found.failing_until = 0.0
        found.failures.clear()
        found.blamed = 0.0
        runner.failure_score = limits.quarantine_after / 2
