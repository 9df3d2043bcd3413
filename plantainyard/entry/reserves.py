"""Which instances own units: strong ones, and reserves while those are too few.

On large sites most instances have half a core and a link of a few megabits per second.
An owner of 22 runners takes 0.28 of a core, which is half of such a processor, and
during a rolling restart each instance that owns a unit causes a change of owner. A
reserve, which is an instance that isn't strong, therefore stays out of the group while
strong instances are enough, and checks the group's assignments instead.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from result import Err, Result

from plantainyard.entry.topics import PROGRESS
from plantainyard.errors import CallError
from plantainyard.platform.settings import InstanceSettings
from plantainyard.platform.store_messages import PartitionOwner

__all__ = [
    "ReserveState",
    "decide_membership",
    "is_reserve",
    "is_strong",
    "needs_reserves",
]

MIN_STRONG_CORES = 0.9
"""Processor cores from which an instance is strong. The owner of a whole small site
took at most 0.57 of a core on a day with faults, and instances there have 1.07."""

MIN_STRONG_LINK_MBPS = 50.0
"""Bandwidth in megabits per second from which an instance is strong. A takeover reads
a megabyte, which then takes 0.16 s, less than the timeout of other calls that share
the link."""

MAX_UNITS_PER_STRONG = 2
"""Units per strong instance above which reserves join. An owner of 22 runners takes
0.28 of a core, and units have 40 runners and more."""

CHECK_INTERVAL_S = 0.7
"""Time in seconds between a reserve's checks of the group. The group removes a lost
member after 1.2 s."""

SHORTAGE_CHECKS = 2
"""Consecutive checks that must show a shortage before a reserve joins. At the start all
instances come up at once, and reserves must not join before strong instances do."""

UNANSWERED_CHECKS = 4
"""Consecutive checks at which an owner must not answer before a reserve joins. Each
check queries a different owner if there are several, because an owner that is being
restarted or taken over misses one or two queries."""

MAX_UNINFORMED_S = 5.0
"""Time in seconds without an answer from the store after which a reserve joins. A store
that doesn't report the group's members must not leave units without an owner."""

RESERVE_SUFFIX = "/reserve"
"""Suffix of a reserve's name in the group, by which other members recognize it."""


def is_strong(settings: InstanceSettings) -> bool:
    """Return whether an instance has the resources that an owner needs."""
    return (
        settings.cores >= MIN_STRONG_CORES
        and settings.link_mbps >= MIN_STRONG_LINK_MBPS
    )


def is_reserve(member: str) -> bool:
    """Return whether a group member's name is that of a reserve."""
    return member.endswith(RESERVE_SUFFIX)


def needs_reserves(owners: Iterable[PartitionOwner], units: int) -> bool:
    """Return whether the strong instances of a group are too few for all units.

    Examples
    --------
    >>> owners = [
    ...     PartitionOwner(PROGRESS, 0, "a/1"),
    ...     PartitionOwner(PROGRESS, 1, "b/2"),
    ... ]
    >>> needs_reserves(owners, 4)
    False
    >>> needs_reserves(owners, 5)
    True
    """
    strong = {
        owner.member
        for owner in owners
        if owner.topic == PROGRESS and owner.member and not is_reserve(owner.member)
    }
    return len(strong) * MAX_UNITS_PER_STRONG < units


@dataclass(slots=True)
class ReserveState:
    """What a reserve has observed of the group.

    Attributes
    ----------
    answered_at : float
        Time of the store's last answer; initially the time of creation.
    checked_at : float
        Time of the last check.
    shortages : int
        Number of consecutive checks that showed a shortage.
    unanswered : int
        Number of consecutive checks at which an owner didn't answer.
    queried_unit : int
        The unit whose owner was queried last.
    is_member : bool
        The reserve should be a member of the group.
    """

    answered_at: float
    checked_at: float = 0.0
    shortages: int = 0
    unanswered: int = 0
    queried_unit: int = 0
    is_member: bool = False


def decide_membership(
    reserve: ReserveState,
    read_partition_owners: Callable[[], Result[list[PartitionOwner], CallError]],
    owner_answers: Callable[[int], bool],
    units: int,
    now: float,
) -> bool:
    """Return whether a reserve should be in the group, checking the group if due.

    Parameters
    ----------
    reserve : ReserveState
        Updated in place.
    read_partition_owners : callable
        Asks the store which member owns which partition.
    owner_answers : callable
        Returns whether the owner of a unit answers.
    units : int
        Number of units.
    now : float
        Seconds on a monotonic clock.

    Notes
    -----
    Guards against a group that consists of reserves for good, and against an empty
    one. A reserve leaves as soon as strong instances are enough again, and joins if the
    store doesn't report the group's members.

    Guards against units without an owner. The store reassigns a lost member's units
    only when another member calls, and may report the lost member until then. If all
    members are lost, only their failure to answer shows it.

    Guards against all reserves joining at the end of a long store outage and leaving
    again. A reserve that has had no answer for long checks before each call to the
    group.
    """
    uninformed = now - reserve.answered_at > MAX_UNINFORMED_S
    if (
        not uninformed
        and reserve.checked_at
        and now - reserve.checked_at < CHECK_INTERVAL_S
    ):
        return reserve.is_member
    reserve.checked_at = now
    found = read_partition_owners()
    if isinstance(found, Err):
        return reserve.is_member or uninformed
    reserve.answered_at = now
    needed = needs_reserves(found.ok_value, units) or _are_owners_unresponsive(
        reserve, owner_answers, units
    )
    reserve.shortages = reserve.shortages + 1 if needed else 0
    reserve.is_member = needed and (
        reserve.is_member or reserve.shortages >= SHORTAGE_CHECKS
    )
    return reserve.is_member


def _are_owners_unresponsive(
    reserve: ReserveState, owner_answers: Callable[[int], bool], units: int
) -> bool:
    """Query the next unit's owner; return whether several in a row didn't answer."""
    reserve.queried_unit = (reserve.queried_unit + 1) % units
    reserve.unanswered = (
        0 if owner_answers(reserve.queried_unit) else reserve.unanswered + 1
    )
    return reserve.unanswered >= UNANSWERED_CHECKS
