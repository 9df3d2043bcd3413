"""Reports and entries of runners: who is there, what runs, what has ended."""

from plantainyard.batch.tasks import TaskKey
from plantainyard.dispatch import orders, runs
from plantainyard.dispatch.events import (
    OrderKind,
    ReportFailed,
    ReportReceived,
    RequestReport,
    SendOrder,
)
from plantainyard.dispatch.interference import learn_from_sample
from plantainyard.dispatch.leases import grant_lease, has_lease_expired, record_clock
from plantainyard.dispatch.model import Phase, Runner
from plantainyard.dispatch.pacing import has_backfill_tasks, has_serving_tasks
from plantainyard.dispatch.placing import release_resources, reserve_resources
from plantainyard.dispatch.samples import read_sample
from plantainyard.dispatch.state import Dispatcher
from plantainyard.platform.entries import RunnerEntry
from plantainyard.platform.runners import ReportedRun, RunnerReport

__all__ = [
    "request_reports",
    "expire_leases",
    "apply_entry",
    "apply_report",
    "apply_missed_report",
]

MAX_LISTED_ENDS = 500
"""Ends that a runner lists at a time; with so many, others may be missing."""

DEFAULT_DRAIN_MS = 2_000
"""Time that a draining runner is taken to stay where its entry doesn't say."""

SILENT_AFTER_MISSES = 2
"""Reports in a row that don't come before a runner counts as silent."""


def apply_entry(
    state: Dispatcher, runner_id: str, entry: RunnerEntry | None, now: float
) -> None:
    """Take in a runner's entry, or that it has none any more."""
    old = state.runners.get(state.newest_incarnations.get(runner_id, ""))
    if entry is None:
        if old is not None:
            old.registered = False
        return
    runner = state.runners.get(entry.incarnation)
    if runner is None:
        runner = Runner(entry.incarnation, entry)
        state.runners[entry.incarnation] = runner
    runner.entry = entry
    runner.registered = True
    if entry.draining and not runner.leaves_at:
        stays_ms = (
            DEFAULT_DRAIN_MS if entry.leaves_in_ms is None else entry.leaves_in_ms
        )
        runner.leaves_at = now + stays_ms / 1000
    state.newest_incarnations[runner_id] = entry.incarnation
    for incarnation in [k for k in state.runners if k.startswith(f"{runner_id}@")]:
        if incarnation != entry.incarnation:
            _end_old_incarnation(state, state.runners[incarnation], runner, now)


def _end_old_incarnation(
    state: Dispatcher, old: Runner, new: Runner, now: float
) -> None:
    """End a life of a runner that has started again.

    Notes
    -----
    Guards against two runs of one task: an order that was meant for the old life is
    carried out by the new one, which has the same id and address, and its answer
    doesn't tell them apart. Only a run whose one start was sent by this owner, and that
    a report of the old life has listed, certainly ended with it. Any other that was
    sent is stopped at the new life before the task may start elsewhere; a copy of its
    start that comes later still is refused there. What the old life has answered says
    nothing of the new one: only a report after the answer to that stop counts.
    """
    for task in list(old.tasks.values()):
        ended = task.seen_in_report and task.starts_sent == 1
        if ended or task.phase == Phase.STORING:
            runs.requeue_task(state, task)
            continue
        release_resources(old, task)
        task.resolved_at = None
        task.incarnation = new.incarnation
        reserve_resources(new, task)
        orders.send_stop(state, task, now)
    new.lease_bound = max(new.lease_bound, old.lease_bound)
    del state.runners[old.incarnation]


def apply_report(state: Dispatcher, event: ReportReceived, now: float) -> None:
    """Take in what runs and has ended at a runner."""
    runner = state.runners.get(event.incarnation)
    if runner is None or runner.entry is None:
        return
    runner.report_pending = False
    held = event.report
    if (
        held.started_at_ms is not None
        and held.started_at_ms != runner.entry.started_at_ms
    ):
        _await_new_entry(state, runner, now)
        return
    record_clock(runner, held.clock_ms, now)
    runner.responsive = True
    runner.missed_reports = 0
    runner.next_report_at = now + state.limits.idle_report_interval_s
    _take_ends(state, runner, held, now)
    present = {
        row.task
        for row in held.running
        if _take_row(state, runner, row, event.sent_at, now)
    }
    if len(held.ended) < MAX_LISTED_ENDS:
        _free_missing(state, runner, present, event.sent_at)
        runner.has_reported = True
    _adjust_pace(state, runner, held, now)


def _take_ends(
    state: Dispatcher, runner: Runner, held: RunnerReport, now: float
) -> None:
    for end in sorted(held.ended):
        if end.number <= runner.last_end:
            continue
        runner.last_end = end.number
        task = runner.tasks.get(end.task)
        if task is not None and task.run == end.run:
            runs.end_run(state, task, runner, end.outcome, end.checkpoint, now)


