"""Orders to runners: starts, stops and paces, and what is ordered again."""

from plantainyard.dispatch.events import OrderKind, SendOrder
from plantainyard.dispatch.leases import grant_lease
from plantainyard.dispatch.model import Phase, Runner, Task
from plantainyard.dispatch.pacing import (
    FULL_PACE,
    choose_paces,
    get_pace,
    update_headroom,
)
from plantainyard.dispatch.placing import release_resources
from plantainyard.dispatch.state import Dispatcher

__all__ = [
    "pace_backfill",
    "release_task",
    "resend_orders",
    "send_pace",
    "send_start",
    "send_stop",
]

MIN_PACE_DECREASE = 10
"""Points by which a pace has to fall to be ordered anew; reports are off by more."""

MIN_PACE_INCREASE = 20
"""Points by which it has to rise: small rises do little more work, and each order costs
the owner's processor time."""

STOP_ALL_SHARE = 0.45
"""Part of the time that harm may last after which all backfilling work is stopped:
what is left is twice the time until a stop shows in the reports."""


def send_start(state: Dispatcher, task: Task, now: float) -> None:
    """Order an assigned run to start; its record is in the store."""
    runner = state.runners.get(task.incarnation)
    if runner is None or runner.entry is None or not runner.responsive:
        release_task(state, task)
        return
    task.phase = Phase.ORDERED
    task.resolved_at = None
    task.seen_in_report = False
    task.starts_sent = 0
    task.percent = -1
    task.progress_at = now
    task.pace = task.previous_pace = 100
    _send(state, OrderKind.START, task, runner, now)


def send_stop(state: Dispatcher, task: Task, now: float) -> None:
    """Order a run to stop; its end will be listed."""
    task.phase = Phase.STOPPING
    runner = state.runners.get(task.incarnation)
    if runner is None or runner.entry is None:
        return
    _send(state, OrderKind.STOP, task, runner, now)


def send_pace(
    state: Dispatcher, task: Task, runner: Runner, percent: int, now: float
) -> None:
    """Order a run to work at a share of full speed."""
    assert runner.entry is not None
    if percent < task.pace:
        task.slowed_at = now
    task.previous_pace = max(0, task.pace)
    task.pace = percent
    order = SendOrder(OrderKind.PACE, runner.entry, task.key, task.run, percent=percent)
    state.actions.append(order)


def pace_backfill(state: Dispatcher, runner: Runner, now: float) -> None:
    """Choose the paces of the runner's backfilling tasks, and order what changes."""
    over_s = now - runner.over_target_since if runner.over_target_since else 0.0
    if over_s > state.limits.missed_target_s * STOP_ALL_SHARE:
        images = {t.step.spec.image for t in runner.tasks.values()}
        runner.paces = dict.fromkeys(images, 0)
    else:
        runner.paces = choose_paces(runner, state.interference)
    update_headroom(runner, state.interference)
    for task in runner.tasks.values():
        pace = get_pace(runner, task.step.spec.image)
        if _needs_pace(task, pace):
            send_pace(state, task, runner, pace, now)


def _needs_pace(task: Task, pace: int) -> bool:
    if task.phase != Phase.RUNNING or not task.step.spec.backfill:
        return False
    least = MIN_PACE_INCREASE if pace > task.pace else MIN_PACE_DECREASE
    small = abs(task.pace - pace) < least and 0 < pace < FULL_PACE
    return task.pace != pace and not small


def _send(state: Dispatcher, kind: str, task: Task, runner: Runner, now: float) -> None:
    assert runner.entry is not None
    task.order_pending = True
    task.next_order_at = now + state.limits.order_retry_s
    starts = kind == OrderKind.START
    lease_ms = grant_lease(runner, state.limits, state.renewed_at, now) if starts else 0
    task.starts_sent += starts
    order = SendOrder(
        kind,
        runner.entry,
        task.key,
        task.run,
        spec=task.step.job.submission.spec if starts else "",
        lease_until_ms=lease_ms,
        checkpoint=task.checkpoint if starts else "",
    )
    state.actions.append(order)


def resend_orders(state: Dispatcher, now: float) -> None:
    """Send again what wasn't answered.

    Notes
    -----
    Guards against a start whose answer is lost: it may be carried out seconds later,
    when the task has long been started elsewhere, and then two runs of one task are
    at work. Sent again, it is either answered, which settles where the run is, or the
    run's lease lapses. The later order then finds the run there or ended.
    """
    for runner in state.runners.values():
        if runner.entry is None:
            continue
        for task in list(runner.tasks.values()):
            if task.order_pending or now < task.next_order_at:
                continue
            if task.phase == Phase.STOPPING:
                _send(state, OrderKind.STOP, task, runner, now)
            elif (
                task.phase == Phase.ORDERED
                and task.resolved_at is None
                and runner.responsive
            ):
                _send(state, OrderKind.START, task, runner, now)


def release_task(state: Dispatcher, task: Task) -> None:
    """Let a task wait again: its run is certainly nowhere."""
    runner = state.runners.get(task.incarnation)
    if runner is not None:
        release_resources(runner, task)
    task.phase = Phase.WAITING
    task.incarnation = ""
    task.resolved_at = None
    task.order_pending = False
    task.percent = -1
