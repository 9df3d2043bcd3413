"""Choice of the unit with the most capacity for a whole finite job.

A task is called finite if it runs to completion on reserved processors; it is neither
long-running nor a backfill task.

Guards against a wide job that starts in a small gap: long-running tasks fill a unit
except for a gap on one or two runners, a wide job starts there, can no longer be moved,
and runs one task after the other, while a neighbouring unit has the capacity for all at
once. The processors that are free at a given moment are a poor measure of capacity:
where short tasks come and go, all runners may be full, yet each has capacity again
within half a second.
"""

import math
from bisect import bisect_left

from plantainyard.dispatch.load import SLOT_SIZES, Load
from plantainyard.dispatch.model import Job, Phase
from plantainyard.dispatch.placing import (
    accepts_tasks,
    is_finite,
    measure_finite_capacity,
)
from plantainyard.dispatch.state import Dispatcher

__all__ = [
    "add_finite_demand",
    "count_slots",
    "find_less_utilized_unit",
    "measure_finite_demand",
]

MAX_UTILIZATION = 1.0
"""Utilization, the demand of finite tasks over the capacity for them, above which
tasks wait for capacity."""

MAX_RELATIVE_UTILIZATION = 0.7
"""Highest utilization of another unit, relative to that of the job's own, for which a
move is worthwhile: its load report is up to a second old, and the move takes a tenth of
that."""


def count_slots(state: Dispatcher, now: float) -> tuple[int, ...]:
    """Return, by `SLOT_SIZES`, how many tasks fit beside the long-running ones."""
    capacities = [
        measure_finite_capacity(runner)
        for runner in state.runners.values()
        if accepts_tasks(runner) and runner.quarantined_until <= now
    ]
    return tuple(sum(cpu // size for cpu in capacities) for size in SLOT_SIZES)


def measure_finite_demand(state: Dispatcher, now: float) -> int:
    """Return the concurrent finite demand of the jobs that are still of use."""
    return sum(_measure_demand(j) for j in state.jobs.values() if now < j.useful_until)


def find_less_utilized_unit(state: Dispatcher, job: Job) -> int | None:
    """Return the unit with the lowest utilization for a job, or None if it should stay.

    Notes
    -----
    A job stays if its own unit has the capacity for it beside its other work. The cost
    is a pass over the units' load reports.
    """
    size = _find_largest_task(job)
    demand = _measure_demand(job)
    if not demand or size > SLOT_SIZES[-1] or not _has_slots(state.load):
        return None
    is_included = job.received_at < state.load_measured_at
    own = _measure_utilization(state.load, size, 0 if is_included else demand)
    if own <= MAX_UTILIZATION:
        return None
    others = {
        unit: _measure_utilization(load, size, demand)
        for unit, load in state.other_loads.items()
        if _has_slots(load)
    }
    best = min(others, key=lambda unit: others[unit], default=None)
    if best is None or math.isinf(others[best]):
        return None
    return best if others[best] < MAX_RELATIVE_UTILIZATION * own else None


def add_finite_demand(state: Dispatcher, job: Job, unit: int) -> None:
    """Add a job's demand to the known load of its new unit, until the next report."""
    load = state.other_loads[unit]
    state.other_loads[unit] = load._replace(ending=load.ending + _measure_demand(job))


def _has_slots(load: Load) -> bool:
    # Instances of other versions may count other sizes, or none.
    return len(load.slots) == len(SLOT_SIZES)


def _measure_utilization(load: Load, size: int, added: int) -> float:
    """Return the finite demand plus `added`, relative to the capacity for it."""
    slots = load.slots[bisect_left(SLOT_SIZES, size)]
    return (load.ending + added) / (slots * size) if slots else math.inf


def _find_largest_task(job: Job) -> int:
    """Return the size of the job's largest finite task."""
    steps = [step for step in job.submission.steps if is_finite(step)]
    return max((step.resources.cpu for step in steps), default=0)


def _measure_demand(job: Job) -> int:
    """Return the concurrent demand of the job's widest finite step."""
    return max(
        (
            sum(task.phase not in _NOT_HERE for task in step.tasks)
            * step.spec.resources.cpu
            for step in job.steps.values()
            if is_finite(step.spec)
        ),
        default=0,
    )


_NOT_HERE = frozenset({Phase.DONE, Phase.HANDED_OVER})
