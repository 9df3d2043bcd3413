"""How full a unit is, as its owner tells the owners of others."""

from collections.abc import Sequence
from typing import NamedTuple

__all__ = ["NO_RUNNERS_LOAD", "SLOT_SIZES", "Load"]

SLOT_SIZES = (
    *(500, 1_000, 1_500, 2_000, 2_500, 3_000, 3_500, 4_000),
    *(5_000, 6_000, 8_000, 10_000, 12_000, 16_000),
)
"""Sizes of tasks for which room is counted, in thousandths of a core; larger ones are
judged by gaps."""


class Load(NamedTuple):
    """How full a unit is, in parts of its usable processors.

    Attributes
    ----------
    reserved : float
        Taken by counted and long-running tasks.
    backfill : float
        Asked for by backfilling tasks.
    waiting, waiting_backfill : float
        The same, asked for by tasks that wait.
    gap : int
        Processor time that isn't reserved at the runner where most of it is free, in
        thousandths of a core.
    slots : sequence of int
        By `SLOT_SIZES`, the tasks of that size that could be at work at a time beside
        the long-running ones; empty where that isn't known.
    ending : int
        Thousandths of a core that counted jobs that end, and are of use, hold or wait
        for.
    """

    reserved: float
    backfill: float
    waiting: float
    waiting_backfill: float
    gap: int
    slots: Sequence[int] = ()
    ending: int = 0


NO_RUNNERS_LOAD = Load(1.0, 1.0, 1.0, 1.0, 0)
"""Load of a unit without runners: nobody hands it anything."""
