"""Tests of lost owners, expired leases and restarted runners, in virtual time."""

import pytest

from plantainyard.batch.records import CANCEL_VALUE, make_cancel_key
from plantainyard.dispatch import OrderKind, Tick, choose_lease
from plantainyard.dispatch.tests.world import World, make_step


def start_long_running(world: World) -> str:
    """Let a long-running task start; return the name of its runner."""
    for runner in world.runners.values():
        runner.durations = {"a": 0.0}
    world.submit("a", make_step(long_running=True))
    world.run(1.0)
    (home,) = [n for n, r in world.runners.items() if r.running]
    return home


def test_a_successor_takes_over_what_runs():
    # Guards against tasks that are started again after the loss of an owner: its
    # successor must find them at their runners and renew their leases.
    world = World()
    world.runners["r0"].durations = {"a": 8.0}
    world.runners["r1"].durations = world.runners["r2"].durations = {"a": 8.0}
    world.submit("a", make_step(3))
    world.run(1.0)
    world.change_owner()
    world.run(8.5)
    assert len(world.list_starts("a")) == 3
    assert world.final_state("a") == "completed"


def test_a_successor_applies_ends_that_were_not_stored():
    # Guards against the end of a task being lost because it ends while there is no
    # owner. The runner lists the end until it is acknowledged; it must count once.
    world = World(runners=1)
    world.submit("a", make_step())
    world.run(0.3)
    world.store_down = True
    world.run(2.0)
    world.store_down = False
    world.change_owner()
    world.run(0.5)
    assert len(world.list_starts("a")) == 1
    assert world.final_state("a") == "completed"


def test_a_silent_runner_blocks_its_tasks_until_their_lease_expires():
    # Guards against two runs of one task: an unreachable runner continues its runs, so
    # the task may start elsewhere only after the lease has expired.
    world = World(runners=2)
    home = start_long_running(world)
    world.unreachable.add(home)
    for _ in range(100):
        world.run(0.1)
        assert len(world.list_running("a")) <= 1
    (new,) = [n for n, r in world.runners.items() if r.running]
    assert new != home


def test_cancelled_work_at_an_unreachable_runner_ends_within_the_bound():
    # Guards against cancelled tasks that run for longer than the promised 4.2 s: if
    # regions are cut off from each other when a job is cancelled, no stop reaches its
    # tasks on the other side, and leases of 5 s would let them continue.
    world = World(runners=1, lease_s=choose_lease(10.0, 4.2))
    world.unreachable.add(start_long_running(world))
    world.cancel("a")
    world.run(4.2)
    assert world.list_running("a") == []


def test_runs_survive_a_change_of_owner_if_the_bound_is_short():
    # Guards against a loss of all runs with every change of owner: at a site that
    # bounds cancelled work at 1.2 s, leases that short would expire before a takeover.
    world = World(runners=1, lease_s=choose_lease(10.0, 1.2))
    start_long_running(world)
    world.pending_reports = []
    for _ in range(17):
        world.now += 0.1
        world.runners["r0"].advance(world.now)
    world.change_owner()
    world.run(1.0)
    assert len(world.list_starts("a")) == 1
    assert len(world.list_running("a")) == 1


def test_a_successor_waits_for_the_lease_of_a_runner_that_it_never_reached():
    # Guards against two runs of one task: if the owner is lost while a runner is cut
    # off, its successor knows from the store that a task is there, but not its lease.
    world = World(runners=2)
    home = start_long_running(world)
    world.unreachable.add(home)
    world.change_owner()
    for _ in range(130):
        world.run(0.1)
        assert len(world.list_running("a")) <= 1
    assert len(world.list_running("a")) == 1


def test_a_delayed_start_after_a_change_of_owner_is_refused():
    # Guards against two runs of one task: a start isn't answered and is carried out
    # seconds later, after a successor has queried that runner and started the task
    # elsewhere.
    world = World(runners=2)
    world.orders_to_delay = 100
    world.submit("a", make_step())
    world.run(0.3)
    world.orders_to_delay = 0
    world.change_owner()
    world.run(0.3)
    assert len(world.list_running("a")) == 1
    world.deliver_delayed()
    assert len(world.list_running("a")) == 1
    world.run(3.0)
    assert len(world.list_starts("a")) == 1


def test_a_lost_answer_to_a_start_is_resolved_by_repeating_it():
    # Guards against a second run after the answer to a start was lost: the start is
    # repeated at the same runner and finds the run there.
    world = World()
    world.answers_to_lose = 1
    world.submit("a", make_step())
    world.run(3.0)
    assert len(world.list_starts("a")) == 1
    assert world.final_state("a") == "completed"


