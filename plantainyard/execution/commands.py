"""Batches of commands from a rack's owner to one of its workers.

Each batch is computed from the assignments in the log and the attempts that the worker
listed, not taken from a queue. A lost batch therefore needs no bookkeeping: the next
one is computed from the worker's next response.
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
    """Durations that bound what a worker may do without contact with the owner.

    Attributes
    ----------
    lease_s : float
        Length of a task's lease in seconds.
    command_s : float
        Seconds after which a command that has not yet been read has no effect.
    drift : float
        Largest relative difference between clock rates.
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
    """Return the commands that bring the worker in line with the log's assignments.

    Parameters
    ----------
    view : WorkerView
        A view whose worker has answered in this term.
    assigned : mapping of TaskKey to Assignment
        Tasks that the log assigns to this worker.
    cancelled : frozenset of TaskKey
        Assigned tasks whose job is cancelled.
    find_job : callable
        Returns the job with a given id, or None.
    epoch, holder : int, str
        Fencing token under which the commands are sent.
    terms : LeaseTerms
        Lengths of leases and commands.
    now : float
        Owner's clock in seconds.

    Notes
    -----
    Every lease end and the batch's `not_after` are on the worker's clock, so that a
    batch that waited in the socket of a frozen worker has expired when it is read.
    """
    clock = estimate_clock(view, now)
    until = clock + terms.lease_s
    assignments = {AttemptKey(task, a.attempt): a for task, a in assigned.items()}
    kept = [k for k in view.running if k in assignments and k.task not in cancelled]
    missing = [
        key
        for key in assignments
        if key not in view.running
        and key not in view.finished
        and key not in view.seen_attempts
        and assignments[key].incarnation in (-1, view.incarnation)
        and key.task not in cancelled
        and not view.info.leaving
    ]
    starts = [
        _build_start(key, assignments[key], job, until)
        for key in missing
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
            if key not in assignments or key.task in cancelled
        ),
        checkpoint=tuple(TaskAttempt(*key) for key in view.evictions if key in kept),
        throttle=tuple(
            Throttle(key.task, key.attempt, share)
            for key, share in view.throttles.items()
            if key in view.running and view.running[key].throttle != share
        ),
        ack=tuple(TaskAttempt(*key) for key in view.finished if key not in assignments),
    )


def keep_only_renewals(commands: Commands) -> Commands:
    """Return the part that a caretaker may send: renewals, no starts and no stops."""
    return commands._replace(start=(), stop=(), checkpoint=(), throttle=(), ack=())


def withhold_leases(commands: Commands) -> Commands:
    """Return the commands without those that extend a lease, for a silent worker.

    Notes
    -----
    Guards against an attempt that never counts as ended: a worker is cut off, and the
    owner keeps sending renewals that might arrive. The latest lease end that it sent
    would keep growing, and the task would never be started elsewhere.
    """
    return commands._replace(start=(), renew=())


def record_sent_leases(view: WorkerView, commands: Commands) -> None:
    """Record in the view the lease ends that are about to be sent."""
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
