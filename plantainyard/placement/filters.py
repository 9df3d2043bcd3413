"""Hard filters: on which workers a task may ever run, and on which it may start now."""

from collections.abc import Iterable

from plantainyard.placement.state import JobState, PlacementState, WorkerState
from plantainyard.work import Job, Size, WorkerInfo

__all__ = [
    "check_possible",
    "check_start",
    "check_worker",
    "count_fitting_tasks",
    "find_candidates",
]

_EPSILON = 1e-6
_URGENT_OVERCOMMIT = 0.2


def check_worker(job: Job, worker: WorkerInfo) -> str | None:
    """Return the constraint of `job` that an empty `worker` fails, or None."""
    limits = job.constraints
    if limits.regions and worker.region not in limits.regions:
        return "region"
    if limits.domains and worker.domain not in limits.domains:
        return "failure domain"
    if limits.accelerator and worker.accelerator != limits.accelerator:
        return "accelerator"
    if job.size.accelerators > worker.capacity.accelerators:
        return "accelerator count"
    if job.size.cores > worker.capacity.cores + _EPSILON:
        return "cores"
    if job.size.memory_gb > worker.capacity.memory_gb + _EPSILON:
        return "memory"
    return None


def check_possible(
    job: Job, workers: Iterable[WorkerInfo], share: Size | None = None
) -> str | None:
    """Return the constraint of `job` that these workers can never meet, or None.

    Parameters
    ----------
    job : Job
        The job in question.
    workers : iterable of WorkerInfo
        All existing workers. Tasks that run on them are ignored.
    share : Size, optional
        The team's quota. If None, the team is not limited.

    Returns
    -------
    str or None
        The constraint that the workers closest to meeting all of them fail: filters
        are applied in the order region, failure domain, accelerator, accelerator count,
        cores, memory, and the last filter that any worker reaches is returned.
        ``"team quota"`` or ``"gang size"`` if a single task would fit. ``"no workers"``
        if there are none.

    Examples
    --------
    >>> job = Job("j", "j", "t", False, 1, Size(8, 4))
    >>> small = WorkerInfo("w", "", "r", "d", "rack", Size(4, 16))
    >>> check_possible(job, [small])
    'cores'
    """
    all_workers = list(workers)
    fitting = [worker for worker in all_workers if check_worker(job, worker) is None]
    if not fitting:
        ranks = {
            name: rank
            for rank, name in enumerate(
                (
                    "region",
                    "failure domain",
                    "accelerator",
                    "accelerator count",
                    "cores",
                    "memory",
                )
            )
        }
        failing = {check_worker(job, worker) or "" for worker in all_workers}
        return max(failing, key=lambda name: ranks[name]) if failing else "no workers"
    tasks = job.task_count if job.gang else 1
    if share is not None and not _fits_within(_scale(job.size, tasks), share):
        return "team quota"
    if (
        sum(count_fitting_tasks(job.size, worker.capacity) for worker in fitting)
        < tasks
    ):
        return "gang size"
    return None


def _scale(size: Size, count: int) -> Size:
    return Size(size.cores * count, size.memory_gb * count, size.accelerators * count)


def _fits_within(need: Size, free: Size) -> bool:
    return all(n <= r + _EPSILON for n, r in zip(need, free, strict=True))


def count_fitting_tasks(size: Size, capacity: Size) -> int:
    """Return how many tasks of `size` fit on an empty worker."""
    return int(
        min(
            (
                (free + _EPSILON) // need
                for need, free in zip(size, capacity, strict=True)
                if need > 0
            ),
            default=1_000_000,
        )
    )


def check_start(
    job_state: JobState, worker: WorkerState, max_utilization: float = 1.0
) -> str | None:
    """Return why a task of the job can't start on `worker` now, or None.

    Notes
    -----
    A job whose observed use exceeds the capacity may still start on an empty worker;
    otherwise it could not run anywhere.
    """
    info = worker.info
    if not worker.listed or info.leaving:
        return "leaving"
    if worker.suspect:
        return "not answering"
    if worker.quarantined_until is not None and not (
        worker.probing and worker.probe_task is None
    ):
        return "quarantined"
    need = job_state.reserved
    used = worker.allocated
    if worker.reserved_for and worker.reserved_for != job_state.job.id:
        reserved_size, tasks = worker.reserved_size, worker.reserved_task_count
        if any(
            used[i] + need[i] + tasks * reserved_size[i] > info.capacity[i] + _EPSILON
            for i in range(3)
        ):
            return "held for a job that waited long"
    fits = (
        used[0] + need[0] <= info.capacity[0] + _EPSILON
        and used[1] + need[1] <= info.capacity[1] + _EPSILON
        and used[2] + need[2] <= info.capacity[2]
        and worker.expected_cores + job_state.expected.cores
        <= info.capacity[0] * max_utilization
    )
    if not fits and (worker.placed or check_worker(job_state.job, info)):
        return "no room"
    return check_worker(job_state.job, info)


def find_candidates(
    state: PlacementState, job_state: JobState, max_count: int = 0
) -> list[WorkerState]:
    """Return workers on which a task of the job can start now.

    Notes
    -----
    The search is round robin: it starts where the last one ended and stops after
    `max_count` workers, or ``candidates_max``, so that the cost of a decision doesn't
    grow with the number of workers. A search that found no worker isn't repeated for
    the same sizes and constraints until capacity has been freed.

    Urgent tasks may overcommit a worker further than others. Capacity is freed for them
    according to estimates, which may change while the evicted tasks end.
    """
    shape = (
        job_state.reserved,
        job_state.expected.cores,
        job_state.job.size,
        job_state.job.constraints,
    )
    if (
        not job_state.reserved_worker_count
        and state.unplaceable_shapes.get(shape) == state.capacity_version
    ):
        return []
    limit = max_count or state.settings.candidates_max
    max_utilization = state.settings.crowd_max + (
        _URGENT_OVERCOMMIT if job_state.job.urgent else 0.0
    )
    found: list[WorkerState] = []
    count = len(state.active_workers)
    for offset in range(count):
        worker = state.active_workers[(state.scan_position + offset) % count]
        if check_start(job_state, worker, max_utilization) is None:
            found.append(worker)
            if len(found) == limit:
                state.scan_position = (state.scan_position + offset + 1) % count
                break
    if not found and not job_state.reserved_worker_count:
        state.unplaceable_shapes[shape] = state.capacity_version
    return found
