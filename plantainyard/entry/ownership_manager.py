"""Claiming units, keeping them, and giving them up."""

import threading
import traceback
from concurrent.futures import ThreadPoolExecutor

import pykka
from result import Err

from plantainyard.clock import read_clock
from plantainyard.dispatch import OwnershipRenewed
from plantainyard.entry.claims import (
    Candidate,
    ClaimReason,
    OwnerObservation,
    decide_claim,
)
from plantainyard.entry.copies import UnitCopy, refresh_copy
from plantainyard.entry.directory import RunnerDirectory
from plantainyard.entry.group import GroupAssignment
from plantainyard.entry.instance import RETRY_S, Claim, Instance, OwnedUnit
from plantainyard.entry.layout import Owner, announce_owner
from plantainyard.entry.peers import fetch_owner_status
from plantainyard.entry.readers import PartitionReader, poll_reader
from plantainyard.entry.reserves import is_strong
from plantainyard.entry.takeover import (
    fence_predecessors,
    follow_intake,
    make_entry_handler,
    restore_unit,
    send_open_jobs,
)
from plantainyard.entry.topics import RUNNERS
from plantainyard.entry.unit import UnitActor, UnitContext, run_unit_actor

__all__ = ["MAX_UNCONFIRMED_S", "OwnershipManager"]

MAX_UNCONFIRMED_S = 12.0
"""How long an owner that can't reach the store goes on noting ends and stopping what
is cancelled: the store may be down for everyone, and then nobody could take over. By
then every lease that it could grant has lapsed."""

MOST_ASKED = 4
"""Owners asked at once; a candidate is dealt a few units at a time."""

RUNNERS_EVERY_S = 0.25
"""Time between the owner's reads of runners' entries, which nearly all change every
second: waiting for each would cost thirty calls a second."""