def test_a_start_in_transit_to_an_old_incarnation_is_stopped_at_the_new_one():
    # Guards against two runs of one task: a runner restarts while a start is in
    # transit, and its new incarnation carries it out. The task must not start elsewhere
    # until that is ruled out.
    world = World(runners=2)
    world.orders_to_delay = 1
    world.submit("a", make_step())
    world.run(0.1)
    ((order, _),) = world.delayed_orders
    home = order.entry.runner
    world.runners[home].restart(world.now)
    world.deliver_delayed()
    world.publish_entries()
    for _ in range(30):
        world.run(0.1)
        assert len(set(world.list_running("a"))) == len(world.list_running("a"))
    assert world.final_state("a") == "completed"


def test_tasks_of_a_restarted_runner_are_requeued_at_once():
    # Guards against a needless wait for leases: a crash ends all runs of a runner, and
    # the entry of its new incarnation proves it.
    world = World(runners=2)
    world.submit("a", make_step(4))
    world.run(0.4)
    world.runners["r0"].restart(world.now)
    world.publish_entries()
    world.run(3.0)
    assert world.final_state("a") == "completed"


def test_attempts_are_counted_across_owners():
    # Guards against a task that gets its full number of attempts from every new owner.
    world = World()
    for runner in world.runners.values():
        runner.faults.fails_all_runs = True
    world.submit("a", make_step(), max_attempts=2)
    world.run(0.4)
    assert len(world.list_starts("a")) >= 1
    world.change_owner()
    world.run(15.0)
    world.change_owner()
    world.run(15.0)
    assert len(world.list_starts("a")) == 2
    assert world.final_state("a") == "failed"


def test_progress_survives_without_superseded_records():
    # Guards against progress that is lost when only the newest record of each key is
    # kept: a new owner must be able to continue from those.
    world = World()
    world.submit("a", make_step(3), make_step(3, after=(0,)))
    world.run(1.5)
    world.change_owner()
    world.run(4.0)
    assert len(world.list_starts("a")) == 6
    assert world.final_state("a") == "completed"


def test_leases_expire_if_an_owner_is_cut_off_with_a_runner():
    # Guards against two runs of one task: an owner is cut off together with a runner
    # from the store and all others. Its successor waits for the longest lease and
    # starts the task elsewhere; by then the old owner must not have renewed the first
    # run.
    world = World(runners=1, longest_lease_s=6.0)
    world.runners["r0"].durations = {"a": 0.0}
    world.submit("a", make_step(long_running=True))
    world.run(1.0)
    world.renewing = False
    cut_at = world.now
    world.run(7.0)
    assert world.list_running("a") == []
    lapse = world.runners["r0"].ends[-1] if world.runners["r0"].ends else None
    assert lapse is None or lapse[3] == "lapsed"
    assert world.now - cut_at < 6.0 * (1 + world.limits.clock_drift) + 1.0


def test_leases_are_renewed_during_an_outage_of_the_store():
    # Guards against runs that end with an outage of the store, during which nobody can
    # take over.
    world = World(runners=1)
    world.runners["r0"].durations = {"a": 0.0}
    world.submit("a", make_step(long_running=True))
    world.run(1.0)
    world.store_down = True
    world.run(9.0)
    assert len(world.list_starts("a")) == 1
    assert len(world.list_running("a")) == 1


def test_a_start_that_a_new_incarnation_carried_out_is_stopped_there():
    # Guards against two runs of one task: a runner has restarted and its new entry
    # isn't read yet. A start addressed to the old incarnation is carried out by the new
    # one. When the entry is read, that task must not count as ended with the old
    # incarnation and start elsewhere.
    world = World(runners=2)
    for runner in world.runners.values():
        runner.durations = {"a": 5.0}
        runner.restart(world.now)
    world.submit("a", make_step(2))
    assert len(world.list_running("a")) == 2
    world.publish_entries()
    for _ in range(80):
        assert len(set(world.list_running("a"))) == len(world.list_running("a"))
        world.run(0.1)
    assert world.final_state("a") == "completed"


def test_a_cancellation_stored_between_two_owners_is_carried_out():
    world = World()
    world.runners["r0"].durations = {"a": 0.0}
    world.submit("a", make_step(2, long_running=True))
    world.run(0.5)
    world.store(make_cancel_key("a"), CANCEL_VALUE)
    world.change_owner()
    world.run(1.0)
    assert world.list_running("a") == []
    assert world.final_state("a") == "cancelled"


