"""Tests of runs that aren't known to have begun when their owner is lost."""

from plantainyard.dispatch.tests.test_takeovers import start_long_running
from plantainyard.dispatch.tests.world import World, make_step
from standins.platform import RunnerState

LEASE_S = 3.8


def restart_at_last_runner(world: World, home: str) -> str:
    """Let a long-running task lose its runner, and order its next run at the last one.

    Returns
    -------
    str
        That runner, whose answer to the start is still under way.
    """
    world.has_slow_answers = True
    world.lose_runner(home)
    (last,) = world.runners
    while not [start for start in world.list_starts("a") if start[2] == 2]:
        world.run(0.1)
    return last


def test_an_owner_that_is_cut_off_lets_a_run_end_that_it_could_not_store_as_seen():
    # Guards against two runs of one task: its owner and its runner are cut off when the
    # run begins, the owner renews the lease, and its successor relies on the bound that
    # was stored before the run was seen.
    world = World(runners=2, lease_s=LEASE_S)
    last = restart_at_last_runner(world, start_long_running(world))
    world.runners["r9"] = RunnerState("r9", {"a": 0.0})
    world.cut_off_owner(last)
    world.publish_entries()
    for _ in range(100):
        world.run(0.1)
        assert len(world.list_running("a")) <= 1
    assert list(world.runners["r9"].running) == ["a.0.0.0"]


def test_neighbours_of_a_run_that_could_not_be_stored_as_seen_go_on():
    # Guards against the loss of everything at a runner: the store goes down just after
    # a task was started there again, and no lease beyond its bound may be granted.
    world = World(runners=2, lease_s=LEASE_S)
    home = start_long_running(world)
    for runner in world.runners.values():
        runner.durations["b"] = 0.0
    world.submit("b", make_step(2, long_running=True, max_per_runner=1))
    world.run(3.0)
    last = restart_at_last_runner(world, home)
    world.store_down = True
    world.run(9.0)
    assert world.runners[last].running.keys() & {"b.0.0.0", "b.0.0.1"}
    assert not [end for end in world.runners[last].ends if end[3] == "lapsed"]
    world.store_down = False
    world.run(3.0)
    assert len(world.list_running("a")) == 1


def test_a_run_that_is_stored_as_seen_keeps_its_lease():
    # Guards against a task that is interrupted again and again: the bound of its run
    # must be lifted once the run was seen.
    world = World(runners=2, lease_s=LEASE_S)
    restart_at_last_runner(world, start_long_running(world))
    world.run(20.0)
    assert len(world.list_starts("a")) == 1
    assert len(world.list_running("a")) == 1
