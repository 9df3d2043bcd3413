"""Restoring of a dispatcher with the jobs and runs of its predecessor."""

import logging
from collections.abc import Set

from plantainyard.batch.replica import NO_BOUNDS, JobView, LeaseBounds, Replica
from plantainyard.batch.values import StepProgress, Submission
from plantainyard.decoding import DecodeError
from plantainyard.dispatch.containment import end_unrestored
from plantainyard.dispatch.forwarding import (
    add_hop,
    forward_cancel,
    make_forward,
    record_handover,
    record_piece,
)
from plantainyard.dispatch.inherited_bounds import restore_bound
from plantainyard.dispatch.jobs import (
    add_job,
    cancel_job,
    end_if_finished,
    open_occurrence,
)
from plantainyard.dispatch.leases import find_end_of_lease, inherit_lease
from plantainyard.dispatch.limits import Limits
from plantainyard.dispatch.measured_runs import estimate_job
from plantainyard.dispatch.model import Phase, Runner, StepRun, Task
from plantainyard.dispatch.pieces import apply_result, resend_result
from plantainyard.dispatch.placing import reserve_resources
from plantainyard.dispatch.queue import set_deadlines
from plantainyard.dispatch.run_time_records import decode_run_times
from plantainyard.dispatch.runs import complete_gang
from plantainyard.dispatch.state import Dispatcher, inherit_restart
from plantainyard.dispatch.unanswered_starts import restore_unanswered
from plantainyard.dispatch.unseen_runs import restore_unseen
from plantainyard.dispatch.weights import restore_interference
from plantainyard.platform.entries import split_incarnation

__all__ = ["restore_dispatcher"]

_logger = logging.getLogger(__name__)


def restore_dispatcher(
    replica: Replica,
    limits: Limits,
    now: float,
    wall_ms: float,
    fenced_at: float,
    fence: int = 1,
    epoch: int = 0,
    bounds: LeaseBounds = NO_BOUNDS,
    unit: int = 0,
) -> Dispatcher:
    """Return a dispatcher that continues from the stored records.

    Parameters
    ----------
    replica : Replica
        All records of the unit, read after all predecessors were fenced.
    limits : Limits
        Time limits and thresholds.
    now : float
        The dispatcher's clock.
    wall_ms : float
        Unix milliseconds at `now`, for due times of schedules and ages of jobs.
    fenced_at : float
        When the owner sent its first record; that of a successor is sent later.
    fence : int
        Fencing token, positive and above all that predecessors have used.
    epoch : int
        Number of this ownership.
    bounds : LeaseBounds, optional
        What the last predecessor stored; see `inherited_bounds`.
    unit : int
        Number of the unit.
    """
    state = Dispatcher(limits=limits, wall_offset_s=wall_ms / 1000 - now, unit=unit)
    state.fence = state.wanted_fence = state.stored_fence = fence
    state.inherited_restarts = state.stored_restarts = replica.fences.restarts
    state.inherited_starts_s = bounds.starts_s
    if bounds.inherited_s is not None:
        left_s = bounds.inherited_s * (1 + limits.clock_drift)
        state.predecessor_inherited_until = now + left_s
    state.epoch = epoch
    state.now = state.took_over_at = now
    state.has_predecessor = bool(replica.jobs or bounds.epoch)
    state.renewed_at = fenced_at
    _restore_jobs(state, replica, now)
    for runner in state.runners.values():
        restore_bound(state, runner, bounds.left_s, now)
    if state.runners:
        state.inherited_until = find_end_of_lease(limits, limits.longest_lease_s, now)
    if replica.interference:
        state.interference = restore_interference(replica.interference)
    _restore_run_times(state, replica.run_times, now)
    return state


def _restore_run_times(state: Dispatcher, value: bytes, now: float) -> None:
    """Take over the run times that predecessors have learned, and apply them."""
    policy = state.limits.policy.run_times
    if policy is None or not value:
        return
    try:
        state.run_times = decode_run_times(value, state.wall_offset_s, now)
    except DecodeError as error:
        # The run times are learned again from ended tasks.
        _logger.warning("cannot decode the stored run times: %r", error)
        return
    for job in state.jobs.values():
        estimate_job(state.run_times, policy, job)


