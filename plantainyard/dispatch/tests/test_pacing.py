"""Paces and places of backfilling work, on replayed swings of serving load."""

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
from plantainyard.dispatch.tests.test_interference import TRUE, find_tail, swing
from plantainyard.dispatch.weights import find_weight
from plantainyard.platform.entries import RunnerEntry
from plantainyard.platform.runners import ReportedRun

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


def put(runner: Runner, spec: Step, job_id: str = "") -> Task:
    """Let a task of a job of its own run on a runner."""
    job_id = job_id or f"j{next(_numbers)}"
    job = Job(Submission(job_id, "q", "tollgate", "", (spec,)), 0.0, (0.0,))
    task = Task(TaskKey(job_id, 0, 0, next(_numbers)), StepRun(job, 0, 0, spec))
    task.phase = Phase.RUNNING
    reserve_resources(runner, task)
    return task


def serving() -> Step:
    return Step(1, Resources(10_000, 1, 0), image="web", target_ms=50.0)


def filling(image: str) -> Step:
    return Step(1, Resources(7_000, 1, 0), image=image, backfill=True)


def smooth(incarnation: str, tail_ms: float, now: float) -> float:
    """Return the tail as runners report it: smoothed over less than half a second."""
    at, before = _reported.get(incarnation, (now, tail_ms))
    kept = math.exp(-max(0.0, now - at) / SMOOTHING_S) if now >= at else 0.0
    _reported[incarnation] = (now, kept * before + (1 - kept) * tail_ms)
    return _reported[incarnation][1]


def report(runner: Runner, now: float) -> list[ReportedRun]:
    """Return what the runner says after half a second at its paces of now."""
    loads = {
        task.key: 7_000 * get_pace(runner, task.step.spec.image) / 100
        for task in runner.tasks.values()
        if task.step.spec.backfill
    }
    stretch = 1 + sum(
        TRUE[runner.tasks[key].step.spec.image] * load / CPU
        for key, load in loads.items()
    )
    tail_ms = smooth(runner.incarnation, 50.0 * find_tail(swing(now), stretch), now)
    return [
        ReportedRun(key, 1, "", 100, loads.get(key, round(tail_ms)))
        for key in runner.tasks
    ]


def apply_paces(runner: Runner, interference: InterferenceModel) -> None:
    """Choose paces and have them in force at once."""
    runner.paces = choose_paces(runner, interference)
    for task in runner.tasks.values():
        task.previous_pace = task.pace
        task.pace = get_pace(runner, task.step.spec.image)


def play(images: list[str]) -> tuple[float, float]:
    """Return the part of reports over the target, and the work done, of most."""
    interference = InterferenceModel()
    full, other = make_runner("r0@1"), make_runner("r1@1")
    put(full, serving(), "web")
    put(other, serving(), "web")
    for image in images:
        put(full, filling(image))
    apply_paces(full, interference)
    missed, done, reports = 0, 0.0, 240
    for number in range(reports):
        now = number * 0.25
        for runner in (other, full):
            rows = report(runner, now)
            sample = read_sample(runner, rows)
            missed += any(tail.value > 1.0 for tail in sample.tails)
            runner.base_margins = learn_from_sample(interference, sample, now)
        paces = [get_pace(full, image) / 100 for image in images]
        done += sum(paces) / len(paces)
        apply_paces(full, interference)
    return missed / reports, done / reports


def test_harmful_work_is_done_while_the_serving_load_is_low():
    # Two harmful tasks share a runner with a serving one whose load swings. Let go,
    # they put its tail over the target in half of all reports; stopped until it is
    # calm for good they would never end.
    missed, done = play(["heavy", "heavy"])
    assert missed == 0
    assert done > 0.35


def test_harmless_work_isnt_slowed_for_what_harms():
    missed, done = play(["light", "light", "light"])
    assert missed == 0
    assert done > 0.95


def test_what_harms_most_is_slowed_first():
    interference = InterferenceModel()
    runner, other = make_runner("r0@1"), make_runner("r1@1")
    put(runner, serving(), "web")
    put(other, serving(), "web")
    for image in ("heavy", "light", "light"):
        put(runner, filling(image))
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


def test_work_goes_where_it_gets_on():
    # A harmful image finds one runner with a serving task at its peak and one at its
    # trough. Sent to the first it would be stopped there, and hold its memory.
    interference = InterferenceModel()
    play_harms(interference)
    busy, calm = make_runner("r0@1"), make_runner("r1@1")
    for runner, base in ((busy, 1.6), (calm, 3.8)):
        task = put(runner, serving())
        runner.base_margins = {task.key.job_id: base}
        interference.trends[task.key.job_id] = Trend(base, base, 0.0)
        update_headroom(runner, interference)
    task = put(make_runner("r2@1"), filling("heavy"))
    task.phase = Phase.WAITING
    chosen = choose_runner(task, [busy, calm], Limits(), interference, 0.0)
    assert chosen is calm
    assert choose_runner(task, [busy], Limits(), interference, 0.0) is None


def test_harmless_work_is_let_in_beside_harmful_work_that_is_slowed():
    # One harmful task takes up all that a serving task leaves, and harmless jobs wait
    # for minutes while half of the processors are unused. A tenth of the harmful one's
    # pace makes room for a whole harmless one.
    interference = InterferenceModel()
    play_harms(interference)
    runner = make_runner("r0@1")
    neighbour = put(runner, serving())
    put(runner, filling("heavy"))
    put(runner, filling("heavy"))
    runner.base_margins = {neighbour.key.job_id: 2.0}
    interference.trends[neighbour.key.job_id] = Trend(2.0, 2.0, 0.0)
    update_headroom(runner, interference)

    def choose(image: str) -> Runner | None:
        task = put(make_runner("r2@1"), filling(image))
        task.phase = Phase.WAITING
        return choose_runner(task, [runner], Limits(), interference, 0.0)

    assert choose("light") is runner
    assert choose("heavy") is None


