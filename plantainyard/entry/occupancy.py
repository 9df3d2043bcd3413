"""How busy the thread of an owner is, and how late it handles what waits for it.

A late job may have waited for its owner. Long events and late ticks show that the
instance lacks processor time for its unit, where short ones point at the runners.
"""

from dataclasses import dataclass
from typing import Any

__all__ = ["Occupancy", "describe_occupancy", "record_event", "record_tick"]


@dataclass(slots=True)
class Occupancy:
    """Figures since a moment; all times are in seconds.

    Attributes
    ----------
    since : float
        That moment.
    events : int
        Number of events that were handled.
    busy_s, longest_s : float
        Time for all of them, and for the longest.
    tick_s, tick_delay_s : float
        Time for the longest tick, and the longest time for which one waited.
    """

    since: float
    events: int = 0
    busy_s: float = 0.0
    longest_s: float = 0.0
    tick_s: float = 0.0
    tick_delay_s: float = 0.0


def record_event(occupancy: Occupancy, seconds: float) -> None:
    """Count an event that took some time."""
    occupancy.events += 1
    occupancy.busy_s += seconds
    occupancy.longest_s = max(occupancy.longest_s, seconds)


def record_tick(occupancy: Occupancy, seconds: float, delay_s: float) -> None:
    """Count a tick that waited and then took some time."""
    record_event(occupancy, seconds)
    occupancy.tick_s = max(occupancy.tick_s, seconds)
    occupancy.tick_delay_s = max(occupancy.tick_delay_s, delay_s)


def describe_occupancy(occupancy: Occupancy, now: float) -> dict[str, Any]:
    """Return the figures, rounded, with the share of busy time.

    Examples
    --------
    >>> occupancy = Occupancy(10.0)
    >>> record_tick(occupancy, 0.02, 0.1)
    >>> record_event(occupancy, 0.48)
    >>> describe_occupancy(occupancy, 11.0)["busy"]
    0.5
    """
    elapsed_s = max(now - occupancy.since, 1e-9)
    return {
        "events": occupancy.events,
        "busy": round(occupancy.busy_s / elapsed_s, 3),
        "longest_s": round(occupancy.longest_s, 3),
        "tick_s": round(occupancy.tick_s, 3),
        "tick_delay_s": round(occupancy.tick_delay_s, 3),
    }