def _restore_jobs(state: Dispatcher, replica: Replica, now: float) -> None:
    """Add the jobs of `replica` to `state`.

    Notes
    -----
    An active run is assumed to be at its runner until a report of that runner proves
    otherwise, or until every lease that a predecessor may have granted has expired.
    Orders of the predecessor that arrive after the report are refused, because the
    report was requested with a higher fencing token.
    """
    views = list(replica.jobs.items())
    delivered = {job_id for job_id, view in views if view.delivered}
    for job_id, view in views:
        if view.final_state:
            state.ended_jobs[job_id] = now
            resend_result(state, view)
        elif view.handed_to is not None:
            _restore_handed_over_job(state, view, view.handed_to)
        elif view.submission is not None:
            try:
                _restore_job(state, view, delivered, now)
            except Exception as error:
                end_unrestored(state, view.submission, error, now)
    for job_id, view in views:
        if view.result is not None:
            apply_result(state, job_id, view.result, now)


def _restore_handed_over_job(state: Dispatcher, view: JobView, unit: int) -> None:
    """Resend a job that was handed over, unless its new unit surely has it.

    Notes
    -----
    Guards against a job that no unit runs because its owner was lost after storing the
    handover and before sending the job to its new unit.
    """
    if view.submission is None:
        return
    record_handover(state, view.submission, unit)
    if not view.delivered:
        forward = make_forward(add_hop(view.submission), unit, view.cancelled)
        state.actions.append(forward)
        return
    state.unconfirmed.discard(view.submission.job_id)
    if view.cancelled:
        forward_cancel(state, view.submission.job_id)


def _restore_job(
    state: Dispatcher, view: JobView, delivered: Set[str], now: float
) -> None:
    submission = view.submission
    assert submission is not None
    add_job(state, submission, now)
    job = state.jobs[submission.record_id]
    job.started = view.started
    accepted_at = submission.accepted_at_ms / 1000 - state.wall_offset_s
    set_deadlines(job, min(now, accepted_at))
    for (occurrence, number), progress in view.steps.items():
        if not _has_step(submission, occurrence, number):
            continue
        if (occurrence, number) not in job.steps:
            open_occurrence(job, occurrence, now)
        step = job.steps[occurrence, number]
        _restore_step(state, step, progress, delivered, now)
    if view.cancelled:
        cancel_job(state, submission.record_id, now)
    else:
        end_if_finished(state, job)


def _has_step(submission: Submission, occurrence: int, number: int) -> bool:
    """Return whether stored progress is that of a step which the job has."""
    if submission.piece:
        return (occurrence, number) == submission.piece[:2]
    return occurrence < max(1, submission.times) and number < len(submission.steps)


def _restore_step(
    state: Dispatcher,
    step: StepRun,
    progress: StepProgress,
    delivered: Set[str],
    now: float,
) -> None:
    for task in step.tasks:
        if task.key.number in progress.done:
            task.phase = Phase.DONE
            step.done_count += 1
    by_number = {task.key.number: task for task in step.tasks}
    for index, stored in progress.tasks.items():
        if index not in by_number:
            continue
        task = by_number[index]
        task.run = stored.run
        task.failures = stored.failures
        task.checkpoint = stored.checkpoint
        task.handovers = stored.handovers
        if stored.unit is not None:
            _restore_handed_over_task(state, task, stored.unit, delivered)
        elif stored.runner:
            _restore_run(state, task, stored.runner, now)
            if index in progress.unseen_s:
                restore_unseen(state, task, progress.unseen_s[index], now)
    for index, runner_id in progress.recipients.items():
        if index in by_number:
            restore_unanswered(state, by_number[index], runner_id, now)
    if step.spec.gang and progress.done:
        complete_gang(state, step, now)


def _restore_handed_over_task(
    state: Dispatcher, task: Task, unit: int, delivered: Set[str]
) -> None:
    """Resend a task that was handed over; see `_restore_handed_over_job`."""
    submission = record_piece(state, task, unit)
    if submission.record_id in delivered:
        state.unconfirmed.discard(submission.record_id)
    else:
        state.actions.append(make_forward(submission, unit, False))


def _restore_run(state: Dispatcher, task: Task, incarnation: str, now: float) -> None:
    task.phase = Phase.ORDERED
    task.incarnation = incarnation
    task.resolved_at = now
    runner_id = split_incarnation(incarnation)[0]
    restore_unanswered(state, task, runner_id, now)
    runner = state.runners.get(incarnation)
    if runner is None:
        runner = Runner(incarnation, None, missing_since=now)
        inherit_lease(runner, state.limits, now)
        inherit_restart(state, runner)
        state.runners[incarnation] = runner
        state.newest_incarnations[runner_id] = incarnation
    reserve_resources(runner, task)
