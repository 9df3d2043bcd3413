"""Log lines and metrics of the decisions of a unit's dispatcher.

Each of these actions records a decision with its inputs, and asks for nothing else.
"""

from typing import Any

from plantainyard.dispatch import (
    Action,
    JobSetAside,
    RoomReleased,
    RoomReserved,
    RunGivenUp,
    RunnerSlow,
    RunnerTrusted,
    TaskMovedForRoom,
)
from plantainyard.entry.eventlog import EventLog
from plantainyard.entry.meters import Meters

__all__ = ["record_decision"]


def record_decision(log: EventLog, meters: Meters, unit: int, action: Action) -> None:
    """Log a decision with its inputs, and count it; ignore any other action."""
    match action:
        case RunGivenUp():
            _log_given_up_run(log, action)
        case JobSetAside():
            fields = action._asdict()
            log.write("job_set_aside", unit=unit, job=fields.pop("job_id"), **fields)
        case RunnerSlow():
            log.write("runner_slow", **_name_runner(unit, action))
        case RunnerTrusted():
            log.write("runner_trusted", **_name_runner(unit, action))
        case RoomReserved():
            log.write("room_reserved", **_name_task(action))
        case RoomReleased():
            log.write("room_released", **_name_task(action))
        case TaskMovedForRoom():
            meters.room_moves.inc()
            log.write("task_moved_for_room", **_name_task(action))


def _log_given_up_run(log: EventLog, action: RunGivenUp) -> None:
    log.write(
        "run_given_up",
        job=action.task.job_id,
        task=action.task[1:],
        run=action.run,
        runner=action.incarnation,
        why=action.why,
    )


def _name_runner(unit: int, action: RunnerSlow | RunnerTrusted) -> dict[str, Any]:
    """Return the fields of a log line about a runner."""
    inputs = action._asdict()
    return {"unit": unit, "runner": inputs.pop("incarnation"), **inputs}


def _name_task(
    action: RoomReserved | RoomReleased | TaskMovedForRoom,
) -> dict[str, Any]:
    """Return the fields of a log line, with the job and the task named apart."""
    fields = action._asdict()
    fields["task"] = action.task[1:]
    return {"job": action.task.job_id, **fields}
