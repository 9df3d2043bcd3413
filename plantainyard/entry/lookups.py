"""Finding jobs and counts: at the units' owners, or in the store for want of one."""

from result import Err, Ok, Result

from plantainyard.dispatch.handover import MOST_HOPS
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

LEAST_LINK_MBPS = 100.0
"""Bandwidth from which an instance reads a unit that it doesn't own: a megabyte takes a
tenth of a second then."""


def find_job(instance: Instance, job_id: str) -> Result[tuple[int, JobLookup], str]:
    """Return what is known of a job, and in which unit it is now.

    Notes
    -----
    Guards against an accepted job that is told to be unknown: the unit that it was
    handed to may not have its record yet. Until then the word of the one before holds.
    """
    unit = instance.find_copy(job_id).unit
    found = JobLookup("")
    for _ in range(MOST_HOPS + 1):
        told = fetch_job(instance, unit, job_id)
        if told is None:
            told = _read_stored(instance, instance.copies[unit], job_id)
        if told is None:
            return Err("the store can't be reached")
        found = told if told.state else found
        if told.moved is None:
            break
        unit = told.moved
    return Ok((unit, found))


def _read_stored(instance: Instance, copy: UnitCopy, job_id: str) -> JobLookup | None:
    """Return what the store says of a job, for when its unit has no owner."""
    if _refresh_cheaply(instance, copy):
        return look_up_job(copy, job_id)
    # Without the store an old copy can't tell that there is no such job.
    found = look_up_job(copy, job_id)
    return found if found.state else None


def _refresh_cheaply(instance: Instance, copy: UnitCopy) -> bool:
    """Read all that is new of a unit, where that is no burden; tell whether it was.

    Notes
    -----
    Guards against instances that read all units at once while owners are away, as after
    a loss of power: at a megabyte a unit for each instance, the link between regions
    is taken for ten seconds, the renewals of those who are to own the units time out
    on it, and nothing is commanded meanwhile. Where there are several units only
    their owners read them, and callers are told to come back.
    """
    alone = len(instance.copies) == 1
    able = instance.settings.link_mbps >= LEAST_LINK_MBPS
    return alone and able and refresh_copy(copy)


def count_pending_in(
    instance: Instance, copy: UnitCopy, queue: str
) -> PendingCount | None:
    """Return how many jobs of a queue wait in a unit; None where nobody can tell."""
    counted = fetch_pending(instance, copy.unit, queue)
    if counted is None and _refresh_cheaply(instance, copy):
        counted = count_pending_in_copy(copy, queue)
    return counted
