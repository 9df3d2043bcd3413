"""Actions that the placement policy asks the owner of a rack to carry out."""

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

    The task occupies the worker from now on. If the assignment fails, the owner sends
    `TaskEnded` with the outcome ``unplaced``.
    """

    task: TaskKey
    attempt: int
    worker: str
    reason: str


class Throttle(NamedTuple):
    """Limit a running task to `share` of its cores; a share of 1 removes the limit."""

    task: TaskKey
    attempt: int
    worker: str
    share: float


class Checkpoint(NamedTuple):
    """Evict a running task: write a checkpoint, then stop it."""

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
    """Report why a job's next task waits; sent whenever the reason changes.

    Attributes
    ----------
    task : TaskKey
        The first waiting task of the job.
    reason : str
        Why the task waits.
    place : int
        Position of the job in the order of waiting jobs, from 1.
    """

    task: TaskKey
    reason: str
    place: int


class GiveUp(NamedTuple):
    """Stop starting a job that failed on several healthy workers.

    The job stays in the state, for `explain`, until the owner sends `Cancelled`.
    """

    job: str
    error: str


class Quarantine(NamedTuple):
    """Place no new tasks on a worker on which tasks of several jobs failed."""

    worker: str
    reason: str


class Probe(NamedTuple):
    """Allow one task on a quarantined worker, to test whether it is healthy."""

    worker: str


class Release(NamedTuple):
    """End the quarantine of a worker that passed its probe."""

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
