"""A copy of one unit's jobs, made of nothing but the newest stored records."""

import logging
from collections.abc import Iterable
from dataclasses import dataclass, field

from plantainyard.batch.records import (
    RecordKind,
    StoredKey,
    decode_progress,
    decode_submission,
    parse_key,
)
from plantainyard.batch.values import JobState, StepProgress, Submission

__all__ = [
    "INTERFERENCE_KEY",
    "OWNER_KEY",
    "JobView",
    "Replica",
    "apply_record",
    "describe_state",
    "is_divided",
    "mark_job_started",
    "mark_jobs_delivered",
]

OWNER_KEY = "owner"
"""Key of the address of a unit's owner; writing it fences the owners before."""

INTERFERENCE_KEY = "harms"
"""Key of what owners have learnt of interference."""

_logger = logging.getLogger(__name__)


@dataclass(slots=True)
class JobView:
    """What the store says of one job.

    Attributes
    ----------
    submission : Submission or None
        None until its record is read; other records may come first.
    cancelled : bool
        A caller asked to cancel it.
    final_state : str
        Final state, or empty.
    steps : dict
        Progress by (occurrence, step).
    handed_to : int or None
        The unit that the job was handed to.
    delivered : bool
        That unit has its record, and has had the time to read it.
    started : bool
        A task of it is known to have started.
    """

    submission: Submission | None = None
    cancelled: bool = False
    final_state: str = ""
    steps: dict[tuple[int, int], StepProgress] = field(default_factory=dict)
    handed_to: int | None = None
    delivered: bool = False
    started: bool = False


@dataclass(slots=True)
class Replica:
    """What the store holds of a unit.

    Attributes
    ----------
    jobs : dict
        Jobs by id.
    interference : bytes
        What owners have learnt of interference.
    """

    jobs: dict[str, JobView] = field(default_factory=dict)
    interference: bytes = b""


def apply_record(replica: Replica, key: str, value: bytes) -> str:
    """Take the newest record of `key` into `replica` and return the job's id.

    Parameters
    ----------
    replica : Replica
        Changed in place.
    key : str
        One of the keys of `plantainyard.batch.records`, `OWNER_KEY` or
        `INTERFERENCE_KEY`.
    value : bytes
        Empty where the key was dropped.

    Returns
    -------
    str
        Empty where the record is about no job, or can't be read.

    Notes
    -----
    A record that can't be read is passed over with one log line: it must not stop
    the reading of all that follow.
    """
    if key == OWNER_KEY:
        return ""
    if key == INTERFERENCE_KEY:
        replica.interference = value
        return ""
    try:
        found = parse_key(key)
        _apply_to_job(replica, found, value)
    except (ValueError, TypeError, KeyError, AttributeError) as error:
        _logger.warning("unreadable record %s: %r", key, error)
        return ""
    return found.job_id


def _apply_to_job(replica: Replica, key: StoredKey, value: bytes) -> None:
    if key.kind == RecordKind.SUBMISSION and not value:
        replica.jobs.pop(key.job_id, None)
        return
    if not value and key.job_id not in replica.jobs:
        return
    view = replica.jobs.setdefault(key.job_id, JobView())
    if key.kind == RecordKind.SUBMISSION:
        view.submission = decode_submission(value)
    elif key.kind == RecordKind.CANCEL:
        view.cancelled = bool(value)
    elif key.kind == RecordKind.END:
        view.final_state = value.decode()
    elif key.kind == RecordKind.HANDOVER:
        view.handed_to = int(value) if value else None
    elif key.kind == RecordKind.DELIVERY:
        view.delivered = bool(value)
    elif key.kind == RecordKind.PROGRESS:
        occurrence, step = key.place
        if value:
            progress = decode_progress(value)
            view.steps[occurrence, step] = progress
            if progress.started:
                view.started = True
        else:
            view.steps.pop((occurrence, step), None)


def describe_state(view: JobView) -> str:
    """Return the name of the state that a caller is told of an accepted job.

    Notes
    -----
    Of a job some of whose tasks other units have, only those know whether one has
    started; they get tasks for which they have room, so it is told as running.
    """
    if view.final_state:
        return view.final_state
    if view.cancelled:
        return JobState.CANCELLED
    has_started = view.started or is_divided(view)
    return JobState.RUNNING if has_started else JobState.QUEUED


def is_divided(view: JobView) -> bool:
    """Return whether other units have some tasks of a job; any thread may ask."""
    steps = list(view.steps.values())
    tasks = (task for step in steps for task in step.tasks.values())
    return any(task.unit is not None for task in tasks)


def mark_jobs_delivered(replica: Replica, job_ids: Iterable[str]) -> None:
    """Take note that the new units of jobs know of them, ahead of the record."""
    for job_id in job_ids:
        replica.jobs.setdefault(job_id, JobView()).delivered = True


def mark_job_started(replica: Replica, job_id: str) -> None:
    """Take note that a task of a job has started, ahead of the stored record."""
    view = replica.jobs.get(job_id)
    if view is not None:
        view.started = True
