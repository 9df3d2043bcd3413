"""Rate at which a unit completes work, by kind, over the last seconds.

Completed work shows the capacity only while more of its kind waits; otherwise it shows
how much work arrives. A rate is therefore known only for a kind of which tasks have
been waiting for some time.
"""

import math
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

__all__ = [
    "RunningWork",
    "Throughput",
    "WorkKind",
    "find_rate",
    "get_placed_work",
    "record_completed_work",
    "record_placed_work",
    "update_saturation",
]

WINDOW_S = 5.0
"""Time in seconds over which completed work is summed: several times as long as the
tasks of most jobs."""

SLICE_S = 0.5
"""Length in seconds of the slices of the window that are kept."""

MIN_SATURATED_S = 1.5
"""Time in seconds for which tasks must have been waiting: three slices."""

MIN_COMPLETIONS = 8
"""Number of completed tasks from which a rate is known."""

ERROR_BOUNDS = 2.0
"""Number of standard errors by which a rate is assumed to be higher than measured."""

PLACED_AT_ONCE_S = 1.0
"""Time in seconds for which work that was placed at once proves free capacity, and
within which it must have been placed."""


class WorkKind(NamedTuple):
    """Work that competes for the same processors.

    Attributes
    ----------
    service : str
        Service whose runners run it.
    backfill : bool
        Its tasks use what others leave unused; other tasks reserve their processors.
    """

    service: str
    backfill: bool


class RunningWork(NamedTuple):
    """The running tasks of a kind: their cores, and their longest estimated time."""

    cores: float
    longest_s: float


@dataclass(slots=True)
class _Slice:
    """Completed work of one slice of time."""

    number: int
    work: dict[WorkKind, float] = field(default_factory=dict)
    tasks: dict[WorkKind, int] = field(default_factory=dict)


@dataclass(slots=True)
class Throughput:
    """What a unit has completed and placed in the last seconds.

    Attributes
    ----------
    slices : deque of _Slice
        Completed work, oldest first.
    saturated_since : dict
        Time since which tasks of a kind have been waiting, by kind.
    placed : dict
        Work of the last jobs that were placed at once, with the time, by queue and
        whether they are backfill jobs.
    """

    slices: deque[_Slice] = field(
        default_factory=lambda: deque(maxlen=round(WINDOW_S / SLICE_S) + 1)
    )
    saturated_since: dict[WorkKind, float] = field(default_factory=dict)
    placed: dict[tuple[str, bool], list[tuple[float, float]]] = field(
        default_factory=dict
    )


def record_completed_work(
    throughput: Throughput, kind: WorkKind, work: float, now: float
) -> None:
    """Add a completed task's work, in core-seconds."""
    number = math.floor(now / SLICE_S)
    slices = throughput.slices
    if not slices or slices[-1].number != number:
        slices.append(_Slice(number))
    current = slices[-1]
    current.work[kind] = current.work.get(kind, 0.0) + work
    current.tasks[kind] = current.tasks.get(kind, 0) + 1


def record_placed_work(
    throughput: Throughput, queue: str, backfill: bool, work: float, now: float
) -> None:
    """Record that a job with so much work was placed at once.

    Notes
    -----
    Only the most recent placement of the largest job is needed; smaller ones that were
    placed earlier are removed, which bounds the list.
    """
    earlier = throughput.placed.get((queue, backfill), [])
    kept = [
        (at, size)
        for at, size in earlier
        if size > work and now - at <= PLACED_AT_ONCE_S
    ]
    throughput.placed[queue, backfill] = [*kept, (now, work)]


def get_placed_work(
    throughput: Throughput, queue: str, backfill: bool, now: float
) -> float:
    """Return the work of the largest job that was placed at once in the last second."""
    placed = throughput.placed.get((queue, backfill), ())
    return max((w for at, w in placed if now - at <= PLACED_AT_ONCE_S), default=0.0)


def update_saturation(
    throughput: Throughput, waiting: Iterable[WorkKind], now: float
) -> None:
    """Record the kinds of which tasks are waiting now, and forget what is outdated."""
    since = throughput.saturated_since
    throughput.saturated_since = {kind: since.get(kind, now) for kind in waiting}
    throughput.placed = {
        key: placed
        for key, placed in throughput.placed.items()
        if now - placed[-1][0] <= PLACED_AT_ONCE_S
    }


def find_rate(
    throughput: Throughput, kind: WorkKind, running: RunningWork, now: float
) -> float | None:
    """Return the most work of a kind completed per second, or None if it is unknown.

    Parameters
    ----------
    throughput : Throughput
        What was completed.
    kind : WorkKind
        Kind of the work.
    running : RunningWork
        What tasks of the kind hold now.
    now : float
        The dispatcher's clock.

    Notes
    -----
    The figure is an upper bound, as jobs are rejected by it: a forecast that is too
    favourable costs a late job, one that is too pessimistic a job that had capacity.
    At the beginning of a burst, the tasks that end began before it, when there was less
    work; until theirs have ended, the cores in use bound the rate as well.
    """
    saturated_s = now - throughput.saturated_since.get(kind, now)
    if saturated_s < MIN_SATURATED_S:
        return None
    begin = now - min(saturated_s, WINDOW_S)
    first = math.ceil(begin / SLICE_S)
    counted = [item for item in throughput.slices if item.number >= first]
    tasks = sum(item.tasks.get(kind, 0) for item in counted)
    span_s = now - first * SLICE_S
    if tasks < MIN_COMPLETIONS or span_s <= 0:
        return None
    work = sum(item.work.get(kind, 0.0) for item in counted)
    rate = work / span_s * (1 + ERROR_BOUNDS / math.sqrt(tasks))
    is_settled = saturated_s > WINDOW_S + running.longest_s
    return rate if is_settled else max(rate, running.cores)
