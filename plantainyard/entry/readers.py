"""Incremental reading of the records of a keyed topic's partition."""

import logging
import threading
from collections.abc import Callable

from result import Err, Ok, Result

from plantainyard.clock import read_clock
from plantainyard.decoding import describe_failure
from plantainyard.entry.shared_calls import SharedCalls
from plantainyard.errors import CallError, ErrorKind
from plantainyard.platform.store import StoreCalls
from plantainyard.platform.store_messages import Page, Record

_logger = logging.getLogger(__name__)

__all__ = [
    "READ_TIMEOUT_S",
    "RETRY_S",
    "PartitionReader",
    "choose_retry_pause",
    "load_newest",
    "poll_reader",
    "read_ahead",
]

READ_TIMEOUT_S = 1.0
"""Time in seconds without any data, in addition to the wait that a call to the store
asks for, after which the call fails. The store usually answers within 30 ms; a
connection that has stopped responding is detected only by this timeout. A large slice
or page may take longer as long as it keeps arriving."""

RETRY_S = 0.1
"""Pause in seconds after a failed read."""

MAX_RETRY_S = 0.4
"""Maximum pause in seconds after repeated failures. An owner has to see soon that the
store answers again."""

MIN_JITTER = 0.5
"""Smallest part of a pause after repeated failures that a reader waits. Instances whose
reads failed together don't all read again together."""

_UNANSWERED = frozenset({ErrorKind.LOST, ErrorKind.UNREACHABLE})
"""Errors of calls without an answer. The store may refuse one kind of call only."""

LAST_KEY = "\x7f"
"""A key that sorts after all keys of the topics that are read."""


class PartitionReader:
    """Reader of one partition that keeps its position between reads.

    Parameters
    ----------
    store : StoreCalls
        The platform's store.
    topic : str
        Name of a keyed topic.
    partition : int
        Partition of the topic.
    on_record : callable
        Called with each record, in order; a later record of a key replaces the earlier.
    on_reload : callable, optional
        Called before the newest records of all keys are read again.
    skips_history : bool
        Whether a reader that is several large records behind reads the newest record of
        each key instead; for a topic of few keys that are written often.

    Attributes
    ----------
    offset : int or None
        Offset of the next read; None if the newest records have to be read first.
    synced_at : float
        All records stored before this time have been read.
    is_unanswered : bool
        The last read was sent and not answered completely.
    lock : Lock
        Held during a read.
    reads_ahead : SharedCalls
        Reads beyond the offset.
    """

    def __init__(
        self,
        store: StoreCalls,
        topic: str,
        partition: int,
        on_record: Callable[[Record], None],
        on_reload: Callable[[], None] | None = None,
        skips_history: bool = False,
    ) -> None:
        self.store = store
        self.topic = topic
        self.partition = partition
        self.on_record = on_record
        self.on_reload = on_reload
        self.skips_history = skips_history
        self.offset: int | None = None
        self.synced_at = 0.0
        self.is_unanswered = False
        self.lock = threading.Lock()
        self.reads_ahead: SharedCalls[Result[int, CallError]] = SharedCalls()


def poll_reader(reader: PartitionReader, wait_s: float = 0.0) -> Result[int, CallError]:
    """Read all new records, waiting up to `wait_s` for the first one.

    Returns
    -------
    Result[int, CallError]
        The number of records read. On success, all records stored before
        `reader.synced_at` have been read.

    Notes
    -----
    Guards against a new owner that starts tasks a second time beside runs that it
    doesn't know of. If the store has dropped history since the last read, the newest
    records are read within the same call, so that success always means that everything
    has been read.
    """
    with reader.lock:
        if reader.is_unanswered:
            answer = _check_store(reader)
            if isinstance(answer, Err) and answer.err_value.kind in _UNANSWERED:
                return answer
        result = _read_all(reader, wait_s)
        reader.is_unanswered = (
            isinstance(result, Err) and result.err_value.kind == ErrorKind.LOST
        )
        return result


def _check_store(reader: PartitionReader) -> Result[Page, CallError]:
    """Make a call whose answer is small; return its error if the store doesn't answer.

    Notes
    -----
    Guards against a link that stays full of responses that nobody waits for any more. A
    large response that hasn't begun within the timeout may only be queued behind
    others, and requesting it again at once adds as much to the link. This call can be
    repeated until the link is free, or the store is back.
    """
    return reader.store.read_newest(
        reader.topic, reader.partition, LAST_KEY, READ_TIMEOUT_S
    )


