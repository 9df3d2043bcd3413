"""Tests of leases at runners that start again under their id, in virtual time."""

from plantainyard.dispatch.tests.test_takeovers import start_long_running
from plantainyard.dispatch.tests.world import World, make_step

OLD_AGE_S = 3.0
"""Time for which the first incarnation runs the task, so that its clock is ahead."""

LONGEST_LEASE_S = 10.0


def restart_beside_a_renewal(world: World) -> str:
    """Let a new incarnation answer a renewal that was sent to the one before it.

    Returns
    -------
    str
        The runner, at which the task runs again.
    """
    world.unreachable.add("r1")
    home = start_long_running(world)
    world.run(OLD_AGE_S)
    world.runners[home].restart(world.now)
    world.run(0.1)
    world.publish_entries()
    while not world.list_running("a"):
        world.run(0.1)
    return home


def exchange_reachable_runner(world: World, home: str) -> None:
    world.unreachable = {home}


def assert_runs_once_until_it_moves(world: World, home: str) -> None:
    """Let the first run lapse; the task must then run at the other runner alone."""
    for _ in range(round(1.5 * LONGEST_LEASE_S * 10)):
        world.run(0.1)
        assert len(world.list_running("a")) <= 1
    assert world.runners[home].ends[-1][3] == "lapsed"
    assert len(world.list_running("a")) == 1


def test_a_renewal_that_a_new_incarnation_answers_is_counted_as_its_longest_lease():
    # Guards against two runs of one task: a renewal sent before a runner restarted
    # carries a time of the old clock, far ahead of the new one.
    world = World(runners=2)
    home = restart_beside_a_renewal(world)
    exchange_reachable_runner(world, home)
    assert_runs_once_until_it_moves(world, home)


def test_a_successor_counts_the_longest_lease_of_a_new_incarnation():
    # Guards against two runs of one task: the same renewal, and a change of owner
    # without a report before the runner is lost.
    world = World(runners=2)
    home = restart_beside_a_renewal(world)
    world.change_owner()
    world.run(0.3)
    exchange_reachable_runner(world, home)
    assert_runs_once_until_it_moves(world, home)


def test_a_report_counts_the_longest_lease_of_a_new_incarnation():
    # Guards against two runs of one task: the same renewal, and a predecessor that
    # reports only what it granted to the new incarnation.
    world = World(runners=2)
    home = restart_beside_a_renewal(world)
    world.replace_owner()
    world.run(0.3)
    exchange_reachable_runner(world, home)
    assert_runs_once_until_it_moves(world, home)


def test_a_second_successor_counts_the_longest_lease_of_a_new_incarnation():
    # Guards against two runs of one task: the same renewal, two changes of owner, and
    # a commit of the owner in between, which hasn't read the entry of the runner yet.
    world = World(runners=2)
    home = restart_beside_a_renewal(world)
    world.entries_published = False
    world.change_owner()
    world.submit("b", make_step())
    world.cancel("b")
    world.entries_published = True
    world.change_owner()
    world.run(0.3)
    exchange_reachable_runner(world, home)
    assert_runs_once_until_it_moves(world, home)


def finish_unread(world: World) -> str:
    """Let a new incarnation complete a task before its owner knows of it.

    Returns
    -------
    str
        The runner; the owner's request for a report has gone to the one before.
    """
    world.submit("before", make_step(2))
    world.run(2.0)
    assert world.final_state("before") == "completed"
    world.run(1.0)
    world.entries_published = False
    world.runners["r0"].restart(world.now)
    world.submit("a", make_step())
    world.unreachable.add("r0")
    assert len(world.list_running("a")) == 1
    world.run(1.2)
    assert [end[3] for end in world.runners["r0"].ends] == ["done"]
    world.unreachable.clear()
    return "r0"


def test_unread_ends_of_a_new_incarnation_are_not_acknowledged():
    # Guards against a second run of a task that is done: a runner is back under its id
    # before its owner has missed anything but the request under way, and the next one
    # carries the number of an end of before.
    world = World(runners=1)
    home = finish_unread(world)
    world.run(0.5)
    assert [end[3] for end in world.runners[home].ends] == ["done"]
    world.entries_published = True
    world.publish_entries()
    world.run(2.0)
    assert world.final_state("a") == "completed"
    assert len(world.list_starts("a")) == 1


def test_ends_are_acknowledged_again_after_an_unanswered_request():
    # Guards against a runner that keeps the ends of all runs for good.
    world = World(runners=1)
    world.submit("a", make_step(2))
    world.run(0.5)
    world.unreachable.add("r0")
    world.run(0.3)
    world.unreachable.clear()
    world.run(3.0)
    assert world.final_state("a") == "completed"
    assert world.runners["r0"].ends == []
