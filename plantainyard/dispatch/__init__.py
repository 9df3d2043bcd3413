"""Decisions about one unit's jobs and runners: a function of state, event and time.

The state is a `Dispatcher`; `step` changes it and returns actions. Nothing here has a
clock, a socket or a thread. `docs/design/platform.md` says why it is built so.
"""

from plantainyard.dispatch.dispatcher import Dispatcher, restore_dispatcher, step
from plantainyard.dispatch.events import (
    Action,
    CancelRequested,
    Commit,
    Committed,
    EntryChanged,
    Event,
    Forward,
    Forwarded,
    HandoversConfirmed,
    InterferenceReceived,
    JobStarted,
    JobSubmitted,
    JobSummary,
    LoadsReceived,
    OrderAnswered,
    OrderKind,
    OwnershipRenewed,
    ReportFailed,
    ReportReceived,
    RequestReport,
    SendOrder,
    Tick,
)
from plantainyard.dispatch.forwarding import list_arrivals
from plantainyard.dispatch.limits import Limits, choose_lease
from plantainyard.dispatch.load import NO_RUNNERS_LOAD, Load
from plantainyard.dispatch.state import EMPTY_COUNTS, Counts, count_state

__all__ = [
    "EMPTY_COUNTS",
    "NO_RUNNERS_LOAD",
    "Counts",
    "count_state",
    "Action",
    "JobStarted",
    "CancelRequested",
    "Commit",
    "Committed",
    "HandoversConfirmed",
    "Dispatcher",
    "EntryChanged",
    "Event",
    "Forward",
    "Forwarded",
    "InterferenceReceived",
    "ReportReceived",
    "ReportFailed",
    "JobSummary",
    "Limits",
    "Load",
    "LoadsReceived",
    "OrderAnswered",
    "OrderKind",
    "OwnershipRenewed",
    "RequestReport",
    "SendOrder",
    "JobSubmitted",
    "Tick",
    "choose_lease",
    "list_arrivals",
    "restore_dispatcher",
    "step",
]
