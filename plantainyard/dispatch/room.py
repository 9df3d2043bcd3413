"""Reservations of runners for large tasks, and moves that make room for them.

Guards against two failures under load: a large task waits for good because smaller ones
take each gap before it is large enough; and long-running tasks leave gaps on many
runners, none of which is large enough.

The unit's owner decides with each tick. A task is stopped only after the store has
answered a commit that was requested after the decision, as it could not start again
without the store.
"""

import math
from collections.abc import Iterable
from itertools import combinations
from typing import NamedTuple

from plantainyard.batch.values import Resources, Step
from plantainyard.dispatch.evacuations import knows_evacuations
from plantainyard.dispatch.events import (
    ReleaseReason,
    RoomReleased,
    RoomReserved,
    TaskMovedForRoom,
)
from plantainyard.dispatch.model import Job, Phase, Runner, StepRun, Task
from plantainyard.dispatch.orders import send_stop
from plantainyard.dispatch.placing import (
    accepts_tasks,
    can_start,
    end_hold,
    hold_resources,
)
from plantainyard.dispatch.policy import RoomPolicy
from plantainyard.dispatch.queue import order_steps
from plantainyard.dispatch.ranking import choose_runner
from plantainyard.dispatch.reservations import Move, Reservation, Room
from plantainyard.dispatch.state import Dispatcher, mark_dirty

__all__ = [
    "begin_moves",
    "choose_room",
    "describe_room",
    "end_reservation_by_start",
    "estimate_ready_s",
    "estimate_remaining_s",
    "list_movable_tasks",
    "list_overdue_tasks",
    "list_sufficient_moves",
    "plan_room",
    "stop_moved_tasks",
    "survey_runners",
    "take_held_place",
]

MAX_RESERVED_S = 3.0
"""Time after which a reservation ends: a runner must not stay idle because an estimate
was wrong."""

PAUSE_S = 1.0
"""Time for which a runner isn't reserved again after its task didn't start there, so
that the runner isn't idle for longer than `MAX_RESERVED_S`."""

SOON_S = 1.0
"""Estimated time until a task fits up to which nothing is moved for it; a move
interrupts users for about half a second."""

STOP_S = 0.5
"""Time in which a stopped run ends."""

MOVE_INTERVAL_S = 10.0
"""Time between two moves of one task."""

STOPS_WINDOW_S = 1.0
"""Time over which stops are counted against `RoomPolicy.max_stops_per_s`."""

HOLD_S = 3.0
"""Time after a stop for which resources are held for the stopped task."""

MAX_DECISION_AGE_S = 0.5
"""Time within which the store must answer after the decision to move a task; a commit
normally takes a few hundredths of a second."""

MAX_COMMIT_S = 0.2
"""Time for which a commit may be under way while a move is decided: a store that is
slower than this would double the interruption."""

MAX_RENEWAL_AGE_S = 1.0
"""Age of the last renewal of the ownership above which no move is decided; renewals are
sent every 0.3 s."""

MIN_PERCENT = 15
"""Progress, in percent, from which it says more about the remaining time of a run than
the submitter's estimate."""

OVERDUE_SHARE = 0.5
"""Remaining time, as a share of the elapsed time, of a run that has taken longer than
estimated."""

MAX_PER_STEP = 2
"""Number of runners that are reserved for one step at a time."""

MAX_TRIALS = 6
"""Number of choices of moves for which places are sought in one pass; bounds the
owner's processor time."""

MAX_SEARCHES = 2
"""Number of tasks for which moves are sought in one pass; further tasks wait for the
next one, as a search takes up to 5 ms with 41 runners of 16 long-running tasks."""

MAX_POOL = 8
"""Number of tasks at a runner of which sets to move are formed."""

MAX_MOVES = 3
"""Number of tasks that give way for one task; more cost their users more than the large
task gains, and the number of choices grows with its power."""


class Survey(NamedTuple):
    """What is free at a runner, and what will be once its finite tasks end.

    Attributes
    ----------
    runner : Runner
        The runner.
    free : Resources
        Its unreserved resources.
    ends : list of tuple of float and Resources
        Estimated time until each of its finite tasks ends, and what that releases, in
        order.
    """

    runner: Runner
    free: Resources
    ends: list[tuple[float, Resources]]


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


