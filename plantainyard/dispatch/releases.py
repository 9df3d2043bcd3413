"""Ends of reservations for large tasks, and of the moves that make room for them.

Ends those that are over, have failed or are no longer of use, and releases what is
held for them.
"""

from plantainyard.dispatch.actions import ReleaseReason, RoomReleased
from plantainyard.dispatch.model import Phase, Runner, Task
from plantainyard.dispatch.moves import MOVE_INTERVAL_S
from plantainyard.dispatch.placing import accepts_tasks, end_hold, measure_free
from plantainyard.dispatch.reservations import Move, Reservation, Room
from plantainyard.dispatch.state import Dispatcher

__all__ = [
    "MAX_DECISION_AGE_S",
    "end_move",
    "end_moves",
    "end_reservations",
    "forget_past",
    "give_up_moves",
    "is_runner_known",
    "release",
    "release_all",
]

PAUSE_S = 1.0
"""Time for which a runner isn't reserved again after its task didn't start there, so
that the runner isn't idle for longer than `MAX_RESERVED_S`."""

HOLD_S = 3.0
"""Time after a stop for which resources are held for the stopped task."""

MAX_DECISION_AGE_S = 0.5
"""Time within which the store must answer after the decision to move a task; a commit
normally takes a few hundredths of a second."""


def is_runner_known(state: Dispatcher, runner: Runner) -> bool:
    """Return whether the unit still has this runner, in this incarnation."""
    return state.runners.get(runner.incarnation) is runner


def end_reservations(state: Dispatcher, allowed: int, now: float) -> None:
    """End the reservations that are over, and those above the allowed number."""
    for reservation in list(state.room.reservations.values()):
        why = _find_release_reason(state, reservation, now)
        if why:
            release(state, reservation, why, now)
    for reservation in list(state.room.reservations.values())[allowed:]:
        release(state, reservation, ReleaseReason.TOO_MANY, now)


def _find_release_reason(
    state: Dispatcher, reservation: Reservation, now: float
) -> str:
    """Return why a reservation ends, or nothing if it goes on."""
    task, runner = reservation.task, reservation.runner
    if task.phase != Phase.WAITING or not _is_open(state, task):
        return ReleaseReason.NOT_WAITING
    if not is_runner_known(state, runner) or not accepts_tasks(runner):
        return ReleaseReason.RUNNER
    return ReleaseReason.EXPIRED if now >= reservation.until - 1e-9 else ""


def _is_open(state: Dispatcher, task: Task) -> bool:
    job = task.step.job
    is_known = state.jobs.get(job.submission.record_id) is job
    return is_known and not job.cancelled and not job.final_state


def release(state: Dispatcher, reservation: Reservation, why: str, now: float) -> None:
    """End a reservation, and its moves that aren't carried out yet."""
    room, runner = state.room, reservation.runner
    del room.reservations[runner.incarnation]
    runner.reserved_for = None
    reservation.task.step.reserved_runners -= 1
    if why in (ReleaseReason.EXPIRED, ReleaseReason.NO_MOVE):
        room.paused_until[runner.incarnation] = now + PAUSE_S
    for move in list(room.moves.values()):
        if move.reservation is reservation and not move.stopped_at:
            end_move(state, move)
    state.changed_runners.add(runner.incarnation)
    state.plan_due = True
    released = RoomReleased(
        reservation.task.key,
        runner.incarnation,
        why,
        round(now - reservation.since, 3),
        measure_free(runner).cpu if runner.entry is not None else 0,
    )
    state.actions.append(released)


def end_moves(state: Dispatcher, now: float) -> None:
    """End the moves that can't be carried out, and what is held for too long."""
    for move in list(state.room.moves.values()):
        if state.room.moves.get(move.task.key) is not move:
            continue
        if not move.stopped_at and now - move.decided_at > MAX_DECISION_AGE_S:
            give_up_moves(state, move.reservation, now)
        elif _is_hold_useless(state, move, now):
            end_move(state, move)


def _is_hold_useless(state: Dispatcher, move: Move, now: float) -> bool:
    if move.stopped_at:
        is_away = move.task.phase in (Phase.STOPPING, Phase.WAITING)
        if not is_away or now - move.stopped_at > HOLD_S:
            return True
    is_usable = is_runner_known(state, move.target) and accepts_tasks(move.target)
    return not is_usable or not _is_open(state, move.task)


def give_up_moves(state: Dispatcher, reservation: Reservation, now: float) -> None:
    """Give up the moves for a reservation that aren't carried out, and end it."""
    current = state.room.reservations.get(reservation.runner.incarnation)
    if current is reservation:
        release(state, reservation, ReleaseReason.NO_MOVE, now)
    for move in list(state.room.moves.values()):
        if move.reservation is reservation and not move.stopped_at:
            end_move(state, move)


def end_move(state: Dispatcher, move: Move) -> None:
    """End a move, and release what is held at its target."""
    del state.room.moves[move.task.key]
    end_hold(move.target, move.task)
    state.changed_runners.add(move.target.incarnation)


def forget_past(room: Room, now: float) -> None:
    """Remove the times of moves and of pauses that no longer matter."""
    for key, at in list(room.moved_at.items()):
        if now - at >= MOVE_INTERVAL_S:
            del room.moved_at[key]
    for incarnation, until in list(room.paused_until.items()):
        if until <= now:
            del room.paused_until[incarnation]


def release_all(state: Dispatcher, now: float) -> None:
    """End all reservations and moves, as the policy is switched off."""
    room = state.room
    if not room.reservations and not room.moves:
        return
    for reservation in list(room.reservations.values()):
        release(state, reservation, ReleaseReason.SWITCHED_OFF, now)
    for move in list(room.moves.values()):
        end_move(state, move)
