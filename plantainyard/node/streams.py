"""Reads and appends of one stream, on behalf of the actor that folds it.

`plantainyard.state` decides what to read and append. This module makes the calls on
other threads and sends their results to the actor as messages.
"""

import logging
import random
import time
from collections.abc import Callable, Mapping
from concurrent.futures import Executor
from typing import Any, NamedTuple

from result import Err

from plantainyard import state as log_state
from plantainyard.clients import LogClient, append_record, read_records
from plantainyard.clock import read_clock
from plantainyard.errors import ErrorKind, describe_error
from plantainyard.protocol import RecordsAnswer, RelayedRecord

__all__ = [
    "StreamEvent",
    "StreamIO",
    "StreamRole",
    "StreamState",
    "handle_stream_event",
    "submit_record",
    "set_role",
    "tick_stream",
    "write_due_snapshot",
]

_RELAYED_READ_PAUSE_S = 4.0
"""Pause in seconds between reads of the log by an instance that a relay serves."""

_WAKE_S = 0.1
"""Delay in seconds after which the appender checks its backlog again."""

_logger = logging.getLogger(__name__)


class StreamEvent(NamedTuple):
    """The result of a call to the log for one stream, requested at `requested_at`."""

    stream: str
    event: log_state.ReadEvent | log_state.AppendEvent
    requested_at: float


class StreamRole(NamedTuple):
    """Role of an instance in the distribution of a stream's records.

    Attributes
    ----------
    reads_log : bool
        Whether the instance reads the log as records appear. If not, a relay passes
        them on and the instance reads the log only occasionally.
    targets : tuple of str
        Control URLs of the instances to which it passes on new records.
    """

    reads_log: bool = True
    targets: tuple[str, ...] = ()


class StreamIO(NamedTuple):
    """Resources for reading, appending to and relaying one stream.

    Attributes
    ----------
    log : LogClient
        The platform's log.
    executor : Executor
        Threads on which calls wait.
    deliver : callable
        Sends a `StreamEvent` to the actor that folds the stream.
    relay_records : callable
        Sends records to the instance at a control URL, without waiting.
    wait_s : float
        Seconds for which a read at the end of the stream waits for a record.
    """

    log: LogClient
    executor: Executor
    deliver: Callable[[StreamEvent], object]
    relay_records: Callable[[str, RecordsAnswer], object]
    wait_s: float


class StreamState:
    """State of one stream, kept by the actor that folds it.

    Attributes
    ----------
    name : str
        Name of the stream.
    fold, restore, encode : callable
        Fold a record into the actor's state, replace that state by a snapshot, and
        encode it for a snapshot.
    role : StreamRole
        Whether this instance reads the log, and to which instances it relays records.
    to_relay : list of LogRecord
        Records folded in the present step, to be passed on.
    wake_pending : bool
        Whether a wake-up for the backlog is scheduled.
    callbacks : dict
        For each submission's key, the function that is called with its reports.
    appends : int
        Number of append calls so far.
    """

    def __init__(
        self,
        name: str,
        writer: str,
        rng: random.Random,
        reader_settings: log_state.ReaderSettings,
        snapshot_settings: log_state.SnapshotSettings,
        fold: Callable[[log_state.LogRecord], log_state.FoldResult],
        restore: Callable[[log_state.LogRecord], None],
        encode: Callable[[], Mapping[str, Any]],
    ) -> None:
        self.name = name
        self.fold = fold
        self.restore = restore
        self.encode = encode
        self.reader = log_state.ReaderState(reader_settings, rng)
        self.appender = log_state.AppenderState(
            log_state.AppenderSettings(), writer, rng
        )
        self.snapshot_schedule = log_state.SnapshotSchedule(snapshot_settings, rng)
        self.snapshot_type = reader_settings.snapshot_type
        self.callbacks: dict[str, Callable[[log_state.AppendReport], None]] = {}
        self.appends = 0
        self.wake_pending = False
        self.role = StreamRole()
        self.to_relay: list[log_state.LogRecord] = []


