"""Where the time of jobs goes: waiting, by reason, being ordered, working, slowed.

The load that it answers: a job that came late says nothing by its end. Its summary
tells an engineer whether its tasks waited for room, for a place where they would harm
nobody, or for their turn, or were at work and slowed.
"""

from collections.abc import Iterable

from plantainyard.dispatch.model import Job, Phase, Runner, StepRun, Task
from plantainyard.dispatch.placing import can_start, has_capacity

__all__ = [
    "TimePart",
    "explain_wait",
    "add_elapsed_time",
    "count_lost_run",
    "summarize_times",
]

EXPLAIN_INTERVAL_S = 0.5
"""Time between two looks at why a step waits; each is a pass over the runners."""


class TimePart:
    """Names of the parts of a job's time, in task-seconds; and of runs lost.

    Notes
    -----
    ``WAITING_RUNNER``
        No runner may take it: none of its service or label, or all are silent.
    ``WAITING_CAPACITY``
        None that may has room.
    ``WAITING_PLACE``
        Those with room promise a backfilling task too little speed beside what they
        serve.
    ``WAITING_TURN``
        Other work went before it, or its last look was too short ago.
    ``ORDERED``
        Assigned, until a runner has said that it runs.
    ``WORKING``
        At work, as far as its pace let it.
    ``SLOWED``
        The rest of that time.
    ``STOPPING``
        From a stop to its end.
    """

    WAITING_RUNNER = "waiting_runner"
    WAITING_CAPACITY = "waiting_room"
    WAITING_PLACE = "waiting_place"
    WAITING_TURN = "waiting_turn"
    ORDERED = "ordered"
    WORKING = "working"
    SLOWED = "slowed"
    STOPPING = "stopping"


def explain_wait(step: StepRun, task: Task, runners: list[Runner], now: float) -> None:
    """Take note of why a task that has found no runner waits.

    Notes
    -----
    The whole step is taken to wait for the same reason. The cost is at most two passes
    over the runners, every half second for each step.
    """
    if now - step.explained_at < EXPLAIN_INTERVAL_S:
        return
    step.explained_at = now
    usable = [runner for runner in runners if can_start(task, runner, now)]
    if not usable:
        step.waits_for = TimePart.WAITING_RUNNER
    elif not any(has_capacity(step.spec, runner) for runner in usable):
        step.waits_for = TimePart.WAITING_CAPACITY
    else:
        step.waits_for = TimePart.WAITING_PLACE


def add_elapsed_time(jobs: Iterable[Job], elapsed_s: float) -> None:
    """Add the time since the last look to the parts in which jobs' tasks are now.

    Notes
    -----
    Tasks that wait for earlier steps count nothing. The cost is a pass over the tasks
    of all open jobs.
    """
    for job in jobs:
        if job.ended:
            continue
        for step in job.steps.values():
            if step.done < len(step.tasks):
                _measure_step(job, step, elapsed_s)


def _measure_step(job: Job, step: StepRun, elapsed_s: float) -> None:
    for task in step.tasks:
        if task.phase == Phase.RUNNING:
            pace = max(0, task.pace) / 100 if step.spec.backfill else 1.0
            _add(job, TimePart.WORKING, elapsed_s * pace)
            _add(job, TimePart.SLOWED, elapsed_s * (1 - pace))
        elif task.phase == Phase.WAITING:
            if task.waiting_since:
                part = step.waits_for or TimePart.WAITING_TURN
                _add(job, part, elapsed_s)
        elif task.phase in (Phase.STORING, Phase.ORDERED):
            _add(job, TimePart.ORDERED, elapsed_s)
        elif task.phase == Phase.STOPPING:
            _add(job, TimePart.STOPPING, elapsed_s)


def _add(job: Job, part: str, seconds: float) -> None:
    if seconds:
        job.times[part] = job.times.get(part, 0.0) + seconds


def count_lost_run(job: Job, how: str) -> None:
    """Count a run that ended otherwise than done, by how it ended."""
    job.lost[how] = job.lost.get(how, 0) + 1


def summarize_times(job: Job) -> dict[str, float]:
    """Return the parts of a job's time in task-seconds since its owner took over."""
    return {part: round(seconds, 2) for part, seconds in sorted(job.times.items())}
