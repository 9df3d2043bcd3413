"""Decisions about one unit's jobs and runners: a function of state, event and time.

The state is a `Dispatcher`; `step` changes it and returns actions. Nothing here has a
clock, a socket or a thread. `docs/design/platform.md` says why it is built so.
"""

from plantainyard.dispatch.dispatcher import Dispatcher, restore_dispatcher, step
from plantainyard.dispatch.events import (
    Action,
    Begun,
    Cancelled,
    Commit,
    Committed,
    Delivered,
    EntryChanged,
    Event,
    Forward,
    Forwarded,
    HarmsTold,
    HoldAnswered,
    HoldFailed,
    JobSummary,
    LoadsTold,
    OrderAnswered,
    OrderKind,
    Renewed,
    SendHold,
    SendOrder,
    Submitted,
    Tick,
)
from plantainyard.dispatch.forwarding import list_arrived
from plantainyard.dispatch.limits import Limits, choose_lease
from plantainyard.dispatch.load import NO_RUNNERS_LOAD, Load
from plantainyard.dispatch.state import EMPTY_COUNTS, Counts, count_state

__all__ = [
    "EMPTY_COUNTS",
    "NO_RUNNERS_LOAD",
    "Counts",
    "count_state",
    "Action",
    "Begun",
    "Cancelled",
    "Commit",
    "Committed",
    "Delivered",
    "Dispatcher",
    "EntryChanged",
    "Event",
    "Forward",
    "Forwarded",
    "HarmsTold",
    "HoldAnswered",
    "HoldFailed",
    "JobSummary",
    "Limits",
    "Load",
    "LoadsTold",
    "OrderAnswered",
    "OrderKind",
    "Renewed",
    "SendHold",
    "SendOrder",
    "Submitted",
    "Tick",
    "choose_lease",
    "list_arrived",
    "restore_dispatcher",
    "step",
]
