"""Following the newest records of a keyed topic."""

import threading
from collections.abc import Callable

from result import Err, Ok, Result

from plantainyard.clock import read_clock
from plantainyard.errors import CallError
from plantainyard.platform.store import Record, StoreCalls

__all__ = ["READ_TIMEOUT_S", "PartitionReader", "poll_reader", "read_ahead"]

READ_TIMEOUT_S = 1.0
"""Longest wait for the store beyond the wait that was asked for; its usual answer
takes under 30 ms, and a connection that has gone silent shows only by this."""


MAX_PAGE_TIMEOUT_S = 8.0
"""Longest wait for a page of newest records: a megabyte over five megabits a second
takes 1.7 s, and other calls share the link."""


class PartitionReader:
    """Where the reading of one partition stands.

    Parameters
    ----------
    store : StoreCalls
        The platform's store.
    topic : str
        A keyed topic.
    partition : int
        Its partition.
    take : callable
        Called with each record, in order; the newest of a key counts.
    reset : callable, optional
        Called before all newest records are read again.
    """

    def __init__(
        self,
        store: StoreCalls,
        topic: str,
        partition: int,
        take: Callable[[Record], None],
        reset: Callable[[], None] | None = None,
    ) -> None:
        self.store = store
        self.topic = topic
        self.partition = partition
        self.take = take
        self.reset = reset
        self.offset: int | None = None
        self.synced_at = 0.0
        self.page_timeout_s = READ_TIMEOUT_S
        self.lock = threading.Lock()


def poll_reader(reader: PartitionReader, wait_s: float = 0.0) -> Result[int, CallError]:
    """Read all that is new, waiting up to `wait_s` for the first record.

    Returns
    -------
    Result[int, CallError]
        The number of records taken. After success `tail.synced_at` is a time before
        which everything stored has been taken.

    Notes
    -----
    Guards against a new owner that starts tasks anew beside runs that it doesn't know
    of: where history was dropped since the last reading, the newest records are read
    at once, and success never means less than all.
    """
    with reader.lock:
        began = read_clock()
        taken = 0
        while True:
            if reader.offset is None:
                loaded = _load_newest(reader)
                if isinstance(loaded, Err):
                    return loaded
                taken += loaded.ok_value
                wait_s = 0.0
            assert reader.offset is not None
            found = reader.store.read(
                reader.topic, reader.partition, reader.offset, wait_s, READ_TIMEOUT_S
            )
            if isinstance(found, Err):
                return found
            part = found.ok_value
            if part.dropped:
                # History up to a later offset is gone; the newest records are not.
                reader.offset = None
                continue
            for record in part.records:
                reader.take(record)
            taken += len(part.records)
            reader.offset = part.next_offset
            if part.next_offset >= part.end:
                reader.synced_at = began
                return Ok(taken)
            wait_s = 0.0


def _load_newest(reader: PartitionReader) -> Result[int, CallError]:
    """Take the newest record of each key, then follow from where that began.

    Notes
    -----
    Guards against a takeover that never ends: on a narrow link a page takes longer than
    other reads may, and given up after a second it was begun anew for half a minute.
    The wait doubles with each failure; it begins short for a connection that is silent.

    Pages are no snapshot: a record may change between two of them. The reading goes
    on from the end that the first page named, so each change is read again after.
    """
    if reader.reset is not None:
        reader.reset()
    after = ""
    start: int | None = None
    taken = 0
    while True:
        found = reader.store.read_newest(
            reader.topic, reader.partition, after, reader.page_timeout_s
        )
        if isinstance(found, Err):
            reader.page_timeout_s = min(2 * reader.page_timeout_s, MAX_PAGE_TIMEOUT_S)
            return found
        page = found.ok_value
        if start is None:
            start = page.end
        for record in page.records:
            reader.take(record)
        taken += len(page.records)
        after = page.last_key
        if not page.more:
            reader.page_timeout_s = READ_TIMEOUT_S
            reader.offset = start
            return Ok(taken)


def read_ahead(reader: PartitionReader) -> Result[int, CallError]:
    """Take what is stored beyond the tail's place without moving it.

    Notes
    -----
    For an answer that must count all that was stored before the call, while another
    thread waits on the same tail. Records are taken twice, which does no harm where
    the newest of a key counts and each is written once.
    """
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
        reader.take(record)
    return Ok(len(found.ok_value.records))
