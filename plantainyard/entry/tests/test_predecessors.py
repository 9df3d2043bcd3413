"""Reports of the leases that remain, from an owner to its successor."""

import json

import pytest

from plantainyard.batch.replica import OWNER_KEY
from plantainyard.dispatch import LeasesReported, PredecessorEnded
from plantainyard.entry.copies import refresh_copy
from plantainyard.entry.instance import Instance
from plantainyard.entry.layout import Owner, encode_owner
from plantainyard.entry.peer_app import build_peer_app
from plantainyard.entry.predecessors import (
    ReleaseAnswer,
    fetch_release,
    judge_release,
    query_predecessor,
)
from plantainyard.entry.tests.harness import (
    BODY,
    JOB,
    WAIT_TIMEOUT_S,
    assign_until,
    call,
    own_units,
    run_instance,
    wait_until,
)
from plantainyard.entry.topics import PROGRESS
from standins.platform import RunnerState, StoreState

SUCCESSOR = Owner(7, "10.0.0.1:4")


def query_leases(instance: Instance) -> dict | None:
    """Query an instance as `SUCCESSOR` does; return the answer's body, if any."""
    path = f"/units/0/leases/{SUCCESSOR.epoch}"
    body = b"".join(
        build_peer_app(instance)({"PATH_INFO": path}, lambda *_: lambda _: None)
    )
    return json.loads(body) or None


def test_an_owner_learns_of_its_successor_and_reports_its_leases():
    # Guards against tasks that wait for the longest lease: an owner that has lost the
    # store doesn't know that it has a successor, which can't know what it granted.
    runner = RunnerState("r0", {JOB: 0.0})
    with run_instance(StoreState(), runner) as instance:
        manager = own_units(instance, 5, 0)
        assert call(instance, "POST", f"/jobs/{JOB}", BODY)[0] == 200
        wait_until(lambda: runner.running)
        assert query_leases(instance) is None
        manager.apply_layout()
        wait_until(lambda: "epoch" in (query_leases(instance) or {}))
        answer = query_leases(instance)
        assert not instance.claims
        # Only the store tells who owns the unit: a query may come from anywhere.
        assert instance.layout.owners[0].epoch == 5
    assert answer is not None and answer["epoch"] == 5
    assert 0 < answer["remaining_s"]["r0"] < 6.0


def test_a_report_of_another_ownership_is_not_used():
    # Guards against two runs of one task: the instance owned the unit twice, and what
    # it reports of the first time says nothing about the second.
    with run_instance(StoreState()) as instance:
        manager = own_units(instance, 5, 0)
        manager.release(0)
        wait_until(lambda: 0 in instance.released)
        own = Owner(9, instance.peer_address())
        former = Owner(5, instance.peer_address())
        answer = fetch_release(instance, 0, own, former)
    assert answer is not None
    assert judge_release(answer, former.epoch) == LeasesReported({})
    assert judge_release(answer, epoch=6) is None


def test_a_restarted_process_reports_no_leases_of_the_one_before():
    # Guards against two runs of one task: a process that has restarted knows nothing of
    # the leases that it granted before, or that it inherited then.
    with run_instance(StoreState()) as instance:
        answer = query_leases(instance)
        assert answer is not None
        assert answer.keys() == {"claimed", "age_s"}
        assert answer["claimed"] == []
        assert 0 <= answer["age_s"] < WAIT_TIMEOUT_S


@pytest.mark.parametrize("claimed", [None, frozenset({5}), frozenset({3, 7})])
def test_a_process_that_claimed_the_unit_has_not_ended(claimed):
    # Guards against two runs of one task: the predecessor still answers, and may go on
    # renewing leases until it has released the unit.
    assert judge_release(ReleaseAnswer(0, {}, claimed, 60.0), epoch=5) is None


def test_a_successor_learns_that_its_predecessor_has_ended():
    # Guards against tasks that wait for the longest lease, although the process that
    # could renew the leases was killed and has started again.
    answer = ReleaseAnswer(7, {"r0": 9.0}, frozenset({7}), 1.5)
    assert judge_release(answer, epoch=5) == PredecessorEnded(1.5)


def test_a_process_tells_in_which_epochs_it_has_claimed_a_unit():
    # Guards against two runs of one task: an owner that has lost its unit, and has not
    # released it yet, would count as one that has ended.
    with run_instance(StoreState()) as instance:
        manager = own_units(instance, 5, 0)
        instance.claims.clear()
        answer = query_leases(instance)
        assert answer is not None and answer["claimed"] == [5]
        manager.release(0)


def test_an_owner_learns_that_it_succeeds_an_earlier_process_of_its_own():
    # Guards against tasks that wait for the longest lease: an owner that was killed is
    # back before anyone else has claimed its unit.
    store = StoreState()
    with run_instance(store) as instance:
        former = Owner(3, instance.peer_address(), instance.settings.region)
        store.put(PROGRESS, OWNER_KEY, encode_owner(former))
        own_units(instance, 5, 0)
        events = instance.meters.events.labels("predecessor_ended")
        wait_until(lambda: events._value.get() == 1)


def test_the_predecessor_is_the_last_owner_that_the_store_accepted():
    # Guards against two runs of one task: the report of an owner doesn't cover the
    # leases of one that came after it, or of a version that doesn't tell its epoch.
    store, first, second, own = (
        StoreState(),
        Owner(3, "a"),
        Owner(5, "b"),
        Owner(7, "c"),
    )
    with run_instance(store) as instance:
        copy = instance.copies[0]
        for owner in (first, second):
            store.put(PROGRESS, OWNER_KEY, encode_owner(owner))
            assert refresh_copy(copy)
        store.put(PROGRESS, OWNER_KEY, encode_owner(own))
        assert refresh_copy(copy)
        assert copy.find_predecessor(own) == second
        store.put(PROGRESS, OWNER_KEY, b"10.0.0.1:4")
        store.put(PROGRESS, OWNER_KEY, encode_owner(own._replace(epoch=9)))
        assert refresh_copy(copy)
        assert copy.find_predecessor(own._replace(epoch=9)) is None


def test_no_predecessor_is_known_if_history_was_dropped():
    # Guards against two runs of one task: owners whose records were dropped may have
    # come between the last known one and this one.
    store, own = StoreState(), Owner(7, "c")
    with run_instance(store) as instance:
        copy = instance.copies[0]
        store.put(PROGRESS, OWNER_KEY, encode_owner(Owner(3, "a")))
        assert refresh_copy(copy)
        store.put(PROGRESS, OWNER_KEY, encode_owner(own))
        store.drop_history()
        assert refresh_copy(copy)
        assert copy.find_predecessor(own) is None


def test_a_new_owner_queries_its_predecessor():
    # Guards against a report that never reaches the unit's dispatcher.
    with run_instance(StoreState()) as instance:
        manager = own_units(instance, 5, 0)
        manager.release(0)
        wait_until(lambda: not instance.owned)
        assign_until(manager, 7, {0}, lambda: bool(instance.owned))
        own = Owner(7, instance.peer_address(), instance.settings.region)
        predecessor = instance.copies[0].find_predecessor(own)
        assert predecessor == own._replace(epoch=5)
        events = instance.meters.events.labels("leases_inherited")
        wait_until(lambda: events._value.get() >= 1)
        stopping = instance.owned[0].context.stopping
        query_predecessor(instance, 0, own, predecessor, stopping)
        assert events._value.get() == 2
