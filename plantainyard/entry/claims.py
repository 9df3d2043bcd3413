"""Rules by which an instance claims a unit that the group has assigned to it.

The platform reassigns all units whenever a member joins or leaves the group, and
sometimes without cause. After a power loss, or during a rolling restart, this happens
several times within seconds, and each change of owner costs a read of the unit and a
query of all its runners. The group's assignment therefore only names candidates. A
unit stays with its owner while that owner is running, and the candidate takes it over
only if the owner is lost, is leaving, is cut off from the store, or owns at least two
units more than the candidate.
"""

from dataclasses import dataclass
from typing import NamedTuple

__all__ = [
    "Candidate",
    "ClaimReason",
    "OwnerObservation",
    "OwnerReply",
    "OwnerStatus",
    "decide_claim",
]

UNANSWERED_LIMIT = 3
"""Consecutive unanswered queries after which an owner counts as lost. An owner that
takes over several units at once occasionally answers too late."""

SETTLE_S = 0.25
"""Time in seconds for which the group must not have changed before a unit without an
owner is claimed. After a power loss, the first instance that is back is assigned all
units."""

MAX_SETTLE_S = 0.9
"""Maximum wait in seconds for the group to settle. During a rolling restart the group
keeps changing, and a long-running task may be interrupted for three seconds at most."""

STALE_CONFIRMATION_S = 1.5
"""Age in seconds of an owner's last confirmation by the store from which the owner
counts as cut off, provided that the store has answered the candidate for twice as
long. An owner queries the store twice a second."""

MIN_MOVE_INTERVAL_S = 5.0
"""Minimum time in seconds between two units that a candidate takes from running
owners."""

MIN_UNIT_DIFFERENCE = 2
"""Number of units that an owner must have in excess of the candidate's for a move to
even out the shares."""


class ClaimReason:
    """Reasons for which a unit is claimed, as written to the log."""

    VACANT = "vacant"
    SILENT = "silent"
    LEAVING = "leaving"
    CUT_OFF = "cut off"
    RESERVE = "held by a reserve"
    SHARE = "fair share"


class OwnerStatus(NamedTuple):
    """Status that an instance reports for a unit that it owns or is taking over.

    Attributes
    ----------
    units : int
        Number of units that the instance owns or is taking over.
    confirmation_age_s : float
        Time since the store last confirmed that it knows no later owner.
    leaving : bool
        The instance keeps the unit only until another instance takes it over.
    reserve : bool
        The instance isn't a strong one.
    """

    units: int
    confirmation_age_s: float
    leaving: bool
    reserve: bool


class OwnerReply(NamedTuple):
    """Result of querying the owner of a unit.

    Attributes
    ----------
    answered : bool
        The owner answered, or no owner is known.
    status : OwnerStatus or None
        The reported status; None from an instance that doesn't own the unit.
    """

    answered: bool
    status: OwnerStatus | None = None


class Candidate(NamedTuple):
    """State of the instance that considers claiming a unit.

    Attributes
    ----------
    now : float
        Seconds on a monotonic clock.
    units : int
        Number of units that the instance owns or is taking over.
    reserve : bool
        The instance isn't a strong one.
    group_unchanged_s : float
        Time since the group last changed.
    store_answered_s : float
        Time for which the store has answered the instance without interruption.
    since_move_s : float
        Time since the instance last took a unit from a running owner.
    """

    now: float
    units: int
    reserve: bool
    group_unchanged_s: float
    store_answered_s: float
    since_move_s: float


@dataclass(slots=True)
class OwnerObservation:
    """What a candidate has observed of a unit's owner.

    Attributes
    ----------
    unanswered : int
        Number of consecutive unanswered queries.
    absent_since : float
        Time since which the unit has appeared to have no owner; zero if it has one.
    """

    unanswered: int = 0
    absent_since: float = 0.0


def decide_claim(
    observation: OwnerObservation, reply: OwnerReply, candidate: Candidate
) -> str:
    """Return the `ClaimReason` for claiming a unit, or an empty string for no claim.

    Parameters
    ----------
    observation : OwnerObservation
        Observations of this unit's owner; updated in place.
    reply : OwnerReply
        The owner's latest reply.
    candidate : Candidate
        State of the instance that considers the claim.

    Examples
    --------
    >>> candidate = Candidate(9.0, 0, False, 1.0, 60.0, 60.0)
    >>> decide_claim(OwnerObservation(), OwnerReply(True), candidate)
    'vacant'
    >>> status = OwnerStatus(1, 0.3, False, False)
    >>> decide_claim(OwnerObservation(), OwnerReply(True, status), candidate)
    ''
    """
    if reply.status is None:
        return _decide_without_status(observation, reply.answered, candidate)
    observation.unanswered = 0
    observation.absent_since = 0.0
    return _decide_by_status(reply.status, candidate)


def _decide_without_status(
    observation: OwnerObservation, answered: bool, candidate: Candidate
) -> str:
    observation.unanswered = 0 if answered else observation.unanswered + 1
    if not answered and observation.unanswered < UNANSWERED_LIMIT:
        return ""
    observation.absent_since = observation.absent_since or candidate.now
    waited_s = candidate.now - observation.absent_since
    if candidate.group_unchanged_s < SETTLE_S and waited_s < MAX_SETTLE_S:
        return ""
    return ClaimReason.VACANT if answered else ClaimReason.SILENT


def _decide_by_status(status: OwnerStatus, candidate: Candidate) -> str:
    """Return the reason for claiming a unit whose owner answers, or an empty string.

    Notes
    -----
    Guards against replacing all owners at the end of a store outage. Their
    confirmations are stale then, but the first candidate that the store answers is no
    better connected than they are. Only a candidate that the store has answered
    throughout may treat an owner as cut off.
    """
    if status.leaving:
        return ClaimReason.LEAVING
    if (
        status.confirmation_age_s > STALE_CONFIRMATION_S
        and candidate.store_answered_s > 2 * STALE_CONFIRMATION_S
    ):
        return ClaimReason.CUT_OFF
    if candidate.since_move_s < MIN_MOVE_INTERVAL_S:
        return ""
    if (
        status.reserve
        and not candidate.reserve
        and candidate.units < MIN_UNIT_DIFFERENCE
    ):
        return ClaimReason.RESERVE
    fair = status.units < candidate.units + MIN_UNIT_DIFFERENCE
    return ClaimReason.SHARE if status.reserve == candidate.reserve and not fair else ""
