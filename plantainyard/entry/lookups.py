"""Lookup of jobs and pending counts at the units' owners, or else in the store."""

from result import Err, Ok, Result

from plantainyard.dispatch.handover import MAX_HOPS
from plantainyard.entry.copies import UnitCopy, refresh_copy
from plantainyard.entry.instance import Instance
from plantainyard.entry.peers import (
    JobLookup,
    PendingCount,
    count_pending_in_copy,
    fetch_job,
    fetch_pending,
    look_up_job,
)

__all__ = ["count_pending_in", "find_job"]

MIN_READ_LINK_MBPS = 100.0
"""Bandwidth in megabits per second from which an instance reads a unit that it doesn't
own. A megabyte then takes a tenth of a second."""


def find_job(instance: Instance, job_id: str) -> Result[tuple[int, JobLookup], str]:
    """Return the state of a job, and the unit that it is in now.

    Notes
    -----
    Guards against reporting an accepted job as unknown. The unit to which it was handed
    over may not have its record yet; until then the previous unit's answer is used.
    """
    unit = instance.find_copy(job_id).unit
    found = JobLookup("")
    for _ in range(MAX_HOPS + 1):
        lookup = fetch_job(instance, unit, job_id)
        if lookup is None:
            lookup = _look_up_stored(instance, instance.copies[unit], job_id)
        if lookup is None:
            return Err("the store can't be reached")
        found = lookup if lookup.state else found
        if lookup.moved is None:
            break
        if lookup.moved >= len(instance.copies):
            return Err("the job was handed over to a unit that isn't there")
        unit = lookup.moved
    return Ok((unit, found))


def _look_up_stored(
    instance: Instance, copy: UnitCopy, job_id: str
) -> JobLookup | None:
    """Return the stored state of a job whose unit has no owner, or None if unknown."""
    if _refresh_if_affordable(instance, copy):
        return look_up_job(copy, job_id)
    # A stale copy doesn't prove that there is no such job.
    found = look_up_job(copy, job_id)
    return found if found.state else None


def _refresh_if_affordable(instance: Instance, copy: UnitCopy) -> bool:
    """Refresh a unit's copy if that is affordable; return whether it is up to date.

    Notes
    -----
    Guards against all instances reading all units at once while units have no owners,
    as after a power loss. At a megabyte per unit and instance, the link between regions
    would be saturated for ten seconds, the renewals of the future owners would time out
    on it, and nothing would be commanded meanwhile. If there are several units, only
    their owners read them, and callers are asked to retry.
    """
    single = len(instance.copies) == 1
    fast = instance.settings.link_mbps >= MIN_READ_LINK_MBPS
    return single and fast and refresh_copy(copy)


def count_pending_in(
    instance: Instance, copy: UnitCopy, queue: str
) -> PendingCount | None:
    """Return the pending count of a queue in a unit, or None if it isn't known."""
    count = fetch_pending(instance, copy.unit, queue)
    if count is None and _refresh_if_affordable(instance, copy):
        count = count_pending_in_copy(copy, queue)
    return count
