"""Events that `step` takes for a rack, and the actions that it returns."""

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
    """The rack's workers, from the delayed instance list and operators' settings.

    Attributes
    ----------
    workers : tuple of WorkerInfo
        Workers that are live or leaving.
    terminated : frozenset of str
        Ids of workers that are guaranteed to run nothing any more.
    """

    workers: tuple[WorkerInfo, ...]
    terminated: frozenset[str] = frozenset()


class WorkerAnswered(NamedTuple):
    """A worker responded to a call.

    Attributes
    ----------
    worker : str
        Id of the worker.
    answer : WorkerResponse
        Its response.
    sent_at : float
        Owner's clock just before the call was sent.
    fencing : bool
        Whether the call carried commands under the owner's epoch.
    """

    worker: str
    answer: WorkerResponse
    sent_at: float
    fencing: bool


class CallFailed(NamedTuple):
    """A call to a worker failed without a response."""

    worker: str
    error: CallError


class Tick(NamedTuple):
    """Time has passed, or records of the log were folded."""


class Call(NamedTuple):
    """Send `commands` to a worker, or read its state if they are None."""

    worker: str
    address: str
    commands: Commands | None


class AppendResults(NamedTuple):
    """Append the results of ended attempts to the log as one record."""

    items: tuple[ResultItem, ...]


class Fenced(NamedTuple):
    """A worker accepted the epoch in a call that was sent at `sent_at`."""

    worker: str
    sent_at: float


class Superseded(NamedTuple):
    """A worker holds a newer epoch: another instance has taken over the rack."""

    worker: str
    epoch: int
    holder: str


Event = WorkersListed | WorkerAnswered | CallFailed | Tick
Action = Call | AppendResults | Fenced | Superseded
