"""Handling of runners' reports: presence, active runs and ended runs."""

import math
from collections.abc import Iterable

from plantainyard.batch.tasks import TaskKey
from plantainyard.dispatch import orders, runs
from plantainyard.dispatch.actions import (
    GiveUpReason,
    OrderKind,
    RequestReport,
    SendOrder,
)
from plantainyard.dispatch.containment import contain
from plantainyard.dispatch.events import ReportFailed, ReportReceived
from plantainyard.dispatch.health import observe_progress
from plantainyard.dispatch.incarnation_clocks import record_clock
from plantainyard.dispatch.incarnations import (
    handle_other_incarnation,
    remove_departed,
)
from plantainyard.dispatch.interference import learn_from_sample
from plantainyard.dispatch.leases import (
    count_earlier_calls,
    end_inheritance,
    grant_lease,
    has_lease_expired,
    has_run_expired,
    has_start_expired,
    is_gone,
)
from plantainyard.dispatch.measured_runs import measure_progress
from plantainyard.dispatch.model import Phase, Runner, Task
from plantainyard.dispatch.pacing import has_backfill_tasks, has_serving_tasks
from plantainyard.dispatch.placing import release_resources
from plantainyard.dispatch.samples import read_sample
from plantainyard.dispatch.state import (
    Dispatcher,
    get_fence,
    mark_dirty,
    record_given_up,
)
from plantainyard.dispatch.unanswered_starts import (
    forget_late_copies,
    record_located_run,
)
from plantainyard.dispatch.verifications import count_verification
from plantainyard.platform.runner_messages import ReportedRun, RunEnd, RunnerReport

__all__ = [
    "request_reports",
    "request_verifying",
    "expire_leases",
    "apply_report",
    "apply_missed_report",
]

MAX_LISTED_ENDS = 500
"""Maximum number of ends in one report; a report with this many may be incomplete."""

SILENT_AFTER_MISSES = 2
"""Number of successive missed reports after which a runner counts as silent."""


def apply_report(state: Dispatcher, event: ReportReceived, now: float) -> None:
    """Apply a runner's report of its active and ended runs."""
    runner = state.runners.get(event.incarnation)
    if runner is None or runner.entry is None:
        return
    if runner.verifying_at and event.sent_at >= runner.verifying_at:
        count_verification(runner, event.sent_at, now)
    _count_answer(runner, event.sent_at)
    report = event.report
    if (
        report.started_at_ms is not None
        and report.started_at_ms != runner.entry.started_at_ms
    ):
        handle_other_incarnation(state, runner, report.started_at_ms, now)
        return
    if event.sent_at < runner.other_answered_at:
        _apply_overtaken(state, runner, report, now)
        return
    runner.suspect_entry = None
    age_s = now + state.wall_offset_s - runner.entry.started_at_ms / 1000
    record_clock(runner, report.clock_ms, event.sent_at, now, age_s)
    end_inheritance(runner, state.limits, now)
    if runner.earlier_calls_end == math.inf:
        count_earlier_calls(runner, state.limits, now)
    if not runner.responsive:
        runner.responsive = True
        runner.responsive_since = now
    if event.sent_at >= runner.missed_at:
        runner.missed_reports = 0
    runner.next_report_at = now + state.limits.idle_report_interval_s
    _apply_ends(state, runner, report, now)
    present = {
        run.task
        for run in report.running
        if _apply_active_run(state, runner, run, event.sent_at, now)
    }
    runner.unwanted = {run.task for run in report.running} - present
    if len(report.ended) < MAX_LISTED_ENDS:
        _requeue_missing(state, runner, present, event)
        runner.has_reported = True
        runner.reported_at = event.sent_at
    _update_paces(state, runner, report, now)


def _apply_overtaken(
    state: Dispatcher, runner: Runner, report: RunnerReport, now: float
) -> None:
    """Apply the ends in an answer that a later incarnation's answer has overtaken.

    Notes
    -----
    Guards against a second run of a task whose end nobody has read: the runner would
    count as the incarnation before again, and the later one would be told that its
    ends are acknowledged, by the numbers of the one before.
    """
    last_end = runner.last_end
    _apply_ends(state, runner, report, now)
    runner.last_end = last_end


def _count_answer(runner: Runner, sent_at: float) -> None:
    """Count a report request that was answered, or has failed."""
    runner.pending_reports = max(0, runner.pending_reports - 1)
    if sent_at >= runner.verifying_at:
        runner.verifying_at = 0.0