def tick_stream(stream: StreamState, io: StreamIO, now: float) -> None:
    """Start the reads, appends and snapshots that are due."""
    _act_on_read(
        stream, io, log_state.step_reader(stream.reader, log_state.ReadTick(), now), now
    )
    _advance_appender(stream, io, log_state.AppendTick(), now)
    write_due_snapshot(stream, io, now)


def handle_stream_event(
    stream: StreamState, io: StreamIO, message: StreamEvent, now: float
) -> None:
    """Process the result of a call to the log, or records from a relay."""
    event = message.event
    if isinstance(event, log_state.Relayed):
        _act_on_read(stream, io, log_state.step_reader(stream.reader, event, now), now)
        _read_soon_if_behind(stream)
        tick_stream(stream, io, now)
        _relay_records(stream, io)
        return
    if isinstance(event, log_state.Fetched | log_state.FetchFailed):
        # The end of the stream was read some time after the request. Counting from the
        # request keeps the staleness an upper bound.
        at = message.requested_at if isinstance(event, log_state.Fetched) else now
        actions = log_state.step_reader(stream.reader, event, at)
        _act_on_read(stream, io, actions, now)
        _advance_appender(stream, io, log_state.AppendTick(), now)
        _relay_records(stream, io)
        return
    stream.wake_pending = stream.wake_pending and not isinstance(
        event, log_state.AppendTick
    )
    _advance_appender(stream, io, event, now)  # type: ignore[arg-type]


def set_role(stream: StreamState, role: StreamRole) -> None:
    """Start reading the log as records appear, or leave that to a relay."""
    if role.reads_log != stream.role.reads_log:
        pause_s = 0.0 if role.reads_log else _RELAYED_READ_PAUSE_S
        stream.reader.settings = stream.reader.settings._replace(pause_s=pause_s)
        stream.reader.fetch_at = float("-inf")
    stream.role = role


def _read_soon_if_behind(stream: StreamState) -> None:
    """Schedule a read of the log at once if a relay's records left a gap.

    After a lost message from the relay, this instance would otherwise stay behind until
    its next occasional read.
    """
    if not log_state.is_current(stream.reader):
        stream.reader.fetch_at = float("-inf")


def _relay_records(stream: StreamState, io: StreamIO) -> None:
    records, stream.to_relay = stream.to_relay, []
    if not records or not stream.role.targets:
        return
    message = RecordsAnswer(
        stream.name,
        records[0].offset,
        records[-1].offset + 1,
        tuple(RelayedRecord(*record) for record in records),
    )
    for target in stream.role.targets:
        io.relay_records(target, message)


def submit_record(
    stream: StreamState,
    io: StreamIO,
    submit: log_state.Submit,
    on_report: Callable[[log_state.AppendReport], None],
    now: float,
) -> None:
    """Append a record; `on_report` is called with each report of its status."""
    stream.callbacks[submit.key] = on_report
    _advance_appender(stream, io, submit, now)


def write_due_snapshot(stream: StreamState, io: StreamIO, now: float) -> None:
    """Append a snapshot if one is due and this instance is current."""
    covers = stream.reader.next_offset - 1
    if covers < 0 or not log_state.is_current(stream.reader):
        return
    if not log_state.is_snapshot_due(stream.snapshot_schedule, covers + 1, now):
        return
    log_state.record_snapshot_attempt(stream.snapshot_schedule, now)
    record = log_state.make_snapshot(covers, stream.encode(), stream.snapshot_type)
    _advance_appender(stream, io, log_state.Submit(record, "snapshot"), now)


