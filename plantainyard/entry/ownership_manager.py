"""Claiming units, serving them as their owner, and releasing them.

Each claimed unit is taken over and served on a thread of its own. It is released when
the layout names a later owner, when the store or a runner refuses its epoch, or when
the store can't be reached for too long.
"""

import threading
import traceback
from concurrent.futures import ThreadPoolExecutor

import pykka
from result import Err

from plantainyard.clock import read_clock
from plantainyard.dispatch import OwnershipRenewed
from plantainyard.dispatch.failures import find_failed_job
from plantainyard.entry.claims import (
    Candidate,
    ClaimReason,
    OwnerObservation,
    decide_claim,
)
from plantainyard.entry.context import UnitContext
from plantainyard.entry.copies import UnitCopy, refresh_copy
from plantainyard.entry.directory import RunnerDirectory
from plantainyard.entry.evacuations import send_evacuations
from plantainyard.entry.group import GroupAssignment
from plantainyard.entry.instance import (
    Claim,
    Instance,
    OwnedUnit,
    ReleasedUnit,
)
from plantainyard.entry.layout import Owner, announce_owner
from plantainyard.entry.peers import fetch_owner_status
from plantainyard.entry.predecessors import query_predecessor
from plantainyard.entry.quarantine import quarantine_failed_jobs, record_failure
from plantainyard.entry.readers import RETRY_S, PartitionReader, poll_reader
from plantainyard.entry.reserves import is_strong
from plantainyard.entry.takeover import (
    choose_fence,
    fence_predecessors,
    follow_intake,
    make_entry_handler,
    restore_unit,
    send_open_jobs,
)
from plantainyard.entry.topics import RUNNERS
from plantainyard.entry.unit import UnitActor, run_unit_actor

__all__ = ["MAX_UNCONFIRMED_S", "OwnershipManager"]

MAX_UNCONFIRMED_S = 12.0
"""Time in seconds for which an owner that can't reach the store keeps its units. The
store may be down for all instances, in which case none could take over; meanwhile the
owner goes on recording ends of runs and stopping cancelled jobs. After this time every
lease that the owner could have granted has expired."""

MAX_CONCURRENT_QUERIES = 4
"""Maximum number of owners queried concurrently; a candidate is assigned a few units at
a time."""

RUNNERS_POLL_S = 0.25
"""Time in seconds between an owner's reads of the runners' entries. Nearly all of them
change every second, so that waiting for each change would cost thirty calls per
second."""


