"""Which runner a task starts on.

The load that it answers: backfilling tasks crowd runners whose processors are taken,
and then all of them are slow; and runners that fail or stand still draw new work
because they are always free.
"""

from collections.abc import Iterable

from plantainyard.batch.values import Step
from plantainyard.dispatch.interference import (
    Harms,
    begin_trial,
    find_weight,
    find_weight_at_worst,
    is_known,
    is_tried_elsewhere,
    list_images,
)
from plantainyard.dispatch.limits import Limits
from plantainyard.dispatch.model import Runner, StepRun, Task
from plantainyard.dispatch.pacing import pace_of

LEAST_PACE = 35
"""Share of full speed below which an image's tasks get no company on a runner: each
more would prolong the harm that they were slowed for."""

TRIAL_PACE = 40
"""Share of full speed of the first task of a pair that was never seen: a harmful one
then adds about half a target instead of more than one."""

__all__ = ["choose_runner", "note_trials", "release_room", "take_room"]


CROWDED_COST = 4.0
"""Weight of a core that backfilling tasks want beyond what is unused."""

RACK_BONUS = 1_000.0
"""Weight of the preferred rack: elsewhere a task takes several times as long, which
no difference in load makes up for."""

SERVING_USE = 0.5
"""Share of its processor time that a serving task is taken to use; in reports it is
between 0.2 and 0.7."""

HARM_COST = 60.0
"""Weight of a target that a serving task is expected to miss: as much as a whole
runner's unused cores."""

MOST_TAIL = 0.8
"""Expected tail in targets beyond which a backfilling task isn't placed at all while
it can wait."""

PATIENCE_S = 8.0
"""Time for which a backfilling task waits for a runner where it does no harm; after
that the runners that mind it least will do."""

NEARLY_LEAST = 1.5
"""Weights above the least one that still count as minding a task least."""

SAME_IMAGE_BONUS = 100.0
"""Weight of a runner whose serving tasks all have the image of the one to be placed.
Images differ in what harms them; kept apart from each other, each backfilling image
finds runners where nothing is sensitive to it."""

OTHER_IMAGE_COST = 200.0
"""Weight of each other serving image on the runner."""

FREEDOM_COST = 40.0
"""Weight of a runner where all backfilling images are harmless against one where none
is: work that many runners can take leaves the tolerant ones to work that can't go
elsewhere."""

HARMLESS = 2.0
"""Weight of a pair below which it counts as harmless: a task of a tenth of the runner
adds a fifth of a target."""

BAD_COST = 50.0
"""Weight of a failure: a runner that failed something lately is a worse bet than a
fuller one."""


