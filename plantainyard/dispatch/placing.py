"""Where a task may start: capacity, restrictions of runners, and expected speed.

Guards against backfill tasks that crowd runners without unused processors, where all of
them would be slow.
"""

import math
from collections.abc import Iterable

from plantainyard.batch.values import Resources, Step
from plantainyard.dispatch.estimates import InterferenceModel
from plantainyard.dispatch.model import Phase, Runner, Task
from plantainyard.dispatch.pacing import SERVING_UTILIZATION, find_spare_load

__all__ = [
    "accepts_tasks",
    "can_start",
    "can_start_after_evacuation",
    "count_fitting",
    "count_step_tasks",
    "end_hold",
    "estimate_speed",
    "find_min_speed",
    "get_reserved_cpu",
    "get_reserved_resources",
    "has_capacity",
    "has_places",
    "hold_resources",
    "is_eligible",
    "is_finite",
    "is_first_long_run",
    "measure_finite_capacity",
    "measure_free",
    "measure_unused_cpu",
    "record_free_cpu",
    "release_resources",
    "reserve_resources",
]

MIN_SPEED = 0.85
"""Expected share of full speed below which a backfill task isn't placed while it can
wait: a slow task holds its memory for long and meets its neighbours' next peak."""

MIN_SPEED_LATE = 0.6
"""The same for a task that has waited for longer than `MIN_SPEED_WAIT_S`."""

MIN_SPEED_WAIT_S = 3.0
"""Time for which a backfill task waits for a runner with `MIN_SPEED`."""

UNSTARTED_WAIT_S = 2.0
"""Time after which any speed will do for a job without started tasks if less than half
of the fleet is in use: the platform considers it forgotten after three seconds."""

UNSTARTED_WAIT_BUSY_S = 12.0
"""The same if more of the fleet is in use: later results are hardly of use to the
job's caller."""


def find_min_speed(task: Task, now: float, idle: bool) -> float:
    """Return the share of full speed below which a backfill task isn't placed.

    Parameters
    ----------
    task : Task
        A waiting backfill task.
    now : float
        The dispatcher's clock.
    idle : bool
        Less than half of the fleet's processors are reserved.

    Notes
    -----
    Guards against a job that runs nowhere while most of the fleet is free, because no
    runner offers `MIN_SPEED_LATE`.
    """
    waited_s = now - task.waiting_since
    if waited_s > (
        UNSTARTED_WAIT_S if idle else UNSTARTED_WAIT_BUSY_S
    ) and not _has_started_task(task):
        return 0.0
    return MIN_SPEED if waited_s < MIN_SPEED_WAIT_S else MIN_SPEED_LATE


def _has_started_task(task: Task) -> bool:
    """Return whether another task of the job is, or may be, on a runner."""
    steps = task.step.job.steps.values()
    return any(other.phase in Phase.ACTIVE for step in steps for other in step.tasks)


def estimate_speed(
    spec: Step, runner: Runner, interference: InterferenceModel
) -> float:
    """Return the share of full speed that one more backfill task would get.

    Notes
    -----
    It is bounded by the headroom of the serving tasks on the runner and by its unused
    processors.
    """
    assert runner.entry is not None
    cpu = max(1, runner.entry.capacity.cpu)
    demand = max(1, spec.resources.cpu) / cpu
    unused = max(0.0, measure_unused_cpu(runner)) / cpu
    return min(
        1.0, unused / demand, find_spare_load(runner, interference, spec.image) / demand
    )


def measure_unused_cpu(runner: Runner) -> float:
    """Return the processor time that is left for further backfill work."""
    assert runner.entry is not None
    used = runner.reserved_cpu - (1 - SERVING_UTILIZATION) * runner.serving_cpu
    return runner.entry.capacity.cpu - used - runner.backfill_cpu


