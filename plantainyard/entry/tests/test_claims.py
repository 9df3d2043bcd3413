"""Which candidates claim a unit from whom."""

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
    deal_until,
    own_units,
    poll_layout,
    run_instance,
)
from plantainyard.entry.topics import LAYOUT
from standins.platform import StoreState

AT_WORK = OwnerStatus(units=1, confirmation_age_s=0.3, leaving=False, reserve=False)
CANDIDATE = Candidate(
    100.0,
    units=1,
    reserve=False,
    group_unchanged_s=60.0,
    store_answered_s=60.0,
    since_move_s=60.0,
)
ROUND_S = 0.35


def test_an_owner_at_work_keeps_its_unit_however_often_the_group_deals():
    # Guards against units that change their owners several times in the seconds after
    # a loss of power, while the leases of what runs lapse.
    for group_unchanged_s in (0.0, 0.1, 60.0):
        candidate = CANDIDATE._replace(group_unchanged_s=group_unchanged_s)
        assert (
            decide_claim(OwnerObservation(), OwnerReply(True, AT_WORK), candidate) == ""
        )


def test_a_unit_without_an_owner_waits_until_the_group_has_settled():
    # Guards against the first instance that is back owning everything.
    seen = OwnerObservation()
    restless = CANDIDATE._replace(group_unchanged_s=0.0)
    assert decide_claim(seen, OwnerReply(True), restless) == ""
    assert decide_claim(seen, OwnerReply(True), CANDIDATE) == ClaimReason.VACANT


def test_a_unit_is_claimed_although_the_group_never_settles():
    # Guards against units that stay without an owner during restarts in turn.
    seen = OwnerObservation()
    rounds = [
        decide_claim(
            seen,
            OwnerReply(True),
            CANDIDATE._replace(now=n * ROUND_S, group_unchanged_s=0.0),
        )
        for n in range(1, 6)
    ]
    assert rounds == ["", "", "", ClaimReason.VACANT, ClaimReason.VACANT]


def test_an_owner_that_misses_one_question_keeps_its_unit():
    # Guards against a busy owner that is taken for a lost one.
    seen = OwnerObservation()
    for answered in (False, False, True, False, False):
        reply = OwnerReply(answered, AT_WORK if answered else None)
        assert decide_claim(seen, reply, CANDIDATE) == ""
    assert decide_claim(seen, OwnerReply(False), CANDIDATE) == ClaimReason.SILENT


def test_an_owner_that_leaves_is_followed_at_once():
    status = AT_WORK._replace(leaving=True)
    candidate = CANDIDATE._replace(group_unchanged_s=0.0, since_move_s=0.0)
    assert (
        decide_claim(OwnerObservation(), OwnerReply(True, status), candidate)
        == ClaimReason.LEAVING
    )


def test_an_owner_that_only_the_store_cannot_hear_is_followed():
    # Guards against a unit in which nothing starts while its owner is cut off.
    status = AT_WORK._replace(confirmation_age_s=3.0)
    assert (
        decide_claim(OwnerObservation(), OwnerReply(True, status), CANDIDATE)
        == ClaimReason.CUT_OFF
    )


def test_owners_stay_at_the_end_of_an_outage_of_the_store():
    # Guards against all owners being replaced in the moment of the store's return.
    status = AT_WORK._replace(confirmation_age_s=9.0)
    candidate = CANDIDATE._replace(store_answered_s=0.5)
    assert decide_claim(OwnerObservation(), OwnerReply(True, status), candidate) == ""


@pytest.mark.parametrize(
    ("status", "candidate", "why"),
    [
        (AT_WORK._replace(units=3), CANDIDATE, ClaimReason.SHARE),
        (AT_WORK._replace(units=2), CANDIDATE, ""),
        (
            AT_WORK._replace(units=3),
            CANDIDATE._replace(since_move_s=MIN_MOVE_INTERVAL_S / 2),
            "",
        ),
        (AT_WORK._replace(reserve=True), CANDIDATE, ClaimReason.RESERVE),
        (AT_WORK._replace(reserve=True), CANDIDATE._replace(units=2), ""),
        (AT_WORK._replace(units=3), CANDIDATE._replace(reserve=True), ""),
    ],
)
def test_units_even_out_one_at_a_time(status, candidate, why):
    # Guards against one instance that owns most units for good.
    assert decide_claim(OwnerObservation(), OwnerReply(True, status), candidate) == why


