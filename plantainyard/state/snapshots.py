"""Snapshots of folded states, and the schedule for writing them.

The log deletes records after the retention period, so the state up to an offset is
written to the stream itself. Folding a prefix, encoding and decoding the state, and
folding the rest gives the same state as folding all records. This includes the
offsets of the newest forgotten decisions and deletions, because these affect whether
later records are void.
"""

import random
from collections.abc import Mapping, Sequence
from typing import Any, NamedTuple, TypeVar

from plantainyard.state.configuration import ConfigState, ConfigValue, HistoryEntry
from plantainyard.state.domain import Claim, DomainState
from plantainyard.state.fold_results import RequestDecision
from plantainyard.state.jobs import (
    Assignment,
    Failure,
    JobState,
    JobSummary,
    Retry,
)
from plantainyard.state.ranges import Ranges, list_ranges
from plantainyard.state.requests import DecidedRequests
from plantainyard.work import decode_job, encode_job, format_task, parse_task

__all__ = [
    "SnapshotSchedule",
    "SnapshotSettings",
    "decode_config",
    "decode_domain",
    "encode_config",
    "encode_domain",
    "is_snapshot_due",
    "observe_record",
    "observe_snapshot",
    "record_snapshot_attempt",
]

_Tuple = TypeVar("_Tuple", bound=tuple)


def encode_domain(state: DomainState) -> dict[str, Any]:
    """Return `state` as a JSON object.

    Notes
    -----
    The size grows with the number of tasks that are assigned or wait for another
    attempt. Other waiting tasks and done tasks don't add to it individually.
    """
    return {
        "next": state.next_offset,
        "claims": {rack: list(claim) for rack, claim in state.claims.items()},
        "jobs": [_encode_job_state(job) for job in state.jobs.values()],
        "assigned": {
            rack: [[format_task(task), *entry] for task, entry in tasks.items()]
            for rack, tasks in state.assigned.items()
        },
        "completed": [list(job) for job in state.completed.values()],
        "requests": _encode_requests(state.requests),
        "skipped": state.skipped,
    }


def decode_domain(data: Mapping[str, Any]) -> DomainState:
    """Return the state encoded by `encode_domain`.

    Raises
    ------
    KeyError, TypeError, ValueError
        If `data` is not an encoded state.
    """
    state = DomainState()
    state.next_offset = data["next"]
    state.claims = {rack: _decode_claim(c) for rack, c in data["claims"].items()}
    entries = [_decode_job_state(entry) for entry in data["jobs"]]
    state.jobs = {entry.job.id: entry for entry in entries}
    state.cancelled = {entry.job.id for entry in entries if entry.cancelled}
    state.assigned = {
        rack: {parse_task(item[0]): _make(Assignment, item[1:]) for item in items}
        for rack, items in data["assigned"].items()
    }
    for task in (task for tasks in state.assigned.values() for task in tasks):
        state.jobs[task.job].assigned_count += 1
    for entry in entries:
        for rack in (*entry.unattempted, *entry.retries):
            state.waiting.setdefault(rack, set()).add(entry.job.id)
    summaries = (_make(JobSummary, fields) for fields in data["completed"])
    state.completed = {summary.id: summary for summary in summaries}
    state.requests = _decode_requests(data["requests"])
    state.skipped = data["skipped"]
    return state


def _make(kind: type[_Tuple], fields: Sequence[Any]) -> _Tuple:
    # A newer version may have appended fields; ignore those that are not known here.
    return kind(*fields[: len(kind._fields)])  # type: ignore[attr-defined]


def _decode_claim(fields: Sequence[Any]) -> Claim:
    holder, term, workers, previous, stopped = fields[:5]
    return Claim(holder, term, tuple(workers), tuple(map(tuple, previous)), stopped)


def _encode_job_state(entry: JobState) -> dict[str, Any]:
    return {
        "job": encode_job(entry.job),
        "offset": entry.offset,
        "fresh": {
            rack: list_ranges(tasks) for rack, tasks in entry.unattempted.items()
        },
        "retries": {
            rack: [[number, *retry] for number, retry in tasks.items()]
            for rack, tasks in entry.retries.items()
        },
        "failures": [[number, *entry.failures[number]] for number in entry.failures],
        "done": entry.done_count,
        "dropped": entry.cancelled_count,
        "cancelled": entry.cancelled,
    }


def _decode_job_state(data: Mapping[str, Any]) -> JobState:
    entry = JobState(decode_job(data["job"]), data["offset"])
    entry.unattempted = {
        rack: Ranges((start, stop) for start, stop in pairs)
        for rack, pairs in data["fresh"].items()
    }
    entry.retries = {
        rack: {item[0]: _make(Retry, item[1:]) for item in items}
        for rack, items in data["retries"].items()
    }
    entry.failures = {item[0]: _make(Failure, item[1:]) for item in data["failures"]}
    entry.done_count = data["done"]
    entry.cancelled_count = data["dropped"]
    entry.cancelled = data["cancelled"]
    return entry


def _encode_requests(decided: DecidedRequests) -> dict[str, Any]:
    decisions = [
        [request, *decision] for request, decision in decided.decisions.items()
    ]
    return {"verdicts": decisions, "forgotten": decided.newest_forgotten}


