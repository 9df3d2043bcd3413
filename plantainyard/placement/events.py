"""Events that drive placement: what the owner of a rack has learnt.

Every event is an immutable value. Times are float seconds on the caller's clock;
a report names the time it is *about*, not the time at which it arrived.
"""

from typing import NamedTuple

from plantainyard.placement.settings import Weights
from plantainyard.work import Job, Size, TaskKey, WorkerInfo

__all__ = [
    "Cancelled",
    "Event",
    "Outcome",
    "QuotasChanged",
    "TaskEnded",
    "TaskStarted",
    "TasksGone",
    "TasksWaiting",
    "Tick",
    "UsageReported",
    "WeightsChanged",
    "WorkerBack",
    "WorkerSuspect",
    "WorkersChanged",
]


class Outcome:
    """Names of the ways in which an attempt ends.

    Notes
    -----
    ``DONE``
        Ran to completion.
    ``FAILED``
        Ran and failed; counts against the job or the worker.
    ``EVICTED``
        Checkpointed and stopped.
    ``LAPSED``
        Its lease ended for certain without a word from the worker.
    ``REFUSED``
        The worker did not start it; the attempt is used up, nobody is blamed.
    ``UNPLACED``
        It was never assigned (the record lost or failed); the attempt is free.
    ``CANCELLED``
        Stopped on request; it does not wait again.
    """

    DONE = "done"
    FAILED = "failed"
    EVICTED = "evicted"
    LAPSED = "lapsed"
    REFUSED = "refused"
    UNPLACED = "unplaced"
    CANCELLED = "cancelled"


class WorkersChanged(NamedTuple):
    """The whole list of the workers under this owner.

    A worker that is missing from the list takes no more tasks; what runs there stays
    accounted for until its `TaskEnded` arrives.
    """

    workers: tuple[WorkerInfo, ...]


class TasksWaiting(NamedTuple):
    """Tasks ``first`` to ``stop - 1`` of `job` wait to be placed.

    One event covers a whole job, whatever its size. Tasks that are already known,
    waiting or placed, are left as they are, so that a repeat does no harm.

    Attributes
    ----------
    job : Job
        The job, with its declared size and constraints.
    first, stop : int
        Range of task numbers.
    attempt : int
        Attempt that the next placement will have.
    since : float
        When the tasks began to wait.
    failures : int
        Earlier failures of the tasks, as a new owner learns them from the log.
    """

    job: Job
    first: int
    stop: int
    attempt: int = 1
    since: float = 0.0
    failures: int = 0


class TasksGone(NamedTuple):
    """Tasks ``first`` to ``stop - 1`` of a job no longer wait here."""

    job: str
    first: int
    stop: int


class TaskStarted(NamedTuple):
    """A worker runs an attempt; also how a new owner learns what already runs.

    Attributes
    ----------
    job : Job
        The task's job.
    number, attempt : int
        The task's number within the job, and its attempt.
    worker : str
        Where it runs.
    """

    job: Job
    number: int
    attempt: int
    worker: str


class TaskEnded(NamedTuple):
    """An attempt has ended for certain.

    After every outcome but ``done`` and ``cancelled`` the task waits again by itself,
    with the next attempt (the same one after ``unplaced``). An event for an attempt
    other than the placed one is ignored.

    Attributes
    ----------
    task : TaskKey
        The task.
    attempt : int
        The attempt that ended.
    worker : str
        Where it was placed.
    outcome : str
        One of the names in `Outcome`.
    detail : str
        Error text, or the checkpoint's id.
    """

    task: TaskKey
    attempt: int
    worker: str
    outcome: str
    detail: str = ""


class UsageReported(NamedTuple):
    """A late measurement of one running task.

    Attributes
    ----------
    worker : str
        The reporting worker.
    task : TaskKey
        The measured task.
    time_s : float
        Time that the measurement is about, on the caller's clock.
    cores, memory_gb : float
        Measured use.
    latency_ms : float
        99th percentile of a runner's request latency; zero for batch tasks.
    """

    worker: str
    task: TaskKey
    time_s: float
    cores: float
    memory_gb: float
    latency_ms: float = 0.0


class WorkerSuspect(NamedTuple):
    """A worker has not answered in time; it takes no new tasks."""

    worker: str


class WorkerBack(NamedTuple):
    """A suspected worker answers again."""

    worker: str


class QuotasChanged(NamedTuple):
    """Teams' shares of the capacity under this owner.

    The caller divides a team's quota over owners ahead of time; each spends its own
    share without asking. A team without an entry is not limited.
    """

    shares: dict[str, Size]


class WeightsChanged(NamedTuple):
    """An operator changed what the policy should favour."""

    weights: Weights


class Cancelled(NamedTuple):
    """Jobs were cancelled, any number in one event."""

    jobs: tuple[str, ...]


class Tick(NamedTuple):
    """Time has passed; decide now."""


Event = (
    WorkersChanged
    | TasksWaiting
    | TasksGone
    | TaskStarted
    | TaskEnded
    | UsageReported
    | WorkerSuspect
    | WorkerBack
    | QuotasChanged
    | WeightsChanged
    | Cancelled
    | Tick
)
