"""Combined forecast for a queue, from the loads of all units.

A job may be handed over to another unit, so that the lowest figures of all units count.
"""

from collections.abc import Sequence
from typing import NamedTuple

from plantainyard.dispatch.load import NO_RUNNERS_LOAD, SLOT_SIZES, Load, QueueForecast
from plantainyard.dispatch.run_times import RunTimePrior, list_priors
from plantainyard.dispatch.state import Dispatcher

__all__ = [
    "UnitForecast",
    "combine_forecasts",
    "find_forecast_age",
]


class UnitForecast(NamedTuple):
    """What the owner of a unit knows about the wait of a queue's jobs in any unit.

    Attributes
    ----------
    open_jobs : int
        Number of the queue's open jobs in this unit.
    lowest : sequence of QueueForecast
        By kind of job, the lowest figures of all known units; a kind is missing if
        some unit forecasts no delay for it.
    age_s : float
        Largest age of the figures.
    own_age_s : float
        Age of the figures of this unit.
    free_size : int
        Size of the largest task on reserved processors, in thousandths of a core, for
        which a unit has free slots.
    has_unused : bool
        Whether all work of some unit, with what waits, is less than its processors.
    run_times : sequence of RunTimePrior
        What this unit has learned of the run times of the queue's steps.
    """

    open_jobs: int
    lowest: Sequence[QueueForecast] = ()
    age_s: float = 0.0
    own_age_s: float = 0.0
    free_size: int = 0
    has_unused: bool = False
    run_times: Sequence[RunTimePrior] = ()


def combine_forecasts(state: Dispatcher, queue: str, now: float) -> UnitForecast | None:
    """Return what is known of a queue in all units, or None if one forecasts nothing.

    Notes
    -----
    Units without runners are left out. So are those whose owners don't answer, as no
    job can be handed over to them. May be called from any thread.
    """
    own = state.load
    others = list(state.other_loads.values())
    if own.queues is None or any(load.queues is None for load in others):
        return None
    loads = [load for load in (own, *others) if load[:5] != NO_RUNNERS_LOAD[:5]]
    own_age_s = now - state.load_measured_at
    return UnitForecast(
        max((row.open_jobs for row in own.queues if row.queue == queue), default=0),
        [
            row
            for backfill in (False, True)
            if (row := _find_lowest(loads, queue, backfill)) is not None
        ],
        round(max(own_age_s, _find_age(state, others, now)), 3),
        round(own_age_s, 3),
        max((_find_free_size(load) for load in loads), default=0),
        any(_has_unused_cpu(load) for load in loads),
        list_priors(state.run_times, state.limits.policy.run_times, queue),
    )


def find_forecast_age(state: Dispatcher, now: float) -> float | None:
    """Return the largest age of the figures; None if this owner computes none.

    Notes
    -----
    May be called from any thread.
    """
    if state.load.queues is None:
        return None
    others = list(state.other_loads.values())
    return max(now - state.load_measured_at, _find_age(state, others, now))


def _find_age(state: Dispatcher, others: list[Load], now: float) -> float:
    """Return the largest age of the figures of other units; zero if there are none."""
    if not others:
        return 0.0
    return now - state.other_loads_at + max(load.measured_s_ago for load in others)


def _find_lowest(loads: list[Load], queue: str, backfill: bool) -> QueueForecast | None:
    """Return the lowest figures of all units, or None if one forecasts no delay."""
    found = [_find_row(load, queue, backfill) for load in loads]
    rows = [row for row in found if row is not None and row.waits_s]
    if not rows or len(rows) < len(found):
        return None
    return QueueForecast(
        queue,
        0,
        min(row.wait_s for row in rows),
        min(row.stretch_ratio for row in rows),
        backfill,
        tuple(map(min, zip(*(row.waits_s for row in rows), strict=False))),
        tuple(map(min, zip(*(row.late_waits_s for row in rows), strict=False))),
    )


def _find_row(load: Load, queue: str, backfill: bool) -> QueueForecast | None:
    rows = load.queues or ()
    return next((r for r in rows if (r.queue, r.backfill) == (queue, backfill)), None)


def _find_free_size(load: Load) -> int:
    """Return the size of the largest task for which a unit has a free slot."""
    if len(load.slots) != len(SLOT_SIZES):
        return load.gap
    free = (
        size
        for size, slots in zip(SLOT_SIZES, load.slots, strict=True)
        if slots * size >= load.ending + size
    )
    largest = max(free, default=0)
    # Larger tasks have no slots counted.
    return max(largest, load.gap if load.gap > SLOT_SIZES[-1] else 0)


def _has_unused_cpu(load: Load) -> bool:
    demand = load.reserved + load.waiting + load.backfill + load.waiting_backfill
    return demand < 1.0
