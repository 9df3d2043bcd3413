"""Log lines and metrics of the reservations for large tasks."""

import io
import json

from plantainyard.batch.tasks import TaskKey
from plantainyard.dispatch import (
    ReleaseReason,
    RoomReleased,
    RoomReserved,
    TaskMovedForRoom,
)
from plantainyard.entry.decision_log import record_decision
from plantainyard.entry.eventlog import EventLog
from plantainyard.entry.meters import Meters

TASK = TaskKey("job-1", 0, 1, 2)


def test_decisions_are_logged_with_their_inputs_and_moves_are_counted():
    # Guards against an interruption that operators can't trace to what it was for.
    log, meters = EventLog("a", io.StringIO()), Meters()
    reserved = RoomReserved(TASK, "r0@1", 0.4, 9_000, 4_000, 1, 0.5, 0.1, 1)
    released = RoomReleased(TASK, "r0@1", ReleaseReason.STARTED, 0.6, 100)
    moved = TaskMovedForRoom(
        TaskKey("job-2", 0, 0, 0), 1, "r0@1", "r1@1", 5_000, TASK, 0.02, 0.3
    )
    for action in (reserved, released, moved):
        record_decision(log, meters, 0, action)
    lines = [json.loads(log.lines.get_nowait() or "") for _ in range(3)]
    assert [line["event"] for line in lines] == [
        "room_reserved",
        "room_released",
        "task_moved_for_room",
    ]
    assert lines[0]["job"] == "job-1" and lines[0]["task"] == [0, 1, 2]
    assert lines[0]["wanted_cpu"] == 9_000 and lines[0]["report_age_s"] == 0.1
    assert lines[1]["why"] == "started"
    assert lines[2]["room_for"] == ["job-1", 0, 1, 2]
    assert meters.registry.get_sample_value("plantainyard_room_moves_total") == 1.0
