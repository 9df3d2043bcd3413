"""Jobs that are set aside because an exception was raised while work was done on them.

Guards against one job that takes the owner of its unit away, and each successor in
turn: the unit's other jobs would wait for a new owner each time. Work stops on that job
alone. It is tried again later, as the cause may pass, and ends as failed if not.
"""

import contextlib
import traceback
from collections.abc import Iterator

from plantainyard.batch.values import JobState, Submission
from plantainyard.dispatch.actions import JobSetAside
from plantainyard.dispatch.failures import find_failed_job
from plantainyard.dispatch.jobs import (
    add_job,
    cancel_job,
    end_job,
    fail_job,
    finish_task,
)
from plantainyard.dispatch.model import Job, Phase, Task
from plantainyard.dispatch.orders import release_task
from plantainyard.dispatch.pieces import apply_result
from plantainyard.dispatch.state import Dispatcher, mark_dirty

__all__ = [
    "add_contained",
    "cancel_set_aside",
    "contain",
    "end_unrestored",
    "record_exception",
    "resume_jobs",
]

FIRST_PAUSE_S = 0.5
"""Time for which a job is set aside at first; it doubles each time."""

MAX_EXCEPTIONS = 4
"""Number of exceptions after which a job ends as failed."""

MAX_TRACE_LINES = 3
"""Number of lines of a traceback that are logged."""


@contextlib.contextmanager
def contain(state: Dispatcher, now: float) -> Iterator[None]:
    """Set the job aside that an exception in this context belongs to.

    Raises
    ------
    Exception
        If it belongs to no job that can be set aside; the owner can't go on then.
    """
    try:
        yield
    except Exception as error:
        job_id = find_failed_job(error)
        job = state.jobs.get(job_id)
        if job is not None:
            _set_aside(state, job, error, now)
        elif job_id in state.ended_jobs:
            record_exception(state, job_id, error, 0.0, 1)
        else:
            raise


def _set_aside(state: Dispatcher, job: Job, error: Exception, now: float) -> None:
    """Take a job out of all work, with what waits to be stored of it.

    Notes
    -----
    One that has ended stays, so that its end is stored.
    """
    job_id = job.submission.record_id
    job.exceptions += 1
    pause_s = 0.0 if job.final_state else FIRST_PAUSE_S * 2 ** (job.exceptions - 1)
    record_exception(state, job_id, error, pause_s, job.exceptions)
    if job.final_state:
        return
    job.set_aside_until = now + pause_s
    del state.jobs[job_id]
    state.set_aside[job_id] = job
    for step in job.steps.values():
        state.dirty_steps.pop(id(step), None)
        state.started_steps.pop(id(step), None)
        for task in step.tasks:
            _restore_phase(state, task)
    state.assigned = [task for task in state.assigned if task.step.job is not job]


def _restore_phase(state: Dispatcher, task: Task) -> None:
    """Let a task wait whose assignment isn't being stored, or whose run has ended.

    Notes
    -----
    Guards against a start of which no successor knows, and against a task that waits
    for the end of a run which was applied in part.
    """
    is_stored = task in state.committing_starts or any(
        held is task for held, _ in state.unverified
    )
    is_unstored = task.phase == Phase.STORING and not is_stored
    runner = state.runners.get(task.incarnation)
    is_away = runner is None or task.key not in runner.tasks
    if is_unstored or (task.phase in Phase.ACTIVE and is_away):
        release_task(state, task)


def record_exception(
    state: Dispatcher, job_id: str, error: Exception, pause_s: float, exceptions: int
) -> None:
    """Let an exception that belongs to a job be logged."""
    why = "".join(traceback.format_exception(error)[-MAX_TRACE_LINES:])
    state.actions.append(JobSetAside(job_id, why, pause_s, exceptions))


def resume_jobs(state: Dispatcher, now: float) -> None:
    """Go on with the jobs that were set aside for long enough."""
    for job in list(state.set_aside.values()):
        if now >= job.set_aside_until:
            with contain(state, now):
                _resume(state, job, now)
    held, state.held_results = state.held_results, {}
    for piece_id, result in held.items():
        with contain(state, now):
            apply_result(state, piece_id, result, now)


def _resume(state: Dispatcher, job: Job, now: float) -> None:
    job_id = job.submission.record_id
    del state.set_aside[job_id]
    state.jobs[job_id] = job
    job.set_aside_until = 0.0
    for step in job.steps.values():
        mark_dirty(state, step)
        for task in step.tasks:
            if task.phase == Phase.WAITING and task.is_completed:
                finish_task(state, task)
    if job.exceptions >= MAX_EXCEPTIONS:
        fail_job(state, job, now)
    elif not job.steps:
        del state.jobs[job_id]
        add_contained(state, job.submission, now, job.exceptions)


def add_contained(
    state: Dispatcher, submission: Submission, now: float, exceptions: int = 0
) -> None:
    """Add an accepted job, or set it aside if that raises an exception."""
    job_id = submission.record_id
    if job_id in state.set_aside:
        return
    try:
        add_job(state, submission, now)
        if exceptions:
            state.jobs[job_id].exceptions = exceptions
    except Exception as error:
        job = _make_placeholder(submission, now)
        job.exceptions = exceptions
        state.jobs[job_id] = job
        _set_aside(state, job, error, now)


def _make_placeholder(submission: Submission, now: float) -> Job:
    """Return a job without steps, of which nothing can run."""
    return Job(submission, 0.0, (0.0,) * len(submission.steps), now)


def cancel_set_aside(state: Dispatcher, job_id: str, now: float) -> None:
    """Cancel a job that is set aside, at once."""
    job = state.set_aside[job_id]
    _resume(state, job, now)
    cancel_job(state, job_id, now)


def end_unrestored(
    state: Dispatcher, submission: Submission, error: Exception, now: float
) -> None:
    """End a job as failed that can't be restored; its runs end as unwanted ones.

    Notes
    -----
    The records are the same for each successor, so that it isn't tried again.
    """
    job_id = submission.record_id
    runners = list(state.runners.values())
    for task in [task for runner in runners for task in runner.tasks.values()]:
        if _is_of(task, job_id):
            release_task(state, task)
    state.unanswered_tasks = {
        key: task
        for key, task in state.unanswered_tasks.items()
        if not _is_of(task, job_id)
    }
    state.unseen_tasks = [t for t in state.unseen_tasks if not _is_of(t, job_id)]
    job = state.jobs[job_id] = _make_placeholder(submission, now)
    end_job(state, job, JobState.FAILED)
    record_exception(state, job_id, error, 0.0, 1)


def _is_of(task: Task, job_id: str) -> bool:
    return task.step.job.submission.record_id == job_id
