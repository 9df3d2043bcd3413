"""Where a task may start: room, what a runner takes, and how fast it would be there.

The load that it answers: backfilling tasks crowd runners whose processors are taken,
and then all of them are slow.
"""

from collections.abc import Iterable

from plantainyard.batch.values import Step
from plantainyard.dispatch.estimates import InterferenceModel
from plantainyard.dispatch.model import Phase, Runner, Task
from plantainyard.dispatch.pacing import SERVING_UTILIZATION, find_spare_load

__all__ = [
    "can_start",
    "estimate_speed",
    "find_min_speed",
    "get_reserved_cpu",
    "count_step_tasks",
    "has_capacity",
    "measure_unused_cpu",
    "record_free_cpu",
    "release_resources",
    "reserve_resources",
    "accepts_tasks",
]

MIN_SPEED = 0.85
"""Expected share of full speed below which a backfilling task isn't placed while it can
wait: a slow one holds its memory for long and meets its neighbours' next peak."""

MIN_SPEED_LATE = 0.6
"""The same once it has waited for long."""

MIN_SPEED_WAIT_S = 3.0
"""Time for which a backfilling task waits for a runner where it gets on well."""

UNSTARTED_WAIT_S = 2.0
"""Time after which any place will do for a job of which nothing runs, where less than
half of the fleet is in use: the platform counts it as forgotten after three seconds."""

UNSTARTED_WAIT_BUSY_S = 12.0
"""The same where more is in use: by then its callers have hardly use for it."""


def find_min_speed(task: Task, now: float, idle: bool) -> float:
    """Return the share of full speed that a place must promise.

    Notes
    -----
    Guards against a job that runs nowhere while most of the fleet is free, since no
    place promises `MIN_SPEED_LATE`.
    """
    waited_s = now - task.waiting_since
    if waited_s > (
        UNSTARTED_WAIT_S if idle else UNSTARTED_WAIT_BUSY_S
    ) and not _is_begun(task):
        return 0.0
    return MIN_SPEED if waited_s < MIN_SPEED_WAIT_S else MIN_SPEED_LATE


def _is_begun(task: Task) -> bool:
    """Return whether another task of the job is, or may be, at a runner."""
    steps = task.step.job.steps.values()
    return any(other.phase in Phase.OUT for step in steps for other in step.tasks)


def estimate_speed(
    spec: Step, runner: Runner, interference: InterferenceModel
) -> float:
    """Return the share of full speed that one more backfilling task would get there.

    Notes
    -----
    What the serving tasks' bases leave below their targets bounds it, and so do the
    processors that are unused.
    """
    assert runner.entry is not None
    cpu = max(1, runner.entry.capacity.cpu)
    more = max(1, spec.resources.cpu) / cpu
    unused = max(0.0, measure_unused_cpu(runner)) / cpu
    return min(
        1.0, unused / more, find_spare_load(runner, interference, spec.image) / more
    )


def measure_unused_cpu(runner: Runner) -> float:
    """Return the processor time that further backfilling work would find unused."""
    assert runner.entry is not None
    reserved = runner.cpu - (1 - SERVING_UTILIZATION) * runner.serving_cpu
    return runner.entry.capacity.cpu - reserved - runner.backfill_cpu


def _is_gap_lasting(spec: Step, runner: Runner) -> bool:
    """Return whether room for a long-running task has been free for some time.

    Notes
    -----
    Guards against short jobs that find no room for the rest of the day: whenever one
    of their tasks ends, a long-running task that waits would take its place for good.
    """
    return min(runner.recent_free, default=0) >= spec.resources.cpu


def accepts_tasks(runner: Runner) -> bool:
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
    if entry is None or not accepts_tasks(runner):
        return False
    if entry.service != task.step.job.submission.service:
        return False
    spec = task.step.spec
    if spec.long_running and not task.run and not _is_gap_lasting(spec, runner):
        return False
    if spec.requires and spec.requires not in entry.labels:
        return False
    if not spec.long_running and runner.quarantined_until > now:
        return False
    most = spec.max_per_runner
    return not most or count_step_tasks(task, runner) < most


def count_step_tasks(task: Task, runner: Runner) -> int:
    """Return how many tasks of the same step are on the runner.

    Notes
    -----
    By name: tasks that other units handed over one by one have steps of their own.
    """
    step = task.key[:3]
    return sum(1 for key in runner.tasks if key[:3] == step)


def get_reserved_cpu(spec: Step) -> int:
    """Return the processor time that a task of a step needs for itself.

    Notes
    -----
    Backfilling tasks get what the others leave unused, and need none.
    """
    return 0 if spec.backfill else spec.resources.cpu


def has_capacity(spec: Step, runner: Runner) -> bool:
    """Return whether a task of a step fits into what a runner has left."""
    assert runner.entry is not None
    capacity = runner.entry.capacity
    wanted = spec.resources
    return (
        runner.cpu + get_reserved_cpu(spec) <= capacity.cpu
        and runner.memory + wanted.memory <= capacity.memory
        and runner.gpu + wanted.gpu <= capacity.gpu
    )


def record_free_cpu(runners: Iterable[Runner]) -> None:
    """Take note of what is free at each runner; called with every tick."""
    for runner in runners:
        if runner.entry is not None:
            runner.recent_free.append(runner.entry.capacity.cpu - runner.cpu)


def reserve_resources(runner: Runner, task: Task) -> None:
    """Count a task's resources at the runner where its run is or may be."""
    _count_room(runner, task, 1)
    runner.tasks[task.key] = task


def release_resources(runner: Runner, task: Task) -> None:
    """Stop counting a task that `reserve_resources` counted."""
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
