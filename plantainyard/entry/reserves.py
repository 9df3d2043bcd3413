"""Which instances own units: strong ones, and reserves while those are too few.

The load that it answers: on large sites most instances have half a core and a link of
a few megabits a second. An owner of 22 runners takes 0.28 of a core, half of such a
processor; and where instances are restarted one after the other, each that owns a unit
is a change of owner. A reserve therefore stays out of the group for
as long as strong instances hold it, and looks at who has what instead.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from result import Err, Result

from plantainyard.entry.topics import PROGRESS
from plantainyard.errors import CallError
from plantainyard.platform.settings import InstanceSettings
from plantainyard.platform.store import PartitionOwner

__all__ = [
    "ReserveState",
    "decide_membership",
    "is_reserve",
    "is_strong",
    "needs_reserves",
]

STRONG_CORES = 0.9
"""Processors from which an instance is strong: the owner of a whole small site took
0.57 of a core at the most on a day with trouble, and instances there have 1.07."""

STRONG_LINK_MBPS = 50.0
"""Bandwidth from which an instance is strong: a takeover reads a megabyte, which takes
0.16 s then, less than the timeout of other calls that share the link."""

UNITS_PER_STRONG = 2
"""Units that a strong instance may come to own before reserves help: an owner of 22
runners takes 0.28 of a core, and units have 40 runners and more."""

LOOK_EVERY_S = 0.7
"""Time between a reserve's looks; a group's member that is gone is missed for 1.2 s."""

LOOKS = 2
"""Looks in a row that must show a need: at the start all instances come at once, and
reserves must not be there first."""

SILENT_LOOKS = 4
"""Looks in a row at which an owner doesn't answer, each a different one where there are
several: one that is being restarted or taken over is silent for one or two."""

BLIND_S = 5.0
"""Time without any answer after which a reserve joins: a store that doesn't tell who is
there must not leave units without an owner."""

RESERVE_SUFFIX = "/reserve"
"""End of a reserve's name in the group, by which others tell it."""


def is_strong(settings: InstanceSettings) -> bool:
    """Return whether an instance has what an owner needs."""
    return settings.cores >= STRONG_CORES and settings.link_mbps >= STRONG_LINK_MBPS


def is_reserve(member: str) -> bool:
    """Return whether a group's member is a reserve, by its name."""
    return member.endswith(RESERVE_SUFFIX)


def needs_reserves(holdings: Iterable[PartitionOwner], units: int) -> bool:
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
        holding.member
        for holding in holdings
        if holding.topic == PROGRESS
        and holding.member
        and not is_reserve(holding.member)
    }
    return len(strong) * UNITS_PER_STRONG < units


@dataclass(slots=True)
class ReserveState:
    """What a reserve has seen of the group.

    Attributes
    ----------
    answered_at : float
        When it last had an answer; at first, when it began to look.
    looked_at : float
        When it looked last.
    shortages : int
        Looks in a row that showed a need.
    silences : int
        Looks in a row at which an owner didn't answer.
    turn : int
        The unit whose owner is asked next.
    serves : bool
        It is to be in the group.
    """

    answered_at: float
    looked_at: float = 0.0
    shortages: int = 0
    silences: int = 0
    turn: int = 0
    serves: bool = False


def decide_membership(
    reserve: ReserveState,
    look: Callable[[], Result[list[PartitionOwner], CallError]],
    answers: Callable[[int], bool],
    units: int,
    now: float,
) -> bool:
    """Look at the group when it is time; return whether the reserve is to be in it.

    Parameters
    ----------
    reserve : Reserve
        Changed in place.
    look : callable
        Asks the store who has which partition.
    answers : callable
        Returns whether the owner of a unit answers.
    units : int
        Number of units.
    now : float
        Seconds on a clock that is never set back.

    Notes
    -----
    Guards against a group that is left to reserves for good, and against one that is
    left empty: a reserve goes as soon as strong instances are enough again, and comes
    where the store doesn't say who is there.

    Guards against units that nobody owns: the store deals a lost member's units anew
    when another one calls, and until then it may go on naming it. Where all members
    are lost, only their silence shows it.

    Guards against all reserves joining at the end of a long outage of the store, and
    leaving again: one that has been blind for long looks before each call to the group.
    """
    blind = now - reserve.answered_at > BLIND_S
    if not blind and reserve.looked_at and now - reserve.looked_at < LOOK_EVERY_S:
        return reserve.serves
    reserve.looked_at = now
    found = look()
    if isinstance(found, Err):
        return reserve.serves or blind
    reserve.answered_at = now
    needed = needs_reserves(found.ok_value, units) or _are_silent(
        reserve, answers, units
    )
    reserve.shortages = reserve.shortages + 1 if needed else 0
    reserve.serves = needed and (reserve.serves or reserve.shortages >= LOOKS)
    return reserve.serves


def _are_silent(
    reserve: ReserveState, answers: Callable[[int], bool], units: int
) -> bool:
    """Ask one unit's owner; return whether several in a row didn't answer."""
    reserve.turn = (reserve.turn + 1) % units
    reserve.silences = 0 if answers(reserve.turn) else reserve.silences + 1
    return reserve.silences >= SILENT_LOOKS
