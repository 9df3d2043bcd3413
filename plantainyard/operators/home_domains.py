"""Choice of a job's home domain, and division of its tasks among the racks there.

The home domain is the failure domain that decides on a job. It follows from the
request id, so that retries at any instance reach the same domain.
"""

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
    """Return the failure domains with a worker that could run the job, sorted.

    Parameters
    ----------
    job : Job
        The job.
    workers : iterable of WorkerInfo
        All listed workers, including terminated ones: the choice of a home domain
        must not change because a domain's workers are temporarily unavailable.
    """
    return sorted({w.domain for w in workers if check_worker(job, w) is None})


def choose_home_domain(request_id: str, allowed: Iterable[str]) -> str | None:
    """Return the home domain of a request, or None if no domain is eligible.

    Notes
    -----
    The choice depends on the request id and not on load, so that a retry at any
    instance finds the first acceptance: a choice by load could accept the same work
    in two domains. It also depends on the platform's list: a newly listed domain
    changes the choice for ids without a domain prefix.
    """
    names = list(allowed)
    return find_home_domain(request_id, names) if names else None


def qualify_request_id(request_id: str, home: str) -> str:
    """Return the request id prefixed with its home domain, as stored in the log."""
    prefix = f"{home}."
    return request_id if request_id.startswith(prefix) else prefix + request_id


def make_job_id_stem(request_id: str) -> str:
    """Return the stem of a job id, to which a dot and the domain's name are added."""
    return xxhash.xxh3_64_hexdigest(request_id.encode())[:_STEM_DIGITS]


def parse_home_domain(job_id: str) -> str:
    """Return the home domain that a job id ends with.

    Examples
    --------
    >>> parse_home_domain("0f3a.addis-kality")
    'addis-kality'
    """
    return job_id.partition(".")[2]


def allot_tasks(
    job: Job, workers: Iterable[WorkerInfo], share: Size | None = None
) -> tuple[dict[str, int], str]:
    """Divide a job's tasks among the racks of its home domain.

    Parameters
    ----------
    job : Job
        The job.
    workers : iterable of WorkerInfo
        All workers of the domain.
    share : Size, optional
        The team's share of its quota in one rack.

    Returns
    -------
    tuple of dict and str
        Number of tasks for each rack, in proportion to the cores of the racks that
        can run a task, and an empty string; or an empty dict and the constraint that
        no rack can meet. A gang is placed as a whole in the rack with the most cores.
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
    by_remainder = sorted(weights, key=lambda rack: (parts[rack] - exact[rack], rack))
    for rack in by_remainder[: count - sum(parts.values())]:
        parts[rack] += 1
    return {rack: part for rack, part in parts.items() if part}
