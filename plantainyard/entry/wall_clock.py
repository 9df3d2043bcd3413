"""Wall-clock time, used only for due times of schedules and ages across processes."""

import time

__all__ = ["read_wall_clock_ms"]


def read_wall_clock_ms() -> float:
    """Return the time in Unix milliseconds, which may jump by seconds either way."""
    return time.time() * 1000
