"""Snapshots of folded states, and when one has to be written.

The log forgets records after a time, so the state up to an offset goes into the
stream itself. Folding a prefix, encoding, decoding and folding the rest gives the
same state as folding everything, memories of forgotten things included, since
these decide verdicts too.
"""

import random
from collections.abc import Mapping, Sequence
from typing import Any, NamedTuple, TypeVar

from plantainyard.state.changes import RequestDecision
from plantainyard.state.configuration import ConfigState, ConfigValue, HistoryEntry
from plantainyard.state.domain import Claim, DomainState
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
    "SnapshotSettings",
    "SnapshotSchedule",
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
    The size goes with the assigned and the tried tasks; waiting and done ones cost
    nothing each.
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
    """Return the state that `encode_domain` wrote.

    Raises
    ------
    KeyError, TypeError, ValueError
        If `data` is not such a state.
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
    # A newer version may have appended fields; an older one reads what it knows.
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
    """Return the state that `encode_config` wrote.

    Raises
    ------
    KeyError, TypeError, ValueError
        If `data` is not such a state.
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
    """When snapshots are written.

    Attributes
    ----------
    retention_s : float
        Seconds that the log keeps a record at least.
    max_records : int
        Records after which a snapshot is due whatever its age.
    low, high : float
        An instance draws the age at which it writes between these fractions of the
        retention. `high` leaves the rest of the retention to an outage of the log.
    retry_s : float
        Seconds after a try before the next one.
    """

    retention_s: float
    max_records: int = 20_000
    low: float = 0.25
    high: float = 0.4
    retry_s: float = 30.0


class SnapshotSchedule:
    """Watches the age of one stream's newest snapshot.

    Attributes
    ----------
    settings : SnapshotSettings
        When snapshots are written.
    rng : random.Random
        Draws this instance's moments, so that not all instances write at once.
    base_offset : int
        Records below are covered by the newest snapshot.
    base_time_s : float or None
        The log's time of the oldest record that the snapshot doesn't cover, or of
        the snapshot itself; None before any record was seen.
    skew_s : float
        Greatest seen difference of a record's time from the time of reading it;
        added to the own clock, it estimates the log's.
    factor : float
        This instance's draw between the settings' `low` and `high`, over one.
    tried_at : float
        Time of the last try.
    """

    def __init__(self, settings: SnapshotSettings, rng: random.Random) -> None:
        self.settings = settings
        self.rng = rng
        self.base_offset = 0
        self.base_time_s: float | None = None
        self.skew_s = float("-inf")
        self.factor = rng.uniform(settings.low, settings.high)
        self.attempted_at = float("-inf")


def observe_record(watch: SnapshotSchedule, time_s: float, now: float) -> None:
    """Note that a record written at the log's `time_s` was read at `now`."""
    watch.skew_s = max(watch.skew_s, time_s - now)
    if watch.base_time_s is None:
        watch.base_time_s = time_s


def observe_snapshot(
    watch: SnapshotSchedule, covers: int, time_s: float, now: float
) -> None:
    """Note a snapshot, whoever wrote it; call it for restored ones too."""
    observe_record(watch, time_s, now)
    if covers + 1 < watch.base_offset:
        return
    watch.base_offset = covers + 1
    watch.base_time_s = time_s
    watch.factor = watch.rng.uniform(watch.settings.low, watch.settings.high)


def record_snapshot_attempt(watch: SnapshotSchedule, now: float) -> None:
    """Note that this instance submitted a snapshot."""
    watch.attempted_at = now


def is_snapshot_due(watch: SnapshotSchedule, next_offset: int, now: float) -> bool:
    """Tell whether this instance should write a snapshot now.

    Parameters
    ----------
    watch : SnapshotWatch
        The stream's watch.
    next_offset : int
        The folded state's next offset.
    now : float
        Seconds on the instance's clock.

    Notes
    -----
    An idle stream needs one too: its only snapshot would be forgotten with age.
    Two instances that write at once do no harm. An instance that is not current
    must not ask.
    """
    settings = watch.settings
    if watch.base_time_s is None or now - watch.attempted_at < settings.retry_s:
        return False
    age = now + watch.skew_s - watch.base_time_s
    if age >= watch.factor * settings.retention_s:
        return True
    portion = watch.factor / settings.high
    return next_offset - watch.base_offset >= portion * settings.max_records