def _act_on_read(
    stream: StreamState,
    io: StreamIO,
    actions: list[log_state.ReaderAction],
    now: float,
) -> None:
    for action in actions:
        match action:
            case log_state.Apply(record):
                _fold_record(stream, io, record, now)
            case log_state.Restore(record):
                _restore(stream, io, record, now)
            case log_state.ReadRestarted(wanted, first):
                _logger.warning(
                    "records %d to %d are no longer kept; reading starts over",
                    wanted,
                    first - 1,
                    extra={"step": "log.read", "peer": stream.name},
                )
            case log_state.LogRegressed(wanted, end):
                _logger.error(
                    "the log ends at %d, below %d, which was read from it",
                    end,
                    wanted,
                    extra={"step": "log.read", "peer": stream.name},
                )
            case log_state.Fetch():
                wait_s = io.wait_s if stream.role.reads_log else 0.0
                io.executor.submit(_fetch, stream.name, io, action, wait_s)


def _fold_record(
    stream: StreamState, io: StreamIO, record: log_state.LogRecord, now: float
) -> None:
    change = stream.fold(record)
    stream.to_relay.append(record)
    if change.type == stream.snapshot_type:
        covers = int(record.data.get("covers", -1))
        log_state.observe_snapshot(stream.snapshot_schedule, covers, record.time_s, now)
    else:
        log_state.observe_record(stream.snapshot_schedule, record.time_s, now)
    _advance_appender(
        stream, io, log_state.RecordRead(record.offset, record.data, change), now
    )


def _restore(
    stream: StreamState, io: StreamIO, record: log_state.LogRecord, now: float
) -> None:
    stream.restore(record)
    log_state.observe_snapshot(
        stream.snapshot_schedule, int(record.data["covers"]), record.time_s, now
    )
    _advance_appender(
        stream, io, log_state.RecordsSkipped(int(record.data["covers"]) + 1), now
    )


def _advance_appender(
    stream: StreamState, io: StreamIO, event: log_state.AppendEvent, now: float
) -> None:
    _wake_for_backlog(stream, io)
    for action in log_state.step_appender(stream.appender, event, now):
        if isinstance(action, log_state.Append):
            stream.appends += 1
            io.executor.submit(_append, stream.name, io, dict(action.record))
        else:
            _report(stream, action)


def _wake_for_backlog(stream: StreamState, io: StreamIO) -> None:
    """Schedule an event that appends from the backlog before the next tick."""
    if stream.wake_pending or not log_state.count_backlog(stream.appender):
        return
    stream.wake_pending = True
    io.executor.submit(_wake, stream.name, io)


def _wake(name: str, io: StreamIO) -> None:
    time.sleep(_WAKE_S)
    io.deliver(StreamEvent(name, log_state.AppendTick(), read_clock()))


def _report(stream: StreamState, report: log_state.AppendReport) -> None:
    on_report = stream.callbacks.get(report.key)
    if on_report is None:
        return
    if report.status != log_state.AppendStatus.UNKNOWN:
        del stream.callbacks[report.key]
    on_report(report)


def _fetch(name: str, io: StreamIO, action: log_state.Fetch, wait_s: float) -> None:
    requested_at = read_clock()
    answer = read_records(io.log, name, action.offset, action.limit, wait_s)
    event: log_state.ReadEvent
    if isinstance(answer, Err):
        error = answer.err_value
        _logger.info(describe_error(error), extra={"step": error.step})
        event = log_state.FetchFailed(error.retry_after_s)
    else:
        page = answer.ok_value
        records = [log_state.LogRecord(*record) for record in page.records]
        event = log_state.Fetched(page.first, page.next, records)
    io.deliver(StreamEvent(name, event, requested_at))


def _append(name: str, io: StreamIO, record: dict[str, Any]) -> None:
    requested_at = read_clock()
    answer = append_record(io.log, name, record)
    event: log_state.AppendEvent
    if not isinstance(answer, Err):
        event = log_state.AppendSucceeded(answer.ok_value)
    elif answer.err_value.kind in (ErrorKind.UNREACHABLE, ErrorKind.REFUSED):
        event = log_state.AppendRefused(answer.err_value.retry_after_s)
    else:
        event = log_state.AppendUnconfirmed()
    io.deliver(StreamEvent(name, event, requested_at))
