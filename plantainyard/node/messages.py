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
    """A planned stop: hand over or release the owned racks."""


class SubmitRecord(NamedTuple):
    """Append a record; `on_report` is called with each report of its status."""

    submit: log_state.Submit
    on_report: Callable[[log_state.AppendReport], None]


class Query(NamedTuple):
    """Run `read` on the actor's state and return its plain values.

    `read` is called with the actor and the time. It must not change the state, nor
    return objects that the actor changes later.
    """

    read: Callable[[Any, float], Any]


class InstancesListed(NamedTuple):
    """The platform's instance list, read here or by the domain's relay."""

    instances: tuple[Instance, ...]
    digest: str = ""


class LivePeers(NamedTuple):
    """Processes of the domain whose last heartbeat is within the silence bound.

    Attributes
    ----------
    live : frozenset of str
        Processes that may own racks, including this one.
    draining : frozenset of str
        Processes that are stopping as planned and hand over their racks.
    """

    live: frozenset[str]
    draining: frozenset[str] = frozenset()


class ConfigChanged(NamedTuple):
    """All configuration values in force after an accepted change."""

    values: dict[str, Any]


class ConfigConfirmed(NamedTuple):
    """The configuration was last known to be the newest at `confirmed_at`."""

    confirmed_at: float


class WorkerReply(NamedTuple):
    """The outcome of a call to a worker, made under one term of a rack."""

    rack: str
    epoch: int
    event: WorkerAnswered | CallFailed
