"""Which instances own units."""

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
from plantainyard.platform.store import PartitionOwner
from standins.platform import StoreState

STRONG = [PartitionOwner(PROGRESS, unit, f"strong-{unit}/1") for unit in range(4)]
MIXED = [*STRONG[:3], PartitionOwner(PROGRESS, 3, "weak/1/reserve")]


def answer(unit: int) -> bool:
    """Answer for any owner."""
    return True


def test_a_small_site_has_strong_instances_and_a_narrow_link_makes_none():
    settings = make_settings("127.0.0.1:1")
    assert is_strong(settings._replace(cores=1.07, link_mbps=1000.0))
    assert not is_strong(settings._replace(cores=0.5, link_mbps=100.0))
    assert not is_strong(settings._replace(cores=2.1, link_mbps=5.0))


def test_reserves_are_told_from_strong_members_by_their_names():
    # A weak instance that is alone owns the units. Named like a strong one, it would
    # count itself as that, leave the group, and come back, for ever.
    weak = make_member_name("edge-1", strong=False)
    assert is_reserve(weak)
    assert not is_reserve(make_member_name("edge-1", strong=True))
    assert needs_reserves([PartitionOwner(PROGRESS, 0, weak)], 1)


def test_a_reserve_waits_for_the_strong_and_goes_when_they_are_back():
    # All instances come back at once after a loss of power. Half-core instances were
    # there first and owned most units; each of them fell behind its reports,
    # lost its unit and got it again.
    reserve = ReserveState(0.0)

    def look(holdings: list[PartitionOwner], now: float) -> bool:
        return decide_membership(reserve, lambda: Ok(holdings), answer, 8, now)

    assert not look([], 0.1)
    assert not look(STRONG, 1.0)
    assert not look(MIXED, 2.0)
    assert look(MIXED, 3.0)
    assert look(MIXED, 3.2)
    assert not look(STRONG, 4.0)


def test_a_reserve_comes_where_the_store_does_not_say_who_is_there():
    # The store refuses to say who is in the group. With reserves that wait for its
    # word, a site that has no strong instance left starts nothing any more.
    reserve = ReserveState(0.0)
    error = CallError(ErrorKind.REFUSED, "store.owners", "store")

    def look(now: float) -> bool:
        return decide_membership(reserve, lambda: Err(error), answer, 11, now)

    assert [look(now) for now in (1.0, 3.0, 5.5)] == [False, False, True]


def test_reserves_do_not_all_come_at_the_end_of_an_outage():
    # The store is away for nine seconds. Thirty reserves that had given up waiting for
    # its word joined in the moment of its return, and each unit changed its owner twice
    # within two seconds. Nor must they come and go all the time meanwhile.
    reserve = ReserveState(0.0)
    error = CallError(ErrorKind.LOST, "store.owners", "store")

    def joins(now: float) -> bool:
        found = Err(error) if now < 9.0 else Ok(STRONG)
        return decide_membership(reserve, lambda: found, answer, 4, now)

    times = [0.15 * number for number in range(80)]
    joined = [now for now in times if joins(now)]
    assert 5.0 < joined[0] < 6.0
    assert joined == [now for now in times if joined[0] <= now < 9.0]


def test_a_reserve_comes_for_owners_that_the_store_names_and_nobody_hears():
    # The only strong instance is gone for good. No member is left whose call makes
    # the store deal its units anew, so it goes on naming the lost one; reserves took
    # its word for it, and nothing was started any more.
    reserve = ReserveState(0.0)

    def look(now: float, *heard: int) -> bool:
        return decide_membership(
            reserve, lambda: Ok(STRONG), lambda u: u in heard, 4, now
        )

    assert not any(look(number, 0, 1, 2, 3) for number in range(1, 5))
    assert not any(look(number, 3) for number in range(5, 9))
    assert [look(number) for number in range(9, 14)].count(True) == 2
    assert not look(14.0, 0, 1, 2, 3)


def test_a_reserve_owns_a_unit_until_a_strong_instance_comes():
    # Guards against a unit that stays with a weak instance: it leaves the group for a
    # strong one, and says that the unit may be taken.
    store = StoreState()
    with run_instance(store) as instance:
        instance.settings = instance.settings._replace(cores=0.5)
        stopping = threading.Event()
        told: list[GroupAssignment] = []
        arguments = (instance, told.append, answer, stopping)
        thread = threading.Thread(target=follow_group, args=arguments, daemon=True)
        thread.start()
        wait_until(lambda: told and told[-1].units)
        assert not instance.leaving.is_set()
        # The platform deals partitions to those who are there once one of them leaves.
        instance.store.join(GROUP, "strong/1", [PROGRESS], 600.0, 0, 5.0)
        store.groups[GROUP].owners[0] = "strong/1"
        wait_until(instance.leaving.is_set)
        wait_until(lambda: list(store.groups[GROUP].members) == ["strong/1"])
        stopping.set()
        thread.join()
