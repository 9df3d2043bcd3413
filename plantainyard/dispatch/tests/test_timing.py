"""Where a job's time went, as its summary tells it."""

from plantainyard.dispatch.tests.world import World, make_step
from plantainyard.dispatch.timing import TimePart


def summary(world, job_id):
    return next(s for s in world.summaries if s.job_id == job_id)


def test_a_job_that_waited_for_room_says_so():
    # A runner is full for three seconds of another job's work. The job behind it comes
    # late, and its end alone doesn't say why: its engineer would look for a bad runner.
    world = World(runners=1)
    world.runners["r0"].durations = {"first": 3.0, "second": 1.0}
    world.submit("first", make_step(1, cpu=60_000))
    world.run(0.2)
    world.submit("second", make_step(1, cpu=10_000))
    world.run(6.0)
    found = summary(world, "second")
    assert found.state == "completed"
    assert 2.0 < found.task_time_s[TimePart.WAITING_CAPACITY] < 4.0
    assert 0.5 < found.task_time_s[TimePart.WORKING] < 1.5
    assert TimePart.WAITING_RUNNER not in found.task_time_s
    assert found.duration_s > 3.0


def test_a_job_that_no_runner_may_take_says_so():
    # A label is misspelled. The job waits until its caller cancels it.
    world = World(runners=2)
    world.submit("lost", make_step(1, requires="no such label"))
    world.run(2.0)
    world.cancel("lost")
    world.run(0.5)
    found = summary(world, "lost")
    assert found.state == "cancelled"
    assert found.task_time_s[TimePart.WAITING_RUNNER] > 1.0
    assert TimePart.WORKING not in found.task_time_s


def test_runs_that_failed_are_counted():
    # Every run fails on the only runner; the caller sees a failed job, the engineer
    # how many runs it took.
    world = World(runners=1)
    world.runners["r0"].faults.fails_all = True
    world.submit("bad", make_step(1), max_attempts=3)
    world.run(8.0)
    found = summary(world, "bad")
    assert found.state == "failed"
    assert found.lost_runs == {"failed": 3}


def test_time_is_counted_once_after_a_change_of_owner():
    # A new owner knows nothing of the time before it. It must not count the time from
    # its predecessor's start as its own.
    world = World(runners=1)
    world.runners["r0"].durations = {"long": 5.0}
    world.submit("long", make_step(1))
    world.run(2.0)
    world.begin()
    world.run(5.0)
    found = summary(world, "long")
    assert 2.0 < found.task_time_s[TimePart.WORKING] < 3.5


def test_a_long_running_task_that_is_done_is_not_lost():
    # A watcher ends by itself from time to time and is started anew. Counted among
    # lost runs, it would send an engineer looking for a fault.
    world = World(runners=1)
    world.runners["r0"].durations = {"watch": 1.0}
    world.submit("watch", make_step(1, long_running=True))
    world.run(5.0)
    assert len(world.starts("watch")) > 1
    world.cancel("watch")
    world.run(2.0)
    assert "done" not in summary(world, "watch").lost_runs