def _read_all(reader: PartitionReader, wait_s: float) -> Result[int, CallError]:
    count = 0
    while True:
        if reader.offset is None:
            loaded = load_newest(reader)
            if isinstance(loaded, Err):
                return loaded
            count += loaded.ok_value
            wait_s = 0.0
        assert reader.offset is not None
        read_at = read_clock()
        found = reader.store.read(
            reader.topic, reader.partition, reader.offset, wait_s, READ_TIMEOUT_S
        )
        if isinstance(found, Err):
            return found
        batch = found.ok_value
        if batch.dropped:
            # The store has dropped history; the newest record of each key is kept.
            reader.offset = None
            continue
        for record in batch.records:
            _apply_record(reader, record)
        count += len(batch.records)
        reader.offset = batch.next_offset
        if batch.next_offset >= batch.end:
            reader.synced_at = read_at
            return Ok(count)
        if reader.skips_history and batch.end - batch.next_offset > 1:
            reader.offset = None
        wait_s = 0.0


def _apply_record(reader: PartitionReader, record: Record) -> None:
    """Pass a record on; one that can't be applied must not end the reading.

    Notes
    -----
    Guards against a topic that isn't read any more because of one record: the store
    keeps it, so that each further attempt would fail at the same place.
    """
    try:
        reader.on_record(record)
    except Exception as error:
        why = describe_failure(error)
        _logger.warning(
            "record %.100s of %s is left out: %s", record.key, reader.topic, why
        )


def load_newest(reader: PartitionReader) -> Result[int, CallError]:
    """Read the newest record of each key, and set the offset to continue from.

    Notes
    -----
    The pages aren't a consistent snapshot, because a record may change between two of
    them. Reading continues from the end offset that the first page reports, so that
    each such change is read again.
    """
    if reader.on_reload is not None:
        reader.on_reload()
    after = ""
    start: int | None = None
    count = 0
    while True:
        found = reader.store.read_newest(
            reader.topic, reader.partition, after, READ_TIMEOUT_S
        )
        if isinstance(found, Err):
            return found
        page = found.ok_value
        if start is None:
            start = page.end
        for record in page.records:
            _apply_record(reader, record)
        count += len(page.records)
        after = page.last_key
        if not page.more:
            reader.offset = start
            return Ok(count)


def read_ahead(reader: PartitionReader) -> Result[int, CallError]:
    """Read the records beyond the reader's offset without advancing it.

    Notes
    -----
    Serves answers that must include all records stored before the call while another
    thread is waiting in a read on the same reader. Records are passed on twice, which
    has no effect where only a key's newest record counts and each key is written once.

    Callers that ask for unknown jobs would otherwise spend the rate of reads that the
    store grants: calls that wait for another one share the next read.
    """
    return reader.reads_ahead.run("", lambda: _read_beyond(reader))


def _read_beyond(reader: PartitionReader) -> Result[int, CallError]:
    offset = reader.offset
    if offset is None:
        return poll_reader(reader)
    found = reader.store.read(
        reader.topic, reader.partition, offset, 0.0, READ_TIMEOUT_S
    )
    if isinstance(found, Err):
        return found
    if found.ok_value.dropped:
        return poll_reader(reader)
    for record in found.ok_value.records:
        _apply_record(reader, record)
    return Ok(len(found.ok_value.records))


def choose_retry_pause(failures: int, draw: float) -> float:
    """Return the pause in seconds after a number of consecutive failed reads.

    Parameters
    ----------
    failures : int
        Number of consecutive failures, at least one.
    draw : float
        Random number from 0 to 1.

    Examples
    --------
    >>> [choose_retry_pause(failures, 1.0) for failures in (1, 2, 3, 9)]
    [0.1, 0.2, 0.4, 0.4]
    >>> choose_retry_pause(3, 0.0)
    0.2
    """
    pause_s = min(RETRY_S * 2 ** min(failures - 1, 8), MAX_RETRY_S)
    return pause_s * (MIN_JITTER + (1 - MIN_JITTER) * draw)
