"""Handover of waiting jobs and tasks to other units.

Jobs are spread over units by their ids. After some minutes, the long-running jobs of
one unit may occupy all its processors while another unit has a third of them free. A
job of which no task has run yet is therefore handed over as a whole to a unit with more
capacity, but only once: a job that is handed over repeatedly might never run.
"""

import math
from collections.abc import Iterable, Mapping

from plantainyard.batch.values import Step
from plantainyard.dispatch.balancing import add_finite_demand, find_less_utilized_unit
from plantainyard.dispatch.forwarding import (
    add_hop,
    build_task_submission,
    record_handover,
)
from plantainyard.dispatch.headroom import has_headroom, is_first_of_step
from plantainyard.dispatch.load import NO_RUNNERS_LOAD, Load
from plantainyard.dispatch.model import Job, Phase, Runner, StepRun
from plantainyard.dispatch.placing import accepts_tasks, get_reserved_cpu
from plantainyard.dispatch.state import Dispatcher, mark_dirty

__all__ = [
    "MAX_HOPS",
    "measure_load",
    "measure_max_short_task_cpu",
    "plan_handovers",
    "plan_task_handovers",
]

MAX_HOPS = 1
"""Number of times that a job may be handed over."""

LONG_RUNNING_DIFFERENCE = 0.08
"""Difference between the loads of two units, as a share of a unit's processors, above
which a long-running job is handed over at once: it would make the imbalance last."""

SHORT_DIFFERENCE = 0.15
"""The same for finite jobs, once they have waited for `SHORT_JOB_WAIT_S`."""

BACKFILL_DIFFERENCE = 0.25
"""The same for backfill jobs, by requested processors. Backfill tasks share unused
processors, so a small difference costs little."""

MISFIT_DIFFERENCE = 0.0
"""The same for a job with a task that would fit on no runner of this unit even after
all short jobs had ended. It is handed over at once to any unit that has a lower load
and a sufficient gap: in this unit it would wait for a long-running job to end."""

FIRST_RUN_DIFFERENCE = 0.0
"""The same for a single long-running task that has never run."""

ANY_DIFFERENCE = -math.inf
"""The same for an interrupted long-running task: any unit with a gap is accepted."""

MAX_TASK_HOPS = 6
"""Number of times that a single task may be handed over; more than one, since the gap
that a unit reported may be occupied when the task arrives."""

INTERRUPTED_TASK_WAIT_S = 0.6
"""Time for which an interrupted task waits for capacity in its own unit: the platform
counts it as forgotten after 3 s, and a handover takes 0.1 s."""

TAKEOVER_SETTLE_S = 1.0
"""Time after a takeover during which nothing is handed over: reports are requested at
once, and again after 0.25 s from runners that don't answer."""

SHORT_JOB_WAIT_S = 0.3
"""Time for which a short job waits for capacity in its own unit before it is handed
over; the two appends and the read of a handover take a fifth of this."""


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


def measure_max_short_task_cpu(state: Dispatcher) -> int:
    """Return the largest processor time of a runner that no long-running task holds."""
    free = (
        r.entry.capacity.cpu
        - sum(
            task.step.spec.resources.cpu
            for task in r.tasks.values()
            if task.step.spec.long_running
        )
        for r in state.runners.values()
        if r.entry is not None and accepts_tasks(r)
    )
    return max(free, default=0)


def plan_handovers(state: Dispatcher, jobs: Iterable[Job], now: float) -> None:
    """Hand over those of `jobs` for which another unit has more capacity.

    Notes
    -----
    The handover is stored with the next commit, and the job is sent only afterwards.
    After a fault, the next owner of the unit finds either a job of its own or one to
    send again, which is harmless.
    """
    if not _can_compare_loads(state, now):
        return
    for job in list(jobs):
        if not _can_hand_over(job):
            continue
        unit = _choose_unit(state, job, now)
        if unit is not None:
            _hand_over(state, job, unit)


def plan_task_handovers(state: Dispatcher, now: float) -> None:
    """Hand over single long-running tasks for which their unit has no capacity.

    Notes
    -----
    Guards against a service that stays interrupted because a runner was lost and its
    unit is full, while another unit has capacity. Only the task is handed over, since
    other tasks of its job run in this unit. The new unit continues its run numbers, so
    that a delayed start of an old run is refused at every runner that had a newer one.
    """
    if not _can_compare_loads(state, now):
        return
    for job in state.jobs.values():
        if job.cancelled or job.final_state or job.submission.hops >= MAX_TASK_HOPS:
            continue
        for step in job.steps.values():
            if step.spec.long_running:
                _hand_over_tasks(state, step, now)