def test_a_single_missed_report_does_not_exclude_a_runner():
    # Guards against tasks that wait for seconds although runners are free: runners
    # leave one call in twenty unanswered, and each would make a runner count as silent.
    world = World(runners=1)
    world.submit("b", make_step())
    world.run(0.3)
    world.unreachable.add("r0")
    world.run(0.1)
    world.unreachable.clear()
    world.submit("a", make_step())
    world.run(0.1)
    assert len(world.list_starts("a")) == 1


def test_a_refused_repetition_does_not_requeue_a_task_that_may_still_start():
    # Guards against two runs of one task: a start isn't answered, its repetition is
    # refused because of a temporary fault, and the task starts elsewhere. Without a
    # stop before that, the first copy of the start may still be carried out.
    world = World(runners=2)
    for runner in world.runners.values():
        runner.durations = {"a": 8.0}
        runner.faults.refuses_starts = True
    world.orders_to_delay = 1
    world.submit("a", make_step())
    world.run(0.8)
    ((order, _),) = world.delayed_orders
    other = next(n for n in world.runners if n != order.entry.runner)
    world.runners[other].faults.refuses_starts = False
    world.run(1.0)
    world.runners[order.entry.runner].faults.refuses_starts = False
    world.deliver_delayed()
    assert len(world.list_running("a")) == 1
    world.run(9.0)
    assert world.final_state("a") == "completed"


def test_a_successor_knows_when_a_job_was_accepted():
    # Guards against waiting jobs that look new after a change of owner, so that jobs
    # whose results are no longer of use precede jobs that could still be in time.
    world = World(runners=0)
    accepted_ms = (world.now - 30.0) * 1000
    step = make_step(estimate_ms=1000)
    world.submit("a", step, accepted_at_ms=accepted_ms, stretch=2.0)
    world.change_owner()
    job = world.state.jobs["a"]
    assert job.deadline == pytest.approx(world.now - 30.0 + 2.0, abs=1.0)
    assert job.useful_until == pytest.approx(world.now - 30.0 + 6.0, abs=1.0)


def test_a_task_of_a_restarted_runner_continues_while_reports_wait():
    # Guards against a job that never ends: its runner restarts just after the start, no
    # other run ends there, and if the last answer to the repeated stop counted, every
    # report would have been requested before it and prove nothing.
    world = World(runners=1)
    world.has_slow_answers = True
    world.run(2.0)
    world.submit("a", make_step(2))
    world.run(0.1)
    world.runners["r0"].restart(world.now)
    world.publish_entries()
    world.run(6.0)
    assert world.final_state("a") == "completed"


def test_a_new_incarnation_must_answer_the_stop_before_its_report_counts():
    # Guards against two runs of one task: the old incarnation answered the second copy
    # of its start, while the first copy and the stop at the new incarnation are still
    # in transit. If a report of the new incarnation, which lists no run, counted
    # already, the first copy would be carried out after the task was started elsewhere.
    world = World(runners=2)
    world.run(1.0)
    for runner in world.runners.values():
        runner.durations = {"a": 5.0}
    world.orders_to_delay = 1
    world.submit("a", make_step())
    world.now += 0.5
    world.send_event(Tick())
    (home,) = [r for r in world.runners.values() if r.started]
    home.restart(world.now)
    world.delayed_kind, world.orders_to_delay = OrderKind.STOP, 1
    world.publish_entries()
    world.run(0.2)
    world.deliver_delayed()
    for _ in range(80):
        assert len(set(world.list_running("a"))) == len(world.list_running("a"))
        world.run(0.1)
    assert world.final_state("a") == "completed"


def test_ends_at_an_unregistered_new_incarnation_are_not_discarded():
    # Guards against a task that is done twice: its start reaches a new incarnation
    # whose entry isn't read yet, and it is done there. Report requests to the old
    # incarnation would acknowledge as many ends as that had listed, and the runner
    # would discard the end of the task.
    world = World(runners=1)
    world.submit("old", make_step(5))
    world.run(3.0)
    world.orders_to_delay = 1
    world.submit("a", make_step())
    world.runners["r0"].restart(world.now)
    world.run(0.1)
    world.deliver_delayed()
    world.run(2.0)
    world.publish_entries()
    world.run(3.0)
    assert len(world.list_starts("a")) == 1
    assert world.final_state("a") == "completed"
