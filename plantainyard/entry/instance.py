"""What one instance holds: configuration, layout, copies of units, owned units."""

import contextlib
import threading
from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple

import pykka
from result import Err

from plantainyard.batch.records import RecordKind, decode_submission, parse_key
from plantainyard.clock import read_clock
from plantainyard.dispatch import (
    EMPTY_COUNTS,
    CancelRequested,
    Event,
    JobSubmitted,
    count_state,
)
from plantainyard.entry.copies import UnitCopy
from plantainyard.entry.eventlog import EventLog
from plantainyard.entry.layout import Layout, find_unit
from plantainyard.entry.meters import Meters
from plantainyard.entry.readers import PartitionReader, poll_reader
from plantainyard.entry.topics import CONFIGURATION_KEY, LAYOUT, OPERATIONS
from plantainyard.entry.unit import UnitActor, UnitContext
from plantainyard.platform.configuration import Configuration, decode_configuration
from plantainyard.platform.runners import RunnerCalls, build_runner_calls
from plantainyard.platform.settings import InstanceSettings
from plantainyard.platform.store import Record, StoreCalls, build_store_calls

__all__ = ["Claim", "Instance", "OwnedUnit", "run_reader"]

LAYOUT_POLL_S = 5.0
"""Wait of reads of the layout. A change of owner is read at once; where the connection
has fallen silent it shows as an owner that doesn't answer, and the store is asked."""

CONFIRM_POLL_S = 0.5
"""The same for an instance that owns a unit: each reading renews its ownership, and
with it the leases that it may grant."""

LONG_POLL_S = 1.0
"""Wait of reads that must notice at once: the configuration by all, submissions by
the owner. One call a second each while nothing happens."""

RETRY_S = 0.1
"""Pause after a read that failed."""


class OwnedUnit(NamedTuple):
    """A unit that this instance owns."""

    context: UnitContext
    actor: pykka.ActorRef[UnitActor]


@dataclass(slots=True)
class Claim:
    """A unit that this instance owns or is taking over.

    Attributes
    ----------
    epoch : int
        The fencing token.
    confirmed_at : float
        When the store was last asked that knew of no later owner.
    """

    epoch: int
    confirmed_at: float


class Instance:
    """State shared by an instance's threads.

    Parameters
    ----------
    settings : InstanceSettings
        Of this process.
    log : EventLog
        For decisions.

    Attributes
    ----------
    configuration : Configuration or None
        The newest that was read; None before the first.
    layout : Layout
        Number of units, and their owners.
    copies : list of UnitCopy
        By unit; empty until the number of units is known.
    claims : dict
        The units that this instance owns or is taking over.
    owned : dict
        Those of them that it owns now.
    deposed : Event
        Set when it needs a later epoch: it is to join the group anew.
    leaving : Event
        Set while it owns units only until others take them over.
    """

    def __init__(self, settings: InstanceSettings, log: EventLog) -> None:
        self.settings = settings
        self.log = log
        self.meters = Meters()
        log.on_event = lambda event: self.meters.events.labels(event).inc()
        observe = self.meters.observe_call
        self.store: StoreCalls = build_store_calls(settings.store_address, observe)
        self.runners: RunnerCalls = build_runner_calls(observe)
        self.configuration: Configuration | None = None
        self.layout = Layout(log)
        self.copies: list[UnitCopy] = []
        self.claims: dict[int, Claim] = {}
        self.owned: dict[int, OwnedUnit] = {}
        self.stopping = threading.Event()
        self.rejoin_needed = threading.Event()
        self.leaving = threading.Event()
        self.operations_reader = PartitionReader(
            self.store, OPERATIONS, 0, self._take_operation
        )
        self.layout_reader = PartitionReader(self.store, LAYOUT, 0, self.layout.take)

    def create_copies(self) -> None:
        """Make a copy for each unit; the layout is known from now on."""
        units = range(self.layout.units)
        self.copies = [UnitCopy(self.store, unit, self._tell_record) for unit in units]

    def find_copy(self, job_id: str) -> UnitCopy:
        """Return the copy of the unit that a job is stored in."""
        return self.copies[find_unit(job_id, len(self.copies))]

    def peer_address(self) -> str:
        """Return the address at which other instances reach this one."""
        return f"{self.settings.ip}:{self.settings.peer_port}"

    def is_configuration_fresh(self, now: float, within_s: float) -> bool:
        """Return whether the configuration was confirmed within the last seconds."""
        return now - self.operations_reader.synced_at <= within_s

    def refresh_meters(self) -> None:
        """Set the gauges to what holds now."""
        meters = self.meters
        meters.lost_lines.set(self.log.lost_lines)
        meters.configuration_age.set(read_clock() - self.operations_reader.synced_at)
        if self.configuration is not None:
            meters.configuration_version.set(self.configuration.version)
        owned = list(self.owned.values())
        meters.owned.set(len(owned))
        counts = [count_state(unit.context.dispatcher) for unit in owned]
        counts = counts or [EMPTY_COUNTS]
        meters.jobs.set(sum(count.jobs for count in counts))
        for gauge, rows in (
            (meters.tasks, [count.tasks for count in counts]),
            (meters.runners, [count.runners for count in counts]),
        ):
            for name in {name for row in rows for name in row}:
                gauge.labels(name).set(sum(row.get(name, 0) for row in rows))

    def _take_operation(self, record: Record) -> None:
        if record.key != CONFIGURATION_KEY:
            return
        try:
            configuration = decode_configuration(record.value)
        except (ValueError, TypeError, KeyError, AttributeError) as error:
            self.log.write("unreadable_entry", key=record.key, why=repr(error))
            return
        held = self.configuration
        # A version once in force never reverts within the life of a process.
        if held is not None and configuration.version <= held.version:
            return
        self.configuration = configuration
        self.log.write("configuration_in_force", version=configuration.version)

    def _tell_record(self, unit: int, job_id: str, record: Record) -> None:
        """Tell a unit's owner, if it is this instance, what callers have stored."""
        if unit not in self.owned:
            return
        kind = parse_key(record.key).kind
        if kind == RecordKind.SUBMISSION:
            self.send_event(unit, JobSubmitted(decode_submission(record.value)))
            # A job that was handed over may come after the request to cancel it.
            if self.copies[unit].replica.jobs[job_id].cancelled:
                self.send_event(unit, CancelRequested(job_id))
        elif kind == RecordKind.CANCEL:
            self.send_event(unit, CancelRequested(job_id))

    def send_event(self, unit: int, event: Event) -> None:
        """Tell an owned unit's actor; a unit that was lost meanwhile needs no word."""
        owned = self.owned.get(unit)
        if owned is not None:
            with contextlib.suppress(pykka.ActorDeadError):
                owned.actor.tell(event)


def run_reader(
    reader: PartitionReader,
    choose_wait: Callable[[], tuple[float, float]],
    stopping: threading.Event,
    note: Callable[[], None] = lambda: None,
) -> None:
    """Follow a tail until `stopping` is set.

    Parameters
    ----------
    tail : Tail
        What to follow.
    choose_wait : callable
        Returns the wait of the next read and the pause before it, in seconds.
    stopping : Event
        Ends it.
    note : callable
        Called after each reading, also after one that failed.
    """
    failed = False
    while not stopping.is_set():
        wait_s, pause_s = choose_wait()
        if pause_s and stopping.wait(pause_s):
            return
        # What was missed is known at once, not after another wait.
        found = poll_reader(reader, 0.0 if failed else wait_s)
        note()
        failed = isinstance(found, Err)
        if failed:
            stopping.wait(RETRY_S)
