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

from plantainyard.batch.values import Resources, Step
from plantainyard.dispatch.actions import ReleaseReason, RoomReserved, TaskMovedForRoom
from plantainyard.dispatch.choices import (
    MAX_RESERVED_S,
    SOON_S,
    Choice,
    choose_room,
)
from plantainyard.dispatch.evacuations import knows_evacuations
from plantainyard.dispatch.maxima import find_maxima, fits_any
from plantainyard.dispatch.model import Job, Phase, Runner, Task
from plantainyard.dispatch.moves import can_move, count_moves_left, is_present
from plantainyard.dispatch.orders import send_stop
from plantainyard.dispatch.placing import accepts_tasks, measure_free
from plantainyard.dispatch.policy import RoomPolicy
from plantainyard.dispatch.queue import order_steps
from plantainyard.dispatch.releases import (
    MAX_DECISION_AGE_S,
    end_move,
    end_moves,
    end_reservations,
    forget_past,
    give_up_moves,
    is_runner_known,
    release,
    release_all,
)
from plantainyard.dispatch.reservations import Move, Reservation, Room
from plantainyard.dispatch.state import Dispatcher, mark_dirty
from plantainyard.dispatch.surveys import (
    Survey,
    fits,
    sum_free,
    survey_runners,
)

__all__ = [
    "begin_moves",
    "count_allowed",
    "end_reservation_by_start",
    "list_overdue_tasks",
    "plan_room",
    "stop_moved_tasks",
    "take_held_place",
]

MAX_PER_STEP = 2
"""Number of runners that are reserved for one step at a time."""

MAX_SEARCHES = 2
"""Number of tasks for which moves are sought in one pass; further tasks wait for the
next one, as a search takes up to 5 ms with 41 runners of 16 long-running tasks."""


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
        release_all(state, now)
        return
    forget_past(room, now)
    end_moves(state, now)
    runners = [runner for runner in state.runners.values() if accepts_tasks(runner)]
    allowed = count_allowed(policy, len(runners))
    end_reservations(state, allowed, now)
    vacant = allowed - len(room.reservations)
    if vacant <= 0 or not knows_evacuations(state, now):
        return
    min_cpu = find_min_cpu(policy, runners)
    overdue = list_overdue_tasks(
        state.jobs.values(), room, policy.max_wait_s, now, min_cpu
    )
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


def find_min_cpu(policy: RoomPolicy, runners: Iterable[Runner]) -> float:
    """Return the processor time from which a task is large, in thousandths of a core.

    Examples
    --------
    >>> find_min_cpu(RoomPolicy(), [])
    0.0
    """
    capacities = [r.entry.capacity.cpu for r in runners if r.entry is not None]
    return policy.min_task_share * min(capacities, default=0)


def list_overdue_tasks(
    jobs: Iterable[Job],
    room: Room,
    max_wait_s: float,
    now: float,
    min_cpu: float = 0.0,
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
        and step.spec.resources.cpu >= min_cpu
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
    maxima = find_maxima(survey.measure_most() for survey in surveys)
    without_room: dict[tuple[str, str], list[Resources]] = {}
    searches = MAX_SEARCHES
    for task in tasks:
        spec = task.step.spec
        kind = (task.step.job.submission.service, spec.requires)
        if any(fits(size, spec.resources) for size in without_room.get(kind, [])):
            continue
        max_moves = count_moves_left(state, policy, now) if searches else 0
        if not max_moves and not fits_any(spec.resources, maxima):
            continue
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
        s._replace(free=measure_free(s.runner))
        if s.runner.incarnation in targets
        else s
        for s in surveys
        if s.runner is not choice.runner
    ]


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
        measure_free(runner).cpu,
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
            give_up_moves(state, move.reservation, now)
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
        and can_move(state, task, now)
        and all(is_present(state, other) for other in others)
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
    free = sum_free(measure_free(reservation.runner), moved)
    return fits(reservation.task.step.spec.resources, free)


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
    end_move(state, move)
    return [move.target] if is_runner_known(state, move.target) else []


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
        release(state, own, ReleaseReason.STARTED, now)
