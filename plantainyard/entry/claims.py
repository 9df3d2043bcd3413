"""Whether an instance claims a unit that the group has dealt to it.

The load that it answers: the platform deals all units anew whenever a member comes or
goes, and at times without cause. After a loss of power, or while instances are
restarted one after the other, that happens several times within seconds, and each
change of owner costs a reading of the unit and a look at all its runners. So the group
names candidates only. A unit stays with its owner while that one is at work, and the
candidate takes it where the owner is gone, leaves, is cut off from the store, or has
two units more than the candidate.
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
"""Questions in a row without an answer that show that an owner is gone; an owner that
takes over several units at once is late with an answer now and then."""

SETTLED_S = 0.25
"""Time for which the group must not have changed before a unit without an owner is
claimed: after a loss of power the first instance that is back is dealt all of them."""

MAX_SETTLE_S = 0.9
"""Longest wait for that: while instances are restarted in turn the group never rests,
and a long-running task may be interrupted for three seconds."""

STALE_CONFIRMATION_S = 1.5
"""Age of an owner's last word from the store from which it counts as cut off, where the
candidate has had answers for twice as long. An owner asks twice a second."""

MIN_MOVE_INTERVAL_S = 5.0
"""Least time between two units that a candidate takes from owners at work."""

MIN_UNIT_DIFFERENCE = 2
"""Units that an owner must have more than the candidate: a move then evens them out."""


class ClaimReason:
    """Names of the reasons for which a unit is claimed; for the log."""

    VACANT = "vacant"
    SILENT = "silent"
    LEAVING = "leaving"
    CUT_OFF = "cut off"
    RESERVE = "held by a reserve"
    SHARE = "fair share"


class OwnerStatus(NamedTuple):
    """What an instance says of a unit that it owns or is taking over.

    Attributes
    ----------
    units : int
        How many units it has.
    confirmed_s : float
        Age of its last proof that the store knows no later owner.
    leaving : bool
        It goes on only until somebody takes the unit over.
    reserve : bool
        It isn't a strong instance.
    """

    units: int
    confirmed_s: float
    leaving: bool
    reserve: bool


class OwnerReply(NamedTuple):
    """What came of asking a unit's owner.

    Attributes
    ----------
    heard : bool
        There was an answer, or there is nobody to ask.
    word : Word or None
        What it says; None from an instance that doesn't own the unit.
    """

    heard: bool
    word: OwnerStatus | None = None


class Candidate(NamedTuple):
    """The state of the instance that asks.

    Attributes
    ----------
    now : float
        Seconds on a clock that is never set back.
    units : int
        How many units it has.
    reserve : bool
        It isn't a strong instance.
    settled_s : float
        Since when the group hasn't changed.
    steady_s : float
        Since when the store has answered it without a break.
    rested_s : float
        Since when it has taken no unit from an owner at work.
    """

    now: float
    units: int
    reserve: bool
    settled_s: float
    steady_s: float
    rested_s: float


@dataclass(slots=True)
class OwnerObservation:
    """What a candidate has seen of a unit's owner.

    Attributes
    ----------
    silences : int
        Questions in a row without an answer.
    gone_since : float
        Since when nobody seems to own the unit; zero where somebody does.
    """

    silences: int = 0
    gone_since: float = 0.0


def decide_claim(
    seen: OwnerObservation, reply: OwnerReply, candidate: Candidate
) -> str:
    """Return why the candidate is to claim a unit, one of `ClaimReason`, or nothing.

    Parameters
    ----------
    seen : Seen
        Of this unit; changed in place.
    reply : Reply
        Of its owner, just now.
    candidate : Candidate
        Who asks.

    Examples
    --------
    >>> candidate = Candidate(9.0, 0, False, 1.0, 60.0, 60.0)
    >>> judge_owner(Seen(), Reply(True), candidate)
    'vacant'
    >>> judge_owner(Seen(), Reply(True, Word(1, 0.3, False, False)), candidate)
    ''
    """
    if reply.word is None:
        return _judge_absence(seen, reply.heard, candidate)
    seen.silences = 0
    seen.gone_since = 0.0
    return _judge_word(reply.word, candidate)


def _judge_absence(seen: OwnerObservation, heard: bool, candidate: Candidate) -> str:
    seen.silences = 0 if heard else seen.silences + 1
    if not heard and seen.silences < UNANSWERED_LIMIT:
        return ""
    seen.gone_since = seen.gone_since or candidate.now
    waited_s = candidate.now - seen.gone_since
    if candidate.settled_s < SETTLED_S and waited_s < MAX_SETTLE_S:
        return ""
    return ClaimReason.VACANT if heard else ClaimReason.SILENT


def _judge_word(word: OwnerStatus, candidate: Candidate) -> str:
    """Judge an owner that answers.

    Notes
    -----
    Guards against all owners being replaced at the end of an outage of the store: their
    proofs are old then, and the first candidate that the store answers is in no better
    place than they. Only one that the store has answered all the while may say so.
    """
    if word.leaving:
        return ClaimReason.LEAVING
    if (
        word.confirmed_s > STALE_CONFIRMATION_S
        and candidate.steady_s > 2 * STALE_CONFIRMATION_S
    ):
        return ClaimReason.CUT_OFF
    if candidate.rested_s < MIN_MOVE_INTERVAL_S:
        return ""
    if word.reserve and not candidate.reserve and candidate.units < MIN_UNIT_DIFFERENCE:
        return ClaimReason.RESERVE
    fair = word.units < candidate.units + MIN_UNIT_DIFFERENCE
    return ClaimReason.SHARE if word.reserve == candidate.reserve and not fair else ""
