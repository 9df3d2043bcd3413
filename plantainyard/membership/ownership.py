"""Who owns a rack: when to claim it, when to give it up, when to care for it.

`step` is the entry point, for one rack at one instance. The log's claim says who
owns; rendezvous hashing only says who should claim where nobody does.
"""

from typing import NamedTuple

from plantainyard.routing.identity import rank_names
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
    """Times of ownership, in seconds.

    Attributes
    ----------
    retry_s : float
        Time after which a claim that was not seen is written again.
    rebalance_s : float
        Time for which another instance must have been the preferred owner before
        the rack is handed to it.
    silence_s : float
        Time for which a holder may be unheard before it counts as silent, from when
        its claim was first seen.
    outage_s : float
        Age of the knowledge of the stream from which the log counts as out.
    """

    retry_s: float = 10.0
    rebalance_s: float = 300.0
    silence_s: float = 4.0
    outage_s: float = 5.0


class ClaimSeen(NamedTuple):
    """The rack's valid claim, None for none."""

    claim: Claim | None


class Superseded(NamedTuple):
    """A worker of the rack holds a newer epoch, from `holder`."""

    epoch: int
    holder: str


class OwnershipTick(NamedTuple):
    """Time has passed.

    Attributes
    ----------
    live : frozenset of str
        Processes of the domain that are thought to live, this one included.
    workers : frozenset of str
        The rack's workers by the lagging list, those gone left out.
    is_current : bool
        Whether everything known to exist in the stream is folded.
    log_age_s : float
        Seconds since that was last certain.
    stopping : bool
        Whether this instance is stopping as planned.
    draining : frozenset of str
        Other processes of the domain that are heard and stopping as planned. They give
        their racks up themselves; a claim on top of theirs would cost the rack a
        lease's time without authority.
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
    """Write a claim with an empty holder on top of `base`, having stopped acting."""

    base: int


class BeginTerm(NamedTuple):
    """Act for the rack under `epoch`.

    Attributes
    ----------
    claim : Claim
        The claim on which the term rests.
    epoch : int
        Its fence.
    caretaker : bool
        Whether this instance only keeps a silent owner's work alive.
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
        This process; unique for each start, so that a restarted instance is not
        taken for the owner that it was.
    rack : str
        The rack.
    settings : OwnershipSettings
        Times.
    """

    def __init__(self, name: str, rack: str, settings: OwnershipSettings) -> None:
        self.name = name
        self.rack = rack
        self.settings = settings
        self.claim: Claim | None = None
        self.given_up = -1
        self.epoch = 0
        self.caretaker = False
        self.top_epoch = 0
        self.seen_at = float("-inf")
        self.claimed_base: int | None = None
        self.claimed_at = float("-inf")
        self.preferred = name
        self.preferred_since = float("-inf")


def step_ownership(
    state: OwnershipState, event: OwnershipEvent, now: float
) -> list[OwnershipAction]:
    """Take `event` in and return what to do, in order."""
    match event:
        case ClaimSeen(claim):
            return _take_claim(state, claim, now)
        case Superseded(epoch, _):
            return _take_epoch(state, epoch)
        case OwnershipTick():
            return _take_tick(state, event, now)


def reset_claim(state: OwnershipState) -> None:
    """Start over from the log, whose state was replaced by a snapshot.

    Notes
    -----
    What this process gave up stays given up: the record that says so may still be on
    its way to the log, and whoever reads it there acts at once.
    """
    state.claim = None
    state.epoch, state.caretaker = 0, False


def _take_claim(
    state: OwnershipState, claim: Claim | None, now: float
) -> list[OwnershipAction]:
    if claim == state.claim:
        return []
    state.claim = claim
    state.seen_at = now
    ended: list[OwnershipAction] = [EndTerm()] if state.epoch else []
    state.epoch, state.caretaker = 0, False
    if claim is None or claim.holder != state.name or claim.term == state.given_up:
        return ended
    return [*ended, _begin(state, claim, make_epoch(claim.term), caretaker=False)]


def _begin(
    state: OwnershipState, claim: Claim, epoch: int, caretaker: bool
) -> OwnershipAction:
    state.epoch = epoch
    state.caretaker = caretaker
    state.top_epoch = max(state.top_epoch, epoch)
    return BeginTerm(claim, epoch, caretaker)


def _take_epoch(state: OwnershipState, epoch: int) -> list[OwnershipAction]:
    state.top_epoch = max(state.top_epoch, epoch)
    if not state.epoch or epoch <= state.epoch:
        return []
    # Whoever holds the newer epoch acts for the rack. To go on here would only have
    # every command refused, and look to this domain like an owner that works.
    state.epoch = 0
    return [EndTerm()]


def _take_tick(
    state: OwnershipState, tick: OwnershipTick, now: float
) -> list[OwnershipAction]:
    _note_preferred(state, tick.live, now)
    if tick.is_current and tick.log_age_s <= state.settings.outage_s:
        return _decide_claim(state, tick, now)
    if state.epoch or tick.stopping or tick.log_age_s <= state.settings.outage_s:
        return []
    return _decide_care(state, tick, now)


def _note_preferred(state: OwnershipState, live: frozenset[str], now: float) -> None:
    preferred = rank_names(state.rack, live)[0] if live else state.name
    if preferred != state.preferred:
        state.preferred = preferred
        state.preferred_since = now


def _decide_claim(
    state: OwnershipState, tick: OwnershipTick, now: float
) -> list[OwnershipAction]:
    base = state.claim.term if state.claim else -1
    waiting = now - state.claimed_at < state.settings.retry_s
    if state.claimed_base == base and waiting:
        return []
    action = _choose_claim(state, tick, base, now)
    if action is None:
        return []
    state.claimed_base = base
    state.claimed_at = now
    if isinstance(action, ReleaseRack):
        state.given_up = action.base
    if isinstance(action, ReleaseRack) and state.epoch:
        state.epoch = 0
        return [EndTerm(), action]
    return [action]


def _choose_claim(
    state: OwnershipState, tick: OwnershipTick, base: int, now: float
) -> ClaimRack | ReleaseRack | None:
    holder = state.claim.holder if state.claim else ""
    if holder == state.name:
        return _review_own(state, tick, base, now)
    # A live owner is not displaced because the hash now prefers another: each change
    # of owner costs the rack a lease's time without authority.
    if tick.stopping or not tick.workers or _is_thought_live(state, tick, holder, now):
        return None
    return ClaimRack(base, tick.workers) if state.preferred == state.name else None


def _is_thought_live(
    state: OwnershipState, tick: OwnershipTick, holder: str, now: float
) -> bool:
    """Tell whether a holder lives, as far as this instance can know.

    Notes
    -----
    Guards against two live instances that take a rack from each other by turns. The
    failure: an instance that has just started has heard nobody yet, takes the holder
    for dead and claims; the former holder has not heard the new one either and claims
    back. The guard gives each holder the time in which it must have been heard.
    """
    if not holder:
        return False
    unheard_s = now - state.seen_at
    heard = holder in tick.live or holder in tick.draining
    return heard or unheard_s < state.settings.silence_s


def _review_own(
    state: OwnershipState, tick: OwnershipTick, base: int, now: float
) -> ClaimRack | ReleaseRack | None:
    settled = now - state.preferred_since >= state.settings.rebalance_s
    if tick.stopping or (state.preferred != state.name and settled):
        return ReleaseRack(base)
    named = frozenset(state.claim.workers if state.claim else ())
    # Too few of the workers on which the authority rests are left, or most of the
    # rack's workers have no say: claim again, naming those that there are.
    few = 3 * len(named & tick.workers) < 2 * len(named)
    many = len(tick.workers) > 2 * len(named)
    if tick.workers and (not state.epoch or few or many):
        return ClaimRack(base, tick.workers)
    return None


def _decide_care(
    state: OwnershipState, tick: OwnershipTick, now: float
) -> list[OwnershipAction]:
    """Keep a silent owner's work alive while the log is out.

    Notes
    -----
    Guards against tasks that lapse because their owner died while nobody could claim
    its rack. A caretaker fences the workers like an owner, so the two never both
    act; it starts nothing, since only the log says what was assigned before.
    """
    claim = state.claim
    if claim is None or not claim.holder:
        return []
    if _is_thought_live(state, tick, claim.holder, now):
        return []
    if state.preferred != state.name:
        return []
    epoch = max(state.top_epoch, make_epoch(claim.term)) + 1
    return [_begin(state, claim, epoch, caretaker=True)]
