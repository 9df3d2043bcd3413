"""Incarnations of runners: which one is there, and what becomes of its predecessor.

The new incarnation may have carried out starts that were sent to the one before, and
copies of them may still be under way. Its calls carry a higher fencing token: from its
first answer on it refuses these copies, and its first report shows which runs it has.
Runs that are listed go on, and tasks whose runs aren't listed start again. Where a run
mustn't go on, a stop ends it, or refuses its copies even before the first report.
"""

import math

from plantainyard.dispatch import orders, runs
from plantainyard.dispatch.actions import GiveUpReason
from plantainyard.dispatch.critical_path import record_path_time
from plantainyard.dispatch.evacuations import mark_evacuated
from plantainyard.dispatch.incarnation_clocks import CLOCK_STEP_S
from plantainyard.dispatch.leases import (
    find_end_of_lease,
    get_lease_end,
    move_start,
)
from plantainyard.dispatch.model import Phase, Runner, Task
from plantainyard.dispatch.pacing import FULL_PACE
from plantainyard.dispatch.placing import release_resources, reserve_resources
from plantainyard.dispatch.state import (
    DepartedRunner,
    Dispatcher,
    inherit_restart,
    record_given_up,
)
from plantainyard.dispatch.unanswered_starts import (
    TRAVEL_S,
    find_last_lapse,
    has_surely_begun,
)
from plantainyard.platform.entries import RunnerEntry

__all__ = [
    "apply_entry",
    "handle_other_incarnation",
    "remove_departed",
    "resolve_suspects",
]

DEFAULT_DRAIN_MS = 2_000
"""Assumed time until a draining runner leaves if its entry doesn't state it."""


def apply_entry(
    state: Dispatcher, runner_id: str, entry: RunnerEntry | None, now: float
) -> None:
    """Apply a runner's entry, or its removal."""
    newest = state.runners.get(state.newest_incarnations.get(runner_id, ""))
    if entry is None:
        if newest is not None:
            _remove_entry(newest, now)
    elif newest is not None and entry.started_at_ms < newest.started_at_ms:
        _suspect_entry(newest, entry, now)
    else:
        _put_in_force(state, entry, now)


def _remove_entry(newest: Runner, now: float) -> None:
    newest.suspect_entry = None
    if newest.registered:
        newest.registered = False
        newest.missing_since = now


def _suspect_entry(newest: Runner, entry: RunnerEntry, now: float) -> None:
    """Keep an entry of an incarnation that began before the newest one for later.

    Notes
    -----
    Guards against two runs of each task of a runner that has started again: the store
    may carry out the last heartbeat of the incarnation before seconds late, and that
    one would be taken for a successor of the incarnation at work. A runner whose clock
    was set back between two starts writes such an entry, too.
    """
    if newest.suspect_entry is None:
        newest.suspect_since = now
    newest.suspect_entry = entry


def resolve_suspects(state: Dispatcher, now: float) -> None:
    """Put a suspect entry in force if nothing has come of the newest incarnation.

    Notes
    -----
    A heartbeat or a report of that incarnation, which follow within a second or two,
    removes the suspect entry. The time is that for which a call of the runner to the
    store may be late.
    """
    for runner in list(state.runners.values()):
        entry = runner.suspect_entry
        if entry is not None and now - runner.suspect_since > state.limits.late_call_s:
            _put_in_force(state, entry, now)