def choose_runner(
    task: Task, runners: Iterable[Runner], limits: Limits, harms: Harms, now: float
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
    harms : Harms
        What is learnt of interference.
    now : float
        The dispatcher's clock.

    Notes
    -----
    The cost is one pass over the runners.
    """
    step = task.step
    usable = [
        runner
        for runner in runners
        if _can_start(step, runner, now) and _has_room(step.spec, runner)
    ]
    fresh = [r for r in usable if r.entry and r.entry.runner not in task.avoided]
    scored = fresh or usable
    if step.spec.backfill:
        scored = _spare_serving(task, scored, harms, now)
    if not scored:
        return None
    return max(scored, key=lambda runner: _score(step, runner, limits, harms))


def _spare_serving(
    task: Task, runners: list[Runner], harms: Harms, now: float
) -> list[Runner]:
    """Return the runners where a backfilling task may start for all that is known.

    Notes
    -----
    Guards against a task that no runner is tolerant enough for: after some time it
    goes where it is minded least. It never goes to a sensitive runner because the
    tolerant ones are full: it would be slowed to a stop there and hold its memory.
    """
    spec = task.step.spec
    kind = [
        runner
        for runner in runners
        if expect_tail(spec, runner, harms) < MOST_TAIL
        and not _is_tried(spec, runner, harms, now)
    ]
    if kind or now - task.waiting_since < PATIENCE_S:
        return kind
    weights = {r.life: _find_worst_weight(spec, r, harms) for r in runners}
    least = min(weights.values(), default=0.0)
    if least < HARMLESS:
        return []
    return [r for r in runners if weights[r.life] <= least + NEARLY_LEAST]


def _find_worst_weight(spec: Step, runner: Runner, harms: Harms) -> float:
    weights = (find_weight(harms, serving, spec.image) for serving in runner.tails)
    return max(weights, default=0.0)


def _is_tried(spec: Step, runner: Runner, harms: Harms, now: float) -> bool:
    return any(
        is_tried_elsewhere(harms, serving, spec.image, runner.life, now)
        for serving in runner.tails
    )


def note_trials(task: Task, runner: Runner, harms: Harms, now: float) -> None:
    """Let a backfilling task begin slowly where its image was never seen."""
    spec = task.step.spec
    if not spec.backfill:
        return
    new = [s for s in runner.tails if not is_known(harms, s, spec.image)]
    for serving in new:
        begin_trial(harms, serving, spec.image, runner.life, now)
    if new:
        runner.paces[spec.image] = min(pace_of(runner, spec.image), TRIAL_PACE)


def expect_tail(spec: Step, runner: Runner, harms: Harms) -> float:
    """Return the worst tail, in targets, with one more backfilling task there.

    Notes
    -----
    What was measured covers the runner as it is: its load, its speed. To it comes what
    started since, or will go faster than it did, by the learnt weights.
    """
    assert runner.entry is not None
    cpu = max(1, runner.entry.capacity.cpu)
    more = spec.resources.cpu / cpu
    rises = {
        image: asked / cpu * pace_of(runner, image) / 100 - runner.loads.get(image, 0.0)
        for image, asked in runner.backfill.items()
    }
    worst = 0.0
    for serving, measured in runner.tails.items():
        coming = sum(
            find_weight(harms, serving, image) * rise
            for image, rise in rises.items()
            if rise > 0
        )
        weight = find_weight_at_worst(harms, serving, spec.image)
        worst = max(worst, measured + coming + weight * more)
    return worst


def _can_start(step: StepRun, runner: Runner, now: float) -> bool:
    entry = runner.entry
    if entry is None or not runner.listed or not runner.known or not runner.answering:
        return False
    if entry.draining or entry.service != step.job.submission.service:
        return False
    spec = step.spec
    if spec.requires and spec.requires not in entry.labels:
        return False
    if not spec.long_running and runner.quarantined_until > now:
        return False
    if spec.backfill and pace_of(runner, spec.image) < LEAST_PACE:
        return False
    most = spec.max_per_runner
    return not most or _count_here(step, runner) < most


def _count_here(step: StepRun, runner: Runner) -> int:
    return sum(1 for task in runner.tasks.values() if task.step is step)


def _has_room(spec: Step, runner: Runner) -> bool:
    assert runner.entry is not None
    capacity = runner.entry.capacity
    wanted = spec.resources
    cpu = 0 if spec.backfill else wanted.cpu
    return (
        runner.cpu + cpu <= capacity.cpu
        and runner.memory + wanted.memory <= capacity.memory
        and runner.gpu + wanted.gpu <= capacity.gpu
    )


def _score(step: StepRun, runner: Runner, limits: Limits, harms: Harms) -> float:
    assert runner.entry is not None
    spec = step.spec
    near = runner.entry.rack == spec.preferred_rack and spec.preferred_rack != ""
    score = RACK_BONUS if near and limits.remote_factor > 1 else 0.0
    unused = (runner.entry.capacity.cpu - runner.cpu) / 1000
    score -= BAD_COST * runner.bad
    if spec.backfill:
        unused += (1 - SERVING_USE) * runner.serving_cpu / 1000
        unused -= (sum(runner.backfill.values()) + spec.resources.cpu) / 1000
        score += unused + min(0.0, unused) * CROWDED_COST
        score -= HARM_COST * expect_tail(spec, runner, harms)
        return score - FREEDOM_COST * _measure_freedom(runner, harms)
    if spec.target_ms:
        score += _match_images(spec, runner)
    # The fullest runner that has room: what is left free stays whole, for tasks that
    # need much and for backfilling ones that find no serving task there.
    return score - unused


def _measure_freedom(runner: Runner, harms: Harms) -> float:
    """Return the share of known backfilling images that do no harm on the runner."""
    images = list_images(harms)
    if not images:
        return 0.0
    harmless = sum(
        all(find_weight(harms, serving, image) < HARMLESS for serving in runner.tails)
        for image in images
    )
    return harmless / len(images)


def _match_images(spec: Step, runner: Runner) -> float:
    images = {t.step.spec.image for t in runner.tasks.values() if t.step.spec.target_ms}
    same = SAME_IMAGE_BONUS if images == {spec.image} else 0.0
    return same - OTHER_IMAGE_COST * len(images - {spec.image})


def take_room(runner: Runner, task: Task) -> None:
    """Count a task's resources at the runner where its run is or may be."""
    _count_room(runner, task, 1)
    runner.tasks[task.key] = task


def release_room(runner: Runner, task: Task) -> None:
    """Stop counting a task that `take_room` counted."""
    if runner.tasks.pop(task.key, None) is not None:
        _count_room(runner, task, -1)


def _count_room(runner: Runner, task: Task, sign: int) -> None:
    spec = task.step.spec
    cpu = sign * spec.resources.cpu
    if spec.backfill:
        runner.backfill[spec.image] = runner.backfill.get(spec.image, 0) + cpu
    else:
        runner.cpu += cpu
        runner.serving_cpu += cpu if spec.target_ms else 0
    runner.memory += sign * spec.resources.memory
    runner.gpu += sign * spec.resources.gpu