def _decode_requests(data: Mapping[str, Any]) -> DecidedRequests:
    decided = DecidedRequests()
    decided.decisions = {
        item[0]: _make(RequestDecision, item[1:]) for item in data["verdicts"]
    }
    decided.newest_forgotten = data["forgotten"]
    return decided


def encode_config(state: ConfigState) -> dict[str, Any]:
    """Return `state` as a JSON object."""
    return {
        "next": state.next_offset,
        "version": state.version,
        "values": {key: list(entry) for key, entry in state.values.items()},
        "deleted": list(state.deleted.items()),
        "floor": state.newest_forgotten_deletion,
        "requests": _encode_requests(state.requests),
        "history": [list(entry) for entry in state.history],
        "skipped": state.skipped,
    }


def decode_config(data: Mapping[str, Any]) -> ConfigState:
    """Return the state encoded by `encode_config`.

    Raises
    ------
    KeyError, TypeError, ValueError
        If `data` is not an encoded state.
    """
    state = ConfigState()
    state.next_offset = data["next"]
    state.version = data["version"]
    state.values = {
        key: _make(ConfigValue, entry) for key, entry in data["values"].items()
    }
    state.deleted = dict(data["deleted"])
    state.newest_forgotten_deletion = data["floor"]
    state.requests = _decode_requests(data["requests"])
    state.history.extend(_make(HistoryEntry, entry) for entry in data["history"])
    state.skipped = data["skipped"]
    return state


class SnapshotSettings(NamedTuple):
    """Settings that determine when snapshots are written.

    Attributes
    ----------
    retention_s : float
        Minimum seconds for which the log keeps a record.
    max_records : int
        Number of records after which a snapshot is due whatever its age.
    low, high : float
        Each instance draws the age at which it writes a snapshot between these
        fractions of the retention. The rest of the retention after `high` allows for
        an outage of the log.
    retry_s : float
        Minimum seconds between two attempts to write a snapshot.
    """

    retention_s: float
    max_records: int = 20_000
    low: float = 0.25
    high: float = 0.4
    retry_s: float = 30.0


class SnapshotSchedule:
    """The age of one stream's newest snapshot and the time for the next one.

    Attributes
    ----------
    settings : SnapshotSettings
        Settings that determine when snapshots are written.
    rng : random.Random
        Randomizes the time of writing, so that not all instances write at once.
    base_offset : int
        The newest snapshot covers the records below this offset.
    base_time_s : float or None
        The log's time of the oldest record that the snapshot doesn't cover, or of
        the snapshot itself; None before any record was read.
    skew_s : float
        Greatest observed difference between a record's time and the time of reading
        it; added to the instance's clock, it gives an estimate of the log's clock.
    factor : float
        Random fraction between the settings' `low` and `high`, drawn anew for each
        snapshot.
    attempted_at : float
        Time of the last attempt to write a snapshot.
    """

    def __init__(self, settings: SnapshotSettings, rng: random.Random) -> None:
        self.settings = settings
        self.rng = rng
        self.base_offset = 0
        self.base_time_s: float | None = None
        self.skew_s = float("-inf")
        self.factor = rng.uniform(settings.low, settings.high)
        self.attempted_at = float("-inf")


def observe_record(schedule: SnapshotSchedule, time_s: float, now: float) -> None:
    """Update the schedule for a record written at the log's `time_s`, read at `now`."""
    schedule.skew_s = max(schedule.skew_s, time_s - now)
    if schedule.base_time_s is None:
        schedule.base_time_s = time_s


def observe_snapshot(
    schedule: SnapshotSchedule, covers: int, time_s: float, now: float
) -> None:
    """Update the schedule for a snapshot that was read or restored.

    It must be called for the snapshots of all instances.
    """
    observe_record(schedule, time_s, now)
    if covers + 1 < schedule.base_offset:
        return
    schedule.base_offset = covers + 1
    schedule.base_time_s = time_s
    schedule.factor = schedule.rng.uniform(
        schedule.settings.low, schedule.settings.high
    )


def record_snapshot_attempt(schedule: SnapshotSchedule, now: float) -> None:
    """Record that this instance submitted a snapshot."""
    schedule.attempted_at = now


def is_snapshot_due(schedule: SnapshotSchedule, next_offset: int, now: float) -> bool:
    """Return whether this instance should write a snapshot now.

    Parameters
    ----------
    schedule : SnapshotSchedule
        The stream's snapshot schedule.
    next_offset : int
        The folded state's next offset.
    now : float
        Seconds on the instance's clock.

    Notes
    -----
    An idle stream needs new snapshots too, because its only snapshot would expire.
    It is harmless if two instances write a snapshot at the same time. This must not be
    called by an instance that is not current.
    """
    settings = schedule.settings
    if schedule.base_time_s is None or now - schedule.attempted_at < settings.retry_s:
        return False
    age = now + schedule.skew_s - schedule.base_time_s
    if age >= schedule.factor * settings.retention_s:
        return True
    portion = schedule.factor / settings.high
    return next_offset - schedule.base_offset >= portion * settings.max_records
