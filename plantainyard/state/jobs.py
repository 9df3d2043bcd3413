"""Folded state of one job, stored compactly for any number of tasks.

A task is in one of five states: waiting and never attempted (stored in a range),
waiting for another attempt, assigned, done, or cancelled. Only tasks that are
assigned or wait for another attempt take memory individually; done and cancelled
tasks are only counted.
"""

from collections.abc import Iterator, Mapping
from itertools import accumulate
from typing import NamedTuple

from plantainyard.state.ranges import Ranges, iter_numbers, remove_number
from plantainyard.work import Job, TaskKey

__all__ = [
    "Assignment",
    "Failure",
    "JobState",
    "JobSummary",
    "Retry",
    "TaskCounts",
    "WaitingTask",
    "allot_tasks",
    "count_waiting",
    "iter_job_waiting",
    "remove_waiting",
]


class Assignment(NamedTuple):
    """An attempt assigned to a worker, the only one that may run it.

    Attributes
    ----------
    attempt : int
        Number of the attempt, starting at one.
    worker : str
        Id of the worker.
    checkpoint : str
        Checkpoint that this attempt resumes from; empty for none.
    incarnation : int
        The worker's incarnation when the attempt was assigned, -1 if it was not known.
        After a restart the worker does not know whether the attempt ran.
    """

    attempt: int
    worker: str
    checkpoint: str = ""
    incarnation: int = -1


class Retry(NamedTuple):
    """A task that waits for another attempt after `attempts` of them ended.

    `failed` is true if the last attempt failed.
    """

    attempts: int
    checkpoint: str = ""
    failed: bool = False


class Failure(NamedTuple):
    """The number of failed attempts of a task, and the last error."""

    failures: int
    error: str


class WaitingTask(NamedTuple):
    """A task that may be assigned.

    Attributes
    ----------
    task : TaskKey
        The task.
    attempt : int
        Number of the next attempt, starting at one.
    checkpoint : str
        Checkpoint to resume from; empty for none.
    error : str
        Error of the last failed attempt; empty for none.
    failures : int
        Number of failed attempts.
    """

    task: TaskKey
    attempt: int
    checkpoint: str
    error: str
    failures: int


class TaskCounts(NamedTuple):
    """Numbers of a job's tasks in each state; the five sum to its task count.

    `failed` counts the tasks whose last attempt failed and that wait for another.
    """

    waiting: int
    assigned: int
    done: int
    failed: int
    cancelled: int


class JobSummary(NamedTuple):
    """The information that is kept about a completed job.

    Attributes
    ----------
    id, name, team : str
        Id, name and team of the job as declared.
    task_count, done, cancelled : int
        Numbers of all tasks, of done tasks and of cancelled tasks.
    accepted, completed : int
        Offsets of the records that accepted and that completed the job.
    latency_critical : bool
        Whether the job was a service.
    """

    id: str
    name: str
    team: str
    task_count: int
    done: int
    cancelled: int
    accepted: int
    completed: int
    latency_critical: bool = False


class JobState:
    """A job that is not complete.

    Attributes
    ----------
    job : Job
        The job as declared.
    offset : int
        Offset of the record that accepted the job.
    unattempted : dict of str to Ranges
        For each rack, the numbers of the waiting tasks that were never assigned.
    retries : dict of str to dict of int to Retry
        For each rack, the tasks that wait for another attempt, by task number.
    failures : dict of int to Failure
        Failures of the tasks that failed at least once and are not done, by number.
    assigned_count, done_count, cancelled_count : int
        Numbers of assigned, done and cancelled tasks.
    cancelled : bool
        True once the job has been cancelled.
    """

    __slots__ = (
        "assigned_count",
        "cancelled",
        "cancelled_count",
        "done_count",
        "failures",
        "job",
        "offset",
        "retries",
        "unattempted",
    )

    def __init__(self, job: Job, offset: int) -> None:
        self.job = job
        self.offset = offset
        self.unattempted: dict[str, Ranges] = {}
        self.retries: dict[str, dict[int, Retry]] = {}
        self.failures: dict[int, Failure] = {}
        self.assigned_count = 0
        self.done_count = 0
        self.cancelled_count = 0
        self.cancelled = False


def allot_tasks(allotment: Mapping[str, int]) -> dict[str, Ranges]:
    """Return each rack's contiguous range of task numbers.

    Parameters
    ----------
    allotment : Mapping of str to int
        Number of tasks for each rack.

    Examples
    --------
    >>> {r: list(iter_numbers(n)) for r, n in allot_tasks({"b": 2, "a": 1}).items()}
    {'a': [0], 'b': [1, 2]}
    """
    racks = sorted(rack for rack, count in allotment.items() if count)
    stops = list(accumulate(allotment[rack] for rack in racks))
    starts = [0, *stops]
    return {
        rack: Ranges([(start, stop)])
        for rack, start, stop in zip(racks, starts, stops, strict=False)
    }


def count_waiting(state: JobState, rack: str) -> int:
    """Return the number of tasks of the job that wait in `rack`."""
    unattempted = state.unattempted.get(rack)
    return (unattempted.count if unattempted else 0) + len(state.retries.get(rack, ()))


def remove_waiting(state: JobState, rack: str, number: int) -> Retry | None:
    """Remove a waiting task from `rack` and return its retry information.

    Returns
    -------
    Retry or None
        The task's attempts so far and its checkpoint; None if the task does not wait
        in this rack.
    """
    unattempted = state.unattempted.get(rack)
    if unattempted is not None and remove_number(unattempted, number):
        if not unattempted.count:
            del state.unattempted[rack]
        return Retry(0)
    retries = state.retries.get(rack)
    if retries is None or number not in retries:
        return None
    retry = retries.pop(number)
    if not retries:
        del state.retries[rack]
    return retry


def iter_job_waiting(state: JobState, rack: str) -> Iterator[WaitingTask]:
    """Lazily yield the tasks of the job that wait in `rack`, retries first."""
    for number, retry in state.retries.get(rack, {}).items():
        failure = state.failures.get(number, Failure(0, ""))
        yield WaitingTask(
            TaskKey(state.job.id, number),
            retry.attempts + 1,
            retry.checkpoint,
            failure.error,
            failure.failures,
        )
    unattempted = state.unattempted.get(rack)
    for number in iter_numbers(unattempted) if unattempted else ():
        yield WaitingTask(TaskKey(state.job.id, number), 1, "", "", 0)
