"""Tests of runs that a new owner can't find, at runners that it can't reach."""

from plantainyard.dispatch import EntryChanged, list_lease_ends
from plantainyard.dispatch.tests.test_restarted_runners import (
    exchange_reachable_runner,
    restart_beside_a_renewal,
)
from plantainyard.dispatch.tests.test_takeovers import start_long_running
from plantainyard.dispatch.tests.world import World, make_step

LEASE_S = 3.8
ANY_LEASE_S = 5.5
"""Time after which every lease that was granted before has ended."""

LOST_AFTER_S = 9.0
"""Time after which users count a long-running task without a run as lost."""


def build_world() -> World:
    return World(runners=4, lease_s=LEASE_S)


def find_assigned_runner(world: World) -> str:
    """Return the name of the runner that the stored run of the task is assigned to."""
    (progress,) = world.replica.jobs["a"].steps.values()
    return progress.tasks[0].runner.partition("@")[0]


def lose_two_runs(world: World) -> float:
    """Lose a run, and the next one before its start arrives; return the first loss."""
    home = start_long_running(world)
    world.lose_runner(home)
    lost_at = world.now
    world.orders_to_delay = 1000
    while find_assigned_runner(world) == home:
        world.run(0.1)
    world.lose_runner(find_assigned_runner(world))
    world.orders_to_delay = 0
    return lost_at


def assert_started_in_time(world: World, lost_at: float) -> None:
    world.run(lost_at + LOST_AFTER_S - world.now)
    assert [at for at, _, _ in world.list_starts("a") if at > lost_at]
    assert len(world.list_running("a")) == 1


def test_a_run_that_never_began_does_not_hold_its_task_after_a_takeover():
    # Guards against a task that counts as lost: a run was stored and its start reached
    # nobody, its runner is gone, and a new owner waits for a lease longer than any.
    world = build_world()
    lost_at = lose_two_runs(world)
    world.run(0.3)
    world.change_owner()
    assert_started_in_time(world, lost_at)


def test_each_further_owner_does_not_extend_the_wait_for_a_lost_run():
    # Guards against a task that counts as lost: each of several new owners in a row
    # waits anew for a lease that ended under the first of them.
    world = build_world()
    lost_at = lose_two_runs(world)
    for _ in range(2):
        world.run(0.3)
        world.change_owner()
        world.run(2.6)
    world.change_owner()
    assert_started_in_time(world, lost_at)


def test_a_reported_lease_bounds_the_wait_for_a_run_that_never_began():
    # Guards against a task that counts as lost: a run was stored and its start reached
    # nobody, and a new owner waits for the longest lease although its predecessor has
    # reported the one that it granted.
    world = build_world()
    lost_at = lose_two_runs(world)
    world.run(0.3)
    world.replace_owner()
    assert_started_in_time(world, lost_at)


def test_reported_leases_are_inherited_by_each_further_owner():
    # Guards against a task that counts as lost: each of several new owners in a row
    # waits anew although its predecessor has reported what it inherited.
    world = build_world()
    lost_at = lose_two_runs(world)
    for _ in range(2):
        world.run(0.3)
        world.replace_owner()
        world.run(2.6)
    world.replace_owner()
    assert_started_in_time(world, lost_at)


def test_a_report_covers_the_leases_of_an_owner_that_is_still_cut_off():
    # Guards against two runs of one task: an owner is cut off together with a runner
    # and goes on renewing its lease. The next owner never reaches that runner, is
    # replaced too, and reports; its own leases alone would not cover the first one's.
    world = build_world()
    home = start_long_running(world)
    world.cut_off_owner(home)
    world.run(1.0)
    world.replace_owner()
    for _ in range(130):
        world.run(0.1)
        assert len(world.list_running("a")) <= 1
    assert world.runners[home].ends[-1][3] == "lapsed"
    assert len(world.list_running("a")) == 1


def test_a_runner_that_is_lost_after_a_takeover_blocks_its_tasks_for_one_lease():
    # Guards against a task that counts as lost: its runner has answered the new owner,
    # which fences the predecessor there, and is then lost.
    world = build_world()
    home = start_long_running(world)
    world.change_owner()
    world.run(0.3)
    world.lose_runner(home)
    assert_started_in_time(world, world.now)


