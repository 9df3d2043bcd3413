"""Forwarding of jobs, single tasks and requests to cancel them to other units."""

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
from plantainyard.batch.values import Submission, make_piece
from plantainyard.dispatch.actions import Forward, HandoversConfirmed
from plantainyard.dispatch.critical_path import record_path_time
from plantainyard.dispatch.model import Phase, Task
from plantainyard.dispatch.state import Arrival, Dispatcher
from plantainyard.platform.store_messages import Record

__all__ = [
    "build_piece",
    "find_piece_id",
    "record_piece",
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
"""Maximum size of the values sent to another unit in one call: a quarter of what the
store accepts. A single value may be half of this size."""

DELIVERY_READ_S = 5.0
"""Time after which the owner of a unit has read a record stored for it, or reports no
counts: it reports counts until 3.5 s after its last answer from the store, and is
queried within 1 s."""

ARRIVAL_RETENTION_S = 8.0
"""Time for which an owner reports a job as arrived: longer than the job's old unit
continues to report it."""


def add_hop(submission: Submission) -> Submission:
    """Return a submission in the form in which the next unit stores it."""
    return submission._replace(hops=submission.hops + 1)


def build_piece(state: Dispatcher, task: Task) -> Submission:
    """Return the submission of a task in the form that its new unit stores.

    Notes
    -----
    That of a gang is the same for all its members. Handovers to owners that don't
    report back aren't counted, and their records have no fields of this version.
    """
    key = task.key
    position = key.occurrence, key.step, key.number
    piece = make_piece(task.step.job.submission, position, task.handovers)
    if not task.handovers:
        return piece._replace(first_run=task.run)
    members = task.step.tasks if piece.whole_step else [task]
    return piece._replace(
        home=state.unit,
        first_run=max(member.run for member in members),
        failures=max(member.failures for member in members),
        checkpoint=next((m.checkpoint for m in members if m.checkpoint), ""),
    )


def find_piece_id(task: Task) -> str:
    """Return the id under which the new unit of a task has it."""
    key = task.key
    position = key.occurrence, key.step, key.number
    return make_piece(task.step.job.submission, position, task.handovers).record_id


def record_piece(state: Dispatcher, task: Task, unit: int) -> Submission:
    """Record that another unit is responsible for a task; return its submission."""
    record_path_time(state, task, Phase.HANDED_OVER)
    task.phase = Phase.HANDED_OVER
    task.unit = unit
    submission = build_piece(state, task)
    state.pieces.setdefault(submission.record_id, []).append(task)
    record_handover(state, submission, unit)
    return submission


def record_handover(state: Dispatcher, submission: Submission, unit: int) -> None:
    """Record that another unit is responsible for a job from now on."""
    state.handed_over[submission.record_id] = unit
    state.unconfirmed.add(submission.record_id)


def forward_outgoing(state: Dispatcher) -> None:
    """Send the jobs whose handover is stored to their new units."""
    outgoing, state.committing_outgoing = state.committing_outgoing, {}
    cancelled = state.cancelled_outgoing & outgoing.keys()
    state.cancelled_outgoing -= cancelled
    records: dict[int, list[Record]] = {}
    for job_id, submission in outgoing.items():
        built = make_records(submission, job_id in cancelled)
        records.setdefault(state.handed_over[job_id], []).extend(built)
    for unit, unit_records in records.items():
        state.actions += [Forward(unit, part) for part in _split(unit_records)]


def _split(records: list[Record]) -> Iterator[list[Record]]:
    """Yield the records in order, in parts that fit into one call to the store."""
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
    """Record that records were stored in other units."""
    parsed = [parse_key(key) for key in keys]
    state.pending_cancels -= {k.job_id for k in parsed if k.kind == RecordKind.CANCEL}
    stored = {k.job_id for k in parsed if k.kind == RecordKind.SUBMISSION}
    state.delivered_at |= dict.fromkeys(stored & state.unconfirmed, now)
    state.unconfirmed -= stored
    results = [k.job_id for k in parsed if k.kind == RecordKind.RESULT]
    if results:
        state.confirmed += results
        state.actions.append(HandoversConfirmed(results))


def confirm_deliveries(state: Dispatcher, now: float) -> None:
    """Record the jobs whose new units have had time to read them.

    Notes
    -----
    Guards against a successor that resends every job that was ever handed over, one
    after the other, before the jobs that no unit has received yet. The records are
    added to the next commit and don't cause one.
    """
    due = [job for job, at in state.delivered_at.items() if now - at >= DELIVERY_READ_S]
    if due:
        state.confirmed += due
        state.actions.append(HandoversConfirmed(due))
    for job_id in due:
        del state.delivered_at[job_id]


def pop_delivery_records(state: Dispatcher) -> list[Record]:
    """Remove and return the records of jobs that their new units have read."""
    confirmed, state.confirmed = state.confirmed, []
    return [Record(make_delivery_key(job_id), DELIVERED_VALUE) for job_id in confirmed]


def record_arrival(state: Dispatcher, submission: Submission, now: float) -> None:
    """Record that a whole job was handed over to this unit."""
    if submission.hops and not submission.piece:
        state.arrivals[submission.job_id] = Arrival(submission.queue, now)


def list_arrivals(state: Dispatcher, queue: str) -> frozenset[str]:
    """Return the jobs of a queue that were recently handed over to this unit.

    Notes
    -----
    May be called from any thread.
    """
    arrivals = list(state.arrivals.items())
    return frozenset(job_id for job_id, item in arrivals if item.queue == queue)


def expire_arrivals(state: Dispatcher, now: float) -> None:
    """Remove the arrivals that are older than `ARRIVAL_RETENTION_S`."""
    kept = {
        job_id: item
        for job_id, item in state.arrivals.items()
        if now - item.received_at < ARRIVAL_RETENTION_S
    }
    state.arrivals = kept


def make_forward(submission: Submission, unit: int, cancelled: bool) -> Forward:
    """Return the action that sends a submission to a unit; repeating it is harmless."""
    return Forward(unit, make_records(submission, cancelled))


def make_records(submission: Submission, cancelled: bool) -> list[Record]:
    """Return the records that the new unit of a submission stores."""
    job_id = submission.record_id
    records = [Record(make_submission_key(job_id), encode_submission(submission))]
    if cancelled:
        records.append(Record(make_cancel_key(job_id), CANCEL_VALUE))
    return records


def forward_cancel(state: Dispatcher, job_id: str) -> None:
    """Forward the cancellation of a job to the unit that is responsible for it.

    Notes
    -----
    Guards against a cancelled task that continues to run in another unit: if the end of
    its job were stored before the cancellation has reached that unit, nobody would
    resend the cancellation after the owner was lost. It is therefore pending, and keeps
    the job open, until it is stored in the other unit.
    """
    if job_id in state.pending_cancels:
        return
    state.pending_cancels.add(job_id)
    if job_id in state.outgoing or job_id in state.committing_outgoing:
        state.cancelled_outgoing.add(job_id)
        return
    record = Record(make_cancel_key(job_id), CANCEL_VALUE)
    state.actions.append(Forward(state.handed_over[job_id], [record]))
