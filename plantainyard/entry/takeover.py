"""Steps of a takeover: fence predecessors, restore the state, follow the intake."""

import contextlib
import threading
from collections.abc import Callable, Iterator

import pykka

from plantainyard.batch.replica import (
    FENCES_KEY,
    NO_BOUNDS,
    OWNER_KEY,
    LeaseBounds,
    encode_fences,
)
from plantainyard.clock import read_clock
from plantainyard.dispatch import (
    CancelRequested,
    Dispatcher,
    EntryChanged,
    Event,
    JobSubmitted,
    Limits,
    PieceEnded,
    choose_lease,
    restore_dispatcher,
)
from plantainyard.entry.appends import append_until_answered
from plantainyard.entry.context import UnitContext
from plantainyard.entry.copies import UnitCopy
from plantainyard.entry.evacuations import choose_max_age_s
from plantainyard.entry.instance import LONG_POLL_S, Instance, run_reader
from plantainyard.entry.layout import Owner, encode_owner, find_unit
from plantainyard.entry.topics import PRODUCER, PROGRESS
from plantainyard.entry.unit import UnitActor
from plantainyard.entry.wall_clock import read_wall_clock_ms
from plantainyard.platform.store_messages import Append, Record

__all__ = [
    "choose_fence",
    "fence_predecessors",
    "follow_intake",
    "make_entry_handler",
    "restore_unit",
    "send_open_jobs",
]


def make_entry_handler(
    instance: Instance, unit: int, actor: pykka.ActorRef[UnitActor]
) -> Callable[[Event], None]:
    """Return a function that sends the entries of a unit's runners to its actor."""
    units = len(instance.copies)

    def send(event: Event) -> None:
        if isinstance(event, EntryChanged) and event.entry is not None:
            name = event.entry.machine or event.runner
            if find_unit(name, units) != unit:
                return
        with contextlib.suppress(pykka.ActorDeadError):
            actor.tell(event)

    return send


def fence_predecessors(context: UnitContext, owner: Owner) -> bool:
    """Make the store refuse records of earlier owners; return whether it succeeded."""
    record = Record(OWNER_KEY, encode_owner(owner))
    append = Append(PROGRESS, context.unit, [record], PRODUCER, context.epoch, 0)
    return append_until_answered(context, append)


def choose_fence(context: UnitContext) -> int | None:
    """Return a fencing token above all that earlier owners have used at runners.

    Returns
    -------
    int or None
        The epoch, unless an earlier owner has used a higher token; then one more than
        that, once it is stored. None if a successor has fenced this ownership.
    """
    fences = context.replica.fences
    if fences.highest < context.epoch:
        return context.epoch
    fence = fences.highest + 1
    context.sequence += 1
    append = Append(
        PROGRESS,
        context.unit,
        [Record(FENCES_KEY, encode_fences(fences._replace(highest=fence)))],
        PRODUCER,
        context.epoch,
        context.sequence,
    )
    if not append_until_answered(context, append):
        return None
    context.log.write(
        "fence_raised", unit=context.unit, epoch=context.epoch, fence=fence
    )
    return fence


def restore_unit(
    instance: Instance, copy: UnitCopy, owner: Owner, fenced_at: float, fence: int
) -> Dispatcher:
    """Return a dispatcher that continues from a unit's stored records."""
    settings = instance.settings
    limits = Limits(
        lease_s=choose_lease(settings.longest_lease_s, settings.cancel_deadline_s),
        longest_lease_s=settings.longest_lease_s,
        missed_target_s=settings.max_target_violation_s,
        remote_factor=settings.remote_factor,
        evacuation_age_s=choose_max_age_s(settings.evacuation_deadline_s),
        policy=instance.policy,
    )
    now = read_clock()
    return restore_dispatcher(
        copy.replica,
        limits,
        now,
        read_wall_clock_ms(),
        fenced_at,
        fence,
        owner.epoch,
        _find_inherited_bounds(copy, owner),
        copy.unit,
    )


def _find_inherited_bounds(copy: UnitCopy, owner: Owner) -> LeaseBounds:
    """Return the bounds that the last predecessor stored, or none if it didn't.

    Notes
    -----
    Guards against an owner in between that grants leases beyond them: one of a version
    that stores no bounds, or one that was lost before it stored its own.
    """
    predecessor, bounds = copy.find_predecessor(owner), copy.replica.bounds
    if predecessor is None or predecessor.epoch != bounds.epoch:
        return NO_BOUNDS
    return bounds


@contextlib.contextmanager
def follow_intake(
    instance: Instance, copy: UnitCopy, stopping: threading.Event
) -> Iterator[None]:
    """Follow the records that callers store for the duration of the context."""
    follower = threading.Thread(
        target=run_reader,
        args=(copy.intake, lambda: (LONG_POLL_S, 0.0), stopping),
        daemon=True,
    )
    follower.start()
    try:
        yield
    finally:
        stopping.set()


def send_open_jobs(instance: Instance, copy: UnitCopy) -> None:
    """Send all open jobs to a unit's actor.

    Notes
    -----
    Guards against an accepted job that is never started, and a cancelled job that goes
    on in another unit: a record may have been read after the dispatcher was restored
    and before the actor existed. The dispatcher ignores jobs that it already knows.
    """
    for job_id, view in list(copy.replica.jobs.items()):
        if view.result is not None:
            instance.send_event(copy.unit, PieceEnded(job_id, view.result))
        if view.final_state or view.submission is None:
            continue
        if view.handed_to is None:
            instance.send_event(copy.unit, JobSubmitted(view.submission))
        if view.cancelled:
            instance.send_event(copy.unit, CancelRequested(job_id))
