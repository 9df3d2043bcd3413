"""Claims of units: which candidate claims a unit from which owner."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from plantainyard.clock import read_clock
from plantainyard.entry.claims import (
    MIN_MOVE_INTERVAL_S,
    UNANSWERED_LIMIT,
    Candidate,
    ClaimReason,
    OwnerObservation,
    OwnerReply,
    OwnerStatus,
    decide_claim,
)
from plantainyard.entry.group import GroupAssignment
from plantainyard.entry.instance import Claim
from plantainyard.entry.ownership_manager import MAX_UNCONFIRMED_S, OwnershipManager
from plantainyard.entry.peers import fetch_owner_status
from plantainyard.entry.tests.harness import (
    assign_until,
    own_units,
    poll_layout,
    run_instance,
)
from plantainyard.entry.topics import LAYOUT
from standins.platform import StoreState

RUNNING = OwnerStatus(units=1, confirmation_age_s=0.3, leaving=False, reserve=False)
CANDIDATE = Candidate(
    100.0,
    units=1,
    reserve=False,
    group_unchanged_s=60.0,
    store_answered_s=60.0,
    since_move_s=60.0,
)
QUERY_INTERVAL_S = 0.35


def test_a_running_owner_keeps_its_unit_when_the_group_reassigns_it():
    # Guards against units that change owners several times in the seconds after a power
    # loss, while the leases of running tasks expire.
    for group_unchanged_s in (0.0, 0.1, 60.0):
        candidate = CANDIDATE._replace(group_unchanged_s=group_unchanged_s)
        assert (
            decide_claim(OwnerObservation(), OwnerReply(True, RUNNING), candidate) == ""
        )


def test_a_unit_without_an_owner_waits_until_the_group_has_settled():
    # Guards against the first instance that is back after an outage owning all units.
    observation = OwnerObservation()
    unsettled = CANDIDATE._replace(group_unchanged_s=0.0)
    assert decide_claim(observation, OwnerReply(True), unsettled) == ""
    assert decide_claim(observation, OwnerReply(True), CANDIDATE) == ClaimReason.VACANT


def test_a_unit_is_claimed_even_if_the_group_never_settles():
    # Guards against units that stay without an owner during a rolling restart.
    observation = OwnerObservation()
    rounds = [
        decide_claim(
            observation,
            OwnerReply(True),
            CANDIDATE._replace(now=n * QUERY_INTERVAL_S, group_unchanged_s=0.0),
        )
        for n in range(1, 6)
    ]
    assert rounds == ["", "", "", ClaimReason.VACANT, ClaimReason.VACANT]


def test_an_owner_that_misses_a_query_keeps_its_unit():
    # Guards against treating a busy owner as lost.
    observation = OwnerObservation()
    for answered in (False, False, True, False, False):
        reply = OwnerReply(answered, RUNNING if answered else None)
        assert decide_claim(observation, reply, CANDIDATE) == ""
    assert decide_claim(observation, OwnerReply(False), CANDIDATE) == ClaimReason.SILENT


def test_the_unit_of_a_leaving_owner_is_claimed_at_once():
    # Guards against a wait for the group to settle, which isn't needed here.
    status = RUNNING._replace(leaving=True)
    candidate = CANDIDATE._replace(group_unchanged_s=0.0, since_move_s=0.0)
    assert (
        decide_claim(OwnerObservation(), OwnerReply(True, status), candidate)
        == ClaimReason.LEAVING
    )


def test_the_unit_of_an_owner_cut_off_from_the_store_is_claimed():
    # Guards against a unit in which no task starts while its owner is cut off.
    status = RUNNING._replace(confirmation_age_s=3.0)
    assert (
        decide_claim(OwnerObservation(), OwnerReply(True, status), CANDIDATE)
        == ClaimReason.CUT_OFF
    )


def test_owners_keep_their_units_at_the_end_of_a_store_outage():
    # Guards against replacing all owners when the store comes back.
    status = RUNNING._replace(confirmation_age_s=9.0)
    candidate = CANDIDATE._replace(store_answered_s=0.5)
    assert decide_claim(OwnerObservation(), OwnerReply(True, status), candidate) == ""


@pytest.mark.parametrize(
    ("status", "candidate", "why"),
    [
        (RUNNING._replace(units=3), CANDIDATE, ClaimReason.SHARE),
        (RUNNING._replace(units=2), CANDIDATE, ""),
        (
            RUNNING._replace(units=3),
            CANDIDATE._replace(since_move_s=MIN_MOVE_INTERVAL_S / 2),
            "",
        ),
        (RUNNING._replace(reserve=True), CANDIDATE, ClaimReason.RESERVE),
        (RUNNING._replace(reserve=True), CANDIDATE._replace(units=2), ""),
        (RUNNING._replace(units=3), CANDIDATE._replace(reserve=True), ""),
    ],
)
def test_units_even_out_one_at_a_time(status, candidate, why):
    # Guards against one instance that permanently owns most units.
    assert decide_claim(OwnerObservation(), OwnerReply(True, status), candidate) == why


@given(st.lists(st.sampled_from([None, False, True]), max_size=40))
def test_only_consecutive_unanswered_queries_replace_an_owner(replies):
    # Guards against a takeover from an owner that has just answered.
    observation, unanswered = OwnerObservation(), 0
    for reply in replies:
        unanswered = unanswered + 1 if reply is None else 0
        status = RUNNING if reply else None
        reason = decide_claim(
            observation, OwnerReply(reply is not None, status), CANDIDATE
        )
        absent = reply is False or unanswered >= UNANSWERED_LIMIT
        assert bool(reason) == absent


def announce(store: StoreState, epoch: int, address: str) -> None:
    """Store an announcement of the owner of unit 0."""
    value = json.dumps({"epoch": epoch, "address": address}).encode()
    store.put(LAYOUT, "owner/0", value)


def test_the_announcement_of_a_successor_ends_an_ownership():
    # Guards against two owners, of which the first sends orders until a runner or the
    # store refuses one.
    store = StoreState()
    with run_instance(store) as instance:
        manager = own_units(instance, 5, 0)
        announce(store, 6, "127.0.0.1:9")
        poll_layout(manager)
        assert not instance.claims


def test_an_ownership_is_confirmed_only_by_a_read_of_the_store():
    # Guards against leases that outlast the wait of a successor: an owner that can't
    # read the layout has no proof that there is no successor.
    store = StoreState()
    with run_instance(store) as instance:
        manager = own_units(instance, 5, 0)
        claim = instance.claims[0]
        claim.confirmed_at = 0.0
        poll_layout(manager)
        confirmed_at = claim.confirmed_at
        assert confirmed_at == instance.layout_reader.synced_at > 0.0
        manager.apply_layout()
        assert claim.confirmed_at == confirmed_at


def test_an_owner_releases_its_unit_after_too_long_without_confirmation():
    # Guards against an owner that is permanently cut off and keeps tasks running that
    # its successor considers ended.
    store = StoreState()
    with run_instance(store) as instance:
        manager = own_units(instance, 5, 0)
        instance.claims[0].confirmed_at = read_clock() - MAX_UNCONFIRMED_S - 1.0
        instance.layout_reader.synced_at = 0.0
        manager.apply_layout()
        assert not instance.claims


def test_the_unit_of_a_lost_owner_is_claimed():
    # Guards against a unit that stays assigned to an address that no longer answers.
    store = StoreState()
    with run_instance(store) as instance:
        announce(store, 3, "127.0.0.1:1")
        manager = OwnershipManager(instance)
        poll_layout(manager)
        assign_until(manager, 5, {0}, lambda: 0 in instance.owned)
        assert instance.layout.owners[0].epoch == 5


def test_an_owner_reports_its_status():
    # Guards against a takeover from a running owner, and against a missed hand-over
    # from one that leaves.
    store = StoreState()
    with run_instance(store) as instance:
        assert fetch_owner_status(instance, 0) == OwnerReply(True)
        instance.claims[0] = Claim(5, read_clock())
        status = fetch_owner_status(instance, 0).status
        assert status is not None and status.units == 1 and not status.leaving
        instance.leaving.set()
        leaving = fetch_owner_status(instance, 0).status
        assert leaving is not None and leaving.leaving


def test_a_later_assignment_does_not_end_an_ownership():
    # Guards against a change of owner whenever a member joins or leaves the group.
    store = StoreState()
    with run_instance(store) as instance:
        manager = own_units(instance, 5, 0)
        manager.apply_assignment(GroupAssignment(6, frozenset()))
        assert instance.claims[0].epoch == 5 and 0 in instance.owned


def test_a_late_refusal_of_an_earlier_epoch_does_not_end_a_later_one():
    # Guards against an owner that loses its unit because of the answer to a call that
    # it sent in an earlier epoch.
    store = StoreState()
    with run_instance(store) as instance:
        manager = own_units(instance, 5, 0)
        earlier = manager.contexts[0]
        manager.release(0)
        assign_until(manager, 6, {0}, lambda: 0 in manager.contexts)
        earlier.step_down()
        assert instance.claims[0].epoch == 6
        manager.contexts[0].step_down()
        assert not instance.claims