class OwnershipManager:
    """The ownership of all units, as far as this instance has it.

    Parameters
    ----------
    instance : Instance
        Whose `claims` and `owned` are kept up to date.

    Attributes
    ----------
    worlds : dict
        What the owners of units work with, by unit.
    generation, changed_at : int, float
        The group's, and when that was first seen.
    moved_at : float
        When a unit was last taken from an owner at work.
    seen : list of Seen
        What was seen of the owners of units that the group has dealt to this instance.
    """

    def __init__(self, instance: Instance) -> None:
        self.instance = instance
        self.contexts: dict[int, UnitContext] = {}
        self.generation = 0
        self.changed_at = 0.0
        self.moved_at = read_clock()
        self.seen = [OwnerObservation() for _ in instance.copies]
        self._owning = [threading.Lock() for _ in instance.copies]
        self._asking = ThreadPoolExecutor(MOST_ASKED, "ask")

    def take(self, ownership: GroupAssignment) -> None:
        """Claim those units that the group has dealt and nobody else owns."""
        now = read_clock()
        if ownership.generation != self.generation:
            self.generation, self.changed_at = ownership.generation, now
        dealt = sorted(ownership.units - self.instance.claims.keys())
        for unit in {copy.unit for copy in self.instance.copies}.difference(dealt):
            self.seen[unit] = OwnerObservation()
        replies = self._asking.map(
            lambda unit: fetch_owner_status(self.instance, unit), dealt
        )
        for unit, reply in zip(dealt, replies, strict=True):
            candidate = self._describe_candidate(ownership)
            why = decide_claim(self.seen[unit], reply, candidate)
            if why:
                self._claim(unit, why)

    def _describe_candidate(self, ownership: GroupAssignment) -> Candidate:
        now = read_clock()
        return Candidate(
            now,
            units=len(self.instance.claims),
            reserve=not is_strong(self.instance.settings),
            group_unchanged_s=now - self.changed_at,
            store_answered_s=ownership.store_answered_s,
            since_move_s=now - self.moved_at,
        )

    def _claim(self, unit: int, why: str) -> None:
        """Begin to take a unit over; its epoch must be later than the last one.

        Notes
        -----
        Guards against a unit that nobody can own: this instance has lost it under the
        generation that still deals it the unit, whose records the store refuses now.
        """
        instance, epoch = self.instance, self.generation
        held = instance.layout.owners.get(unit)
        if held is not None and held.epoch >= epoch:
            instance.rejoin_needed.set()
            return
        if why in (ClaimReason.SHARE, ClaimReason.RESERVE):
            self.moved_at = read_clock()
        instance.claims[unit] = Claim(epoch, read_clock())
        instance.log.write("owner_named", unit=unit, epoch=epoch, why=why)
        arguments = (instance.copies[unit], epoch)
        threading.Thread(target=self._own_or_fail, args=arguments, daemon=True).start()

    def confirm(self) -> None:
        """Take in what the layout says of this instance's units.

        Notes
        -----
        A successor announces itself before it counts what its predecessor may have
        left at work. So a reading of the layout that shows none proves that there was
        none when it began, and what is commanded until then is in time.

        An owner that can't reach the store keeps its units for a while: the store may
        be down for everyone, and then nobody could take over.
        """
        instance = self.instance
        read_at = instance.layout_reader.synced_at
        for unit, claim in list(instance.claims.items()):
            held = instance.layout.owners.get(unit)
            if held is not None and held.epoch > claim.epoch:
                instance.log.write("owner_succeeded", unit=unit, epoch=held.epoch)
                self.give_up(unit)
            elif held is not None and held.epoch == claim.epoch:
                claim.confirmed_at = max(claim.confirmed_at, read_at)
                instance.send_event(unit, OwnershipRenewed(read_at))
            if read_clock() - claim.confirmed_at > MAX_UNCONFIRMED_S:
                self.give_up(unit)

    def give_up(self, unit: int) -> None:
        """End to own a unit at once."""
        self.instance.claims.pop(unit, None)
        context = self.contexts.pop(unit, None)
        if context is not None:
            context.stopping.set()

    def _step_down(self, unit: int, epoch: int) -> None:
        """End an ownership that was refused.

        Notes
        -----
        Guards against the end of a later ownership of this instance: answers to calls
        of the one before may come seconds after it.
        """
        claim = self.instance.claims.get(unit)
        if claim is not None and claim.epoch == epoch:
            self.give_up(unit)

    def give_up_all(self) -> None:
        """End to own anything."""
        for copy in self.instance.copies:
            self.give_up(copy.unit)
        self._asking.shutdown(wait=False, cancel_futures=True)

    def _own_or_fail(self, copy: UnitCopy, epoch: int) -> None:
        """Own a unit, and give it up after a fault of the program.

        Notes
        -----
        Guards against a unit that nobody can own: the thread has ended, and its claim
        keeps this instance from claiming the unit anew and others from finding it gone.
        """
        try:
            self._own(copy, epoch)
        except Exception as error:
            why = traceback.format_exception(error)[-3:]
            self.instance.log.write("unit_failed", unit=copy.unit, why=why)
            self._step_down(copy.unit, epoch)

    def _own(self, copy: UnitCopy, epoch: int) -> None:
        """Own a unit until a successor says otherwise."""
        unit, instance = copy.unit, self.instance
        with self._owning[unit]:
            context = UnitContext(
                unit,
                epoch,
                instance.store,
                instance.runners,
                copy.replica,
                instance.log,
                lambda: self._step_down(unit, epoch),
                instance.meters,
            )
            self.contexts[unit] = context
            if not self._is_claimed(unit, epoch):
                return
            began_at = read_clock()
            owner = Owner(epoch, instance.peer_address())
            if not announce_owner(instance.store, unit, owner, context.stopping):
                return
            instance.layout.record_owner(unit, owner)
            fenced_at = read_clock()
            if not fence_predecessors(context, instance.peer_address()):
                return
            if not self._catch_up(copy, epoch):
                return
            context.dispatcher = restore_unit(instance, copy, fenced_at)
            with run_unit_actor(context, context.dispatcher) as actor:
                self._serve(copy, epoch, OwnedUnit(context, actor), began_at)

    def _serve(
        self, copy: UnitCopy, epoch: int, owned: OwnedUnit, began_at: float
    ) -> None:
        unit, instance = copy.unit, self.instance
        instance.owned[unit] = owned
        took_s = round(read_clock() - began_at, 3)
        instance.log.write("owner_gained", unit=unit, epoch=epoch, took_s=took_s)
        try:
            with follow_intake(instance, copy, owned.context.stopping):
                send_open_jobs(instance, copy)
                self._follow_runners(unit, epoch, owned.actor)
        finally:
            instance.owned.pop(unit, None)
            instance.log.write("owner_lost", unit=unit, epoch=epoch)

    def _is_claimed(self, unit: int, epoch: int) -> bool:
        claim = self.instance.claims.get(unit)
        stopping = self.instance.stopping.is_set()
        return claim is not None and claim.epoch == epoch and not stopping

    def _catch_up(self, copy: UnitCopy, epoch: int) -> bool:
        """Read all that is stored; what comes later is told to the actor."""
        while not refresh_copy(copy):
            if not self._is_claimed(copy.unit, epoch):
                return False
            self.instance.stopping.wait(RETRY_S)
        return True

    def _follow_runners(
        self, unit: int, epoch: int, actor: pykka.ActorRef[UnitActor]
    ) -> None:
        instance = self.instance
        directory = RunnerDirectory(
            make_entry_handler(instance, unit, actor), instance.log
        )
        reader = PartitionReader(
            instance.store, RUNNERS, 0, directory.take, directory.begin
        )
        while self._is_claimed(unit, epoch):
            if not isinstance(poll_reader(reader), Err):
                directory.finish()
            instance.stopping.wait(RUNNERS_EVERY_S)
