"""Hard filters: where a task may run at all, and where it may run now."""

from collections.abc import Iterable

from plantainyard.placement.state import JobState, PlacementState, WorkerState
from plantainyard.work import Job, Size, WorkerInfo

__all__ = [
    "check_now",
    "check_possible",
    "check_worker",
    "count_fits",
    "find_candidates",
]

_EPSILON = 1e-6
_URGENT_OVERCOMMIT = 0.2


def check_worker(job: Job, worker: WorkerInfo) -> str | None:
    """Return the constraint that keeps `job` off an empty `worker`, or None."""
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
        All workers that there are, whatever runs on them now.
    share : Size, optional
        The team's quota; without one the team is not limited.

    Returns
    -------
    str or None
        The constraint that the most promising workers fail: of the filters in the order
        region, failure domain, accelerator, accelerator count, cores, memory the last
        one reached by any worker; ``"team quota"`` or ``"gang size"`` where one task
        would fit.

    Examples
    --------
    >>> job = Job("j", "j", "t", False, 1, Size(8, 4))
    >>> small = WorkerInfo("w", "", "r", "d", "rack", Size(4, 16))
    >>> check_possible(job, [small])
    'cores'
    """
    known = list(workers)
    fitting = [worker for worker in known if check_worker(job, worker) is None]
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
        failing = {check_worker(job, worker) or "" for worker in known}
        return max(failing, key=lambda name: ranks[name]) if failing else "no workers"
    tasks = job.task_count if job.gang else 1
    if share is not None and not _fits_within(_scale(job.size, tasks), share):
        return "team quota"
    if sum(count_fits(job.size, worker.capacity) for worker in fitting) < tasks:
        return "gang size"
    return None


def _scale(size: Size, count: int) -> Size:
    return Size(size.cores * count, size.memory_gb * count, size.accelerators * count)


def _fits_within(need: Size, room: Size) -> bool:
    return all(n <= r + _EPSILON for n, r in zip(need, room, strict=True))


def count_fits(size: Size, capacity: Size) -> int:
    """Return how many tasks of `size` an empty worker holds."""
    return int(
        min(
            (
                (room + _EPSILON) // need
                for need, room in zip(size, capacity, strict=True)
                if need > 0
            ),
            default=1_000_000,
        )
    )


def check_now(
    job_state: JobState, worker: WorkerState, crowd: float = 1.0
) -> str | None:
    """Return why a task of the job can't start on `worker` now, or None.

    Notes
    -----
    A job that is observed to need more than any declared size is still let onto an
    empty worker, else it could run nowhere.
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
        held, tasks = worker.reserved_size, worker.reserved_tasks
        if any(
            used[i] + need[i] + tasks * held[i] > info.capacity[i] + _EPSILON
            for i in range(3)
        ):
            return "held for a job that waited long"
    room = (
        used[0] + need[0] <= info.capacity[0] + _EPSILON
        and used[1] + need[1] <= info.capacity[1] + _EPSILON
        and used[2] + need[2] <= info.capacity[2]
        and worker.expected_cores + job_state.expected.cores <= info.capacity[0] * crowd
    )
    if not room and (worker.placed or check_worker(job_state.job, info)):
        return "no room"
    return check_worker(job_state.job, info)


def find_candidates(
    state: PlacementState, job_state: JobState, most: int = 0
) -> list[WorkerState]:
    """Return workers on which a task of the job can start now.

    Urgent work may crowd a worker further: room was made for it by estimates, which
    move while the evicted tasks end.

    Notes
    -----
    Goes round the workers from where the last search ended and stops at
    `most`, or ``candidates_max``, so that a decision costs no more on many workers than
    on few. A search that found nothing is not repeated for the same shape until room is
    made.
    """
    shape = (
        job_state.reserved,
        job_state.expected.cores,
        job_state.job.size,
        job_state.job.constraints,
    )
    if (
        not job_state.reserved_workers
        and state.unplaceable_shapes.get(shape) == state.capacity_version
    ):
        return []
    limit = most or state.settings.candidates_max
    crowd = state.settings.crowd_max + (
        _URGENT_OVERCOMMIT if job_state.job.urgent else 0.0
    )
    found: list[WorkerState] = []
    count = len(state.active_workers)
    for offset in range(count):
        worker = state.active_workers[(state.scan_position + offset) % count]
        if check_now(job_state, worker, crowd) is None:
            found.append(worker)
            if len(found) == limit:
                state.scan_position = (state.scan_position + offset + 1) % count
                break
    if not found and not job_state.reserved_workers:
        state.unplaceable_shapes[shape] = state.capacity_version
    return found
