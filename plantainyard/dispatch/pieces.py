"""Tasks that run in another unit than the one that has their job, their home.

The home decides where a task goes. The new unit tells it what becomes of the task: that
it is completed, that it has failed, or that it is given back and has to run elsewhere.
The result is stored in the new unit together with the end of the task there, and sent
to the home afterwards; a successor sends it again unless the home surely has it.
"""

from collections.abc import Sequence

from plantainyard.batch.records import encode_result, make_result_key
from plantainyard.batch.replica import JobView
from plantainyard.batch.values import JobState, PieceResult
from plantainyard.dispatch.actions import Forward
from plantainyard.dispatch.critical_path import record_path_time
from plantainyard.dispatch.forwarding import record_piece
from plantainyard.dispatch.jobs import end_if_finished, end_job, fail_job, finish_task
from plantainyard.dispatch.model import Job, Phase, Task
from plantainyard.dispatch.runs import mark_started
from plantainyard.dispatch.state import Dispatcher, mark_dirty
from plantainyard.platform.store_messages import Record

__all__ = [
    "apply_result",
    "build_result",
    "forward_result",
    "give_back",
    "hand_over_tasks",
    "resend_result",
]


def hand_over_tasks(
    state: Dispatcher, tasks: Sequence[Task], unit: int, reports_back: bool
) -> None:
    """Hand a task, or all tasks of a gang, over to another unit.

    Parameters
    ----------
    state : Dispatcher
        Changed in place.
    tasks : sequence of Task
        One task, or all of a gang; none of them has a run that may be active.
    unit : int
        The new unit.
    reports_back : bool
        Whether its owner's version tells the home what becomes of a task.

    Notes
    -----
    The new unit continues the run numbers, so that a delayed start of an old run is
    refused at every runner that had a newer one.
    """
    if reports_back:
        handovers = 1 + max(task.handovers for task in tasks)
        for task in tasks:
            task.handovers = handovers
    for task in tasks:
        submission = record_piece(state, task, unit)
    state.outgoing[submission.record_id] = submission
    mark_dirty(state, tasks[0].step)


def give_back(state: Dispatcher, job: Job) -> None:
    """Give a task or a gang back to its home, which finds another unit for it."""
    end_job(state, job, JobState.CANCELLED)


def build_result(job: Job) -> Record:
    """Return the record of what has become of a task that was handed over."""
    tasks = [task for step in job.steps.values() for task in step.tasks]
    result = PieceResult(
        job.final_state,
        max(task.run for task in tasks),
        max(task.failures for task in tasks),
        next((task.checkpoint for task in tasks if task.checkpoint), ""),
    )
    return _make_record(job.submission.record_id, result)


def _make_record(piece_id: str, result: PieceResult) -> Record:
    return Record(make_result_key(piece_id), encode_result(result))


def forward_result(state: Dispatcher, job: Job) -> None:
    """Send the stored result of a task that was handed over to its home, if any."""
    if job.submission.home is not None:
        state.actions.append(Forward(job.submission.home, [build_result(job)]))


def resend_result(state: Dispatcher, view: JobView) -> None:
    """Send the result of a task again that a predecessor may not have sent.

    Notes
    -----
    Guards against a task that no unit runs because the owner of its new unit was lost
    after it had stored its end. The end of a task in quarantine has no result.
    """
    submission = view.submission
    if submission is None or submission.home is None or view.delivered:
        return
    result = view.result or PieceResult(
        view.final_state, submission.first_run, submission.failures
    )
    record = _make_record(submission.record_id, result)
    state.actions.append(Forward(submission.home, [record]))


def apply_result(
    state: Dispatcher, piece_id: str, result: PieceResult, now: float
) -> None:
    """Apply what has become of a task or a gang in its new unit; a repeat is ignored.

    Notes
    -----
    A task that was given back waits again, for a place in its home or elsewhere. One
    that an earlier run has completed meanwhile is done in any case. A result is kept
    while nothing is done about the job.
    """
    tasks = state.pieces.get(piece_id, [])
    if tasks and tasks[0].step.job.set_aside_until:
        state.held_results[piece_id] = result
        return
    state.pieces.pop(piece_id, None)
    state.handed_over.pop(piece_id, None)
    state.delivered_at.pop(piece_id, None)
    state.unconfirmed.discard(piece_id)
    state.pending_cancels.discard(piece_id)
    if not tasks or tasks[0].step.job.final_state:
        return
    for task in tasks:
        _take_back(state, task, result)
    step = tasks[0].step
    mark_dirty(state, step)
    if result.state == JobState.COMPLETED or any(task.is_completed for task in tasks):
        mark_started(state, step, now)
        for task in tasks:
            finish_task(state, task)
    elif result.state == JobState.FAILED:
        fail_job(state, step.job, now)
    if step.job.cancelled:
        end_if_finished(state, step.job)


def _take_back(state: Dispatcher, task: Task, result: PieceResult) -> None:
    record_path_time(state, task, Phase.WAITING)
    task.phase = Phase.WAITING
    task.unit = None
    task.run = max(task.run, result.run)
    task.failures = max(task.failures, result.failures)
    task.checkpoint = result.checkpoint
    task.waiting_since = 0.0
