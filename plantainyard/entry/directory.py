"""Runners' entries as the store holds them."""

from collections.abc import Callable

from plantainyard.dispatch import EntryChanged, Event
from plantainyard.entry.eventlog import EventLog
from plantainyard.platform.entries import RunnerEntry, decode_entry
from plantainyard.platform.store import Record

__all__ = ["RunnerDirectory"]


class RunnerDirectory:
    """Tells of entries that changed; a heartbeat that changes nothing is no news.

    Parameters
    ----------
    tell : callable
        Takes each `EntryChanged`.
    log : EventLog
        For decisions.
    """

    def __init__(self, tell: Callable[[Event], None], log: EventLog) -> None:
        self.tell = tell
        self.log = log
        self.entries: dict[str, RunnerEntry] = {}
        self.found: set[str] | None = None

    def begin(self) -> None:
        """Prepare for a reading of all entries."""
        self.found = set()

    def take(self, record: Record) -> None:
        """Take in one entry; an empty value removes it."""
        runner = record.key
        if self.found is not None:
            self.found.add(runner)
        if not record.value:
            self._remove(runner)
            return
        entry = decode_entry(runner, record.value)
        if entry is None:
            self.log.write("unreadable_entry", key=runner)
            return
        if self.entries.get(runner) == entry:
            return
        self.entries[runner] = entry
        self.log.write(
            "runner_changed",
            runner=entry.incarnation,
            draining=entry.draining,
            address=entry.address,
        )
        self.tell(EntryChanged(runner, entry))

    def finish(self) -> None:
        """Remove what the last reading of all entries didn't list any more."""
        if self.found is None:
            return
        for runner in list(self.entries.keys() - self.found):
            self._remove(runner)
        self.found = None

    def _remove(self, runner: str) -> None:
        if self.entries.pop(runner, None) is not None:
            self.log.write("runner_changed", runner=runner, removed=True)
            self.tell(EntryChanged(runner, None))
