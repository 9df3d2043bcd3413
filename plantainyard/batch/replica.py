"""An in-memory replica of the jobs of a unit, built from the newest stored records."""

import json
import logging
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from plantainyard.batch.records import (
    RecordKind,
    StoredKey,
    decode_progress,
    decode_result,
    decode_submission,
    parse_key,
)
from plantainyard.batch.values import (
    FinalStates,
    JobState,
    PieceResult,
    StepProgress,
    Submission,
)
from plantainyard.decoding import (
    FAILURES,
    DecodeError,
    convert_errors,
    describe_failure,
    parse_decimal,
    parse_json,
    read_integer,
    read_list,
    read_number,
    read_object,
    read_text,
)

__all__ = [
    "BOUNDS_KEY",
    "FENCES_KEY",
    "INTERFERENCE_KEY",
    "OWNER_KEY",
    "RUN_TIMES_KEY",
    "Fences",
    "JobView",
    "LeaseBounds",
    "NO_BOUNDS",
    "Replica",
    "apply_record",
    "describe_state",
    "encode_bounds",
    "encode_fences",
    "is_divided",
    "mark_job_started",
    "mark_jobs_delivered",
]

OWNER_KEY = "owner"
"""Key of the address of a unit's owner; writing it fences off previous owners."""

INTERFERENCE_KEY = "harms"
"""Key of the interference estimates that the owners of a unit have learned."""

RUN_TIMES_KEY = "run_times"
"""Key of the run times that the owners of a unit have learned."""

FENCES_KEY = "fences"
"""Key of the fencing tokens that the owners of a unit have used at runners."""

BOUNDS_KEY = "bounds"
"""Key of the bounds of leases at runners that a unit's owner can't reach."""

MAX_FENCE = 2**52
"""Largest fencing token that is read back; it leaves room for those of successors."""

MAX_LOGGED_KEY = 100
"""Maximum number of characters of a key in the log."""

_logger = logging.getLogger(__name__)


@dataclass(slots=True)
class JobView:
    """The state of one job according to the store.

    Attributes
    ----------
    submission : Submission or None
        None until its record is read; other records of the job may be read first.
    cancelled : bool
        A caller requested the cancellation of the job.
    final_state : str
        One of `FinalStates.ALL`, or empty while the job is open.
    steps : dict
        Progress of the steps by (occurrence, step).
    handed_to : int or None
        The unit that the job was handed over to.
    delivered : bool
        That unit has the record of the job and has had the time to read it.
    started : bool
        A task of the job is known to have started.
    failures : int
        Number of ownerships of the unit that failed while they worked on the job.
    unreadable : bool
        The record of the job's submission can't be read, nor could an earlier one.
    result : PieceResult or None
        What has become of a task that was handed over on its own, if it has ended in
        its new unit.
    """

    submission: Submission | None = None
    cancelled: bool = False
    final_state: str = ""
    steps: dict[tuple[int, int], StepProgress] = field(default_factory=dict)
    handed_to: int | None = None
    delivered: bool = False
    started: bool = False
    failures: int = 0
    unreadable: bool = False
    result: PieceResult | None = None


class Fences(NamedTuple):
    """The fencing tokens that the owners of a unit have used at runners.

    Attributes
    ----------
    highest : int
        Highest token beyond its epoch that an owner has used; 0 if there is none.
    restarts : frozenset of str
        Runner incarnations that replaced others, and may still have a lease that was
        granted by a call to an earlier incarnation.
    """

    highest: int = 0
    restarts: frozenset[str] = frozenset()


class LeaseBounds(NamedTuple):
    """The bounds of what owners have ordered at runners, for a successor.

    Attributes
    ----------
    epoch : int
        Epoch of that owner; the bounds count only for its direct successor.
    left_s : dict
        By runner incarnation that this owner hasn't reached: time in seconds after
        which nothing that it or an earlier one ordered can still be running there.
    starts_s : mapping or None
        By the id of each runner that may have a start under way: time in seconds after
        which none can be carried out any more. None if that isn't known of any runner.
    inherited_s : float or None
        Time in seconds after which all leases that owners before this one granted have
        ended, at all but restarted runners. None if it isn't known.
    """

    epoch: int = 0
    left_s: Mapping[str, float] = {}
    starts_s: Mapping[str, float] | None = None
    inherited_s: float | None = None


NO_BOUNDS = LeaseBounds()
"""Of an owner that has stored no bounds."""


@dataclass(slots=True)
class Replica:
    """The state of one unit according to the store.

    Attributes
    ----------
    jobs : dict
        Jobs by id.
    interference : bytes
        Encoded interference estimates that the owners of the unit have learned.
    run_times : bytes
        Encoded run times that the owners of the unit have learned.
    fences : Fences
        Fencing tokens that the owners of the unit have used at runners.
    bounds : LeaseBounds
        Bounds of leases at runners that the last owners couldn't reach.
    """

    jobs: dict[str, JobView] = field(default_factory=dict)
    interference: bytes = b""
    run_times: bytes = b""
    fences: Fences = Fences()
    bounds: LeaseBounds = NO_BOUNDS


