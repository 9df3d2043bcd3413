"""Owners, leases and lives of runners that end, in virtual time."""

import pytest

from plantainyard.batch.records import CANCEL_VALUE, make_cancel_key
from plantainyard.dispatch import OrderKind, Tick, choose_lease
from plantainyard.dispatch.tests.world import World, make_step


def start_lasting(world: World) -> str:
    """Let a long-running task start; return the name of its runner."""
    for runner in world.runners.values():
        runner.durations = {"a": 0.0}
    world.submit("a", make_step(long_running=True))
    world.run(1.0)
    (home,) = [n for n, r in world.runners.items() if r.running]
    return home


def test_a_successor_takes_over_what_runs():
    # The owner dies while tasks run. Its successor finds them at their runners, keeps
    # their leases alive and starts nothing anew.
    world = World()
    world.runners["r0"].durations = {"a": 8.0}
    world.runners["r1"].durations = world.runners["r2"].durations = {"a": 8.0}
    world.submit("a", make_step(3))
    world.run(1.0)
    world.change_owner()
    world.run(8.5)
    assert len(world.list_starts("a")) == 3
    assert world.final_state("a") == "completed"


def test_a_successor_learns_of_ends_that_were_not_stored():
    # A task ends while no owner is there. The runner lists the end until it is
    # acknowledged, and the successor counts it once.
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


def test_a_silent_runner_blocks_its_tasks_until_their_lease_is_over():
    # A runner is cut off and runs on. The task may start elsewhere only when nothing
    # can be at work there any more, or it would run in two places.
    world = World(runners=2)
    home = start_lasting(world)
    world.unreachable.add(home)
    for _ in range(100):
        world.run(0.1)
        assert len(world.list_running("a")) <= 1
    (new,) = [n for n, r in world.runners.items() if r.running]
    assert new != home


def test_cancelled_work_across_a_cut_ends_within_the_bound():
    # Regions are cut off from each other just as a job is cancelled. Its tasks on the
    # other side can't be told to stop, and went on until leases of five seconds ended,
    # where their caller was promised 4.2 s.
    world = World(runners=1, lease_s=choose_lease(10.0, 4.2))
    world.unreachable.add(start_lasting(world))
    world.cancel("a")
    world.run(4.2)
    assert world.list_running("a") == []


def test_work_outlives_a_change_of_owner_where_the_bound_is_short():
    # A site bounds cancelled work at 1.2 s. Leases as short as that end in each change
    # of owner, and with them everything that ran.
    world = World(runners=1, lease_s=choose_lease(10.0, 1.2))
    start_lasting(world)
    world.pending_reports = []
    for _ in range(17):
        world.now += 0.1
        world.runners["r0"].advance(world.now)
    world.change_owner()
    world.run(1.0)
    assert len(world.list_starts("a")) == 1
    assert len(world.list_running("a")) == 1


def test_a_successor_waits_for_the_lease_of_a_runner_that_it_never_reached():
    # The owner dies while a runner is cut off. The successor knows from the store
    # that a task is there, and not for how long it was allowed to run.
    world = World(runners=2)
    home = start_lasting(world)
    world.unreachable.add(home)
    world.change_owner()
    for _ in range(130):
        world.run(0.1)
        assert len(world.list_running("a")) <= 1
    assert len(world.list_running("a")) == 1


def test_a_late_start_after_a_change_of_owner_does_nothing():
    # A start is left unanswered and carried out seconds later. Meanwhile a successor
    # has asked that runner, and started the task elsewhere.
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


def test_a_lost_answer_is_settled_by_the_same_start():
    # The runner has begun, its answer is lost. The start is sent again, to the same
    # runner, and finds the run there.
    world = World()
    world.answers_to_lose = 1
    world.submit("a", make_step())
    world.run(3.0)
    assert len(world.list_starts("a")) == 1
    assert world.final_state("a") == "completed"


def test_a_start_on_its_way_to_an_old_incarnation_is_stopped_at_the_new_one():
    # A runner crashes and is back under its id while a start is on its way: the new
    # life carries it out. The task must not start elsewhere until that is ruled out.
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


def test_a_runner_that_starts_again_frees_its_tasks_at_once():
    # A crash ends everything at a runner. The birth of its new life says so; nobody
    # has to wait for a lease.
    world = World(runners=2)
    world.submit("a", make_step(4))
    world.run(0.4)
    world.runners["r0"].restart(world.now)
    world.publish_entries()
    world.run(3.0)
    assert world.final_state("a") == "completed"


def test_attempts_are_counted_across_owners():
    # Each owner would allow a hopeless task its attempts anew.
    world = World()
    for runner in world.runners.values():
        runner.faults.fails_all = True
    world.submit("a", make_step(), max_attempts=2)
    world.run(0.4)
    assert len(world.list_starts("a")) >= 1
    world.change_owner()
    world.run(15.0)
    world.change_owner()
    world.run(15.0)
    assert len(world.list_starts("a")) == 2
    assert world.final_state("a") == "failed"


