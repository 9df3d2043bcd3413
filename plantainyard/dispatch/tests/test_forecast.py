"""Forecasts of waits: bursts over a nearly full unit, and what other units tell."""

from collections.abc import Iterator
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from plantainyard.batch.values import Submission
from plantainyard.dispatch import LoadsReceived, PolicyChanged, SchedulingPolicy
from plantainyard.dispatch.expectations import expect_end
from plantainyard.dispatch.load import (
    NO_RUNNERS_LOAD,
    WORK_SIZES,
    Load,
    QueueForecast,
)
from plantainyard.dispatch.policy import AdmissionPolicy
from plantainyard.dispatch.tests.world import TICK_S, World, make_step
from plantainyard.dispatch.throughput import (
    RunningWork,
    Throughput,
    WorkKind,
    find_rates,
    get_placed_work,
    record_completed_work,
    record_placed_work,
    update_saturation,
)
from plantainyard.dispatch.unit_forecasts import (
    UnitForecast,
    combine_forecasts,
    find_forecast_age,
)
from plantainyard.dispatch.work_kinds import find_kind
from plantainyard.entry.admission import (
    Admission,
    Cause,
    RejectedJobs,
    decide_admission,
)
from standins.platform.samples import SERVICE

ADMISSION = AdmissionPolicy()
POLICY = SchedulingPolicy(admission=ADMISSION)
STEP = make_step(cpu=1000)
OBJECTIVE: dict[str, Any] = {"stretch": 1.5, "target_latency_ms": 400.0}
OBJECTIVE_S = 1.9
USUAL_RATE = 13.0
BURST_FACTOR = 2.5
HIGH_RATE = 18.0
KIND = WorkKind("s", False)


class Replay:
    """Callers of a unit of 24 free cores beside long-running tasks.

    Attributes
    ----------
    accepted, rejected : dict
        When each job was accepted, and the decision about each rejected attempt, by id.
    returns : list
        When each rejected caller returns, with its id.
    """

    def __init__(self, policy: SchedulingPolicy = POLICY, backfill: bool = False):
        self.world = World(policy=policy)
        for runner in self.world.runners.values():
            runner.durations = {"rest": 0.0, "": 1.0}
        rest = {"long_running": True, "max_per_runner": 1}
        self.world.submit("rest", make_step(3, cpu=56_000, **rest))
        self.world.run(5.0)
        self.step = STEP._replace(backfill=backfill)
        self.accepted: dict[str, float] = {}
        self.rejected: list[tuple[float, str, Admission]] = []
        self.memory = RejectedJobs()
        self.returns: list[tuple[float, str]] = []
        self.names = (f"{n * 0x9E3779B97F4A7C15 % 2**64:016x}" for n in range(1, 10**6))
        self.due = 0.0

    def arrive(self, seconds: float, rate: float, returning: bool = True) -> None:
        """Let new callers arrive at a rate for some time, and rejected ones return."""
        until = self.world.now + seconds
        while self.world.now < until - 1e-9:
            now = self.world.now
            self.due += rate * TICK_S
            while self.due >= 1:
                self.due -= 1
                self.submit(next(self.names))
            for item in [item for item in self.returns if item[0] <= now]:
                self.returns.remove(item)
                if returning:
                    self.submit(item[1])
            self.world.run(TICK_S)

    def submit(self, job_id: str) -> None:
        now = self.world.now
        submission = Submission(job_id, "q", SERVICE, "", (self.step,), **OBJECTIVE)
        forecast = combine_forecasts(self.world.state, "q", now)
        is_returning = self.memory.is_returning(job_id, now)
        admission = decide_admission(forecast, submission, ADMISSION, is_returning)
        if admission.cause:
            self.memory.add(job_id, admission.retry_after_s, now)
            self.rejected.append((now, job_id, admission))
            self.returns.append((now + admission.retry_after_s, job_id))
            return
        self.accepted[job_id] = now
        self.world.submit(job_id, self.step, **OBJECTIVE)

    def list_waits(self) -> dict[str, float]:
        """Return the times until the starts of accepted jobs, infinite without one."""
        starts: dict[str, float] = {}
        for runner in self.world.runners.values():
            for at, task, _ in runner.started:
                job_id = task.partition("/")[0].partition("-")[0][:16]
                starts[job_id] = min(at, starts.get(job_id, at))
        return {
            job_id: starts.get(job_id, float("inf")) - at
            for job_id, at in self.accepted.items()
        }

    def count_served(self) -> int:
        """Return the number of accepted jobs that ended within three objectives."""
        return sum(wait + 1 <= 3 * OBJECTIVE_S for wait in self.list_waits().values())


