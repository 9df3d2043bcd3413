"""What one ownership of a unit works with."""

import threading
from collections.abc import Callable
from dataclasses import dataclass, field

from plantainyard.batch.checks import DEFAULT_RECORD_BYTES
from plantainyard.batch.replica import Replica
from plantainyard.dispatch import Dispatcher, Limits
from plantainyard.entry.eventlog import EventLog
from plantainyard.entry.meters import Meters
from plantainyard.platform.runners import RunnerCalls
from plantainyard.platform.settings import DEFAULT_CALL_BYTES
from plantainyard.platform.store import StoreCalls

__all__ = ["UnitContext"]


@dataclass(slots=True, eq=False)
class UnitContext:
    """Dependencies and shared state of one ownership of a unit.

    Attributes
    ----------
    unit, epoch : int
        Number of the unit, and fencing token of the ownership.
    store, runners : StoreCalls, RunnerCalls
        Clients of the platform's store and of the runners.
    replica : Replica
        Copy of the unit's jobs; each record is applied once it is stored.
    log : EventLog
        Log for decisions.
    step_down : callable
        Called when a successor has fenced this ownership, or after a failure.
    meters : Meters
        Metrics for latencies and counts.
    sequence : int
        Sequence number of the last append to the unit's progress.
    fences : dict
        Fencing token of the last call to each runner, by the runner's id.
    dispatcher : Dispatcher
        The unit's state, read for gauges.
    stopping : Event
        Set when the unit is released.
    on_released : callable
        Called with the last lease end of each runner once nothing more is granted.
    on_failure : callable
        Called with an unexpected exception, after which the unit is released.
    record_bytes, call_bytes : int
        Maximum size in bytes of a record of the store, and of all records of a call.
    """

    unit: int
    epoch: int
    store: StoreCalls
    runners: RunnerCalls
    replica: Replica
    log: EventLog
    step_down: Callable[[], None]
    meters: Meters
    sequence: int = 0
    fences: dict[str, int] = field(default_factory=dict)
    dispatcher: Dispatcher = field(default_factory=lambda: Dispatcher(Limits()))
    stopping: threading.Event = field(default_factory=threading.Event)
    on_released: Callable[[dict[str, float]], None] = lambda _: None
    on_failure: Callable[[BaseException], None] = lambda _: None
    record_bytes: int = DEFAULT_RECORD_BYTES
    call_bytes: int = DEFAULT_CALL_BYTES
