"""Which long-running tasks may give way to a large task, and where they can go.

Only reads the state, except that resources are held at the new runners. `room` decides
when to move tasks, and stops them.
"""

import math
from itertools import combinations

from plantainyard.batch.values import Resources
from plantainyard.dispatch.model import Phase, Runner, StepRun, Task
from plantainyard.dispatch.placing import accepts_tasks, end_hold, hold_resources
from plantainyard.dispatch.policy import RoomPolicy
from plantainyard.dispatch.ranking import choose_runner
from plantainyard.dispatch.state import Dispatcher
from plantainyard.dispatch.surveys import fits, sum_free

__all__ = [
    "MOVE_INTERVAL_S",
    "can_move",
    "count_moves_left",
    "hold_places",
    "is_present",
    "list_movable_tasks",
    "list_sufficient_moves",
    "measure_tasks",
]

MOVE_INTERVAL_S = 10.0
"""Time between two moves of one task."""

STOPS_WINDOW_S = 1.0
"""Time over which stops are counted against `RoomPolicy.max_stops_per_s`."""

MAX_COMMIT_S = 0.2
"""Time for which a commit may be under way while a move is decided: a store that is
slower than this would double the interruption."""

MAX_RENEWAL_AGE_S = 1.0
"""Age of the last renewal of the ownership above which no move is decided; renewals are
sent every 0.3 s."""

MAX_POOL = 8
"""Number of tasks at a runner of which sets to move are formed."""


def list_sufficient_moves(
    wanted: Resources, free: Resources, movable: list[Task], max_moves: int
) -> list[tuple[Task, ...]]:
    """Return the smallest set of tasks whose move makes `wanted` free, if there is one.

    Parameters
    ----------
    wanted : Resources
        What the waiting task needs.
    free : Resources
        What is unreserved at the runner.
    movable : list of Task
        Tasks that may move; no two of one step are chosen.
    max_moves : int
        Largest number of tasks.

    Returns
    -------
    list of tuple of Task
        At most one set; the fewest tasks count first, then the smallest.

    Notes
    -----
    Sets of several tasks are formed of the largest ones only: their number grows with
    the power of `max_moves`.
    """
    by_size = sorted(movable, key=_get_cpu, reverse=True)
    for count in range(1, max_moves + 1):
        if wanted.cpu > free.cpu + sum(map(_get_cpu, by_size[:count])):
            continue
        pool = by_size if count == 1 else by_size[:MAX_POOL]
        sets = [
            tasks
            for tasks in combinations(pool, count)
            if len({id(task.step) for task in tasks}) == count
            and fits(wanted, sum_free(free, tasks))
        ]
        if sets:
            return [min(sets, key=measure_tasks)]
    return []


def measure_tasks(tasks: tuple[Task, ...]) -> tuple[int, int]:
    """Return the loss by moving tasks: their number, and their processor time."""
    return len(tasks), sum(task.step.spec.resources.cpu for task in tasks)


def _get_cpu(task: Task) -> int:
    return task.step.spec.resources.cpu


def list_movable_tasks(
    state: Dispatcher, runner: Runner, complete: dict[int, bool], now: float
) -> list[Task]:
    """Return the long-running tasks at a runner that may be stopped.

    Parameters
    ----------
    state : Dispatcher
        Not changed.
    runner : Runner
        A runner that accepts tasks.
    complete : dict of int to bool
        Caches which steps have all their tasks running; added to.
    now : float
        The dispatcher's clock.
    """
    if not accepts_tasks(runner) or runner.missed_reports:
        return []
    movable = []
    for task in runner.tasks.values():
        if not can_move(state, task, now):
            continue
        key = id(task.step)
        if key not in complete:
            complete[key] = _is_step_complete(state, task.step)
        if complete[key]:
            movable.append(task)
    return movable


def can_move(state: Dispatcher, task: Task, now: float) -> bool:
    """Return whether a task may be stopped, regardless of the rest of its step.

    Notes
    -----
    A task that another unit has handed over on its own is never moved, as this unit
    doesn't know what becomes of the rest of its step.
    """
    spec, job = task.step.spec, task.step.job
    if not spec.long_running or spec.backfill or spec.gang or spec.same_rack:
        return False
    if job.cancelled or job.final_state or job.submission.piece or task.is_completed:
        return False
    if task.phase != Phase.RUNNING or task.resolved_at is None or task.order_pending:
        return False
    if task.unanswered or task.unseen_end or task.key in state.room.moved_at:
        return False
    return not _may_have_moved(state, task, now)


def _may_have_moved(state: Dispatcher, task: Task, now: float) -> bool:
    """Return whether a predecessor may have moved the task a short time ago."""
    is_known = task.run == 1 and task.starts_sent > 0
    return not is_known and now - state.took_over_at < MOVE_INTERVAL_S


def _is_step_complete(state: Dispatcher, step: StepRun) -> bool:
    """Return whether no other task of a step is away, or about to be.

    Notes
    -----
    With this, at most one task of a step is away because of moves, which is within any
    `max_unavailable`. Tasks that other units have may be away without being known to
    be so; their step is left alone if it sets that bound.
    """
    if any(move.task.step is step for move in state.room.moves.values()):
        return False
    return all(is_present(state, task) for task in step.tasks)


def is_present(state: Dispatcher, task: Task) -> bool:
    """Return whether a task of a step is done, or runs at a runner that answers.

    Notes
    -----
    One that was handed over counts, unless its step sets `max_unavailable`.
    """
    if task.phase == Phase.DONE:
        return True
    if task.phase == Phase.HANDED_OVER:
        return not task.step.spec.max_unavailable
    runner = state.runners.get(task.incarnation)
    return task.phase == Phase.RUNNING and runner is not None and runner.responsive


def hold_places(
    state: Dispatcher, source: Runner, tasks: tuple[Task, ...], now: float
) -> list[Runner]:
    """Hold resources for tasks at other runners; return these, or none of them.

    Notes
    -----
    Guards against two tasks that give way for the same gap, and against a task that is
    stopped and finds its gap taken by smaller work.
    """
    targets: list[Runner] = []
    for task in tasks:
        others = [r for r in state.runners.values() if _is_target(task, r, source, now)]
        target = choose_runner(task, others, state.limits, state.interference, now)
        if target is None:
            for held, runner in zip(tasks, targets, strict=False):
                end_hold(runner, held)
            return []
        hold_resources(target, task)
        targets.append(target)
    return targets


def _is_target(task: Task, runner: Runner, source: Runner, now: float) -> bool:
    if runner is source or runner.reserved_for is not None or runner.entry is None:
        return False
    if runner.missed_reports or runner.quarantined_until > now:
        return False
    return runner.entry.runner not in task.avoided_runners


def count_moves_left(state: Dispatcher, policy: RoomPolicy, now: float) -> int:
    """Return how many tasks may be stopped now; zero while the store may be away.

    Notes
    -----
    Guards against a service that is interrupted for as long as the store is away: a
    stopped task can't start again before its assignment is stored.
    """
    is_commit_late = now - state.commit_requested_at > MAX_COMMIT_S
    if state.commit_pending and is_commit_late:
        return 0
    if now - state.renewed_at > MAX_RENEWAL_AGE_S or policy.max_stops_per_s <= 0:
        return 0
    # Below one stop per second, the one stop is allowed in a longer time.
    window_s = max(STOPS_WINDOW_S, 1 / policy.max_stops_per_s)
    recent = sum(now - at <= window_s for at in state.room.moved_at.values())
    decided = sum(not move.stopped_at for move in state.room.moves.values())
    return max(1, math.floor(policy.max_stops_per_s)) - recent - decided
