"""Which runner a task starts on.

The load that it answers: backfilling tasks crowd runners whose processors are taken,
and then all of them are slow; and runners that fail or stand still draw new work
because they are always free.
"""

import math
from collections.abc import Iterable

from plantainyard.batch.values import Step
from plantainyard.dispatch.harms import Harms
from plantainyard.dispatch.limits import Limits
from plantainyard.dispatch.model import Phase, Runner, Task
from plantainyard.dispatch.pacing import SERVING_USE, find_spare
from plantainyard.dispatch.weights import find_weight, list_images

__all__ = [
    "can_start",
    "choose_runner",
    "expect_speed",
    "find_least_speed",
    "find_reserved_cpu",
    "has_room",
    "note_gaps",
    "release_room",
    "take_room",
    "takes_work",
]

RACK_BONUS = 1_000.0
"""Weight of the preferred rack: elsewhere a task takes several times as long, which
no difference in load makes up for."""

LEAST_SPEED = 0.85
"""Expected share of full speed below which a backfilling task isn't placed while it can
wait: a slow one holds its memory for long and meets its neighbours' next peak."""

LEAST_SPEED_LATE = 0.6
"""The same once it has waited for long."""

PATIENCE_S = 3.0
"""Time for which a backfilling task waits for a runner where it gets on well."""

LONELY_S = 2.0
"""Time after which any place will do for a job of which nothing runs, where less than
half of the fleet is in use: the platform counts it as forgotten after three seconds."""

LONELY_BUSY_S = 12.0
"""The same where more is in use: by then its callers have hardly use for it."""

SPEED_GAIN = 100.0
"""Weight of full speed against a stop."""

EMPTY_GAIN = 20.0
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

FREEDOM_COST = 40.0
"""Weight of a runner where all backfilling images are harmless against one where none
is: work that many runners can take leaves the tolerant ones to work that can't go
elsewhere."""

HARMLESS = 0.7
"""Weight of a pair below which it counts as harmless: a task of a tenth of the runner
stretches the serving tasks' work by 7 %."""

BAD_COST = 50.0
"""Weight of a failure: a runner that failed something lately is a worse bet than a
fuller one."""