def _is_gap_lasting(spec: Step, runner: Runner) -> bool:
    """Return whether capacity for a long-running task has been free for some time.

    Notes
    -----
    Guards against short jobs that find no capacity for the rest of the day: whenever
    one of their tasks ended, a waiting long-running task would take its place for good.
    """
    return min(runner.recent_unreserved, default=0) >= spec.resources.cpu


def accepts_tasks(runner: Runner) -> bool:
    """Return whether tasks may start on the runner, by its entry and its reports.

    Notes
    -----
    A runner that hasn't reported to this owner may be full of its predecessor's tasks.
    """
    return not runner.evacuated and _is_usable(runner)


def _is_usable(runner: Runner) -> bool:
    """Return whether a runner accepts tasks unless its domain is evacuated."""
    entry = runner.entry
    if entry is None or entry.draining or not runner.registered:
        return False
    return runner.has_reported and runner.responsive


def can_start(task: Task, runner: Runner, now: float) -> bool:
    """Return whether a task may start on the runner, capacity aside."""
    if runner.evacuated or not _is_open_to(task, runner):
        return False
    return can_start_after_evacuation(task, runner, now)


def _is_open_to(task: Task, runner: Runner) -> bool:
    """Return whether the runner isn't reserved for another step; see `room`.

    Notes
    -----
    Interrupted long-running tasks may use any runner, as their users are without
    service.
    """
    step = runner.reserved_for
    if step is None or step is task.step:
        return True
    return task.step.spec.long_running and task.run > 0


def can_start_after_evacuation(task: Task, runner: Runner, now: float) -> bool:
    """Return the same as `can_start` for the time when no domain is evacuated."""
    if not is_eligible(task, runner, now):
        return False
    spec = task.step.spec
    may_take_any_gap = not spec.long_running or task.run > 0
    return may_take_any_gap or _is_gap_lasting(spec, runner)


def is_eligible(task: Task, runner: Runner, now: float) -> bool:
    """Return whether the runner is of the kind that a task needs, and accepts tasks."""
    entry = runner.entry
    if entry is None or not _is_usable(runner):
        return False
    if entry.service != task.step.job.submission.service:
        return False
    if not _may_start_there(task, runner):
        return False
    spec = task.step.spec
    if spec.requires and spec.requires not in entry.labels:
        return False
    if not spec.long_running and runner.quarantined_until > now:
        return False
    limit = spec.max_per_runner
    return not limit or count_step_tasks(task, runner) < limit


def _may_start_there(task: Task, runner: Runner) -> bool:
    """Return whether no other run of a task can be active beside one at the runner.

    Notes
    -----
    Guards against two runs of one task; see `unanswered_starts`. A task that has failed
    at the runner waits rather than losing another attempt there.
    """
    if task.key in runner.unwanted:
        return False
    if not task.unanswered:
        return True
    assert runner.entry is not None
    runner_id = runner.entry.runner
    has_failed = task.failures > 0 and runner_id in task.avoided_runners
    return runner_id == task.recipient and not has_failed


def count_step_tasks(task: Task, runner: Runner) -> int:
    """Return the number of tasks of the same step on the runner.

    Notes
    -----
    Compares keys, since tasks that other units handed over one by one belong to
    separate `StepRun` objects.
    """
    step = task.key[:3]
    return sum(1 for key in runner.tasks if key[:3] == step)


def get_reserved_cpu(spec: Step) -> int:
    """Return the processor time that is reserved for a task of a step.

    Notes
    -----
    Backfill tasks use what the others leave unused, and have none reserved.
    """
    return 0 if spec.backfill else spec.resources.cpu


def has_capacity(spec: Step, runner: Runner) -> bool:
    """Return whether a runner has the free resources for a task of a step."""
    assert runner.entry is not None
    capacity = runner.entry.capacity
    wanted = spec.resources
    return (
        runner.reserved_cpu + get_reserved_cpu(spec) <= capacity.cpu
        and runner.reserved_memory + wanted.memory <= capacity.memory
        and runner.reserved_gpu + wanted.gpu <= capacity.gpu
    )


