"""Actions that the dispatcher returns: what to store, send, log and tell others."""

from collections.abc import Mapping, Sequence
from types import MappingProxyType
from typing import NamedTuple

from plantainyard.batch.tasks import TaskKey
from plantainyard.platform.entries import RunnerEntry
from plantainyard.platform.store_messages import Record

__all__ = [
    "Action",
    "Commit",
    "Forward",
    "GiveUpReason",
    "HandoversConfirmed",
    "JobSetAside",
    "JobStarted",
    "JobSummary",
    "OrderKind",
    "ReleaseReason",
    "RequestReport",
    "RoomReleased",
    "RoomReserved",
    "RunGivenUp",
    "RunnerSlow",
    "RunnerTrusted",
    "SendOrder",
    "TaskMovedForRoom",
]


class OrderKind:
    """Kinds of orders about a run."""

    START = "start"
    STOP = "stop"
    PACE = "pace"


class JobSummary(NamedTuple):
    """Outcome and time of a job that has ended.

    Attributes
    ----------
    job_id, state : str
        The job and its final state.
    queue : str
        Queue of the job.
    intake_s : float
        Time from its acceptance until this owner read it, by wall clocks that may
        differ.
    duration_s : float
        Time until its end since this owner read it or, if a predecessor had read it,
        since its acceptance.
    lateness_s : float
        Time by which it ended after its estimated deadline; negative if it was in time.
    task_time_s : dict
        Task-seconds by `timing.TimePart`, since this owner took over.
    lost_runs : dict
        Number of runs since then that didn't complete, by outcome.
    path_s : mapping of str to float
        Time from its acceptance to the storing of its end along its critical path, by
        `critical_path.PathPart`; empty if it didn't end by its last task.
    estimate : mapping of str to float
        What decided about its deadline; see `measured_runs.summarize_estimate`.
    """

    job_id: str
    state: str
    queue: str
    intake_s: float
    duration_s: float
    lateness_s: float
    task_time_s: dict[str, float]
    lost_runs: dict[str, int]
    path_s: Mapping[str, float] = MappingProxyType({})
    estimate: Mapping[str, float] = MappingProxyType({})


class Commit(NamedTuple):
    """Store records, then send `Committed`; commits are stored one at a time, in order.

    Attributes
    ----------
    records : sequence of Record
        Records to store.
    summaries : sequence of JobSummary
        Summaries of the jobs whose ends are among the records, for logs and metrics.
    """

    records: Sequence[Record]
    summaries: Sequence[JobSummary] = ()


class JobStarted(NamedTuple):
    """Record that the first task of a job has started.

    Attributes
    ----------
    job_id : str
        The job, or the task that was handed over on its own.
    waited_s : float
        Time since this owner received the job.
    """

    job_id: str
    waited_s: float


class GiveUpReason:
    """Reasons why an owner gives up a run other than its reported end.

    Notes
    -----
    ``LEASE_EXPIRED``
        The bound on all leases that the runner may hold has passed.
    ``REFUSED``
        The runner refused the start.
    ``START_EXPIRED``
        The runner didn't carry the start out before the lease in it ended.
    ``MISSING``
        A report that would have to list the run doesn't.
    ``STOPPED``
        The same after a stop was answered.
    ``RUNNER_REPLACED``
        The run's incarnation of the runner has ended.
    ``OTHER_INCARNATION``
        A later incarnation has carried the start out; the task waits until that run has
        surely ended.
    ``NOT_SENT``
        The start was never sent: the runner doesn't answer, or the job has ended.
    ``EVACUATED``
        The start was never sent: nothing may start in the runner's failure domain any
        more, or this is unknown.
    """

    LEASE_EXPIRED = "lease expired"
    REFUSED = "refused"
    START_EXPIRED = "start expired"
    MISSING = "missing in report"
    STOPPED = "stop confirmed"
    RUNNER_REPLACED = "runner replaced"
    OTHER_INCARNATION = "carried out by a later incarnation"
    NOT_SENT = "not sent"
    EVACUATED = "domain evacuated"


class RunGivenUp(NamedTuple):
    """Record that a run was given up, so that its task may start again.

    Attributes
    ----------
    task, run : TaskKey, int
        The run.
    incarnation : str
        Runner incarnation that had or may have had it.
    why : str
        One of `GiveUpReason`.
    """

    task: TaskKey
    run: int
    incarnation: str
    why: str


class RunnerSlow(NamedTuple):
    """Record that a runner is slower than others; see `health`.

    Attributes
    ----------
    incarnation : str
        The runner.
    ratio : float
        Smoothed factor by which its tasks take longer than their siblings elsewhere.
    slow_tasks, tasks : float
        Weight of the tasks beyond the ratio of the policy, and of all compared tasks.
    age_s : float
        Age of the newest comparison.
    """

    incarnation: str
    ratio: float
    slow_tasks: float
    tasks: float
    age_s: float


