"""Paces and places of backfill work beside serving tasks whose load swings."""

import itertools
import math

from plantainyard.batch.tasks import TaskKey
from plantainyard.batch.values import Resources, Step, Submission
from plantainyard.dispatch import orders
from plantainyard.dispatch.estimates import InterferenceModel, Trend
from plantainyard.dispatch.interference import learn_from_sample
from plantainyard.dispatch.limits import Limits
from plantainyard.dispatch.model import Job, Phase, Runner, StepRun, Task
from plantainyard.dispatch.orders import pace_backfill
from plantainyard.dispatch.pacing import choose_paces, get_pace, update_headroom
from plantainyard.dispatch.placing import reserve_resources
from plantainyard.dispatch.ranking import choose_runner
from plantainyard.dispatch.samples import QUIET_WEIGHT, SMOOTHING_S, read_sample
from plantainyard.dispatch.state import Dispatcher
from plantainyard.dispatch.tests.test_interference import (
    TRUE_WEIGHTS,
    find_tail,
    get_load,
)
from plantainyard.dispatch.weights import find_weight
from plantainyard.platform.entries import RunnerEntry
from plantainyard.platform.runner_messages import ReportedRun

CPU = 64_000
_numbers = itertools.count()
_reported: dict[str, tuple[float, float]] = {}


def make_runner(incarnation: str) -> Runner:
    entry = RunnerEntry(
        runner=incarnation.partition("@")[0],
        started_at_ms=1,
        service="tollgate",
        address="",
        domain="",
        draining=False,
        leaves_in_ms=None,
        capacity=Resources(CPU, 250_000, 0),
        labels=(),
    )
    return Runner(incarnation, entry, has_reported=True, responsive=True)


def run_task(runner: Runner, spec: Step, job_id: str = "") -> Task:
    """Run a task on a runner, by default as part of a job of its own."""
    job_id = job_id or f"j{next(_numbers)}"
    job = Job(Submission(job_id, "q", "tollgate", "", (spec,)), 0.0, (0.0,))
    task = Task(TaskKey(job_id, 0, 0, next(_numbers)), StepRun(job, 0, 0, spec))
    task.phase = Phase.RUNNING
    reserve_resources(runner, task)
    return task


def make_serving_step() -> Step:
    return Step(1, Resources(10_000, 1, 0), image="web", target_ms=50.0)


def make_backfill_step(image: str) -> Step:
    return Step(1, Resources(7_000, 1, 0), image=image, backfill=True)


def smooth(incarnation: str, tail_ms: float, now: float) -> float:
    """Return the tail as runners report it: smoothed over less than half a second."""
    at, before = _reported.get(incarnation, (now, tail_ms))
    retained = math.exp(-max(0.0, now - at) / SMOOTHING_S) if now >= at else 0.0
    _reported[incarnation] = (now, retained * before + (1 - retained) * tail_ms)
    return _reported[incarnation][1]


def report(runner: Runner, now: float) -> list[ReportedRun]:
    """Return the runner's report after half a second at its current paces."""
    loads = {
        task.key: 7_000 * get_pace(runner, task.step.spec.image) / 100
        for task in runner.tasks.values()
        if task.step.spec.backfill
    }
    stretch = 1 + sum(
        TRUE_WEIGHTS[runner.tasks[key].step.spec.image] * load / CPU
        for key, load in loads.items()
    )
    tail_ms = smooth(runner.incarnation, 50.0 * find_tail(get_load(now), stretch), now)
    return [
        ReportedRun(key, 1, "", 100, loads.get(key, round(tail_ms)))
        for key in runner.tasks
    ]


def apply_paces(runner: Runner, interference: InterferenceModel) -> None:
    """Choose paces, and apply them immediately."""
    runner.paces = choose_paces(runner, interference)
    for task in runner.tasks.values():
        task.previous_pace = task.pace
        task.pace = get_pace(runner, task.step.spec.image)


def simulate(images: list[str]) -> tuple[float, float]:
    """Return the share of reports over the target, and the mean pace as a share."""
    interference = InterferenceModel()
    shared, other = make_runner("r0@1"), make_runner("r1@1")
    run_task(shared, make_serving_step(), "web")
    run_task(other, make_serving_step(), "web")
    for image in images:
        run_task(shared, make_backfill_step(image))
    apply_paces(shared, interference)
    missed, done, reports = 0, 0.0, 240
    for number in range(reports):
        now = number * 0.25
        for runner in (other, shared):
            rows = report(runner, now)
            sample = read_sample(runner, rows)
            missed += any(tail.value > 1.0 for tail in sample.tails)
            runner.base_margins = learn_from_sample(interference, sample, now)
        paces = [get_pace(shared, image) / 100 for image in images]
        done += sum(paces) / len(paces)
        apply_paces(shared, interference)
    return missed / reports, done / reports


