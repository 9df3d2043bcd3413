"""The runners' entries as the store holds them, with notification of changes."""

from collections.abc import Callable

from plantainyard.dispatch import EntryChanged, Event
from plantainyard.entry.eventlog import EventLog
from plantainyard.platform.entries import RunnerEntry, decode_entry
from plantainyard.platform.store_messages import Record

__all__ = ["RunnerDirectory"]


class RunnerDirectory:
    """Directory of the runners' entries that reports each change.

    A heartbeat that leaves the entry as it was isn't reported.

    Parameters
    ----------
    notify : callable
        Called with each `EntryChanged`.
    log : EventLog
        Log for changes and unreadable entries.

    Attributes
    ----------
    entries : dict
        The current entry of each runner, by the runner's name.
    listed : set of str or None
        Runners listed so far by the current read of all entries; None between such
        reads.
    """

    def __init__(self, notify: Callable[[Event], None], log: EventLog) -> None:
        self.notify = notify
        self.log = log
        self.entries: dict[str, RunnerEntry] = {}
        self.listed: set[str] | None = None

    def begin_reload(self) -> None:
        """Prepare for a read of all entries."""
        self.listed = set()

    def apply_record(self, record: Record) -> None:
        """Apply the record of one entry; an empty value removes the entry."""
        runner = record.key
        if self.listed is not None:
            self.listed.add(runner)
        if not record.value:
            self._remove(runner)
            return
        entry = decode_entry(runner, record.value)
        if entry is None:
            self.log.write("unreadable_entry", key=runner)
            return
        known = self.entries.get(runner)
        if known is not None and _is_unchanged(known, entry):
            return
        self.entries[runner] = entry
        self.log.write(
            "runner_changed",
            runner=entry.incarnation,
            draining=entry.draining,
            address=entry.address,
            slow_for_ms=entry.slow_for_ms,
        )
        self.notify(EntryChanged(runner, entry))

    def finish_reload(self) -> None:
        """Remove the entries that the last read of all entries didn't list."""
        if self.listed is None:
            return
        for runner in list(self.entries.keys() - self.listed):
            self._remove(runner)
        self.listed = None

    def _remove(self, runner: str) -> None:
        if self.entries.pop(runner, None) is not None:
            self.log.write("runner_changed", runner=runner, removed=True)
            self.notify(EntryChanged(runner, None))


def _is_unchanged(known: RunnerEntry, entry: RunnerEntry) -> bool:
    """Return whether an entry tells nothing but that time has passed."""
    passed = entry._replace(clock_ms=known.clock_ms, slow_for_ms=known.slow_for_ms)
    return known == passed and entry.slow_for_ms <= known.slow_for_ms