def plan_room(state: Dispatcher, now: float) -> None:
    """Reserve runners for large tasks that wait, and decide what gives way.

    Notes
    -----
    Called with each tick. The cost is a pass over the jobs and, if a task is overdue,
    one over the tasks at all runners, and a few over the runners for each reservation.
    """
    policy = state.limits.policy.room
    room = state.room
    if policy is None:
        _release_all(state, now)
        return
    _forget_past(room, now)
    _end_moves(state, now)
    runners = [runner for runner in state.runners.values() if accepts_tasks(runner)]
    allowed = count_allowed(policy, len(runners))
    _end_reservations(state, allowed, now)
    vacant = allowed - len(room.reservations)
    if vacant <= 0 or not knows_evacuations(state, now):
        return
    overdue = list_overdue_tasks(state.jobs.values(), room, policy.max_wait_s, now)
    if overdue:
        _reserve_runners(state, policy, overdue, vacant, runners, now)


def count_allowed(policy: RoomPolicy, runners: int) -> int:
    """Return how many of a unit's runners may be reserved at a time.

    Examples
    --------
    >>> count_allowed(RoomPolicy(max_reserved_share=0.2), 41)
    8
    """
    return math.floor(policy.max_reserved_share * runners + 1e-9)


def list_overdue_tasks(
    jobs: Iterable[Job], room: Room, max_wait_s: float, now: float
) -> list[Task]:
    """Return the finite tasks that get a reservation, the first one first.

    Notes
    -----
    Only steps are considered for which the last search found no place, and of which
    none has been found for `max_wait_s`: the tasks of a wide step that starts one after
    the other find gaps without a reservation. For the same reason, larger tasks precede
    smaller ones, but none that is still of use follows one that isn't.

    Gangs, which start as a whole, and tasks that must share a rack get none.
    """
    steps = [
        step
        for job in jobs
        if not job.submission.priority and not job.cancelled and not job.final_state
        for step in job.steps.values()
        if step.no_place_found
        and now - step.placed_at >= max_wait_s
        and _can_get_room(step.spec)
    ]
    reserved = {reservation.task.key for reservation in room.reservations.values()}
    found: list[Task] = []
    for step in sorted(
        order_steps(steps, now),
        key=lambda s: (now > s.job.useful_until, -s.spec.resources.cpu),
    ):
        waiting = [
            task
            for task in step.tasks
            if _is_overdue(task, max_wait_s, now) and task.key not in reserved
        ]
        found += waiting[: max(0, MAX_PER_STEP - step.reserved_runners)]
    return found


def _can_get_room(spec: Step) -> bool:
    is_finite = not spec.long_running and not spec.backfill
    return is_finite and not spec.gang and not spec.same_rack


def _is_overdue(task: Task, max_wait_s: float, now: float) -> bool:
    if task.phase != Phase.WAITING or task.unanswered or task.not_before > now:
        return False
    return task.waiting_since > 0 and now - task.waiting_since >= max_wait_s


def _reserve_runners(
    state: Dispatcher,
    policy: RoomPolicy,
    tasks: list[Task],
    vacant: int,
    runners: list[Runner],
    now: float,
) -> None:
    """Reserve up to `vacant` runners for the first tasks that can have one.

    Notes
    -----
    A pass only takes capacity away, so that a task isn't tried that needs at least as
    much as one of its kind that got no runner.
    """
    surveys = survey_runners(state.room, runners, now)
    without_room: dict[tuple[str, str], list[Resources]] = {}
    searches = MAX_SEARCHES
    for task in tasks:
        spec = task.step.spec
        kind = (task.step.job.submission.service, spec.requires)
        if any(_fits(size, spec.resources) for size in without_room.get(kind, [])):
            continue
        max_moves = count_moves_left(state, policy, now) if searches else 0
        choice = choose_room(state, task, surveys, max_moves, now)
        if choice is None or choice.ready_s > SOON_S or choice.moves:
            searches = max(0, searches - 1)
        if choice is None:
            if not spec.max_per_runner and not task.avoided_runners:
                without_room.setdefault(kind, []).append(spec.resources)
            continue
        surveys = _update_surveys(surveys, choice)
        _reserve(state, task, choice, now)
        vacant -= 1
        if not vacant:
            return


def _update_surveys(surveys: list[Survey], choice: Choice) -> list[Survey]:
    """Return the surveys without the chosen runner, and with what is held now."""
    targets = {target.incarnation for _, target in choice.moves}
    return [
        s._replace(free=_measure_free(s.runner))
        if s.runner.incarnation in targets
        else s
        for s in surveys
        if s.runner is not choice.runner
    ]


def survey_runners(room: Room, runners: Iterable[Runner], now: float) -> list[Survey]:
    """Return what is and will be free at the runners that may be reserved."""
    return [
        Survey(runner, _measure_free(runner), _list_ends(runner, now))
        for runner in runners
        if runner.reserved_for is None
        and room.paused_until.get(runner.incarnation, 0.0) <= now
        and not runner.missed_reports
    ]


