"""Room that long-running tasks leave to finite work.

Handles long-running work that arrives faster than it ends. It holds its processors for
minutes, so that a gap which it takes at a quiet moment is missing at all later peaks of
finite work: short jobs come late one after the other, while the long-running class
loses nothing. Finite work therefore has a share of the processors of its own, and a
long-running task that never ran takes of that only what finite work doesn't need at its
peaks. So what finite jobs earn doesn't depend on which of the two came first.

Long-running tasks stay where they started. Beyond their own share, they start only in
the unit that has the lowest load; one unit would otherwise be full from the first
second on, beside others with room for all its short jobs.
"""

import math
from bisect import bisect_left
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from plantainyard.dispatch.load import SLOT_SIZES, Load
from plantainyard.dispatch.model import GAP_TICKS, Job, Phase, Runner, Task
from plantainyard.dispatch.placing import (
    accepts_tasks,
    is_finite,
    measure_finite_capacity,
)
from plantainyard.dispatch.policy import HeadroomPolicy

__all__ = [
    "Demand",
    "Headroom",
    "compare_loads",
    "describe_headroom",
    "has_headroom",
    "is_compared",
    "is_first_of_step",
    "may_take_gap",
    "measure_demand",
    "record_first_start",
    "update_headroom",
]

BALANCE_DIFFERENCE = 0.03
"""Difference between the loads of two units, as a share of a unit's processors, from
which work beyond the kept share goes to the other one; a task is less than 0.005."""

LOADS_WAIT_S = 3.0
"""Time after a takeover for which the loads of other units may be missing: they are
queried every second. Later they are assumed not to answer."""

LARGE_GAP = 2
"""Number of tasks for which a gap must have room so that the first task of a step takes
it whatever finite work needs: the platform counts a job as forgotten of which nothing
runs beside such a gap."""


class Demand(NamedTuple):
    """What finite work held or waited for at a moment.

    Attributes
    ----------
    at : float
        When it was measured.
    cpu : int
        Thousandths of a core.
    weighted_cpu : int
        Sum of the squares of the tasks' sizes; over `cpu` it is their mean size, each
        task weighted by its size.
    """

    at: float
    cpu: int
    weighted_cpu: int


@dataclass(slots=True)
class Headroom:
    """What a unit's long-running tasks that never ran may take.

    Attributes
    ----------
    demands : deque of Demand
        Demand of finite work within the policy's window.
    task_cpu : int
        Size of a typical finite task; 0 if there were none.
    spare_slots : float
        Number of such tasks for which there is room beyond the demand; negative if it
        doesn't suffice.
    excess_cpu : float
        Processor time that long-running tasks may take of their own share.
    loads_known : bool
        Whether the unit can be compared with others, or seems to be alone.
    compared_at : float
        Time up to which the loads that were compared include all work; infinite if the
        unit seems to be alone.
    capacity : int
        Processors of the unit's runners that accept tasks, in thousandths of a core.
    own_load : float
        Load of this unit with what waits, or what is reserved by now if that is more.
    reserved : float
        What is reserved by now, as a share of the capacity.
    other_loads : list of Load
        Loads of the other units, as far as they are known.
    """

    demands: deque[Demand] = field(default_factory=deque)
    task_cpu: int = 0
    spare_slots: float = math.inf
    excess_cpu: float = 0.0
    loads_known: bool = False
    compared_at: float = 0.0
    capacity: int = 0
    own_load: float = 0.0
    reserved: float = 0.0
    other_loads: list[Load] = field(default_factory=list)


def measure_demand(jobs: Iterable[Job], now: float) -> Demand:
    """Return what finite tasks hold or wait for, of jobs that are still of use.

    Notes
    -----
    Tasks that wait for earlier steps of their job are not counted.
    """
    cpu = weighted_cpu = 0
    for job in jobs:
        if now >= job.useful_until or job.final_state:
            continue
        for step in job.steps.values():
            if not is_finite(step.spec) or step.done_count == len(step.tasks):
                continue
            size = step.spec.resources.cpu
            tasks = sum(
                task.phase in Phase.ACTIVE or task.waiting_since > 0
                for task in step.tasks
            )
            cpu += tasks * size
            weighted_cpu += tasks * size * size
    return Demand(now, cpu, weighted_cpu)


