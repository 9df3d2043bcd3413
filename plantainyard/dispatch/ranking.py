"""Ranking the runners where a task may start.

Guards against two failures: runners that fail or stall would attract new work, because
they always have free capacity; and for steps of dozens of tasks, each task would
examine all runners again although an assignment changes only one of them.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from plantainyard.batch.values import Step
from plantainyard.dispatch.estimates import InterferenceModel
from plantainyard.dispatch.limits import Limits
from plantainyard.dispatch.model import Runner, Task
from plantainyard.dispatch.placing import (
    can_start,
    count_step_tasks,
    estimate_speed,
    find_min_speed,
    has_capacity,
    measure_unused_cpu,
)
from plantainyard.dispatch.weights import find_weight, list_known_images

__all__ = [
    "Place",
    "RankedPlaces",
    "choose_place",
    "choose_runner",
    "rank_places",
    "refresh_places",
]

RACK_BONUS = 1_000.0
"""Score of the preferred rack: elsewhere a task takes several times as long, which no
difference in load makes up for."""

SPEED_GAIN = 100.0
"""Score of full speed over no progress at all."""

UNUSED_CPU_GAIN = 20.0
"""Score of a runner whose processors are all unused over one where none are."""

SAME_IMAGE_BONUS = 100.0
"""Score of a runner whose serving tasks all have the image of the task to be placed.
Images differ in what interferes with them; if they are kept apart, each backfill image
finds runners where nothing is sensitive to it."""

SAME_JOB_BONUS = 50.0
"""Score of a runner that has tasks of the same job: their load swings together, and
while it is low, backfill work can use a whole runner."""

OTHER_IMAGE_COST = 200.0
"""Cost of each other serving image on the runner."""

TOLERANCE_COST = 40.0
"""Cost of a runner where all backfill images are harmless relative to one where none
are: work that many runners can take leaves the tolerant ones to work that can't run
elsewhere."""

HARMLESS_WEIGHT = 0.7
"""Weight of a pair below which it counts as harmless: a task that uses a tenth of the
runner stretches the serving tasks' work by 7 %."""

SLOW_COST = 400.0
"""Cost of each task's run time that a slow runner adds to it: more than other
preferences, and as much as the preferred rack if it takes 3.5 times as long."""

FAILURE_COST = 50.0
"""Cost of a recent failure: a runner that failed lately is a greater risk than a fuller
one."""


@dataclass(slots=True)
class Place:
    """A runner where the next task of a step may start.

    Attributes
    ----------
    runner : Runner
        The runner.
    speed : float
        Share of full speed that a backfill task would get there; 1 for other tasks.
    score : float or None
        The higher the better; None until it is needed.
    """

    runner: Runner
    speed: float
    score: float | None = None


@dataclass(slots=True)
class RankedPlaces:
    """The runners where the tasks of a step may start.

    Attributes
    ----------
    places : dict
        By the runner's incarnation, in the order in which the runners were given.
    assignments_seen : int
        Number of this pass's assignments that are taken into account.
    """

    places: dict[str, Place]
    assignments_seen: int = 0


def choose_runner(
    task: Task,
    runners: Iterable[Runner],
    limits: Limits,
    interference: InterferenceModel,
    now: float,
    idle: bool = False,
) -> Runner | None:
    """Return the best runner for a task, or None if it should wait.

    Parameters
    ----------
    task : Task
        A waiting task.
    runners : iterable of Runner
        Runners of the job's service.
    limits : Limits
        Provides the slowdown away from the preferred rack.
    interference : InterferenceModel
        The weights of pairs of images.
    now : float
        The dispatcher's clock.
    idle : bool
        Less than half of the fleet's processors are reserved.
    """
    ranked = rank_places(task, runners, interference, now)
    return choose_place(task, ranked, limits, interference, now, idle)


def rank_places(
    task: Task, runners: Iterable[Runner], interference: InterferenceModel, now: float
) -> RankedPlaces:
    """Return the runners where a task may start.

    Notes
    -----
    The cost is one pass over the runners. The result is valid for all tasks of the step
    that have run before, or for all that haven't, until a task is assigned to a runner;
    `refresh_places` then examines that runner only.
    """
    found = (
        (runner, _find_place(task, runner, interference, now)) for runner in runners
    )
    return RankedPlaces({runner.incarnation: place for runner, place in found if place})


def refresh_places(
    ranked: RankedPlaces,
    task: Task,
    assigned: list[Runner],
    interference: InterferenceModel,
    now: float,
) -> None:
    """Update the places for the assignments that were made since the last call."""
    for runner in assigned[ranked.assignments_seen :]:
        place = _find_place(task, runner, interference, now)
        if place is None:
            ranked.places.pop(runner.incarnation, None)
        else:
            ranked.places[runner.incarnation] = place
    ranked.assignments_seen = len(assigned)


