"""Orders to runners: starts, stops, paces, and repetitions of unanswered orders."""

import math

from plantainyard.dispatch.actions import GiveUpReason, OrderKind, SendOrder
from plantainyard.dispatch.critical_path import record_path_time
from plantainyard.dispatch.evacuations import knows_evacuations
from plantainyard.dispatch.leases import can_start_arrive, grant_lease
from plantainyard.dispatch.measured_runs import begin_run_clock, record_pace
from plantainyard.dispatch.model import Phase, Runner, Task
from plantainyard.dispatch.pacing import (
    FULL_PACE,
    choose_paces,
    get_pace,
    update_headroom,
)
from plantainyard.dispatch.placing import release_resources
from plantainyard.dispatch.state import Dispatcher, get_fence, record_given_up
from plantainyard.dispatch.unanswered_starts import record_start
from plantainyard.dispatch.verifications import is_unverified, needs_verification

__all__ = [
    "pace_backfill",
    "release_task",
    "resend_orders",
    "send_pace",
    "send_start",
    "send_stop",
]

MIN_PACE_DECREASE = 10
"""Percentage points by which a pace must fall to be ordered again; the error of reports
is larger."""

MIN_PACE_INCREASE = 20
"""Percentage points by which a pace must rise to be ordered again: small increases gain
little, and each order costs the owner processor time."""

STOP_ALL_SHARE = 0.45
"""Share of `Limits.missed_target_s` after which all backfill tasks of a runner are
stopped: the rest is twice the time until a stop shows in the reports."""


def send_start(state: Dispatcher, task: Task, now: float) -> None:
    """Order an assigned run to start; its record is stored already."""
    runner = state.runners.get(task.incarnation)
    if runner is None or runner.entry is None or not runner.responsive:
        record_given_up(state, task, GiveUpReason.NOT_SENT)
        release_task(state, task)
        return
    if runner.evacuated or not knows_evacuations(state, now):
        record_given_up(state, task, GiveUpReason.EVACUATED)
        release_task(state, task)
        task.not_before = now + state.limits.refusal_pause_s
        return
    record_path_time(state, task, Phase.ORDERED)
    task.phase = Phase.ORDERED
    task.resolved_at = None
    task.seen_in_report = False
    task.starts_sent = 0
    task.start_until_ms = 0
    task.late_start_ms = task.late_start_end = 0.0
    task.percent = -1
    task.progress_at = now
    task.pace = task.previous_pace = 100
    begin_run_clock(task)
    _send_order(state, OrderKind.START, task, runner, now)


def send_stop(state: Dispatcher, task: Task, now: float) -> None:
    """Order a run to stop; the runner will report its end."""
    record_path_time(state, task, Phase.STOPPING)
    task.phase = Phase.STOPPING
    runner = state.runners.get(task.incarnation)
    if runner is None or runner.entry is None:
        return
    _send_order(state, OrderKind.STOP, task, runner, now)


def send_pace(
    state: Dispatcher, task: Task, runner: Runner, percent: int, now: float
) -> None:
    """Order a run to work at a percentage of full speed."""
    assert runner.entry is not None
    record_pace(task, now)
    if percent < task.pace:
        task.slowed_at = now
    task.previous_pace = max(0, task.pace)
    task.pace = percent
    fence = get_fence(state, runner)
    order = SendOrder(
        OrderKind.PACE, runner.entry, task.key, task.run, fence, percent=percent
    )
    state.actions.append(order)


def pace_backfill(state: Dispatcher, runner: Runner, now: float) -> None:
    """Choose the paces of the runner's backfill tasks, and order those that change."""
    missed_s = now - runner.over_target_since if runner.over_target_since else 0.0
    if missed_s > state.limits.missed_target_s * STOP_ALL_SHARE:
        images = {t.step.spec.image for t in runner.tasks.values()}
        runner.paces = dict.fromkeys(images, 0)
    else:
        runner.paces = choose_paces(runner, state.interference)
    update_headroom(runner, state.interference)
    for task in runner.tasks.values():
        pace = get_pace(runner, task.step.spec.image)
        if _needs_pace_order(task, pace):
            send_pace(state, task, runner, pace, now)


