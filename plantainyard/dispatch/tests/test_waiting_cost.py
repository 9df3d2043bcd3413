"""What an owner's tick costs while work waits."""

import random
import time

import pytest

from plantainyard.batch.values import Resources
from plantainyard.dispatch import Load, LoadsReceived, Tick, step
from plantainyard.dispatch.capacity import find_demand, find_own_places, is_misfit
from plantainyard.dispatch.maxima import find_maxima, fits_any
from plantainyard.dispatch.tests.test_headroom import load_deployed_policy
from plantainyard.dispatch.tests.world import TICK_S, World, make_step

RUNNERS = 130
FULL = Load(0.97, 0.3, 2.5, 0.1, 1_000, slots=(0,) * 14, ending=900_000_000)


def make_full_unit(waiting: int) -> World:
    """Return a full unit beside another one, with waiting jobs of various sizes."""
    chance = random.Random(1)
    world = World(runners=RUNNERS, policy=load_deployed_policy())
    for runner in world.runners.values():
        runner.capacity["cpu"] = 16_000
        runner.durations = {"lasting": 0.0}
    world.publish_entries()
    world.submit(
        "lasting", make_step(RUNNERS, 14_500, long_running=True, max_per_runner=1)
    )
    world.run(3.0)
    for number in range(waiting):
        cpu = chance.randint(1_800, 4_000)
        wide = make_step(chance.randint(4, 16), cpu, estimate_ms=600)
        world.submit(f"job{number}", wide, target_latency_ms=400_000.0)
    world.send_event(LoadsReceived({1: FULL}, world.now))
    world.run(0.5)
    return world


def measure_tick(world: World) -> float:
    """Return the mean processor time of a tick in seconds."""
    began = time.thread_time()
    for _ in range(10):
        world.now += TICK_S
        step(world.state, Tick(), world.now)
    return (time.thread_time() - began) / 10


def test_a_tick_fits_into_its_interval_while_hundreds_of_jobs_wait():
    # Guards against an owner that falls behind while jobs wait: starts and ends are
    # then handled late, so that even more wait, and those with the shortest objective
    # are late first.
    world = make_full_unit(300)
    assert len(world.state.jobs) == 301
    assert min(measure_tick(world) for _ in range(3)) < TICK_S


@pytest.mark.parametrize("seed", range(20))
def test_a_misfit_is_told_as_by_counting_its_places(seed):
    # Guards against jobs that stay where they can't run, or leave where they can.
    chance = random.Random(seed)
    world = World(runners=6, policy=load_deployed_policy())
    for number, runner in enumerate(world.runners.values()):
        runner.capacity = {"cpu": chance.randint(2_000, 16_000), "memMb": 500, "gpu": 0}
        runner.capacity["gpu"] = chance.choice([0, 2])
        runner.durations = {f"lasting{number}": 0.0}
    world.publish_entries()
    for number in range(4):
        cpu = chance.randint(1_000, 9_000)
        world.submit(f"lasting{number}", make_step(2, cpu, long_running=True))
    world.run(4.0)
    for number in range(20):
        world.submit(f"job{number}", make_step(1, chance.randint(0, 16_000)))
    for job in world.state.jobs.values():
        (waiting,) = job.steps.values()
        demand = find_demand(waiting)
        counted = find_own_places(world.state, demand.need, world.now).beside < 1
        assert is_misfit(world.state, demand, world.now) == counted


@pytest.mark.parametrize("seed", range(20))
def test_something_fits_a_maximum_if_it_fits_any_amount(seed):
    chance = random.Random(seed)
    sizes = [Resources(*(chance.randint(0, 9) for _ in range(3))) for _ in range(30)]
    maxima = find_maxima(sizes)
    for _ in range(100):
        wanted = Resources(*(chance.randint(0, 9) for _ in range(3)))
        assert fits_any(wanted, maxima) == fits_any(wanted, sizes)
