"""Choice of the unit that takes work over, by the loads that the units' owners tell."""

import math
from collections.abc import Iterable, Mapping

from plantainyard.batch.values import Step
from plantainyard.dispatch.headroom import has_headroom
from plantainyard.dispatch.load import NO_RUNNERS_LOAD, Load
from plantainyard.dispatch.model import Phase, Runner
from plantainyard.dispatch.placing import accepts_tasks
from plantainyard.dispatch.state import Dispatcher

__all__ = [
    "ANY_DIFFERENCE",
    "can_compare_loads",
    "find_unit",
    "list_loads_with_headroom",
    "measure_load",
    "move_demand",
]

ANY_DIFFERENCE = -math.inf
"""Difference between the loads of two units for work that can't run in its own unit:
any unit with a place is accepted."""

TAKEOVER_SETTLE_S = 1.0
"""Time after a takeover during which nothing is handed over: reports are requested at
once, and again after 0.25 s from runners that don't answer."""


def measure_load(state: Dispatcher) -> Load:
    """Return the load of the dispatcher's unit, in one pass over runners and jobs."""
    usable = [r for r in state.runners.values() if accepts_tasks(r)]
    total = _sum_cpu(usable)
    if not total:
        return NO_RUNNERS_LOAD
    waiting = [0, 0]
    for job in state.jobs.values():
        for step in job.steps.values():
            count = sum(task.phase == Phase.WAITING for task in step.tasks)
            waiting[step.spec.backfill] += count * step.spec.resources.cpu
    return Load(
        reserved=sum(r.reserved_cpu for r in usable) / total,
        backfill=sum(r.backfill_cpu for r in usable) / total,
        waiting=waiting[False] / total,
        waiting_backfill=waiting[True] / total,
        gap=max(
            r.entry.capacity.cpu - r.reserved_cpu for r in usable if r.entry is not None
        ),
    )


def can_compare_loads(state: Dispatcher, now: float) -> bool:
    """Return whether loads can be compared: there are other units and runners reported.

    Notes
    -----
    Guards against a new owner that hands over all its jobs because its unit seems to be
    full before its runners have reported.
    """
    return bool(state.other_loads) and now - state.took_over_at > TAKEOVER_SETTLE_S


def find_unit(
    candidates: Mapping[int, Load], own: Load, step: Step, difference: float
) -> int | None:
    """Return the least loaded of some units, or None if none qualifies.

    Parameters
    ----------
    candidates : mapping of int to Load
        Loads of the units that may be chosen.
    own : Load
        Load of this unit.
    step : Step
        Step that determines which load is compared: that of backfill tasks or that of
        reserved processors.
    difference : float
        Amount by which the load must at least be lower than that of the own unit.
    """
    if not candidates:
        return None
    best = min(candidates, key=lambda unit: _sum_load(candidates[unit], step.backfill))
    lower_by = _sum_load(own, step.backfill) - _sum_load(
        candidates[best], step.backfill
    )
    return best if lower_by > difference else None


def list_loads_with_headroom(
    state: Dispatcher, cpu: int, is_first: bool
) -> dict[int, Load]:
    """Return the loads of units that may start a long-running task that never ran."""
    policy = state.limits.policy.headroom
    return {
        unit: load
        for unit, load in state.other_loads.items()
        if has_headroom(state.headroom, policy, load, cpu, is_first)
    }


def _sum_load(load: Load, backfill: bool) -> float:
    if backfill:
        return load.backfill + load.waiting_backfill
    return load.reserved + load.waiting


def move_demand(state: Dispatcher, step: Step, tasks: int, unit: int) -> None:
    """Move the demand of waiting tasks to another unit until loads are measured again.

    Notes
    -----
    Other units are assumed to have the size of this one, but at least that of the gap
    that they report. Guards against a unit that has lost all its runners and hands over
    only one job per report of another unit: relative to its own size of zero, the other
    unit seemed to be full with a single job more.
    """
    size = _sum_cpu(r for r in state.runners.values() if accepts_tasks(r))
    moved = tasks * step.resources.cpu
    other = state.other_loads[unit]
    share = moved / max(1, size, other.gap)
    state.other_loads[unit] = _add_waiting(other, share, step.backfill)
    if size:
        state.load = _add_waiting(state.load, -moved / size, step.backfill)


def _add_waiting(load: Load, share: float, backfill: bool) -> Load:
    if backfill:
        return load._replace(waiting_backfill=load.waiting_backfill + share)
    return load._replace(waiting=load.waiting + share)


def _sum_cpu(runners: Iterable[Runner]) -> int:
    return sum(r.entry.capacity.cpu for r in runners if r.entry is not None)
