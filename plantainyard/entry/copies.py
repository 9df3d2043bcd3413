"""An instance's copy of the records that the store holds of one unit."""

from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from result import Err

from plantainyard.batch.pending import Pending
from plantainyard.batch.replica import OWNER_KEY, Replica, apply_record
from plantainyard.decoding import DecodeError
from plantainyard.entry.layout import Owner, decode_owner
from plantainyard.entry.readers import PartitionReader, poll_reader
from plantainyard.entry.shared_calls import SharedCalls
from plantainyard.entry.topics import INTAKE, PROGRESS
from plantainyard.platform.store import StoreCalls
from plantainyard.platform.store_messages import Record

__all__ = ["UnitCopy", "refresh_copy"]


class UnitCopy:
    """Copy of a unit's jobs as of the last read.

    The owner of the unit updates its copy with each record that it stores.

    Parameters
    ----------
    store : StoreCalls
        The platform's store.
    unit : int
        Number of the unit.
    on_intake : callable
        Called with the unit, the job's id and the record of each submission and request
        to cancel.

    Attributes
    ----------
    replica : Replica
        The unit's jobs.
    intake, progress : PartitionReader
        Readers of the unit's two partitions.
    counts : SharedCalls
        Passes over the jobs, by the queue whose pending jobs are counted.
    owner, previous_owner : Owner or None
        The last two owners that fenced their predecessors, as far as read in one piece;
        None for one that is unknown or of a version that doesn't store its epoch.
    """

    def __init__(
        self,
        store: StoreCalls,
        unit: int,
        on_intake: Callable[[int, str, Record], None],
    ) -> None:
        self.unit = unit
        self.replica = Replica()
        self._on_intake = on_intake
        self.intake = PartitionReader(store, INTAKE, unit, self._apply_intake)
        self.progress = PartitionReader(
            store, PROGRESS, unit, self._apply_progress, self._forget_owners
        )
        self.counts: SharedCalls[Pending] = SharedCalls()
        self.owner: Owner | None = None
        self.previous_owner: Owner | None = None

    def _apply_intake(self, record: Record) -> None:
        job_id = apply_record(self.replica, record.key, record.value)
        if job_id and record.value:
            self._on_intake(self.unit, job_id, record)

    def _forget_owners(self) -> None:
        self.owner = self.previous_owner = None

    def _record_owner(self, value: bytes) -> None:
        try:
            owner = decode_owner(value)
        except DecodeError:
            owner = None
        if owner is None or owner != self.owner:
            self.previous_owner, self.owner = self.owner, owner

    def find_predecessor(self, owner: Owner) -> Owner | None:
        """Return who owned the unit before `owner`, which has fenced its predecessors.

        Notes
        -----
        Guards against leases of an owner in between. The store accepts the records by
        which owners fence each other in the order of their epochs, and all of them
        since the previous owner's have been read.
        """
        return self.previous_owner if owner == self.owner else None

    def _apply_progress(self, record: Record) -> None:
        if record.key == OWNER_KEY:
            self._record_owner(record.value)
            return
        apply_record(self.replica, record.key, record.value)


def refresh_copy(copy: UnitCopy) -> bool:
    """Read all new records of a unit; return False if the store can't be reached.

    Notes
    -----
    Both partitions are read concurrently. With a slow store, whose calls take 0.25 s
    each, a new owner waits for three consecutive calls in this way instead of five.
    """
    readers = (copy.intake, copy.progress)
    with ThreadPoolExecutor(len(readers)) as pool:
        found = list(pool.map(poll_reader, readers))
    return not any(isinstance(result, Err) for result in found)