def _measure_free(runner: Runner) -> Resources:
    assert runner.entry is not None
    capacity = runner.entry.capacity
    return Resources(
        capacity.cpu - runner.reserved_cpu,
        capacity.memory - runner.reserved_memory,
        capacity.gpu - runner.reserved_gpu,
    )


def _list_ends(runner: Runner, now: float) -> list[tuple[float, Resources]]:
    ends = [
        (estimate_remaining_s(task, now), _get_released(task.step.spec))
        for task in runner.tasks.values()
        if not task.step.spec.long_running or task.phase == Phase.STOPPING
    ]
    return sorted(ends, key=_get_time)


def _get_time(end: tuple[float, Resources]) -> float:
    return end[0]


def _get_released(spec: Step) -> Resources:
    """Return what the end of a task releases; backfill tasks reserve no processors."""
    return spec.resources._replace(cpu=0) if spec.backfill else spec.resources


def estimate_remaining_s(task: Task, now: float) -> float:
    """Return the estimated time until a task's run ends.

    Notes
    -----
    Reported progress is preferred to the submitter's estimate, which may be off by a
    factor of e. A run that has taken longer than estimated is assumed to take half as
    long again.
    """
    if task.phase == Phase.STOPPING:
        return STOP_S
    estimate_s = task.step.spec.estimate_ms / 1000
    if task.resolved_at is None:
        return estimate_s
    elapsed_s = now - task.resolved_at
    if MIN_PERCENT <= task.percent < 100:
        known_s = task.progress_at - task.resolved_at
        return max(0.0, known_s * 100 / task.percent - elapsed_s)
    pace = max(task.pace, 1) / 100 if task.step.spec.backfill else 1.0
    left_s = estimate_s / pace - elapsed_s
    return left_s if left_s > 0 else OVERDUE_SHARE * elapsed_s


def estimate_ready_s(wanted: Resources, survey: Survey) -> float:
    """Return the estimated time until `wanted` is free; infinite if it never will be.

    Examples
    --------
    >>> ends = [(0.5, Resources(2_000)), (2.0, Resources(4_000))]
    >>> survey = Survey(Runner("r0@1", None), Resources(1_000), ends)
    >>> estimate_ready_s(Resources(3_000), survey)
    0.5
    """
    free = survey.free
    if _fits(wanted, free):
        return 0.0
    for after_s, released in survey.ends:
        free = _add(free, released)
        if _fits(wanted, free):
            return after_s
    return math.inf


def _fits(wanted: Resources, free: Resources) -> bool:
    return (
        wanted.cpu <= free.cpu and wanted.memory <= free.memory
    ) and wanted.gpu <= free.gpu


def _add(a: Resources, b: Resources) -> Resources:
    return Resources(a.cpu + b.cpu, a.memory + b.memory, a.gpu + b.gpu)


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
                if any(_fits(task.step.spec.resources, gap) for gap in gaps)
            ],
            min(max_moves, MAX_MOVES),
        )
    ]
    for runner, tasks in sorted(options, key=_measure_option)[:MAX_TRIALS]:
        targets = _hold_places(state, runner, tasks, now)
        if targets:
            return Choice(runner, STOP_S, tuple(zip(tasks, targets, strict=True)))
    return None


def _measure_option(option: tuple[Runner, tuple[Task, ...]]) -> tuple[int, int]:
    return _measure_tasks(option[1])


def _measure_tasks(tasks: tuple[Task, ...]) -> tuple[int, int]:
    """Return the loss by moving tasks: their number, and their processor time."""
    return len(tasks), sum(task.step.spec.resources.cpu for task in tasks)


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
            and _fits(wanted, _sum_free(free, tasks))
        ]
        if sets:
            return [min(sets, key=_measure_tasks)]
    return []


def _get_cpu(task: Task) -> int:
    return task.step.spec.resources.cpu


def _sum_free(free: Resources, tasks: tuple[Task, ...]) -> Resources:
    for task in tasks:
        free = _add(free, task.step.spec.resources)
    return free


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
        if not _can_move(state, task, now):
            continue
        key = id(task.step)
        if key not in complete:
            complete[key] = _is_step_complete(state, task.step)
        if complete[key]:
            movable.append(task)
    return movable


def _can_move(state: Dispatcher, task: Task, now: float) -> bool:
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
    return all(_is_present(state, task) for task in step.tasks)


def _is_present(state: Dispatcher, task: Task) -> bool:
    if task.phase == Phase.DONE:
        return True
    if task.phase == Phase.HANDED_OVER:
        return not task.step.spec.max_unavailable
    runner = state.runners.get(task.incarnation)
    return task.phase == Phase.RUNNING and runner is not None and runner.responsive


