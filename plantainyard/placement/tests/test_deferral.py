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
    # Guards against small tasks that wait for two minutes ("would harm more than it
    # gains") although a worker of 64 cores runs just one runner of 8 cores. The cost of
    # a poor fit, which doesn't depend on the size of the task, exceeded the gain of a
    # task of one core.
    state = _start_service()
    step(state, TasksWaiting(SMALL, 0, 60), 0.1)
    placed = [a for a in step(state, Tick(), 0.2) if isinstance(a, Place)]
    assert len(placed) > 40


def test_runner_without_requests_counts_as_idle():
    # Guards against batch work that is delayed for a service without callers, whose
    # runners report their declared cores although they serve no requests.
    state = _start_service()
    for second in range(60):
        report = UsageReported("w", TaskKey("s", 0), float(second), 8.0, 16.0, 0.0)
        step(state, report, second + 0.5)
    assert state.jobs["s"].utilization < 0.05
