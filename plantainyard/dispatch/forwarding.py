"""What is sent to other units: jobs, single tasks, and requests to cancel them."""

from collections.abc import Iterable, Iterator

from plantainyard.batch.records import (
    CANCEL_VALUE,
    DELIVERED_VALUE,
    RecordKind,
    encode_submission,
    make_cancel_key,
    make_delivery_key,
    make_submission_key,
    parse_key,
)
from plantainyard.batch.values import Submission
from plantainyard.dispatch.events import Forward, HandoversConfirmed
from plantainyard.dispatch.model import Task
from plantainyard.dispatch.state import Arrival, Dispatcher
from plantainyard.platform.store import Record

__all__ = [
    "find_piece",
    "forget_arrived",
    "forward_cancel",
    "forward_handed",
    "make_forward",
    "list_arrived",
    "note_arrived",
    "note_forwarded",
    "note_moved",
    "pass_on",
    "settle_delivered",
    "take_settled",
]

PART_BYTES = 500_000
"""Values sent to another unit in one call; the store takes four times as much, and a
single one of them may be half of it."""

READ_S = 5.0
"""Time after which a unit's owner knows what was stored for it, or tells no counts: it
counts up to 3.5 s after its last word from the store, and is asked within a second."""

ARRIVED_S = 8.0
"""Time for which an owner tells that a job has arrived: over what its old unit goes on
telling it for."""


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
    cancelled = state.cancelled_handing & handed.keys()
    state.cancelled_handing -= cancelled
    records: dict[int, list[Record]] = {}
    for job_id, submission in handed.items():
        found = make_records(submission, job_id in cancelled)
        records.setdefault(state.moved[job_id], []).extend(found)
    for unit, rows in records.items():
        state.actions += [Forward(unit, part) for part in _split(rows)]


def _split(records: list[Record]) -> Iterator[list[Record]]:
    """Yield records in order in parts that one call to the store takes."""
    part: list[Record] = []
    size = 0
    for record in records:
        if part and size + len(record.value) > PART_BYTES:
            yield part
            part, size = [], 0
        part.append(record)
        size += len(record.value)
    yield part


def note_forwarded(state: Dispatcher, keys: Iterable[str], now: float) -> None:
    """Take note that records are stored in other units."""
    found = [parse_key(key) for key in keys]
    state.cancels_out -= {k.job_id for k in found if k.kind == RecordKind.CANCEL}
    stored = {k.job_id for k in found if k.kind == RecordKind.SUBMISSION}
    state.delivered |= dict.fromkeys(stored & state.unconfirmed, now)
    state.unconfirmed -= stored


def settle_delivered(state: Dispatcher, now: float) -> None:
    """Take note of the jobs whose new units have had the time to read of them.

    Notes
    -----
    Guards against a successor that sends every job again that was ever handed over,
    one after the other, before those that nobody has yet. The records wait for a commit
    that there is anyway.
    """
    due = [job for job, at in state.delivered.items() if now - at >= READ_S]
    if due:
        state.settled += due
        state.actions.append(HandoversConfirmed(due))
    for job_id in due:
        del state.delivered[job_id]


def take_settled(state: Dispatcher) -> list[Record]:
    """Return the records of jobs that their new units know of."""
    settled, state.settled = state.settled, []
    return [Record(make_delivery_key(job_id), DELIVERED_VALUE) for job_id in settled]


def note_arrived(state: Dispatcher, submission: Submission, now: float) -> None:
    """Take note that a whole job was handed to this unit."""
    if submission.hops and not submission.piece:
        state.arrived[submission.job_id] = Arrival(submission.queue, now)


def list_arrived(state: Dispatcher, queue: str) -> frozenset[str]:
    """Return the jobs of a queue that were handed to this unit in the last seconds.

    Notes
    -----
    Any thread may ask.
    """
    arrived = list(state.arrived.items())
    return frozenset(job_id for job_id, came in arrived if came.queue == queue)


def forget_arrived(state: Dispatcher, now: float) -> None:
    """Forget the jobs that were handed to this unit longer ago."""
    kept = {j: came for j, came in state.arrived.items() if now - came.at < ARRIVED_S}
    state.arrived = kept


def make_forward(submission: Submission, unit: int, cancelled: bool) -> Forward:
    """Return what sends a submission to a unit; a repeat of it does no harm there."""
    return Forward(unit, make_records(submission, cancelled))


def make_records(submission: Submission, cancelled: bool) -> list[Record]:
    """Return what a submission's new unit is to store."""
    job_id = submission.record_id
    records = [Record(make_submission_key(job_id), encode_submission(submission))]
    if cancelled:
        records.append(Record(make_cancel_key(job_id), CANCEL_VALUE))
    return records


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
    record = Record(make_cancel_key(job_id), CANCEL_VALUE)
    state.actions.append(Forward(state.moved[job_id], [record]))
