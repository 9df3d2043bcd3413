"""State of one instance: configuration, layout, copies of units and owned units."""

import contextlib
import random
import threading
from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple

import pykka
from result import Err

from plantainyard.batch.records import (
    RecordKind,
    decode_result,
    decode_submission,
    parse_key,
)
from plantainyard.clock import read_clock
from plantainyard.decode_budget import DecodeBudget
from plantainyard.decoding import DecodeError
from plantainyard.dispatch import (
    EMPTY_COUNTS,
    NO_POLICY,
    CancelRequested,
    Event,
    JobSubmitted,
    PieceEnded,
    SchedulingPolicy,
    count_state,
    summarize_work,
)
from plantainyard.dispatch.unit_forecasts import find_forecast_age
from plantainyard.entry.admission import RejectedJobs
from plantainyard.entry.copies import UnitCopy
from plantainyard.entry.evacuations import Evacuations
from plantainyard.entry.eventlog import EventLog
from plantainyard.entry.incomplete_reads import build_read_observer
from plantainyard.entry.layout import Layout, find_unit
from plantainyard.entry.meters import Meters
from plantainyard.entry.readers import (
    PartitionReader,
    choose_retry_pause,
    poll_reader,
)
from plantainyard.entry.topics import CONFIGURATION_KEY, LAYOUT, OPERATIONS
from plantainyard.entry.unit import UnitActor, UnitContext
from plantainyard.platform.configuration import Configuration, decode_configuration
from plantainyard.platform.runners import RunnerCalls, build_runner_calls
from plantainyard.platform.settings import InstanceSettings
from plantainyard.platform.store import StoreCalls, build_store_calls
from plantainyard.platform.store_messages import Record
from plantainyard.transport import CallObservation

__all__ = ["Claim", "Instance", "OwnedUnit", "ReleasedUnit", "run_reader"]

LAYOUT_POLL_S = 5.0
"""Wait in seconds of reads of the layout. A change of owner ends the wait at once. If
the connection has stopped responding, the change shows as an owner that doesn't answer,
and the store is queried."""

CONFIRM_POLL_S = 0.5
"""Wait in seconds of reads of the layout by an instance that owns a unit. Each read
confirms its ownership and so extends the leases that it may grant."""

LONG_POLL_S = 1.0
"""Wait in seconds of reads that must see a new record at once: of the configuration by
all instances, and of submissions by the owner. Each makes one call per second while
nothing changes."""

