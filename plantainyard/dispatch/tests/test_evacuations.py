"""Tests that nothing starts in evacuated failure domains, and that nothing is lost."""

import pytest

from plantainyard.dispatch import LoadsReceived, OrderKind, ReportFailed
from plantainyard.dispatch.load import NO_RUNNERS_LOAD, Load
from plantainyard.dispatch.tests.world import World, make_step
from plantainyard.dispatch.timing import TimePart

DEADLINE_S = 5.0
"""Time after which an evacuation must be in force."""

AGE_S = 4.0
"""Age of a reading above which nothing may start."""


def build_world(domains: str = "aabb", **limits: float) -> World:
    """Return a world with one runner for each letter, which names its domain."""
    world = World(runners=len(domains), evacuation_age_s=AGE_S, **limits)
    for runner, domain in zip(world.runners.values(), domains, strict=True):
        runner.domain = domain
    world.publish_entries()
    world.run(0.2)
    return world


def evacuate(world: World, *domains: str) -> None:
    """Request an evacuation, and let the bound pass after which it is in force."""
    world.evacuated |= set(domains)
    world.run(DEADLINE_S)


def list_started(world: World, since: float) -> set[str]:
    """Return the domains in which runs have started since a time."""
    return {
        runner.domain
        for runner in world.runners.values()
        for at, _, _ in runner.started
        if at > since
    }


def test_work_goes_to_other_domains_and_what_runs_goes_on():
    # Guards against starts in a domain that operators are emptying, and against work
    # that is thrown away there.
    world = build_world("ab")
    for runner in world.runners.values():
        runner.durations["a"] = 8.0
    world.submit("a", make_step(16, cpu=8000))
    world.run(0.5)
    evacuate(world, "a")
    evacuated_at = world.now
    world.submit("b", make_step(8, cpu=8000))
    world.run(6.0)
    assert world.final_state("a") == world.final_state("b") == "completed"
    assert list_started(world, evacuated_at) == {"b"}
    assert not world.given_up


def test_work_waits_while_all_domains_are_evacuated_and_goes_on_afterwards():
    # Guards against work that is lost, or that never starts again.
    world = build_world()
    evacuate(world, "a", "b")
    evacuated_at = world.now
    world.submit("a", make_step(4))
    world.submit("gang", make_step(3, gang=True))
    world.run(5.0)
    assert not list_started(world, evacuated_at)
    (step,) = world.state.jobs["a"].steps.values()
    assert step.wait_reason == TimePart.WAITING_EVACUATION
    world.evacuated.clear()
    world.run(5.0)
    assert world.final_state("a") == world.final_state("gang") == "completed"


def test_an_interrupted_long_running_task_starts_in_another_domain():
    # Guards against a further start of a task in the domain that it was lost in.
    world = build_world("aab", lease_s=3.8)
    for runner in world.runners.values():
        runner.durations["a"] = 0.0
    world.submit("a", make_step(2, cpu=40_000, long_running=True))
    world.run(4.0)
    world.evacuated.add("a")
    world.run(1.5)
    home = next(n for n, r in world.runners.items() if r.running and r.domain == "a")
    lost_at = world.now
    world.lose_runner(home)
    world.run(8.0)
    assert list_started(world, lost_at) == {"b"}
    assert len(world.list_running("a")) == 2


def test_a_stored_assignment_is_not_sent_once_its_domain_is_evacuated():
    # Guards against a start whose assignment was stored before the evacuation was read.
    world = build_world("a")
    world.store_down = True
    world.submit("a", make_step())
    world.run(0.2)
    assert world.pending_commit is not None
    world.evacuated.add("a")
    world.evacuations_due_at = 0.0
    world.read_evacuations()
    world.store_down = False
    world.run(3.0)
    assert not list_started(world, 0.0)
    world.evacuated.clear()
    world.run(4.0)
    assert world.final_state("a") == "completed"


