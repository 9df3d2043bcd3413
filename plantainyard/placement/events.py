"""Events that drive placement, sent by the owner of a rack.

Every event is an immutable value. Times are float seconds on the caller's clock. A
report carries the time of the measurement, not the time at which it arrived.
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
    """Outcomes of an attempt.

    Notes
    -----
    ``DONE``
        Ran to completion.
    ``FAILED``
        Ran and failed; counts against the job, the worker, or both.
    ``EVICTED``
        Checkpointed and stopped.
    ``LAPSED``
        The lease has certainly expired without a report from the worker.
    ``REFUSED``
        The worker did not start the task. The attempt is used up, but counts against
        neither the job nor the worker.
    ``UNPLACED``
        The task was never assigned, since the record was lost or failed. The attempt
        number is used again.
    ``CANCELLED``
        Stopped on request; the task doesn't wait again.
    """

    DONE = "done"
    FAILED = "failed"
    EVICTED = "evicted"
    LAPSED = "lapsed"
    REFUSED = "refused"
    UNPLACED = "unplaced"
    CANCELLED = "cancelled"


class WorkersChanged(NamedTuple):
    """The complete list of workers under this owner.

    A worker that is missing from the list takes no more tasks. Tasks that run there
    remain accounted for until their `TaskEnded` arrives.
    """

    workers: tuple[WorkerInfo, ...]


class TasksWaiting(NamedTuple):
    """Tasks ``first`` to ``stop - 1`` of `job` wait to be placed.

    One event covers a whole job, whatever its size. Tasks that are already waiting or
    placed are left unchanged, so that the event is idempotent.

    Attributes
    ----------
    job : Job
        The job, with its declared size and constraints.
    first, stop : int
        Range of task numbers.
    attempt : int
        Attempt number of the next placement.
    since : float
        Time at which the tasks began to wait.
    failures : int
        Earlier failures of the tasks, which a new owner reads from the log.
    """

    job: Job
    first: int
    stop: int
    attempt: int = 1
    since: float = 0.0
    failures: int = 0


class TasksGone(NamedTuple):
    """Tasks ``first`` to ``stop - 1`` of a job no longer wait under this owner."""

    job: str
    first: int
    stop: int


class TaskStarted(NamedTuple):
    """A worker runs an attempt; also sent by a new owner for tasks that already run.

    Attributes
    ----------
    job : Job
        The task's job.
    number, attempt : int
        The task's number within the job, and its attempt.
    worker : str
        Worker on which it runs.
    """

    job: Job
    number: int
    attempt: int
    worker: str


class TaskEnded(NamedTuple):
    """An attempt has certainly ended.

    After every outcome except ``done`` and ``cancelled`` the task waits again without
    another event, with the next attempt number (the same one after ``unplaced``). An
    event for an attempt other than the placed one is ignored.

    Attributes
    ----------
    task : TaskKey
        The task.
    attempt : int
        The attempt that ended.
    worker : str
        Worker on which it was placed.
    outcome : str
        One of the names in `Outcome`.
    detail : str
        Error text, or the id of the checkpoint.
    """

    task: TaskKey
    attempt: int
    worker: str
    outcome: str
    detail: str = ""


class UsageReported(NamedTuple):
    """A delayed measurement of one running task.

    Attributes
    ----------
    worker : str
        The reporting worker.
    task : TaskKey
        The measured task.
    time_s : float
        Time of the measurement, on the caller's clock.
    cores, memory_gb : float
        Measured use of resources.
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

    The caller divides a team's quota between owners ahead of time, so that each owner
    can use its share without coordination. A team without an entry is not limited.
    """

    shares: dict[str, Size]


class WeightsChanged(NamedTuple):
    """An operator has changed the weights of the objectives."""

    weights: Weights


class Cancelled(NamedTuple):
    """Any number of jobs have been cancelled."""

    jobs: tuple[str, ...]


class Tick(NamedTuple):
    """Time has passed: make all pending decisions."""


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