def _take_row(
    state: Dispatcher, runner: Runner, row: ReportedRun, sent_at: float, now: float
) -> bool:
    """Take in one run that is there; return whether it is one of the unit's own."""
    task = runner.tasks.get(row.task)
    if task is None or task.run != row.run:
        _stop_stray(state, runner, row.task, row.run)
        return False
    task.seen_in_report = True
    runs.mark_started(state, task.step, now)
    if row.checkpoint:
        task.checkpoint = row.checkpoint
    if row.percent != task.percent:
        task.percent = row.percent
        task.progress_at = now
    if task.phase == Phase.ORDERED:
        task.phase = Phase.RUNNING
        task.resolved_at = sent_at
    return True


def _stop_stray(state: Dispatcher, runner: Runner, key: TaskKey, run: int) -> None:
    """Stop a run that no record explains: its job has ended, or it was given up."""
    assert runner.entry is not None
    state.actions.append(SendOrder(OrderKind.STOP, runner.entry, key, run))


def _free_missing(
    state: Dispatcher, runner: Runner, present: set[TaskKey], sent_at: float
) -> None:
    """Free the tasks whose runs are certainly not at the runner any more."""
    for task in list(runner.tasks.values()):
        gone = task.key not in present and task.phase != Phase.STORING
        if gone and task.resolved_at is not None and task.resolved_at <= sent_at:
            runs.requeue_task(state, task)


def _await_new_entry(state: Dispatcher, runner: Runner, now: float) -> None:
    """Wait for the entry of a new life that has answered in the place of the old one.

    Notes
    -----
    It comes through the store and buries the old life. Until then the new one is asked
    for nothing but to go on: its ends are numbered anew, and told of those of the old
    life it would forget as many of its own, which nobody has taken in.
    """
    runner.last_end = runner.last_stored_end = 0
    runner.responsive = False
    runner.next_report_at = now + state.limits.report_retry_s


def apply_missed_report(state: Dispatcher, event: ReportFailed, now: float) -> None:
    """Take note that a runner's report didn't come.

    Notes
    -----
    Guards against work that avoids sound runners: where one call in twenty isn't
    answered, a quarter of all runners would count as silent at any time. The report
    is asked for again at once, without a wait, and decides.
    """
    runner = state.runners.get(event.incarnation)
    if runner is None:
        return
    runner.report_pending = False
    runner.missed_reports += 1
    if runner.missed_reports < SILENT_AFTER_MISSES and not event.other_incarnation:
        return
    runner.responsive = False
    runner.next_report_at = now + state.limits.report_retry_s


def expire_leases(state: Dispatcher, now: float) -> None:
    """Free the tasks of silent runners whose leases have lapsed; forget dead lives."""
    for runner in list(state.runners.values()):
        silent = runner.entry is None or not runner.responsive
        if silent and has_lease_expired(runner, now):
            for task in list(runner.tasks.values()):
                if task.phase != Phase.STORING:
                    runs.requeue_task(state, task)
        if runner.quarantined_until and runner.quarantined_until < now:
            runner.quarantined_until = 0.0
            runner.failure_score = state.limits.quarantine_after / 2
        dead = runner.entry is None or not runner.registered
        if dead and not runner.tasks and not runner.report_pending:
            del state.runners[runner.incarnation]


def request_reports(state: Dispatcher, now: float) -> None:
    """Ask each runner for its report when it is due."""
    for runner in state.runners.values():
        if runner.report_pending or runner.entry is None:
            continue
        if not runner.has_reported or not runner.responsive or not runner.tasks:
            if now >= runner.next_report_at:
                _ask(state, runner, now, 0.0, renew=False)
        elif runner.last_end == runner.last_stored_end:
            watched = has_serving_tasks(runner) and has_backfill_tasks(runner)
            limits = state.limits
            wait_s = limits.watched_report_wait_s if watched else limits.report_wait_s
            wait_s = 0.0 if runner.missed_reports else wait_s
            _ask(state, runner, now, wait_s, renew=True)
        elif now >= runner.next_report_at:
            # The store is slow: ends can't be acknowledged, yet the lease must go on.
            _ask(state, runner, now, 0.0, renew=True)


def _ask(
    state: Dispatcher, runner: Runner, now: float, wait_s: float, renew: bool
) -> None:
    assert runner.entry is not None
    runner.report_pending = True
    until_ms = grant_lease(runner, state.limits, state.renewed_at, now) if renew else 0
    state.actions.append(
        RequestReport(runner.entry, runner.last_stored_end, until_ms, wait_s)
    )


def _adjust_pace(
    state: Dispatcher, runner: Runner, held: RunnerReport, now: float
) -> None:
    """Learn from the report, and slow what harms the runner's serving tasks."""
    if not has_serving_tasks(runner):
        runner.base_margins = {}
        runner.over_target_since = 0.0
    elif now - runner.sampled_at >= state.limits.watched_report_wait_s * 0.8:
        runner.sampled_at = now
        sample = read_sample(runner, held.running)
        runner.base_margins = learn_from_sample(state.interference, sample, now)
        _note_harm(runner, max((t.value for t in sample.tails), default=0.0), now)
    orders.pace_backfill(state, runner, now)


def _note_harm(runner: Runner, worst: float, now: float) -> None:
    if worst <= 1.0:
        runner.over_target_since = 0.0
    elif not runner.over_target_since:
        runner.over_target_since = now
