"""Life cycle of jobs: adding, opening occurrences, cancelling and ending them."""

from plantainyard.batch.tasks import TaskKey
from plantainyard.batch.values import JobState, Submission
from plantainyard.dispatch.actions import GiveUpReason
from plantainyard.dispatch.critical_path import record_path_time
from plantainyard.dispatch.forwarding import (
    find_piece_id,
    forward_cancel,
    record_arrival,
)
from plantainyard.dispatch.measured_runs import estimate_job
from plantainyard.dispatch.model import Job, Phase, StepRun, Task
from plantainyard.dispatch.orders import release_task, send_stop
from plantainyard.dispatch.queue import find_critical_paths_ms, set_deadlines
from plantainyard.dispatch.state import Dispatcher, mark_dirty, record_given_up

__all__ = [
    "add_job",
    "cancel_job",
    "end_if_finished",
    "end_cancelled_jobs",
    "fail_job",
    "finish_task",
    "open_due_occurrences",
    "open_occurrence",
]


def add_job(state: Dispatcher, submission: Submission, now: float) -> None:
    """Add an accepted job; repeated submissions are ignored."""
    job_id = submission.record_id
    if (
        job_id in state.jobs
        or job_id in state.ended_jobs
        or job_id in state.handed_over
    ):
        return
    remaining_ms = find_critical_paths_ms(submission.steps)
    job = Job(submission, 0.0, remaining_ms, now)
    set_deadlines(job, now)
    estimate_job(state.run_times, state.limits.policy.run_times, job)
    state.jobs[job_id] = job
    record_arrival(state, submission, now)
    if submission.piece:
        _add_piece(job, now)
    elif not submission.times:
        open_occurrence(job, 0, now)


def open_occurrence(job: Job, occurrence: int, now: float) -> None:
    """Add the steps of an occurrence of a job."""
    for number, spec in enumerate(job.submission.steps):
        step = StepRun(job, occurrence, number, spec, opened_at=now)
        step.tasks = [
            Task(TaskKey(job.submission.job_id, occurrence, number, index), step)
            for index in range(spec.size)
        ]
        job.steps[occurrence, number] = step


def _add_piece(job: Job, now: float) -> None:
    """Add the single task, or the gang, that another unit has handed over."""
    submission = job.submission
    occurrence, number, index = submission.piece
    spec = submission.steps[number]
    step = StepRun(job, occurrence, number, spec, opened_at=now)
    indices = range(step.spec.size) if submission.whole_step else [index]
    step.tasks = [
        Task(
            TaskKey(submission.job_id, occurrence, number, task),
            step,
            run=submission.first_run,
            failures=submission.failures,
            checkpoint=submission.checkpoint,
        )
        for task in indices
    ]
    job.steps[occurrence, number] = step


def open_due_occurrences(state: Dispatcher, now: float) -> None:
    """Open the occurrences of scheduled jobs that are due.

    Notes
    -----
    Guards against two runs of each task of a scheduled job: of a task that was handed
    over on its own, all other tasks and occurrences belong to the unit that did so.
    """
    wall_ms = (now + state.wall_offset_s) * 1000
    for job in list(state.jobs.values()):
        submission = job.submission
        if submission.times and not submission.piece and not job.cancelled:
            _open_due_for_job(job, wall_ms, now)


def _open_due_for_job(job: Job, wall_ms: float, now: float) -> None:
    submission = job.submission
    for occurrence in range(submission.times):
        due_ms = submission.start_at_ms + occurrence * submission.interval_ms
        if due_ms > wall_ms:
            return
        if (occurrence, 0) not in job.steps:
            open_occurrence(job, occurrence, now)


def finish_task(state: Dispatcher, task: Task) -> None:
    """Mark a task as done, and end the job if it was the last one."""
    record_path_time(state, task, Phase.DONE)
    task.phase = Phase.DONE
    task.checkpoint = ""
    task.step.done_count += 1
    mark_dirty(state, task.step)
    job = task.step.job
    if job.cancelled or task.step.done_count == len(task.step.tasks):
        end_if_finished(state, job)


def cancel_job(state: Dispatcher, job_id: str, now: float) -> None:
    """Cancel a job: start no more of its tasks, and stop its active runs."""
    job = state.jobs.get(job_id)
    if job is None or job.cancelled or job.final_state:
        return
    job.cancelled = True
    stop_tasks(state, job, now)
    end_if_finished(state, job)


def fail_job(state: Dispatcher, job: Job, now: float) -> None:
    """End a job as failed: a task has used up its attempts, or can't be stored."""
    if job.final_state or job.cancelled:
        return
    end_job(state, job, JobState.FAILED)
    stop_tasks(state, job, now)


def stop_tasks(state: Dispatcher, job: Job, now: float) -> None:
    """Stop all active runs of a job, also those in other units."""
    for step in job.steps.values():
        for task in step.tasks:
            if task.phase == Phase.STORING:
                record_given_up(state, task, GiveUpReason.NOT_SENT)
                release_task(state, task)
            elif task.phase == Phase.HANDED_OVER:
                forward_cancel(state, find_piece_id(task))
            elif task.phase in Phase.ACTIVE:
                send_stop(state, task, now)


def end_if_finished(state: Dispatcher, job: Job) -> None:
    """End the job if all its tasks are done, or cancelled and stopped."""
    if job.final_state:
        return
    if job.cancelled:
        if not _has_active_runs(state, job):
            end_job(state, job, JobState.CANCELLED)
        return
    submission = job.submission
    expected = max(1, submission.times) * len(submission.steps)
    if submission.piece:
        expected = 1
    finished = sum(1 for s in job.steps.values() if s.done_count == len(s.tasks))
    if finished == expected:
        end_job(state, job, JobState.COMPLETED)


def _has_active_runs(state: Dispatcher, job: Job) -> bool:
    tasks = (task for step in job.steps.values() for task in step.tasks)
    return any(
        task.phase in Phase.ACTIVE or _is_cancel_pending(state, task) for task in tasks
    )


def _is_cancel_pending(state: Dispatcher, task: Task) -> bool:
    if task.phase != Phase.HANDED_OVER:
        return False
    return find_piece_id(task) in state.pending_cancels


def end_cancelled_jobs(state: Dispatcher) -> None:
    """End the cancelled jobs whose runs have all stopped."""
    for job in [job for job in state.jobs.values() if job.cancelled]:
        end_if_finished(state, job)


def end_job(state: Dispatcher, job: Job, final_state: str) -> None:
    """Set the final state of a job, to be stored with the next commit."""
    job.final_state = final_state
    state.new_final_states[job.submission.record_id] = final_state
    state.ended_jobs[job.submission.record_id] = 0.0
