"""What the dispatcher is told and what it asks for."""

from collections.abc import Sequence
from typing import NamedTuple

from plantainyard.batch.tasks import TaskKey
from plantainyard.batch.values import Submission
from plantainyard.dispatch.load import Load
from plantainyard.platform.entries import RunnerEntry
from plantainyard.platform.runners import OrderResult, RunnerReport
from plantainyard.platform.store import Record

__all__ = [
    "Action",
    "JobStarted",
    "CancelRequested",
    "Commit",
    "HandoversConfirmed",
    "Committed",
    "EntryChanged",
    "Event",
    "Forward",
    "Forwarded",
    "InterferenceReceived",
    "ReportReceived",
    "ReportFailed",
    "JobSummary",
    "LoadsReceived",
    "OrderAnswered",
    "OrderKind",
    "OwnershipRenewed",
    "RequestReport",
    "SendOrder",
    "JobSubmitted",
    "Tick",
]


class OrderKind:
    """Names of the orders about a run."""

    START = "start"
    STOP = "stop"
    PACE = "pace"


class JobSubmitted(NamedTuple):
    """A job is in the store."""

    submission: Submission


class CancelRequested(NamedTuple):
    """A request to cancel a job is in the store."""

    job_id: str


class EntryChanged(NamedTuple):
    """A runner's entry was written, or removed (None)."""

    runner: str
    entry: RunnerEntry | None


class Committed(NamedTuple):
    """The records of the last `Commit` are in the store."""


class OrderAnswered(NamedTuple):
    """An order was answered, or certainly or possibly lost."""

    kind: str
    task: TaskKey
    run: int
    incarnation: str
    result: OrderResult
    sent_at: float


class ReportReceived(NamedTuple):
    """A runner has reported."""

    incarnation: str
    report: RunnerReport
    sent_at: float


class ReportFailed(NamedTuple):
    """A runner's report didn't come.

    Attributes
    ----------
    other_incarnation : bool
        The address answered for another life of the runner.
    """

    incarnation: str
    sent_at: float
    detail: str
    other_incarnation: bool = False


class OwnershipRenewed(NamedTuple):
    """The group has confirmed the ownership.

    Attributes
    ----------
    sent_at : float
        When it was asked.
    """

    sent_at: float


class Forwarded(NamedTuple):
    """The records of a `Forward` are stored in their unit.

    Attributes
    ----------
    keys : sequence of str
        Their keys.
    """

    keys: Sequence[str]


class LoadsReceived(NamedTuple):
    """The owners of other units have told how full those are."""

    loads: dict[int, Load]


class InterferenceReceived(NamedTuple):
    """The owners of other units have told what they have learnt of interference."""

    records: list[bytes]


class Tick(NamedTuple):
    """Time has passed."""


Event = (
    JobSubmitted
    | CancelRequested
    | EntryChanged
    | Committed
    | OrderAnswered
    | ReportReceived
    | ReportFailed
    | OwnershipRenewed
    | Forwarded
    | LoadsReceived
    | InterferenceReceived
    | Tick
)


class JobSummary(NamedTuple):
    """What became of a job.

    Attributes
    ----------
    job_id, state : str
        The job and its final state.
    duration_s, lateness_s : float
        From its acceptance to its end, and by how much that is over its objective as
        far as estimates tell; negative where it is in time.
    task_time_s : dict
        Seconds of its tasks by `timing.TimePart`, since this owner took over.
    lost_runs : dict
        Runs since then that ended otherwise than done, by how they ended.
    """

    job_id: str
    state: str
    duration_s: float
    lateness_s: float
    task_time_s: dict[str, float]
    lost_runs: dict[str, int]


class Commit(NamedTuple):
    """Store records, then say `Committed`; one at a time, in order.

    Attributes
    ----------
    records : sequence of Record
        What to store.
    summaries : sequence of JobSummary
        Of the jobs whose ends are among them, for logs and meters.
    """

    records: Sequence[Record]
    summaries: Sequence[JobSummary] = ()


class JobStarted(NamedTuple):
    """A task of a job is known to have started, for the first time.

    Attributes
    ----------
    job_id : str
        The job, or the task that was handed over alone.
    waited_s : float
        Since this owner took the job in.
    """

    job_id: str
    waited_s: float


class HandoversConfirmed(NamedTuple):
    """Jobs that were handed over are known in their new units."""

    job_ids: Sequence[str]


class Forward(NamedTuple):
    """Store records among what another unit takes in, in order, until it is done."""

    unit: int
    records: Sequence[Record]


class SendOrder(NamedTuple):
    """Send an order about a run and say `OrderAnswered`.

    Attributes
    ----------
    kind : str
        One of `OrderKind`.
    entry : RunnerEntry
        The runner's life that it is meant for.
    task, run : TaskKey, int
        The run.
    spec, lease_until_ms, checkpoint, percent
        See `plantainyard.platform.Order`.
    """

    kind: str
    entry: RunnerEntry
    task: TaskKey
    run: int
    spec: str = ""
    lease_until_ms: int = 0
    checkpoint: str = ""
    percent: int = 100


class RequestReport(NamedTuple):
    """Ask a runner for its report; say `ReportReceived` or `ReportFailed`."""

    entry: RunnerEntry
    last_seen: int
    lease_until_ms: int
    wait_s: float


Action = JobStarted | Commit | HandoversConfirmed | Forward | SendOrder | RequestReport