def test_an_unanswered_start_is_not_repeated_in_an_evacuated_domain():
    # Guards against the copies of an unanswered start, which go on for seconds.
    world = build_world("ab")
    world.orders_to_delay = 1000
    world.submit("a", make_step())
    world.run(0.2)
    (first,) = world.delayed_orders
    domain = world.runners[first[0].entry.runner].domain
    world.evacuated.add(domain)
    world.run(1.2)
    world.orders_to_delay = 0
    copies = len(world.delayed_orders)
    world.run(6.0)
    assert len(world.delayed_orders) == copies
    assert list_started(world, 0.0) == {"a", "b"} - {domain}
    assert world.final_state("a") == "completed"


def test_a_new_owner_starts_nothing_before_it_has_read_the_evacuations():
    # Guards against a change of owner by which an evacuation is forgotten.
    world = build_world()
    evacuate(world, "a")
    world.submit("a", make_step(400, cpu=30_000))
    world.run(1.0)
    evacuated_at = world.now
    for _ in range(3):
        world.change_owner()
        world.run(1.0)
    assert list_started(world, evacuated_at) <= {"b"}


def test_nothing_starts_on_an_old_reading():
    # Guards against an owner whose records are stored while its reads go unanswered.
    world = build_world()
    world.evacuations_due_at = float("inf")
    world.run(AGE_S + 1.1)
    world.submit("a", make_step())
    world.run(1.0)
    assert not list_started(world, 0.0)
    world.evacuations_due_at = 0.0
    world.run(2.0)
    assert world.final_state("a") == "completed"


def test_a_start_is_not_sent_if_the_reading_grows_old_while_it_is_stored():
    # Guards against a store that answers an append after an outage in which operators
    # could request an evacuation.
    world = build_world("a")
    world.store_down = True
    world.submit("a", make_step())
    world.run(AGE_S + 1.1)
    world.store_down, world.evacuated = False, {"a"}
    world.run(4.0)
    assert not list_started(world, 0.0)


@pytest.mark.parametrize("long_running", [False, True])
def test_a_unit_whose_runners_are_all_evacuated_hands_its_jobs_over(long_running):
    # Guards against jobs that wait for the end of an evacuation beside free units.
    world = build_world("aa")
    evacuate(world, "a")
    assert world.state.load.gap == NO_RUNNERS_LOAD.gap
    assert not any(world.state.load.slots)
    world.send_event(LoadsReceived({1: Load(0.1, 0.0, 0.0, 0.0, 32_000)}))
    world.submit("a", make_step(2, long_running=long_running))
    world.run(1.0)
    assert {action.unit for action in world.forwarded} == {1}


def test_a_run_in_an_evacuated_domain_is_neither_moved_nor_forgotten():
    # Guards against reports of an evacuated runner that are taken for those of one that
    # is gone.
    world = build_world("a")
    world.runners["r0"].durations["a"] = 12.0
    world.submit("a", make_step(saves_progress=True))
    world.run(0.5)
    world.evacuated.add("a")
    world.run(14.0)
    assert world.final_state("a") == "completed"
    assert [run for _, _, run in world.list_starts("a")] == [1]


def test_a_silent_runner_of_an_evacuated_domain_gets_no_start():
    # Guards against a start that a runner gets as soon as it answers again.
    world = build_world("a")
    evacuate(world, "a")
    world.submit("a", make_step())
    incarnation = next(iter(world.state.runners))
    for _ in range(3):
        world.send_event(ReportFailed(incarnation, world.now, "no answer"))
    world.run(3.0)
    assert not list_started(world, 0.0)
    assert OrderKind.START not in {order.kind for order, _ in world.delayed_orders}


def test_a_runner_that_comes_during_an_evacuation_gets_no_start():
    # Guards against starts at a runner whose entry is newer than the last reading.
    world = build_world("a")
    evacuate(world, "a")
    world.evacuations_due_at = world.now + 3.0
    world.runners["r0"].restart(world.now)
    world.publish_entries()
    world.submit("a", make_step())
    world.run(2.5)
    assert not list_started(world, 0.0)


def test_an_unanswered_start_is_not_repeated_on_an_old_reading():
    # Guards against copies of a start that an owner without the store goes on sending
    # while operators request an evacuation.
    world = build_world("a", lease_s=5.0)
    world.losing_orders = {"r0"}
    world.evacuations_due_at = float("inf")
    world.submit("a", make_step())
    world.run(AGE_S)
    copies = len(world.delayed_orders)
    world.run(0.9)
    assert len(world.delayed_orders) == copies
