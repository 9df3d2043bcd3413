"""Actions that placement asks the owner of a rack to carry out."""

from typing import NamedTuple

from plantainyard.work import TaskKey

__all__ = [
    "Action",
    "Checkpoint",
    "GiveUp",
    "HoldBack",
    "Place",
    "Probe",
    "Quarantine",
    "Release",
    "Stop",
    "Throttle",
]


class Place(NamedTuple):
    """Assign an attempt of a task to a worker, then start it.

    The task occupies the worker from now on. If the assignment fails, the owner answers
    with `TaskEnded` and the outcome ``unplaced``.
    """

    task: TaskKey
    attempt: int
    worker: str
    reason: str


class Throttle(NamedTuple):
    """Limit a running task to `share` of its cores; 1 lifts the limit."""

    task: TaskKey
    attempt: int
    worker: str
    share: float


class Checkpoint(NamedTuple):
    """Checkpoint a running task, then stop it (an eviction)."""

    task: TaskKey
    attempt: int
    worker: str
    reason: str


class Stop(NamedTuple):
    """Stop an attempt of a cancelled job."""

    task: TaskKey
    attempt: int
    worker: str


class HoldBack(NamedTuple):
    """A job's next task waits; sent when the reason changes.

    Attributes
    ----------
    task : TaskKey
        The first waiting task of the job.
    reason : str
        Why it waits.
    place : int
        The job's place in the order, from 1.
    """

    task: TaskKey
    reason: str
    place: int


class GiveUp(NamedTuple):
    """A job failed on several sound workers; it is started no more.

    The job stays known, for `explain`, until the owner answers with `Cancelled`.
    """

    job: str
    error: str


class Quarantine(NamedTuple):
    """A worker fails many kinds of work; it takes no new tasks."""

    worker: str
    reason: str


class Probe(NamedTuple):
    """A quarantined worker is open to one task, to see whether it is sound."""

    worker: str


class Release(NamedTuple):
    """A quarantined worker passed its probe."""

    worker: str


Action = (
    Place
    | Throttle
    | Checkpoint
    | Stop
    | HoldBack
    | GiveUp
    | Quarantine
    | Probe
    | Release
)