@given(st.lists(st.sampled_from([None, False, True]), max_size=40))
def test_only_silences_in_a_row_replace_an_owner(replies):
    # Guards against a takeover from an owner that has answered just before.
    seen, silent = OwnerObservation(), 0
    for reply in replies:
        silent = silent + 1 if reply is None else 0
        status = AT_WORK if reply else None
        found = decide_claim(seen, OwnerReply(reply is not None, status), CANDIDATE)
        absent = reply is False or silent >= UNANSWERED_LIMIT
        assert bool(found) == absent


def announce(store: StoreState, epoch: int, address: str) -> None:
    value = json.dumps({"epoch": epoch, "address": address}).encode()
    store.put(LAYOUT, "owner/0", value)


def test_a_successor_that_announces_itself_ends_an_ownership():
    # Guards against two owners: the first one goes on ordering until a runner or the
    # store refuses it.
    store = StoreState()
    with run_instance(store) as instance:
        owners = own_units(instance, 5, 0)
        announce(store, 6, "127.0.0.1:9")
        poll_layout(owners)
        assert not instance.claims


def test_an_ownership_is_confirmed_by_what_is_stored_only():
    # Guards against leases that outlive the wait of a successor: an owner that can't
    # read the layout has no proof that there is none.
    store = StoreState()
    with run_instance(store) as instance:
        owners = own_units(instance, 5, 0)
        claim = instance.claims[0]
        claim.confirmed_at = 0.0
        poll_layout(owners)
        confirmed_at = claim.confirmed_at
        assert confirmed_at == instance.layout_reader.synced_at > 0.0
        owners.apply_layout()
        assert claim.confirmed_at == confirmed_at


def test_an_owner_without_proof_for_long_gives_up():
    # Guards against an owner that is cut off for good and keeps alive what its
    # successor counts as ended.
    store = StoreState()
    with run_instance(store) as instance:
        owners = own_units(instance, 5, 0)
        instance.claims[0].confirmed_at = read_clock() - MAX_UNCONFIRMED_S - 1.0
        instance.layout_reader.synced_at = 0.0
        owners.apply_layout()
        assert not instance.claims


def test_a_unit_of_an_owner_that_is_gone_is_claimed():
    # Guards against a unit that stays with an address where nobody answers any more.
    store = StoreState()
    with run_instance(store) as instance:
        announce(store, 3, "127.0.0.1:1")
        owners = OwnershipManager(instance)
        poll_layout(owners)
        deal_until(owners, 5, {0}, lambda: 0 in instance.owned)
        assert instance.layout.owners[0].epoch == 5


def test_an_owner_tells_that_it_is_at_work():
    store = StoreState()
    with run_instance(store) as instance:
        assert fetch_owner_status(instance, 0) == OwnerReply(True)
        instance.claims[0] = Claim(5, read_clock())
        status = fetch_owner_status(instance, 0).status
        assert status is not None and status.units == 1 and not status.leaving
        instance.leaving.set()
        leaving = fetch_owner_status(instance, 0).status
        assert leaving is not None and leaving.leaving


def test_a_later_deal_does_not_end_an_ownership():
    # Guards against a change of owner for each member that comes or goes.
    store = StoreState()
    with run_instance(store) as instance:
        owners = own_units(instance, 5, 0)
        owners.apply_assignment(GroupAssignment(6, frozenset()))
        assert instance.claims[0].epoch == 5 and 0 in instance.owned


def test_a_late_refusal_of_an_earlier_ownership_ends_no_later_one():
    # Guards against an owner that loses its unit to the answer of a call that it sent
    # under an earlier epoch.
    store = StoreState()
    with run_instance(store) as instance:
        owners = own_units(instance, 5, 0)
        earlier = owners.contexts[0]
        owners.release(0)
        deal_until(owners, 6, {0}, lambda: 0 in owners.contexts)
        earlier.step_down()
        assert instance.claims[0].epoch == 6
        owners.contexts[0].step_down()
        assert not instance.claims