class OwnershipManager:
    """Manages the units that this instance owns or is taking over.

    Parameters
    ----------
    instance : Instance
        The instance whose `claims` and `owned` are kept up to date.

    Attributes
    ----------
    contexts : dict
        The context of each owned unit, by unit.
    generation, generation_changed_at : int, float
        The group's generation, and the time at which it was first observed.
    moved_at : float
        Time at which a unit was last taken from a running owner.
    observations : list of OwnerObservation
        By unit: observations of the owners of units assigned to this instance.
    """

    def __init__(self, instance: Instance) -> None:
        self.instance = instance
        self.contexts: dict[int, UnitContext] = {}
        self.generation = 0
        self.generation_changed_at = 0.0
        self.moved_at = read_clock()
        self.observations = [OwnerObservation() for _ in instance.copies]
        self._unit_locks = [threading.Lock() for _ in instance.copies]
        self._query_pool = ThreadPoolExecutor(MAX_CONCURRENT_QUERIES, "ask")

    def apply_assignment(self, assignment: GroupAssignment) -> None:
        """Claim those of the assigned units that `decide_claim` allows to claim."""
        now = read_clock()
        if assignment.generation != self.generation:
            self.generation, self.generation_changed_at = assignment.generation, now
        assigned = sorted(assignment.units - self.instance.claims.keys())
        for unit in {copy.unit for copy in self.instance.copies}.difference(assigned):
            self.observations[unit] = OwnerObservation()
        replies = self._query_pool.map(
            lambda unit: fetch_owner_status(self.instance, unit), assigned
        )
        for unit, reply in zip(assigned, replies, strict=True):
            candidate = self._describe_candidate(assignment)
            why = decide_claim(self.observations[unit], reply, candidate)
            if why:
                self._claim(unit, why)

    def _describe_candidate(self, assignment: GroupAssignment) -> Candidate:
        now = read_clock()
        return Candidate(
            now,
            units=len(self.instance.claims),
            reserve=not is_strong(self.instance.settings),
            group_unchanged_s=now - self.generation_changed_at,
            store_answered_s=assignment.store_answered_s,
            since_move_s=now - self.moved_at,
        )

    def _claim(self, unit: int, why: str) -> None:
        """Start taking over a unit, or rejoin the group if that needs a later epoch.

        Notes
        -----
        Guards against a unit that no instance can own. If this instance has lost the
        unit in the generation that still assigns it the unit, the store refuses its
        records, so it needs a later generation.
        """
        instance, epoch = self.instance, self.generation
        owner = instance.layout.owners.get(unit)
        if owner is not None and owner.epoch >= epoch:
            instance.rejoin_needed.set()
            return
        if why in (ClaimReason.SHARE, ClaimReason.RESERVE):
            self.moved_at = read_clock()
        instance.claimed_epochs.setdefault(unit, set()).add(epoch)
        instance.claims[unit] = Claim(epoch, read_clock())
        # The takeover may start nothing before the evacuations are read.
        instance.evacuations.due.set()
        instance.log.write("owner_named", unit=unit, epoch=epoch, why=why)
        arguments = (instance.copies[unit], epoch)
        threading.Thread(
            target=self._own_or_release, args=arguments, daemon=True
        ).start()

    def apply_layout(self) -> None:
        """Confirm or release this instance's units according to the layout.

        Notes
        -----
        A successor announces itself before it determines which runs its predecessor may
        have left running. A read of the layout that shows no successor therefore proves
        that there was none when the read began, and that commands sent until then were
        in time.

        An owner that can't reach the store keeps its units for `MAX_UNCONFIRMED_S`,
        because the store may be down for all instances.
        """
        instance = self.instance
        read_at = instance.layout_reader.synced_at
        for unit, claim in list(instance.claims.items()):
            owner = instance.layout.owners.get(unit)
            if owner is not None and owner.epoch > claim.epoch:
                instance.log.write("owner_succeeded", unit=unit, epoch=owner.epoch)
                self.release(unit)
            elif owner is not None and owner.epoch == claim.epoch:
                claim.confirmed_at = max(claim.confirmed_at, read_at)
                instance.send_event(unit, OwnershipRenewed(read_at))
            expired = read_clock() - claim.confirmed_at > MAX_UNCONFIRMED_S
            if expired or claim.superseded:
                self.release(unit)

    def release(self, unit: int) -> None:
        """Stop owning a unit at once."""
        self.instance.claims.pop(unit, None)
        context = self.contexts.pop(unit, None)
        if context is not None:
            context.stopping.set()

    def _step_down(self, unit: int, epoch: int) -> None:
        """Release a unit whose epoch was refused.

        Notes
        -----
        Guards against ending a later ownership of this instance: answers to calls of an
        earlier ownership may arrive seconds after its end.
        """
        claim = self.instance.claims.get(unit)
        if claim is not None and claim.epoch == epoch:
            self.release(unit)

    def release_all(self) -> None:
        """Stop owning any unit."""
        for copy in self.instance.copies:
            self.release(copy.unit)
        self._query_pool.shutdown(wait=False, cancel_futures=True)

    def _own_or_release(self, copy: UnitCopy, epoch: int) -> None:
        """Own a unit, and release it on an unexpected exception.

        Notes
        -----
        Guards against a unit that no instance can own: the thread would have ended, and
        its claim would keep this instance from claiming the unit again and other
        instances from finding it vacant.
        """
        context = self._build_context(copy, epoch)
        try:
            self._own(copy, context)
        except Exception as error:
            self._handle_failure(context, error)

    def _handle_failure(self, context: UnitContext, error: BaseException) -> None:
        """Release a unit after an unexpected exception; remember the job at fault."""
        job_id = find_failed_job(error)
        why = traceback.format_exception(error)[-3:]
        job = {"job": job_id} if job_id else {}
        self.instance.log.write("unit_failed", unit=context.unit, why=why, **job)
        try:
            if job_id:
                record_failure(context, job_id)
        finally:
            self._step_down(context.unit, context.epoch)

    def _build_context(self, copy: UnitCopy, epoch: int) -> UnitContext:
        unit, instance = copy.unit, self.instance
        context = UnitContext(
            unit,
            epoch,
            instance.store,
            instance.runners,
            copy.replica,
            instance.log,
            lambda: self._step_down(unit, epoch),
            instance.meters,
            on_released=lambda ends: self._record_release(unit, epoch, ends),
            on_failure=lambda error: self._handle_failure(context, error),
            record_bytes=instance.settings.record_bytes,
            call_bytes=instance.settings.call_bytes,
        )
        return context

    def _own(self, copy: UnitCopy, context: UnitContext) -> None:
        """Take over a unit and serve it until the claim ends."""
        unit, epoch, instance = copy.unit, context.epoch, self.instance
        with self._unit_locks[unit]:
            self.contexts[unit] = context
            if not self._is_claimed(unit, epoch):
                return
            began_at = read_clock()
            region = instance.settings.region
            owner = Owner(epoch, instance.peer_address(), region)
            if not announce_owner(instance.store, unit, owner, context.stopping):
                return
            instance.layout.record_owner(unit, owner)
            # Read before the fence, so that the reading shows who fenced whom.
            if not self._catch_up(copy, epoch):
                return
            fenced_at = read_clock()
            if not fence_predecessors(context, owner):
                return
            if not self._catch_up(copy, epoch):
                return
            fence = choose_fence(context)
            if fence is None or not quarantine_failed_jobs(context):
                return
            context.dispatcher = restore_unit(instance, copy, owner, fenced_at, fence)
            with run_unit_actor(context, context.dispatcher) as actor:
                self._serve(copy, owner, OwnedUnit(context, actor), began_at)

    def _serve(
        self, copy: UnitCopy, owner: Owner, owned: OwnedUnit, began_at: float
    ) -> None:
        unit, epoch, instance = copy.unit, owner.epoch, self.instance
        instance.owned[unit] = owned
        send_evacuations(instance, unit)
        took_s = round(read_clock() - began_at, 3)
        instance.log.write("owner_gained", unit=unit, epoch=epoch, took_s=took_s)
        self._query_predecessor(copy, owner, owned.context.stopping)
        try:
            with follow_intake(instance, copy, owned.context.stopping):
                send_open_jobs(instance, copy)
                self._follow_runners(unit, epoch, owned.actor)
        finally:
            instance.owned.pop(unit, None)
            instance.log.write("owner_lost", unit=unit, epoch=epoch)

    def _query_predecessor(
        self, copy: UnitCopy, owner: Owner, stopping: threading.Event
    ) -> None:
        """Start querying the predecessor for the leases that remain, if it is known."""
        predecessor = copy.find_predecessor(owner)
        if predecessor is not None:
            arguments = (self.instance, copy.unit, owner, predecessor, stopping)
            threading.Thread(
                target=query_predecessor, args=arguments, daemon=True
            ).start()

    def _record_release(
        self, unit: int, epoch: int, lease_ends: dict[str, float]
    ) -> None:
        self.instance.released[unit] = ReleasedUnit(epoch, lease_ends)

    def _is_claimed(self, unit: int, epoch: int) -> bool:
        claim = self.instance.claims.get(unit)
        stopping = self.instance.stopping.is_set()
        return claim is not None and claim.epoch == epoch and not stopping

    def _catch_up(self, copy: UnitCopy, epoch: int) -> bool:
        """Read all stored records; return False if the claim ends before that."""
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
            instance.store, RUNNERS, 0, directory.apply_record, directory.begin_reload
        )
        while self._is_claimed(unit, epoch):
            if not isinstance(poll_reader(reader), Err):
                directory.finish_reload()
            instance.stopping.wait(RUNNERS_POLL_S)
