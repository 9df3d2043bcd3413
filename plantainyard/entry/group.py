"""Membership in the platform's group, which decides the units an instance may claim."""

import secrets
import threading
from collections.abc import Callable
from typing import NamedTuple

from result import Err, Result

from plantainyard.clock import read_clock
from plantainyard.entry.instance import Instance
from plantainyard.entry.reserves import (
    RESERVE_SUFFIX,
    ReserveState,
    decide_membership,
    is_strong,
)
from plantainyard.entry.topics import GROUP, PROGRESS
from plantainyard.errors import CallError
from plantainyard.platform.store_messages import PartitionOwner

__all__ = ["GroupAssignment", "GroupMember", "follow_group", "make_member_name"]

RENEW_INTERVAL_S = 0.3
"""Time in seconds between renewals, and between a candidate's queries to the owners
of its assigned units. Three renewals may be lost before the group reassigns units."""

TTL_S = 1.2
"""Time in seconds without a renewal after which the group names other candidates."""

JOIN_TIMEOUT_S = 0.8
"""Timeout in seconds of a renewal, a leave and a query of the group."""


class GroupAssignment(NamedTuple):
    """The group's answer to a renewal.

    Attributes
    ----------
    generation : int
        The group's generation.
    units : frozenset of int
        Units that the group has assigned to this instance.
    store_answered_s : float
        Time for which the store has answered without interruption.
    """

    generation: int
    units: frozenset[int]
    store_answered_s: float = 0.0


def make_member_name(instance: str, strong: bool = True) -> str:
    """Return a name in the group that is unique to this incarnation of an instance.

    Notes
    -----
    Guards against an owner that comes back under the same fencing token. A process that
    is killed and restarted within the time to live would join under the same name, the
    group would see no change, and the store would refuse every append of the new
    incarnation, since the sequence numbers of that token are taken.
    """
    suffix = "" if strong else RESERVE_SUFFIX
    return f"{instance}/{secrets.token_hex(4)}{suffix}"


class GroupMember:
    """The membership of an instance in the group.

    Parameters
    ----------
    name : str
        Name of the member.
    instance : Instance
        The instance.
    take : callable
        Called with each answer of the group.

    Attributes
    ----------
    generation : int
        The generation that the group reported last; zero for a member that has to join
        again.
    answered_since : float
        Time since which each call has been answered.
    unreachable : bool
        The last call wasn't answered.
    joined : bool
        The group may know this member.
    """

    def __init__(
        self,
        name: str,
        instance: Instance,
        take: Callable[[GroupAssignment], None],
    ) -> None:
        self.name = name
        self.instance = instance
        self.take = take
        self.generation = 0
        self.answered_since = read_clock()
        self.unreachable = False
        self.joined = False

    def renew(self) -> None:
        """Join the group or renew the membership, and pass the answer on."""
        self.joined = True
        sent_at = read_clock()
        answer = self.instance.store.join(
            GROUP, self.name, [PROGRESS], TTL_S, self.generation, JOIN_TIMEOUT_S
        )
        if isinstance(answer, Err):
            self._record_failure(answer.err_value.detail)
            return
        if self.unreachable:
            self.instance.log.write("dependency_regained", of="store")
            self.answered_since = sent_at
        self.unreachable = False
        self.generation = answer.ok_value.generation
        assigned = frozenset(
            row.partition
            for row in answer.ok_value.assignments
            if row.topic == PROGRESS and row.partition < self.instance.layout.units
        )
        store_answered_s = read_clock() - self.answered_since
        self.take(GroupAssignment(self.generation, assigned, store_answered_s))

    def _record_failure(self, why: str) -> None:
        if not self.unreachable:
            self.instance.log.write("dependency_lost", of="store", detail=why)
        self.unreachable = True

    def leave(self) -> None:
        """Leave the group; a later `renew` joins again in a later generation."""
        self.instance.store.leave(GROUP, self.name, JOIN_TIMEOUT_S)
        self.generation = 0
        self.joined = False


def follow_group(
    instance: Instance,
    take: Callable[[GroupAssignment], None],
    owner_answers: Callable[[int], bool],
    stopping: threading.Event,
) -> None:
    """Renew the membership and pass each answer to `take` until `stopping` is set.

    Parameters
    ----------
    instance : Instance
        The instance that joins.
    take : callable
        Called with each answer of the group.
    owner_answers : callable
        Returns whether the owner of a unit answers.
    stopping : Event
        Ends the membership.

    Notes
    -----
    An instance that needs a later epoch leaves the group and rejoins it, because
    only a later generation gives a higher fencing token. A reserve is in the group only
    while strong instances are too few; see `reserves`. An instance that leaves keeps
    the units that it owns until others have claimed them.
    """
    strong = is_strong(instance.settings)
    member = GroupMember(
        make_member_name(instance.settings.instance, strong), instance, take
    )
    reserve = ReserveState(read_clock())

    def read_partition_owners() -> Result[list[PartitionOwner], CallError]:
        return instance.store.read_partition_owners(GROUP, JOIN_TIMEOUT_S)

    def is_needed() -> bool:
        units = instance.layout.units
        return strong or decide_membership(
            reserve, read_partition_owners, owner_answers, units, read_clock()
        )

    while not stopping.is_set():
        if instance.rejoin_needed.is_set():
            member.leave()
            instance.rejoin_needed.clear()
        if is_needed():
            if not strong and not member.joined:
                instance.log.write("reserve_joined", shortages=reserve.shortages)
            instance.leaving.clear()
            member.renew()
        elif member.joined:
            instance.log.write("reserve_left", generation=member.generation)
            instance.leaving.set()
            member.leave()
        stopping.wait(RENEW_INTERVAL_S)
    instance.leaving.set()
    member.leave()