def play_burst(policy: SchedulingPolicy = POLICY) -> Replay:
    replay = Replay(policy)
    replay.arrive(5.0, USUAL_RATE)
    replay.arrive(20.0, BURST_FACTOR * USUAL_RATE)
    replay.arrive(25.0, USUAL_RATE * 0.5)
    return replay


@pytest.fixture(scope="module")
def burst() -> Iterator[Replay]:
    yield play_burst()


@pytest.fixture(scope="module")
def burst_without() -> Iterator[Replay]:
    yield play_burst(SchedulingPolicy())


def count_lost(replay: Replay, begin: float) -> int:
    """Return how many jobs accepted after a time weren't of use when they ended."""
    waits = replay.list_waits()
    return sum(
        waits[job_id] + 1 > 3 * OBJECTIVE_S
        for job_id, at in replay.accepted.items()
        if at >= begin
    )


def test_a_burst_rejects_jobs_that_would_not_be_served(burst, burst_without):
    # Guards against accepting 2.5 times as many jobs as can be served: callers learn
    # only by waiting that they got nothing.
    assert burst_without.rejected == []
    begin = burst.rejected[0][0]
    lost_without = count_lost(burst_without, begin)
    assert lost_without >= 80
    assert count_lost(burst, begin) <= lost_without / 2


def test_a_burst_loses_no_capacity_to_rejections(burst, burst_without):
    # Guards against rejecting jobs that would have been served: fewer jobs would be
    # served in total, and jobs outside of the burst would be rejected.
    assert burst.count_served() > burst_without.count_served()
    begin = min(burst.accepted.values())
    assert all(at > begin + 5.0 for at, _, _ in burst.rejected)


def test_callers_rejected_in_a_burst_return_spread(burst):
    # Guards against rejected callers that return together and are the next burst.
    seconds = [int(at + a.retry_after_s) for at, _, a in burst.rejected]
    most = max(seconds.count(second) for second in seconds)
    assert len(set(seconds)) >= 10
    assert most <= len(seconds) / 4
    assert all(1 <= a.retry_after_s <= 30 for _, _, a in burst.rejected)


def test_all_rejected_callers_are_served_in_the_end(burst):
    # Guards against a caller that is rejected each time that it returns.
    waits = burst.list_waits()
    rejected = {job_id for _, job_id, _ in burst.rejected}
    assert rejected <= waits.keys()


@settings(max_examples=12, deadline=None)
@given(
    rates=st.lists(st.floats(1.0, HIGH_RATE), min_size=2, max_size=4),
    sizes=st.lists(st.integers(1, 6), min_size=4, max_size=4),
    estimate_ms=st.integers(300, 2000),
    backfill=st.booleans(),
)
def test_below_full_load_nothing_is_rejected(rates, sizes, estimate_ms, backfill):
    # Guards against rejecting work for which there is capacity, also if estimates are
    # wrong and jobs of different sizes meet.
    replay = Replay(backfill=backfill)
    for rate, size in zip(rates, sizes, strict=False):
        replay.step = replay.step._replace(size=size, estimate_ms=estimate_ms)
        replay.arrive(2.5, rate / size)
    assert replay.rejected == []


def test_a_short_burst_over_an_idle_unit_is_accepted():
    # Guards against a few seconds of waiting that are taken for overload: all of these
    # jobs end while their results are of use.
    replay = Replay()
    replay.arrive(3.0, BURST_FACTOR * USUAL_RATE)
    replay.arrive(8.0, 2.0)
    assert replay.rejected == []
    assert replay.count_served() == len(replay.accepted)


def get_forecast(world: World) -> UnitForecast:
    forecast = combine_forecasts(world.state, "q", world.now)
    assert forecast is not None
    return forecast


def play_overload(
    seconds: float = 9.0,
    policy: SchedulingPolicy = POLICY,
    backfill: bool = False,
) -> Replay:
    replay = Replay(policy, backfill)
    replay.arrive(seconds, 4 * USUAL_RATE)
    return replay


def test_a_burst_of_backfill_jobs_rejects_some():
    # Guards against a forecast for work on reserved processors only.
    assert play_overload(backfill=True).rejected


def test_large_jobs_are_rejected_before_small_ones():
    # Guards against rejecting small jobs, which are placed first, for a backlog of
    # large ones that they don't wait for.
    replay = play_overload()
    row = get_forecast(replay.world).lowest[0]
    assert list(row.waits_s) == sorted(row.waits_s)
    assert list(row.late_waits_s) == sorted(row.late_waits_s)
    replay.rejected.clear()
    replay.step = STEP._replace(estimate_ms=50)
    replay.submit("1" * 16)
    assert replay.rejected == []