def test_a_runner_that_answers_a_new_owner_keeps_a_lease_granted_just_before():
    # Guards against two runs of one task: the predecessor has renewed the lease just
    # before its successor's first call, and then nobody reaches the runner.
    world = build_world()
    home = start_long_running(world)
    world.runners[home].lease_until_ms = world.runners[home].clock_ms(world.now) + 5000
    world.change_owner()
    world.unreachable.add(home)
    for _ in range(80):
        world.run(0.1)
        assert len(world.list_running("a")) <= 1
    assert world.runners[home].ends[-1][3] == "lapsed"
    assert len(world.list_running("a")) == 1


def test_a_runner_that_the_predecessor_has_forgotten_is_not_taken_to_be_free():
    # Guards against a task that is done twice: the predecessor knows its end, but could
    # not store it, and has forgotten the runner, whose entry was removed.
    world = build_world()
    home = start_long_running(world)
    former = world.cut_off_owner(home)
    del former.state.runners[next(k for k in former.state.runners if home in k)]
    world.end_owner(former)
    world.run(1.0)
    assert len(world.list_starts("a")) == 1


def test_a_runner_that_was_forgotten_and_came_back_keeps_its_lease_in_the_report():
    # Guards against two runs of one task: an end could not be stored, the entry of the
    # runner was removed and came back, and a successor is told that no lease remains.
    world = World(runners=2)
    world.submit("a", make_step())
    world.run(0.5)
    (home,) = [name for name, runner in world.runners.items() if runner.running]
    world.store_down = True
    world.run(1.0)
    world.send_event(EntryChanged(home, None))
    world.run(1.5)
    world.publish_entries()
    world.run(0.2)
    world.store_down = False
    former = world.cut_off_owner(home)
    remaining_s = list_lease_ends(former.state.runners.values())[home] - world.now
    runner = world.runners[home]
    left_ms = runner.lease_until_ms - runner.clock_ms(world.now)
    assert left_ms > 0
    assert remaining_s * 1000 >= left_ms


def test_a_runner_that_has_left_is_not_called_until_its_leases_end():
    # Guards against calls that nobody answers: a runner without an entry is kept while
    # its leases last, and there is nothing to learn from it.
    world = World(runners=2)
    world.submit("a", make_step())
    world.run(1.3)
    (home,) = [name for name, runner in world.runners.items() if runner.started]
    assert world.final_state("a") == "completed"
    world.lose_runner(home)
    world.run(0.5)
    (kept,) = [r for r in world.state.runners.values() if not r.registered]
    for _ in range(20):
        world.run(0.1)
        assert kept.incarnation in world.state.runners
        called = {action.entry.runner for _, action in world.pending_reports}
        assert home not in called


LONGEST_WAIT_S = 10.35
"""Longest lease at a runner that can't be reached, with drift and slack."""

LOST_PER_OWNER_S = 1.0
"""Part of each ownership after which the wait begins anew."""


def play_killed_owners(world: World, lifetime_s: float) -> float:
    """Kill owners until the task runs again; return the time that it took."""
    (home,) = (name for name, runner in world.runners.items() if runner.running)
    world.unreachable.add(home)
    lost_at = world.now
    while world.now < lost_at + 60.0:
        world.change_owner()
        for _ in range(round(lifetime_s / 0.1)):
            world.run(0.1)
            started = [at for at, _, _ in world.list_starts("a") if at > lost_at]
            if started:
                return started[0] - lost_at
    return float("inf")


def test_owners_that_are_killed_in_series_go_on_with_one_wait():
    # Guards against a task that never starts again: its runner can't be reached, and
    # each new owner waits anew for the longest lease, longer than it lives.
    lifetime_s = 2.5
    world = build_world()
    start_long_running(world)
    waited_s = play_killed_owners(world, lifetime_s)
    useful_share = (lifetime_s - LOST_PER_OWNER_S) / lifetime_s
    assert LEASE_S <= waited_s < LONGEST_WAIT_S / useful_share


def lose_runner_and_owner(world: World) -> float:
    """Lose the runner of a task, and its owner at once; return the time."""
    world.lose_runner(start_long_running(world))
    return world.now


def test_a_task_starts_again_in_time_if_its_owner_was_killed_and_is_back():
    # Guards against a task that counts as lost: the process that could renew the leases
    # at its lost runner has ended, and yet its successor waits for the longest lease.
    world = build_world()
    lost_at = lose_runner_and_owner(world)
    world.run(2.0)
    world.restart_owner(ended_s=1.5)
    assert_started_in_time(world, lost_at)


