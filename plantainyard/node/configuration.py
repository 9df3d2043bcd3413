"""The actor that folds the ``config`` stream and answers questions about it."""

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
_READS = 3.0


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
        Seconds since this was known to be the newest.
    is_current : bool
        Whether all that is known to exist is folded.
    """

    version: int
    next_offset: int
    values: dict[str, Any]
    versions: dict[str, int]
    history: tuple[log_state.HistoryEntry, ...]
    age_s: float
    is_current: bool


def knows_newest(settings: Settings, view: ConfigView) -> bool:
    """Tell whether an instance can know that its configuration is the newest.

    Notes
    -----
    In an outage of the log nothing newer is heard of, which proves nothing: after a few
    read intervals without an answer the instance says that it can't know.
    """
    oldest = max(settings.intervals.silence_s, _READS * settings.intervals.log_wait_s)
    return view.is_current and view.age_s <= oldest


class ConfigActor(pykka.ThreadingActor):
    """Owns the folded configuration.

    Parameters
    ----------
    writer : str
        Unique for this start of this process.
    rng : random.Random
        Spreads retries and snapshots.
    snapshot_settings : SnapshotSettings
        When snapshots are written.
    make_io : callable
        Builds the stream's input and output for a delivery function.
    on_change : callable
        Told the whole of the values after each accepted change.
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
        """Take one message in."""
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
        # A snapshot that covers less than was folded would take values back.
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
