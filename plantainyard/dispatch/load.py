"""Load of a unit, as its owner reports it to the owners of other units."""

from collections.abc import Mapping, Sequence
from typing import NamedTuple

from plantainyard.batch.values import Resources

__all__ = [
    "NO_RUNNERS_LOAD",
    "SLOT_SIZES",
    "WORK_SIZES",
    "Load",
    "Need",
    "Places",
    "QueueForecast",
]

SLOT_SIZES = (
    *(500, 1_000, 1_500, 2_000, 2_500, 3_000, 3_500, 4_000),
    *(5_000, 6_000, 8_000, 10_000, 12_000, 16_000),
)
"""Task sizes for which slots are counted, in thousandths of a core; for larger tasks
only the largest gap is considered."""

WORK_SIZES = tuple(2.0**exponent for exponent in range(-6, 11))
"""Sizes of jobs, in core-seconds, for which waiting times are forecast: small jobs are
placed before large ones of the same priority."""


class Need(NamedTuple):
    """What a kind of task needs of a runner.

    Attributes
    ----------
    service : str
        Service of the runner.
    requires : str
        Label that the runner must have; empty if any will do.
    resources : Resources
        What is reserved for one task.
    max_per_runner : int
        Maximum number of tasks of the step on one runner; zero for no limit.
    long_running : bool
        The task runs until its job is cancelled.
    step : tuple of str and int
        Id of the job, occurrence and number of the step; empty if there is no limit per
        runner, so that tasks of all steps alike have the same need.
    """

    service: str
    requires: str = ""
    resources: Resources = Resources()
    max_per_runner: int = 0
    long_running: bool = False
    step: tuple[str | int, ...] = ()


class Places(NamedTuple):
    """How many tasks with a need a unit can take.

    Attributes
    ----------
    free : int
        Number of tasks for which there are unreserved resources.
    beside : int
        Number of tasks that would fit if only lasting tasks held resources.
    """

    free: int
    beside: int


class QueueForecast(NamedTuple):
    """Forecast for the jobs of a queue that arrive now in a unit.

    Attributes
    ----------
    queue : str
        Name of the queue.
    open_jobs : int
        Number of its jobs that haven't ended.
    wait_s : float
        Time in seconds until a job of the queue's median size would start.
    stretch_ratio : float
        Time until such a job would end, relative to its objective.
    backfill : bool
        The forecast is for backfill jobs; otherwise for those on reserved processors.
    waits_s : sequence of float
        By `WORK_SIZES`, the time until a job of that size would start if only work that
        can still be in time goes before it; empty if it would start at once.
    late_waits_s : sequence of float
        The same once the job itself is late: late work gets only what work in time
        leaves, and late work of smaller jobs goes before it.
    """

    queue: str
    open_jobs: int
    wait_s: float = 0.0
    stretch_ratio: float = 0.0
    backfill: bool = False
    waits_s: Sequence[float] = ()
    late_waits_s: Sequence[float] = ()


class Load(NamedTuple):
    """Load of a unit, as shares of its usable processors unless stated otherwise.

    Tasks that run to completion on reserved processors are called finite.

    Attributes
    ----------
    reserved : float
        Reserved by finite and long-running tasks.
    backfill : float
        Requested by backfill tasks.
    waiting, waiting_backfill : float
        The same for tasks that wait.
    gap : int
        Unreserved processor time of the runner that has most of it, in thousandths of a
        core.
    slots : sequence of int
        By `SLOT_SIZES`, the number of tasks of that size that fit beside the
        long-running ones; empty if unknown.
    ending : int
        Thousandths of a core that finite tasks hold or wait for, as far as the results
        of their jobs are still of use.
    queues : sequence of QueueForecast or None
        Forecasts for the queues that have open jobs; None if they are unknown, as the
        unit's owner doesn't compute them.
    measured_s_ago : float
        Age in seconds of the figures when the owner sent them.
    places : mapping of Need to Places or None
        Places for the needs that the owner was asked about; None if it belongs to a
        version that isn't asked.
    """

    reserved: float
    backfill: float
    waiting: float
    waiting_backfill: float
    gap: int
    slots: Sequence[int] = ()
    ending: int = 0
    queues: Sequence[QueueForecast] | None = None
    measured_s_ago: float = 0.0
    places: Mapping[Need, Places] | None = None


NO_RUNNERS_LOAD = Load(1.0, 1.0, 1.0, 1.0, 0)
"""Load of a unit without runners; no work is handed over to it."""