def _apply_ends(
    state: Dispatcher, runner: Runner, report: RunnerReport, now: float
) -> None:
    runner.holds_end = False
    for end in sorted(report.ended):
        if end.number <= runner.last_end:
            continue
        task = runner.tasks.get(end.task)
        if task is not None and task.run == end.run:
            _end_run(state, runner, task, end, now)
        elif end.outcome == "done":
            settled = runs.apply_earlier_completion(state, end, now)
            runner.holds_end = runner.holds_end or not settled
        if not runner.holds_end:
            runner.last_end = end.number
            state.unstored_ends.add(runner.incarnation)


def _end_run(
    state: Dispatcher, runner: Runner, task: Task, end: RunEnd, now: float
) -> None:
    """Apply the end of a task's newest run; keep it if its job is set aside.

    Notes
    -----
    Guards against a task that is done twice because of an exception: the end isn't
    acknowledged as long as it isn't stored that the task is done.
    """
    job = task.step.job
    if not job.set_aside_until:
        with contain(state, now):
            runs.end_run(state, task, runner, end.outcome, end.checkpoint, now)
    if job.set_aside_until:
        runner.holds_end = True
        is_done = end.outcome == "done" and not task.step.spec.long_running
        task.is_completed = task.is_completed or is_done
    elif job.final_state:
        release_resources(runner, task)


def _apply_active_run(
    state: Dispatcher, runner: Runner, run: ReportedRun, sent_at: float, now: float
) -> bool:
    """Apply one active run; return whether it is the newest run of one of the tasks."""
    task = runner.tasks.get(run.task)
    if task is not None and task.step.job.set_aside_until:
        return True
    if task is None or task.run != run.run:
        _stop_unwanted_run(state, runner, run.task, run.run)
        return False
    task.seen_in_report = True
    record_located_run(task, sent_at)
    if task.late_start_end:
        # It may be stored as a run of the incarnation before.
        mark_dirty(state, task.step)
    task.late_start_ms = task.late_start_end = 0.0
    runs.mark_started(state, task.step, now)
    if run.checkpoint:
        task.checkpoint = run.checkpoint
    if run.percent != task.percent:
        task.percent = run.percent
        task.progress_at = now
        measure_progress(state.run_times, state.limits.policy.run_times, task, now)
    if task.phase == Phase.ORDERED:
        runs.mark_running(state, task)
        # Another request that was sent since may have been answered before the run
        # began.
        task.resolved_at = now
    if state.limits.policy.health and task.phase == Phase.RUNNING:
        observe_progress(state.health, task, runner, now)
    return True


def _stop_unwanted_run(
    state: Dispatcher, runner: Runner, key: TaskKey, run: int
) -> None:
    """Stop a run that is no longer wanted: its job has ended or it was abandoned."""
    assert runner.entry is not None
    fence = get_fence(state, runner)
    state.actions.append(SendOrder(OrderKind.STOP, runner.entry, key, run, fence))


def _requeue_missing(
    state: Dispatcher, runner: Runner, present: set[TaskKey], event: ReportReceived
) -> None:
    """Requeue the tasks whose runs are certainly not at the runner any more."""
    for task in list(runner.tasks.values()):
        if task.key in present or task.phase == Phase.STORING:
            continue
        if task.step.job.set_aside_until:
            continue
        if task.resolved_at is not None and task.resolved_at <= event.sent_at:
            is_stopping = task.phase == Phase.STOPPING
            why = GiveUpReason.STOPPED if is_stopping else GiveUpReason.MISSING
            record_given_up(state, task, why)
            runs.requeue_task(state, task)
        elif has_start_expired(task, state.limits, event.report.clock_ms):
            runs.give_up_start(state, task, runner)


def apply_missed_report(state: Dispatcher, event: ReportFailed, now: float) -> None:
    """Count a missed report; the runner is silent after `SILENT_AFTER_MISSES`.

    Notes
    -----
    Guards against healthy runners that get no tasks: if one call in twenty isn't
    answered, a quarter of all runners would count as silent at any time. After the
    first miss the report is requested again at once, without a wait for ends, and that
    request decides. One that was under way beside the first, which a verifying request
    may be, fails for the same cause and isn't counted.
    """
    runner = state.runners.get(event.incarnation)
    if runner is None:
        return
    _count_answer(runner, event.sent_at)
    if event.sent_at >= runner.missed_at:
        runner.missed_reports += 1
        runner.missed_at = now
    if runner.missed_reports < SILENT_AFTER_MISSES and not event.other_incarnation:
        return
    runner.responsive = False
    runner.next_report_at = now + state.limits.report_retry_s


def expire_leases(state: Dispatcher, now: float) -> None:
    """Requeue tasks whose leases expired, and remove dead runner incarnations."""
    for runner in list(state.runners.values()):
        if runner.entry is None or not runner.responsive:
            _expire_runs(state, runner, now)
        if runner.quarantined_until and runner.quarantined_until < now:
            runner.quarantined_until = 0.0
            runner.failure_score = state.limits.quarantine_after / 2
        is_idle = not runner.tasks and not runner.pending_reports
        # Its leases are reported to a successor until they have ended.
        if is_gone(runner, now) and is_idle and has_lease_expired(runner, now):
            remove_departed(state, runner, now)