def _needs_pace_order(task: Task, pace: int) -> bool:
    if task.phase != Phase.RUNNING or not task.step.spec.backfill:
        return False
    min_change = MIN_PACE_INCREASE if pace > task.pace else MIN_PACE_DECREASE
    small = abs(task.pace - pace) < min_change and 0 < pace < FULL_PACE
    return task.pace != pace and not small


def _send_order(
    state: Dispatcher, kind: str, task: Task, runner: Runner, now: float
) -> None:
    assert runner.entry is not None
    task.order_pending = True
    task.next_order_at = now + state.limits.order_retry_s
    is_start = kind == OrderKind.START
    if is_start:
        task.starts_sent += 1
        record_start(state, task, runner, now)
        task.start_until_ms = task.start_until_ms or _grant_start_lease(
            state, task, runner, now
        )
    order = SendOrder(
        kind,
        runner.entry,
        task.key,
        task.run,
        get_fence(state, runner),
        spec=task.step.job.submission.spec if is_start else "",
        lease_until_ms=task.start_until_ms if is_start else 0,
        checkpoint=task.checkpoint if is_start else "",
    )
    state.actions.append(order)


def _grant_start_lease(
    state: Dispatcher, task: Task, runner: Runner, now: float
) -> int:
    is_restart = task.step.spec.long_running and task.run > 1
    longest_s = state.limits.restart_lease_s if is_restart else math.inf
    return grant_lease(runner, state.limits, state.renewed_at, now, longest_s)


def resend_orders(state: Dispatcher, now: float) -> None:
    """Repeat the orders that weren't answered.

    Notes
    -----
    Guards against two runs of one task: a start whose answer is lost may be carried out
    seconds later, when the task has already been started elsewhere. The repeated start
    is either answered, which determines where the run is, or its lease ends. An order
    that arrives later finds the run active or ended.

    Guards against a task that is bound to a runner that answers reports but no starts:
    a repeated start carries the lease of the first, so that it can't be carried out
    after that has ended, however often it was sent.
    """
    for runner in state.runners.values():
        if runner.entry is None:
            continue
        for task in list(runner.tasks.values()):
            if task.order_pending or now < task.next_order_at:
                continue
            if task.phase == Phase.STOPPING:
                _send_order(state, OrderKind.STOP, task, runner, now)
            elif (
                task.phase == Phase.ORDERED
                and task.resolved_at is None
                and runner.responsive
                and can_start_arrive(task, runner, now)
                and not (needs_verification(task) and is_unverified(state, task, now))
            ):
                _repeat_start(state, task, runner, now)


def _repeat_start(state: Dispatcher, task: Task, runner: Runner, now: float) -> None:
    """Repeat a start, or stop its run if nothing may start there any more.

    Notes
    -----
    Once the stop is answered, the runner refuses all copies of the start. While it
    isn't known whether something may start there, nothing is sent.
    """
    if runner.evacuated:
        send_stop(state, task, now)
    elif knows_evacuations(state, now):
        _send_order(state, OrderKind.START, task, runner, now)


def release_task(state: Dispatcher, task: Task) -> None:
    """Let a task wait again whose run is certainly not active."""
    runner = state.runners.get(task.incarnation)
    if runner is not None:
        release_resources(runner, task)
        if task.unseen_end:
            # The lease of its neighbours could not be renewed beyond that bound.
            runner.next_report_at = 0.0
    record_path_time(state, task, Phase.WAITING)
    task.phase = Phase.WAITING
    task.incarnation = ""
    task.resolved_at = None
    task.late_start_ms = task.late_start_end = task.unseen_end = 0.0
    task.order_pending = False
    task.percent = -1
