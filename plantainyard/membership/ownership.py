"""Decisions on the ownership of a rack: when to claim it, release it or take it over.

`step_ownership` is the entry point, for one rack at one instance. The claim in the log
determines the owner; rendezvous hashing only determines which instance should claim a
rack without an owner. While the log is unavailable, an instance can act as the
caretaker of a silent owner's rack.
"""

from typing import NamedTuple

from plantainyard.routing.arbiter import rank_names
from plantainyard.state import Claim

from .authority import make_epoch

__all__ = [
    "BeginTerm",
    "ClaimRack",
    "ClaimSeen",
    "EndTerm",
    "OwnershipAction",
    "OwnershipEvent",
    "OwnershipSettings",
    "OwnershipState",
    "OwnershipTick",
    "ReleaseRack",
    "Superseded",
    "reset_claim",
    "step_ownership",
]


class OwnershipSettings(NamedTuple):
    """Timeouts of ownership, in seconds.

    Attributes
    ----------
    retry_s : float
        Time after which a claim that has not appeared in the log is written again.
    rebalance_s : float
        Time for which another instance must have been the preferred owner before
        the rack is handed over to it.
    silence_s : float
        Time after its claim was first seen during which a holder counts as live without
        a heartbeat.
    outage_s : float
        Age of the last certainly current read above which the log counts as
        unavailable.
    """

    retry_s: float = 10.0
    rebalance_s: float = 300.0
    silence_s: float = 4.0
    outage_s: float = 5.0


class ClaimSeen(NamedTuple):
    """The rack's valid claim in the log; None if there is none."""

    claim: Claim | None


class Superseded(NamedTuple):
    """A worker of the rack has accepted a newer epoch from `holder`."""

    epoch: int
    holder: str


class OwnershipTick(NamedTuple):
    """Time has passed.

    Attributes
    ----------
    live : frozenset of str
        Processes of the domain that are presumed live, including this one.
    workers : frozenset of str
        The rack's workers according to the instance list, which lags, without
        terminated ones.
    is_current : bool
        Whether all records known to exist in the stream have been applied.
    log_age_s : float
        Seconds since that was last certain.
    stopping : bool
        Whether this instance is stopping gracefully.
    draining : frozenset of str
        Other processes of the domain that send heartbeats and are stopping gracefully.
        They release their racks themselves; a claim on top of theirs would leave the
        rack without authority for the length of a lease.
    """

    live: frozenset[str]
    workers: frozenset[str]
    is_current: bool
    log_age_s: float
    stopping: bool
    draining: frozenset[str] = frozenset()


OwnershipEvent = ClaimSeen | Superseded | OwnershipTick


class ClaimRack(NamedTuple):
    """Write a claim for this process on top of `base`, naming `workers`."""

    base: int
    workers: frozenset[str]


class ReleaseRack(NamedTuple):
    """Write a claim without a holder on top of `base`; this process no longer acts."""

    base: int


class BeginTerm(NamedTuple):
    """Act for the rack under `epoch`.

    Attributes
    ----------
    claim : Claim
        The claim on which the term is based.
    epoch : int
        The fencing token of its commands.
    caretaker : bool
        Whether this instance only keeps the running tasks of a silent owner alive.
    """

    claim: Claim
    epoch: int
    caretaker: bool


class EndTerm(NamedTuple):
    """Stop acting for the rack."""


OwnershipAction = ClaimRack | ReleaseRack | BeginTerm | EndTerm


class OwnershipState:
    """Ownership of one rack as one process sees it.

    Parameters
    ----------
    name : str
        Name of this process; unique for each start, so that a restarted instance is
        not mistaken for the owner that it was before.
    rack : str
        The rack.
    settings : OwnershipSettings
        Timeouts.

    Attributes
    ----------
    claim : Claim or None
        Latest valid claim in the log.
    released_term : int
        Term of the claim that this process released; -1 for none.
    epoch : int
        Epoch under which this process acts; zero if it doesn't.
    highest_epoch : int
        Highest epoch that is known for the rack.
    claim_seen_at : float
        Time at which the latest claim was first seen.
    claimed_base, claimed_at
        Term on top of which this process last wrote a claim, and when.
    preferred, preferred_since
        Preferred owner by rendezvous hashing, and since when.
    """

    def __init__(self, name: str, rack: str, settings: OwnershipSettings) -> None:
        self.name = name
        self.rack = rack
        self.settings = settings
        self.claim: Claim | None = None
        self.released_term = -1
        self.epoch = 0
        self.caretaker = False
        self.highest_epoch = 0
        self.claim_seen_at = float("-inf")
        self.claimed_base: int | None = None
        self.claimed_at = float("-inf")
        self.preferred = name
        self.preferred_since = float("-inf")


def step_ownership(
    state: OwnershipState, event: OwnershipEvent, now: float
) -> list[OwnershipAction]:
    """Apply `event` to `state` and return the resulting actions in order."""
    match event:
        case ClaimSeen(claim):
            return _handle_claim(state, claim, now)
        case Superseded(epoch, _):
            return _handle_superseded(state, epoch)
        case OwnershipTick():
            return _handle_tick(state, event, now)


def reset_claim(state: OwnershipState) -> None:
    """Discard the claim after the state of the log was replaced by a snapshot.

    Notes
    -----
    A term that this process has released stays released: the record of the release may
    still be on its way to the log, and its successor acts as soon as it reads it.
    """
    state.claim = None
    state.epoch, state.caretaker = 0, False


