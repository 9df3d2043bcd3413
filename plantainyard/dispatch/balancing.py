"""Which unit has room for a whole job that ends, beside its long-running work.

The load that it answers: long-running tasks fill some units but for a gap on a runner
or two. A wide job begins in that gap, can't leave any more, and does there one task
after the other what its neighbour has room for at a time. What is free at a moment says
little of that: where short tasks come and go all runners may be full, and each of them
has room again in half a second.
"""

import math
from bisect import bisect_left

from plantainyard.batch.values import Step
from plantainyard.dispatch.load import SLOT_SIZES, Load
from plantainyard.dispatch.model import Job, Phase, Runner
from plantainyard.dispatch.placing import accepts_tasks
from plantainyard.dispatch.state import Dispatcher

__all__ = [
    "count_slots",
    "find_less_utilized_unit",
    "measure_finite_demand",
    "add_finite_demand",
]

MAX_UTILIZATION = 1.0
"""Work that ends, as a part of the room for it, above which tasks wait for room."""

MAX_RELATIVE_UTILIZATION = 0.7
"""Part of the own unit's crowding that another one may have to be worth the move: what
it told is up to a second old, and the move takes a tenth."""


def count_slots(state: Dispatcher, now: float) -> tuple[int, ...]:
    """Return, by `SLOT_SIZES`, the tasks for which long-running ones leave room."""
    rooms = [
        _find_lasting_room(runner)
        for runner in state.runners.values()
        if accepts_tasks(runner) and runner.quarantined_until <= now
    ]
    return tuple(sum(room // size for room in rooms) for size in SLOT_SIZES)


def _find_lasting_room(runner: Runner) -> int:
    assert runner.entry is not None
    lasting = sum(
        task.step.spec.resources.cpu
        for task in runner.tasks.values()
        if task.step.spec.long_running and not task.step.spec.backfill
    )
    return max(0, runner.entry.capacity.cpu - lasting)


def measure_finite_demand(state: Dispatcher, now: float) -> int:
    """Return what counted jobs that end, and are of use, ask for at a time."""
    return sum(_measure_demand(j) for j in state.jobs.values() if now < j.useless_at)


def find_less_utilized_unit(state: Dispatcher, job: Job) -> int | None:
    """Return the unit that is least crowded for a job, or None if it had better stay.

    Notes
    -----
    A job that its unit has room for, beside what is there, stays. The cost is a look at
    each unit's word.
    """
    need = _find_need(job)
    demand = _measure_demand(job)
    if not demand or need > SLOT_SIZES[-1] or not _tells_slots(state.load):
        return None
    counted = job.taken_at < state.load_at
    here = _measure_crowding(state.load, need, 0 if counted else demand)
    if here <= MAX_UTILIZATION:
        return None
    others = {
        unit: _measure_crowding(load, need, demand)
        for unit, load in state.loads.items()
        if _tells_slots(load)
    }
    best = min(others, key=lambda unit: others[unit], default=None)
    if best is None or math.isinf(others[best]):
        return None
    return best if others[best] < MAX_RELATIVE_UTILIZATION * here else None


def add_finite_demand(state: Dispatcher, job: Job, unit: int) -> None:
    """Count what a job asks for in its new unit, until that is measured there."""
    load = state.loads[unit]
    state.loads[unit] = load._replace(ending=load.ending + _measure_demand(job))


def _tells_slots(load: Load) -> bool:
    # Instances of other versions count other sizes, or none.
    return len(load.slots) == len(SLOT_SIZES)


def _measure_crowding(load: Load, need: int, more: int) -> float:
    """Return the work that ends, with `more` of it, as a part of the room for it."""
    slots = load.slots[bisect_left(SLOT_SIZES, need)]
    return (load.ending + more) / (slots * need) if slots else math.inf


def _find_need(job: Job) -> int:
    """Return the size of the job's largest counted task."""
    steps = [step for step in job.submission.steps if _is_ending(step)]
    return max((step.resources.cpu for step in steps), default=0)


def _measure_demand(job: Job) -> int:
    """Return what the tasks of a job ask for at a time, at its widest counted step."""
    return max(
        (
            sum(task.phase not in _ELSEWHERE for task in step.tasks)
            * step.spec.resources.cpu
            for step in job.steps.values()
            if _is_ending(step.spec)
        ),
        default=0,
    )


_ELSEWHERE = frozenset({Phase.DONE, Phase.HANDED})


def _is_ending(step: Step) -> bool:
    return not step.long_running and not step.backfill
