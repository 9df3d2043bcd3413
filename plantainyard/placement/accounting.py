"""Book-keeping of what occupies which worker."""

from plantainyard.placement.state import (
    JobState,
    Placement,
    PlacementState,
    Span,
    Waiting,
    WorkerState,
)
from plantainyard.work import Job, Size, TaskKey

__all__ = [
    "drop_idle_job",
    "find_placement",
    "get_job",
    "list_residents",
    "occupy",
    "rebuild_ring",
    "set_reserved",
    "vacate",
]


def get_job(state: PlacementState, job: Job) -> JobState:
    """Return the state of `job`, new if it was unknown."""
    found = state.jobs.get(job.id)
    if found is None:
        found = state.jobs[job.id] = JobState(job)
    return found


def occupy(
    state: PlacementState, owner: JobState, task: Waiting, worker: WorkerState
) -> Placement:
    """Let `task` occupy `worker` from now on, before any answer is known."""
    placement = Placement(owner, task, worker.info.id, state.now)
    owner.placed[task.number] = placement
    worker.placed[placement.key] = placement
    worker.services += owner.job.latency_critical
    for i in range(3):
        worker.used[i] += owner.reserved[i]
    worker.expected += owner.expected.cores
    worker.profile = None
    rack = worker.info.rack
    owner.racks[rack] = owner.racks.get(rack, 0) + 1
    worker.spans[placement.key] = Span(state.now, placement.key, owner.workload)
    _charge_team(state, owner, 1)
    if worker.probing and worker.probe is None:
        worker.probe = placement.key
    if worker.reserved_for == owner.job.id:
        worker.reserved_tasks -= 1
        if worker.reserved_tasks <= 0:
            worker.reserved_for = ""
    return placement


def vacate(state: PlacementState, placement: Placement) -> None:
    """Free what `placement` occupies."""
    owner = placement.owner
    del owner.placed[placement.number]
    _charge_team(state, owner, -1)
    state.room_version += 1
    worker = state.workers.get(placement.worker)
    if worker is None or worker.placed.pop(placement.key, None) is None:
        return
    worker.profile = None
    owner.racks[worker.info.rack] = owner.racks.get(worker.info.rack, 1) - 1
    worker.services -= owner.job.latency_critical
    worker.pressure.pop(placement.key, None)
    worker.recount()
    if worker.probe == placement.key:
        worker.probe = None
    span = worker.spans.pop(placement.key, None)
    if span is not None:
        worker.past.append((state.now, span))
    while worker.past and worker.past[0][0] < state.now - state.settings.history_s:
        worker.past.popleft()
    if not worker.listed and not worker.placed:
        del state.workers[worker.info.id]
        rebuild_ring(state)


def _charge_team(state: PlacementState, owner: JobState, sign: int) -> None:
    used = state.team_used.setdefault(owner.job.team, [0.0, 0.0, 0.0])
    for i in range(3):
        used[i] += sign * owner.job.size[i]


def set_reserved(
    state: PlacementState, owner: JobState, reserved: Size, expected: Size
) -> None:
    """Reckon with new sizes for each task of a job, on its workers too."""
    owner.reserved = reserved
    owner.expected = expected
    state.room_version += 1
    hosts = {placement.worker for placement in owner.placed.values()}
    for worker in filter(None, map(state.workers.get, hosts)):
        worker.recount()


def drop_idle_job(state: PlacementState, owner: JobState) -> None:
    """Forget a job that neither waits nor runs, and is not given up."""
    if owner.waiting or owner.placed or owner.given_up:
        return
    state.jobs.pop(owner.job.id, None)
    for worker in state.workers.values():
        if worker.reserved_for == owner.job.id:
            worker.reserved_for = ""


def rebuild_ring(state: PlacementState) -> None:
    """Renew the list of workers that may take tasks."""
    state.ring = [w for _, w in sorted(state.workers.items()) if w.listed]
    state.room_version += 1
    sizes = [worker.info.capacity for worker in state.ring]
    state.capacity = Size(
        sum(size.cores for size in sizes),
        sum(size.memory_gb for size in sizes),
        sum(size.accelerators for size in sizes),
    )


def list_residents(worker: WorkerState, time_s: float) -> list[Span]:
    """Return what occupied `worker` at `time_s`, as far back as remembered."""
    present = [span for span in worker.spans.values() if span.start <= time_s]
    past = [span for ended, span in worker.past if span.start <= time_s < ended]
    return present + past


def find_placement(state: PlacementState, task: TaskKey) -> Placement | None:
    """Return the placement of `task`, or None."""
    owner = state.jobs.get(task.job)
    return owner.placed.get(task.number) if owner else None