def _hold_places(
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


def _reserve(state: Dispatcher, task: Task, choice: Choice, now: float) -> None:
    room, runner = state.room, choice.runner
    reservation = Reservation(task, runner, now, now + MAX_RESERVED_S)
    room.reservations[runner.incarnation] = reservation
    runner.reserved_for = task.step
    task.step.reserved_runners += 1
    for moved, target in choice.moves:
        move = Move(moved, runner, target, reservation, now)
        room.moves[moved.key] = move
        room.decided.append(move)
        # The commit that this causes shows whether the store answers.
        mark_dirty(state, moved.step)
    reserved = RoomReserved(
        task.key,
        runner.incarnation,
        round(now - task.waiting_since, 3),
        task.step.spec.resources.cpu,
        _measure_free(runner).cpu,
        len(choice.moves),
        round(choice.ready_s, 3),
        round(now - runner.reported_at, 3),
        len(room.reservations),
    )
    state.actions.append(reserved)


def begin_moves(state: Dispatcher) -> None:
    """Let the decided moves wait for the commit that was just requested."""
    if state.room.decided:
        state.room.committing = state.room.decided
        state.room.decided = []


def stop_moved_tasks(state: Dispatcher, now: float) -> None:
    """Stop the tasks that give way, now that the store has answered.

    Notes
    -----
    The decision is checked again, as a runner, a task or its step may have changed. If
    one task of a reservation can't move, none does.
    """
    moves, state.room.committing = state.room.committing, []
    valid = [move for move in moves if state.room.moves.get(move.task.key) is move]
    for move in valid:
        if not _is_valid(state, move, now):
            _give_up_moves(state, move.reservation, now)
    for move in valid:
        if state.room.moves.get(move.task.key) is move:
            _stop(state, move, now)


def _is_valid(state: Dispatcher, move: Move, now: float) -> bool:
    task, room = move.task, state.room
    if now - move.decided_at > MAX_DECISION_AGE_S or not knows_evacuations(state, now):
        return False
    ends = (move.source, move.target)
    usable = all(accepts_tasks(r) and not r.missed_reports for r in ends)
    if not usable or task.incarnation != move.source.incarnation:
        return False
    reservation = room.reservations.get(move.source.incarnation)
    others = (t for t in task.step.tasks if t is not task)
    return (
        reservation is move.reservation
        and _can_move(state, task, now)
        and all(_is_present(state, other) for other in others)
        and _suffices(state, reservation)
    )


def _suffices(state: Dispatcher, reservation: Reservation) -> bool:
    """Return whether the moves for a reservation still make enough room.

    Notes
    -----
    An interrupted long-running task may have been placed there since the decision.
    """
    moves = state.room.moves.values()
    moved = tuple(move.task for move in moves if move.reservation is reservation)
    free = _sum_free(_measure_free(reservation.runner), moved)
    return _fits(reservation.task.step.spec.resources, free)


def _stop(state: Dispatcher, move: Move, now: float) -> None:
    task = move.task
    move.stopped_at = now
    state.room.moved_at[task.key] = now
    moved = TaskMovedForRoom(
        task.key,
        task.run,
        move.source.incarnation,
        move.target.incarnation,
        task.step.spec.resources.cpu,
        move.reservation.task.key,
        round(now - move.decided_at, 3),
        round(now - state.renewed_at, 3),
    )
    state.actions.append(moved)
    send_stop(state, task, now)


def take_held_place(state: Dispatcher, task: Task) -> list[Runner]:
    """Release what is held for a task that waits again; return where it may start."""
    move = state.room.moves[task.key]
    _end_move(state, move)
    return [move.target] if _is_known(state, move.target) else []


def _is_known(state: Dispatcher, runner: Runner) -> bool:
    return state.runners.get(runner.incarnation) is runner


def end_reservation_by_start(
    state: Dispatcher, task: Task, runner: Runner, now: float
) -> None:
    """End the reservation that a task was assigned by, or that was meant for it.

    Notes
    -----
    If it started at the runner reserved for another task of its step, that one gets the
    runner that was reserved for it.
    """
    room = state.room
    own = next((r for r in room.reservations.values() if r.task is task), None)
    used = room.reservations.get(runner.incarnation)
    if used is not None and used.task.step is task.step and used is not own:
        if own is not None:
            own.task = used.task
        own = used
    if own is not None:
        _release(state, own, ReleaseReason.STARTED, now)


def _end_reservations(state: Dispatcher, allowed: int, now: float) -> None:
    for reservation in list(state.room.reservations.values()):
        why = _find_release_reason(state, reservation, now)
        if why:
            _release(state, reservation, why, now)
    for reservation in list(state.room.reservations.values())[allowed:]:
        _release(state, reservation, ReleaseReason.TOO_MANY, now)


def _find_release_reason(
    state: Dispatcher, reservation: Reservation, now: float
) -> str:
    """Return why a reservation ends, or nothing if it goes on."""
    task, runner = reservation.task, reservation.runner
    if task.phase != Phase.WAITING or not _is_open(state, task):
        return ReleaseReason.NOT_WAITING
    if not _is_known(state, runner) or not accepts_tasks(runner):
        return ReleaseReason.RUNNER
    return ReleaseReason.EXPIRED if now >= reservation.until - 1e-9 else ""


def _is_open(state: Dispatcher, task: Task) -> bool:
    job = task.step.job
    is_known = state.jobs.get(job.submission.record_id) is job
    return is_known and not job.cancelled and not job.final_state


def _release(state: Dispatcher, reservation: Reservation, why: str, now: float) -> None:
    room, runner = state.room, reservation.runner
    del room.reservations[runner.incarnation]
    runner.reserved_for = None
    reservation.task.step.reserved_runners -= 1
    if why in (ReleaseReason.EXPIRED, ReleaseReason.NO_MOVE):
        room.paused_until[runner.incarnation] = now + PAUSE_S
    for move in list(room.moves.values()):
        if move.reservation is reservation and not move.stopped_at:
            _end_move(state, move)
    state.changed_runners.add(runner.incarnation)
    state.plan_due = True
    released = RoomReleased(
        reservation.task.key,
        runner.incarnation,
        why,
        round(now - reservation.since, 3),
        _measure_free(runner).cpu if runner.entry is not None else 0,
    )
    state.actions.append(released)


def _end_moves(state: Dispatcher, now: float) -> None:
    """End the moves that can't be carried out, and what is held for too long."""
    for move in list(state.room.moves.values()):
        if state.room.moves.get(move.task.key) is not move:
            continue
        if not move.stopped_at and now - move.decided_at > MAX_DECISION_AGE_S:
            _give_up_moves(state, move.reservation, now)
        elif _is_hold_useless(state, move, now):
            _end_move(state, move)


def _is_hold_useless(state: Dispatcher, move: Move, now: float) -> bool:
    if move.stopped_at:
        is_away = move.task.phase in (Phase.STOPPING, Phase.WAITING)
        if not is_away or now - move.stopped_at > HOLD_S:
            return True
    is_usable = _is_known(state, move.target) and accepts_tasks(move.target)
    return not is_usable or not _is_open(state, move.task)


def _give_up_moves(state: Dispatcher, reservation: Reservation, now: float) -> None:
    """Give up the moves for a reservation that aren't carried out, and end it."""
    current = state.room.reservations.get(reservation.runner.incarnation)
    if current is reservation:
        _release(state, reservation, ReleaseReason.NO_MOVE, now)
    for move in list(state.room.moves.values()):
        if move.reservation is reservation and not move.stopped_at:
            _end_move(state, move)


def _end_move(state: Dispatcher, move: Move) -> None:
    del state.room.moves[move.task.key]
    end_hold(move.target, move.task)
    state.changed_runners.add(move.target.incarnation)


def _forget_past(room: Room, now: float) -> None:
    for key, at in list(room.moved_at.items()):
        if now - at >= MOVE_INTERVAL_S:
            del room.moved_at[key]
    for incarnation, until in list(room.paused_until.items()):
        if until <= now:
            del room.paused_until[incarnation]


def _release_all(state: Dispatcher, now: float) -> None:
    room = state.room
    if not room.reservations and not room.moves:
        return
    for reservation in list(room.reservations.values()):
        _release(state, reservation, ReleaseReason.SWITCHED_OFF, now)
    for move in list(room.moves.values()):
        _end_move(state, move)


def describe_room(room: Room, now: float) -> dict[str, list[dict[str, object]]]:
    """Return the reservations and the moves that go on, for the state dump."""
    return {
        "reservations": [
            {
                "runner": runner,
                "task": reservation.task.key,
                "since_s": round(now - reservation.since, 3),
            }
            for runner, reservation in list(room.reservations.items())
        ],
        "moves": [
            {
                "task": key,
                "from": move.source.incarnation,
                "to": move.target.incarnation,
                "for": move.reservation.task.key,
                "decided_s_ago": round(now - move.decided_at, 3),
                "stopped": move.stopped_at > 0,
            }
            for key, move in list(room.moves.items())
        ],
    }