def test_harmful_work_is_done_while_the_serving_load_is_low():
    # Two harmful tasks share a runner with a serving task whose load swings. Unslowed,
    # they raise its tail over the target in half of all reports; if they were stopped
    # until the load is low for good, they would never end.
    missed, done = simulate(["heavy", "heavy"])
    assert missed == 0
    assert done > 0.35


def test_harmless_work_is_not_slowed():
    # Guards against harmless images that are slowed like harmful ones.
    missed, done = simulate(["light", "light", "light"])
    assert missed == 0
    assert done > 0.95


def test_the_most_harmful_image_is_slowed_first():
    # Guards against harmless work that is slowed for the effect of a harmful image.
    interference = InterferenceModel()
    runner, other = make_runner("r0@1"), make_runner("r1@1")
    run_task(runner, make_serving_step(), "web")
    run_task(other, make_serving_step(), "web")
    for image in ("heavy", "light", "light"):
        run_task(runner, make_backfill_step(image))
    for number in range(60):
        now = number * 0.25
        learn_from_sample(interference, read_sample(other, report(other, now)), now)
        sample = read_sample(runner, report(runner, now))
        runner.base_margins = learn_from_sample(interference, sample, now)
        apply_paces(runner, interference)
    runner.base_margins = {"web": 1.6}
    interference.trends.clear()
    for _ in range(3):
        apply_paces(runner, interference)
    assert get_pace(runner, "heavy") < 40
    assert get_pace(runner, "light") == 100


def test_harmful_work_is_placed_beside_tolerant_tasks():
    # Guards against work that is stopped and holds its memory: of two runners one has a
    # serving task at its peak load, the other one at its lowest.
    interference = InterferenceModel()
    train_all(interference)
    busy, quiet = make_runner("r0@1"), make_runner("r1@1")
    for runner, baseline in ((busy, 1.6), (quiet, 3.8)):
        task = run_task(runner, make_serving_step())
        runner.base_margins = {task.key.job_id: baseline}
        interference.trends[task.key.job_id] = Trend(baseline, baseline, 0.0)
        update_headroom(runner, interference)
    task = run_task(make_runner("r2@1"), make_backfill_step("heavy"))
    task.phase = Phase.WAITING
    chosen = choose_runner(task, [busy, quiet], Limits(), interference, 0.0)
    assert chosen is quiet
    assert choose_runner(task, [busy], Limits(), interference, 0.0) is None


def test_harmless_work_is_admitted_beside_slowed_harmful_work():
    # Guards against harmless jobs that wait for minutes while half of the processors
    # are unused, because one harmful task uses all the headroom of a serving task. A
    # tenth of the harmful task's pace frees the headroom for a whole harmless task.
    interference = InterferenceModel()
    train_all(interference)
    runner = make_runner("r0@1")
    serving_task = run_task(runner, make_serving_step())
    run_task(runner, make_backfill_step("heavy"))
    run_task(runner, make_backfill_step("heavy"))
    runner.base_margins = {serving_task.key.job_id: 2.0}
    interference.trends[serving_task.key.job_id] = Trend(2.0, 2.0, 0.0)
    update_headroom(runner, interference)

    def choose(image: str) -> Runner | None:
        task = run_task(make_runner("r2@1"), make_backfill_step(image))
        task.phase = Phase.WAITING
        return choose_runner(task, [runner], Limits(), interference, 0.0)

    assert choose("light") is runner
    assert choose("heavy") is None


