"""Events that the dispatcher handles: what it learns from its surroundings."""

from collections.abc import Sequence
from typing import NamedTuple

from plantainyard.batch.tasks import TaskKey
from plantainyard.batch.values import PieceResult, Submission
from plantainyard.dispatch.load import Load
from plantainyard.dispatch.policy import SchedulingPolicy
from plantainyard.platform.entries import RunnerEntry
from plantainyard.platform.runner_messages import OrderResult, RunnerReport

__all__ = [
    "CancelRequested",
    "Committed",
    "EntryChanged",
    "EvacuationsRead",
    "Event",
    "Forwarded",
    "InterferenceReceived",
    "JobSubmitted",
    "LeasesReported",
    "LoadsReceived",
    "OrderAnswered",
    "OwnershipRenewed",
    "PieceEnded",
    "PolicyChanged",
    "PredecessorEnded",
    "ReportFailed",
    "ReportReceived",
    "Tick",
]


class JobSubmitted(NamedTuple):
    """A job was stored."""

    submission: Submission


class CancelRequested(NamedTuple):
    """A request to cancel a job was stored."""

    job_id: str


class PieceEnded(NamedTuple):
    """Another unit has stored what has become of a task that was handed over to it."""

    piece_id: str
    result: PieceResult


class EntryChanged(NamedTuple):
    """A runner's entry in the store was written, or removed (None)."""

    runner: str
    entry: RunnerEntry | None


class Committed(NamedTuple):
    """The records of the last `Commit` were stored.

    Attributes
    ----------
    too_large : frozenset of str
        Jobs with progress that fits into no record, and wasn't stored.
    """

    too_large: frozenset[str] = frozenset()


class OrderAnswered(NamedTuple):
    """An order was answered, or its answer or the order itself was lost."""

    kind: str
    task: TaskKey
    run: int
    incarnation: str
    result: OrderResult
    sent_at: float


class ReportReceived(NamedTuple):
    """A runner answered a request for a report."""

    incarnation: str
    report: RunnerReport
    sent_at: float


class ReportFailed(NamedTuple):
    """A runner didn't answer a request for a report, or refused it.

    Attributes
    ----------
    other_incarnation : bool
        Whether another incarnation of the runner answered at its address.
    """

    incarnation: str
    sent_at: float
    detail: str
    other_incarnation: bool = False


class OwnershipRenewed(NamedTuple):
    """The group confirmed that this instance owns the unit.

    Attributes
    ----------
    sent_at : float
        When the renewal was sent.
    """

    sent_at: float


class EvacuationsRead(NamedTuple):
    """All evacuations that operators have requested were read.

    Attributes
    ----------
    domains : frozenset of str
        The evacuated failure domains.
    read_at : float
        When the reading began; requests that were stored later may be missing.
    """

    domains: frozenset[str]
    read_at: float


class LeasesReported(NamedTuple):
    """The predecessor has released the unit, and reported which leases remain.

    Attributes
    ----------
    remaining_s : dict
        By runner id: time after which nothing that the predecessor or an earlier owner
        ordered can still be running there. A missing runner is unknown to it.
    """

    remaining_s: dict[str, float]


class PredecessorEnded(NamedTuple):
    """The process that owned the unit before has ended without a report.

    Attributes
    ----------
    ended_s : float
        Time in seconds for which it has granted nothing, at least.
    """

    ended_s: float


class Forwarded(NamedTuple):
    """The records of a `Forward` were stored in their unit.

    Attributes
    ----------
    keys : sequence of str
        Keys of the records.
    """

    keys: Sequence[str]


class LoadsReceived(NamedTuple):
    """The owners of other units reported the loads of their units.

    Attributes
    ----------
    loads : dict of int to Load
        The loads by unit.
    asked_at : float
        When they were requested.
    """

    loads: dict[int, Load]
    asked_at: float = 0.0


class InterferenceReceived(NamedTuple):
    """The owners of other units sent their encoded interference models."""

    records: list[bytes]


class PolicyChanged(NamedTuple):
    """Operators have changed the scheduling policy."""

    policy: SchedulingPolicy


class Tick(NamedTuple):
    """Time has passed; sent at regular intervals.

    Attributes
    ----------
    sent_at : float
        When it was sent; 0 if that doesn't matter.
    """

    sent_at: float = 0.0


Event = (
    JobSubmitted
    | CancelRequested
    | PieceEnded
    | EntryChanged
    | Committed
    | OrderAnswered
    | ReportReceived
    | ReportFailed
    | OwnershipRenewed
    | PolicyChanged
    | EvacuationsRead
    | Forwarded
    | LeasesReported
    | PredecessorEnded
    | LoadsReceived
    | InterferenceReceived
    | Tick
)
