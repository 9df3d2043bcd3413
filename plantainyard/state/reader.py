"""State machine that reads one stream of the log.

It decides which offset to fetch next, detects records that the log no longer keeps,
and knows whether the records read so far are current. It never skips a record: after
a gap it restarts from a snapshot that covers everything before the snapshot.
"""

import random
from collections.abc import Sequence
from typing import Any, NamedTuple

from plantainyard.state.records import RecordType

__all__ = [
    "Apply",
    "EndReported",
    "Fetch",
    "FetchFailed",
    "Fetched",
    "LogRecord",
    "LogRegressed",
    "ReadEvent",
    "ReadRestarted",
    "ReadTick",
    "ReaderAction",
    "ReaderSettings",
    "ReaderState",
    "Relayed",
    "Restore",
    "get_staleness",
    "is_current",
    "step_reader",
]


class LogRecord(NamedTuple):
    """A record with its offset and the time at which the log wrote it."""

    offset: int
    time_s: float
    data: Any


class ReadTick(NamedTuple):
    """A periodic tick; the first one starts the reading."""


class Fetched(NamedTuple):
    """The log's answer to a `Fetch`.

    Attributes
    ----------
    first : int
        Earliest offset that the log keeps.
    next : int
        Offset of the next record to be written.
    records : sequence of LogRecord
        Records in order of offset.
    """

    first: int
    next: int
    records: Sequence[LogRecord]


class FetchFailed(NamedTuple):
    """A `Fetch` failed; the log asks for `retry_after_s` of pause, zero for none."""

    retry_after_s: float = 0.0


class EndReported(NamedTuple):
    """A peer reported that it holds all records below `next`."""

    next: int


class Relayed(NamedTuple):
    """A peer relayed records, which may overlap with those already read."""

    next: int
    records: Sequence[LogRecord]


ReadEvent = ReadTick | Fetched | FetchFailed | EndReported | Relayed


class Fetch(NamedTuple):
    """Request at most `limit` records from `offset`, waiting up to `wait_ms`."""

    offset: int
    limit: int
    wait_ms: int


class Apply(NamedTuple):
    """Fold `record`, which directly follows the records folded before."""

    record: LogRecord


class Restore(NamedTuple):
    """Replace the folded state with the snapshot in `record`."""

    record: LogRecord


class ReadRestarted(NamedTuple):
    """Reading restarts because the records from `wanted` to `first` - 1 are lost."""

    wanted: int
    first: int


class LogRegressed(NamedTuple):
    """The log reports an end at `next`, below the offset read from it before."""

    wanted: int
    next: int


ReaderAction = Fetch | Apply | Restore | ReadRestarted | LogRegressed


class ReaderSettings(NamedTuple):
    """Settings for reading a stream.

    Attributes
    ----------
    snapshot_type : str
        Type of the stream's snapshot records.
    limit : int
        Maximum number of records in one fetch.
    wait_ms : int
        Milliseconds that the log may wait for a new record.
    pause_s : float
        Seconds between two fetches once all records have been read.
    retry_s, retry_max_s : float
        Initial and maximum pause in seconds after a failure; the pause doubles with
        each failure.
    """

    snapshot_type: str = RecordType.SNAPSHOT
    limit: int = 500
    wait_ms: int = 1000
    pause_s: float = 0.0
    retry_s: float = 0.5
    retry_max_s: float = 3.0


class ReaderState:
    """The progress of reading one stream.

    Attributes
    ----------
    settings : ReaderSettings
        Settings of the reader.
    rng : random.Random
        Source of the jitter of retries.
    next_offset : int
        Offset of the next record to fold, or, while seeking a snapshot, to examine.
    seeking_snapshot : bool
        True from a gap until a snapshot that covers it; nothing is folded meanwhile.
    known_end : int
        Greatest end of the stream that the log or a peer has reported.
    is_end_known : bool
        True once the log or a peer has reported an end.
    current_at : float
        Last time at which all records that were known to exist had been folded.
    fetch_in_flight : bool
        True while a fetch is in flight.
    fetch_at : float
        Earliest time of the next fetch.
    failures : int
        Number of consecutive failed fetches.
    """

    def __init__(self, settings: ReaderSettings, rng: random.Random) -> None:
        self.settings = settings
        self.rng = rng
        self.next_offset = 0
        self.seeking_snapshot = False
        self.known_end = 0
        self.is_end_known = False
        self.current_at = float("-inf")
        self.fetch_in_flight = False
        self.fetch_at = float("-inf")
        self.failures = 0


def is_current(state: ReaderState) -> bool:
    """Return whether all records that are known to exist have been folded.

    Notes
    -----
    False for a newly started instance until the log or a peer has reported the end of
    the stream, because the instance can't know which records it lacks. See
    `get_staleness` for the age of that information.
    """
    return (
        state.is_end_known
        and not state.seeking_snapshot
        and state.next_offset >= state.known_end
    )


def get_staleness(state: ReaderState, now: float) -> float:
    """Return the seconds since the folded state was last known to be current."""
    return now - state.current_at