MAX_READ_S = 0.25
"""Time in seconds, in addition to the wait, after which the last read is too old for
the next one to wait. A slow store takes that long for a call."""


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
        Fencing token of the ownership.
    confirmed_at : float
        Start time of the last read of the store that showed no later owner.
    superseded : bool
        A later owner has asked which leases remain.
    """

    epoch: int
    confirmed_at: float
    superseded: bool = False


class ReleasedUnit(NamedTuple):
    """The end of an ownership of a unit.

    Attributes
    ----------
    epoch : int
        Fencing token of the ownership.
    lease_ends : dict
        By runner id: when everything that this owner or an earlier one ordered there
        has surely ended.
    """

    epoch: int
    lease_ends: dict[str, float]


class Instance:
    """State shared by an instance's threads.

    Parameters
    ----------
    settings : InstanceSettings
        Settings of this process.
    log : EventLog
        Log for decisions.
    policy : SchedulingPolicy
        The scheduling parts that operators switch on; replaced when it changes.

    Attributes
    ----------
    configuration : Configuration or None
        The newest configuration read; None before the first.
    configuration_value : bytes
        Stored value of that configuration; empty before the first.
    copied_at : float
        All configurations stored before this time were known to the owner that was
        asked last.
    store_answered_at : float
        Time of the last successful answer of the store to any call.
    layout : Layout
        Number of units, and their owners.
    evacuations : Evacuations
        The failure domains in which operators want nothing more to start.
    rejected : RejectedJobs
        The ids that admission has rejected here lately.
    decode_budget : DecodeBudget
        The bodies of callers that are being decoded.
    unknown_until : float
        Until then, a submission that was answered without a known outcome may still be
        stored.
    copies : list of UnitCopy
        Copies of all units, by unit; empty until the number of units is known.
    claims : dict
        Units that this instance owns or is taking over, by unit.
    owned : dict
        Units that this instance owns and serves, by unit.
    claimed_epochs : dict
        By unit: the epochs in which this process has claimed it.
    started_at : float
        When the process started.
    released : dict
        The last ownership of each unit that this instance has ended.
    stopping : Event
        Set when the process stops.
    rejoin_needed : Event
        Set when the instance needs a later epoch and therefore has to rejoin the
        group.
    leaving : Event
        Set while the instance keeps its units only until others take them over.
    """

    def __init__(
        self,
        settings: InstanceSettings,
        log: EventLog,
        policy: SchedulingPolicy = NO_POLICY,
    ) -> None:
        self.settings = settings
        self.policy = policy
        self.log = log
        self.meters = Meters()
        log.on_event = lambda event: self.meters.events.labels(event).inc()
        observe = self.meters.observe_call
        observe_read = build_read_observer(log)

        def observe_store(observation: CallObservation) -> None:
            observe(observation)
            observe_read(observation)
            if observation.result == "2xx":
                self.store_answered_at = read_clock()

        self.store: StoreCalls = build_store_calls(
            settings.store_address, observe_store
        )
        self.runners: RunnerCalls = build_runner_calls(observe)
        self.configuration: Configuration | None = None
        self.configuration_value = b""
        self.copied_at = 0.0
        self.store_answered_at = 0.0
        self.layout = Layout(log)
        self.evacuations = Evacuations()
        self.rejected = RejectedJobs()
        self.decode_budget = DecodeBudget()
        self.unknown_until = 0.0
        self.copies: list[UnitCopy] = []
        self.claims: dict[int, Claim] = {}
        self.owned: dict[int, OwnedUnit] = {}
        self.claimed_epochs: dict[int, set[int]] = {}
        self.started_at = read_clock()
        self.released: dict[int, ReleasedUnit] = {}
        self.stopping = threading.Event()
        self.rejoin_needed = threading.Event()
        self.leaving = threading.Event()
        self.operations_reader = PartitionReader(
            self.store, OPERATIONS, 0, self._apply_operation, skips_history=True
        )
        self.layout_reader = PartitionReader(
            self.store, LAYOUT, 0, self.layout.apply_record
        )

    def create_copies(self) -> None:
        """Create a copy for each unit once the number of units is known."""
        units = range(self.layout.units)
        self.copies = [
            UnitCopy(self.store, unit, self._forward_record) for unit in units
        ]

    def find_copy(self, job_id: str) -> UnitCopy:
        """Return the copy of the unit to which a job belongs by its id."""
        return self.copies[find_unit(job_id, len(self.copies))]

    def peer_address(self) -> str:
        """Return the address at which other instances reach this one."""
        return f"{self.settings.ip}:{self.settings.peer_port}"

    def is_configuration_fresh(self, now: float, within_s: float) -> bool:
        """Return whether the configuration was read in the last `within_s` seconds."""
        return now - self.configuration_synced_at() <= within_s

    def configuration_synced_at(self) -> float:
        """Return the time before which all stored configurations are known here.

        Notes
        -----
        Guards against an instance that is cut off from the store, and stays in use
        because an owner goes on telling it the configuration: it could store nothing.
        """
        copied_at = min(self.copied_at, self.store_answered_at)
        return max(self.operations_reader.synced_at, copied_at)

    def confirm_configuration(self, synced_at: float, offset: int) -> None:
        """Record that an owner knew what was stored before a time and an offset."""
        self.copied_at = max(self.copied_at, synced_at)
        reader = self.operations_reader
        # A later read of the store then skips the records that the owner has read.
        reader.offset = max(reader.offset or 0, offset)

    def refresh_meters(self) -> None:
        """Set the gauges to the current values."""
        meters = self.meters
        meters.lost_lines.set(self.log.lost_lines)
        meters.configuration_age.set(read_clock() - self.configuration_synced_at())
        if self.configuration is not None:
            meters.configuration_version.set(self.configuration.version)
        self._refresh_evacuations()
        owned = list(self.owned.values())
        now = read_clock()
        ages = [find_forecast_age(unit.context.dispatcher, now) for unit in owned]
        meters.forecast_age.set(
            max((age for age in ages if age is not None), default=0)
        )
        meters.owned.set(len(owned))
        dispatchers = [unit.context.dispatcher for unit in owned]
        entries = sum(len(state.run_times.entries) for state in dispatchers)
        meters.run_time_entries.set(entries)
        counts = [count_state(state) for state in dispatchers]
        counts = counts or [EMPTY_COUNTS]
        meters.jobs.set(sum(count.jobs for count in counts))
        rooms = [unit.context.dispatcher.room for unit in owned]
        meters.room_reservations.set(sum(len(room.reservations) for room in rooms))
        self._refresh_work(now)
        for gauge, rows in (
            (meters.tasks, [count.tasks for count in counts]),
            (meters.runners, [count.runners for count in counts]),
        ):
            for name in {name for row in rows for name in row}:
                gauge.labels(name).set(sum(row.get(name, 0) for row in rows))

    def _refresh_work(self, now: float) -> None:
        """Set the gauges of the units' work; those of other units disappear."""
        meters = self.meters
        for gauge in (meters.queue_jobs, meters.queue_tasks, meters.processors):
            gauge.clear()
        for unit, owned in list(self.owned.items()):
            summary = summarize_work(owned.context.dispatcher, now)
            for use, value in summary.processors._asdict().items():
                meters.processors.labels(str(unit), use).set(value)
            for row in summary.queues:
                labels = row.queue, str(unit), row.kind
                meters.queue_jobs.labels(*labels, "open").set(row.jobs)
                meters.queue_jobs.labels(*labels, "late").set(row.late_jobs)
                meters.queue_jobs.labels(*labels, "useless").set(row.useless_jobs)
                for part, tasks in row.tasks.items():
                    meters.queue_tasks.labels(*labels, part).set(tasks)

    def _refresh_evacuations(self) -> None:
        evacuations = self.evacuations
        evacuated = evacuations.versions if self.claims else {}
        for domain in self.settings.domains | evacuations.versions.keys():
            self.meters.evacuated.labels(domain).set(domain in evacuated)
        if evacuations.read_at > 0:
            age_s = read_clock() - evacuations.read_at
            self.meters.evacuations_age.set(age_s)

    def _apply_operation(self, record: Record) -> None:
        if record.key == CONFIGURATION_KEY:
            self.apply_configuration(record.value)

    def apply_configuration(self, value: bytes) -> None:
        """Put a configuration in force unless it is unreadable or not newer."""
        try:
            configuration = decode_configuration(value)
        except DecodeError as error:
            self.log.write("unreadable_entry", key=CONFIGURATION_KEY, why=str(error))
            return
        current = self.configuration
        # The version in force never decreases while the process runs.
        if current is not None and configuration.version <= current.version:
            return
        # In this order, so that nobody takes an older value for this version's.
        self.configuration_value = value
        self.configuration = configuration
        regional = [q.name for q in configuration.queues if q.allowed_regions]
        fields = {"regions_ignored": regional} if regional else {}
        self.log.write(
            "configuration_in_force", version=configuration.version, **fields
        )

    def _forward_record(self, unit: int, job_id: str, record: Record) -> None:
        """Forward a caller's record to the unit's actor if this instance owns it."""
        if unit not in self.owned:
            return
        kind = parse_key(record.key).kind
        if kind == RecordKind.SUBMISSION:
            self.send_event(unit, JobSubmitted(decode_submission(record.value)))
            # A handed-over job may be read after the request to cancel it.
            if self.copies[unit].replica.jobs[job_id].cancelled:
                self.send_event(unit, CancelRequested(job_id))
        elif kind == RecordKind.RESULT:
            self.send_event(unit, PieceEnded(job_id, decode_result(record.value)))
        elif kind == RecordKind.CANCEL:
            self.send_event(unit, CancelRequested(job_id))

    def send_event(self, unit: int, event: Event) -> None:
        """Send an event to an owned unit's actor; ignore it if the unit isn't owned."""
        owned = self.owned.get(unit)
        if owned is not None:
            with contextlib.suppress(pykka.ActorDeadError):
                owned.actor.tell(event)


def run_reader(
    reader: PartitionReader,
    choose_wait: Callable[[], tuple[float, float]],
    stopping: threading.Event,
    on_poll: Callable[[], None] = lambda: None,
) -> None:
    """Poll a reader until `stopping` is set.

    Parameters
    ----------
    reader : PartitionReader
        Reader to poll.
    choose_wait : callable
        Returns the wait of the next read and the pause before it, in seconds.
    stopping : Event
        Ends the polling.
    on_poll : callable
        Called after each read, including failed ones.

    Notes
    -----
    Guards against callers that are refused because the configuration looks old. After a
    failure, and after a read that took long, the next read doesn't wait: it gets the
    missed records at once, or shows that there are none.
    """
    failures = 0
    while not stopping.is_set():
        wait_s, pause_s = choose_wait()
        if pause_s and stopping.wait(pause_s):
            return
        overdue = read_clock() - reader.synced_at > wait_s + MAX_READ_S
        found = poll_reader(reader, 0.0 if failures or overdue else wait_s)
        on_poll()
        failures = failures + 1 if isinstance(found, Err) else 0
        if failures:
            stopping.wait(choose_retry_pause(failures, random.random()))