def update_headroom(
    headroom: Headroom,
    policy: HeadroomPolicy | None,
    demand: Demand,
    runners: Iterable[Runner],
    unknown_until: float,
) -> None:
    """Take a measurement into account, and count what long-running tasks may take.

    Parameters
    ----------
    headroom : Headroom
        Changed in place.
    policy : HeadroomPolicy or None
        The policy; without one nothing is kept.
    demand : Demand
        The measurement.
    runners : iterable of Runner
        The unit's runners.
    unknown_until : float
        Time until which the demand at the last peak isn't known, as a predecessor has
        measured it. No slot is spare until then.

    Notes
    -----
    The cost is a pass over the runners and their tasks.
    """
    headroom.task_cpu, headroom.spare_slots = 0, math.inf
    headroom.excess_cpu = math.inf
    if policy is None:
        headroom.demands.clear()
        return
    usable = [runner for runner in runners if accepts_tasks(runner)]
    free = [measure_finite_capacity(runner) for runner in usable]
    headroom.capacity = sum(r.entry.capacity.cpu for r in usable if r.entry is not None)
    headroom.excess_cpu = sum(free) - policy.max_share * headroom.capacity
    headroom.demands.append(demand)
    while demand.at - headroom.demands[0].at > policy.window_s:
        headroom.demands.popleft()
    _count_spare_slots(headroom, free)
    if demand.at < unknown_until:
        headroom.spare_slots = min(0.0, headroom.spare_slots)


