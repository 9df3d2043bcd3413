"""Choice of the runner to reserve for a large task, and of the tasks that give way.

It relies on the estimates of `surveys` and on the checks of `moves`; `room` makes the
reservation.
"""

import math
from typing import NamedTuple

from plantainyard.dispatch.model import Runner, Task
from plantainyard.dispatch.moves import (
    hold_places,
    list_movable_tasks,
    list_sufficient_moves,
    measure_tasks,
)
from plantainyard.dispatch.placing import can_start
from plantainyard.dispatch.state import Dispatcher
from plantainyard.dispatch.surveys import STOP_S, Survey, estimate_ready_s, fits

__all__ = [
    "Choice",
    "MAX_RESERVED_S",
    "SOON_S",
    "choose_room",
]

MAX_RESERVED_S = 3.0
"""Time after which a reservation ends: a runner must not stay idle because an estimate
was wrong."""

SOON_S = 1.0
"""Estimated time until a task fits up to which nothing is moved for it; a move
interrupts users for about half a second."""

MAX_TRIALS = 6
"""Number of choices of moves for which places are sought in one pass; bounds the
owner's processor time."""

MAX_MOVES = 3
"""Number of tasks that give way for one task; more cost their users more than the large
task gains, and the number of choices grows with its power."""


class Choice(NamedTuple):
    """The runner to reserve for a task.

    Attributes
    ----------
    runner : Runner
        The runner.
    ready_s : float
        Estimated time until the task fits there.
    moves : tuple of tuple of Task and Runner
        Tasks that give way, and where their resources are held already.
    """

    runner: Runner
    ready_s: float
    moves: tuple[tuple[Task, Runner], ...] = ()


def choose_room(
    state: Dispatcher,
    task: Task,
    surveys: list[Survey],
    max_moves: int,
    now: float,
) -> Choice | None:
    """Return the runner to reserve for a task, and what gives way there.

    Parameters
    ----------
    state : Dispatcher
        Resources of the tasks that give way are held at their new runners; otherwise
        not changed.
    task : Task
        A waiting task.
    surveys : list of Survey
        The runners that may be reserved.
    max_moves : int
        Number of tasks that may be stopped now.
    now : float
        The dispatcher's clock.

    Notes
    -----
    A runner where finite tasks end soon comes first, then the one with the fewest and
    smallest moves, then one where they end before the reservation does. If tasks run
    more slowly away from their preferred rack, its runners precede all others.
    """
    usable = [s for s in surveys if _may_use(task, s.runner, now)]
    for group in _split_by_rack(state, task, usable):
        ready = [(estimate_ready_s(task.step.spec.resources, s), s) for s in group]
        ready_s, best = min(ready, key=_get_ready, default=(math.inf, None))
        if best is not None and ready_s <= SOON_S:
            return Choice(best.runner, ready_s)
        choice = _choose_by_moves(state, task, group, max_moves, now)
        if choice is not None:
            return choice
        if best is not None and ready_s < MAX_RESERVED_S:
            return Choice(best.runner, ready_s)
    return None


def _get_ready(item: tuple[float, Survey]) -> float:
    return item[0]


def _may_use(task: Task, runner: Runner, now: float) -> bool:
    assert runner.entry is not None
    is_avoided = runner.entry.runner in task.avoided_runners
    return not is_avoided and can_start(task, runner, now)


def _split_by_rack(
    state: Dispatcher, task: Task, surveys: list[Survey]
) -> list[list[Survey]]:
    rack = task.step.spec.preferred_rack
    if not rack or state.limits.remote_factor <= 1:
        return [surveys]
    near = [s for s in surveys if s.runner.entry and s.runner.entry.rack == rack]
    return [near, [s for s in surveys if s not in near]]


def _choose_by_moves(
    state: Dispatcher, task: Task, surveys: list[Survey], max_moves: int, now: float
) -> Choice | None:
    """Return the runner where the fewest and smallest tasks can move, if there is one.

    Notes
    -----
    What is free now and what the moved tasks release holds the waiting task; no
    estimate is relied on.
    """
    if max_moves <= 0:
        return None
    wanted = task.step.spec.resources
    gaps = [survey.free for survey in surveys]
    complete: dict[int, bool] = {}
    options = [
        (survey.runner, tasks)
        for survey in surveys
        for tasks in list_sufficient_moves(
            wanted,
            survey.free,
            [
                task
                for task in list_movable_tasks(state, survey.runner, complete, now)
                if any(fits(task.step.spec.resources, gap) for gap in gaps)
            ],
            min(max_moves, MAX_MOVES),
        )
    ]
    for runner, tasks in sorted(options, key=_measure_option)[:MAX_TRIALS]:
        targets = hold_places(state, runner, tasks, now)
        if targets:
            return Choice(runner, STOP_S, tuple(zip(tasks, targets, strict=True)))
    return None


def _measure_option(option: tuple[Runner, tuple[Task, ...]]) -> tuple[int, int]:
    return measure_tasks(option[1])
