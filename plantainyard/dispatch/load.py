"""Load of a unit, as its owner reports it to the owners of other units."""

from collections.abc import Sequence
from typing import NamedTuple

__all__ = ["NO_RUNNERS_LOAD", "SLOT_SIZES", "Load"]

SLOT_SIZES = (
    *(500, 1_000, 1_500, 2_000, 2_500, 3_000, 3_500, 4_000),
    *(5_000, 6_000, 8_000, 10_000, 12_000, 16_000),
)
"""Task sizes for which slots are counted, in thousandths of a core; for larger tasks
only the largest gap is considered."""


class Load(NamedTuple):
    """Load of a unit, as shares of its usable processors unless stated otherwise.

    Tasks that run to completion on reserved processors are called finite.

    Attributes
    ----------
    reserved : float
        Reserved by finite and long-running tasks.
    backfill : float
        Requested by backfill tasks.
    waiting, waiting_backfill : float
        The same for tasks that wait.
    gap : int
        Unreserved processor time of the runner that has most of it, in thousandths of a
        core.
    slots : sequence of int
        By `SLOT_SIZES`, the number of tasks of that size that fit beside the
        long-running ones; empty if unknown.
    ending : int
        Thousandths of a core that finite tasks hold or wait for, as far as the results
        of their jobs are still of use.
    """

    reserved: float
    backfill: float
    waiting: float
    waiting_backfill: float
    gap: int
    slots: Sequence[int] = ()
    ending: int = 0


NO_RUNNERS_LOAD = Load(1.0, 1.0, 1.0, 1.0, 0)
"""Load of a unit without runners; no work is handed over to it."""