def apply_record(replica: Replica, key: str, value: bytes) -> str:
    """Apply the newest record of `key` to `replica` and return the id of the job.

    Parameters
    ----------
    replica : Replica
        Modified in place.
    key : str
        One of the keys of `plantainyard.batch.records`, `OWNER_KEY`,
        `INTERFERENCE_KEY`, `RUN_TIMES_KEY`, `FENCES_KEY` or `BOUNDS_KEY`.
    value : bytes
        Value of the record; empty if the key was deleted.

    Returns
    -------
    str
        The job id; empty if the record does not concern a job or cannot be decoded.

    Notes
    -----
    A record that cannot be decoded is skipped with a warning, because it must not stop
    the reader from applying the records that follow.
    """
    if key == OWNER_KEY:
        return ""
    if key == INTERFERENCE_KEY:
        replica.interference = value
        return ""
    if key == RUN_TIMES_KEY:
        replica.run_times = value
        return ""
    try:
        if key == FENCES_KEY:
            replica.fences = decode_fences(value)
            return ""
        if key == BOUNDS_KEY:
            replica.bounds = decode_bounds(value)
            return ""
        parsed = parse_key(key)
        _apply_to_job(replica, parsed, value)
    except FAILURES as error:
        why = describe_failure(error)
        _logger.warning("unreadable record %s: %s", key[:MAX_LOGGED_KEY], why)
        return ""
    return parsed.job_id


def encode_fences(fences: Fences) -> bytes:
    """Return the stored form of fencing tokens; see `decode_fences`."""
    data = {"highest": fences.highest, "restarts": sorted(fences.restarts)}
    return json.dumps(data, separators=(",", ":")).encode()


def decode_fences(value: bytes) -> Fences:
    """Return the fencing tokens from their stored form; see `encode_fences`.

    Examples
    --------
    >>> fences = Fences(7, frozenset({"r0@5"}))
    >>> decode_fences(encode_fences(fences)) == fences
    True
    """
    with convert_errors("fences"):
        data = read_object(parse_json(value), "fences")
        restarts = read_list(data["restarts"], "restarts")
        return Fences(
            read_integer(data["highest"], "highest", high=MAX_FENCE),
            frozenset(read_text(incarnation, "restarts") for incarnation in restarts),
        )


def encode_bounds(bounds: LeaseBounds) -> bytes:
    """Return the stored form of bounds of leases; see `decode_bounds`."""
    data: dict[str, Any] = {"epoch": bounds.epoch, "left_s": dict(bounds.left_s)}
    if bounds.starts_s is not None:
        data["starts_s"] = dict(bounds.starts_s)
    if bounds.inherited_s is not None:
        data["inherited_s"] = bounds.inherited_s
    return json.dumps(data, separators=(",", ":")).encode()


def decode_bounds(value: bytes) -> LeaseBounds:
    """Return the bounds of leases from their stored form; see `encode_bounds`.

    Examples
    --------
    >>> bounds = LeaseBounds(7, {"r0@5": 2.5}, {"r1": 12.4}, inherited_s=0.5)
    >>> decode_bounds(encode_bounds(bounds)) == bounds
    True
    """
    with convert_errors("bounds"):
        data = read_object(parse_json(value), "bounds")
        starts_s = _decode_times(data["starts_s"]) if "starts_s" in data else None
        epoch = read_integer(data["epoch"], "epoch")
        inherited = data.get("inherited_s")
        inherited_s = (
            None if inherited is None else read_number(inherited, "inherited_s", 0.0)
        )
        return LeaseBounds(epoch, _decode_times(data["left_s"]), starts_s, inherited_s)


def _decode_times(value: Any) -> dict[str, float]:
    rows = read_object(value, "times").items()
    return {read_text(k, "runner"): read_number(left_s, k) for k, left_s in rows}


def _apply_to_job(replica: Replica, key: StoredKey, value: bytes) -> None:
    if key.kind == RecordKind.SUBMISSION and not value:
        replica.jobs.pop(key.job_id, None)
        return
    if not value and key.job_id not in replica.jobs:
        return
    view = replica.jobs.setdefault(key.job_id, JobView())
    if key.kind == RecordKind.SUBMISSION:
        view.unreadable = view.submission is None
        submission = decode_submission(value)
        if submission.record_id != key.job_id:
            raise DecodeError("the key and the submission name different jobs")
        view.submission, view.unreadable = submission, False
    elif key.kind == RecordKind.CANCEL:
        view.cancelled = bool(value)
    elif key.kind == RecordKind.END:
        view.final_state = _decode_final_state(value)
    elif key.kind == RecordKind.HANDOVER:
        view.handed_to = _decode_number(value)
    elif key.kind == RecordKind.FAILURE:
        view.failures = _decode_number(value) or 0
    elif key.kind == RecordKind.RESULT:
        view.result = decode_result(value) if value else None
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


def _decode_final_state(value: bytes) -> str:
    state = value.decode()
    if state and state not in FinalStates.ALL:
        raise DecodeError("not a final state")
    return state


def _decode_number(value: bytes) -> int | None:
    number = parse_decimal(value.decode())
    if value and number is None:
        raise DecodeError("not a whole number")
    return number


def describe_state(view: JobView) -> str:
    """Return the state of an accepted job as it is reported to callers.

    Notes
    -----
    If some tasks of a job were handed over to other units, only those units know
    whether a task has started. Tasks are handed over only to units with free capacity,
    so such a job is reported as running.
    """
    if view.final_state:
        return view.final_state
    if view.cancelled:
        return JobState.CANCELLED
    has_started = view.started or is_divided(view)
    return JobState.RUNNING if has_started else JobState.QUEUED


def is_divided(view: JobView) -> bool:
    """Return whether some tasks of a job were handed over to other units.

    The function may be called from any thread.
    """
    steps = list(view.steps.values())
    tasks = (task for step in steps for task in step.tasks.values())
    return any(task.unit is not None for task in tasks)


def mark_jobs_delivered(replica: Replica, job_ids: Iterable[str]) -> None:
    """Mark jobs as known to their new units, before the record is read."""
    for job_id in job_ids:
        replica.jobs.setdefault(job_id, JobView()).delivered = True


def mark_job_started(replica: Replica, job_id: str) -> None:
    """Mark a job as started, before the stored record is read."""
    view = replica.jobs.get(job_id)
    if view is not None:
        view.started = True
