"""State of the reservations for large tasks and of the moves that make room for them.

It is in memory only; `room` decides about it, the state dump shows it, and
`docs/design/room.md` gives the reasons.
"""

from dataclasses import dataclass, field

from plantainyard.batch.tasks import TaskKey
from plantainyard.dispatch.model import Runner, Task

__all__ = ["Move", "Reservation", "Room", "describe_room"]


@dataclass(slots=True, eq=False)
class Reservation:
    """A runner at which only tasks of one step may start.

    Attributes
    ----------
    task : Task
        The waiting task that it is meant for; another one of its step may start there.
    runner : Runner
        The reserved runner.
    since, until : float
        When it began, and when it ends at the latest.
    """

    task: Task
    runner: Runner
    since: float
    until: float


@dataclass(slots=True, eq=False)
class Move:
    """A long-running task that gives way, and the capacity that is held for it.

    Attributes
    ----------
    task : Task
        The task.
    source, target : Runner
        Its runner, and the one where its resources are held.
    reservation : Reservation
        The reservation that it makes room for.
    decided_at : float
        When the move was decided.
    stopped_at : float
        When the stop was sent; zero until then.
    """

    task: Task
    source: Runner
    target: Runner
    reservation: Reservation
    decided_at: float
    stopped_at: float = 0.0


@dataclass(slots=True, eq=False)
class Room:
    """All reservations and moves of a unit.

    Attributes
    ----------
    reservations : dict of str to Reservation
        By the incarnation of the reserved runner.
    moves : dict of TaskKey to Move
        Moves whose tasks haven't been assigned to a runner again.
    decided, committing : list of Move
        Moves that no commit has followed yet; moves whose tasks are stopped once the
        commit in progress is stored.
    moved_at : dict of TaskKey to float
        When tasks were stopped for a move, for as long as that matters.
    paused_until : dict of str to float
        By incarnation, until when a runner isn't reserved again.
    """

    reservations: dict[str, Reservation] = field(default_factory=dict)
    moves: dict[TaskKey, Move] = field(default_factory=dict)
    decided: list[Move] = field(default_factory=list)
    committing: list[Move] = field(default_factory=list)
    moved_at: dict[TaskKey, float] = field(default_factory=dict)
    paused_until: dict[str, float] = field(default_factory=dict)


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
