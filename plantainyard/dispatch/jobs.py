"""Jobs of a dispatcher: adding, opening occurrences, cancelling, ending."""

from plantainyard.batch.tasks import TaskKey
from plantainyard.batch.values import JobState, Submission
from plantainyard.dispatch.forwarding import (
    build_task_submission,
    forward_cancel,
    record_arrival,
)
from plantainyard.dispatch.model import Job, Phase, StepRun, Task
from plantainyard.dispatch.orders import release_task, send_stop
from plantainyard.dispatch.queue import find_critical_paths_ms, set_deadlines
from plantainyard.dispatch.state import Dispatcher, mark_dirty

__all__ = [
    "add_job",
    "cancel_job",
    "end_if_finished",
    "end_cancelled_jobs",
    "finish_task",
    "open_due_occurrences",
    "open_occurrence",
]


def add_job(state: Dispatcher, submission: Submission, now: float) -> None:
    """Take in an accepted job; a repeat of its submission changes nothing."""
    job_id = submission.record_id
    if job_id in state.jobs or job_id in state.ended_at or job_id in state.handed_over:
        return
    chains_ms = find_critical_paths_ms(submission.steps)
    job = Job(submission, 0.0, chains_ms, now)
    set_deadlines(job, now)
    state.jobs[job_id] = job
    record_arrival(state, submission, now)
    if submission.piece:
        _open_piece(job)
    elif not submission.times:
        open_occurrence(job, 0)


def open_occurrence(job: Job, occurrence: int) -> None:
    """Add the steps of an occurrence that is due."""
    for number, spec in enumerate(job.submission.steps):
        step = StepRun(job, occurrence, number, spec)
        step.tasks = [
            Task(TaskKey(job.submission.job_id, occurrence, number, index), step)
            for index in range(spec.size)
        ]
        job.steps[occurrence, number] = step


def _open_piece(job: Job) -> None:
    """Add the one task that another unit has handed over."""
    submission = job.submission
    occurrence, number, index = submission.piece
    step = StepRun(job, occurrence, number, submission.steps[number])
    key = TaskKey(submission.job_id, occurrence, number, index)
    step.tasks = [Task(key, step, run=submission.first_run)]
    job.steps[occurrence, number] = step


def open_due_occurrences(state: Dispatcher, now: float) -> None:
    """Open the occurrences of scheduled jobs whose time has come."""
    wall_ms = (now + state.wall_offset_s) * 1000
    for job in list(state.jobs.values()):
        submission = job.submission
        if submission.times and not job.cancelled:
            _open_due(job, wall_ms)


def _open_due(job: Job, wall_ms: float) -> None:
    submission = job.submission
    for occurrence in range(submission.times):
        due_ms = submission.start_at_ms + occurrence * submission.interval_ms
        if due_ms > wall_ms:
            return
        if (occurrence, 0) not in job.steps:
            open_occurrence(job, occurrence)


def finish_task(state: Dispatcher, task: Task) -> None:
    """Take note that a task is done, and end the job if it was the last."""
    task.phase = Phase.DONE
    task.checkpoint = ""
    task.step.done_count += 1
    mark_dirty(state, task.step)
    end_if_finished(state, task.step.job)


def cancel_job(state: Dispatcher, job_id: str, now: float) -> None:
    """Let nothing of a job start any more and stop what runs."""
    job = state.jobs.get(job_id)
    if job is None or job.cancelled or job.final_state:
        return
    job.cancelled = True
    stop_tasks(state, job, now)
    end_if_finished(state, job)


def fail_job(state: Dispatcher, job: Job, now: float) -> None:
    """End a job one of whose tasks has failed too often."""
    if job.final_state or job.cancelled:
        return
    end_job(state, job, JobState.FAILED)
    stop_tasks(state, job, now)


def stop_tasks(state: Dispatcher, job: Job, now: float) -> None:
    """Order all runs of a job to stop."""
    for step in job.steps.values():
        for task in step.tasks:
            if task.phase == Phase.STORING:
                release_task(state, task)
            elif task.phase == Phase.HANDED_OVER:
                forward_cancel(state, build_task_submission(task).record_id)
            elif task.phase in Phase.ACTIVE:
                send_stop(state, task, now)


def end_if_finished(state: Dispatcher, job: Job) -> None:
    """End the job if nothing of it is left to do."""
    if job.final_state:
        return
    if job.cancelled:
        if not _is_out(state, job):
            end_job(state, job, JobState.CANCELLED)
        return
    expected = max(1, job.submission.times) * len(job.submission.steps)
    finished = sum(1 for s in job.steps.values() if s.done_count == len(s.tasks))
    if finished == expected:
        end_job(state, job, JobState.COMPLETED)


def _is_out(state: Dispatcher, job: Job) -> bool:
    tasks = (task for step in job.steps.values() for task in step.tasks)
    return any(
        task.phase in Phase.ACTIVE or _awaits_cancel(state, task) for task in tasks
    )


def _awaits_cancel(state: Dispatcher, task: Task) -> bool:
    handed = task.phase == Phase.HANDED_OVER
    return handed and build_task_submission(task).record_id in state.pending_cancels


def end_cancelled_jobs(state: Dispatcher) -> None:
    """End the cancelled jobs of which nothing is left to do any more."""
    for job in [job for job in state.jobs.values() if job.cancelled]:
        end_if_finished(state, job)


def end_job(state: Dispatcher, job: Job, ended: str) -> None:
    """Give a job its final state, to be stored with the next commit."""
    job.final_state = ended
    state.new_final_states[job.submission.record_id] = ended
    state.ended_at[job.submission.record_id] = 0.0