def test_without_the_policy_no_forecast_is_computed_or_published():
    replay = play_overload(4.0, SchedulingPolicy())
    state = replay.world.state
    assert state.load.queues is None
    assert not state.throughput.slices
    assert combine_forecasts(state, "q", replay.world.now) is None
    assert find_forecast_age(state, replay.world.now) is None


def test_a_policy_switched_on_under_load_rejects_nothing_at_first():
    # Guards against a forecast from too few completions.
    replay = play_overload(4.0, SchedulingPolicy())
    replay.world.send_event(PolicyChanged(POLICY))
    replay.arrive(1.0, 4 * USUAL_RATE)
    assert replay.rejected == []


def test_a_new_owner_forecasts_nothing_until_it_has_measured():
    # Guards against a successor that rejects by what it hasn't seen: the owner is lost
    # in the middle of a burst.
    replay = play_overload()
    assert replay.rejected
    replay.world.change_owner()
    replay.rejected.clear()
    replay.arrive(1.0, 4 * USUAL_RATE)
    assert replay.rejected == []


def test_a_unit_that_forecasts_no_delay_contradicts_the_others():
    replay = play_overload()
    world = replay.world
    own = world.state.load
    assert get_forecast(world).lowest
    idle = own._replace(queues=(QueueForecast("q", 3),))
    world.send_event(LoadsReceived({5: own, 6: idle}, world.now))
    assert not get_forecast(world).lowest


def test_the_lowest_figures_of_all_units_count():
    replay = play_overload()
    world = replay.world
    own = world.state.load
    row = next(row for row in own.queues or () if row.queue == "q")
    shorter = row._replace(stretch_ratio=0.5, waits_s=(0.25,) * len(WORK_SIZES))
    world.send_event(LoadsReceived({5: own._replace(queues=(shorter,))}, world.now))
    (lowest,) = get_forecast(world).lowest
    assert lowest.stretch_ratio == 0.5
    assert max(lowest.waits_s) == 0.25


def test_a_unit_whose_owner_is_of_an_older_version_makes_forecasts_unknown():
    # Guards against rejecting jobs for which a unit that publishes nothing has room.
    replay = play_overload()
    world = replay.world
    older = Load(0.2, 0.0, 0.0, 0.0, 30_000)
    world.send_event(LoadsReceived({5: older}, world.now))
    assert combine_forecasts(world.state, "q", world.now) is None


def test_a_unit_without_runners_is_left_out():
    # Guards against a unit that could start nothing and so has no waits to forecast:
    # while it is down, no job would be rejected anywhere.
    replay = play_overload()
    world = replay.world
    down = NO_RUNNERS_LOAD._replace(queues=())
    world.send_event(LoadsReceived({5: down}, world.now))
    assert get_forecast(world).lowest


def test_figures_of_other_units_age():
    replay = play_overload()
    world = replay.world
    other = world.state.load._replace(measured_s_ago=0.2)
    world.send_event(LoadsReceived({5: other}, world.now - 4.0))
    forecast = get_forecast(world)
    assert forecast.age_s == pytest.approx(4.2, abs=0.01)
    assert forecast.own_age_s < 0.4
    age_s = find_forecast_age(world.state, world.now)
    assert age_s == pytest.approx(4.2, abs=0.01)


def test_waiting_backfill_work_does_not_delay_work_on_reserved_processors():
    # Guards against rejecting urgent work because of a backlog that it doesn't wait
    # for.
    replay = play_overload()
    world = replay.world
    submission = Submission("0" * 16, "q", SERVICE, "", (STEP,))
    backfill = submission._replace(steps=(STEP._replace(backfill=True),))
    assert [row.backfill for row in get_forecast(world).lowest] == [False]
    assert find_kind(submission) == WorkKind(SERVICE, False)
    assert find_kind(backfill) == WorkKind(SERVICE, True)


@pytest.mark.parametrize(
    "change",
    [
        {"times": 3},
        {"piece": (0, 0, 0)},
        {"steps": (STEP._replace(long_running=True),)},
        {"steps": (STEP._replace(requires="gpu"),)},
        {"steps": (STEP, STEP._replace(backfill=True))},
    ],
)
def test_some_jobs_have_no_forecast(change):
    submission = Submission("0" * 16, "q", SERVICE, "", (STEP,))._replace(**change)
    assert find_kind(submission) is None


