from plantainyard import placement
from plantainyard.execution import create_plan
from plantainyard.placement.recording import replay_recording
from plantainyard.work import Job, Size, WorkerInfo

WORKER = WorkerInfo("w", "", "r", "d", "rack", Size(8, 32))
JOB = Job("j", "j", "t", False, 20, Size(1, 1), 1.0)


def _drive(plan):
    plan.step(plan.policy, placement.WorkersChanged((WORKER,)), 0.0)
    plan.step(plan.policy, placement.TasksWaiting(JOB, 0, 20), 0.1)
    return plan.step(plan.policy, placement.Tick(), 0.2)


def test_recorded_plan_replays_to_the_same_decisions():
    # Guards against a recording from which decisions can't be reproduced.
    plan = create_plan(1_000_000)
    assert _drive(plan)
    assert plan.recording is not None and plan.recording.complete
    assert replay_recording(plan.recording.lines) == []


def test_full_recording_is_marked_as_incomplete():
    # Guards against showing an operator who replays a recording with missing lines
    # decisions that the daemon never made.
    plan = create_plan(600)
    _drive(plan)
    assert plan.recording is not None
    assert not plan.recording.complete
    assert plan.recording.size <= 600