class RunnerTrusted(NamedTuple):
    """Record that a slow runner is used like others again.

    Attributes
    ----------
    incarnation : str
        The runner.
    why : str
        ``tasks`` if its tasks are as fast as others, ``probe`` if a probe task was.
    ratio : float
        Smoothed factor by which its tasks take longer now.
    slow_s : float
        Time for which it counted as slow.
    """

    incarnation: str
    why: str
    ratio: float
    slow_s: float


class RoomReserved(NamedTuple):
    """Record that a runner was reserved for a task that couldn't be placed.

    Attributes
    ----------
    task, runner : TaskKey, str
        The waiting task, and the incarnation of the runner.
    waited_s : float
        Time for which it has waited.
    wanted_cpu, free_cpu : int
        Thousandths of a core that it needs, and that are unreserved at the runner.
    moves : int
        Number of long-running tasks that are to give way.
    ready_s : float
        Estimated time until the task fits.
    report_age_s : float
        Age of the runner's last report.
    reserved : int
        Number of reserved runners, with this one.
    """

    task: TaskKey
    runner: str
    waited_s: float
    wanted_cpu: int
    free_cpu: int
    moves: int
    ready_s: float
    report_age_s: float
    reserved: int


class ReleaseReason:
    """Reasons why a reservation ends.

    Notes
    -----
    ``STARTED``
        A task of its step was assigned there, or its own task elsewhere.
    ``NOT_WAITING``
        Its task no longer waits here: the job has ended or was handed over.
    ``RUNNER``
        The runner left, fell silent, drains, or is evacuated.
    ``EXPIRED``
        The longest time for a reservation has passed.
    ``TOO_MANY``
        The unit has fewer runners than before.
    ``NO_MOVE``
        A task that was to give way can't be moved any more, or the store didn't answer
        in time.
    ``SWITCHED_OFF``
        The part was switched off.
    """

    STARTED = "started"
    NOT_WAITING = "not waiting"
    RUNNER = "runner not usable"
    EXPIRED = "expired"
    TOO_MANY = "too many reserved"
    NO_MOVE = "can't be moved"
    SWITCHED_OFF = "switched off"


class RoomReleased(NamedTuple):
    """Record that the reservation of a runner ended.

    Attributes
    ----------
    task, runner : TaskKey, str
        The task that it was meant for, and the incarnation of the runner.
    why : str
        One of `ReleaseReason`.
    held_s : float
        How long the runner was reserved.
    free_cpu : int
        Thousandths of a core that are unreserved at the runner.
    """

    task: TaskKey
    runner: str
    why: str
    held_s: float
    free_cpu: int


class JobSetAside(NamedTuple):
    """Record that an exception was raised while the owner worked on a job.

    Attributes
    ----------
    job_id : str
        The job.
    why : str
        End of the traceback.
    pause_s : float
        Time for which nothing is done about the job; 0 if it ends as failed.
    exceptions : int
        Number of exceptions so far.
    """

    job_id: str
    why: str
    pause_s: float
    exceptions: int


class TaskMovedForRoom(NamedTuple):
    """Record that a long-running task is stopped to make room for a large task.

    Attributes
    ----------
    task, run : TaskKey, int
        The run that is stopped.
    source, target : str
        Incarnations of its runner and of the one where resources are held for it.
    cpu : int
        Thousandths of a core that the task reserves.
    room_for : TaskKey
        The task that waits for the room.
    decided_s_ago : float
        Time since the decision; the store has answered in the meantime.
    renewed_s_ago : float
        Time since the last renewal of the ownership.
    """

    task: TaskKey
    run: int
    source: str
    target: str
    cpu: int
    room_for: TaskKey
    decided_s_ago: float
    renewed_s_ago: float


class HandoversConfirmed(NamedTuple):
    """Record that jobs that were handed over are known to their new units."""

    job_ids: Sequence[str]


class Forward(NamedTuple):
    """Store records in the intake of another unit, in order, until it succeeds."""

    unit: int
    records: Sequence[Record]


class SendOrder(NamedTuple):
    """Send an order about a run, then send `OrderAnswered`.

    Attributes
    ----------
    kind : str
        One of `OrderKind`.
    entry : RunnerEntry
        Incarnation of the runner that the order is addressed to.
    task, run : TaskKey, int
        The task and the number of its run.
    fence : int
        Fencing token of the order.
    spec, lease_until_ms, checkpoint, percent
        See `plantainyard.platform.Order`.
    """

    kind: str
    entry: RunnerEntry
    task: TaskKey
    run: int
    fence: int = 0
    spec: str = ""
    lease_until_ms: int = 0
    checkpoint: str = ""
    percent: int = 100


class RequestReport(NamedTuple):
    """Request a runner's report, then send `ReportReceived` or `ReportFailed`."""

    entry: RunnerEntry
    last_seen: int
    lease_until_ms: int
    wait_s: float
    fence: int = 0


Action = (
    JobStarted
    | RunGivenUp
    | RunnerSlow
    | RunnerTrusted
    | RoomReserved
    | RoomReleased
    | TaskMovedForRoom
    | JobSetAside
    | Commit
    | HandoversConfirmed
    | Forward
    | SendOrder
    | RequestReport
)
