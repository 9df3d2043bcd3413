"""Bookkeeping of the tasks that occupy each worker.

Keeps the sums of allocated resources per worker and team in step with the placements.
"""

from plantainyard.placement.state import (
    JobState,
    Placement,
    PlacementState,
    Span,
    WaitingTask,
    WorkerState,
)
from plantainyard.work import Job, Size, TaskKey

__all__ = [
    "drop_idle_job",
    "find_placement",
    "get_job",
    "list_occupants",
    "occupy",
    "rebuild_active_workers",
    "update_task_sizes",
    "vacate",
]


def get_job(state: PlacementState, job: Job) -> JobState:
    """Return the state of `job`; create it if the job is unknown."""
    job_state = state.jobs.get(job.id)
    if job_state is None:
        job_state = state.jobs[job.id] = JobState(job)
    return job_state


def occupy(
    state: PlacementState, job_state: JobState, task: WaitingTask, worker: WorkerState
) -> Placement:
    """Allocate room for `task` on `worker`, before the assignment is confirmed."""
    placement = Placement(job_state, task, worker.info.id, state.now)
    job_state.placed[task.number] = placement
    worker.placed[placement.key] = placement
    worker.service_count += job_state.job.latency_critical
    for i in range(3):
        worker.allocated[i] += job_state.reserved[i]
    worker.expected_cores += job_state.expected.cores
    worker.profile = None
    rack = worker.info.rack
    job_state.racks[rack] = job_state.racks.get(rack, 0) + 1
    worker.spans[placement.key] = Span(state.now, placement.key, job_state.workload)
    _charge_team(state, job_state, 1)
    if worker.probing and worker.probe_task is None:
        worker.probe_task = placement.key
    if worker.reserved_for == job_state.job.id:
        worker.reserved_task_count -= 1
        if worker.reserved_task_count <= 0:
            worker.reserved_for = ""
    return placement


def vacate(state: PlacementState, placement: Placement) -> None:
    """Free the resources that `placement` occupies."""
    job_state = placement.job_state
    del job_state.placed[placement.number]
    _charge_team(state, job_state, -1)
    state.capacity_version += 1
    worker = state.workers.get(placement.worker)
    if worker is None or worker.placed.pop(placement.key, None) is None:
        return
    worker.profile = None
    job_state.racks[worker.info.rack] = job_state.racks.get(worker.info.rack, 1) - 1
    worker.service_count -= job_state.job.latency_critical
    worker.latency_ratios.pop(placement.key, None)
    worker.recount()
    if worker.probe_task == placement.key:
        worker.probe_task = None
    span = worker.spans.pop(placement.key, None)
    if span is not None:
        worker.past_spans.append((state.now, span))
    while (
        worker.past_spans
        and worker.past_spans[0][0] < state.now - state.settings.history_s
    ):
        worker.past_spans.popleft()
    if not worker.listed and not worker.placed:
        del state.workers[worker.info.id]
        rebuild_active_workers(state)


def _charge_team(state: PlacementState, job_state: JobState, sign: int) -> None:
    used = state.team_used.setdefault(job_state.job.team, [0.0, 0.0, 0.0])
    for i in range(3):
        used[i] += sign * job_state.job.size[i]


def update_task_sizes(
    state: PlacementState, job_state: JobState, reserved: Size, expected: Size
) -> None:
    """Set new task sizes for a job and update the sums of the workers it runs on."""
    job_state.reserved = reserved
    job_state.expected = expected
    state.capacity_version += 1
    hosts = {placement.worker for placement in job_state.placed.values()}
    for worker in filter(None, map(state.workers.get, hosts)):
        worker.recount()


def drop_idle_job(state: PlacementState, job_state: JobState) -> None:
    """Remove a job without waiting or placed tasks, unless it has been given up."""
    if job_state.waiting_count or job_state.placed or job_state.given_up:
        return
    state.jobs.pop(job_state.job.id, None)
    for worker in state.workers.values():
        if worker.reserved_for == job_state.job.id:
            worker.reserved_for = ""


def rebuild_active_workers(state: PlacementState) -> None:
    """Rebuild the sorted list of listed workers and their total capacity."""
    state.active_workers = [w for _, w in sorted(state.workers.items()) if w.listed]
    state.capacity_version += 1
    sizes = [worker.info.capacity for worker in state.active_workers]
    state.capacity = Size(
        sum(size.cores for size in sizes),
        sum(size.memory_gb for size in sizes),
        sum(size.accelerators for size in sizes),
    )


def list_occupants(worker: WorkerState, time_s: float) -> list[Span]:
    """Return what occupied `worker` at `time_s`, within the retained history."""
    present = [span for span in worker.spans.values() if span.start <= time_s]
    past_spans = [
        span for ended, span in worker.past_spans if span.start <= time_s < ended
    ]
    return present + past_spans


def find_placement(state: PlacementState, task: TaskKey) -> Placement | None:
    """Return the placement of `task`, or None if the task is not placed."""
    job_state = state.jobs.get(task.job)
    return job_state.placed.get(task.number) if job_state else None
