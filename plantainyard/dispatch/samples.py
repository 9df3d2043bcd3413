"""What a report tells of serving tails, and of the work beside them.

Runners smooth the tails that they report; processor time in use they report as it is.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from plantainyard.batch.tasks import TaskKey
from plantainyard.dispatch.model import Phase, Runner, Task
from plantainyard.platform.runners import ReportedRun

__all__ = [
    "QUIET_WEIGHT",
    "SMOOTHING_S",
    "Sample",
    "Tail",
    "is_steady",
    "read_sample",
    "undo_smoothing",
]

QUIET_UTILIZATION = 0.85
"""Part of the processor time that a backfilling task may use at its pace, below which
it is in a quiet phase: such phases last seconds and use 0.68 of it."""

QUIET_WEIGHT = 0.25
"""Part of its usual weight that a task has in a quiet phase."""

STEADY_TOLERANCE = 0.02
"""Change of a load from one report to the next up to which it is steady."""

SMOOTHING_S = 0.42
"""Time over which runners smooth the tails that they report: after a stop of what
harmed, a tail falls by 40 to 50 % in 0.28 s."""

DESMOOTHING_THRESHOLD = 0.15
"""Change of a tail between two reports from which the smoothing is undone; a smaller
one would only be made noisier."""


class Tail(NamedTuple):
    """The reported tail of a serving task at work, in targets."""

    task: TaskKey
    image: str
    value: float


@dataclass(slots=True, eq=False)
class Sample:
    """One report of a runner.

    Attributes
    ----------
    incarnation : str
        The runner's life.
    tails : list of Tail
        Serving tasks at work.
    loads : dict
        Share of the runner's processors in use by backfilling image; what is in a quiet
        phase counts as the part that harms.
    """

    incarnation: str
    tails: list[Tail] = field(default_factory=list)
    loads: dict[str, float] = field(default_factory=dict)


def read_sample(runner: Runner, running: Iterable[ReportedRun]) -> Sample:
    """Return what a report says about harm at the runner."""
    sample = Sample(runner.incarnation)
    assert runner.entry is not None
    cpu = max(1, runner.entry.capacity.cpu)
    for row in running:
        task = runner.tasks.get(row.task)
        if task is None or row.load is None or task.phase != Phase.RUNNING:
            continue
        spec = task.step.spec
        if spec.target_ms and row.percent >= 100:
            value = row.load / spec.target_ms
            sample.tails.append(Tail(task.key, spec.image, value))
        elif spec.backfill:
            load = sample.loads.get(spec.image, 0.0)
            sample.loads[spec.image] = load + _weigh_load(task, row.load) / cpu
    return sample


def _weigh_load(task: Task, used: float) -> float:
    """Return the processor time in use by a backfilling task, as far as it harms.

    Notes
    -----
    Guards against a harmful image that is taken for harmless after seconds in which
    its tasks were in quiet phases, and is let go just before they end.
    """
    pace = min(task.pace, task.pace_before) / 100
    busy = used >= QUIET_UTILIZATION * pace * task.step.spec.resources.cpu
    return used if busy else QUIET_WEIGHT * used


def is_steady(before: Sample, sample: Sample) -> bool:
    """Return whether the same loads work beside the tasks as at the last report."""
    images = before.loads.keys() | sample.loads.keys()
    return all(
        abs(before.loads.get(image, 0.0) - sample.loads.get(image, 0.0))
        < STEADY_TOLERANCE
        for image in images
    )


def undo_smoothing(value: float, before: float, elapsed_s: float) -> float:
    """Return a tail as it was at the end of the time over which it was smoothed."""
    if elapsed_s <= 0 or abs(value - before) < DESMOOTHING_THRESHOLD * value:
        return value
    kept = math.exp(-elapsed_s / SMOOTHING_S)
    return max(value / 4, (value - kept * before) / (1 - kept))