def _put_in_force(state: Dispatcher, entry: RunnerEntry, now: float) -> None:
    """Make the incarnation of an entry the newest one of its runner."""
    runner = state.runners.get(entry.incarnation)
    if runner is None:
        runner = Runner(entry.incarnation, entry)
        state.runners[entry.incarnation] = runner
    if not runner.fence:
        runner.seen_at, runner.seen_clock_ms = now, entry.clock_ms
        runner.fence = state.wanted_fence
        inherit_restart(state, runner)
        if _may_have_earlier_lease(state, entry, now):
            runner.earlier_calls_end = math.inf
        _raise_above_departed(state, runner, entry.runner)
    runner.entry = entry
    runner.registered = True
    runner.suspect_entry = None
    mark_evacuated(state, runner)
    if entry.draining and not runner.leaves_at:
        leaves_in_ms = (
            DEFAULT_DRAIN_MS if entry.leaves_in_ms is None else entry.leaves_in_ms
        )
        runner.leaves_at = now + leaves_in_ms / 1000
    state.newest_incarnations[entry.runner] = entry.incarnation
    for other in list(state.runners.values()):
        if other.runner_id == entry.runner and other is not runner:
            _replace_incarnation(state, other, runner, now)


def remove_departed(state: Dispatcher, runner: Runner, now: float) -> None:
    """Remove a runner that has left for good, but for the token of the calls to it.

    Notes
    -----
    Guards against two runs of one task: the runner may have started again, out of
    reach, and come back under its id. A start that was sent to the incarnation before
    may still be carried out then, and must be refused from the first call on.
    """
    del state.runners[runner.incarnation]
    if runner.entry is None:
        return
    until = now + state.limits.late_call_s
    departed = DepartedRunner(runner.incarnation, runner.fence, until)
    state.departed = {
        runner_id: known
        for runner_id, known in state.departed.items()
        if now <= known.until
    }
    state.departed[runner.runner_id] = departed


def _raise_above_departed(state: Dispatcher, runner: Runner, runner_id: str) -> None:
    """Give a runner that is back its last token, or a higher one if it restarted."""
    departed = state.departed.pop(runner_id, None)
    if departed is None:
        return
    if departed.incarnation == runner.incarnation:
        runner.fence = max(runner.fence, departed.fence)
        return
    runner.fence = max(runner.fence, departed.fence + 1)
    runner.earlier_calls_end = math.inf
    state.wanted_fence = max(state.wanted_fence, runner.fence)


def _may_have_earlier_lease(state: Dispatcher, entry: RunnerEntry, now: float) -> bool:
    """Return whether a predecessor's call may have granted an incarnation a lease.

    Notes
    -----
    Guards against two runs of one task: a renewal of a predecessor for an earlier
    incarnation, which is carried out late and before this owner's first call, grants
    the longest lease, as its time is of another clock. Neither owner knows of that. An
    incarnation that is older than calls are late has been called since, or holds no
    such lease any more.
    """
    age_s = now + state.wall_offset_s - entry.started_at_ms / 1000
    return state.has_predecessor and age_s < state.limits.late_call_s + CLOCK_STEP_S


def _replace_incarnation(
    state: Dispatcher, old: Runner, new: Runner, now: float
) -> None:
    """Remove an incarnation of a runner that has restarted, and resolve its tasks.

    Notes
    -----
    Guards against two runs of one task: an order that was addressed to the old
    incarnation may be carried out by the new one, which has the same id and address,
    and its answer doesn't distinguish them. A run has certainly ended with the old
    incarnation only if this owner sent its start exactly once and a report of the old
    incarnation has listed the run. Any other run that was sent is taken over or stopped
    at the new incarnation. Calls to the new incarnation carry a higher fencing token,
    so that its first report shows whether such a run is there; a copy of the start that
    arrives later is refused.
    """
    for task in list(old.tasks.values()):
        has_ended = task.seen_in_report and task.starts_sent == 1
        if has_ended or task.phase == Phase.STORING:
            record_given_up(state, task, GiveUpReason.RUNNER_REPLACED)
            runs.requeue_task(state, task)
    for task in list(old.tasks.values()):
        may_go_on = _may_go_on(state, task, old, new)
        release_resources(old, task)
        task.resolved_at = now
        if has_surely_begun(task):
            task.late_start_end = find_last_lapse(state.limits, task)
        else:
            move_start(task, new, state.limits)
        task.incarnation = new.incarnation
        reserve_resources(new, task)
        if may_go_on:
            _await_report(state, task, new, now)
        else:
            orders.send_stop(state, task, now)
    new.lease_bound = max(new.lease_bound, get_lease_end(old))
    new.grant_limit = min(new.grant_limit, old.grant_limit)
    new.earlier_calls_end = math.inf
    if old.entry is not None:
        new.fence = max(new.fence, old.fence + 1)
        state.wanted_fence = max(state.wanted_fence, new.fence)
    del state.runners[old.incarnation]