def _expire_runs(state: Dispatcher, runner: Runner, now: float) -> None:
    """Requeue the tasks of a silent runner whose runs have surely ended."""
    for task in list(runner.tasks.values()):
        if task.step.job.set_aside_until:
            continue
        if task.phase != Phase.STORING and has_run_expired(task, runner, now):
            record_given_up(state, task, GiveUpReason.LEASE_EXPIRED)
            if task.unseen_end:
                forget_late_copies(state, task)
            runs.requeue_task(state, task)


def request_reports(
    state: Dispatcher, now: float, runners: Iterable[Runner] | None = None
) -> None:
    """Request the reports that are due, of all runners or of some of them."""
    for runner in state.runners.values() if runners is None else runners:
        has_left = not runner.registered and not runner.tasks
        if runner.pending_reports or runner.entry is None or has_left:
            continue
        if runner.fence > state.stored_fence:
            continue
        if not runner.has_reported or not runner.responsive or not runner.tasks:
            if now >= runner.next_report_at:
                _request_report(state, runner, now, 0.0, renew=False)
        elif runner.last_end == runner.last_stored_end and not runner.holds_end:
            is_watched = _is_watched(runner)
            limits = state.limits
            wait_s = (
                limits.watched_report_wait_s if is_watched else limits.report_wait_s
            )
            wait_s = 0.0 if runner.missed_reports else wait_s
            _request_report(state, runner, now, wait_s, renew=True)
        elif now >= runner.next_report_at:
            # Ends can't be acknowledged while the store is slow or a start must be
            # stopped first, but the lease must be renewed.
            _request_report(state, runner, now, 0.0, renew=True)


def request_verifying(state: Dispatcher, now: float) -> None:
    """Request the reports for which starts wait, also beside requests that wait.

    Notes
    -----
    Guards against a second run of a task whose end nobody has read: the runner may have
    started again, and the request that waits there hasn't failed yet. These requests
    acknowledge no ends.
    """
    for incarnation in list(state.verifying):
        runner = state.runners.get(incarnation)
        if runner is None or runner.entry is None or not runner.responsive:
            del state.verifying[incarnation]
        elif runner.fence <= state.stored_fence:
            del state.verifying[incarnation]
            runner.verifying_at = now
            _request_report(state, runner, now, 0.0, renew=False, acknowledge=False)


def _is_watched(runner: Runner) -> bool:
    """Return whether the next report of a runner is needed soon."""
    is_unseen = any(task.unseen_end for task in runner.tasks.values())
    return is_unseen or (has_serving_tasks(runner) and has_backfill_tasks(runner))


def _request_report(
    state: Dispatcher,
    runner: Runner,
    now: float,
    wait_s: float,
    renew: bool,
    acknowledge: bool = True,
) -> None:
    assert runner.entry is not None
    runner.pending_reports += 1
    until_ms = grant_lease(runner, state.limits, state.renewed_at, now) if renew else 0
    state.actions.append(
        RequestReport(
            runner.entry,
            _get_acknowledged(runner) if acknowledge else 0,
            until_ms,
            wait_s,
            get_fence(state, runner),
        )
    )


def _get_acknowledged(runner: Runner) -> int:
    """Return the number of the last end that the next request acknowledges.

    Notes
    -----
    Guards against a second run of a task whose end nobody has read: a runner may have
    started again since a request that went unanswered, and the new incarnation would
    discard as many of its own ends, which it numbers anew. None is acknowledged until
    an answer has shown which incarnation is there.
    """
    return 0 if runner.missed_reports else runner.last_stored_end


def _update_paces(
    state: Dispatcher, runner: Runner, report: RunnerReport, now: float
) -> None:
    """Update the interference model, and pace the runner's backfill tasks."""
    if not has_serving_tasks(runner):
        runner.base_margins = {}
        runner.over_target_since = 0.0
    elif now - runner.sampled_at >= state.limits.watched_report_wait_s * 0.8:
        runner.sampled_at = now
        sample = read_sample(runner, report.running)
        runner.base_margins = learn_from_sample(state.interference, sample, now)
        _track_missed_target(
            runner, max((t.value for t in sample.tails), default=0.0), now
        )
    orders.pace_backfill(state, runner, now)


def _track_missed_target(runner: Runner, worst_ratio: float, now: float) -> None:
    if worst_ratio <= 1.0:
        runner.over_target_since = 0.0
    elif not runner.over_target_since:
        runner.over_target_since = now