def _count_spare_slots(headroom: Headroom, free: list[int]) -> None:
    """Compare the highest demand with what fits beside the long-running tasks."""
    demands = headroom.demands
    total = sum(sample.cpu for sample in demands)
    if not total:
        return
    headroom.task_cpu = sum(sample.weighted_cpu for sample in demands) // total
    slots = sum(cpu // headroom.task_cpu for cpu in free)
    peak = max(sample.cpu for sample in demands)
    headroom.spare_slots = slots - peak / headroom.task_cpu


def compare_loads(
    headroom: Headroom,
    own: Load,
    others: Iterable[Load],
    asked_at: float,
    since_takeover_s: float,
) -> None:
    """Take the loads of all units into account, between which work should be even.

    Parameters
    ----------
    headroom : Headroom
        Changed in place.
    own : Load
        Load of this unit.
    others : iterable of Load
        Loads of the other units, as far as they are known.
    asked_at : float
        When these were requested.
    since_takeover_s : float
        Time since the takeover.
    """
    others = list(others)
    headroom.loads_known = bool(others) or since_takeover_s > LOADS_WAIT_S
    ages_s = [load.measured_s_ago for load in others]
    headroom.compared_at = asked_at - max(ages_s) if ages_s else math.inf
    headroom.own_load = own.reserved + own.waiting
    headroom.reserved = own.reserved
    headroom.other_loads = others


def may_take_gap(
    headroom: Headroom, policy: HeadroomPolicy | None, task: Task, runner: Runner
) -> bool:
    """Return whether a long-running task that never ran may start at a runner.

    Parameters
    ----------
    headroom : Headroom
        Not changed.
    policy : HeadroomPolicy or None
        The policy; without one any gap may be taken.
    task : Task
        The task.
    runner : Runner
        A runner with the capacity for it.

    Notes
    -----
    A gap that no typical finite task fits in is free to take.

    Guards against a unit that fills up beside one with room: loads are up to a second
    old, and within that time each of two units may hand its work to the other one, or
    start all that has just come. A task therefore waits until the loads include its
    job.
    """
    cpu = task.step.spec.resources.cpu
    if policy is None or headroom.excess_cpu >= cpu:
        return True
    if is_first_of_step(task) and _is_large_gap(runner, cpu):
        return True
    if not headroom.loads_known or _has_better_unit(headroom, policy, cpu):
        return False
    if not is_compared(headroom, policy, task.step.job):
        return False
    return _count_lost_slots(headroom, runner, cpu) <= max(0.0, headroom.spare_slots)


def is_compared(headroom: Headroom, policy: HeadroomPolicy | None, job: Job) -> bool:
    """Return whether the loads that were compared last include a job."""
    return policy is None or job.received_at < headroom.compared_at


def is_first_of_step(task: Task) -> bool:
    """Return whether a task is the one of its step that no large gap is kept from.

    Notes
    -----
    Other units may have tasks of the step; each of them knows which one this is.
    """
    return task.key.number == 0


def _is_large_gap(runner: Runner, cpu: int) -> bool:
    """Return whether a gap for several such tasks has been free for some time."""
    recent = runner.recent_unreserved
    return len(recent) == GAP_TICKS and min(recent) >= LARGE_GAP * cpu


def _has_better_unit(headroom: Headroom, policy: HeadroomPolicy, cpu: int) -> bool:
    limit = headroom.own_load - BALANCE_DIFFERENCE
    return any(
        load.reserved + load.waiting < limit
        and load.gap >= cpu
        and has_headroom(headroom, policy, load, cpu, is_first=False)
        for load in headroom.other_loads
    )


def record_first_start(headroom: Headroom, runner: Runner, cpu: int) -> None:
    """Count a long-running task that is about to be assigned to a runner."""
    headroom.spare_slots -= _count_lost_slots(headroom, runner, cpu)
    headroom.excess_cpu -= cpu
    headroom.reserved += cpu / max(1, headroom.capacity)
    headroom.own_load = max(headroom.own_load, headroom.reserved)


def _count_lost_slots(headroom: Headroom, runner: Runner, cpu: int) -> int:
    """Return how many typical finite tasks less fit beside the long-running ones."""
    size = headroom.task_cpu
    if not size:
        return 0
    free = measure_finite_capacity(runner)
    return free // size - max(0, free - cpu) // size


def has_headroom(
    headroom: Headroom,
    policy: HeadroomPolicy | None,
    load: Load,
    cpu: int,
    is_first: bool,
) -> bool:
    """Return whether another unit is likely to start a long-running task.

    Parameters
    ----------
    headroom : Headroom
        That of this unit; finite tasks are assumed to be as large in the other one.
    policy : HeadroomPolicy or None
        The policy, which is the same for all units.
    load : Load
        The load report of the other unit.
    cpu : int
        Processor time that the task reserves.
    is_first : bool
        The task is the first of its step, which takes large gaps.

    Notes
    -----
    Guards against a task that units hand to each other, none of which starts it.
    """
    if policy is None:
        return True
    if is_first and load.gap >= LARGE_GAP * cpu:
        return True
    if load.reserved + load.waiting <= 1 - policy.max_share:
        return True
    if not headroom.task_cpu:
        return True
    if len(load.slots) != len(SLOT_SIZES) or headroom.task_cpu > SLOT_SIZES[-1]:
        return False
    slots = load.slots[bisect_left(SLOT_SIZES, headroom.task_cpu)]
    return slots * headroom.task_cpu >= load.ending + cpu


def describe_headroom(headroom: Headroom) -> dict[str, Any]:
    """Return the figures as JSON values; None stands for no limit."""
    return {
        "typical_task_cpu": headroom.task_cpu,
        "spare_slots": _limit(headroom.spare_slots),
        "excess_cpu": _limit(headroom.excess_cpu),
        "peak_cpu": max((d.cpu for d in list(headroom.demands)), default=0),
        "loads_known": headroom.loads_known,
        "own_load": round(headroom.own_load, 3),
        "other_loads": [round(v.reserved + v.waiting, 3) for v in headroom.other_loads],
    }


def _limit(value: float) -> float | None:
    return round(value, 2) if math.isfinite(value) else None