def test_a_rate_is_known_only_while_tasks_wait():
    # Guards against taking the rate at which work arrives for the capacity.
    throughput = Throughput()
    running = RunningWork(0.0, 0.0)
    for tick in range(30):
        now = 100.0 + tick * TICK_S
        record_completed_work(throughput, KIND, False, 1.0, now)
        update_saturation(throughput, [], [], now)
    assert find_rates(throughput, KIND, running, now) is None
    for tick in range(30):
        now = 103.0 + tick * TICK_S
        record_completed_work(throughput, KIND, False, 1.0, now)
        update_saturation(throughput, [KIND], [], now)
    rates = find_rates(throughput, KIND, running, now)
    assert rates is not None
    assert 10.0 <= rates.work <= 14.0
    assert rates.late_work == 0.0


def complete_steadily(throughput: Throughput, begin: float, seconds: float) -> float:
    """Complete ten tasks of a core-second each second while others wait."""
    now = begin
    for tick in range(round(seconds / TICK_S)):
        now = begin + tick * TICK_S
        record_completed_work(throughput, KIND, False, 1.0, now)
        update_saturation(throughput, [KIND], [], now)
    return now


def test_a_rate_is_unknown_at_the_beginning_of_a_burst():
    # Guards against the rate before a burst, of a unit that had less work.
    throughput = Throughput()
    now = complete_steadily(throughput, 100.0, 1.4)
    assert find_rates(throughput, KIND, RunningWork(0.0, 0.0), now) is None


def test_cores_in_use_bound_the_rate_until_earlier_tasks_have_ended():
    # Guards against a forecast that is too long at the beginning of a burst: the tasks
    # that end began before it, when fewer were running.
    throughput = Throughput()
    running = RunningWork(40.0, 3.0)
    now = complete_steadily(throughput, 100.0, 6.0)
    rates = find_rates(throughput, KIND, running, now)
    assert rates is not None and rates.work == 40.0
    now = complete_steadily(throughput, now + TICK_S, 4.0)
    rates = find_rates(throughput, KIND, running, now)
    assert rates is not None and rates.work < 14.0


def test_work_that_was_placed_at_once_proves_capacity_up_to_its_size():
    # Guards against rejecting jobs while others of their queue start at once.
    replay = play_overload()
    state, now = replay.world.state, replay.world.now
    record_placed_work(state.throughput, "q", False, 1.0, now)
    replay.world.run(0.5)
    (row,) = get_forecast(replay.world).lowest
    index = WORK_SIZES.index(1.0)
    waits = (*row.waits_s[: index + 1], *row.late_waits_s[: index + 1])
    assert set(waits) == {0.0}
    assert min(row.waits_s[index + 1 :]) > 0
    replay.arrive(1.0, 4 * USUAL_RATE)
    assert get_forecast(replay.world).lowest[0].waits_s[index] > 0


def test_placed_work_is_kept_by_size_and_time():
    throughput = Throughput()
    for at, work in ((100.0, 8.0), (100.5, 1.0), (100.6, 2.0)):
        record_placed_work(throughput, "q", False, work, at)
    assert get_placed_work(throughput, "q", False, 100.9) == 8.0
    assert get_placed_work(throughput, "q", False, 101.5) == 2.0
    assert get_placed_work(throughput, "q", False, 102.0) == 0.0
    assert get_placed_work(throughput, "q", True, 100.9) == 0.0
    assert len(throughput.placed["q", False]) == 2


def test_a_rate_is_unknown_without_completions():
    throughput = Throughput()
    for tick in range(60):
        update_saturation(throughput, [KIND], [KIND], 100.0 + tick * TICK_S)
    assert find_rates(throughput, KIND, RunningWork(9.0, 1.0), 106.0) is None


def test_the_window_of_completions_is_bounded():
    throughput = Throughput()
    for second in range(1000):
        record_completed_work(throughput, KIND, False, 1.0, float(second))
    assert len(throughput.slices) <= 11


@given(
    waits=st.lists(
        st.floats(0, 100), min_size=len(WORK_SIZES), max_size=len(WORK_SIZES)
    ),
    work=st.floats(0.001, 5000),
    path_s=st.floats(0.001, 100),
)
def test_a_job_smaller_than_all_sizes_and_one_in_time_are_never_too_late(
    waits, work, path_s
):
    # Guards against forecasts for sizes that aren't known, or from other versions.
    allowed_s = 1.5 * path_s + 0.4
    late = [wait + 50 for wait in waits]
    found = expect_end(waits, late, work, path_s, allowed_s)
    if work < WORK_SIZES[0]:
        assert found.wait_s == 0.0
    if found.ratio > 1:
        assert found.wait_s in late
    assert expect_end(waits[:-1], late[:-1], work, path_s, allowed_s).ratio < 1


def test_an_empty_forecast_accepts():
    submission = Submission("0" * 16, "q", SERVICE, "", (STEP,), **OBJECTIVE)
    admission = decide_admission(UnitForecast(5), submission, ADMISSION, False)
    assert admission.cause == Cause.IN_TIME
