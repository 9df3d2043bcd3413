"""Accounting of the time of jobs: waiting, by reason, being ordered, working, slowed.

The end of a late job doesn't show why it was late. Its summary tells an engineer
whether its tasks waited for capacity, for a runner that could spare them processors, or
behind other work, or whether they ran slowly.
"""

from collections.abc import Iterable

from plantainyard.dispatch.model import Job, Phase, Runner, StepRun, Task
from plantainyard.dispatch.placing import (
    can_start,
    can_start_after_evacuation,
    has_capacity,
    is_eligible,
    is_first_long_run,
)

__all__ = [
    "TimePart",
    "add_elapsed_time",
    "count_lost_run",
    "explain_wait",
    "summarize_times",
]

EXPLAIN_INTERVAL_S = 0.5
"""Time between two searches for the reason why a step waits; each is a pass over the
runners."""


class TimePart:
    """Names of the parts of a job's time, which are counted in task-seconds.

    Notes
    -----
    ``WAITING_RUNNER``
        No runner may take the task: none has its service or label, or all are silent.
    ``WAITING_EVACUATION``
        All runners that may take the task are in evacuated failure domains.
    ``WAITING_START``
        A start that wasn't answered may still be carried out at a runner that can't
        take the task.
    ``WAITING_CAPACITY``
        No eligible runner has the capacity.
    ``WAITING_PLACE``
        Runners with the capacity offer a backfill task too little speed beside their
        serving tasks.
    ``WAITING_HEADROOM``
        Runners have the capacity, but a long-running task that never ran leaves it to
        finite work that needs it at its peaks, or has used it just now.
    ``WAITING_TURN``
        Other work was placed first, or the last search was too recent.
    ``ORDERED``
        Assigned, until a runner has confirmed that it runs.
    ``WORKING``
        Running, in proportion to the task's pace.
    ``SLOWED``
        Running, the rest of that time.
    ``STOPPING``
        From a stop until the run has ended.
    """

    WAITING_RUNNER = "waiting_runner"
    WAITING_EVACUATION = "waiting_evacuation"
    WAITING_START = "waiting_start"
    WAITING_CAPACITY = "waiting_room"
    WAITING_PLACE = "waiting_place"
    WAITING_HEADROOM = "waiting_headroom"
    WAITING_TURN = "waiting_turn"
    ORDERED = "ordered"
    WORKING = "working"
    SLOWED = "slowed"
    STOPPING = "stopping"


def explain_wait(step: StepRun, task: Task, runners: list[Runner], now: float) -> None:
    """Record why a task that found no runner waits.

    Notes
    -----
    The reason is assumed to apply to the whole step, also once a part of it was placed.
    The cost is at most two passes over the runners, every half second for each step.
    """
    if now - step.wait_reason_at < EXPLAIN_INTERVAL_S:
        return
    step.wait_reason_at = now
    usable = [runner for runner in runners if _qualifies(task, runner, now)]
    if not usable:
        evacuated = any(can_start_after_evacuation(task, r, now) for r in runners)
        step.wait_reason = (
            TimePart.WAITING_EVACUATION if evacuated else TimePart.WAITING_RUNNER
        )
    elif not any(has_capacity(step.spec, runner) for runner in usable):
        step.wait_reason = TimePart.WAITING_CAPACITY
    elif step.spec.backfill:
        step.wait_reason = TimePart.WAITING_PLACE
    else:
        step.wait_reason = TimePart.WAITING_HEADROOM


def _qualifies(task: Task, runner: Runner, now: float) -> bool:
    """Return whether a runner may take a task, whether or not its gap has lasted."""
    if is_first_long_run(task):
        return not runner.evacuated and is_eligible(task, runner, now)
    return can_start(task, runner, now)


def add_elapsed_time(jobs: Iterable[Job], elapsed_s: float) -> None:
    """Add the time since the last call to the parts that apply to the jobs' tasks now.

    Notes
    -----
    Tasks that wait for earlier steps are not counted. The cost is a pass over the tasks
    of all open jobs.
    """
    for job in jobs:
        if job.final_state:
            continue
        for step in job.steps.values():
            if step.done_count < len(step.tasks):
                _add_step_time(job, step, elapsed_s)


def _add_step_time(job: Job, step: StepRun, elapsed_s: float) -> None:
    for task in step.tasks:
        if task.phase == Phase.RUNNING:
            pace = max(0, task.pace) / 100 if step.spec.backfill else 1.0
            _add(job, TimePart.WORKING, elapsed_s * pace)
            _add(job, TimePart.SLOWED, elapsed_s * (1 - pace))
        elif task.phase == Phase.WAITING:
            if task.waiting_since:
                part = step.wait_reason or TimePart.WAITING_TURN
                _add(job, part, elapsed_s)
        elif task.phase in (Phase.STORING, Phase.ORDERED):
            _add(job, TimePart.ORDERED, elapsed_s)
        elif task.phase == Phase.STOPPING:
            _add(job, TimePart.STOPPING, elapsed_s)


def _add(job: Job, part: str, seconds: float) -> None:
    if seconds:
        job.task_time_s[part] = job.task_time_s.get(part, 0.0) + seconds


def count_lost_run(job: Job, outcome: str) -> None:
    """Count a run that ended without being done, by its outcome."""
    job.lost_runs[outcome] = job.lost_runs.get(outcome, 0) + 1


def summarize_times(job: Job) -> dict[str, float]:
    """Return the parts of a job's time in task-seconds since its owner took over."""
    return {
        part: round(seconds, 2) for part, seconds in sorted(job.task_time_s.items())
    }
