"""Gauges of an instance, derived from the status that it reports to operators."""

import resource
import time
from pathlib import Path

from plantainyard.api import operators_pb2 as schema
from plantainyard.metrics import Meter, add_count, set_gauge

__all__ = ["record_process", "record_status"]

LIVE = "live"
MS_PER_S = 1_000
MAX_AGE_S = 1e9
"""Largest age in seconds that a gauge shows, also for events that never occurred."""

STATM = Path("/proc/self/statm")
RESIDENT_PAGES_FIELD = 1
"""Index of the number of resident pages in `STATM`."""


def record_status(meter: Meter, status: schema.StatusResponse) -> None:
    """Set the gauges that are derived from an instance's status.

    Parameters
    ----------
    meter : Meter
        Holds the gauges.
    status : StatusResponse
        The status that the command line shows, so that a dashboard and the command
        line can't contradict each other.
    """
    racks = status.racks
    owned = sum(rack.authority for rack in racks)
    set_gauge(meter, "racks.owned", owned)
    set_gauge(meter, "racks.pending", len(racks) - owned)
    set_gauge(meter, "workers.silent", sum(rack.workers_silent for rack in racks))
    set_gauge(meter, "tasks.assigned", sum(rack.tasks_assigned for rack in racks))
    set_gauge(meter, "tasks.waiting", sum(rack.tasks_waiting for rack in racks))
    set_gauge(meter, "requests.queued", status.requests_queued)
    set_gauge(meter, "requests.in_progress", status.requests_in_progress)
    set_gauge(meter, "config.version", status.configuration_version)
    set_gauge(meter, "config.age", _limit_age(status.configuration_age_s))
    ages = [age.age_s for age in status.streams]
    set_gauge(meter, "log.age", _limit_age(max(ages, default=0.0)))
    set_gauge(meter, "peers.live", sum(peer.state == LIVE for peer in status.peers))
    set_gauge(meter, "process.ready", int(status.ready))


def _limit_age(age_s: float) -> float:
    """Return the age limited to `MAX_AGE_S`, as it is infinite without an event."""
    return min(age_s, MAX_AGE_S)


def record_process(meter: Meter) -> None:
    """Record the CPU time since the previous call, and the resident memory."""
    cpu_ms = int(time.process_time() * MS_PER_S)
    add_count(meter, "process.cpu", cpu_ms - meter.counts.get("process.cpu", 0))
    pages = int(STATM.read_text("ascii").split()[RESIDENT_PAGES_FIELD])
    set_gauge(meter, "process.memory", pages * resource.getpagesize())
