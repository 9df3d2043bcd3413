"""Tests of the decisions to claim, release and take over racks."""

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
    # Guards against two instances that claim a rack from each other for a second after
    # one of them has started: it had received no heartbeat yet and considered the owner
    # dead; the owner had received none of it either and claimed the rack back.
    state = OwnershipState("new", "rack", SETTINGS)
    step_ownership(state, ClaimSeen(Claim("old", 7, tuple(WORKERS))), 100.0)
    assert step_ownership(state, _tick({"new"}), 100.1) == []
    assert step_ownership(state, _tick({"new", "old"}), 105.0) == []


def test_owner_without_heartbeats_is_replaced():
    state = OwnershipState("new", "rack", SETTINGS)
    step_ownership(state, ClaimSeen(Claim("old", 7, tuple(WORKERS))), 100.0)
    actions = step_ownership(state, _tick({"new"}), 104.1)
    assert actions == [ClaimRack(7, WORKERS)]


def test_rack_without_owner_is_claimed_at_once():
    state = OwnershipState("new", "rack", SETTINGS)
    assert step_ownership(state, _tick({"new"}), 0.0) == [ClaimRack(-1, WORKERS)]


def test_released_rack_stays_released_after_a_snapshot():
    # Guards against an order that is executed twice after a graceful stop. The record
    # that releases the rack is delayed; the instance finds a gap in the log, restores a
    # snapshot in which it is the holder, and acts again. Then the record arrives in the
    # log, and the successor acts at once.
    state = OwnershipState("a", "rack", SETTINGS)
    claim = Claim("a", 7, tuple(WORKERS))
    started = step_ownership(state, ClaimSeen(claim), 100.0)
    assert [type(action) for action in started] == [BeginTerm]
    stop = _tick({"a"})._replace(stopping=True)
    assert step_ownership(state, stop, 120.0) == [EndTerm(), ReleaseRack(7)]
    reset_claim(state)
    assert step_ownership(state, ClaimSeen(claim), 121.0) == []
