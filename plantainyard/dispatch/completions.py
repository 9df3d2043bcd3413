"""Records of completed work and of work that was placed at once.

The forecast of a unit's queues takes its rates, and the size of jobs that don't wait,
from these records.
"""

from plantainyard.dispatch.model import Job, Phase, Task
from plantainyard.dispatch.queue import (
    CERTAIN_SHARE,
    has_its_turn,
    measure_remaining_work,
)
from plantainyard.dispatch.state import Dispatcher
from plantainyard.dispatch.throughput import (
    AT_ONCE_S,
    WorkKind,
    record_completed_work,
    record_placed_work,
)
from plantainyard.dispatch.work_kinds import find_kind

__all__ = [
    "note_placements",
    "record_completion",
]

START_DELAY_S = 0.15
"""Time from the placement of a task to the answer of its runner: an append and an
order, and a tick."""


def record_completion(
    state: Dispatcher, task: Task, earlier_work: float, now: float
) -> None:
    """Record that a task has ended, whose job had `earlier_work` left before.

    Notes
    -----
    The work is the difference of two measurements of the same job, so that it has the
    unit of the work ahead however that is estimated.
    """
    if state.limits.policy.admission is None:
        return
    job = task.step.job
    kind = find_kind(job.submission)
    if kind is None:
        return
    throughput = state.throughput
    # The end of a task may show that the rest of its step takes longer than estimated.
    work = max(0.0, earlier_work - measure_remaining_work(job))
    run_s = CERTAIN_SHARE * job.remaining_ms[task.step.number] / 1000
    started_at = now if task.resolved_at is None else task.resolved_at
    is_late = started_at - START_DELAY_S + run_s > job.deadline
    record_completed_work(throughput, kind, is_late, work, now)
    if _is_placed_at_once(job, now):
        queue = job.submission.queue
        record_placed_work(throughput, queue, kind.backfill, earlier_work, now)


def _is_placed_at_once(job: Job, now: float) -> bool:
    """Return whether a job that has just arrived has no task that could start."""
    if now - job.received_at > AT_ONCE_S or not job.steps:
        return False
    return not any(
        task.phase == Phase.WAITING
        for step in job.steps.values()
        if step.done_count < len(step.tasks) and has_its_turn(step)
        for task in step.tasks
    )


def note_placements(
    state: Dispatcher, jobs: list[Job], kind: WorkKind, now: float
) -> None:
    """Record the work of jobs of a kind that were placed at once."""
    for job in jobs:
        if _is_placed_at_once(job, now):
            work = measure_remaining_work(job)
            queue = job.submission.queue
            record_placed_work(state.throughput, queue, kind.backfill, work, now)