def _handle_claim(
    state: OwnershipState, claim: Claim | None, now: float
) -> list[OwnershipAction]:
    if claim == state.claim:
        return []
    state.claim = claim
    state.claim_seen_at = now
    ended: list[OwnershipAction] = [EndTerm()] if state.epoch else []
    state.epoch, state.caretaker = 0, False
    if claim is None or claim.holder != state.name or claim.term == state.released_term:
        return ended
    return [*ended, _begin_term(state, claim, make_epoch(claim.term), caretaker=False)]


def _begin_term(
    state: OwnershipState, claim: Claim, epoch: int, caretaker: bool
) -> OwnershipAction:
    state.epoch = epoch
    state.caretaker = caretaker
    state.highest_epoch = max(state.highest_epoch, epoch)
    return BeginTerm(claim, epoch, caretaker)


def _handle_superseded(state: OwnershipState, epoch: int) -> list[OwnershipAction]:
    state.highest_epoch = max(state.highest_epoch, epoch)
    if not state.epoch or epoch <= state.epoch:
        return []
    # The holder of the newer epoch acts for the rack. If this process continued, all
    # its commands would be rejected while the domain still considered it a live owner.
    state.epoch = 0
    return [EndTerm()]


def _handle_tick(
    state: OwnershipState, tick: OwnershipTick, now: float
) -> list[OwnershipAction]:
    _update_preferred(state, tick.live, now)
    if tick.is_current and tick.log_age_s <= state.settings.outage_s:
        return _decide_claim(state, tick, now)
    if state.epoch or tick.stopping or tick.log_age_s <= state.settings.outage_s:
        return []
    return _decide_takeover(state, tick, now)


def _update_preferred(state: OwnershipState, live: frozenset[str], now: float) -> None:
    preferred = rank_names(state.rack, live)[0] if live else state.name
    if preferred != state.preferred:
        state.preferred = preferred
        state.preferred_since = now


def _decide_claim(
    state: OwnershipState, tick: OwnershipTick, now: float
) -> list[OwnershipAction]:
    base = state.claim.term if state.claim else -1
    awaiting_claim = now - state.claimed_at < state.settings.retry_s
    if state.claimed_base == base and awaiting_claim:
        return []
    action = _choose_claim(state, tick, base, now)
    if action is None:
        return []
    state.claimed_base = base
    state.claimed_at = now
    if isinstance(action, ReleaseRack):
        state.released_term = action.base
    if isinstance(action, ReleaseRack) and state.epoch:
        state.epoch = 0
        return [EndTerm(), action]
    return [action]


def _choose_claim(
    state: OwnershipState, tick: OwnershipTick, base: int, now: float
) -> ClaimRack | ReleaseRack | None:
    holder = state.claim.holder if state.claim else ""
    if holder == state.name:
        return _review_own_claim(state, tick, base, now)
    # A live owner keeps the rack even if rendezvous hashing now prefers another: each
    # change of owner leaves the rack without authority for the length of a lease.
    if tick.stopping or not tick.workers or _is_presumed_live(state, tick, holder, now):
        return None
    return ClaimRack(base, tick.workers) if state.preferred == state.name else None


def _is_presumed_live(
    state: OwnershipState, tick: OwnershipTick, holder: str, now: float
) -> bool:
    """Return whether a holder is live as far as this instance can know.

    Notes
    -----
    Guards against two live instances that repeatedly take a rack from each other. An
    instance that has just started has received no heartbeats yet, considers the holder
    dead and claims the rack; the former holder has received no heartbeat of the new one
    either and claims it back. Each holder is therefore presumed live until its
    heartbeats must have arrived.
    """
    if not holder:
        return False
    claim_age_s = now - state.claim_seen_at
    is_heard = holder in tick.live or holder in tick.draining
    return is_heard or claim_age_s < state.settings.silence_s


def _review_own_claim(
    state: OwnershipState, tick: OwnershipTick, base: int, now: float
) -> ClaimRack | ReleaseRack | None:
    is_stable = now - state.preferred_since >= state.settings.rebalance_s
    if tick.stopping or (state.preferred != state.name and is_stable):
        return ReleaseRack(base)
    named = frozenset(state.claim.workers if state.claim else ())
    # Claim again with the present workers if too few of those on which the authority
    # rests are left, or if most of the rack's workers are not among them.
    too_few_left = 3 * len(named & tick.workers) < 2 * len(named)
    mostly_unnamed = len(tick.workers) > 2 * len(named)
    if tick.workers and (not state.epoch or too_few_left or mostly_unnamed):
        return ClaimRack(base, tick.workers)
    return None


def _decide_takeover(
    state: OwnershipState, tick: OwnershipTick, now: float
) -> list[OwnershipAction]:
    """Become the caretaker of a silent owner's rack while the log is unavailable.

    Notes
    -----
    Guards against tasks whose leases expire because their owner died while nobody could
    claim its rack. A caretaker fences the workers like an owner, so the two never act
    at the same time. It starts no tasks, because only the log says what was already
    assigned.
    """
    claim = state.claim
    if claim is None or not claim.holder:
        return []
    if _is_presumed_live(state, tick, claim.holder, now):
        return []
    if state.preferred != state.name:
        return []
    epoch = max(state.highest_epoch, make_epoch(claim.term)) + 1
    return [_begin_term(state, claim, epoch, caretaker=True)]