def play_harms(interference: InterferenceModel) -> None:
    """Teach the weights of all images."""
    runner, other = make_runner("r8@1"), make_runner("r9@1")
    put(runner, serving(), "web")
    put(other, serving(), "web")
    images = list(TRUE)
    for number in range(40 * len(images)):
        now = number * 0.25
        if number % 40 == 0:
            runner.tasks = dict(list(runner.tasks.items())[:1])
            put(runner, filling(images[number // 40]))
        learn_from_sample(interference, read_sample(other, report(other, now)), now)
        learn_from_sample(interference, read_sample(runner, report(runner, now)), now)


def test_a_job_of_which_nothing_runs_is_not_kept_waiting_for_a_good_place():
    # Most of the fleet is free, and all runners have serving tasks that a harmful image
    # would slow it for. Kept waiting for one where it gets on, its job ran nowhere for
    # the rest of the day.
    interference = InterferenceModel()
    play_harms(interference)
    runner = make_runner("r0@1")
    neighbour = put(runner, serving())
    runner.base_margins = {neighbour.key.job_id: 1.3}
    interference.trends[neighbour.key.job_id] = Trend(1.3, 1.3, 0.0)
    update_headroom(runner, interference)
    task = put(make_runner("r2@1"), filling("heavy"))
    task.phase = Phase.WAITING
    task.waiting_since = 100.0

    def choose(now: float, idle: bool) -> Runner | None:
        return choose_runner(task, [runner], Limits(), interference, now, idle)

    assert choose(101.0, True) is None
    assert choose(102.5, True) is runner
    assert choose(102.5, False) is None
    assert choose(113.0, False) is runner


def test_a_quiet_phase_does_not_make_a_harmful_image_harmless():
    # For seconds all tasks of a harmful image are in quiet phases: they use 0.68 of
    # their processors and harm a quarter as much. Taken as they are, the image would be
    # learnt as harmless and let go everywhere just before the phases end.
    interference = InterferenceModel()
    runner, other = make_runner("r0@1"), make_runner("r1@1")
    put(runner, serving(), "web")
    put(other, serving(), "web")
    for _ in range(3):
        put(runner, filling("heavy"))
    used = 0.68 * 7_000
    stretch = 1 + TRUE["heavy"] * QUIET_WEIGHT * 3 * used / CPU
    for number in range(80):
        now = number * 0.25
        learn_from_sample(interference, read_sample(other, report(other, now)), now)
        tail_ms = smooth("quiet", 50.0 * find_tail(swing(now), stretch), now)
        rows = [
            ReportedRun(key, 1, "", 100, used if task.step.spec.backfill else tail_ms)
            for key, task in runner.tasks.items()
        ]
        learn_from_sample(interference, read_sample(runner, rows), now)
    assert find_weight(interference, "web", "heavy") > 0.6 * TRUE["heavy"]


def test_work_that_was_stopped_is_let_go_step_by_step():
    # All work beside a serving task was stopped, since one image that was taken for
    # harmless is not. Let go at full speed together, it strikes again at full force.
    interference = InterferenceModel()
    runner = make_runner("r0@1")
    put(runner, serving(), "web")
    put(runner, filling("light"))
    play_harms(interference)
    runner.base_margins = {"web": 4.0}
    interference.trends["web"] = Trend(4.0, 4.0, 0.0)
    runner.paces = {"light": 0}
    apply_paces(runner, interference)
    assert 0 < get_pace(runner, "light") <= 50
    apply_paces(runner, interference)
    apply_paces(runner, interference)
    assert get_pace(runner, "light") == 100


def test_a_small_rise_of_a_pace_is_not_ordered(monkeypatch):
    # Paces follow each report. An owner that orders each rise by some points spends a
    # third of its calls on paces, and its reports come late for it.
    state = Dispatcher(Limits())
    runner = make_runner("r0@1")
    put(runner, serving(), "web")
    task = put(runner, filling("heavy"))

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


def test_everything_is_stopped_where_a_target_is_missed_for_long():
    # A target is missed for two of the four seconds that it may be, and no weight
    # explains it. Whatever backfills there stops, whoever it was.
    state = Dispatcher(Limits(missed_target_s=4.0))
    runner = make_runner("r0@1")
    put(runner, serving(), "web")
    task = put(runner, filling("light"))
    runner.base_margins = {"web": 4.0}
    runner.over_target_since = 100.0
    pace_backfill(state, runner, 101.0)
    assert task.pace > 0
    pace_backfill(state, runner, 102.0)
    assert task.pace == 0


def test_a_task_from_another_unit_goes_beside_its_own_job():
    # Two tasks of one serving job were handed over one by one. They swing together, and
    # beside each other they leave whole runners to backfilling work; taken for tasks of
    # two jobs, the second goes wherever it is fullest.
    beside, fuller = make_runner("r0@1"), make_runner("r1@1")
    piece = put(beside, serving(), "web")
    put(fuller, serving(), "other")
    put(fuller, serving(), "third")
    key = piece.key._replace(number=next(_numbers))
    step = StepRun(piece.step.job, 0, 0, piece.step.spec)
    late = Task(key, step)
    for runner in (beside, fuller):
        runner.recent_unreserved.append(CPU)
    chosen = choose_runner(late, [beside, fuller], Limits(), InterferenceModel(), 100.0)
    assert chosen is beside
