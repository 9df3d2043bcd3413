"""Taking and giving up the ownership of one unit."""

import contextlib
import threading
from collections.abc import Callable, Iterator

import pykka
from result import Err

from plantainyard.batch.replica import OWNER_KEY
from plantainyard.clock import read_clock
from plantainyard.dispatch import (
    Cancelled,
    Dispatcher,
    EntryChanged,
    Event,
    Limits,
    Renewed,
    Submitted,
    choose_lease,
    restore_dispatcher,
)
from plantainyard.entry.copies import UnitCopy, refresh_copy
from plantainyard.entry.directory import Directory
from plantainyard.entry.instance import (
    LONG_POLL_S,
    RETRY_S,
    Instance,
    Owned,
    run_follower,
)
from plantainyard.entry.layout import Owner, announce_owner, find_unit
from plantainyard.entry.ownership import Ownership
from plantainyard.entry.tails import Tail, poll_tail
from plantainyard.entry.topics import PRODUCER, PROGRESS, RUNNERS
from plantainyard.entry.unit import (
    UnitActor,
    UnitWorld,
    append_until_known,
    keep_unit_actor,
)
from plantainyard.entry.wall import read_wall_ms
from plantainyard.platform.store import Append, Record

__all__ = ["Owners", "tell_jobs"]

RUNNERS_EVERY_S = 0.25
"""Time between the owner's reads of runners' entries, which nearly all change every
second: waiting for each would cost thirty calls a second."""


class Owners:
    """The ownership of all units, as far as this instance has it.

    Parameters
    ----------
    instance : Instance
        Whose `owned` is kept up to date.

    Attributes
    ----------
    wanted : dict
        Epochs under which this instance is to own units, by unit.
    worlds : dict
        What the owners of units work with, by unit.
    """

    def __init__(self, instance: Instance) -> None:
        self.instance = instance
        self.wanted: dict[int, int] = {}
        self.worlds: dict[int, UnitWorld] = {}
        self._owning = [threading.Lock() for _ in instance.copies]

    def take(self, ownership: Ownership) -> None:
        """Begin or end to own units, as the group says."""
        for copy in self.instance.copies:
            unit = copy.unit
            if unit not in ownership.units:
                self.give_up(unit)
                continue
            if ownership.asked_at:
                self.instance.tell(unit, Renewed(ownership.asked_at))
            if unit not in self.wanted and not self.instance.deposed.is_set():
                self.wanted[unit] = ownership.generation
                self.instance.log.write(
                    "owner_named", unit=unit, epoch=ownership.generation
                )
                arguments = (copy, ownership.generation)
                threading.Thread(target=self._own, args=arguments, daemon=True).start()

    def give_up(self, unit: int) -> None:
        """End to own a unit at once."""
        self.wanted.pop(unit, None)
        world = self.worlds.pop(unit, None)
        if world is not None:
            world.stopping.set()

    def give_up_all(self) -> None:
        """End to own anything."""
        for copy in self.instance.copies:
            self.give_up(copy.unit)

    def _depose(self) -> None:
        # The group deals anew only once this member has left it, with all its units.
        self.give_up_all()
        self.instance.deposed.set()

    def _own(self, copy: UnitCopy, epoch: int) -> None:
        """Own a unit until the group or a successor says otherwise."""
        unit, instance = copy.unit, self.instance
        with self._owning[unit]:
            if not self._is_wanted(unit, epoch):
                return
            world = UnitWorld(
                unit,
                epoch,
                instance.store,
                instance.runners,
                copy.replica,
                instance.log,
                self._depose,
                instance.meters,
            )
            self.worlds[unit] = world
            if not self._is_wanted(unit, epoch):
                return
            fenced_at = read_clock()
            if not _fence_predecessors(world, instance.peer_address()):
                return
            if not self._catch_up(copy, epoch):
                return
            world.dispatcher = _restore(instance, copy, fenced_at)
            with keep_unit_actor(world, world.dispatcher) as actor:
                self._serve(copy, epoch, Owned(world, actor), fenced_at)

    def _serve(
        self, copy: UnitCopy, epoch: int, owned: Owned, fenced_at: float
    ) -> None:
        unit, instance = copy.unit, self.instance
        instance.owned[unit] = owned
        took_s = round(read_clock() - fenced_at, 3)
        instance.log.write("owner_gained", unit=unit, epoch=epoch, took_s=took_s)
        try:
            with _follow_intake(instance, copy, owned.world.stopping):
                tell_jobs(instance, copy)
                _announce(instance, unit, epoch, owned.world.stopping)
                self._follow_runners(unit, epoch, owned.actor)
        finally:
            instance.owned.pop(unit, None)
            instance.log.write("owner_lost", unit=unit, epoch=epoch)

    def _is_wanted(self, unit: int, epoch: int) -> bool:
        stopping = self.instance.stopping.is_set()
        return self.wanted.get(unit) == epoch and not stopping

    def _catch_up(self, copy: UnitCopy, epoch: int) -> bool:
        """Read all that is stored; what comes later is told to the actor."""
        while not refresh_copy(copy):
            if not self._is_wanted(copy.unit, epoch):
                return False
            self.instance.stopping.wait(RETRY_S)
        return True

    def _follow_runners(
        self, unit: int, epoch: int, actor: pykka.ActorRef[UnitActor]
    ) -> None:
        instance = self.instance
        directory = Directory(_choose_runners(instance, unit, actor), instance.log)
        tail = Tail(instance.store, RUNNERS, 0, directory.take, directory.begin)
        while self._is_wanted(unit, epoch):
            if not isinstance(poll_tail(tail), Err):
                directory.finish()
            instance.stopping.wait(RUNNERS_EVERY_S)


