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
    "build_task_submission",
    "expire_arrivals",
    "forward_cancel",
    "forward_outgoing",
    "make_forward",
    "list_arrivals",
    "record_arrival",
    "confirm_forwarded",
    "record_handover",
    "add_hop",
    "confirm_deliveries",
    "pop_delivery_records",
]

MAX_FORWARD_BYTES = 500_000
"""Values sent to another unit in one call; the store takes four times as much, and a
single one of them may be half of it."""

DELIVERY_READ_S = 5.0
"""Time after which a unit's owner knows what was stored for it, or tells no counts: it
counts up to 3.5 s after its last word from the store, and is asked within a second."""

ARRIVAL_RETENTION_S = 8.0
"""Time for which an owner tells that a job has arrived: over what its old unit goes on
telling it for."""


def add_hop(submission: Submission) -> Submission:
    """Return a submission as the unit that it is handed to stores it."""
    return submission._replace(hops=submission.hops + 1)


def build_task_submission(task: Task) -> Submission:
    """Return the submission of a single task as its new unit stores it."""
    place = task.key.occurrence, task.key.step, task.key.number
    piece = task.step.job.submission._replace(piece=place, first_run=task.run)
    return add_hop(piece)


def record_handover(state: Dispatcher, submission: Submission, unit: int) -> None:
    """Take note that another unit has a job from now on."""
    state.handed_over[submission.record_id] = unit
    state.unconfirmed.add(submission.record_id)


def forward_outgoing(state: Dispatcher) -> None:
    """Send the jobs whose handing over is stored to their new units."""
    handed, state.committing_outgoing = state.committing_outgoing, {}
    cancelled = state.cancelled_outgoing & handed.keys()
    state.cancelled_outgoing -= cancelled
    records: dict[int, list[Record]] = {}
    for job_id, submission in handed.items():
        found = make_records(submission, job_id in cancelled)
        records.setdefault(state.handed_over[job_id], []).extend(found)
    for unit, rows in records.items():
        state.actions += [Forward(unit, part) for part in _split(rows)]


def _split(records: list[Record]) -> Iterator[list[Record]]:
    """Yield records in order in parts that one call to the store takes."""
    part: list[Record] = []
    size = 0
    for record in records:
        if part and size + len(record.value) > MAX_FORWARD_BYTES:
            yield part
            part, size = [], 0
        part.append(record)
        size += len(record.value)
    yield part


def confirm_forwarded(state: Dispatcher, keys: Iterable[str], now: float) -> None:
    """Take note that records are stored in other units."""
    found = [parse_key(key) for key in keys]
    state.pending_cancels -= {k.job_id for k in found if k.kind == RecordKind.CANCEL}
    stored = {k.job_id for k in found if k.kind == RecordKind.SUBMISSION}
    state.delivered_at |= dict.fromkeys(stored & state.unconfirmed, now)
    state.unconfirmed -= stored


def confirm_deliveries(state: Dispatcher, now: float) -> None:
    """Take note of the jobs whose new units have had the time to read of them.

    Notes
    -----
    Guards against a successor that sends every job again that was ever handed over,
    one after the other, before those that nobody has yet. The records wait for a commit
    that there is anyway.
    """
    due = [job for job, at in state.delivered_at.items() if now - at >= DELIVERY_READ_S]
    if due:
        state.confirmed += due
        state.actions.append(HandoversConfirmed(due))
    for job_id in due:
        del state.delivered_at[job_id]


def pop_delivery_records(state: Dispatcher) -> list[Record]:
    """Return the records of jobs that their new units know of."""
    settled, state.confirmed = state.confirmed, []
    return [Record(make_delivery_key(job_id), DELIVERED_VALUE) for job_id in settled]


def record_arrival(state: Dispatcher, submission: Submission, now: float) -> None:
    """Take note that a whole job was handed to this unit."""
    if submission.hops and not submission.piece:
        state.arrivals[submission.job_id] = Arrival(submission.queue, now)


def list_arrivals(state: Dispatcher, queue: str) -> frozenset[str]:
    """Return the jobs of a queue that were handed to this unit in the last seconds.

    Notes
    -----
    Any thread may ask.
    """
    arrived = list(state.arrivals.items())
    return frozenset(job_id for job_id, came in arrived if came.queue == queue)


def expire_arrivals(state: Dispatcher, now: float) -> None:
    """Forget the jobs that were handed to this unit longer ago."""
    kept = {
        j: came
        for j, came in state.arrivals.items()
        if now - came.received_at < ARRIVAL_RETENTION_S
    }
    state.arrivals = kept


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
    state.pending_cancels.add(job_id)
    if job_id in state.outgoing or job_id in state.committing_outgoing:
        state.cancelled_outgoing.add(job_id)
        return
    record = Record(make_cancel_key(job_id), CANCEL_VALUE)
    state.actions.append(Forward(state.handed_over[job_id], [record]))
