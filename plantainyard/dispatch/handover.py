"""Handover of whole jobs that wait to other units.

Jobs are spread over units by their ids. After some minutes, the long-running jobs of
one unit may occupy all its processors while another unit has a third of them free. A
job of which no task has run yet is therefore handed over as a whole to a unit with more
capacity, but only once: a job that is handed over repeatedly might never run. Its tasks
can still go elsewhere one by one; see `task_handover`.
"""

from collections.abc import Iterable

from plantainyard.dispatch.balancing import add_finite_demand, find_less_utilized_unit
from plantainyard.dispatch.capacity import (
    Demand,
    find_demand,
    is_misfit,
    is_special,
    knows_places,
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
from plantainyard.dispatch.forwarding import add_hop, record_handover
from plantainyard.dispatch.model import Job, Phase, StepRun
from plantainyard.dispatch.state import Dispatcher

__all__ = ["MAX_HOPS", "can_hand_over", "plan_handovers"]

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
and a sufficient gap: in this unit it would wait for a long-running job to end. A unit
that is known to have places for it needs no lower load."""

SHORT_JOB_WAIT_S = 0.3
"""Time for which a short job waits for capacity in its own unit before it is handed
over; the two appends and the read of a handover take a fifth of this."""


def plan_handovers(state: Dispatcher, jobs: Iterable[Job], now: float) -> None:
    """Hand over those of `jobs` for which another unit has more capacity.

    Notes
    -----
    The handover is stored with the next commit, and the job is sent only afterwards.
    After a fault, the next owner of the unit finds either a job of its own or one to
    send again, which is harmless.
    """
    if not can_compare_loads(state, now):
        return
    for job in list(jobs):
        if not can_hand_over(job):
            continue
        unit = _choose_unit(state, job, now)
        if unit is not None:
            _hand_over(state, job, unit)


def can_hand_over(job: Job) -> bool:
    """Return whether a job may go to another unit as a whole."""
    if job.cancelled or job.final_state or job.submission.hops >= MAX_HOPS:
        return False
    if job.submission.piece:
        return False
    tasks = (task for step in job.steps.values() for task in step.tasks)
    return all(task.phase == Phase.WAITING and not task.run for task in tasks)


def _list_steps(job: Job) -> list[StepRun]:
    """Return the steps of a job, those of its first occurrence if none is due yet."""
    specs = enumerate(job.submission.steps)
    return list(job.steps.values()) or [StepRun(job, 0, n, spec) for n, spec in specs]


def _choose_unit(state: Dispatcher, job: Job, now: float) -> int | None:
    """Return the unit that a whole job goes to, or None if it stays."""
    demands = [find_demand(step) for step in _list_steps(job)]
    if any(step.long_running for step in job.submission.steps):
        return _choose_unit_for_lasting(state, job, demands, now)
    is_any_special = any(is_special(demand.need) for demand in demands)
    if not is_any_special:
        less_utilized = find_less_utilized_unit(state, job)
        if less_utilized is not None:
            return less_utilized
    if any(is_misfit(state, demand, now) for demand in demands):
        return _choose_unit_for_misfit(state, job, demands, now)
    if now - job.received_at < SHORT_JOB_WAIT_S:
        return None
    if is_any_special:
        note_needs(state, demands, now)
    step = job.submission.steps[0]
    difference = BACKFILL_DIFFERENCE if step.backfill else SHORT_DIFFERENCE
    candidates = list_candidates(state.other_loads, demands)
    return find_unit(candidates, state.load, step, difference)


def _choose_unit_for_lasting(
    state: Dispatcher, job: Job, demands: list[Demand], now: float
) -> int | None:
    """Return the unit for a job with lasting tasks that never ran."""
    needed = max((demand.need.resources.cpu for demand in demands), default=0)
    loads = list_loads_with_headroom(state, needed, is_first=True)
    step = job.submission.steps[0]
    bound = [d for d in demands if is_special(d.need) and is_misfit(state, d, now)]
    if bound:
        note_needs(state, demands, now)
    difference = ANY_DIFFERENCE if bound else LONG_RUNNING_DIFFERENCE
    return find_unit(list_candidates(loads, demands), state.load, step, difference)


def _choose_unit_for_misfit(
    state: Dispatcher, job: Job, demands: list[Demand], now: float
) -> int | None:
    """Return the unit for a finite job with a step that its own unit can't run.

    Notes
    -----
    Guards against accepted jobs that never start because their unit has no runner with
    the label, or none that is large enough, while another unit has one: between units
    that are known to have it, loads only decide which comes first. Without a unit that
    can run all steps, one will do that can run those which don't wait for others.
    """
    note_needs(state, demands, now)
    first = [find_demand(step) for step in _list_steps(job) if not step.spec.after]
    options = [demands]
    if any(is_misfit(state, demand, now) for demand in first):
        options.append(first)
    spec = job.submission.steps[0]
    for option in options:
        candidates = list_candidates(state.other_loads, option)
        known = {u: v for u, v in candidates.items() if knows_places(v, option)}
        unit = find_unit(known, state.load, spec, ANY_DIFFERENCE)
        if unit is None:
            unit = find_unit(candidates, state.load, spec, MISFIT_DIFFERENCE)
        if unit is not None:
            return unit
    return None


def _hand_over(state: Dispatcher, job: Job, unit: int) -> None:
    submission = job.submission
    del state.jobs[submission.job_id]
    record_handover(state, submission, unit)
    state.outgoing[submission.job_id] = add_hop(submission)
    for step in _list_steps(job):
        take_place(state, unit, find_demand(step))
    first = submission.steps[0]
    move_demand(state, first, first.size, unit)
    add_finite_demand(state, job, unit)
