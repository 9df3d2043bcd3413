"""What is sent to other units: jobs, single tasks, and requests to cancel them."""

from collections.abc import Iterable

from plantainyard.batch.records import (
    CANCEL,
    RecordKind,
    encode_submission,
    make_cancel_key,
    make_submission_key,
    parse_key,
)
from plantainyard.batch.values import Submission
from plantainyard.dispatch.events import Forward
from plantainyard.dispatch.model import Task
from plantainyard.dispatch.state import Dispatcher
from plantainyard.platform.store import Record

__all__ = [
    "find_piece",
    "forward_cancel",
    "forward_handed",
    "make_forward",
    "note_forwarded",
    "note_moved",
    "pass_on",
]


def pass_on(submission: Submission) -> Submission:
    """Return a submission as the unit that it is handed to stores it."""
    return submission._replace(hops=submission.hops + 1)


def find_piece(task: Task) -> Submission:
    """Return the submission of a single task as its new unit stores it."""
    place = task.key.occurrence, task.key.step, task.key.number
    piece = task.step.job.submission._replace(piece=place, first_run=task.run)
    return pass_on(piece)


def note_moved(state: Dispatcher, submission: Submission, unit: int) -> None:
    """Take note that another unit has a job from now on."""
    state.moved[submission.record_id] = unit
    state.unconfirmed.add(submission.record_id)


def forward_handed(state: Dispatcher) -> None:
    """Send the jobs whose handing over is stored to their new units."""
    handed, state.committing_handing = state.committing_handing, {}
    for job_id, submission in handed.items():
        cancelled = job_id in state.cancelled_handing
        state.cancelled_handing.discard(job_id)
        state.actions.append(make_forward(submission, state.moved[job_id], cancelled))


def note_forwarded(state: Dispatcher, keys: Iterable[str]) -> None:
    """Take note that records are stored in other units."""
    found = [parse_key(key) for key in keys]
    state.cancels_out -= {k.job_id for k in found if k.kind == RecordKind.CANCEL}
    state.unconfirmed -= {k.job_id for k in found if k.kind == RecordKind.SUBMISSION}


def make_forward(submission: Submission, unit: int, cancelled: bool) -> Forward:
    """Return what sends a submission to a unit; a repeat of it does no harm there."""
    job_id = submission.record_id
    records = [Record(make_submission_key(job_id), encode_submission(submission))]
    if cancelled:
        records.append(Record(make_cancel_key(job_id), CANCEL))
    return Forward(unit, records)


def forward_cancel(state: Dispatcher, job_id: str) -> None:
    """Pass the cancelling of a job on to the unit that has it.

    Notes
    -----
    Guards against a cancelled task that goes on elsewhere: a job whose end was stored
    while the request was still on its way to another unit had nobody left to send it
    again once the owner was lost. It is out until the other unit's record is stored.
    """
    state.cancels_out.add(job_id)
    if job_id in state.handing or job_id in state.committing_handing:
        state.cancelled_handing.add(job_id)
        return
    record = Record(make_cancel_key(job_id), CANCEL)
    state.actions.append(Forward(state.moved[job_id], [record]))
