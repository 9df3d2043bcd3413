from plantainyard.membership import (
    BeginTerm,
    ClaimRack,
    ClaimSeen,
    EndTerm,
    OwnershipSettings,
    OwnershipState,
    OwnershipTick,
    ReleaseRack,
    reset_claim,
    step_ownership,
)
from plantainyard.state import Claim

WORKERS = frozenset({"w1", "w2", "w3"})
SETTINGS = OwnershipSettings(silence_s=4.0)


def _tick(live):
    return OwnershipTick(frozenset(live), WORKERS, True, 0.0, False)


def test_instance_that_has_just_started_does_not_displace_a_live_owner():
    # Two instances of a domain give up and claim a rack by turns for a second after
    # one of them started. It had heard nobody yet and took the owner for dead; the
    # owner had not heard it either and claimed back.
    state = OwnershipState("new", "rack", SETTINGS)
    step_ownership(state, ClaimSeen(Claim("old", 7, tuple(WORKERS))), 100.0)
    assert step_ownership(state, _tick({"new"}), 100.1) == []
    assert step_ownership(state, _tick({"new", "old"}), 105.0) == []


def test_owner_that_stays_unheard_is_replaced():
    state = OwnershipState("new", "rack", SETTINGS)
    step_ownership(state, ClaimSeen(Claim("old", 7, tuple(WORKERS))), 100.0)
    actions = step_ownership(state, _tick({"new"}), 104.1)
    assert actions == [ClaimRack(7, WORKERS)]


def test_rack_without_owner_is_claimed_at_once():
    state = OwnershipState("new", "rack", SETTINGS)
    assert step_ownership(state, _tick({"new"}), 0.0) == [ClaimRack(-1, WORKERS)]


def test_what_was_given_up_stays_given_up_over_a_snapshot():
    # An order is taken twice after a planned stop. The record that gives the rack up is
    # held back; the instance meets a gap in the log, starts over from a snapshot, finds
    # itself to be the holder and acts again. Then the record arrives, and the successor
    # acts at once.
    state = OwnershipState("a", "rack", SETTINGS)
    claim = Claim("a", 7, tuple(WORKERS))
    begun = step_ownership(state, ClaimSeen(claim), 100.0)
    assert [type(action) for action in begun] == [BeginTerm]
    stop = _tick({"a"})._replace(stopping=True)
    assert step_ownership(state, stop, 120.0) == [EndTerm(), ReleaseRack(7)]
    reset_claim(state)
    assert step_ownership(state, ClaimSeen(claim), 121.0) == []
