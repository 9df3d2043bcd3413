"""Which failure domain decides on a job, and how its tasks are divided over racks."""

from collections.abc import Iterable, Mapping

import xxhash

from plantainyard.placement import check_possible
from plantainyard.placement.filters import check_worker
from plantainyard.routing.arbiter import find_home_domain
from plantainyard.work import Job, Size, WorkerInfo

__all__ = [
    "allot_tasks",
    "parse_home_domain",
    "list_eligible_domains",
    "make_job_id_stem",
    "qualify_request_id",
    "choose_home_domain",
]

_STEM_DIGITS = 12


def list_eligible_domains(job: Job, workers: Iterable[WorkerInfo]) -> list[str]:
    """Return the failure domains that have a worker for the job, sorted.

    Parameters
    ----------
    job : Job
        The job.
    workers : iterable of WorkerInfo
        All workers that are listed, those that are gone included: the choice of a home
        must not change because a domain's workers are away for a while.
    """
    return sorted({w.domain for w in workers if check_worker(job, w) is None})


def choose_home_domain(request_id: str, allowed: Iterable[str]) -> str | None:
    """Return the domain that decides on a request, None where none is allowed.

    Notes
    -----
    It follows from the id alone, so that a repeat at any instance finds the first
    acceptance: a choice by load would accept the same work in two domains. It still
    rests on the platform's list: a domain that is new on it changes the choice for
    ids without a prefix.
    """
    names = list(allowed)
    return find_home_domain(request_id, names) if names else None


def qualify_request_id(request_id: str, home: str) -> str:
    """Return the request id with its home as prefix, as the log keeps it."""
    prefix = f"{home}."
    return request_id if request_id.startswith(prefix) else prefix + request_id


def make_job_id_stem(request_id: str) -> str:
    """Return the stem of a job's id; the domain's name is added after a dot."""
    return xxhash.xxh3_64_hexdigest(request_id.encode())[:_STEM_DIGITS]


def parse_home_domain(job_id: str) -> str:
    """Return the home domain that a job's id names.

    Examples
    --------
    >>> find_job_domain("0f3a.addis-kality")
    'addis-kality'
    """
    return job_id.partition(".")[2]


def allot_tasks(
    job: Job, workers: Iterable[WorkerInfo], share: Size | None = None
) -> tuple[dict[str, int], str]:
    """Divide a job's tasks over the racks of its home domain.

    Parameters
    ----------
    job : Job
        The job.
    workers : iterable of WorkerInfo
        All workers of the domain.
    share : Size, optional
        The team's quota in one rack.

    Returns
    -------
    tuple of dict and str
        Number of tasks for each rack, in proportion to the cores of the racks that
        can run one; or the constraint that no rack can meet. A gang goes to the rack
        with the most cores as a whole.
    """
    racks: dict[str, list[WorkerInfo]] = {}
    for worker in workers:
        racks.setdefault(worker.rack, []).append(worker)
    failing = {
        rack: check_possible(job, members, share) for rack, members in racks.items()
    }
    cores = {
        rack: sum(w.capacity.cores for w in members)
        for rack, members in racks.items()
        if failing[rack] is None
    }
    if not cores:
        return {}, next(iter(failing.values()), None) or "no workers"
    if job.gang:
        return {max(sorted(cores), key=lambda rack: cores[rack]): job.task_count}, ""
    return _divide(job.task_count, cores), ""


def _divide(count: int, weights: Mapping[str, float]) -> dict[str, int]:
    total = sum(weights.values())
    exact = {rack: count * weight / total for rack, weight in weights.items()}
    parts = {rack: int(value) for rack, value in exact.items()}
    by_rest = sorted(weights, key=lambda rack: (parts[rack] - exact[rack], rack))
    for rack in by_rest[: count - sum(parts.values())]:
        parts[rack] += 1
    return {rack: part for rack, part in parts.items() if part}
