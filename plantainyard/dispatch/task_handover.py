"""Handover of single tasks, and of whole gangs, for which their unit has no place.

Guards against a service that stays interrupted because a runner was lost and its unit
is full, or has no runner with the label, while another unit has a place. Only what has
to move is handed over, since other tasks of the job run in this unit.

A task may be handed over again and again: a place that another owner has told of may be
taken when the task arrives. What bounds this is the wait, which grows with each time,
and that a place must be known; a number of times would end in a wait for good.
"""

from collections.abc import Iterator, Sequence

from plantainyard.dispatch.capacity import (
    Demand,
    find_demand,
    has_free_places,
    is_misfit,
    is_special,
    list_candidates,
    note_needs,
    take_place,
)
from plantainyard.dispatch.destinations import (
    ANY_DIFFERENCE,
    can_compare_loads,
    find_unit,
    list_loads_with_headroom,
    move_demand,
)
from plantainyard.dispatch.handover import can_hand_over
from plantainyard.dispatch.headroom import is_first_of_step
from plantainyard.dispatch.model import Phase, StepRun, Task
from plantainyard.dispatch.pieces import give_back, hand_over_tasks
from plantainyard.dispatch.state import Dispatcher

__all__ = ["find_wait_s", "plan_task_handovers"]

MAX_UNREPORTED_HOPS = 6
"""Number of times that a task is handed over to owners of a version that doesn't report
back. Each of these units keeps the task's record, so that a request to cancel it would
take long to follow it."""

FIRST_RUN_DIFFERENCE = 0.0
"""Difference between the loads of two units above which a single long-running task that
has never run is handed over."""

FIRST_WAIT_S = 0.6
"""Time for which a task waits for a place in its own unit: the platform counts an
interrupted one as forgotten after 3 s, and a handover takes 0.1 s."""

MAX_WAIT_S = 5.0
"""Longest time for which a task that was given back waits for another place."""

LOWER_LOAD_WAIT_S = 2.5
"""Time for which a task that never ran waits for a unit with a lower load, if its own
can't run it; a gap counts as lasting after two seconds."""

UNDIVIDED_WAIT_S = 2.0
"""Time for which the tasks of a finite job that never ran wait for a unit that takes
the whole job."""

MAX_FINITE_TASKS = 50
"""Number of finite tasks that are handed over at a time; each record has the whole
submission of its job."""


def plan_task_handovers(state: Dispatcher, now: float) -> None:
    """Hand over the tasks that have no place here, or give them back to their home.

    Notes
    -----
    Only the home of a task decides which unit it goes to, so that there is always one
    unit that knows where it is, however often it moves. Another unit gives it back as
    soon as one is known to have a place for it.
    """
    if not can_compare_loads(state, now):
        return
    left = MAX_FINITE_TASKS if state.load_measured_at == now else 0
    for job in list(state.jobs.values()):
        if job.cancelled or job.final_state:
            continue
        for step in job.steps.values():
            if step.spec.long_running:
                _hand_over_stuck(state, step, now)
            elif left > 0 and _has_misfits(state, step, now):
                left -= _hand_over_stuck(state, step, now)


def find_wait_s(handovers: int) -> float:
    """Return how long a task waits for a place before it is handed over.

    Examples
    --------
    >>> [find_wait_s(handovers) for handovers in (0, 1, 3, 9)]
    [0.6, 1.2, 4.8, 5.0]
    """
    return min(FIRST_WAIT_S * 2 ** min(handovers, 8), MAX_WAIT_S)


def _has_misfits(state: Dispatcher, step: StepRun, now: float) -> bool:
    """Return whether tasks of a finite step wait that their unit can't run.

    Notes
    -----
    Guards against finite tasks that never start because their job has begun, so that it
    can't go elsewhere as a whole. Those that other finite tasks are in the way of stay.
    """
    is_waiting = step.no_place_found or step.spec.gang
    if not is_waiting or not is_misfit(state, find_demand(step), now):
        return False
    waits_s = now - step.job.received_at
    return waits_s >= UNDIVIDED_WAIT_S or not can_hand_over(step.job)


def _hand_over_stuck(state: Dispatcher, step: StepRun, now: float) -> int:
    """Hand over the tasks of a step that have waited for long enough; count them."""
    count = 0
    for tasks in _list_stuck(step, now):
        demand = Demand(find_demand(step).need, len(tasks))
        note_needs(state, [demand], now)
        unit = _choose_unit(state, tasks[0], demand, now)
        if unit is None:
            break
        count += len(tasks)
        if step.job.submission.home is not None:
            give_back(state, step.job)
            break
        reports_back = state.other_loads[unit].places is not None
        hand_over_tasks(state, tasks, unit, reports_back)
        take_place(state, unit, demand)
        move_demand(state, step.spec, len(tasks), unit)
    return count


def _list_stuck(step: StepRun, now: float) -> Iterator[Sequence[Task]]:
    """Yield the tasks that have waited for long enough, each by itself.

    Notes
    -----
    A gang goes as a whole. Guards against a gang that never starts again because one of
    its members waits in another unit.
    """
    stuck = [task for task in step.tasks if _is_stuck(task, now)]
    if not step.spec.gang:
        yield from ([task] for task in stuck)
    elif len(stuck) == len(step.tasks):
        yield stuck


def _is_stuck(task: Task, now: float) -> bool:
    if task.phase != Phase.WAITING or not task.waiting_since or task.unanswered:
        return False
    return now - task.waiting_since >= find_wait_s(task.handovers)


def _choose_unit(
    state: Dispatcher, task: Task, demand: Demand, now: float
) -> int | None:
    """Return a unit that has a place for a task or its gang, or None."""
    loads = state.other_loads
    if task.step.spec.long_running and not task.run:
        cpu = demand.need.resources.cpu
        loads = list_loads_with_headroom(state, cpu, is_first_of_step(task))
    hops = task.step.job.submission.hops
    may_be_unreported = (
        task.step.spec.long_running
        and not task.step.spec.gang
        and not task.handovers
        and hops < MAX_UNREPORTED_HOPS
    )
    candidates = {
        unit: load
        for unit, load in list_candidates(loads, [demand]).items()
        if load.places is not None or may_be_unreported
    }
    difference = _find_difference(state, task, demand, now)
    idle = {u: load for u, load in candidates.items() if has_free_places(load, demand)}
    return find_unit(idle or candidates, state.load, task.step.spec, difference)


def _find_difference(
    state: Dispatcher, task: Task, demand: Demand, now: float
) -> float:
    """Return by how much the load of another unit must be lower than the own one."""
    spec = task.step.spec
    is_overdue = now - task.waiting_since >= LOWER_LOAD_WAIT_S
    may_be_bound = is_special(demand.need) or is_overdue
    is_bound = may_be_bound and is_misfit(state, demand, now)
    is_any = task.run or is_bound or spec.gang or not spec.long_running
    return ANY_DIFFERENCE if is_any else FIRST_RUN_DIFFERENCE
