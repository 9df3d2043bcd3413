"""Stops of tasks that would run better on another runner."""

from plantainyard.dispatch.model import Phase, Runner, Task
from plantainyard.dispatch.orders import send_stop
from plantainyard.dispatch.ranking import choose_runner
from plantainyard.dispatch.runs import quarantine_failing
from plantainyard.dispatch.slow_runner_moves import record_move, should_move_off
from plantainyard.dispatch.state import Dispatcher

__all__ = ["plan_moves"]

SLOW_PACE = 30
"""Pace, in percent, below which a backfill task should move to another runner."""

SLOW_PERIOD_S = 0.8
"""Time at such a pace after which a task moves; a swing of the serving load is often
over sooner."""

MAX_LOST_PERCENT = 40
"""Progress, in percent, up to which a task without checkpoints is moved: it loses this
progress, as it starts from the beginning."""

STALL_S = 2.0
"""Time without progress after which a task counts as stalled; one that takes a minute
advances by a percent in 0.6 s."""

MAX_MOVES = 8
"""Tasks moved at a time: each move changes the expected speed at its new runner."""


def plan_moves(state: Dispatcher, now: float) -> None:
    """Stop tasks that would run better on another runner with capacity for them.

    Notes
    -----
    Guards against four kinds of work without progress:

    - A slowed backfill task holds its memory and finishes late, while it would run at
      full speed on a runner whose serving tasks aren't sensitive to its image.
    - The tasks of a draining runner end with it. If it is moved before, a serving task
      is unavailable only for the time of a stop and a start, and a task with
      checkpoints loses nothing.
    - A task on a runner where tasks stall never ends; its runner is recorded as
      failing.
    - A backfill task on a slow runner ends late, see `health`.
    """
    runners = list(state.runners.values())
    running = [
        (runner, task)
        for runner in runners
        if runner.responsive and runner.entry is not None
        for task in runner.tasks.values()
        if task.phase == Phase.RUNNING
    ]
    candidates = [pair for pair in running if _should_move(*pair, now)]
    for runner, task in candidates[:MAX_MOVES]:
        if _is_stalled(task, now):
            _record_stall(state, runner, task, now)
        others = [other for other in runners if other is not runner]
        _move_task(state, task, others, now)
    held_up = [
        task
        for runner, task in running
        if should_move_off(state.health, task, runner, now)
    ]
    trusted = [runner for runner in runners if runner.slowdown <= 1.0]
    for task in held_up[:MAX_MOVES]:
        _move_task(state, task, trusted, now)


def _move_task(
    state: Dispatcher, task: Task, runners: list[Runner], now: float
) -> None:
    """Stop a task if one of the given runners has a place for it."""
    task.waiting_since = now
    if choose_runner(task, runners, state.limits, state.interference, now) is not None:
        record_move(state.health, task, now)
        send_stop(state, task, now)


def _should_move(runner: Runner, task: Task, now: float) -> bool:
    return (
        _is_slowed(task, now)
        or _must_leave(runner, task, now)
        or _is_stalled(task, now)
    )


def _is_slowed(task: Task, now: float) -> bool:
    movable = task.step.spec.saves_progress or task.percent < MAX_LOST_PERCENT
    slow = task.step.spec.backfill and task.pace < SLOW_PACE
    return slow and movable and now - task.slowed_at > SLOW_PERIOD_S


def _must_leave(runner: Runner, task: Task, now: float) -> bool:
    assert runner.entry is not None
    if not runner.entry.draining:
        return False
    if task.step.spec.long_running:
        return True
    # A task that ends in time may finish; others resume from a checkpoint elsewhere.
    assert task.resolved_at is not None
    elapsed_s = now - task.resolved_at
    left_s = elapsed_s * (100 - task.percent) / max(task.percent, 1)
    return task.step.spec.saves_progress and now + left_s > runner.leaves_at


def _is_stalled(task: Task, now: float) -> bool:
    paced = task.step.spec.backfill and task.pace < SLOW_PACE
    return not paced and task.percent < 100 and now - task.progress_at > STALL_S


def _record_stall(state: Dispatcher, runner: Runner, task: Task, now: float) -> None:
    assert runner.entry is not None
    task.avoided_runners.add(runner.entry.runner)
    runner.failure_score += 1.0
    quarantine_failing(state, runner, now)
