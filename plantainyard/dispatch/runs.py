"""Runs of tasks: orders to runners and what their answers mean."""

from plantainyard.dispatch import jobs
from plantainyard.dispatch.events import OrderAnswered, OrderKind, SendOrder
from plantainyard.dispatch.leases import make_lease, note_clock
from plantainyard.dispatch.model import Phase, Runner, Task
from plantainyard.dispatch.pacing import (
    FULL,
    choose_paces,
    measure_rooms,
    pace_of,
)
from plantainyard.dispatch.placing import release_room
from plantainyard.dispatch.state import Dispatcher, mark_dirty
from plantainyard.dispatch.timing import note_lost
from plantainyard.platform.runners import OrderOutcome

__all__ = [
    "end_run",
    "free_task",
    "pace_backfill",
    "repeat_orders",
    "send_pace",
    "send_start",
    "send_stop",
    "take_answer",
]

PACE_STEP = 10
"""Points by which a pace has to fall to be ordered anew; reports are off by more."""

RISE_STEP = 20
"""Points by which it has to rise: small rises do little more work, and each order costs
the owner's processor time."""

STOP_ALL = 0.45
"""Part of the time that harm may last after which all backfilling work is stopped:
what is left is twice the time until a stop shows in the reports."""

_NOT_DONE = frozenset({OrderOutcome.LATE, OrderOutcome.NO_ROOM, OrderOutcome.REFUSED})


def send_start(state: Dispatcher, task: Task, now: float) -> None:
    """Order an assigned run to start; its record is in the store."""
    runner = state.runners.get(task.life)
    if runner is None or runner.entry is None or not runner.answering:
        free_task(state, task)
        return
    task.phase = Phase.ORDERED
    task.settled_at = None
    task.listed = False
    task.starts_sent = 0
    task.percent = -1
    task.moved_at = now
    task.pace = task.pace_before = 100
    _send(state, OrderKind.START, task, runner, now)


def send_stop(state: Dispatcher, task: Task, now: float) -> None:
    """Order a run to stop; its end will be listed."""
    task.phase = Phase.STOPPING
    runner = state.runners.get(task.life)
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
    task.pace_before = max(0, task.pace)
    task.pace = percent
    order = SendOrder(OrderKind.PACE, runner.entry, task.key, task.run, percent=percent)
    state.actions.append(order)


def pace_backfill(state: Dispatcher, runner: Runner, now: float) -> None:
    """Choose the paces of the runner's backfilling tasks, and order what changes."""
    over_s = now - runner.harmed_since if runner.harmed_since else 0.0
    if over_s > state.limits.harm_s * STOP_ALL:
        images = {t.step.spec.image for t in runner.tasks.values()}
        runner.paces = dict.fromkeys(images, 0)
    else:
        runner.paces = choose_paces(runner, state.harms)
    measure_rooms(runner, state.harms)
    for task in runner.tasks.values():
        pace = pace_of(runner, task.step.spec.image)
        if _needs_pace(task, pace):
            send_pace(state, task, runner, pace, now)


def _needs_pace(task: Task, pace: int) -> bool:
    if task.phase != Phase.RUNNING or not task.step.spec.backfill:
        return False
    least = RISE_STEP if pace > task.pace else PACE_STEP
    small = abs(task.pace - pace) < least and 0 < pace < FULL
    return task.pace != pace and not small


def _send(state: Dispatcher, kind: str, task: Task, runner: Runner, now: float) -> None:
    assert runner.entry is not None
    task.order_out = True
    task.next_order_at = now + state.limits.order_retry_s
    starts = kind == OrderKind.START
    lease_ms = make_lease(runner, state.limits, state.renewed_at, now) if starts else 0
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


def repeat_orders(state: Dispatcher, now: float) -> None:
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
            if task.order_out or now < task.next_order_at:
                continue
            if task.phase == Phase.STOPPING:
                _send(state, OrderKind.STOP, task, runner, now)
            elif (
                task.phase == Phase.ORDERED
                and task.settled_at is None
                and runner.answering
            ):
                _send(state, OrderKind.START, task, runner, now)


def take_answer(state: Dispatcher, event: OrderAnswered, now: float) -> None:
    """Take in what became of an order."""
    runner = state.runners.get(event.life)
    if runner is None:
        return
    if event.result.clock_ms is not None:
        note_clock(runner, event.result.clock_ms, now)
    task = runner.tasks.get(event.task)
    if task is None or task.run != event.run or task.life != event.life:
        return
    if event.kind == OrderKind.PACE:
        _take_pace_answer(task, event)
        return
    task.order_out = False
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
    if outcome == OrderOutcome.DONE:
        # The run either ends, which is listed, or will be refused when it comes.
        task.settled_at = now


def _take_start_answer(
    state: Dispatcher, task: Task, runner: Runner, outcome: str, now: float
) -> None:
    if outcome == OrderOutcome.DONE:
        task.settled_at = now
        if task.phase == Phase.ORDERED:
            task.phase = Phase.RUNNING
            task.moved_at = now
            spec = task.step.spec
            if spec.backfill and pace_of(runner, spec.image) < task.pace:
                send_pace(state, task, runner, pace_of(runner, spec.image), now)
        return
    if outcome == OrderOutcome.OLD:
        # The run has ended there or was stopped: the next report tells.
        task.settled_at = now
        return
    if outcome in _NOT_DONE and task.settled_at is None:
        entry = runner.entry
        if outcome == OrderOutcome.REFUSED and entry is not None:
            task.avoided.add(entry.runner)
            runner.bad += 0.5
        task.not_before = now + state.limits.retry_s
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
    free_task(state, task)


def free_task(state: Dispatcher, task: Task) -> None:
    """Let a task wait again: its run is certainly nowhere."""
    runner = state.runners.get(task.life)
    if runner is not None:
        release_room(runner, task)
    task.phase = Phase.WAITING
    task.life = ""
    task.settled_at = None
    task.order_out = False
    task.percent = -1
    jobs.check_end(state, task.step.job)


def end_run(
    state: Dispatcher, task: Task, runner: Runner, how: str, checkpoint: str, now: float
) -> None:
    """Take in the end of a task's newest run."""
    if checkpoint:
        task.checkpoint = checkpoint
    release_room(runner, task)
    job = task.step.job
    lasting = task.step.spec.long_running
    if how == "done" and not lasting and not job.cancelled and not job.ended:
        runner.bad = 0.0
        task.life = ""
        jobs.finish_task(state, task)
        return
    note_lost(job, how)
    if how == "failed":
        _note_failure(state, task, runner, now)
    free_task(state, task)
    mark_dirty(state, task.step)
    if not lasting and task.failures >= job.submission.max_attempts:
        jobs.fail_job(state, job, now)


def _note_failure(state: Dispatcher, task: Task, runner: Runner, now: float) -> None:
    first = task.failures == 0
    task.failures += 1
    if runner.entry is not None:
        task.avoided.add(runner.entry.runner)
    # A task that failed elsewhere too says little about this runner.
    runner.bad += 1.0 if first else 0.25
    if runner.bad >= state.limits.quarantine_after:
        runner.quarantined_until = now + state.limits.quarantine_s
