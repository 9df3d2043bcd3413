"""Messages that the actors of one process send each other."""

from collections.abc import Callable
from typing import Any, NamedTuple

from plantainyard import state as log_state
from plantainyard.clients import Instance
from plantainyard.execution import CallFailed, WorkerAnswered

__all__ = [
    "ConfigChanged",
    "ConfigConfirmed",
    "InstancesListed",
    "LivePeers",
    "Query",
    "WorkerReply",
    "Stop",
    "SubmitRecord",
    "Tick",
]


class Tick(NamedTuple):
    """Time has passed."""


class Stop(NamedTuple):
    """A planned stop: give up what is owned."""


class SubmitRecord(NamedTuple):
    """Append a record; `on_report` is told what became of it."""

    submit: log_state.Submit
    on_report: Callable[[log_state.AppendReport], None]


class Query(NamedTuple):
    """Run `read` on the actor's state and return its plain values.

    `read` gets the actor's node and the time; it must change nothing and hand out
    nothing that the actor goes on changing.
    """

    read: Callable[[Any, float], Any]


class InstancesListed(NamedTuple):
    """The platform's list was read, here or by the domain's relay."""

    instances: tuple[Instance, ...]
    digest: str = ""


class LivePeers(NamedTuple):
    """Processes of the domain that were heard in time.

    Attributes
    ----------
    live : frozenset of str
        Those that may take duties, this one included.
    draining : frozenset of str
        Those that are stopping as planned and hand their duties over.
    """

    live: frozenset[str]
    draining: frozenset[str] = frozenset()


class ConfigChanged(NamedTuple):
    """All values in force, after an accepted change."""

    values: dict[str, Any]


class ConfigConfirmed(NamedTuple):
    """The configuration was last known to be the newest at `known_at`."""

    confirmed_at: float


class WorkerReply(NamedTuple):
    """A worker's reply under one term of a rack."""

    rack: str
    epoch: int
    event: WorkerAnswered | CallFailed
