"""Strong instances and reserves: which of them join the group and own units."""

import threading

from result import Err, Ok

from plantainyard.entry.group import GroupAssignment, follow_group, make_member_name
from plantainyard.entry.reserves import (
    ReserveState,
    decide_membership,
    is_reserve,
    is_strong,
    needs_reserves,
)
from plantainyard.entry.tests.harness import make_settings, run_instance, wait_until
from plantainyard.entry.topics import GROUP, PROGRESS
from plantainyard.errors import CallError, ErrorKind
from plantainyard.platform.store_messages import PartitionOwner
from standins.platform import StoreState

STRONG = [PartitionOwner(PROGRESS, unit, f"strong-{unit}/1") for unit in range(4)]
MIXED = [*STRONG[:3], PartitionOwner(PROGRESS, 3, "weak/1/reserve")]


def owner_answers(unit: int) -> bool:
    """Return that the owner of any unit answers."""
    return True


def test_an_instance_is_strong_by_its_cores_and_its_link():
    # Guards against small sites without strong instances, and against owners that lack
    # the processor or the link for a unit.
    settings = make_settings("127.0.0.1:1")
    assert is_strong(settings._replace(cores=1.07, link_mbps=1000.0))
    assert not is_strong(settings._replace(cores=0.5, link_mbps=100.0))
    assert not is_strong(settings._replace(cores=2.1, link_mbps=5.0))


def test_reserves_are_recognized_by_their_member_names():
    # Guards against a single weak instance that leaves and rejoins the group forever:
    # it owns the units, and under a strong member's name would count itself as strong.
    weak = make_member_name("edge-1", strong=False)
    assert is_reserve(weak)
    assert not is_reserve(make_member_name("edge-1", strong=True))
    assert needs_reserves([PartitionOwner(PROGRESS, 0, weak)], 1)


def test_a_reserve_joins_on_a_shortage_and_leaves_when_it_is_over():
    # Guards against half-core instances that own most units after a power loss because
    # they joined first. They fell behind with reports, lost their units and regained
    # them.
    reserve = ReserveState(0.0)

    def check(owners: list[PartitionOwner], now: float) -> bool:
        return decide_membership(reserve, lambda: Ok(owners), owner_answers, 8, now)

    assert not check([], 0.1)
    assert not check(STRONG, 1.0)
    assert not check(MIXED, 2.0)
    assert check(MIXED, 3.0)
    assert check(MIXED, 3.2)
    assert not check(STRONG, 4.0)


def test_a_reserve_joins_if_the_store_does_not_report_the_members():
    # Guards against a site that starts no more tasks: it has no strong instance left,
    # and its reserves wait for an answer that the store refuses to give.
    reserve = ReserveState(0.0)
    error = CallError(ErrorKind.REFUSED, "store.owners", "store")

    def check(now: float) -> bool:
        return decide_membership(reserve, lambda: Err(error), owner_answers, 11, now)

    assert [check(now) for now in (1.0, 3.0, 5.5)] == [False, False, True]


def test_reserves_do_not_join_at_the_end_of_a_store_outage():
    # Guards against reserves that all join when the store is back after nine seconds.
    # Thirty of them did, and each unit changed its owner twice within two seconds. They
    # must not join and leave repeatedly during the outage either.
    reserve = ReserveState(0.0)
    error = CallError(ErrorKind.LOST, "store.owners", "store")

    def is_joining(now: float) -> bool:
        found = Err(error) if now < 9.0 else Ok(STRONG)
        return decide_membership(reserve, lambda: found, owner_answers, 4, now)

    times = [0.15 * number for number in range(80)]
    joined = [now for now in times if is_joining(now)]
    assert 5.0 < joined[0] < 6.0
    assert joined == [now for now in times if joined[0] <= now < 9.0]


def test_a_reserve_joins_if_the_reported_owners_do_not_answer():
    # Guards against units that stay with a lost instance. Without a member whose call
    # makes the store reassign units, it goes on reporting the only strong instance,
    # which is gone for good; reserves relied on that, and no more tasks were started.
    reserve = ReserveState(0.0)

    def check(now: float, *answering: int) -> bool:
        return decide_membership(
            reserve, lambda: Ok(STRONG), lambda u: u in answering, 4, now
        )

    assert not any(check(number, 0, 1, 2, 3) for number in range(1, 5))
    assert not any(check(number, 3) for number in range(5, 9))
    assert [check(number) for number in range(9, 14)].count(True) == 2
    assert not check(14.0, 0, 1, 2, 3)


def test_a_reserve_owns_a_unit_until_a_strong_instance_comes():
    # Guards against a unit that stays with a weak instance: the reserve must leave the
    # group for a strong one, and announce that its unit may be taken over.
    store = StoreState()
    with run_instance(store) as instance:
        instance.settings = instance.settings._replace(cores=0.5)
        stopping = threading.Event()
        assignments: list[GroupAssignment] = []
        arguments = (instance, assignments.append, owner_answers, stopping)
        thread = threading.Thread(target=follow_group, args=arguments, daemon=True)
        thread.start()
        wait_until(lambda: assignments and assignments[-1].units)
        assert not instance.leaving.is_set()
        # The platform reassigns partitions to the remaining members when one leaves.
        instance.store.join(GROUP, "strong/1", [PROGRESS], 600.0, 0, 5.0)
        store.groups[GROUP].owners[0] = "strong/1"
        wait_until(instance.leaving.is_set)
        wait_until(lambda: list(store.groups[GROUP].members) == ["strong/1"])
        stopping.set()
        thread.join()