def choose_runner(
    task: Task,
    runners: Iterable[Runner],
    limits: Limits,
    harms: Harms,
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
    harms : Harms
        What is learnt of interference.
    now : float
        The dispatcher's clock.
    idle : bool
        Less than half of the fleet's processors are reserved.

    Notes
    -----
    The cost is one pass over the runners.
    """
    spec = task.step.spec
    usable = [
        runner
        for runner in runners
        if can_start(task, runner, now) and has_room(spec, runner)
    ]
    fresh = [r for r in usable if r.entry and r.entry.runner not in task.avoided]
    scored = fresh or usable
    if spec.backfill:
        return _choose_for_backfill(task, scored, limits, harms, now, idle)
    return max(scored, key=lambda runner: _score(task, runner, limits), default=None)


def _choose_for_backfill(
    task: Task,
    runners: list[Runner],
    limits: Limits,
    harms: Harms,
    now: float,
    idle: bool,
) -> Runner | None:
    """Return the runner where a backfilling task may start for all that is known.

    Notes
    -----
    Guards against a task that no runner is tolerant enough for: the longer it waits
    the slower a start will do. It never goes to a sensitive runner at once because the
    tolerant ones are full: it would be slowed to a stop there and hold its memory.
    """
    least = find_least_speed(task, now, idle)
    spec = task.step.spec
    speeds = [(expect_speed(spec, runner, harms), runner) for runner in runners]
    best, chosen = -math.inf, None
    for speed, runner in speeds:
        if speed < least:
            continue
        score = _score_backfill(task, runner, limits, harms, speed)
        if score > best:
            best, chosen = score, runner
    return chosen


def find_least_speed(task: Task, now: float, idle: bool) -> float:
    """Return the share of full speed that a place must promise.

    Notes
    -----
    Guards against a job that runs nowhere while most of the fleet is free, since no
    place promises `LEAST_SPEED_LATE`.
    """
    waited_s = now - task.waiting_since
    if waited_s > (LONELY_S if idle else LONELY_BUSY_S) and not _is_begun(task):
        return 0.0
    return LEAST_SPEED if waited_s < PATIENCE_S else LEAST_SPEED_LATE


def _is_begun(task: Task) -> bool:
    """Return whether another task of the job is, or may be, at a runner."""
    steps = task.step.job.steps.values()
    return any(other.phase in Phase.OUT for step in steps for other in step.tasks)


def expect_speed(spec: Step, runner: Runner, harms: Harms) -> float:
    """Return the share of full speed that one more backfilling task would get there.

    Notes
    -----
    What the serving tasks' bases leave below their targets bounds it, and so do the
    processors that are unused.
    """
    assert runner.entry is not None
    cpu = max(1, runner.entry.capacity.cpu)
    more = max(1, spec.resources.cpu) / cpu
    unused = max(0.0, _measure_unused(runner)) / cpu
    return min(1.0, unused / more, find_spare(runner, harms, spec.image) / more)


def _measure_unused(runner: Runner) -> float:
    """Return the processor time that further backfilling work would find unused."""
    assert runner.entry is not None
    reserved = runner.cpu - (1 - SERVING_USE) * runner.serving_cpu
    return runner.entry.capacity.cpu - reserved - runner.backfill_cpu


def _is_gap_old(spec: Step, runner: Runner) -> bool:
    """Return whether room for a long-running task has been free for some time.

    Notes
    -----
    Guards against short jobs that find no room for the rest of the day: whenever one
    of their tasks ends, a long-running task that waits would take its place for good.
    """
    return min(runner.recent_free, default=0) >= spec.resources.cpu


def takes_work(runner: Runner) -> bool:
    """Return whether tasks may start on the runner, for all that it and its entry tell.

    Notes
    -----
    A runner that hasn't reported to this owner may be full of its predecessor's tasks.
    """
    entry = runner.entry
    if entry is None or entry.draining or not runner.listed:
        return False
    return runner.known and runner.answering


def can_start(task: Task, runner: Runner, now: float) -> bool:
    """Return whether a task may start on the runner, if that has room for it."""
    entry = runner.entry
    if entry is None or not takes_work(runner):
        return False
    if entry.service != task.step.job.submission.service:
        return False
    spec = task.step.spec
    if spec.long_running and not task.run and not _is_gap_old(spec, runner):
        return False
    if spec.requires and spec.requires not in entry.labels:
        return False
    if not spec.long_running and runner.quarantined_until > now:
        return False
    most = spec.max_per_runner
    return not most or _count_here(task, runner) < most


def _count_here(task: Task, runner: Runner) -> int:
    """Return how many tasks of the same step are on the runner.

    Notes
    -----
    By name: tasks that other units handed over one by one have steps of their own.
    """
    step = task.key[:3]
    return sum(1 for key in runner.tasks if key[:3] == step)


def find_reserved_cpu(spec: Step) -> int:
    """Return the processor time that a task of a step needs for itself.

    Notes
    -----
    Backfilling tasks get what the others leave unused, and need none.
    """
    return 0 if spec.backfill else spec.resources.cpu


def has_room(spec: Step, runner: Runner) -> bool:
    """Return whether a task of a step fits into what a runner has left."""
    assert runner.entry is not None
    capacity = runner.entry.capacity
    wanted = spec.resources
    return (
        runner.cpu + find_reserved_cpu(spec) <= capacity.cpu
        and runner.memory + wanted.memory <= capacity.memory
        and runner.gpu + wanted.gpu <= capacity.gpu
    )


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
    task: Task, runner: Runner, limits: Limits, harms: Harms, speed: float
) -> float:
    assert runner.entry is not None
    score = _score_runner(task.step.spec, runner, limits)
    score += SPEED_GAIN * speed
    score += _measure_unused(runner) / runner.entry.capacity.cpu * EMPTY_GAIN
    return score - FREEDOM_COST * _measure_freedom(runner, harms)


def _score_runner(spec: Step, runner: Runner, limits: Limits) -> float:
    """Return what speaks for a runner whatever kind of task a step has."""
    assert runner.entry is not None
    near = runner.entry.rack == spec.preferred_rack and spec.preferred_rack != ""
    score = RACK_BONUS if near and limits.remote_factor > 1 else 0.0
    return score - BAD_COST * runner.bad


def _measure_freedom(runner: Runner, harms: Harms) -> float:
    """Return the share of known backfilling images that do no harm on the runner."""
    images = list_images(harms)
    if not images:
        return 0.0
    harmless = sum(
        all(find_weight(harms, serving, image) < HARMLESS for serving in runner.rooms)
        for image in images
    )
    return harmless / len(images)


def _match_images(task: Task, runner: Runner) -> float:
    image = task.step.spec.image
    images = {t.step.spec.image for t in runner.tasks.values() if t.step.spec.target_ms}
    same = SAME_IMAGE_BONUS if images == {image} else 0.0
    same += SAME_JOB_BONUS if _count_here(task, runner) else 0.0
    return same - OTHER_IMAGE_COST * len(images - {image})


def note_gaps(runners: Iterable[Runner]) -> None:
    """Take note of what is free at each runner; called with every tick."""
    for runner in runners:
        if runner.entry is not None:
            runner.recent_free.append(runner.entry.capacity.cpu - runner.cpu)


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
        runner.backfill_cpu += cpu
    else:
        runner.cpu += cpu
        runner.serving_cpu += cpu if spec.target_ms else 0
    runner.memory += sign * spec.resources.memory
    runner.gpu += sign * spec.resources.gpu
