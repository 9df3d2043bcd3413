"""Event log: one line of JSON for each decision, written to standard output.

Lines pass through a bounded queue to a writer thread. If the reader of standard output
has stopped, or lines arrive faster than they can be written, lines are dropped and
counted, so that logging never blocks a decision.
"""

import array
import contextlib
import fcntl
import io
import json
import logging
import os
import queue
import select
import stat
import sys
import termios
import threading
import time
from collections.abc import Callable, Iterator
from typing import Any, TextIO

from plantainyard.clock import read_clock

__all__ = ["EVENTS", "EventLog", "open_event_log"]

QUEUE_LINES = 2_000
"""Maximum number of buffered lines: a few seconds of peak traffic, less than 1 MB."""

BATCH_LINES = 64
"""Maximum number of lines that are taken from the queue at once."""

WRITE_BYTES = select.PIPE_BUF
"""Maximum number of bytes that are written with one call, but for a longer line. A pipe
takes so many bytes as a whole or not at all."""

READER_WAIT_S = 0.05
"""Maximum time in seconds to wait until a pipe's reader has taken the previous write.
A reader with a small buffer would otherwise split the lines of two writes."""

READER_POLL_S = 0.001
"""Time in seconds between checks of what the reader has taken."""

BATCH_DELAY_S = 0.05
"""Time in seconds for which the writer collects lines before it writes them.

Waking up for each line would take the processor away from decisions some hundred times
a second. A process that is killed loses the lines of up to this time.
"""

FLUSH_TIMEOUT_S = 0.3
"""Maximum time in seconds to wait for the last lines when the log is closed.

A few writes to a pipe that is being read take some milliseconds, and a stopping process
must exit within its grace period.
"""

MAX_EVENT_LINES_PER_S = 50
"""Maximum number of lines of one event per second.

Further lines are counted and reported in a line `left_out`. Fifty lines per second are
enough to follow single jobs.
"""

EVENTS = frozenset(
    {
        "accepted",
        "answered_unknown",
        "cancel_accepted",
        "configuration_in_force",
        "configuration_source",
        "counted",
        "dependency_lost",
        "dependency_regained",
        "evacuation_begun",
        "evacuation_ended",
        "evacuation_repeated",
        "fence_raised",
        "job_begun",
        "job_ended",
        "job_handed_over",
        "job_quarantined",
        "job_set_aside",
        "job_turned_away",
        "layout_chosen",
        "leases_inherited",
        "left_out",
        "loop_failed",
        "order_failed",
        "peer_silent",
        "owner_gained",
        "owner_lost",
        "owner_named",
        "owner_succeeded",
        "policy_in_force",
        "predecessor_ended",
        "owner_busy",
        "processors_used",
        "queue_work",
        "read_incomplete",
        "record_too_large",
        "refused",
        "reloaded",
        "reload_failed",
        "reserve_joined",
        "reserve_left",
        "room_released",
        "room_reserved",
        "run_ended",
        "run_given_up",
        "run_started",
        "runner_changed",
        "runner_silent",
        "runner_slow",
        "runner_trusted",
        "runs_held",
        "started",
        "stopped",
        "stopping",
        "task_moved_for_room",
        "unit_failed",
        "unreadable_entry",
        "warned",
    }
)
"""Names of all events; `docs/operators/events.md` describes each of them."""


def _ignore_event(event: str) -> None:
    """Do nothing; the default of `EventLog.on_event`."""


