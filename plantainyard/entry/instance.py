"""What one instance holds: replicas, configuration, the units it owns."""

import contextlib
import threading
from collections.abc import Callable
from typing import NamedTuple

import pykka
from result import Err

from plantainyard.batch.records import decode_submission
from plantainyard.batch.replica import OWNER_KEY, Replica, apply_record
from plantainyard.clock import read_clock
from plantainyard.dispatch import (
    EMPTY_COUNTS,
    Cancelled,
    Limits,
    Renewed,
    Submitted,
    count_state,
    restore_dispatcher,
)
from plantainyard.entry.directory import Directory
from plantainyard.entry.eventlog import EventLog
from plantainyard.entry.meters import Meters
from plantainyard.entry.ownership import Ownership
from plantainyard.entry.tails import Tail, poll_tail
from plantainyard.entry.topics import (
    CONFIGURATION_KEY,
    INTAKE,
    OPERATIONS,
    PRODUCER,
    PROGRESS,
    RUNNERS,
)
from plantainyard.entry.unit import (
    UnitActor,
    UnitWorld,
    append_until_known,
    keep_unit_actor,
)
from plantainyard.entry.wall import read_wall_ms
from plantainyard.platform.configuration import Configuration, decode_configuration
from plantainyard.platform.runners import RunnerCalls, build_runner_calls
from plantainyard.platform.settings import InstanceSettings
from plantainyard.platform.store import Append, Record, StoreCalls, build_store_calls

__all__ = ["Instance", "run_follower"]

FOLLOW_EVERY_S = 0.5
"""Time between a follower's reads. What it doesn't know yet it asks the owner or
reads at once; the copy is for the owner's absence."""

LONG_POLL_S = 1.0
"""Wait of reads that must notice at once: the configuration by all, submissions by
the owner. One call a second each while nothing happens."""

RUNNERS_EVERY_S = 0.25
"""Time between the owner's reads of runners' entries, which nearly all change every
second: waiting for each would cost thirty calls a second."""

RETRY_S = 0.1
"""Pause after a read that failed."""


