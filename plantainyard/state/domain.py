"""Folded state of a failure domain's stream, and queries on it.

All instances of a domain fold the same records in the same order and therefore hold
the same `DomainState`. Only `plantainyard.state.folding.apply_record` changes it.
"""

from collections.abc import Iterator, Mapping
from itertools import chain
from types import MappingProxyType
from typing import NamedTuple

from plantainyard.state.fold_results import RequestDecision
from plantainyard.state.jobs import (
    Assignment,
    JobState,
    JobSummary,
    TaskCounts,
    WaitingTask,
    iter_job_waiting,
)
from plantainyard.state.requests import DecidedRequests
from plantainyard.work import TaskKey

__all__ = [
    "Claim",
    "DomainState",
    "MAX_COMPLETED",
    "count_tasks",
    "find_claim",
    "find_decision",
    "get_assigned",
    "get_job",
    "iter_waiting",
    "list_cancelled_running",
    "list_jobs",
]

# Not a setting: which completed jobs are forgotten affects whether later records are
# void, and every reader must reach the same result.
MAX_COMPLETED = 2048


class Claim(NamedTuple):
    """The ownership of a rack.

    Attributes
    ----------
    holder : str
        The owning instance; empty if the last owner released the rack.
    term : int
        Offset of the claim; the next claim has it as its base.
    workers : tuple of str
        Workers whose acceptance gives the holder its authority, sorted.
    previous : tuple of tuple of str
        The worker sets of earlier claims whose holders may still have authority.
    stopped : bool
        Whether the last owner had authority when it stopped acting. Then `previous`
        holds its workers only, to account for a caretaker (a peer that stands in for
        the owner while the log is out) of which the owner did not know.
    """

    holder: str
    term: int
    workers: tuple[str, ...] = ()
    previous: tuple[tuple[str, ...], ...] = ()
    stopped: bool = False


class DomainState:
    """The state folded from a domain's stream up to an offset.

    Attributes
    ----------
    next_offset : int
        Offset of the first record that is not yet folded.
    claims : dict of str to Claim
        The valid claim of each rack.
    jobs : dict of str to JobState
        Jobs that are not complete, in order of acceptance.
    completed : dict of str to JobSummary
        Completed jobs, the oldest first, at most `MAX_COMPLETED`.
    assigned : dict of str to dict of TaskKey to Assignment
        For each rack, the attempts that may be running.
    waiting : dict of str to set of str
        For each rack, the ids of the jobs that have waiting tasks in it.
    requests : DecidedRequests
        Decisions on request ids.
    cancelled : set of str
        Ids of the cancelled jobs that still have assigned tasks.
    skipped : int
        Number of skipped records of unknown type.
    """

    def __init__(self) -> None:
        self.next_offset = 0
        self.claims: dict[str, Claim] = {}
        self.jobs: dict[str, JobState] = {}
        self.completed: dict[str, JobSummary] = {}
        self.assigned: dict[str, dict[TaskKey, Assignment]] = {}
        self.waiting: dict[str, set[str]] = {}
        self.requests = DecidedRequests()
        self.cancelled: set[str] = set()
        self.skipped = 0


def find_claim(state: DomainState, rack: str) -> Claim | None:
    """Return the rack's valid claim, or None if it was never claimed."""
    return state.claims.get(rack)


def find_decision(state: DomainState, request_id: str) -> RequestDecision | None:
    """Return the decision on a request id, or None if none is stored."""
    return state.requests.decisions.get(request_id)


def get_assigned(state: DomainState, rack: str) -> Mapping[TaskKey, Assignment]:
    """Return a live view of the attempts that may be running in `rack`."""
    return MappingProxyType(state.assigned.get(rack, {}))


def get_job(state: DomainState, job: str) -> JobState | JobSummary | None:
    """Return a job's state, its summary if it is complete, or None if unknown."""
    return state.jobs.get(job) or state.completed.get(job)


def list_jobs(state: DomainState) -> list[JobState]:
    """Return the jobs that are not complete, in order of acceptance."""
    return list(state.jobs.values())


def iter_waiting(state: DomainState, rack: str) -> Iterator[WaitingTask]:
    """Lazily yield the tasks that may be assigned in `rack`.

    Parameters
    ----------
    state : DomainState
        Must not be changed while the iterator is in use.
    rack : str
        The rack.

    Yields
    ------
    WaitingTask
        The waiting tasks by job in order of acceptance; within a job, tasks that were
        attempted before come first.

    Notes
    -----
    Sorts the jobs with waiting tasks in the rack, and then takes constant time for
    each task that is taken from the iterator.
    """
    jobs = (state.jobs[job] for job in state.waiting.get(rack, ()))
    ordered = sorted(jobs, key=lambda job: (job.offset, job.job.id))
    return chain.from_iterable(iter_job_waiting(job, rack) for job in ordered)


def count_tasks(job: JobState | JobSummary) -> TaskCounts:
    """Return the numbers of tasks of `job` in each state."""
    if isinstance(job, JobSummary):
        return TaskCounts(0, 0, job.done, 0, job.cancelled)
    retries = [retry for tasks in job.retries.values() for retry in tasks.values()]
    failed = sum(retry.failed for retry in retries)
    unattempted = sum(ranges.count for ranges in job.unattempted.values())
    waiting = unattempted + len(retries) - failed
    return TaskCounts(
        waiting, job.assigned_count, job.done_count, failed, job.cancelled_count
    )


def list_cancelled_running(state: DomainState, rack: str) -> list[TaskKey]:
    """Return the assigned tasks of cancelled jobs in `rack`, which must be stopped."""
    if not state.cancelled:
        return []
    return [task for task in get_assigned(state, rack) if task.job in state.cancelled]
