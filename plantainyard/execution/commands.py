"""What a rack's owner asks of one worker at one moment.

A batch of commands is computed from what the log assigns and what the worker
listed, not from a queue of things to send. So a lost batch needs no bookkeeping:
the next one is computed from the worker's next answer.
"""

from collections.abc import Callable, Mapping
from typing import NamedTuple

from plantainyard.clients import Commands, Renewal, Start, TaskAttempt, Throttle
from plantainyard.state import Assignment
from plantainyard.work import Job, TaskKey

from .views import AttemptKey, WorkerView, estimate_clock, record_lease_end

__all__ = [
    "LeaseTerms",
    "build_commands",
    "keep_only_renewals",
    "record_sent_leases",
    "withhold_leases",
]


class LeaseTerms(NamedTuple):
    """Lengths that bound what a worker may do without hearing from the owner.

    Attributes
    ----------
    lease_s : float
        Length of a task's lease in seconds.
    command_s : float
        Seconds after which a command that is still on its way does nothing.
    drift : float
        Largest relative difference of clock speeds.
    """

    lease_s: float = 10.0
    command_s: float = 2.0
    drift: float = 0.01


def build_commands(
    view: WorkerView,
    assigned: Mapping[TaskKey, Assignment],
    cancelled: frozenset[TaskKey],
    find_job: Callable[[str], Job | None],
    epoch: int,
    holder: str,
    terms: LeaseTerms,
    now: float,
) -> Commands:
    """Return the commands that bring the worker to what the log assigns.

    Parameters
    ----------
    view : WorkerView
        A known view.
    assigned : mapping of TaskKey to Assignment
        What the log assigns to this worker.
    cancelled : frozenset of TaskKey
        Assigned tasks whose job is cancelled.
    find_job : callable
        Looks a job up by its id.
    epoch, holder : int, str
        Fence under which the commands are sent.
    terms : LeaseTerms
        Lengths of leases and commands.
    now : float
        Owner's clock in seconds.

    Notes
    -----
    Every lease end and the batch's `not_after` are on the worker's clock: a batch
    that sat in the socket of a frozen worker finds its time over when it is read.
    """
    clock = estimate_clock(view, now)
    until = clock + terms.lease_s
    wanted = {AttemptKey(task, a.attempt): a for task, a in assigned.items()}
    kept = [k for k in view.running if k in wanted and k.task not in cancelled]
    absent = [
        key
        for key in wanted
        if key not in view.running
        and key not in view.finished
        and key not in view.seen_attempts
        and wanted[key].incarnation in (-1, view.incarnation)
        and key.task not in cancelled
        and not view.info.leaving
    ]
    starts = [
        _build_start(key, wanted[key], job, until)
        for key in absent
        if (job := find_job(key.task.job)) is not None
    ]
    return Commands(
        epoch=epoch,
        holder=holder,
        incarnation=view.incarnation,
        not_after=clock + terms.command_s,
        renew=tuple(Renewal(key.task, key.attempt, until) for key in kept),
        start=tuple(starts),
        stop=tuple(
            TaskAttempt(*key)
            for key in view.running
            if key not in wanted or key.task in cancelled
        ),
        checkpoint=tuple(TaskAttempt(*key) for key in view.evictions if key in kept),
        throttle=tuple(
            Throttle(key.task, key.attempt, share)
            for key, share in view.throttles.items()
            if key in view.running and view.running[key].throttle != share
        ),
        ack=tuple(TaskAttempt(*key) for key in view.finished if key not in wanted),
    )


def keep_only_renewals(commands: Commands) -> Commands:
    """Return what a caretaker may ask: leases renewed, nothing started or ended."""
    return commands._replace(start=(), stop=(), checkpoint=(), throttle=(), ack=())


def withhold_leases(commands: Commands) -> Commands:
    """Return what a silent worker is asked: nothing that lengthens a lease.

    Notes
    -----
    Guards against an attempt that never counts as ended. The failure: a worker is
    cut off, the owner goes on sending renewals that might arrive, so the greatest
    lease end that it sent keeps growing and the task is never started elsewhere.
    """
    return commands._replace(start=(), renew=())


def record_sent_leases(view: WorkerView, commands: Commands) -> None:
    """Remember the lease ends that are about to be sent."""
    for renewal in commands.renew:
        record_lease_end(view, AttemptKey(renewal.task, renewal.attempt), renewal.until)
    for start in commands.start:
        record_lease_end(view, AttemptKey(start.task, start.attempt), start.until)


def _build_start(
    key: AttemptKey, assignment: Assignment, job: Job, until: float
) -> Start:
    return Start(
        task=key.task,
        attempt=key.attempt,
        until=until,
        size=job.size,
        run_s=job.run_s,
        workload=job.workload,
        latency_critical=job.latency_critical,
        slots=job.slots,
        connections=job.connections,
        checkpoint=assignment.checkpoint,
        work=job.payload,
    )
