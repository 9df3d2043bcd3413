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
    "Rates",
    "RunningWork",
    "Throughput",
    "WorkKind",
    "find_rates",
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

ERROR_BOUNDS = 1.0
"""Number of standard errors by which a rate is assumed to be higher than measured. In a
replayed burst, 93 jobs came too late without admission, 57 with two and 44 with one."""

AT_ONCE_S = 0.35
"""Time in seconds within which a job must have been placed to prove free capacity: the
load is measured every 0.3 s, at a tick. With a second, 56 jobs came too late in the
same burst: jobs counted that had waited for half of their objective."""

PLACED_RETENTION_S = 1.0
"""Time in seconds for which such a job proves free capacity."""


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


class Rates(NamedTuple):
    """Rates of a kind of work, in core-seconds per second.

    Attributes
    ----------
    work : float
        The most work completed per second.
    late_work : float
        The part of it that was late when it started.
    late_waits_s : float
        Time in seconds for which late work has been waiting without interruption.
    """

    work: float
    late_work: float = 0.0
    late_waits_s: float = 0.0


class RunningWork(NamedTuple):
    """The running tasks of a kind: their cores, and their longest estimated time."""

    cores: float
    longest_s: float


@dataclass(slots=True)
class _Slice:
    """Completed work of one slice of time, by kind and whether it started late."""

    number: int
    work: dict[tuple[WorkKind, bool], float] = field(default_factory=dict)
    tasks: dict[tuple[WorkKind, bool], int] = field(default_factory=dict)


@dataclass(slots=True)
class Throughput:
    """What a unit has completed and placed in the last seconds.

    Attributes
    ----------
    slices : deque of _Slice
        Completed work, oldest first.
    saturated_since, late_since : dict
        Time since which tasks of a kind have been waiting, by kind, and since when late
        ones among them have.
    placed : dict
        Work of the last jobs that were placed at once, with the time, by queue and
        whether they are backfill jobs.
    """

    slices: deque[_Slice] = field(
        default_factory=lambda: deque(maxlen=round(WINDOW_S / SLICE_S) + 1)
    )
    saturated_since: dict[WorkKind, float] = field(default_factory=dict)
    late_since: dict[WorkKind, float] = field(default_factory=dict)
    placed: dict[tuple[str, bool], list[tuple[float, float]]] = field(
        default_factory=dict
    )


def record_completed_work(
    throughput: Throughput, kind: WorkKind, is_late: bool, work: float, now: float
) -> None:
    """Add a completed task's work, in core-seconds, and whether it started late."""
    number = math.floor(now / SLICE_S)
    slices = throughput.slices
    if not slices or slices[-1].number != number:
        slices.append(_Slice(number))
    current = slices[-1]
    key = kind, is_late
    current.work[key] = current.work.get(key, 0.0) + work
    current.tasks[key] = current.tasks.get(key, 0) + 1


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
        if size > work and now - at <= PLACED_RETENTION_S
    ]
    throughput.placed[queue, backfill] = [*kept, (now, work)]


def get_placed_work(
    throughput: Throughput, queue: str, backfill: bool, now: float
) -> float:
    """Return the work of the largest job that was placed at once in the last second."""
    placed = throughput.placed.get((queue, backfill), ())
    return max((w for at, w in placed if now - at <= PLACED_RETENTION_S), default=0.0)


def update_saturation(
    throughput: Throughput,
    waiting: Iterable[WorkKind],
    late: Iterable[WorkKind],
    now: float,
) -> None:
    """Record the kinds of which tasks, or late ones, are waiting now."""
    since = throughput.saturated_since
    throughput.saturated_since = {kind: since.get(kind, now) for kind in waiting}
    since = throughput.late_since
    throughput.late_since = {kind: since.get(kind, now) for kind in late}
    throughput.placed = {
        key: placed
        for key, placed in throughput.placed.items()
        if now - placed[-1][0] <= PLACED_RETENTION_S
    }


def find_rates(
    throughput: Throughput, kind: WorkKind, running: RunningWork, now: float
) -> Rates | None:
    """Return the rates of a kind of work, or None if they are unknown.

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
    The figures are upper bounds, as jobs are rejected by them: a forecast that is too
    favourable costs a late job, one that is too pessimistic a job that had capacity.
    At the beginning of a burst, the tasks that end began before it, when there was less
    work; until theirs have ended, the cores in use bound the rate as well.
    """
    saturated_s = now - throughput.saturated_since.get(kind, now)
    if saturated_s < MIN_SATURATED_S:
        return None
    first = math.ceil((now - min(saturated_s, WINDOW_S)) / SLICE_S)
    span_s = now - first * SLICE_S
    counted = [item for item in throughput.slices if item.number >= first]
    works = {late: _sum_up(counted, kind, late) for late in (False, True)}
    tasks = works[False][1] + works[True][1]
    if tasks < MIN_COMPLETIONS or span_s <= 0:
        return None
    rate = _bound_rate(works[False][0] + works[True][0], tasks, span_s)
    if saturated_s <= WINDOW_S + running.longest_s:
        rate = max(rate, running.cores)
    late_rate = min(rate, _bound_rate(*works[True], span_s))
    return Rates(rate, late_rate, now - throughput.late_since.get(kind, now))


def _sum_up(
    slices: Iterable[_Slice], kind: WorkKind, is_late: bool
) -> tuple[float, int]:
    """Return the work and the number of the tasks completed in some slices."""
    key = kind, is_late
    items = [(item.work.get(key, 0.0), item.tasks.get(key, 0)) for item in slices]
    return sum(work for work, _ in items), sum(tasks for _, tasks in items)


def _bound_rate(work: float, tasks: int, span_s: float) -> float:
    """Return the upper bound of a rate of which some tasks were counted."""
    return work / span_s * (1 + ERROR_BOUNDS / math.sqrt(max(tasks, 1)))