def step_reader(state: ReaderState, event: ReadEvent, now: float) -> list[ReaderAction]:
    """Process `event` and return the actions to perform, in order.

    Parameters
    ----------
    state : ReaderState
        Modified in place.
    event : ReadEvent
        The event. Each `Fetch` is answered by exactly one `Fetched` or `FetchFailed`.
    now : float
        Seconds on the instance's clock. For a `Fetched`, the time of the request may
        be given instead, which is safer than the time of the response.

    Returns
    -------
    list of ReaderAction
        Contains at most one `Fetch`, as its last item.
    """
    actions: list[ReaderAction] = []
    match event:
        case Fetched():
            _handle_page(state, event, now, actions)
        case FetchFailed():
            _handle_failure(state, event, now)
        case EndReported():
            _update_end(state, event.next)
        case Relayed():
            _update_end(state, event.next)
            _handle_relayed(state, event, actions)
    if is_current(state) and isinstance(event, Fetched | EndReported | Relayed):
        state.current_at = max(state.current_at, now)
    if not state.fetch_in_flight and now >= state.fetch_at:
        state.fetch_in_flight = True
        settings = state.settings
        actions.append(Fetch(state.next_offset, settings.limit, settings.wait_ms))
    return actions


def _update_end(state: ReaderState, end: int) -> None:
    state.is_end_known = True
    state.known_end = max(state.known_end, end)


def _handle_failure(state: ReaderState, event: FetchFailed, now: float) -> None:
    settings = state.settings
    state.fetch_in_flight = False
    pause = min(settings.retry_max_s, settings.retry_s * 2**state.failures)
    state.failures = min(state.failures + 1, 30)
    # All instances lose the log at the same time; without jitter they would also all
    # retry at the same time.
    state.fetch_at = now + max(event.retry_after_s, pause) * state.rng.uniform(1.0, 1.5)


def _handle_page(
    state: ReaderState, event: Fetched, now: float, actions: list[ReaderAction]
) -> None:
    state.fetch_in_flight = False
    state.failures = 0
    if not state.seeking_snapshot and event.next < state.next_offset:
        # The log was restored from an old copy. Accepted records must not be reverted,
        # so the folded state is kept, and the instance is no longer current.
        actions.append(LogRegressed(state.next_offset, event.next))
        state.is_end_known = False
        state.fetch_at = now + state.settings.retry_s
        return
    _update_end(state, event.next)
    if event.first > state.next_offset:
        _restart_at(state, event.first, actions)
    for record in event.records:
        if not _handle_record(state, event.first, record, actions):
            break
    done = state.next_offset >= event.next
    state.fetch_at = now + (state.settings.pause_s if done else 0.0)


def _restart_at(state: ReaderState, first: int, actions: list[ReaderAction]) -> None:
    # Records expired before they were read, because this reader or the log was
    # unavailable for longer than the retention period. The log responds with later
    # records; folding them would silently skip the lost ones, so nothing is folded
    # until a snapshot that covers the lost records is found.
    if state.next_offset > 0 and not state.seeking_snapshot:
        actions.append(ReadRestarted(state.next_offset, first))
    state.seeking_snapshot = True
    state.next_offset = first


def _handle_record(
    state: ReaderState, first: int, record: LogRecord, actions: list[ReaderAction]
) -> bool:
    """Process one record of the log; return whether to continue with the next one."""
    if record.offset < state.next_offset:
        return True
    if record.offset > state.next_offset:
        _restart_at(state, record.offset, actions)
    if not state.seeking_snapshot:
        actions.append(Apply(record))
        state.next_offset = record.offset + 1
        return True
    covers = _get_covers(state, record)
    # The records between the last one that a snapshot covers and the snapshot itself
    # have been passed already and are fetched again, so the log must still keep them.
    if covers is None or covers + 1 < first:
        state.next_offset = record.offset + 1
        return True
    actions.append(Restore(record))
    state.seeking_snapshot = False
    state.next_offset = covers + 1
    return False


def _get_covers(state: ReaderState, record: LogRecord) -> int | None:
    data = record.data
    if not isinstance(data, dict) or data.get("type") != state.settings.snapshot_type:
        return None
    covers = data.get("covers")
    if not isinstance(covers, int) or not isinstance(data.get("state"), dict):
        return None
    return covers if 0 <= covers < record.offset else None


def _handle_relayed(
    state: ReaderState, event: Relayed, actions: list[ReaderAction]
) -> None:
    """Fold the relayed records that follow the folded ones without a gap.

    If the log is out and this instance has just started, a peer's snapshot lets it
    start. A gap in a peer's records doesn't imply one in the log, so it doesn't restart
    the reading.
    """
    for record in event.records:
        covers = _get_covers(state, record)
        behind = state.seeking_snapshot or state.next_offset < record.offset
        if covers is not None and behind and covers >= state.next_offset:
            actions.append(Restore(record))
            state.seeking_snapshot = False
            state.next_offset = covers + 1
        elif record.offset == state.next_offset and not state.seeking_snapshot:
            actions.append(Apply(record))
            state.next_offset = record.offset + 1