def train_all(interference: InterferenceModel) -> None:
    """Train the model with reports about all images."""
    runner, other = make_runner("r8@1"), make_runner("r9@1")
    run_task(runner, make_serving_step(), "web")
    run_task(other, make_serving_step(), "web")
    images = list(TRUE_WEIGHTS)
    for number in range(40 * len(images)):
        now = number * 0.25
        if number % 40 == 0:
            runner.tasks = dict(list(runner.tasks.items())[:1])
            run_task(runner, make_backfill_step(images[number // 40]))
        learn_from_sample(interference, read_sample(other, report(other, now)), now)
        learn_from_sample(interference, read_sample(runner, report(runner, now)), now)


def test_an_unstarted_job_does_not_wait_for_a_fast_place():
    # Guards against a job that runs nowhere for the rest of the day while most of the
    # fleet is free: all runners have serving tasks for which a harmful image is slowed.
    interference = InterferenceModel()
    train_all(interference)
    runner = make_runner("r0@1")
    serving_task = run_task(runner, make_serving_step())
    runner.base_margins = {serving_task.key.job_id: 1.3}
    interference.trends[serving_task.key.job_id] = Trend(1.3, 1.3, 0.0)
    update_headroom(runner, interference)
    task = run_task(make_runner("r2@1"), make_backfill_step("heavy"))
    task.phase = Phase.WAITING
    task.waiting_since = 100.0

    def choose(now: float, idle: bool) -> Runner | None:
        return choose_runner(task, [runner], Limits(), interference, now, idle)

    assert choose(101.0, True) is None
    assert choose(102.5, True) is runner
    assert choose(102.5, False) is None
    assert choose(113.0, False) is runner


def test_a_quiet_phase_does_not_make_a_harmful_image_harmless():
    # Guards against a harmful image that is learnt as harmless and runs at full speed
    # everywhere just before its quiet phases end: for seconds all of its tasks use 0.68
    # of their processors and interfere a quarter as much.
    interference = InterferenceModel()
    runner, other = make_runner("r0@1"), make_runner("r1@1")
    run_task(runner, make_serving_step(), "web")
    run_task(other, make_serving_step(), "web")
    for _ in range(3):
        run_task(runner, make_backfill_step("heavy"))
    used = 0.68 * 7_000
    stretch = 1 + TRUE_WEIGHTS["heavy"] * QUIET_WEIGHT * 3 * used / CPU
    for number in range(80):
        now = number * 0.25
        learn_from_sample(interference, read_sample(other, report(other, now)), now)
        tail_ms = smooth("quiet", 50.0 * find_tail(get_load(now), stretch), now)
        rows = [
            ReportedRun(key, 1, "", 100, used if task.step.spec.backfill else tail_ms)
            for key, task in runner.tasks.items()
        ]
        learn_from_sample(interference, read_sample(runner, rows), now)
    assert find_weight(interference, "web", "heavy") > 0.6 * TRUE_WEIGHTS["heavy"]


def test_stopped_work_is_sped_up_step_by_step():
    # Guards against interference that returns at full strength: all work beside a
    # serving task was stopped, since one image was wrongly considered harmless.
    interference = InterferenceModel()
    runner = make_runner("r0@1")
    run_task(runner, make_serving_step(), "web")
    run_task(runner, make_backfill_step("light"))
    train_all(interference)
    runner.base_margins = {"web": 4.0}
    interference.trends["web"] = Trend(4.0, 4.0, 0.0)
    runner.paces = {"light": 0}
    apply_paces(runner, interference)
    assert 0 < get_pace(runner, "light") <= 50
    apply_paces(runner, interference)
    apply_paces(runner, interference)
    assert get_pace(runner, "light") == 100


def test_a_small_rise_of_a_pace_is_not_ordered(monkeypatch):
    # Guards against an owner whose reports are delayed because a third of its calls are
    # orders that raise paces by a few points after each report.
    state = Dispatcher(Limits())
    runner = make_runner("r0@1")
    run_task(runner, make_serving_step(), "web")
    task = run_task(runner, make_backfill_step("heavy"))

    def order(pace: int) -> int:
        monkeypatch.setattr(orders, "choose_paces", lambda *_: {"heavy": pace})
        pace_backfill(state, runner, 100.0)
        return task.pace

    lower = 50 - orders.MIN_PACE_DECREASE
    assert order(50) == 50
    assert order(50 + orders.MIN_PACE_INCREASE - 1) == 50
    assert order(lower + 1) == 50
    assert order(lower) == lower
    assert order(lower + orders.MIN_PACE_INCREASE) == lower + orders.MIN_PACE_INCREASE
    assert order(100) == 100


def test_all_backfill_work_stops_if_a_target_is_missed_for_long():
    # Guards against a target that is missed for longer than the four seconds allowed,
    # when no weight explains it: after two seconds all backfill tasks there stop.
    state = Dispatcher(Limits(missed_target_s=4.0))
    runner = make_runner("r0@1")
    run_task(runner, make_serving_step(), "web")
    task = run_task(runner, make_backfill_step("light"))
    runner.base_margins = {"web": 4.0}
    runner.over_target_since = 100.0
    pace_backfill(state, runner, 101.0)
    assert task.pace > 0
    pace_backfill(state, runner, 102.0)
    assert task.pace == 0


def test_a_task_from_another_unit_is_placed_beside_its_own_job():
    # Two tasks of one serving job were handed over one by one. Their load swings
    # together, so that on one runner they leave whole runners to backfill work. Guards
    # against treating them as two jobs, which places the second on the fullest runner.
    beside, fuller = make_runner("r0@1"), make_runner("r1@1")
    piece = run_task(beside, make_serving_step(), "web")
    run_task(fuller, make_serving_step(), "other")
    run_task(fuller, make_serving_step(), "third")
    key = piece.key._replace(number=next(_numbers))
    step = StepRun(piece.step.job, 0, 0, piece.step.spec)
    late = Task(key, step)
    for runner in (beside, fuller):
        runner.recent_unreserved.append(CPU)
    chosen = choose_runner(late, [beside, fuller], Limits(), InterferenceModel(), 100.0)
    assert chosen is beside