def has_places(spec: Step, runners: Iterable[Runner], wanted: int) -> bool:
    """Return whether the free resources of runners suffice for a number of tasks.

    Notes
    -----
    Other conditions may still exclude a runner. The cost is one pass over the runners,
    where a search for each task would take a pass for each.
    """
    found = 0.0
    for runner in runners:
        if found >= wanted:
            break
        if _is_usable(runner):
            found += min(wanted, _count_places(spec, runner))
    return found >= wanted


def _count_places(spec: Step, runner: Runner) -> float:
    """Return how many tasks of a step the free resources of a runner suffice for."""
    found = count_fitting(measure_free(runner), get_reserved_resources(spec))
    return min(found, spec.max_per_runner or math.inf)


def count_fitting(free: Resources, wanted: Resources) -> float:
    """Return how many tasks fit into an amount of resources; infinite without needs."""
    counts = [
        max(0, left) // each for left, each in zip(free, wanted, strict=True) if each
    ]
    return min(counts, default=math.inf)


def measure_free(runner: Runner) -> Resources:
    """Return the resources of a runner that nothing is reserved in."""
    assert runner.entry is not None
    capacity = runner.entry.capacity
    return Resources(
        capacity.cpu - runner.reserved_cpu,
        capacity.memory - runner.reserved_memory,
        capacity.gpu - runner.reserved_gpu,
    )


def get_reserved_resources(spec: Step) -> Resources:
    """Return what is reserved for a task of a step; see `get_reserved_cpu`."""
    return spec.resources._replace(cpu=get_reserved_cpu(spec))


def record_free_cpu(runners: Iterable[Runner]) -> None:
    """Record the unreserved processor time of each runner; called with every tick."""
    for runner in runners:
        if runner.entry is not None:
            runner.recent_unreserved.append(
                runner.entry.capacity.cpu - runner.reserved_cpu
            )


def reserve_resources(runner: Runner, task: Task) -> None:
    """Add a task and its resources to the runner where its run is or may be."""
    _add_resources(runner, task, 1)
    runner.tasks[task.key] = task


def release_resources(runner: Runner, task: Task) -> None:
    """Remove a task and its resources from a runner, if they are reserved there."""
    if runner.tasks.pop(task.key, None) is not None:
        _add_resources(runner, task, -1)


def hold_resources(runner: Runner, task: Task) -> None:
    """Hold resources for a task that is to start on the runner later."""
    _add_resources(runner, task, 1)


def end_hold(runner: Runner, task: Task) -> None:
    """Release the resources that were held for a task."""
    _add_resources(runner, task, -1)


def _add_resources(runner: Runner, task: Task, sign: int) -> None:
    spec = task.step.spec
    cpu = sign * spec.resources.cpu
    if spec.backfill:
        runner.backfill_cpu += cpu
    else:
        runner.reserved_cpu += cpu
        runner.serving_cpu += cpu if spec.target_ms else 0
    runner.reserved_memory += sign * spec.resources.memory
    runner.reserved_gpu += sign * spec.resources.gpu


def measure_finite_capacity(runner: Runner) -> int:
    """Return the processor time of a runner that long-running tasks don't reserve."""
    assert runner.entry is not None
    reserved = sum(
        task.step.spec.resources.cpu
        for task in runner.tasks.values()
        if task.step.spec.long_running and not task.step.spec.backfill
    )
    return max(0, runner.entry.capacity.cpu - reserved)


def is_finite(step: Step) -> bool:
    """Return whether a step's tasks run to completion on reserved processors."""
    return not step.long_running and not step.backfill


def is_first_long_run(task: Task) -> bool:
    """Return whether a long-running task that reserves processors has never run."""
    spec = task.step.spec
    return spec.long_running and not spec.backfill and task.run == 0
