"""One line of JSON for each decision, on standard output, never in the way.

Lines go through a bounded queue to a thread that writes them. Where the reader of
standard output has stopped, or more comes than can be written, lines are lost and
counted, and no decision waits.
"""

import contextlib
import json
import logging
import queue
import sys
import threading
import time
from collections.abc import Callable, Iterator
from typing import Any, TextIO

from plantainyard.clock import read_clock

__all__ = ["EVENTS", "EventLog", "open_event_log"]

QUEUE_LINES = 2_000
"""Lines that wait for the writer: some seconds of the busiest traffic, under 1 MB."""

BATCH_LINES = 64
"""Most lines that are written with one call."""

GATHER_S = 0.05
"""Time for which the writer lets lines gather: woken for each of them, it takes the
processor from decisions some hundred times a second. A process that is killed leaves
so much of its last lines out."""

LAST_LINES_S = 0.3
"""Longest wait for the last lines when the log ends: a few writes to a pipe that is
read take some milliseconds, and a process that stops must be gone within its grace."""

LINES_PER_EVENT_S = 50
"""Lines of one event written in a second; more are counted in a line `left_out`.
Fifty a second of an event are enough to follow single jobs; the cost of logging by
itself is not measured."""

EVENTS = frozenset(
    {
        "accepted",
        "answered_unknown",
        "cancel_accepted",
        "configuration_in_force",
        "counted",
        "dependency_lost",
        "dependency_regained",
        "job_begun",
        "job_ended",
        "job_handed_over",
        "layout_chosen",
        "left_out",
        "order_failed",
        "peer_silent",
        "owner_gained",
        "owner_lost",
        "owner_named",
        "owner_succeeded",
        "refused",
        "reloaded",
        "reload_failed",
        "reserve_joined",
        "reserve_left",
        "run_ended",
        "run_started",
        "runner_changed",
        "runner_silent",
        "started",
        "stopped",
        "stopping",
        "unit_failed",
        "unreadable_entry",
        "warned",
    }
)
"""All events; `docs/operators/events.md` says what each means."""


def _count_nothing(event: str) -> None:
    """Count nothing."""


class EventLog:
    """Writes lines about events.

    Parameters
    ----------
    instance : str
        Named in each line.
    stream : file
        Where lines go.

    Attributes
    ----------
    lost : int
        Lines that nobody took in time.
    count : callable
        Told of each event, also of those whose lines are left out.
    """

    def __init__(self, instance: str, stream: TextIO) -> None:
        self.instance = instance
        self.stream = stream
        self.lines: queue.Queue[str | None] = queue.Queue(QUEUE_LINES - BATCH_LINES)
        self.lost_lines = 0
        self.on_event: Callable[[str], None] = _count_nothing
        self._counts: dict[str, int] = {}
        self._second = 0
        self._lock = threading.Lock()

    def write(self, event: str, **fields: Any) -> None:
        """Queue a line about `event`; drop and count it if the queue is full.

        Parameters
        ----------
        event : str
            One of `EVENTS`.
        **fields
            What decided it and what became of it; encodable as JSON.
        """
        self.on_event(event)
        lines, finished = self._count(event)
        for name, left_out in finished:
            self._put("left_out", {"of": name, "lines": left_out})
        if lines <= LINES_PER_EVENT_S:
            self._put(event, fields)

    def _count(self, event: str) -> tuple[int, list[tuple[str, int]]]:
        """Count a line; return how many the event has now, and what was left out.

        Notes
        -----
        Guards against a decision that fails by its log line: the counts of one second
        are replaced by another thread's line of the next, and looked up outside of the
        lock the event wasn't there any more. Both results are taken under the lock.
        """
        with self._lock:
            second = int(read_clock())
            finished: list[tuple[str, int]] = []
            if second != self._second:
                finished = [
                    (name, count - LINES_PER_EVENT_S)
                    for name, count in self._counts.items()
                    if count > LINES_PER_EVENT_S
                ]
                self._second = second
                self._counts = {}
            lines = self._counts.get(event, 0) + 1
            self._counts[event] = lines
            return lines, finished

    def _put(self, event: str, fields: dict[str, Any]) -> None:
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
        """Write lines until a None is queued."""
        while (line := self.lines.get()) is not None:
            if self.lines.qsize() < BATCH_LINES:
                time.sleep(GATHER_S)
            batch, ended = self._gather(line)
            try:
                self.stream.write("".join(batch))
                if self.lines.empty():
                    self.stream.flush()
            except (OSError, ValueError):
                self.lost_lines += len(batch)
            if ended:
                return

    def _gather(self, first: str) -> tuple[list[str], bool]:
        """Return the lines that are written next, and whether they are the last."""
        batch = [first + "\n"]
        with contextlib.suppress(queue.Empty):
            while len(batch) < BATCH_LINES:
                line = self.lines.get_nowait()
                if line is None:
                    return batch, True
                batch.append(line + "\n")
        return batch, False


class _Warnings(logging.Handler):
    """Writes what modules and libraries warn of as lines of the event log.

    Notes
    -----
    Guards against warnings that nobody sees: by themselves they go to standard error,
    while what is collected is standard output.
    """

    def __init__(self, log: EventLog) -> None:
        super().__init__(logging.WARNING)
        self.log = log

    def emit(self, record: logging.LogRecord) -> None:
        """Write one line; see `logging.Handler.emit`."""
        self.log.write("warned", by=record.name, why=record.getMessage())


@contextlib.contextmanager
def open_event_log(instance: str, stream: TextIO | None = None) -> Iterator[EventLog]:
    """Yield an event log whose writer runs for the length of the context.

    Notes
    -----
    Guards against a stop that leaves no line: the process ended while its last lines
    were queued. The writer gets a short time for them, which a reader that has stopped
    reading doesn't lengthen.
    """
    log = EventLog(instance, stream or sys.stdout)
    writer = threading.Thread(target=log.run, daemon=True, name="event-log")
    writer.start()
    warnings = _Warnings(log)
    logging.getLogger().addHandler(warnings)
    try:
        yield log
    finally:
        logging.getLogger().removeHandler(warnings)
        with contextlib.suppress(queue.Full):
            log.lines.put_nowait(None)
        writer.join(LAST_LINES_S)