class Owned(NamedTuple):
    """A unit that this instance owns."""

    world: UnitWorld
    actor: pykka.ActorRef[UnitActor]


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
    replica : Replica
        Copy of the unit's jobs.
    owned : Owned or None
        The unit, while this instance owns it.
    """

    def __init__(self, settings: InstanceSettings, log: EventLog) -> None:
        self.settings = settings
        self.log = log
        self.meters = Meters()
        log.count = lambda event: self.meters.events.labels(event).inc()
        observe = self.meters.observe_call
        self.store: StoreCalls = build_store_calls(settings.store_address, observe)
        self.runners: RunnerCalls = build_runner_calls(observe)
        self.unit = 0
        self.configuration: Configuration | None = None
        self.replica = Replica()
        self.owned: Owned | None = None
        self.stopping = threading.Event()
        self.deposed = threading.Event()
        self._owning = threading.Lock()
        self._wanted = 0
        self._world: UnitWorld | None = None
        self.operations = Tail(self.store, OPERATIONS, 0, self._take_operation)
        self.intake = Tail(self.store, INTAKE, self.unit, self._take_intake)
        self.progress = Tail(self.store, PROGRESS, self.unit, self._take_progress)

    def peer_address(self) -> str:
        """Return the address at which other instances reach this one."""
        return f"{self.settings.ip}:{self.settings.peer_port}"

    def is_fresh(self, now: float, within_s: float) -> bool:
        """Return whether the configuration was confirmed within the last seconds."""
        return now - self.operations.synced_at <= within_s

    def refresh_meters(self) -> None:
        """Set the gauges to what holds now."""
        meters = self.meters
        meters.lost_lines.set(self.log.lost)
        meters.configuration_age.set(read_clock() - self.operations.synced_at)
        if self.configuration is not None:
            meters.configuration_version.set(self.configuration.version)
        owned = self.owned
        meters.owned.set(0 if owned is None else 1)
        counts = count_state(owned.world.dispatcher) if owned else EMPTY_COUNTS
        meters.jobs.set(counts.jobs)
        for phase, number in counts.tasks.items():
            meters.tasks.labels(phase).set(number)
        for name, number in counts.runners.items():
            meters.runners.labels(name).set(number)

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

    def _take_intake(self, record: Record) -> None:
        job_id = apply_record(self.replica, record.key, record.value)
        owned = self.owned
        if owned is None or not job_id or not record.value:
            return
        if record.key.startswith("j/"):
            self._tell(Submitted(decode_submission(record.value)))
        elif record.key.startswith("c/"):
            self._tell(Cancelled(job_id))

    def _take_progress(self, record: Record) -> None:
        apply_record(self.replica, record.key, record.value)

    def _tell(self, event: object) -> None:
        owned = self.owned
        if owned is not None:
            with contextlib.suppress(pykka.ActorDeadError):
                owned.actor.tell(event)

    def take_ownership(self, ownership: Ownership) -> None:
        """Begin or end to own the unit, as the group says."""
        wanted = self.unit in ownership.units
        if wanted and ownership.asked_at:
            self._tell(Renewed(ownership.asked_at))
        if not wanted:
            self.give_up()
        elif self._wanted == 0 and not self.deposed.is_set():
            self._wanted = ownership.generation
            threading.Thread(
                target=self._own, args=(ownership.generation,), daemon=True
            ).start()

    def _own(self, epoch: int) -> None:
        """Own the unit until the group or a successor says otherwise."""
        with self._owning:
            world = UnitWorld(
                self.unit,
                epoch,
                self.store,
                self.runners,
                self.replica,
                self.log,
                self._depose,
                self.meters,
            )
            self._world = world
            if not self._is_wanted(epoch):
                return
            fenced_at = read_clock()
            if not self._fence_predecessors(world, epoch):
                return
            if not self._catch_up(epoch):
                return
            limits = Limits(
                longest_lease_s=self.settings.longest_lease_s,
                harm_s=self.settings.harm_s,
                remote_factor=self.settings.remote_factor,
            )
            limits = limits._replace(
                lease_s=min(limits.lease_s, limits.longest_lease_s)
            )
            now = read_clock()
            dispatcher = restore_dispatcher(
                self.replica, limits, now, read_wall_ms(), fenced_at
            )
            world.dispatcher = dispatcher
            with keep_unit_actor(world, dispatcher) as actor:
                self.owned = Owned(world, actor)
                self.log.write("owner_gained", unit=self.unit, epoch=epoch)
                self._tell_jobs()
                self._follow_runners(epoch)
                self.owned = None
            self.log.write("owner_lost", unit=self.unit, epoch=epoch)

    def _is_wanted(self, epoch: int) -> bool:
        return self._wanted == epoch and not self.stopping.is_set()

    def _fence_predecessors(self, world: UnitWorld, epoch: int) -> bool:
        """Make the store refuse all records of earlier owners from now on."""
        address = Record(OWNER_KEY, self.peer_address().encode())
        append = Append(PROGRESS, self.unit, [address], PRODUCER, epoch, 0)
        return append_until_known(world, append)

    def _catch_up(self, epoch: int) -> bool:
        """Read all that is stored; what comes later is told to the actor."""
        for tail in (self.progress, self.intake):
            while isinstance(poll_tail(tail), Err):
                if not self._is_wanted(epoch):
                    return False
                self.stopping.wait(RETRY_S)
        return True

    def _tell_jobs(self) -> None:
        """Tell the actor of all jobs that are open.

        Notes
        -----
        Guards against an accepted job that nobody starts: its record may have been
        read after the dispatcher was restored and before there was an actor to tell.
        The dispatcher passes over what it knows.
        """
        for job_id, view in list(self.replica.jobs.items()):
            if view.ended or view.submission is None:
                continue
            self._tell(Submitted(view.submission))
            if view.cancelled:
                self._tell(Cancelled(job_id))

    def _follow_runners(self, epoch: int) -> None:
        directory = Directory(self._tell, self.log)
        tail = Tail(self.store, RUNNERS, 0, directory.take, directory.begin)
        while self._is_wanted(epoch):
            if not isinstance(poll_tail(tail), Err):
                directory.finish()
            self.stopping.wait(RUNNERS_EVERY_S)

    def give_up(self) -> None:
        """End to own the unit at once."""
        self._wanted = 0
        if self._world is not None:
            self._world.stopping.set()

    def _depose(self) -> None:
        self.give_up()
        self.deposed.set()


def run_follower(
    instance: Instance, tail: Tail, choose_wait: Callable[[], tuple[float, float]]
) -> None:
    """Follow a tail until the instance stops.

    Parameters
    ----------
    instance : Instance
        Whose thread this is.
    tail : Tail
        What to follow.
    choose_wait : callable
        Returns the wait of the next read and the pause before it, in seconds.
    """
    while not instance.stopping.is_set():
        wait_s, pause_s = choose_wait()
        if pause_s and instance.stopping.wait(pause_s):
            return
        if isinstance(poll_tail(tail, wait_s), Err):
            instance.stopping.wait(RETRY_S)
