"""What is free at runners, and what will be once their finite tasks end.

Reservations for large tasks are decided by these estimates; see `room`.
"""

import math
from collections.abc import Iterable
from typing import NamedTuple

from plantainyard.batch.values import Resources, Step
from plantainyard.dispatch.model import Phase, Runner, Task
from plantainyard.dispatch.placing import measure_free
from plantainyard.dispatch.reservations import Room

__all__ = [
    "STOP_S",
    "Survey",
    "estimate_ready_s",
    "estimate_remaining_s",
    "fits",
    "sum_free",
    "survey_runners",
]

STOP_S = 0.5
"""Time in which a stopped run ends."""

MIN_PERCENT = 15
"""Progress, in percent, from which it says more about the remaining time of a run than
the submitter's estimate."""

OVERDUE_SHARE = 0.5
"""Remaining time, as a share of the elapsed time, of a run that has taken longer than
estimated."""


class Survey(NamedTuple):
    """What is free at a runner, and what will be once its finite tasks end.

    Attributes
    ----------
    runner : Runner
        The runner.
    free : Resources
        Its unreserved resources.
    ends : list of tuple of float and Resources
        Estimated time until each of its finite tasks ends, and what that releases, in
        order.
    """

    runner: Runner
    free: Resources
    ends: list[tuple[float, Resources]]

    def measure_most(self) -> Resources:
        """Return what is free once all its finite tasks have ended."""
        released = [resources for _, resources in self.ends]
        return Resources(*map(sum, zip(self.free, *released, strict=True)))


def survey_runners(room: Room, runners: Iterable[Runner], now: float) -> list[Survey]:
    """Return what is and will be free at the runners that may be reserved."""
    return [
        Survey(runner, measure_free(runner), _list_ends(runner, now))
        for runner in runners
        if runner.reserved_for is None
        and room.paused_until.get(runner.incarnation, 0.0) <= now
        and not runner.missed_reports
    ]


def _list_ends(runner: Runner, now: float) -> list[tuple[float, Resources]]:
    ends = [
        (estimate_remaining_s(task, now), _get_released(task.step.spec))
        for task in runner.tasks.values()
        if not task.step.spec.long_running or task.phase == Phase.STOPPING
    ]
    return sorted(ends, key=_get_time)


def _get_time(end: tuple[float, Resources]) -> float:
    return end[0]


def _get_released(spec: Step) -> Resources:
    """Return what the end of a task releases; backfill tasks reserve no processors."""
    return spec.resources._replace(cpu=0) if spec.backfill else spec.resources


def estimate_remaining_s(task: Task, now: float) -> float:
    """Return the estimated time until a task's run ends.

    Notes
    -----
    Reported progress is preferred to the submitter's estimate, which may be off by a
    factor of e. A run that has taken longer than estimated is assumed to take half as
    long again.
    """
    if task.phase == Phase.STOPPING:
        return STOP_S
    estimate_s = task.step.spec.estimate_ms / 1000
    if task.resolved_at is None:
        return estimate_s
    elapsed_s = now - task.resolved_at
    if MIN_PERCENT <= task.percent < 100:
        known_s = task.progress_at - task.resolved_at
        return max(0.0, known_s * 100 / task.percent - elapsed_s)
    pace = max(task.pace, 1) / 100 if task.step.spec.backfill else 1.0
    left_s = estimate_s / pace - elapsed_s
    return left_s if left_s > 0 else OVERDUE_SHARE * elapsed_s


def estimate_ready_s(wanted: Resources, survey: Survey) -> float:
    """Return the estimated time until `wanted` is free; infinite if it never will be.

    Examples
    --------
    >>> ends = [(0.5, Resources(2_000)), (2.0, Resources(4_000))]
    >>> survey = Survey(Runner("r0@1", None), Resources(1_000), ends)
    >>> estimate_ready_s(Resources(3_000), survey)
    0.5
    """
    free = survey.free
    if fits(wanted, free):
        return 0.0
    for after_s, released in survey.ends:
        free = _add(free, released)
        if fits(wanted, free):
            return after_s
    return math.inf


def fits(wanted: Resources, free: Resources) -> bool:
    """Return whether the wanted resources are within the free ones."""
    return (
        wanted.cpu <= free.cpu and wanted.memory <= free.memory
    ) and wanted.gpu <= free.gpu


def _add(a: Resources, b: Resources) -> Resources:
    return Resources(a.cpu + b.cpu, a.memory + b.memory, a.gpu + b.gpu)


def sum_free(free: Resources, tasks: tuple[Task, ...]) -> Resources:
    """Return what is free once tasks have released their resources."""
    for task in tasks:
        free = _add(free, task.step.spec.resources)
    return free