def _find_place(
    task: Task, runner: Runner, interference: InterferenceModel, now: float
) -> Place | None:
    spec = task.step.spec
    # Most runners are full, which is cheap to tell.
    if runner.entry is None or not has_capacity(spec, runner):
        return None
    if not can_start(task, runner, now):
        return None
    return Place(
        runner, estimate_speed(spec, runner, interference) if spec.backfill else 1.0
    )


def choose_place(
    task: Task,
    ranked: RankedPlaces,
    limits: Limits,
    interference: InterferenceModel,
    now: float,
    idle: bool,
) -> Runner | None:
    """Return the best runner among ranked places, or None if the task should wait.

    Notes
    -----
    Guards against a backfill task that waits for ever because no runner is tolerant
    enough: the longer it waits, the lower the speed that is accepted. It doesn't go to
    a sensitive runner at once because the tolerant ones are full: there it would be
    slowed to a stop and hold its memory.
    """
    usable = list(ranked.places.values())
    if task.avoided_runners:
        preferred = [p for p in usable if not _is_avoided(task, p.runner)]
        usable = preferred or usable
    if task.step.spec.backfill:
        min_speed = find_min_speed(task, now, idle)
        usable = [place for place in usable if place.speed >= min_speed]
    for place in usable:
        if place.score is None:
            place.score = _score_place(task, place, limits, interference)
    best = max(usable, key=_get_score, default=None)
    return None if best is None else best.runner


def _is_avoided(task: Task, runner: Runner) -> bool:
    return runner.entry is None or runner.entry.runner in task.avoided_runners


def _get_score(place: Place) -> float:
    assert place.score is not None
    return place.score


def _score_place(
    task: Task, place: Place, limits: Limits, interference: InterferenceModel
) -> float:
    if task.step.spec.backfill:
        return _score_for_backfill(
            task, place.runner, limits, interference, place.speed
        )
    return _score_for_reserved(task, place.runner, limits)


def _score_for_reserved(task: Task, runner: Runner, limits: Limits) -> float:
    assert runner.entry is not None
    spec = task.step.spec
    score = _score_runner(spec, runner, limits)
    if spec.target_ms:
        score += _score_serving_images(task, runner)
    # Prefer the fullest runner: other runners keep large gaps, for large tasks and for
    # backfill tasks that find no serving task there.
    return score - (runner.entry.capacity.cpu - runner.reserved_cpu) / 1000


def _score_for_backfill(
    task: Task,
    runner: Runner,
    limits: Limits,
    interference: InterferenceModel,
    speed: float,
) -> float:
    assert runner.entry is not None
    score = _score_runner(task.step.spec, runner, limits)
    score += SPEED_GAIN * speed
    score += measure_unused_cpu(runner) / runner.entry.capacity.cpu * UNUSED_CPU_GAIN
    return score - TOLERANCE_COST * _measure_tolerance(runner, interference)


def _score_runner(spec: Step, runner: Runner, limits: Limits) -> float:
    """Return the part of a runner's score that applies to all kinds of tasks."""
    assert runner.entry is not None
    on_preferred_rack = (
        runner.entry.rack == spec.preferred_rack and spec.preferred_rack != ""
    )
    score = RACK_BONUS if on_preferred_rack and limits.remote_factor > 1 else 0.0
    if runner.slowdown > 1.0 and not spec.long_running:
        score -= SLOW_COST * (runner.slowdown - 1.0)
    return score - FAILURE_COST * runner.failure_score


def _measure_tolerance(runner: Runner, interference: InterferenceModel) -> float:
    """Return the share of the known backfill images that are harmless on a runner."""
    images = list_known_images(interference)
    if not images:
        return 0.0
    harmless = sum(
        all(
            find_weight(interference, serving, image) < HARMLESS_WEIGHT
            for serving in runner.serving_headroom
        )
        for image in images
    )
    return harmless / len(images)


def _score_serving_images(task: Task, runner: Runner) -> float:
    """Return the score of a runner for the images of its serving tasks."""
    image = task.step.spec.image
    images = {t.step.spec.image for t in runner.tasks.values() if t.step.spec.target_ms}
    score = SAME_IMAGE_BONUS if images == {image} else 0.0
    score += SAME_JOB_BONUS if count_step_tasks(task, runner) else 0.0
    return score - OTHER_IMAGE_COST * len(images - {image})
