"""Deciding part of the reading of one stream.

Tells which offset to ask for, notices records that the log no longer keeps, and
knows whether what was read so far is current. It never skips a record: past a gap
it starts over from a snapshot that covers everything before it.
"""

import random
from collections.abc import Sequence
from typing import Any, NamedTuple

from plantainyard.state.records import RecordType

__all__ = [
    "Apply",
    "Fetch",
    "FetchFailed",
    "Fetched",
    "LogRecord",
    "ReadEvent",
    "ReadTick",
    "ReaderAction",
    "ReaderSettings",
    "ReaderState",
    "LogRegressed",
    "Relayed",
    "ReadRestarted",
    "Restore",
    "EndReported",
    "is_current",
    "get_staleness",
    "step_reader",
]


class LogRecord(NamedTuple):
    """A record with its offset and the log's time of writing."""

    offset: int
    time_s: float
    data: Any


class ReadTick(NamedTuple):
    """Time has passed; the first one starts the reading."""


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
    """A `Fetch` failed; `retry_after_s` is the log's wish, zero for none."""

    retry_after_s: float = 0.0


class EndReported(NamedTuple):
    """A peer told that it holds everything below `next`."""

    next: int


class Relayed(NamedTuple):
    """A peer handed on records; they may overlap with what was read."""

    next: int
    records: Sequence[LogRecord]


ReadEvent = ReadTick | Fetched | FetchFailed | EndReported | Relayed


class Fetch(NamedTuple):
    """Ask the log for at most `limit` records from `offset`, waiting `wait_ms`."""

    offset: int
    limit: int
    wait_ms: int


class Apply(NamedTuple):
    """Fold `record`; its offset is the next one."""

    record: LogRecord


class Restore(NamedTuple):
    """Replace the folded state by the snapshot in `record`."""

    record: LogRecord


class ReadRestarted(NamedTuple):
    """Records from `wanted` to below `first` are gone; reading starts over."""

    wanted: int
    first: int


class LogRegressed(NamedTuple):
    """The log says that it ends at `next`, below what was read from it before."""

    wanted: int
    next: int


ReaderAction = Fetch | Apply | Restore | ReadRestarted | LogRegressed


class ReaderSettings(NamedTuple):
    """How a stream is read.

    Attributes
    ----------
    snapshot_type : str
        Type of the stream's snapshot records.
    limit : int
        Records to ask for at once.
    wait_ms : int
        Milliseconds that the log may wait for a record.
    pause_s : float
        Seconds between two questions once everything is read.
    retry_s, retry_max_s : float
        First and greatest pause after a failure; it doubles in between.
    """

    snapshot_type: str = RecordType.SNAPSHOT
    limit: int = 500
    wait_ms: int = 1000
    pause_s: float = 0.0
    retry_s: float = 0.5
    retry_max_s: float = 3.0


class ReaderState:
    """How far one stream is read.

    Attributes
    ----------
    settings : ReaderSettings
        How it is read.
    rng : random.Random
        Spreads retries.
    next_offset : int
        The next record to fold, or, while seeking, to look at.
    seeking : bool
        True while a gap is not yet closed by a snapshot; nothing is folded then.
    end : int
        Greatest end of the stream that the log or a peer told.
    heard : bool
        True once the log or a peer told an end.
    current_at : float
        Time at which everything that was known to exist was last folded.
    fetching : bool
        True while a question is under way.
    ask_at : float
        Time of the next question.
    failures : int
        Failed questions in a row.
    """

    def __init__(self, settings: ReaderSettings, rng: random.Random) -> None:
        self.settings = settings
        self.rng = rng
        self.next_offset = 0
        self.seeking_snapshot = False
        self.known_end = 0
        self.end_known = False
        self.current_at = float("-inf")
        self.fetch_in_flight = False
        self.fetch_at = float("-inf")
        self.failures = 0


def is_current(state: ReaderState) -> bool:
    """Tell whether all records that are known to exist are folded.

    Notes
    -----
    False for a fresh instance until the log or a peer told where the stream ends:
    it can't know what it misses. See `get_staleness` for how old that knowledge is.
    """
    return (
        state.end_known
        and not state.seeking_snapshot
        and state.next_offset >= state.known_end
    )


def get_staleness(state: ReaderState, now: float) -> float:
    """Return the seconds since the state was last known to be current."""
    return now - state.current_at


def step_reader(state: ReaderState, event: ReadEvent, now: float) -> list[ReaderAction]:
    """Take `event` in and return what to do, in order.

    Parameters
    ----------
    state : ReaderState
        Changed in place.
    event : ReadEvent
        What happened. Each `Fetch` is answered by one `Fetched` or `FetchFailed`.
    now : float
        Seconds on the instance's clock; for answers, the time of asking is safer
        than that of the answer and may be given instead.

    Returns
    -------
    list of ReaderAction
        At most one `Fetch`, as the last one.
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
    state.end_known = True
    state.known_end = max(state.known_end, end)


def _handle_failure(state: ReaderState, event: FetchFailed, now: float) -> None:
    settings = state.settings
    state.fetch_in_flight = False
    pause = min(settings.retry_max_s, settings.retry_s * 2**state.failures)
    state.failures = min(state.failures + 1, 30)
    # All instances lose the log at the same moment; without the jitter they would
    # all come back at the same moment too.
    state.fetch_at = now + max(event.retry_after_s, pause) * state.rng.uniform(1.0, 1.5)


def _handle_page(
    state: ReaderState, event: Fetched, now: float, actions: list[ReaderAction]
) -> None:
    state.fetch_in_flight = False
    state.failures = 0
    if not state.seeking_snapshot and event.next < state.next_offset:
        # The log was set back, by a restore from an old copy. What was accepted must
        # not revert, so nothing is taken back and the instance is not current.
        actions.append(LogRegressed(state.next_offset, event.next))
        state.end_known = False
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
    # Retention passed this reader by, because it or the log was away too long. The
    # log answers with later records; folding them would skip the lost ones without
    # a sign, so nothing is folded before a snapshot that covers them.
    if state.next_offset > 0 and not state.seeking_snapshot:
        actions.append(ReadRestarted(state.next_offset, first))
    state.seeking_snapshot = True
    state.next_offset = first


def _handle_record(
    state: ReaderState, first: int, record: LogRecord, actions: list[ReaderAction]
) -> bool:
    """Take one record of the log in; tell whether to go on with the next one."""
    if record.offset < state.next_offset:
        return True
    if record.offset > state.next_offset:
        _restart_at(state, record.offset, actions)
    if not state.seeking_snapshot:
        actions.append(Apply(record))
        state.next_offset = record.offset + 1
        return True
    covers = _get_covers(state, record)
    # The records between what a snapshot covers and the snapshot itself were read
    # already; they are asked for again, so they must still be kept.
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
    """Fold what a peer handed on, as far as it follows without a gap.

    The log is out and this instance is fresh: a peer's snapshot lets it start. A
    gap in a peer's records says nothing about the log's, so nothing starts over.
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