def test_dropped_history_loses_nothing():
    # The records of a job in progress are read again from nothing but the newest of
    # each key; the owner begins from them.
    world = World()
    world.submit("a", make_step(3), make_step(3, after=(0,)))
    world.run(1.5)
    world.change_owner()
    world.run(4.0)
    assert len(world.list_starts("a")) == 6
    assert world.final_state("a") == "completed"


def test_an_owner_that_is_cut_off_with_a_runner_lets_its_leases_end():
    # An owner and a runner are cut off together from the store and all others. The
    # successor can't reach the runner, waits for the longest lease, and starts the
    # task elsewhere. The old owner must not have kept the first run alive.
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


def test_leases_outlast_an_outage_of_the_store():
    # The store is down for everyone. Nobody can take over, and what runs must go on.
    world = World(runners=1)
    world.runners["r0"].durations = {"a": 0.0}
    world.submit("a", make_step(long_running=True))
    world.run(1.0)
    world.store_down = True
    world.run(9.0)
    assert len(world.list_starts("a")) == 1
    assert len(world.list_running("a")) == 1


def test_a_start_that_a_new_incarnation_has_taken_is_stopped_there():
    # A runner has just started again under its id, which nobody has read yet. A start
    # that was meant for its old life is answered by the new one. Then the new entry is
    # read, the old life's tasks count as gone, and the task was started elsewhere too.
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


def test_a_cancel_that_is_stored_while_no_owner_is_there_is_carried_out():
    world = World()
    world.runners["r0"].durations = {"a": 0.0}
    world.submit("a", make_step(2, long_running=True))
    world.run(0.5)
    world.store(make_cancel_key("a"), CANCEL_VALUE)
    world.change_owner()
    world.run(1.0)
    assert world.list_running("a") == []
    assert world.final_state("a") == "cancelled"


def test_one_report_that_is_lost_keeps_no_work_from_a_runner():
    # Runners leave one call in twenty unanswered. A job's tasks wait for seconds
    # although runners are free, since each lost report makes a runner count as silent.
    world = World(runners=1)
    world.submit("b", make_step())
    world.run(0.3)
    world.unreachable.add("r0")
    world.run(0.1)
    world.unreachable.clear()
    world.submit("a", make_step())
    world.run(0.1)
    assert len(world.list_starts("a")) == 1


def test_a_refused_repeat_does_not_free_a_task_whose_first_start_may_come():
    # A start is left unanswered. Its repeat is refused, for the runner is unwell for a
    # moment, and the task starts elsewhere. Then the first copy is carried out: without
    # a stop before, the task is at work twice.
    world = World(runners=2)
    for runner in world.runners.values():
        runner.durations = {"a": 8.0}
        runner.faults.refuses = True
    world.orders_to_delay = 1
    world.submit("a", make_step())
    world.run(0.8)
    ((order, _),) = world.delayed_orders
    other = next(n for n in world.runners if n != order.entry.runner)
    world.runners[other].faults.refuses = False
    world.run(1.0)
    world.runners[order.entry.runner].faults.refuses = False
    world.deliver_delayed()
    assert len(world.list_running("a")) == 1
    world.run(9.0)
    assert world.final_state("a") == "completed"


def test_a_successor_knows_when_a_job_was_accepted():
    # A change of owner made each waiting job look new: jobs that nobody waits for any
    # more came before those that could still be in time.
    world = World(runners=0)
    accepted_ms = (world.now - 30.0) * 1000
    step = make_step(estimate_ms=1000)
    world.submit("a", step, accepted_at_ms=accepted_ms, stretch=2.0)
    world.change_owner()
    job = world.state.jobs["a"]
    assert job.deadline == pytest.approx(world.now - 30.0 + 2.0, abs=1.0)
    assert job.useful_until == pytest.approx(world.now - 30.0 + 6.0, abs=1.0)


def test_a_task_whose_runner_starts_anew_goes_on_where_reports_wait():
    # Guards against a job that never ends: its runner began a new life just after the
    # start, nothing else ended there, and each repeat of the stop put off the proof
    # that the run is gone until after the report that was on its way.
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
    # Guards against two runs of one task: the second copy of its start was answered by
    # the old life, the first is still on its way, and so is the stop at the new life.
    # A report of the new life shows no run, and the first copy would be carried out.
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


def test_ends_at_a_new_incarnation_that_nobody_has_read_of_are_not_forgotten():
    # Guards against a task that is done twice: its start came to a new life whose entry
    # isn't read yet, it was done there, and reports meant for the old life told the
    # runner to forget as many ends as the old life had listed.
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
