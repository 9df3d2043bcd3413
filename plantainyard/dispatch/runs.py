"""Effects of the results of orders and of the ends of runs on tasks."""

import math

from plantainyard.dispatch import jobs
from plantainyard.dispatch.actions import GiveUpReason, JobStarted, OrderKind
from plantainyard.dispatch.completions import record_completion
from plantainyard.dispatch.critical_path import record_path_time
from plantainyard.dispatch.events import OrderAnswered
from plantainyard.dispatch.failing_runners import observe_failure, suspend_failing
from plantainyard.dispatch.forwarding import find_piece_id, forward_cancel
from plantainyard.dispatch.health import observe_end
from plantainyard.dispatch.incarnation_clocks import (
    Answerer,
    identify_answerer,
    record_clock,
)
from plantainyard.dispatch.leases import find_end_of_lease
from plantainyard.dispatch.measured_runs import measure_end
from plantainyard.dispatch.model import Phase, Runner, StepRun, Task
from plantainyard.dispatch.orders import release_task, send_pace, send_stop
from plantainyard.dispatch.pacing import get_pace
from plantainyard.dispatch.placing import release_resources
from plantainyard.dispatch.queue import measure_remaining_work
from plantainyard.dispatch.state import Dispatcher, mark_dirty, record_given_up
from plantainyard.dispatch.timing import count_lost_run
from plantainyard.dispatch.unanswered_starts import (
    record_answer,
    record_located_run,
    record_other_run,
    record_sending,
)
from plantainyard.dispatch.verifications import (
    needs_verification,
    require_verification,
)
from plantainyard.platform.runner_messages import OrderOutcome, RunEnd

__all__ = [
    "apply_earlier_completion",
    "apply_order_result",
    "complete_gang",
    "end_run",
    "give_up_start",
    "mark_running",
    "mark_started",
    "quarantine_failing",
    "requeue_task",
]

_NOT_STARTED = frozenset(
    {OrderOutcome.LEASE_EXPIRED, OrderOutcome.NO_CAPACITY, OrderOutcome.REFUSED}
)


def mark_started(state: Dispatcher, step: StepRun, now: float) -> None:
    """Mark the job of a step as started: a runner has, or had, one of its runs."""
    job = step.job
    if job.started:
        return
    job.started = True
    state.started_steps[id(step)] = step
    waited_s = round(now - job.received_at, 3)
    state.actions.append(JobStarted(job.submission.record_id, waited_s))


def mark_running(state: Dispatcher, task: Task) -> None:
    """Mark a task whose ordered run was seen at its runner."""
    record_path_time(state, task, Phase.RUNNING)
    task.phase = Phase.RUNNING
    if task.unseen_end:
        mark_dirty(state, task.step)


def apply_order_result(state: Dispatcher, event: OrderAnswered, now: float) -> None:
    """Apply the result of an order to its task."""
    runner = state.runners.get(event.incarnation)
    if runner is None:
        return
    answerer = _apply_clock(state, runner, event, now)
    task = runner.tasks.get(event.task)
    if task is not None and task.step.job.set_aside_until:
        return
    if task is None or task.run != event.run or task.incarnation != event.incarnation:
        return
    if event.kind == OrderKind.PACE:
        _apply_pace_result(task, event)
        return
    task.order_pending = False
    outcome = event.result.outcome
    if event.kind == OrderKind.START:
        record_sending(state, task, event.sent_at)
        if outcome == OrderOutcome.UNKNOWN and needs_verification(task):
            require_verification(state, task, now)
    if event.kind == OrderKind.START and outcome == OrderOutcome.DONE:
        if answerer == Answerer.LATER:
            _record_other_run(state, task, runner, now)
            return
        if answerer == Answerer.ADDRESSED:
            record_answer(task)
            record_located_run(task, event.sent_at)
    elif event.kind == OrderKind.START and outcome != OrderOutcome.UNKNOWN:
        record_answer(task)
    if event.kind == OrderKind.STOP:
        _apply_stop_result(task, outcome, now)
    elif task.phase in (Phase.ORDERED, Phase.STOPPING):
        _apply_start_result(state, task, runner, outcome, now)


