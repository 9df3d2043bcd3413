"""Moves of backfill tasks off slow runners.

A task that saves its progress resumes from its checkpoint at another runner. It moves
only if it would end sooner there in spite of the time that the move costs.
"""

import math

from plantainyard.dispatch.health_state import Health
from plantainyard.dispatch.model import Phase, Runner, Task
from plantainyard.dispatch.rates import estimate_share, get_step_key

__all__ = [
    "record_move",
    "should_move_off",
]

MOVE_S = 1.0
"""Time that a move costs: the stop, its report, the stored assignment, the start and
the restore."""

MOVE_INTERVAL_S = 10.0
"""Shortest time between two moves of one task off slow runners."""

MOVE_SPEED = 0.85
"""Expected share of full speed at the new runner: the least at which a task is
placed."""


def should_move_off(health: Health, task: Task, runner: Runner, now: float) -> bool:
    """Return whether a task at a slow runner would end sooner at another one.

    Notes
    -----
    Addresses backfill work that is held up by a slow runner; it resumes from its
    checkpoint. The time of the stop, the start and the restore counts. A task moves at
    most once in `MOVE_INTERVAL_S`, as it may find no other place than the one it left.
    """
    spec = task.step.spec
    is_movable = spec.backfill and spec.saves_progress and not spec.gang
    if runner.slowdown <= 1.0 or not is_movable or task.phase != Phase.RUNNING:
        return False
    record = health.steps.get(get_step_key(task))
    track = record.tracks.get(task.key.number) if record else None
    share = estimate_share(task, runner)
    if record is None or track is None or track.run != task.run or not share:
        return False
    moved_at = record.moved_at.get(task.key.number, -math.inf)
    if not track.rate or now - moved_at < MOVE_INTERVAL_S:
        return False
    left_s = (100 - task.percent) / track.rate
    return MOVE_S + left_s / (runner.slowdown * MOVE_SPEED) < left_s / share


def record_move(health: Health, task: Task, now: float) -> None:
    """Record that a task is being moved."""
    record = health.steps.get(get_step_key(task))
    if record is not None:
        record.moved_at[task.key.number] = now
