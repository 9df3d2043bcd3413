"""Quarantine of accepted jobs that can't be served, so that others go on.

Only the job at fault is quarantined: it ends as failed, which is the answer for its
caller, with a line in the log and a count in the metrics.
"""

from plantainyard.batch.records import (
    CANCEL_VALUE,
    make_cancel_key,
    make_end_key,
    make_failure_key,
    make_progress_key,
)
from plantainyard.batch.replica import JobView, apply_record
from plantainyard.batch.values import JobState, make_piece
from plantainyard.entry.appends import forward_records, store_records
from plantainyard.entry.context import UnitContext
from plantainyard.platform.store_messages import Record

__all__ = [
    "QuarantineReason",
    "record_failure",
    "record_quarantine",
    "quarantine_failed_jobs",
]

MAX_FAILURES = 2
"""Number of ownerships that may fail while they work on a job. A single failure may
have another cause, which a new owner doesn't meet again."""


class QuarantineReason:
    """Names of the reasons for quarantining a job."""

    RECORD = "its progress fits into no record"
    FAILURES = "owners failed while they worked on it"


def record_quarantine(context: UnitContext, job_id: str, why: str) -> None:
    """Log and count a job that is quarantined."""
    context.meters.quarantined.labels(why).inc()
    context.log.write("job_quarantined", unit=context.unit, job=job_id, why=why)


def record_failure(context: UnitContext, job_id: str) -> None:
    """Store that the ownership fails while it works on a job, for its successors.

    Notes
    -----
    Guards against a unit that each owner gives up at once, on whichever instance: only
    the store knows how many have failed.
    """
    view = context.replica.jobs.get(job_id)
    if view is None or view.final_state:
        return
    value = str(view.failures + 1).encode()
    _store(context, [Record(make_failure_key(job_id), value)])


def quarantine_failed_jobs(context: UnitContext) -> bool:
    """End the jobs that have made too many owners fail; return False if fenced off.

    Notes
    -----
    Called before the unit is restored, since that may be what fails. Runs of such a job
    end as unwanted ones once their runners report them.
    """
    for job_id, view in list(context.replica.jobs.items()):
        if view.failures < MAX_FAILURES or view.final_state:
            continue
        if not _end(context, job_id, view):
            return False
        record_quarantine(context, job_id, QuarantineReason.FAILURES)
    return True


def _end(context: UnitContext, job_id: str, view: JobView) -> bool:
    """Store the end of a job, and cancel its tasks in other units."""
    records = [
        Record(make_end_key(job_id), JobState.FAILED.encode()),
        Record(make_failure_key(job_id), b""),
        *(Record(make_progress_key(job_id, *place), b"") for place in view.steps),
    ]
    cancels = _list_cancels(view)
    if not _store(context, records):
        return False
    return all(forward_records(context, unit, [record]) for unit, record in cancels)


def _list_cancels(view: JobView) -> list[tuple[int, Record]]:
    """Return the requests to cancel a job's tasks in other units, with the units."""
    submission = view.submission
    if submission is None:
        return []
    moved = (
        (task.unit, make_piece(submission, (*place, number), task.handovers))
        for place, progress in view.steps.items()
        if place[1] < len(submission.steps)
        for number, task in progress.tasks.items()
        if task.unit is not None
    )
    return [
        (unit, Record(make_cancel_key(piece.record_id), CANCEL_VALUE))
        for unit, piece in moved
    ]


def _store(context: UnitContext, records: list[Record]) -> bool:
    if store_records(context, records) is None:
        return False
    for record in records:
        apply_record(context.replica, record.key, record.value)
    return True
