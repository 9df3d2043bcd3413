"""Events and actions of a rack's step."""

from typing import NamedTuple

from plantainyard.clients import Commands, WorkerResponse
from plantainyard.errors import CallError
from plantainyard.state import (
    ResultItem,
)
from plantainyard.work import WorkerInfo

__all__ = [
    "Action",
    "AppendResults",
    "Call",
    "CallFailed",
    "Event",
    "Fenced",
    "Superseded",
    "Tick",
    "WorkerAnswered",
    "WorkersListed",
]


class WorkersListed(NamedTuple):
    """The rack's workers, by the lagging list and the operators' word.

    Attributes
    ----------
    workers : tuple of WorkerInfo
        Workers that are live or leaving.
    gone : frozenset of str
        Identifiers of workers vouched to run nothing any more.
    """

    workers: tuple[WorkerInfo, ...]
    terminated: frozenset[str] = frozenset()


class WorkerAnswered(NamedTuple):
    """A worker answered; `sent_at` is the owner's clock before the sending."""

    worker: str
    answer: WorkerResponse
    sent_at: float
    fencing: bool


class CallFailed(NamedTuple):
    """A call to a worker brought no answer."""

    worker: str
    error: CallError


class Tick(NamedTuple):
    """Time has passed or the log's view has advanced."""


class Call(NamedTuple):
    """Send `commands` to a worker, or read its state where they are None."""

    worker: str
    address: str
    commands: Commands | None


class AppendResults(NamedTuple):
    """Write ended attempts to the log as one record."""

    items: tuple[ResultItem, ...]


class Fenced(NamedTuple):
    """A worker accepted the epoch in a call sent at `sent_at`."""

    worker: str
    sent_at: float


class Superseded(NamedTuple):
    """A worker holds a newer epoch: another instance has taken the rack."""

    worker: str
    epoch: int
    holder: str


Event = WorkersListed | WorkerAnswered | CallFailed | Tick
Action = Call | AppendResults | Fenced | Superseded
