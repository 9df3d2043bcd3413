"""The time of day, for due times of schedules and ages across processes only."""

import time

__all__ = ["read_wall_clock_ms"]


def read_wall_clock_ms() -> float:
    """Return Unix milliseconds; may jump by seconds in either direction."""
    return time.time() * 1000
