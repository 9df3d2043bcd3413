"""Handing waiting jobs to other units.

The load that it answers: jobs are spread over units by their ids, and after some
minutes one unit holds long-running jobs for all its processors while its neighbour has
a third of them free. A job of which nothing has run yet goes, as a whole, where there
is more room. It goes once: a job that is passed on and on would run nowhere.
"""

import math
from collections.abc import Iterable

from plantainyard.batch.values import Step
from plantainyard.dispatch.balancing import add_finite_demand, find_less_utilized_unit
from plantainyard.dispatch.forwarding import (
    add_hop,
    build_task_submission,
    record_handover,
)
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
"""Units that a job is passed on to."""

LONG_RUNNING_DIFFERENCE = 0.08
"""Difference of reserved processors, as a part of a unit's, from which a long-running
job goes elsewhere at once: it stays for long, so the difference would."""

SHORT_DIFFERENCE = 0.15
"""The same for jobs that end, once they have waited."""

BACKFILL_DIFFERENCE = 0.25
"""Difference of processors asked for by backfilling work from which it goes elsewhere;
it shares what is unused, so a small difference costs little."""

MISFIT_DIFFERENCE = 0.0
"""The same for a job with a task that no runner here would have room for if all short
jobs had ended: it goes at once to any unit that is emptier and has a gap for it. Begun
here, it would wait for a long-running job to end."""

FIRST_RUN_DIFFERENCE = 0.0
"""The same for a long-running task that never ran."""

ANY_DIFFERENCE = -math.inf
"""The same for one that was interrupted: any unit with room will do."""

MAX_TASK_HOPS = 6
"""Units that a single task is passed on to; each has told of room, which may be taken
when the task arrives."""

INTERRUPTED_TASK_WAIT_S = 0.6
"""Time that an interrupted task waits for its own unit: the platform counts it as
forgotten after three seconds, and handing over takes 0.1 s."""

TAKEOVER_SETTLE_S = 1.0
"""Time after a takeover in which nothing is handed over: runners are asked at once and
again after 0.25 s where they don't answer."""

SHORT_JOB_WAIT_S = 0.3
"""Time that a job that ends waits for its own unit before it goes elsewhere; handing it
over takes two appends and a read, a fifth of that."""


def measure_load(state: Dispatcher) -> Load:
    """Return how full the dispatcher's unit is; one pass over runners and jobs."""
    usable = [r for r in state.runners.values() if accepts_tasks(r)]
    total = _sum_cpu(usable)
    if not total:
        return NO_RUNNERS_LOAD
    waiting = [0, 0]
    for job in state.jobs.values():
        for step in job.steps.values():
            left = sum(task.phase == Phase.WAITING for task in step.tasks)
            waiting[step.spec.backfill] += left * step.spec.resources.cpu
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
    """Return the processor time that long-running tasks leave where they leave most."""
    rooms = (
        r.entry.capacity.cpu
        - sum(
            task.step.spec.resources.cpu
            for task in r.tasks.values()
            if task.step.spec.long_running
        )
        for r in state.runners.values()
        if r.entry is not None and accepts_tasks(r)
    )
    return max(rooms, default=0)


def plan_handovers(state: Dispatcher, jobs: Iterable[Job], now: float) -> None:
    """Hand over those of `jobs` that another unit has more room for.

    Notes
    -----
    The record of it is stored with the next commit, and only then is the job sent:
    whoever owns the unit after a fault finds either a job of its own, or one to be sent
    again, which does no harm.
    """
    if not _knows_its_runners(state, now):
        return
    for job in list(jobs):
        if not _can_leave(job):
            continue
        unit = _choose_unit(state, job, now)
        if unit is not None:
            _hand_over(state, job, unit)


def plan_task_handovers(state: Dispatcher, now: float) -> None:
    """Hand over single long-running tasks that find no room in their own unit.

    Notes
    -----
    Guards against a service that stays interrupted: a runner is lost, its unit is full,
    and the neighbour has room. The task goes alone, as its job has others at work here.
    Its new unit goes on from its last run number, so a late start of an old run is
    refused wherever a newer one was.
    """
    if not _knows_its_runners(state, now):
        return
    for job in state.jobs.values():
        if job.cancelled or job.final_state or job.submission.hops >= MAX_TASK_HOPS:
            continue
        for step in job.steps.values():
            if step.spec.long_running:
                _hand_over_tasks(state, step, now)