class EventLog:
    """Writes lines about events to a stream.

    Parameters
    ----------
    instance : str
        Name of the instance, which is part of each line.
    stream : file
        Stream to which the lines are written.

    Attributes
    ----------
    lost_lines : int
        Number of lines that were dropped because the queue was full or a write failed.
    on_event : callable
        Called with the name of each event, including those whose lines are left out.
    closing : bool
        The last lines are being written, without waiting for the reader.
    """

    def __init__(self, instance: str, stream: TextIO) -> None:
        self.instance = instance
        self.stream = stream
        self.lines: queue.Queue[str | None] = queue.Queue(QUEUE_LINES - BATCH_LINES)
        self.lost_lines = 0
        self.on_event: Callable[[str], None] = _ignore_event
        self._counts: dict[str, int] = {}
        self._second = 0
        self._lock = threading.Lock()
        self._raw = _find_raw_stream(stream)
        self.closing = False
        self._pipe = None if self._raw is None else _find_pipe(self._raw)

    def write(self, event: str, **fields: Any) -> None:
        """Queue a line about `event`, or drop and count it if the queue is full.

        Parameters
        ----------
        event : str
            One of `EVENTS`.
        **fields
            Causes and results of the event; must be encodable as JSON.
        """
        self.on_event(event)
        lines, omitted = self._count_line(event)
        for name, left_out in omitted:
            self._enqueue("left_out", {"of": name, "lines": left_out})
        if lines <= MAX_EVENT_LINES_PER_S:
            self._enqueue(event, fields)

    def _count_line(self, event: str) -> tuple[int, list[tuple[str, int]]]:
        """Count a line of `event`.

        Returns
        -------
        tuple of int and list
            Number of lines of the event in the current second, and, when a second has
            passed, the events of that second with the number of lines left out.

        Notes
        -----
        Guards against a decision that fails because of its log line: another thread
        may replace the counts when the next second begins, so a lookup outside of the
        lock might not find the event. Both results are computed under the lock.
        """
        with self._lock:
            second = int(read_clock())
            omitted: list[tuple[str, int]] = []
            if second != self._second:
                omitted = [
                    (name, count - MAX_EVENT_LINES_PER_S)
                    for name, count in self._counts.items()
                    if count > MAX_EVENT_LINES_PER_S
                ]
                self._second = second
                self._counts = {}
            lines = self._counts.get(event, 0) + 1
            self._counts[event] = lines
            return lines, omitted

    def _enqueue(self, event: str, fields: dict[str, Any]) -> None:
        data = {
            "t": round(read_clock(), 3),
            "event": event,
            "instance": self.instance,
            **fields,
        }
        try:
            self.lines.put_nowait(json.dumps(data, separators=(",", ":"), default=str))
        except queue.Full:
            self.lost_lines += 1

    def run(self) -> None:
        """Write the queued lines until a None is queued."""
        while (line := self.lines.get()) is not None:
            if self.lines.qsize() < BATCH_LINES:
                time.sleep(BATCH_DELAY_S)
            batch, is_last = self._collect_batch(line)
            for lines in _group_lines([line.encode() for line in batch]):
                try:
                    self._write_whole(b"".join(lines))
                except (OSError, ValueError):
                    self.lost_lines += len(lines)
            if is_last:
                return

    def _write_whole(self, data: bytes) -> None:
        """Write whole lines, without a buffer that could split them if there is one."""
        if self._raw is None:
            self.stream.write(data.decode())
            self.stream.flush()
            return
        if self._pipe is not None and not self.closing:
            _await_reader(self._pipe)
        unwritten = memoryview(data)
        while unwritten:
            written = self._raw.write(unwritten)
            if written is None:
                time.sleep(BATCH_DELAY_S)
            else:
                unwritten = unwritten[written:]

    def _collect_batch(self, first: str) -> tuple[list[str], bool]:
        """Return the lines to write next, and whether they are the last lines."""
        batch = [first + "\n"]
        with contextlib.suppress(queue.Empty):
            while len(batch) < BATCH_LINES:
                line = self.lines.get_nowait()
                if line is None:
                    return batch, True
                batch.append(line + "\n")
        return batch, False


def _group_lines(lines: list[bytes]) -> list[list[bytes]]:
    """Return the lines in groups of up to `WRITE_BYTES`, or of one longer line."""
    groups: list[list[bytes]] = []
    size = 0
    for line in lines:
        if not groups or size + len(line) > WRITE_BYTES:
            groups.append([])
            size = 0
        groups[-1].append(line)
        size += len(line)
    return groups


def _find_raw_stream(stream: TextIO) -> io.RawIOBase | None:
    """Return the unbuffered stream below a text stream, if there is one."""
    buffer = getattr(stream, "buffer", None)
    raw = getattr(buffer, "raw", buffer)
    return raw if isinstance(raw, io.RawIOBase) else None


def _find_pipe(raw: io.RawIOBase) -> int | None:
    """Return the file descriptor of `raw` if it is a pipe."""
    try:
        descriptor = raw.fileno()
        return descriptor if stat.S_ISFIFO(os.fstat(descriptor).st_mode) else None
    except OSError:
        return None


def _await_reader(pipe: int) -> None:
    """Wait until a pipe is empty, but no longer than `READER_WAIT_S`."""
    deadline = read_clock() + READER_WAIT_S
    unread = array.array("i", [0])
    while True:
        fcntl.ioctl(pipe, termios.FIONREAD, unread)
        if not unread[0] or read_clock() >= deadline:
            return
        time.sleep(READER_POLL_S)


class _WarningHandler(logging.Handler):
    """Writes the warnings of modules and libraries to the event log.

    Notes
    -----
    Guards against warnings that go unnoticed: by default they are written to standard
    error, but only standard output is collected.
    """

    def __init__(self, log: EventLog) -> None:
        super().__init__(logging.WARNING)
        self.log = log

    def emit(self, record: logging.LogRecord) -> None:
        """Write one line about a warning; see `logging.Handler.emit`."""
        self.log.write("warned", by=record.name, why=record.getMessage())


@contextlib.contextmanager
def open_event_log(instance: str, stream: TextIO | None = None) -> Iterator[EventLog]:
    """Yield an event log whose writer thread runs while the context is open.

    Notes
    -----
    Guards against a stop that leaves no line in the log because the process exits while
    its last lines are queued. The writer gets a short time to write them, which is
    limited even if the reader of the stream has stopped.
    """
    log = EventLog(instance, stream or sys.stdout)
    writer = threading.Thread(target=log.run, daemon=True, name="event-log")
    writer.start()
    handler = _WarningHandler(log)
    logging.getLogger().addHandler(handler)
    try:
        yield log
    finally:
        logging.getLogger().removeHandler(handler)
        log.closing = True
        with contextlib.suppress(queue.Full):
            log.lines.put_nowait(None)
        writer.join(FLUSH_TIMEOUT_S)
