"""Which units this instance may claim, by the platform's group."""

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
from plantainyard.platform.store import PartitionOwner

__all__ = ["GroupAssignment", "GroupMember", "follow_group", "make_member_name"]

JOIN_EVERY_S = 0.3
"""Time between renewals, and between a candidate's questions to the owners of what it
was dealt: three of them may be lost before the group deals anew."""

TTL_S = 1.2
"""Time of silence after which the group names other candidates."""

JOIN_TIMEOUT_S = 0.8
"""Longest wait for an answer to a renewal."""


class GroupAssignment(NamedTuple):
    """What the group has said.

    Attributes
    ----------
    generation : int
        The group's generation.
    units : frozenset of int
        Units that it has dealt to this instance.
    steady_s : float
        For how long it has answered without a break.
    """

    generation: int
    units: frozenset[int]
    steady_s: float = 0.0


def make_member_name(instance: str, strong: bool = True) -> str:
    """Return a name in the group for this life of an instance.

    Notes
    -----
    Guards against an owner that comes back under the fencing token that it had: a
    process that is killed and back within the time to live would join under the same
    name, the group would see no change, and the store would refuse every append of
    the new life, since the sequence numbers of that token are taken.
    """
    mark = "" if strong else RESERVE_SUFFIX
    return f"{instance}/{secrets.token_hex(4)}{mark}"


class GroupMember:
    """The place of an instance in the group.

    Parameters
    ----------
    name : str
        Its name there.
    instance : Instance
        Whose place it is.
    take : callable
        Told what the group has dealt to it.

    Attributes
    ----------
    generation : int
        The last one that the group told; zero for a member that is to join anew.
    steady_since : float
        Since when each call was answered.
    lost : bool
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
        self.steady_since = read_clock()
        self.lost = False
        self.joined = False

    def renew(self) -> None:
        """Join the group or stay in it, and pass on what it says."""
        self.joined = True
        asked_at = read_clock()
        answer = self.instance.store.join(
            GROUP, self.name, [PROGRESS], TTL_S, self.generation, JOIN_TIMEOUT_S
        )
        if isinstance(answer, Err):
            self._note_silence(answer.err_value.detail)
            return
        if self.lost:
            self.instance.log.write("dependency_regained", of="store")
            self.steady_since = asked_at
        self.lost = False
        self.generation = answer.ok_value.generation
        dealt = frozenset(
            row.partition
            for row in answer.ok_value.assignments
            if row.topic == PROGRESS and row.partition < self.instance.layout.units
        )
        steady_s = read_clock() - self.steady_since
        self.take(GroupAssignment(self.generation, dealt, steady_s))

    def _note_silence(self, why: str) -> None:
        if not self.lost:
            self.instance.log.write("dependency_lost", of="store", detail=why)
        self.lost = True

    def leave(self) -> None:
        """Leave the group; a later `renew` joins it anew, under a later generation."""
        self.instance.store.leave(GROUP, self.name, JOIN_TIMEOUT_S)
        self.generation = 0
        self.joined = False


def follow_group(
    instance: Instance,
    take: Callable[[GroupAssignment], None],
    answers: Callable[[int], bool],
    stopping: threading.Event,
) -> None:
    """Stay in the group and call `take` with each answer, until `stopping` is set.

    Notes
    -----
    An instance that needs a later epoch leaves the group and joins it anew: only a
    later generation is a higher fencing token. A reserve is in the group only while
    strong instances are too few; see `candidacy`. Whoever leaves goes on with the units
    that it owns until others have claimed them.
    """
    strong = is_strong(instance.settings)
    member = GroupMember(
        make_member_name(instance.settings.instance, strong), instance, take
    )
    reserve = ReserveState(read_clock())

    def look() -> Result[list[PartitionOwner], CallError]:
        return instance.store.read_partition_owners(GROUP, JOIN_TIMEOUT_S)

    def is_needed() -> bool:
        units = instance.layout.units
        return strong or decide_membership(reserve, look, answers, units, read_clock())

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
        stopping.wait(JOIN_EVERY_S)
    instance.leaving.set()
    member.leave()
