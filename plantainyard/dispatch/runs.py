"""Runs of tasks: what the answers to orders mean, and what the end of a run does."""

from plantainyard.dispatch import jobs
from plantainyard.dispatch.events import JobStarted, OrderAnswered, OrderKind
from plantainyard.dispatch.leases import record_clock
from plantainyard.dispatch.model import Phase, Runner, StepRun, Task
from plantainyard.dispatch.orders import release_task, send_pace, send_stop
from plantainyard.dispatch.pacing import get_pace
from plantainyard.dispatch.placing import release_resources
from plantainyard.dispatch.state import Dispatcher, mark_dirty
from plantainyard.dispatch.timing import count_lost_run
from plantainyard.platform.runners import OrderOutcome

__all__ = ["end_run", "requeue_task", "mark_started", "apply_order_result"]

_NOT_DONE = frozenset(
    {OrderOutcome.LEASE_EXPIRED, OrderOutcome.NO_CAPACITY, OrderOutcome.REFUSED}
)


def mark_started(state: Dispatcher, step: StepRun, now: float) -> None:
    """Take note that a runner has, or had, a run of a step's job."""
    job = step.job
    if job.started:
        return
    job.started = True
    state.started_steps[id(step)] = step
    waited_s = round(now - job.received_at, 3)
    state.actions.append(JobStarted(job.submission.record_id, waited_s))


def apply_order_result(state: Dispatcher, event: OrderAnswered, now: float) -> None:
    """Take in what became of an order."""
    runner = state.runners.get(event.incarnation)
    if runner is None:
        return
    if event.result.clock_ms is not None:
        record_clock(runner, event.result.clock_ms, now)
    task = runner.tasks.get(event.task)
    if task is None or task.run != event.run or task.incarnation != event.incarnation:
        return
    if event.kind == OrderKind.PACE:
        _take_pace_answer(task, event)
        return
    task.order_pending = False
    outcome = event.result.outcome
    if event.kind == OrderKind.STOP:
        _take_stop_answer(task, outcome, now)
    elif task.phase in (Phase.ORDERED, Phase.STOPPING):
        _take_start_answer(state, task, runner, outcome, now)


def _take_pace_answer(task: Task, event: OrderAnswered) -> None:
    # Whatever was not done is ordered again with the next report: the dispatcher's
    # figure of what the runner has in force must not be ahead of the truth.
    if event.result.outcome != OrderOutcome.DONE:
        task.pace = -1


def _take_stop_answer(task: Task, outcome: str, now: float) -> None:
    """Take in that a run either ends, which is listed, or is refused when it comes.

    Notes
    -----
    Guards against a task that is stopped for good: a stop is repeated until the run's
    end is known, and reports wait longer than repeats. Were the last answer to count,
    each report would have been asked for before it, and none would prove anything.
    """
    if outcome == OrderOutcome.DONE and task.resolved_at is None:
        task.resolved_at = now


def _take_start_answer(
    state: Dispatcher, task: Task, runner: Runner, outcome: str, now: float
) -> None:
    if outcome == OrderOutcome.DONE:
        task.resolved_at = now
        mark_started(state, task.step, now)
        if task.phase == Phase.ORDERED:
            task.phase = Phase.RUNNING
            task.progress_at = now
            spec = task.step.spec
            if spec.backfill and get_pace(runner, spec.image) < task.pace:
                send_pace(state, task, runner, get_pace(runner, spec.image), now)
        return
    if outcome == OrderOutcome.STALE_RUN:
        # The run has ended there or was stopped: the next report tells.
        task.resolved_at = now
        return
    if outcome in _NOT_DONE and task.resolved_at is None:
        entry = runner.entry
        if outcome == OrderOutcome.REFUSED and entry is not None:
            task.avoided_runners.add(entry.runner)
            runner.failure_score += 0.5
        task.not_before = now + state.limits.refusal_pause_s
        _settle_refusal(state, task, now)


def _settle_refusal(state: Dispatcher, task: Task, now: float) -> None:
    """Free a task whose start was refused, unless an earlier copy may still come.

    Notes
    -----
    Guards against two runs of one task: a start that was sent twice may be refused
    once and carried out later by its first copy. A stop makes the runner refuse the
    run for good; its answer settles the matter.
    """
    if task.starts_sent > 1 or task.phase == Phase.STOPPING:
        send_stop(state, task, now)
        return
    requeue_task(state, task)


def requeue_task(state: Dispatcher, task: Task) -> None:
    """Let a task wait again, and end its job if that was all it waited for."""
    release_task(state, task)
    jobs.end_if_finished(state, task.step.job)


def end_run(
    state: Dispatcher, task: Task, runner: Runner, how: str, checkpoint: str, now: float
) -> None:
    """Take in the end of a task's newest run."""
    mark_started(state, task.step, now)
    if checkpoint:
        task.checkpoint = checkpoint
    release_resources(runner, task)
    job = task.step.job
    lasting = task.step.spec.long_running
    if how == "done" and not lasting and not job.cancelled and not job.final_state:
        runner.failure_score = 0.0
        task.incarnation = ""
        jobs.finish_task(state, task)
        return
    if how != "done":
        count_lost_run(job, how)
    if how == "failed":
        _note_failure(state, task, runner, now)
    requeue_task(state, task)
    mark_dirty(state, task.step)
    if not lasting and task.failures >= job.submission.max_attempts:
        jobs.fail_job(state, job, now)


def _note_failure(state: Dispatcher, task: Task, runner: Runner, now: float) -> None:
    first = task.failures == 0
    task.failures += 1
    if runner.entry is not None:
        task.avoided_runners.add(runner.entry.runner)
    # A task that failed elsewhere too says little about this runner.
    runner.failure_score += 1.0 if first else 0.25
    if runner.failure_score >= state.limits.quarantine_after:
        runner.quarantined_until = now + state.limits.quarantine_s
