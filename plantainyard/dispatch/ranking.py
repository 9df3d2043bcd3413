"""Which of the runners where a task may start is the best.

The load that it answers: runners that fail or stand still draw new work because they
are always free; and steps of dozens of tasks, each of which would look through all
runners anew while an assignment changes only one of them.
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
"""Weight of the preferred rack: elsewhere a task takes several times as long, which
no difference in load makes up for."""

SPEED_GAIN = 100.0
"""Weight of full speed against a stop."""

UNUSED_CPU_GAIN = 20.0
"""Weight of a runner whose processors are all unused against one where none are."""

SAME_IMAGE_BONUS = 100.0
"""Weight of a runner whose serving tasks all have the image of the one to be placed.
Images differ in what harms them; kept apart from each other, each backfilling image
finds runners where nothing is sensitive to it."""

SAME_JOB_BONUS = 50.0
"""Weight of a runner that has tasks of the same job: their load swings together, and
while it is low backfilling work finds a whole runner."""

OTHER_IMAGE_COST = 200.0
"""Weight of each other serving image on the runner."""

TOLERANCE_COST = 40.0
"""Weight of a runner where all backfilling images are harmless against one where none
is: work that many runners can take leaves the tolerant ones to work that can't go
elsewhere."""

HARMLESS_WEIGHT = 0.7
"""Weight of a pair below which it counts as harmless: a task of a tenth of the runner
stretches the serving tasks' work by 7 %."""

FAILURE_COST = 50.0
"""Weight of a failure: a runner that failed something lately is a worse bet than a
fuller one."""


@dataclass(slots=True)
class Place:
    """A runner where a step's next task may start.

    Attributes
    ----------
    runner : Runner
        The runner.
    speed : float
        Share of full speed that a backfilling task would get there; one for others.
    score : float or None
        What speaks for it; None until it was asked for.
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
        By runner's life, in the order in which the runners were given.
    seen : int
        How many of the assignments of this pass they take into account.
    """

    places: dict[str, Place]
    seen: int = 0


def choose_runner(
    task: Task,
    runners: Iterable[Runner],
    limits: Limits,
    interference: InterferenceModel,
    now: float,
    idle: bool = False,
) -> Runner | None:
    """Return the runner where `task` starts, or None if none can take it now.

    Parameters
    ----------
    task : Task
        A waiting task.
    runners : iterable of Runner
        Runners of the job's service.
    limits : Limits
        For the cost of being away from the data.
    interference : InterferenceModel
        What is learnt of interference.
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
    The cost is one pass over the runners. What is found holds for all tasks of the step
    that have run before, or for all that haven't, until something is assigned to a
    runner; `refresh_places` then looks at that one only.
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
    """Look again at the runners to which something was assigned since the last look."""
    for runner in assigned[ranked.seen :]:
        place = _find_place(task, runner, interference, now)
        if place is None:
            ranked.places.pop(runner.incarnation, None)
        else:
            ranked.places[runner.incarnation] = place
    ranked.seen = len(assigned)


def _find_place(
    task: Task, runner: Runner, interference: InterferenceModel, now: float
) -> Place | None:
    spec = task.step.spec
    if not can_start(task, runner, now) or not has_capacity(spec, runner):
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
    """Return the best place of a task, or None where it had better wait.

    Notes
    -----
    Guards against a task that no runner is tolerant enough for: the longer it waits
    the slower a start will do. It never goes to a sensitive runner at once because the
    tolerant ones are full: it would be slowed to a stop there and hold its memory.
    """
    usable = list(ranked.places.values())
    if task.avoided:
        fresh = [p for p in usable if not _is_avoided(task, p.runner)]
        usable = fresh or usable
    if task.step.spec.backfill:
        least = find_min_speed(task, now, idle)
        usable = [place for place in usable if place.speed >= least]
    for place in usable:
        if place.score is None:
            place.score = _score_place(task, place, limits, interference)
    best = max(usable, key=_get_score, default=None)
    return None if best is None else best.runner


def _is_avoided(task: Task, runner: Runner) -> bool:
    return runner.entry is None or runner.entry.runner in task.avoided


def _get_score(place: Place) -> float:
    assert place.score is not None
    return place.score


def _score_place(
    task: Task, place: Place, limits: Limits, interference: InterferenceModel
) -> float:
    if task.step.spec.backfill:
        return _score_backfill(task, place.runner, limits, interference, place.speed)
    return _score(task, place.runner, limits)


def _score(task: Task, runner: Runner, limits: Limits) -> float:
    assert runner.entry is not None
    spec = task.step.spec
    score = _score_runner(spec, runner, limits)
    if spec.target_ms:
        score += _match_images(task, runner)
    # The fullest runner that has room: what is left free stays whole, for tasks that
    # need much and for backfilling ones that find no serving task there.
    return score - (runner.entry.capacity.cpu - runner.cpu) / 1000


def _score_backfill(
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
    return score - TOLERANCE_COST * _measure_freedom(runner, interference)


def _score_runner(spec: Step, runner: Runner, limits: Limits) -> float:
    """Return what speaks for a runner whatever kind of task a step has."""
    assert runner.entry is not None
    near = runner.entry.rack == spec.preferred_rack and spec.preferred_rack != ""
    score = RACK_BONUS if near and limits.remote_factor > 1 else 0.0
    return score - FAILURE_COST * runner.bad


def _measure_freedom(runner: Runner, interference: InterferenceModel) -> float:
    """Return the share of known backfilling images that do no harm on the runner."""
    images = list_known_images(interference)
    if not images:
        return 0.0
    harmless = sum(
        all(
            find_weight(interference, serving, image) < HARMLESS_WEIGHT
            for serving in runner.rooms
        )
        for image in images
    )
    return harmless / len(images)


def _match_images(task: Task, runner: Runner) -> float:
    image = task.step.spec.image
    images = {t.step.spec.image for t in runner.tasks.values() if t.step.spec.target_ms}
    same = SAME_IMAGE_BONUS if images == {image} else 0.0
    same += SAME_JOB_BONUS if count_step_tasks(task, runner) else 0.0
    return same - OTHER_IMAGE_COST * len(images - {image})
