from plantainyard.membership import (
    ClaimRack,
    ClaimSeen,
    OwnershipSettings,
    OwnershipState,
    OwnershipTick,
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
