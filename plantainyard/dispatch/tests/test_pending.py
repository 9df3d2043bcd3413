"""What is told of jobs for which no task has started, with faults on the way."""

from plantainyard.batch.replica import count_pending, describe_state
from plantainyard.dispatch.tests.world import World, make_step

LEASE_LAPSES_S = 7.0


def count_waiting(world: World) -> int:
    return count_pending(world.replica, "q").total


def describe(world: World, job_id: str) -> str:
    return describe_state(world.replica.jobs[job_id])


def test_a_job_whose_start_no_runner_takes_counts_as_waiting():
    # Guards against a job that waits and is left out of the count: it is assigned to a
    # runner that leaves starts unanswered.
    world = World(runners=1)
    world.cut.add("r0")
    world.submit("a", make_step())
    world.run(0.5)
    assert world.replica.jobs["a"].steps
    assert count_waiting(world) == 1
    assert describe(world, "a") == "queued"
    world.cut.clear()
    world.run(1.0)
    assert world.starts("a")
    assert count_waiting(world) == 0
    assert describe(world, "a") == "running"


def test_a_job_whose_starts_are_all_refused_counts_as_waiting():
    # Guards against a job that waits for as long as the fleet is full, and is told as
    # running because it was assigned once.
    world = World(runners=1)
    world.runners["r0"].faults.refuses = True
    world.submit("a", make_step())
    world.run(2.0)
    assert world.starts("a") == []
    assert count_waiting(world) == 1
    world.runners["r0"].faults.refuses = False
    world.run(2.0)
    assert count_waiting(world) == 0


def test_a_job_whose_start_was_carried_out_late_has_begun():
    world = World(runners=1)
    world.runners["r0"].durations = {"a": 5.0}
    world.delay_orders = 100
    world.submit("a", make_step())
    world.run(0.5)
    assert count_waiting(world) == 1
    world.deliver_late()
    world.run(1.0)
    assert count_waiting(world) == 0


def test_a_successor_knows_which_jobs_have_begun():
    # Guards against a job that begins again to count as waiting with each new owner.
    world = World(runners=2)
    world.runners["r0"].durations = world.runners["r1"].durations = {"a": 60.0}
    world.submit("a", make_step())
    world.run(0.5)
    world.submit("b", make_step(2))
    world.run(0.5)
    world.cut = {"r0", "r1"}
    world.submit("c", make_step())
    world.begin()
    assert count_waiting(world) == 1
    assert world.state.jobs["a"].begun
    assert not world.state.jobs["c"].begun
    world.run(LEASE_LAPSES_S)
    assert count_waiting(world) == 1