def test_owners_that_follow_each_other_may_be_killed_soon():
    # Guards against a task that counts as lost: the killed owner had taken over from
    # one that reported its leases, and they had ended, but not the longest lease.
    world = build_world()
    home = start_long_running(world)
    world.replace_owner()
    world.run(ANY_LEASE_S)
    world.submit("b", make_step())
    world.run(0.1)
    world.lose_runner(home)
    lost_at = world.now
    world.run(2.0)
    world.restart_owner(ended_s=1.5)
    assert_started_in_time(world, lost_at)


def test_an_owner_that_is_killed_after_a_killed_one_extends_no_wait():
    # Guards against a task that counts as lost: its owner is killed and is back, and
    # the next one is killed too, before all leases that it inherited have ended.
    world = build_world()
    world.run(1.0)
    lost_at = lose_runner_and_owner(world)
    world.run(0.5)
    world.restart_owner(ended_s=0.3)
    world.submit("b", make_step())
    world.run(0.3)
    world.restart_owner(ended_s=0.3)
    assert_started_in_time(world, lost_at)


def test_a_lease_of_an_owner_that_has_ended_is_waited_for():
    # Guards against two runs of one task: the process has ended, and its runner, which
    # can't be reached, runs on until the lease that was granted last has ended.
    world = World(runners=2)
    world.unreachable.add(start_long_running(world))
    world.restart_owner()
    assert_one_run_at_most(world)
    assert len(world.list_running("a")) == 1


def test_the_end_of_an_owner_tells_nothing_of_the_one_before():
    # Guards against two runs of one task: the first owner is cut off with the runner
    # and renews the lease there, while the second one is killed and is back.
    world = World(runners=2)
    world.run(1.0)
    home = start_long_running(world)
    former = world.cut_off_owner(home)
    world.submit("b", make_step())
    world.run(1.0)
    world.restart_owner()
    for _ in range(120):
        world.run(0.1)
        assert len(world.list_running("a")) <= 1
    assert world.former_owners == [former]
    assert len(world.list_running("a")) == 1


def test_a_lease_of_a_restarted_runner_outlasts_the_end_of_its_owner():
    # Guards against two runs of one task: a renewal for the incarnation before has
    # granted the new one its longest lease, and its owner is killed and is back.
    world = World(runners=2)
    home = restart_beside_a_renewal(world)
    exchange_reachable_runner(world, home)
    world.restart_owner()
    assert_one_run_at_most(world)
    assert world.runners[home].ends[-1][3] == "lapsed"


def await_end_of_bound(world: World) -> tuple[str, World]:
    """Cut an owner off with the runner of its task until a stored bound nearly ends.

    Returns
    -------
    tuple of str and World
        The runner, on which the task still runs, and the owner that was cut off.
    """
    home = start_long_running(world)
    former = world.cut_off_owner(home)
    while not 0 < min(world.replica.bounds.left_s.values(), default=0.0) < 1.4:
        world.run(0.1)
    assert world.runners[home].running
    return home, former


def assert_one_run_at_most(world: World) -> None:
    for _ in range(120):
        world.run(0.1)
        assert len(world.list_running("a")) <= 1


def test_no_lease_exceeds_a_stored_bound_until_the_store_has_another():
    # Guards against two runs of one task: a runner answers again, its owner renews the
    # leases there and is lost, and the next one trusts the bound stored before.
    world = build_world()
    home, former = await_end_of_bound(world)
    world.store_down = True
    world.end_owner(former)
    world.unreachable.discard(home)
    world.run(0.8)
    world.unreachable.add(home)
    world.store_down = False
    world.change_owner()
    assert_one_run_at_most(world)


def test_bounds_of_an_owner_before_the_last_one_do_not_count():
    # Guards against two runs of one task: the owner in between stored no bounds, and
    # has renewed the leases at the runner since.
    world = build_world()
    home, former = await_end_of_bound(world)
    world.end_owner(former)
    bounds = world.stored["bounds"]
    world.unreachable.discard(home)
    world.change_owner()
    world.run(0.3)
    world.store("bounds", bounds)
    world.unreachable.add(home)
    world.change_owner()
    assert_one_run_at_most(world)
