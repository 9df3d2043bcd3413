"""Parts of a job's time along its critical path."""

import pytest

from plantainyard.dispatch.critical_path import PathPart
from plantainyard.dispatch.tests.world import World, make_step
from plantainyard.dispatch.timing import TimePart


def get_path(world, job_id):
    """Return the parts, which make up the job's whole time since it was read."""
    summary = next(s for s in world.summaries if s.job_id == job_id)
    parts = {k: v for k, v in summary.path_s.items() if k != PathPart.INTAKE}
    assert sum(parts.values()) == pytest.approx(summary.duration_s, abs=0.01)
    return parts


def test_the_parts_of_a_path_make_up_the_whole_time():
    # Guards against late jobs whose time is only explained in part.
    world = World(runners=2)
    world.runners["r0"].durations = {"full": 3.0, "two": 1.0}
    world.runners["r1"].durations = {"full": 2.0, "two": 1.0}
    world.submit("full", make_step(2, cpu=60_000))
    world.run(0.2)
    world.submit("two", make_step(2, cpu=8_000), make_step(1, after=(0,)))
    world.run(8.0)
    path = get_path(world, "two")
    assert 1.5 < path[TimePart.WAITING_CAPACITY] < 2.5
    assert 1.5 < path[PathPart.RUNNING] < 2.5


def test_the_time_of_lost_runs_is_a_part_of_its_own():
    # Guards against a job that looks as if it had run for long.
    world = World(runners=2)
    world.runners["r0"].faults.fails_all_runs = True
    world.runners["r1"].durations = {"again": 1.0}
    world.submit("full", make_step(1, cpu=60_000, requires="none"))
    for number in range(4):
        world.submit(f"again{number}", make_step(1), max_attempts=3)
    world.run(6.0)
    ended = [s for s in world.summaries if s.lost_runs]
    assert ended
    for summary in ended:
        assert get_path(world, summary.job_id)[PathPart.RESTARTED] > 0


def test_the_time_at_a_store_that_does_not_answer_is_a_part_of_its_own():
    # Guards against an engineer who looks for a shortage of room.
    world = World(runners=1)
    world.runners["r0"].durations = {"job": 1.0}
    world.store_down = True
    world.submit("job", make_step(1))
    world.run(2.0)
    world.store_down = False
    world.run(3.0)
    assert 1.5 < get_path(world, "job")[PathPart.STORING] < 2.5


def test_a_new_owner_counts_the_time_before_as_intake():
    # Guards against parts that exceed the whole after a takeover.
    world = World(runners=1)
    world.runners["r0"].durations = {"job": 4.0}
    world.submit("job", make_step(1))
    world.run(2.0)
    world.replace_owner()
    world.run(5.0)
    summary = next(s for s in world.summaries if s.job_id == "job")
    parts = {k: v for k, v in summary.path_s.items() if k != PathPart.INTAKE}
    assert 1.5 < sum(parts.values()) < 2.5
