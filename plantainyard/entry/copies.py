"""An instance's copy of what the store holds of one unit."""

from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from result import Err

from plantainyard.batch.replica import Replica, apply_record
from plantainyard.entry.readers import PartitionReader, poll_reader
from plantainyard.entry.topics import INTAKE, PROGRESS
from plantainyard.platform.store import Record, StoreCalls

__all__ = ["UnitCopy", "refresh_copy"]


class UnitCopy:
    """A unit's jobs as last read; an owner's is always up to date.

    Parameters
    ----------
    store : StoreCalls
        The platform's store.
    unit : int
        The unit.
    tell : callable
        Takes the unit, the job's id and the record of each submission and cancel.

    Attributes
    ----------
    replica : Replica
        Its jobs.
    intake, progress : Tail
        Where reading stands.
    """

    def __init__(
        self, store: StoreCalls, unit: int, tell: Callable[[int, str, Record], None]
    ) -> None:
        self.unit = unit
        self.replica = Replica()
        self._tell = tell
        self.intake = PartitionReader(store, INTAKE, unit, self._take_intake)
        self.progress = PartitionReader(store, PROGRESS, unit, self._take_progress)

    def _take_intake(self, record: Record) -> None:
        job_id = apply_record(self.replica, record.key, record.value)
        if job_id and record.value:
            self._tell(self.unit, job_id, record)

    def _take_progress(self, record: Record) -> None:
        apply_record(self.replica, record.key, record.value)


def refresh_copy(copy: UnitCopy) -> bool:
    """Read all that is new of a unit; return False if the store can't be reached.

    Notes
    -----
    Both partitions at the same time: where a call to a slow store takes 0.25 s, a new
    owner has five of them to wait for one after the other, and three so.
    """
    readers = (copy.intake, copy.progress)
    with ThreadPoolExecutor(len(readers)) as pool:
        found = list(pool.map(poll_reader, readers))
    return not any(isinstance(result, Err) for result in found)
