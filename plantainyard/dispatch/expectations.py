"""Expected start and end of a job, by the waits that are forecast for its size.

Used for the typical job of each queue and for each job whose admission is decided.
"""

from bisect import bisect_right
from collections.abc import Sequence
from typing import NamedTuple

from plantainyard.dispatch.load import WORK_SIZES
from plantainyard.dispatch.queue import CERTAIN_SHARE

__all__ = [
    "Expectation",
    "expect_end",
]


class Expectation(NamedTuple):
    """When a job would start, and the time until its end relative to its objective."""

    wait_s: float = 0.0
    ratio: float = 0.0


def expect_end(
    waits_s: Sequence[float],
    late_waits_s: Sequence[float],
    work: float,
    path_s: float,
    allowed_s: float,
) -> Expectation:
    """Return when a job is expected to start and end, by the waits for its size.

    Parameters
    ----------
    waits_s, late_waits_s : sequence of float
        As in `QueueForecast`.
    work : float
        The job's work in core-seconds; the next smaller size counts.
    path_s : float
        The job's longest chain of dependent work.
    allowed_s : float
        The job's objective.

    Examples
    --------
    >>> waits = (0.0,) * 6 + (9.0,) * 11
    >>> expect_end(waits, (), 1.0, 1.0, 2.0)
    Expectation(wait_s=9.0, ratio=4.85)
    >>> expect_end(waits, (), 0.5, 1.0, 2.0)
    Expectation(wait_s=0.0, ratio=0.35)
    """
    index = bisect_right(WORK_SIZES, work) - 1
    run_s = CERTAIN_SHARE * path_s
    wait_s = _get_wait(waits_s, index)
    if wait_s + run_s > allowed_s:
        wait_s = max(wait_s, _get_wait(late_waits_s, index))
    return Expectation(wait_s, (wait_s + run_s) / max(allowed_s, 0.001))


def _get_wait(waits_s: Sequence[float], index: int) -> float:
    # Instances of other versions may forecast for other sizes.
    if index < 0 or len(waits_s) != len(WORK_SIZES):
        return 0.0
    return waits_s[index]
