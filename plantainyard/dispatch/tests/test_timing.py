"""Parts of a job's time, and lost runs, in its summary."""

from plantainyard.dispatch.tests.world import World, make_step
from plantainyard.dispatch.timing import TimePart


def get_summary(world, job_id):
    return next(s for s in world.summaries if s.job_id == job_id)


def test_waiting_for_capacity_is_reported():
    # A runner is full of another job's work for three seconds. Guards against an
    # engineer who looks for a faulty runner, as the next job's late end has no reason.
    world = World(runners=1)
    world.runners["r0"].durations = {"first": 3.0, "second": 1.0}
    world.submit("first", make_step(1, cpu=60_000))
    world.run(0.2)
    world.submit("second", make_step(1, cpu=10_000))
    world.run(6.0)
    found = get_summary(world, "second")
    assert found.state == "completed"
    assert 2.0 < found.task_time_s[TimePart.WAITING_CAPACITY] < 4.0
    assert 0.5 < found.task_time_s[TimePart.WORKING] < 1.5
    assert TimePart.WAITING_RUNNER not in found.task_time_s
    assert found.duration_s > 3.0


def test_waiting_for_capacity_is_reported_while_a_step_is_placed_bit_by_bit():
    # Guards against a shortage of processors that looks like other work's turn: each
    # task that starts would make the reason of the rest unknown for half a second.
    world = World(runners=1)
    world.runners["r0"].durations = {"full": 30.0, "wide": 0.4}
    world.submit("full", make_step(1, cpu=60_000))
    world.run(0.2)
    world.submit("wide", make_step(8, cpu=4_000))
    world.run(8.0)
    found = get_summary(world, "wide").task_time_s
    assert found[TimePart.WAITING_CAPACITY] > 3 * found.get(TimePart.WAITING_TURN, 0.0)


def test_waiting_for_an_eligible_runner_is_reported():
    # A label is misspelled. The job waits until its caller cancels it.
    world = World(runners=2)
    world.submit("lost", make_step(1, requires="no such label"))
    world.run(2.0)
    world.cancel("lost")
    world.run(0.5)
    found = get_summary(world, "lost")
    assert found.state == "cancelled"
    assert found.task_time_s[TimePart.WAITING_RUNNER] > 1.0
    assert TimePart.WORKING not in found.task_time_s


def test_failed_runs_are_counted():
    # Every run fails on the only runner. The caller sees a failed job; the engineer
    # also needs the number of runs.
    world = World(runners=1)
    world.runners["r0"].faults.fails_all_runs = True
    world.submit("bad", make_step(1), max_attempts=3)
    world.run(8.0)
    found = get_summary(world, "bad")
    assert found.state == "failed"
    assert found.lost_runs == {"failed": 3}


def test_time_is_counted_once_after_a_change_of_owner():
    # Guards against a new owner that counts the time since its predecessor's start: it
    # knows nothing of the time before its own start.
    world = World(runners=1)
    world.runners["r0"].durations = {"long": 5.0}
    world.submit("long", make_step(1))
    world.run(2.0)
    world.change_owner()
    world.run(5.0)
    found = get_summary(world, "long")
    assert 2.0 < found.task_time_s[TimePart.WORKING] < 3.5


def test_a_finished_long_running_task_is_not_counted_as_lost():
    # A watcher ends by itself from time to time and is restarted. Guards against an
    # engineer who looks for a fault because these runs are counted as lost.
    world = World(runners=1)
    world.runners["r0"].durations = {"watch": 1.0}
    world.submit("watch", make_step(1, long_running=True))
    world.run(5.0)
    assert len(world.list_starts("watch")) > 1
    world.cancel("watch")
    world.run(2.0)
    assert "done" not in get_summary(world, "watch").lost_runs