def _choose_runners(
    instance: Instance, unit: int, actor: pykka.ActorRef[UnitActor]
) -> Callable[[Event], None]:
    """Return a function that tells a unit's actor of the entries of its runners."""
    units = len(instance.copies)

    def tell(event: Event) -> None:
        if isinstance(event, EntryChanged) and event.entry is not None:
            name = event.entry.machine or event.runner
            if find_unit(name, units) != unit:
                return
        with contextlib.suppress(pykka.ActorDeadError):
            actor.tell(event)

    return tell


def _fence_predecessors(world: UnitWorld, address: str) -> bool:
    """Make the store refuse all records of earlier owners from now on."""
    record = Record(OWNER_KEY, address.encode())
    append = Append(PROGRESS, world.unit, [record], PRODUCER, world.epoch, 0)
    return append_until_known(world, append)


def _restore(instance: Instance, copy: UnitCopy, fenced_at: float) -> Dispatcher:
    settings = instance.settings
    limits = Limits(
        lease_s=choose_lease(settings.longest_lease_s, settings.cancelled_s),
        longest_lease_s=settings.longest_lease_s,
        harm_s=settings.harm_s,
        remote_factor=settings.remote_factor,
    )
    now = read_clock()
    return restore_dispatcher(copy.replica, limits, now, read_wall_ms(), fenced_at)


@contextlib.contextmanager
def _follow_intake(
    instance: Instance, copy: UnitCopy, stopping: threading.Event
) -> Iterator[None]:
    """Follow what callers store for the length of the context."""
    follower = threading.Thread(
        target=run_follower,
        args=(copy.intake, lambda: (LONG_POLL_S, 0.0), stopping),
        daemon=True,
    )
    follower.start()
    try:
        yield
    finally:
        stopping.set()


def tell_jobs(instance: Instance, copy: UnitCopy) -> None:
    """Tell the actor of all jobs that are open.

    Notes
    -----
    Guards against an accepted job that nobody starts, and a cancelled one that goes on
    in another unit: a record may have been read after the dispatcher was restored and
    before there was an actor to tell. The dispatcher passes over what it knows.
    """
    for job_id, view in list(copy.replica.jobs.items()):
        if view.ended or view.submission is None:
            continue
        if view.moved is None:
            instance.tell(copy.unit, Submitted(view.submission))
        if view.cancelled:
            instance.tell(copy.unit, Cancelled(job_id))


def _announce(
    instance: Instance, unit: int, epoch: int, stopping: threading.Event
) -> None:
    owner = Owner(epoch, instance.peer_address())
    arguments = (instance.store, unit, owner, stopping)
    threading.Thread(target=announce_owner, args=arguments, daemon=True).start()
