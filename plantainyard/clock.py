"""The clock used for leases and deadlines."""

import time

__all__ = ["read_clock"]


def read_clock() -> float:
    """Return seconds on a monotonic clock that includes time spent suspended.

    Returns
    -------
    float
        Seconds since an arbitrary origin; never decreases.

    Notes
    -----
    `time.monotonic` stops while the machine is suspended, so a lease holder that was
    suspended past the end of its lease would still consider it valid.
    ``CLOCK_BOOTTIME`` includes that time.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