def _can_compare_loads(state: Dispatcher, now: float) -> bool:
    """Return whether loads can be compared: there are other units and runners reported.

    Notes
    -----
    Guards against a new owner that hands over all its jobs because its unit seems to be
    full before its runners have reported.
    """
    return bool(state.other_loads) and now - state.took_over_at > TAKEOVER_SETTLE_S


def _hand_over_tasks(state: Dispatcher, step: StepRun, now: float) -> None:
    for task in step.tasks:
        is_waiting = task.phase == Phase.WAITING and task.waiting_since
        if (
            task.unanswered
            or not is_waiting
            or now - task.waiting_since < INTERRUPTED_TASK_WAIT_S
        ):
            continue
        needed = get_reserved_cpu(step.spec)
        difference = ANY_DIFFERENCE if task.run else FIRST_RUN_DIFFERENCE
        loads = (
            state.other_loads
            if task.run
            else _list_loads_with_headroom(state, needed, is_first_of_step(task))
        )
        unit = _find_unit(loads, state.load, step.spec, needed, difference)
        if unit is None:
            return
        task.phase = Phase.HANDED_OVER
        task.unit = unit
        mark_dirty(state, step)
        submission = build_task_submission(task)
        record_handover(state, submission, unit)
        state.outgoing[submission.record_id] = submission
        _move_demand(state, step.spec, 1, unit)


def _can_hand_over(job: Job) -> bool:
    if job.cancelled or job.final_state or job.submission.hops >= MAX_HOPS:
        return False
    if job.submission.piece:
        return False
    tasks = (task for step in job.steps.values() for task in step.tasks)
    return all(task.phase == Phase.WAITING and not task.run for task in tasks)


def _choose_unit(state: Dispatcher, job: Job, now: float) -> int | None:
    submission = job.submission
    step = submission.steps[0]
    needed = max(get_reserved_cpu(step) for step in submission.steps)
    own, others = state.load, state.other_loads
    if any(step.long_running for step in submission.steps):
        loads = _list_loads_with_headroom(state, needed, is_first=True)
        return _find_unit(loads, own, step, needed, LONG_RUNNING_DIFFERENCE)
    if not any(step.requires for step in submission.steps):
        less_utilized = find_less_utilized_unit(state, job)
        if less_utilized is not None:
            return less_utilized
    if needed > state.max_short_task_cpu:
        return _find_unit(others, own, step, needed, MISFIT_DIFFERENCE)
    if now - job.received_at < SHORT_JOB_WAIT_S:
        return None
    difference = BACKFILL_DIFFERENCE if step.backfill else SHORT_DIFFERENCE
    return _find_unit(others, own, step, needed, difference)


def _find_unit(
    loads: Mapping[int, Load], own: Load, step: Step, needed: int, difference: float
) -> int | None:
    """Return the least loaded unit with a sufficient gap, or None if none qualifies.

    Parameters
    ----------
    loads : mapping of int to Load
        Loads of the units that may be chosen.
    own : Load
        Load of this unit.
    step : Step
        Step that determines which load is compared: that of backfill tasks or that of
        reserved processors.
    needed : int
        Thousandths of a core that must be unreserved at one runner of the unit.
    difference : float
        Amount by which the load must at least be lower than that of the own unit.
    """
    units = [unit for unit, load in loads.items() if load.gap >= needed]
    if not units:
        return None
    best = min(units, key=lambda unit: _sum_load(loads[unit], step.backfill))
    lower_by = _sum_load(own, step.backfill) - _sum_load(loads[best], step.backfill)
    return best if lower_by > difference else None


def _list_loads_with_headroom(
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


def _hand_over(state: Dispatcher, job: Job, unit: int) -> None:
    submission = job.submission
    del state.jobs[submission.job_id]
    record_handover(state, submission, unit)
    state.outgoing[submission.job_id] = add_hop(submission)
    first = submission.steps[0]
    _move_demand(state, first, first.size, unit)
    add_finite_demand(state, job, unit)


def _move_demand(state: Dispatcher, step: Step, tasks: int, unit: int) -> None:
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
