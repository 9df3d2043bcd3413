"""The actor that folds the ``config`` stream and answers queries about it."""

import random
from collections.abc import Callable
from typing import Any, NamedTuple

import pykka

from plantainyard import state as log_state
from plantainyard.clock import read_clock
from plantainyard.settings import Settings

from .messages import Query, SubmitRecord, Tick
from .streams import (
    StreamEvent,
    StreamIO,
    StreamRole,
    StreamState,
    handle_stream_event,
    set_role,
    submit_record,
    tick_stream,
)

__all__ = [
    "CONFIG_STREAM",
    "ConfigActor",
    "ConfigView",
    "ReadConfig",
    "knows_newest",
]

CONFIG_STREAM = "config"
_MAX_AGE_READS = 3.0
"""Read intervals without an answer from the log after which the age is too high."""


class ReadConfig(NamedTuple):
    """Ask for a `ConfigView`."""


class ConfigView(NamedTuple):
    """The configuration in force at this instance.

    Attributes
    ----------
    version : int
        Offset of the newest accepted change, -1 for none.
    next_offset : int
        Offset of the first record that is not folded yet.
    values : dict
        Values by key.
    versions : dict
        Version that set each key.
    history : tuple of HistoryEntry
        Newest accepted changes, the oldest first.
    age_s : float
        Seconds since this was last known to be the newest.
    is_current : bool
        Whether all records that are known to exist are folded.
    """

    version: int
    next_offset: int
    values: dict[str, Any]
    versions: dict[str, int]
    history: tuple[log_state.HistoryEntry, ...]
    age_s: float
    is_current: bool


def knows_newest(settings: Settings, view: ConfigView) -> bool:
    """Return whether an instance can know that its configuration is the newest.

    Notes
    -----
    In an outage of the log an instance sees no newer change, which doesn't mean that
    there is none. After a few read intervals without an answer it reports that it can't
    know.
    """
    max_age_s = max(
        settings.intervals.silence_s, _MAX_AGE_READS * settings.intervals.log_wait_s
    )
    return view.is_current and view.age_s <= max_age_s


class ConfigActor(pykka.ThreadingActor):
    """Owns the folded configuration.

    Parameters
    ----------
    writer : str
        Name of this process, unique for each start.
    rng : random.Random
        Source of the jitter of retries and snapshots.
    snapshot_settings : SnapshotSettings
        When snapshots are written.
    make_io : callable
        Builds the stream's input and output for a given delivery function.
    on_change : callable
        Called with all values in force after each accepted change.
    """

    use_daemon_thread = True

    def __init__(
        self,
        writer: str,
        rng: random.Random,
        snapshot_settings: log_state.SnapshotSettings,
        make_io: Callable[[Callable[[StreamEvent], object]], StreamIO],
        on_change: Callable[[dict[str, Any]], None],
    ) -> None:
        super().__init__()
        self.config = log_state.ConfigState()
        self.on_change = on_change
        self.io = make_io(self.actor_ref.tell)
        self.stream = StreamState(
            CONFIG_STREAM,
            writer,
            rng,
            log_state.ReaderSettings(
                snapshot_type=log_state.RecordType.CONFIG_SNAPSHOT
            ),
            snapshot_settings,
            fold=self._fold,
            restore=self._restore,
            encode=lambda: log_state.encode_config(self.config),
        )

    def on_receive(self, message: Any) -> Any:
        """Handle one message and return the answer to a query."""
        now = read_clock()
        match message:
            case Tick():
                tick_stream(self.stream, self.io, now)
            case StreamEvent():
                handle_stream_event(self.stream, self.io, message, now)
            case StreamRole():
                set_role(self.stream, message)
            case SubmitRecord(submit, on_report):
                submit_record(self.stream, self.io, submit, on_report, now)
            case ReadConfig():
                return self._view(now)
            case Query(read):
                return read(self, now)
        return None

    def _fold(self, record: log_state.LogRecord) -> log_state.FoldResult:
        change = log_state.apply_config(self.config, record.offset, record.data)
        if change.applied:
            self.on_change(log_state.list_values(self.config))
        return change

    def _restore(self, record: log_state.LogRecord) -> None:
        restored = log_state.decode_config(record.data["state"])
        # A snapshot that covers fewer records than were folded would undo changes.
        if restored.next_offset >= self.config.next_offset:
            self.config = restored
            self.on_change(log_state.list_values(self.config))

    def _view(self, now: float) -> ConfigView:
        values = self.config.values
        return ConfigView(
            self.config.version,
            self.config.next_offset,
            {key: entry.value for key, entry in values.items()},
            {key: entry.version for key, entry in values.items()},
            tuple(log_state.list_history(self.config)),
            log_state.get_staleness(self.stream.reader, now),
            log_state.is_current(self.stream.reader),
        )
