"""The folded state of a failure domain's stream and the questions asked of it.

Every instance of a domain folds the same records in the same order and so holds
the same `DomainState`. It is changed by `plantainyard.state.folding.apply_record`
alone.
"""

from collections.abc import Iterator, Mapping
from itertools import chain
from types import MappingProxyType
from typing import NamedTuple

from plantainyard.state.changes import RequestDecision
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
    "MAX_COMPLETED",
    "Claim",
    "DomainState",
    "count_tasks",
    "find_claim",
    "find_decision",
    "get_assigned",
    "get_job",
    "iter_waiting",
    "list_cancelled_running",
    "list_jobs",
]

# A constant and not a setting: what is forgotten decides verdicts, and every reader
# must reach the same one.
MAX_COMPLETED = 2048


class Claim(NamedTuple):
    """Who owns a rack.

    Attributes
    ----------
    holder : str
        The owning instance; empty where the last owner gave the rack up.
    term : int
        Offset of the claim; the base of the next one.
    workers : tuple of str
        Workers on whose acceptance the authority rests, sorted.
    previous : tuple of tuple of str
        The same of earlier claims whose holders may still have authority.
    stopped : bool
        Whether the last owner had authority when it stopped; then `previous` holds its
        workers alone, for the sake of a caretaker of which it didn't know.
    """

    holder: str
    term: int
    workers: tuple[str, ...] = ()
    previous: tuple[tuple[str, ...], ...] = ()
    stopped: bool = False


class DomainState:
    """What a domain's stream says up to an offset.

    Attributes
    ----------
    next_offset : int
        Offset of the first record that is not yet folded.
    claims : dict of str to Claim
        The valid claim of each rack.
    jobs : dict of str to JobState
        Jobs that are not complete, in order of acceptance.
    completed : dict of str to JobSummary
        Complete jobs, the oldest first, at most `MAX_COMPLETED`.
    assigned : dict of str to dict of TaskKey to Assignment
        For each rack, the attempts that may be running.
    waiting : dict of str to set of str
        For each rack, the jobs that have waiting tasks in it.
    requests : RequestMemory
        Decided request ids.
    cancelled : set of str
        Cancelled jobs that still have assigned tasks.
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
    """Return the rack's valid claim, None where it was never claimed."""
    return state.claims.get(rack)


def find_decision(state: DomainState, request_id: str) -> RequestDecision | None:
    """Return what was decided about a request id, None where it isn't remembered."""
    return state.requests.decisions.get(request_id)


def get_assigned(state: DomainState, rack: str) -> Mapping[TaskKey, Assignment]:
    """Return a live view of the attempts that may be running in `rack`."""
    return MappingProxyType(state.assigned.get(rack, {}))


def get_job(state: DomainState, job: str) -> JobState | JobSummary | None:
    """Return a job's state, its summary once complete, or None."""
    return state.jobs.get(job) or state.completed.get(job)


def list_jobs(state: DomainState) -> list[JobState]:
    """Return the jobs that are not complete, in order of acceptance."""
    return list(state.jobs.values())


def iter_waiting(state: DomainState, rack: str) -> Iterator[WaitingTask]:
    """Yield the tasks that may be assigned in `rack`, lazily.

    Parameters
    ----------
    state : DomainState
        Must not be changed while the iterator is in use.
    rack : str
        The rack.

    Yields
    ------
    Waiting
        Jobs in order of acceptance; within one, tasks that were tried go first.

    Notes
    -----
    Costs a sort of the jobs that wait in the rack, and then a constant amount for
    each task that is taken from the iterator.
    """
    jobs = (state.jobs[job] for job in state.waiting.get(rack, ()))
    ordered = sorted(jobs, key=lambda job: (job.offset, job.job.id))
    return chain.from_iterable(iter_job_waiting(job, rack) for job in ordered)


def count_tasks(job: JobState | JobSummary) -> TaskCounts:
    """Return how many tasks of `job` are in each place."""
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
    """Return the assigned tasks of cancelled jobs in `rack`; they have to stop."""
    if not state.cancelled:
        return []
    return [task for task in get_assigned(state, rack) if task.job in state.cancelled]