def _apply_clock(
    state: Dispatcher, runner: Runner, event: OrderAnswered, now: float
) -> str:
    """Apply the clock in an answer; return who has given it, one of `Answerer`.

    Notes
    -----
    Guards against two runs of one task: a runner has started again, carries out a start
    that was sent to its earlier incarnation, and can't be reached from then on. It
    grants the longest lease, as the time in the start is of another clock. Nothing more
    is started there until its entry or a report shows which incarnation is there.
    """
    clock_ms, sent_at = event.result.clock_ms, event.sent_at
    answerer = identify_answerer(runner, clock_ms, sent_at, now, state.limits)
    if answerer == Answerer.ADDRESSED and clock_ms is not None:
        record_clock(runner, clock_ms, sent_at, now)
    elif answerer == Answerer.LATER:
        runner.other_answered_at = now
        runner.responsive = False
        runner.missed_reports = max(1, runner.missed_reports)
        runner.next_report_at = now
    return answerer


def _record_other_run(
    state: Dispatcher, task: Task, runner: Runner, now: float
) -> None:
    """Record that another incarnation than the addressed one has carried out a start.

    Notes
    -----
    Guards against two runs of one task: a successor would rely on bounds that only
    cover what was granted to the addressed incarnation.
    """
    record_given_up(state, task, GiveUpReason.OTHER_INCARNATION)
    record_other_run(task, now)
    runner.earlier_calls_end = math.inf
    limits = state.limits
    task.late_start_end = find_end_of_lease(limits, limits.longest_lease_s, now)
    if task.unseen_end:
        task.unseen_end = max(task.unseen_end, task.late_start_end)
    # Stores that the runner's leases may be longer, too.
    mark_dirty(state, task.step)


def _apply_pace_result(task: Task, event: OrderAnswered) -> None:
    # Ordered again with the next report: the recorded pace must not be one that the
    # runner doesn't have in force.
    if event.result.outcome != OrderOutcome.DONE:
        task.pace = -1


def _apply_stop_result(task: Task, outcome: str, now: float) -> None:
    """Record that a stopped run ends, which is reported, or is refused if it arrives.

    Notes
    -----
    The first answer counts. Guards against a task that remains stopping forever: a stop
    is repeated until the end of the run is known, and reports wait longer than the
    interval of repetitions. If the last answer counted, every report would have been
    requested before it, and none would prove anything.
    """
    if outcome == OrderOutcome.DONE and task.resolved_at is None:
        task.resolved_at = now


def _apply_start_result(
    state: Dispatcher, task: Task, runner: Runner, outcome: str, now: float
) -> None:
    if outcome == OrderOutcome.DONE:
        task.resolved_at = now
        mark_started(state, task.step, now)
        if task.phase == Phase.ORDERED:
            mark_running(state, task)
            task.progress_at = now
            spec = task.step.spec
            if spec.backfill and get_pace(runner, spec.image) < task.pace:
                send_pace(state, task, runner, get_pace(runner, spec.image), now)
        return
    if outcome == OrderOutcome.STALE_RUN:
        # The run has ended or was stopped there; the next report shows it.
        task.resolved_at = now
        return
    if outcome in _NOT_STARTED and task.resolved_at is None:
        if outcome == OrderOutcome.REFUSED:
            _avoid_runner(task, runner)
        task.not_before = now + state.limits.refusal_pause_s
        _handle_refusal(state, task, now)


def _handle_refusal(state: Dispatcher, task: Task, now: float) -> None:
    """Requeue a task whose start was refused, unless an earlier copy may still arrive.

    Notes
    -----
    Guards against two runs of one task: of a start that was sent twice, the second copy
    may be refused and the first one carried out later. A stop makes the runner refuse
    the run permanently, which is certain once the stop is answered.

    Guards against a task that stays at a runner that refuses it: only a restart within
    seconds could carry out a copy then, and isn't waited for.
    """
    task.unanswered = []
    if task.starts_sent > 1 or task.phase == Phase.STOPPING:
        send_stop(state, task, now)
        return
    record_given_up(state, task, GiveUpReason.REFUSED)
    requeue_task(state, task)


def give_up_start(state: Dispatcher, task: Task, runner: Runner) -> None:
    """Requeue a task whose start wasn't carried out before its lease ended.

    Notes
    -----
    Guards against a task that stays at a runner that answers reports and no orders. The
    runner refuses all copies of the start unless it restarts within seconds.
    """
    record_given_up(state, task, GiveUpReason.START_EXPIRED)
    task.unanswered = []
    _avoid_runner(task, runner)
    requeue_task(state, task)


def _avoid_runner(task: Task, runner: Runner) -> None:
    if runner.entry is not None:
        task.avoided_runners.add(runner.entry.runner)
        runner.failure_score += 0.5


def requeue_task(state: Dispatcher, task: Task) -> None:
    """Let a task wait again, and end its job if cancelled and without active runs."""
    release_task(state, task)
    if task.is_completed:
        jobs.finish_task(state, task)
        return
    jobs.end_if_finished(state, task.step.job)


