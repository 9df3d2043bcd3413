from plantainyard.placement import (
    Place,
    TaskStarted,
    TasksWaiting,
    Tick,
    UsageReported,
    WorkersChanged,
    create_state,
    step,
)
from plantainyard.work import Job, Size, TaskKey, WorkerInfo

WORKER = WorkerInfo("w", "", "r", "d", "rack", Size(64, 250))
SERVICE = Job("s", "billing", "t", True, 1, Size(8, 16), workload="billing")
SMALL = Job("j", "job", "t", False, 60, Size(1, 1), run_s=2.0)


def _start_service():
    state = create_state()
    step(state, WorkersChanged((WORKER,)), 0.0)
    step(state, TaskStarted(SERVICE, 0, 1, "w"), 0.0)
    return state


def test_small_tasks_start_on_a_nearly_empty_worker():
    # A worker of 64 cores runs one runner of 8; a job of small tasks waits for two
    # minutes, "would harm more than it gains". The preference for a good fit, the same
    # for tasks of any size, outweighed what a task of one core gains.
    state = _start_service()
    step(state, TasksWaiting(SMALL, 0, 60), 0.1)
    placed = [a for a in step(state, Tick(), 0.2) if isinstance(a, Place)]
    assert len(placed) > 40


def test_runner_without_requests_counts_as_idle():
    # No caller is on a service, whose runners report their declared cores all the
    # same; batch work is held back for the sake of callers that are not there.
    state = _start_service()
    for second in range(60):
        report = UsageReported("w", TaskKey("s", 0), float(second), 8.0, 16.0, 0.0)
        step(state, report, second + 0.5)
    assert state.jobs["s"].utilization < 0.05
