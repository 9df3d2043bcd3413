"""Jobs with extreme figures, which their unit's owner must place beside others."""

import time

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from plantainyard.batch.checks import validate_submission
from plantainyard.batch.limits import (
    MAX_DURATION_MS,
    MAX_STEPS,
    MAX_STRETCH,
    MAX_TASKS,
)
from plantainyard.batch.values import Resources, Step, Submission
from plantainyard.decoding import MAX_INTEGER
from plantainyard.dispatch.policy import (
    AdmissionPolicy,
    HealthPolicy,
    RoomPolicy,
    RunTimePolicy,
    SchedulingPolicy,
)
from plantainyard.dispatch.queue import find_critical_paths_ms
from plantainyard.dispatch.tests.world import World, make_step
from plantainyard.dispatch.unit_forecasts import combine_forecasts
from plantainyard.entry.admission import decide_admission

POLICY = SchedulingPolicy(
    run_times=RunTimePolicy(),
    room=RoomPolicy(),
    admission=AdmissionPolicy(),
    health=HealthPolicy(),
)
AMOUNTS = st.sampled_from([0, 1, 1000, 10**9, MAX_INTEGER])
DURATIONS = st.sampled_from([0, 1, 500, MAX_DURATION_MS])
NAMES = st.sampled_from(["", "a", "ä\u0000\U0001f600"])

STEPS = st.builds(
    Step,
    size=st.integers(1, 3),
    resources=st.builds(Resources, AMOUNTS, AMOUNTS, AMOUNTS),
    estimate_ms=DURATIONS,
    after=st.sampled_from([(), (0,)]),
    saves_progress=st.booleans(),
    gang=st.booleans(),
    same_rack=st.booleans(),
    requires=NAMES,
    preferred_rack=NAMES,
    max_per_runner=AMOUNTS,
    speculative=st.booleans(),
    long_running=st.booleans(),
    image=NAMES,
    target_ms=DURATIONS.map(float),
    backfill=st.booleans(),
    max_unavailable=AMOUNTS,
)
JOBS = st.fixed_dictionaries(
    {
        "priority": st.sampled_from([0, -MAX_INTEGER, MAX_INTEGER]),
        "max_attempts": st.sampled_from([1, MAX_INTEGER]),
        "stretch": st.sampled_from([0.0, 1.5, MAX_STRETCH]),
        "target_latency_ms": DURATIONS.map(float),
        "times": st.integers(0, 3),
        "start_at_ms": AMOUNTS,
        "interval_ms": DURATIONS,
        "accepted_at_ms": AMOUNTS,
    }
)


@given(st.lists(STEPS, min_size=1, max_size=3), JOBS)
@settings(deadline=None, max_examples=200)
def test_a_job_with_extreme_figures_stops_no_other(steps, figures):
    # Guards against an accepted job with which its owner can't calculate, so that
    # nothing of its unit starts any more.
    submission = Submission("odd", "q", "tollgate", "", tuple(steps), **figures)
    if validate_submission(submission):
        return
    world = World(2, policy=POLICY)
    world.submit("odd", *steps, **figures)
    world.submit("plain", make_step(1, cpu=10, estimate_ms=200))
    world.run(1.0)
    forecast = combine_forecasts(world.state, "q", world.now)
    decide_admission(forecast, submission, AdmissionPolicy(), False)
    world.replace_owner()
    world.cancel("odd")
    world.run(4.0)
    assert world.final_state("plain") == "completed"


@pytest.mark.parametrize(
    "steps",
    [
        [Step(1, after=(n - 1,) if n else ()) for n in range(MAX_STEPS)],
        [Step(1, after=tuple(range(max(0, n - 60), n))) for n in range(MAX_STEPS)],
    ],
)
def test_the_paths_of_the_longest_job_are_found_in_a_moment(steps):
    # Guards against an owner that does nothing but calculate with one accepted job.
    began_at = time.process_time()
    paths = find_critical_paths_ms(tuple(s._replace(estimate_ms=1) for s in steps))
    assert (paths[0], paths[-1]) == (MAX_STEPS, 1)
    assert time.process_time() - began_at < 0.2


@pytest.mark.parametrize(
    ("steps", "times"),
    [
        ([Step(1000, Resources(10, 1, 0), 100)] * (MAX_TASKS // 1000), 0),
        ([Step(2, Resources(100, 1, 0), 100)] * MAX_STEPS, 0),
        ([Step(2, Resources(100, 1, 0), 100)], MAX_STEPS),
        ([Step(2, Resources(MAX_INTEGER, 1, 0), 100)] * MAX_STEPS, 0),
        ([Step(1, after=tuple(range(max(0, n - 60), n))) for n in range(MAX_STEPS)], 0),
        ([Step(1000, Resources(4000, 1, 0), 100, gang=True)] * 2, 0),
        ([Step(2, Resources(MAX_INTEGER, 1, 0), gang=True)] * MAX_STEPS, 0),
        (
            [
                Step(1, Resources(100, 1, 0), image=f"x{n % 32}", **kind)
                for n in range(MAX_STEPS // 2)
                for kind in ({"backfill": True}, {"target_ms": 5.0})
            ],
            0,
        ),
    ],
)
def test_a_job_at_the_limits_leaves_time_for_others(steps, times):
    # Guards against an owner that does nothing but work on one accepted job, so that no
    # other job of its unit starts.
    submission = Submission("wide", "q", "tollgate", "", tuple(steps), times=times)
    assert validate_submission(submission) == ""
    world = World(6, policy=POLICY)
    for runner in world.runners.values():
        runner.durations = {"wide": 0.1, "plain": 0.3}
    began_at = time.process_time()
    world.submit("wide", *steps, times=times)
    world.submit("plain", make_step(4, estimate_ms=300))
    world.run(4.0)
    assert world.final_state("plain") == "completed"
    # With the stand-ins of the runners, on a processor that others use too.
    assert time.process_time() - began_at < 8.0