def _may_go_on(state: Dispatcher, task: Task, old: Runner, new: Runner) -> bool:
    """Return whether a run goes on if the new incarnation has carried out its start.

    Notes
    -----
    Guards against a stop that ends a task at work on a sound runner while as many
    others of its step are away as may be missing, and against lost finite work.

    Some runs are stopped all the same, as a stop also refuses the copies of the start
    that arrive before the first report: those that aren't wanted any more, and those
    that mustn't start at the new incarnation. So are those that were seen at the old
    incarnation, where their progress was lost.

    Guards against two runs of one task: a run isn't taken over if a successor relies on
    a bound of it that was stored for the old incarnation. A bound that was raised
    because another incarnation has carried out the start covers its lease.
    """
    if task.phase not in (Phase.ORDERED, Phase.RUNNING) or task.seen_in_report:
        return False
    if task.is_completed or not _may_run_at(task, new):
        return False
    if task.unseen_end and not has_surely_begun(task):
        return False
    return old.incarnation not in state.stored_bounds


def _may_run_at(task: Task, runner: Runner) -> bool:
    """Return whether a run may be at a runner, by its kind, its domain and its gang.

    Notes
    -----
    Guards against a member of a gang that waits for others which have ended.
    """
    spec = task.step.spec
    if runner.entry is None or runner.evacuated:
        return False
    if runner.entry.service != task.step.job.submission.service:
        return False
    if spec.requires and spec.requires not in runner.entry.labels:
        return False
    return not spec.gang or all(
        member.run == task.run and member.phase in (Phase.ORDERED, Phase.RUNNING)
        for member in task.step.tasks
    )


def _await_report(state: Dispatcher, task: Task, new: Runner, now: float) -> None:
    """Let the next report show whether a run is there, like a predecessor's run.

    Notes
    -----
    A run that is listed goes on. One that isn't can't begin there any more, as the
    report was requested with a higher fencing token than all copies of the start.

    Guards against two runs of one task: the new incarnation falls silent before that
    report, its entry goes away, and its run goes on until its longest lease ends.
    """
    bound = find_end_of_lease(state.limits, state.limits.longest_lease_s, now)
    new.lease_bound = max(new.lease_bound, bound + TRAVEL_S)
    record_path_time(state, task, Phase.ORDERED)
    task.phase = Phase.ORDERED
    task.order_pending = False
    task.start_until_ms = 0
    task.pace = task.previous_pace = FULL_PACE
    # It is measured from its first reported progress.
    task.first_percent = -1


def handle_other_incarnation(
    state: Dispatcher, runner: Runner, started_at_ms: int, now: float
) -> None:
    """Wait for the entry of an incarnation that answered in place of the newest one.

    Notes
    -----
    The entry arrives through the store, and the old incarnation is then removed. Until
    then no ends are acknowledged to the new incarnation: it numbers its ends from the
    start, and an acknowledgement of the old incarnation's ends would make it discard as
    many of its own that were never applied. A suspect entry may be that of the
    incarnation which answers.
    """
    entry = runner.suspect_entry
    if entry is not None and entry.started_at_ms == started_at_ms:
        _put_in_force(state, entry, now)
        return
    runner.last_end = runner.last_stored_end = 0
    runner.other_answered_at = now
    runner.responsive = False
    runner.next_report_at = now + state.limits.report_retry_s
