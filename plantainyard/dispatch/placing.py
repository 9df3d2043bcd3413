"""Which runner a task starts on.

The load that it answers: backfilling tasks crowd runners whose processors are taken,
and then all of them are slow; and runners that fail or stand still draw new work
because they are always free.
"""

from collections.abc import Iterable

from plantainyard.batch.values import Step
from plantainyard.dispatch.limits import Limits
from plantainyard.dispatch.model import Runner, StepRun, Task

__all__ = ["choose_runner", "fits_ever", "release_room", "take_room"]


CROWDED_COST = 4.0
"""Weight of a core that backfilling tasks want beyond what is unused."""

RACK_BONUS = 1_000.0
"""Weight of the preferred rack: elsewhere a task takes several times as long, which
no difference in load makes up for."""

SLOWED_PACE = 50
"""Below this pace a runner's backfilling tasks get no company: each more would
prolong the harm that made the runner slow them down."""


def choose_runner(
    task: Task, runners: Iterable[Runner], limits: Limits, now: float
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
    now : float
        The dispatcher's clock.

    Notes
    -----
    The cost is one pass over the runners.
    """
    step = task.step
    usable = [
        r for r in runners if _can_start(step, r, now) and _has_room(step.spec, r)
    ]
    fresh = [r for r in usable if r.entry and r.entry.runner not in task.avoided]
    scored = fresh or usable
    if not scored:
        return None
    return max(scored, key=lambda runner: _score(step, runner, limits))


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
    if spec.backfill and runner.pace < SLOWED_PACE:
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


def _score(step: StepRun, runner: Runner, limits: Limits) -> float:
    assert runner.entry is not None
    spec = step.spec
    cores = runner.entry.capacity.cpu / 1000
    used = runner.cpu / 1000
    filling = runner.backfill_cpu / 1000
    near = runner.entry.rack == spec.preferred_rack and spec.preferred_rack != ""
    bonus = RACK_BONUS if near and limits.remote_factor > 1 else 0.0
    unused = cores - used - filling
    if spec.backfill:
        unused -= spec.resources.cpu / 1000
    crowding = min(0.0, unused) * CROWDED_COST
    # A runner that failed something lately is a worse bet than a fuller one.
    return bonus + unused + crowding - 50.0 * runner.bad


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
    if spec.backfill:
        runner.backfill_cpu += sign * spec.resources.cpu
    else:
        runner.cpu += sign * spec.resources.cpu
    runner.memory += sign * spec.resources.memory
    runner.gpu += sign * spec.resources.gpu


def fits_ever(spec: Step, service: str, runners: Iterable[Runner]) -> bool:
    """Return whether some listed runner could hold a task of the step when empty."""
    entries = (r.entry for r in runners if r.entry is not None and r.listed)
    return any(
        entry.service == service
        and (not spec.requires or spec.requires in entry.labels)
        and all(have >= want for have, want in zip(entry.capacity, spec.resources))
        for entry in entries
    )