def end_run(
    state: Dispatcher,
    task: Task,
    runner: Runner,
    outcome: str,
    checkpoint: str,
    now: float,
) -> None:
    """Apply the end of a task's newest run."""
    mark_started(state, task.step, now)
    record_located_run(task, now)
    if checkpoint:
        task.checkpoint = checkpoint
    release_resources(runner, task)
    job = task.step.job
    is_long_running = task.step.spec.long_running
    if (
        outcome == "done"
        and not is_long_running
        and not job.cancelled
        and not job.final_state
    ):
        runner.failure_score = 0.0
        measure_end(state.run_times, state.limits.policy.run_times, task, now)
        if state.limits.policy.health:
            observe_end(state.health, task, runner, now)
        task.incarnation = ""
        earlier_work = measure_remaining_work(job)
        jobs.finish_task(state, task)
        _complete_tasks(state, task, task.run, now)
        record_completion(state, task, earlier_work, now)
        return
    if outcome != "done":
        count_lost_run(job, outcome)
    if outcome == "failed":
        _record_failure(state, task, runner, now)
    requeue_task(state, task)
    mark_dirty(state, task.step)
    is_final = is_long_running or task.is_completed
    if not is_final and task.failures >= job.submission.max_attempts:
        jobs.fail_job(state, job, now)


def apply_earlier_completion(state: Dispatcher, end: RunEnd, now: float) -> bool:
    """Apply an end ``done`` of a run that was given up, and that is listed late.

    Parameters
    ----------
    state : Dispatcher
        Changed in place.
    end : RunEnd
        The end.
    now : float
        The dispatcher's clock.

    Returns
    -------
    bool
        Whether the end may be acknowledged.

    Notes
    -----
    Guards against a task that is done twice: its newest run is stopped, and the end is
    acknowledged only once that run can't be started any more. Until then nothing is
    stored, as a successor is told the same end again.

    Guards against a gang that never ends because one of its members was given up, as a
    gang is never started in part: one end stands for all members.
    """
    if end.task.job_id in state.set_aside:
        return False
    job = state.jobs.get(end.task.job_id)
    step = job.steps.get((end.task.occurrence, end.task.step)) if job else None
    if job is None or step is None or job.cancelled or job.final_state:
        return True
    if step.spec.long_running:
        return True
    task = next((task for task in step.tasks if task.key == end.task), None)
    return task is None or _complete_tasks(state, task, end.run, now)


def complete_gang(state: Dispatcher, step: StepRun, now: float) -> None:
    """Complete a restored gang of which the end of one member is stored.

    Notes
    -----
    Guards against a gang that never ends: one end stands for all members, and is listed
    by that member's runner alone, which has discarded it. Runs that the other members
    may still have are stopped first.
    """
    for member in step.tasks:
        _complete_task(state, member, 0, now)


def _complete_tasks(state: Dispatcher, task: Task, run: int, now: float) -> bool:
    """Complete a task, with its gang; return whether none has a run left to end."""
    tasks = task.step.tasks if task.step.spec.gang else [task]
    for member in tasks:
        _complete_task(state, member, run, now)
    return all(member.phase == Phase.DONE for member in tasks)


def _complete_task(state: Dispatcher, task: Task, run: int, now: float) -> None:
    if task.phase == Phase.STORING:
        release_task(state, task)
    if task.phase == Phase.WAITING:
        jobs.finish_task(state, task)
    elif task.phase == Phase.HANDED_OVER:
        if not task.is_completed:
            task.is_completed = True
            forward_cancel(state, find_piece_id(task))
    elif task.phase in Phase.ACTIVE:
        task.is_completed = True
        if task.run > run and task.phase != Phase.STOPPING:
            send_stop(state, task, now)


def _record_failure(state: Dispatcher, task: Task, runner: Runner, now: float) -> None:
    is_first = task.failures == 0
    if state.limits.policy.health:
        observe_failure(state.health, task, runner, now)
    else:
        # A task that also failed elsewhere says little about this runner.
        runner.failure_score += 1.0 if is_first else 0.25
    task.failures += 1
    if runner.entry is not None:
        task.avoided_runners.add(runner.entry.runner)
    quarantine_failing(state, runner, now)


def quarantine_failing(state: Dispatcher, runner: Runner, now: float) -> None:
    """Quarantine a runner whose recent failures reach the threshold."""
    if state.limits.policy.health:
        suspend_failing(state.health, runner, state.limits, now)
    elif runner.failure_score >= state.limits.quarantine_after:
        runner.quarantined_until = now + state.limits.quarantine_s