def _knows_its_runners(state: Dispatcher, now: float) -> bool:
    """Return whether loads can be compared; there is nothing to compare in one unit.

    Notes
    -----
    Guards against a new owner that gives all its jobs away: before its runners have
    reported, its unit seems to be full.
    """
    return bool(state.other_loads) and now - state.took_over_at > TAKEOVER_SETTLE_S


def _hand_over_tasks(state: Dispatcher, step: StepRun, now: float) -> None:
    for task in step.tasks:
        waits = task.phase == Phase.WAITING and task.waiting_since
        if not waits or now - task.waiting_since < INTERRUPTED_TASK_WAIT_S:
            continue
        need = get_reserved_cpu(step.spec)
        least = ANY_DIFFERENCE if task.run else FIRST_RUN_DIFFERENCE
        unit = _find_room(state, step.spec, need, least)
        if unit is None:
            return
        task.phase = Phase.HANDED_OVER
        task.unit = unit
        mark_dirty(state, step)
        piece = build_task_submission(task)
        record_handover(state, piece, unit)
        state.outgoing[piece.record_id] = piece
        _move_load(state, step.spec, 1, unit)


def _can_leave(job: Job) -> bool:
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
    if any(step.long_running for step in submission.steps):
        return _find_room(state, step, needed, LONG_RUNNING_DIFFERENCE)
    if not any(step.requires for step in submission.steps):
        roomier = find_less_utilized_unit(state, job)
        if roomier is not None:
            return roomier
    if needed > state.max_short_task_cpu:
        return _find_room(state, step, needed, MISFIT_DIFFERENCE)
    if now - job.received_at < SHORT_JOB_WAIT_S:
        return None
    least = BACKFILL_DIFFERENCE if step.backfill else SHORT_DIFFERENCE
    return _find_room(state, step, needed, least)


def _find_room(state: Dispatcher, step: Step, needed: int, least: float) -> int | None:
    """Return the emptiest unit that has a gap of `needed`, if it is emptier enough.

    Parameters
    ----------
    state : Dispatcher
        With the loads of all units.
    step : Step
        What counts for the load: reserved processors, or those asked for by
        backfilling work.
    needed : int
        Thousandths of a core that must be free at one of its runners.
    least : float
        Least difference to the own unit.
    """
    units = [unit for unit, load in state.other_loads.items() if load.gap >= needed]
    if not units:
        return None
    best = min(units, key=lambda u: _fullness(state.other_loads[u], step.backfill))
    emptier_by = _fullness(state.load, step.backfill)
    emptier_by -= _fullness(state.other_loads[best], step.backfill)
    return best if emptier_by > least else None


def _fullness(load: Load, backfill: bool) -> float:
    if backfill:
        return load.backfill + load.waiting_backfill
    return load.reserved + load.waiting


def _hand_over(state: Dispatcher, job: Job, unit: int) -> None:
    submission = job.submission
    del state.jobs[submission.job_id]
    record_handover(state, submission, unit)
    state.outgoing[submission.job_id] = add_hop(submission)
    first = submission.steps[0]
    _move_load(state, first, first.size, unit)
    add_finite_demand(state, job, unit)


def _move_load(state: Dispatcher, step: Step, tasks: int, unit: int) -> None:
    """Count waiting tasks in their new unit and not here, until both are measured.

    Notes
    -----
    Guards against a unit that has lost all its runners and whose jobs go one at a time:
    units are taken to be of the size of this one, and measured by nothing, any other
    seemed to be full with one job more. A unit is at least as large as the gap that
    it tells of.
    """
    size = _sum_cpu(r for r in state.runners.values() if accepts_tasks(r))
    moved = tasks * step.resources.cpu
    there = state.other_loads[unit]
    share = moved / max(1, size, there.gap)
    state.other_loads[unit] = _add_waiting(there, share, step.backfill)
    if size:
        state.load = _add_waiting(state.load, -moved / size, step.backfill)


def _add_waiting(load: Load, share: float, backfill: bool) -> Load:
    if backfill:
        return load._replace(waiting_backfill=load.waiting_backfill + share)
    return load._replace(waiting=load.waiting + share)


def _sum_cpu(runners: Iterable[Runner]) -> int:
    return sum(r.entry.capacity.cpu for r in runners if r.entry is not None)
