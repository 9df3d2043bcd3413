"""Scheduling of one unit's jobs on its runners, as a function of state, event and time.

`step` updates the state, a `Dispatcher`, and returns the actions to carry out. The
package uses no clock, sockets or threads of its own; `docs/design/platform.md` gives
the reasons for this design.
"""

from plantainyard.dispatch.actions import (
    Action,
    Commit,
    Forward,
    GiveUpReason,
    HandoversConfirmed,
    JobSetAside,
    JobStarted,
    JobSummary,
    OrderKind,
    ReleaseReason,
    RequestReport,
    RoomReleased,
    RoomReserved,
    RunGivenUp,
    RunnerSlow,
    RunnerTrusted,
    SendOrder,
    TaskMovedForRoom,
)
from plantainyard.dispatch.capacity import (
    list_needs,
    measure_all_places,
    measure_places,
)
from plantainyard.dispatch.counts import (
    EMPTY_COUNTS,
    Counts,
    HeldRuns,
    count_held_runs,
    count_state,
)
from plantainyard.dispatch.dispatcher import Dispatcher, step
from plantainyard.dispatch.events import (
    CancelRequested,
    Committed,
    EntryChanged,
    EvacuationsRead,
    Event,
    Forwarded,
    InterferenceReceived,
    JobSubmitted,
    LeasesReported,
    LoadsReceived,
    OrderAnswered,
    OwnershipRenewed,
    PieceEnded,
    PolicyChanged,
    PredecessorEnded,
    ReportFailed,
    ReportReceived,
    Tick,
)
from plantainyard.dispatch.forwarding import list_arrivals
from plantainyard.dispatch.leases import list_lease_ends
from plantainyard.dispatch.limits import Limits, choose_lease
from plantainyard.dispatch.load import NO_RUNNERS_LOAD, Load, Need, Places
from plantainyard.dispatch.policy import NO_POLICY, SchedulingPolicy
from plantainyard.dispatch.restoring import restore_dispatcher
from plantainyard.dispatch.work_summaries import (
    ProcessorUse,
    QueueSummary,
    WorkSummary,
    summarize_work,
)

__all__ = [
    "EMPTY_COUNTS",
    "NO_RUNNERS_LOAD",
    "Counts",
    "HeldRuns",
    "count_held_runs",
    "count_state",
    "summarize_work",
    "Action",
    "JobSetAside",
    "JobStarted",
    "GiveUpReason",
    "RunGivenUp",
    "RunnerSlow",
    "RunnerTrusted",
    "CancelRequested",
    "Commit",
    "Committed",
    "HandoversConfirmed",
    "Dispatcher",
    "EntryChanged",
    "EvacuationsRead",
    "Event",
    "Forward",
    "Forwarded",
    "InterferenceReceived",
    "ReportReceived",
    "ReportFailed",
    "JobSummary",
    "LeasesReported",
    "PredecessorEnded",
    "ProcessorUse",
    "QueueSummary",
    "Limits",
    "Load",
    "Need",
    "Places",
    "LoadsReceived",
    "OrderAnswered",
    "OrderKind",
    "OwnershipRenewed",
    "PieceEnded",
    "PolicyChanged",
    "SchedulingPolicy",
    "NO_POLICY",
    "ReleaseReason",
    "RequestReport",
    "RoomReleased",
    "RoomReserved",
    "SendOrder",
    "JobSubmitted",
    "TaskMovedForRoom",
    "WorkSummary",
    "Tick",
    "choose_lease",
    "list_arrivals",
    "list_lease_ends",
    "list_needs",
    "measure_all_places",
    "measure_places",
    "restore_dispatcher",
    "step",
]
