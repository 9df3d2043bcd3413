"""Tail latencies of serving tasks, and the backfill load beside them, from reports.

Runners smooth the tail latencies that they report; the processor time in use is
reported unsmoothed.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from plantainyard.batch.tasks import TaskKey
from plantainyard.dispatch.model import Phase, Runner, Task
from plantainyard.platform.runner_messages import ReportedRun

__all__ = [
    "MAX_IMAGES",
    "QUIET_WEIGHT",
    "SMOOTHING_S",
    "Sample",
    "Tail",
    "is_steady",
    "read_sample",
    "undo_smoothing",
]

QUIET_UTILIZATION = 0.85
"""Utilization of the processor time allowed by its pace below which a backfill task is
considered to be in a quiet phase; such phases last seconds and use 0.68 of it."""

QUIET_WEIGHT = 0.25
"""Factor on a task's weight during a quiet phase."""

STEADY_TOLERANCE = 0.02
"""Change of a load between two reports up to which it counts as steady."""

SMOOTHING_S = 0.42
"""Time constant of the runners' smoothing of tail latencies: after interfering work is
stopped, a reported tail falls by 40 to 50 % in 0.28 s."""

DESMOOTHING_THRESHOLD = 0.15
"""Relative change of a tail between two reports from which the smoothing is undone; for
smaller changes that would only add noise."""


class Tail(NamedTuple):
    """The reported tail latency of a running serving task, in units of its target."""

    task: TaskKey
    image: str
    value: float


@dataclass(slots=True, eq=False)
class Sample:
    """One report of a runner.

    Attributes
    ----------
    incarnation : str
        Incarnation of the runner.
    tails : list of Tail
        Tail latencies of the running serving tasks.
    loads : dict
        Share of the runner's processors in use by backfill image; of a task in a quiet
        phase only the part that interferes is counted.
    """

    incarnation: str
    tails: list[Tail] = field(default_factory=list)
    loads: dict[str, float] = field(default_factory=dict)


MAX_IMAGES = 32
"""Maximum number of backfill images that are told apart on a runner, and beside a
serving image; callers choose the names of images."""


def read_sample(runner: Runner, running: Iterable[ReportedRun]) -> Sample:
    """Return the tail latencies and backfill loads in a runner's report."""
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
            sample.loads[spec.image] = load + _weigh_usage(task, row.load) / cpu
    for image in _list_excess_images(sample.loads):
        del sample.loads[image]
    return sample


def _list_excess_images(loads: dict[str, float]) -> list[str]:
    """Return the images with the lowest loads beyond `MAX_IMAGES`."""
    if len(loads) <= MAX_IMAGES:
        return []
    return sorted(loads, key=lambda image: loads[image])[:-MAX_IMAGES]


def _weigh_usage(task: Task, used: float) -> float:
    """Return the part of a backfill task's processor time that interferes.

    Notes
    -----
    Guards against a harmful image that is considered harmless after its tasks have been
    in quiet phases for seconds, and is run at full speed just before these phases end.
    """
    pace = min(task.pace, task.previous_pace) / 100
    busy = used >= QUIET_UTILIZATION * pace * task.step.spec.resources.cpu
    return used if busy else QUIET_WEIGHT * used


def is_steady(before: Sample, sample: Sample) -> bool:
    """Return whether the backfill loads are the same as in the previous report."""
    images = before.loads.keys() | sample.loads.keys()
    return all(
        abs(before.loads.get(image, 0.0) - sample.loads.get(image, 0.0))
        < STEADY_TOLERANCE
        for image in images
    )


def undo_smoothing(value: float, before: float, elapsed_s: float) -> float:
    """Return the unsmoothed tail at the time of the report."""
    if elapsed_s <= 0 or abs(value - before) < DESMOOTHING_THRESHOLD * value:
        return value
    retained = math.exp(-elapsed_s / SMOOTHING_S)
    return max(value / 4, (value - retained * before) / (1 - retained))
