"""The clock of lease arithmetic."""

import time

__all__ = ["read_clock"]


def read_clock() -> float:
    """Return seconds on a clock that goes on while the machine is suspended.

    Returns
    -------
    float
        Seconds since an arbitrary start; never set back.

    Notes
    -----
    `time.monotonic` stands still during a suspend, so a holder that slept past its
    lease would still believe in it. ``CLOCK_BOOTTIME`` counts that time too.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
