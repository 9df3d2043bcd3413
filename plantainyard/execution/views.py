"""The state of one worker as its rack's owner knows it.

The owner's knowledge comes only from the worker's responses; between responses the
worker's clock is estimated from the owner's. `has_lapsed` is the only function that
decides that a lease has expired without a report from the worker.
"""

from typing import NamedTuple

from plantainyard.clients import FinishedTask, RunningTask, WorkerState
from plantainyard.work import TaskKey, WorkerInfo

__all__ = [
    "AttemptKey",
    "WorkerView",
    "update_view",
    "estimate_clock",
    "reset_incarnation",
    "has_lapsed",
    "record_lease_end",
]


class AttemptKey(NamedTuple):
    """One attempt of a task."""

    task: TaskKey
    attempt: int


class WorkerView:
    """The owner's view of one worker under its present term.

    Attributes
    ----------
    info : WorkerInfo
        The worker's entry in the platform's instance list.
    terminated : bool
        Whether the platform or an operator guarantees that the worker no longer runs
        anything.
    has_answered : bool
        Whether the worker has responded in this term, so that `clock_s` and the lists
        are valid.
    fenced : bool
        Whether the worker has accepted this term's epoch.
    accepted_at : float
        Owner's clock just before the last accepted batch of commands was sent.
    incarnation : int
        Incarnation of the worker in its last response, -1 before the first.
    clock_s, heard_at : float
        Worker's clock in its last response, and the owner's clock when that arrived.
    call_in_flight : bool
        Whether a call is in flight. At most one is, so responses arrive in order.
    next_call_at, called_at : float
        Owner's clock: the earliest time of the next call after failures, and the time
        of the last call.
    expected_end_at : float
        Owner's clock at which the first of the tasks just started should have ended.
    last_changes : frozenset
        What the last call requested beyond lease renewals.
    failures : int
        Consecutive failed calls.
    throttles, evictions : dict, set
        Throttling and evictions of running attempts that the policy requests.
    running, finished : dict
        The lists in the worker's last response, by attempt.
    lease_ends : dict
        For each attempt, the latest lease end that was ever sent to or reported by the
        worker, on the worker's clock.
    seen_attempts : set of AttemptKey
        Attempts that the worker has listed or may have started and that are still open.
    """

    def __init__(self, info: WorkerInfo) -> None:
        self.info = info
        self.terminated = False
        self.has_answered = False
        self.fenced = False
        self.accepted_at = float("-inf")
        self.incarnation = -1
        self.clock_s = 0.0
        self.heard_at = 0.0
        self.call_in_flight = False
        self.next_call_at = float("-inf")
        self.called_at = float("-inf")
        self.expected_end_at = float("inf")
        self.last_changes: frozenset[object] = frozenset()
        self.failures = 0
        self.running: dict[AttemptKey, RunningTask] = {}
        self.finished: dict[AttemptKey, FinishedTask] = {}
        self.lease_ends: dict[AttemptKey, float] = {}
        self.seen_attempts: set[AttemptKey] = set()
        self.throttles: dict[AttemptKey, float] = {}
        self.evictions: set[AttemptKey] = set()


def estimate_clock(view: WorkerView, now: float, drift: float = 0.0) -> float:
    """Return an estimate of the worker's clock at the owner's time `now`.

    Parameters
    ----------
    view : WorkerView
        A view whose worker has answered in this term.
    now : float
        Owner's clock in seconds.
    drift : float
        Largest relative difference between the rates of the two clocks. If it is
        given, the result is a lower bound of the worker's clock.
    """
    passed_s = now - view.heard_at
    return view.clock_s + passed_s * (1.0 - drift if passed_s > 0.0 else 1.0 + drift)


def record_lease_end(view: WorkerView, key: AttemptKey, until: float) -> None:
    """Record that the worker may run `key` until `until` on the worker's clock."""
    view.lease_ends[key] = max(until, view.lease_ends.get(key, until))


def reset_incarnation(view: WorkerView, incarnation: int) -> None:
    """Reset the view of a restarted worker, whose earlier attempts have ended.

    Notes
    -----
    Guards against resuming twice from a checkpoint: the response to a start is lost,
    and the worker restarts and no longer lists the attempt. Any attempt that may have
    been started before the restart counts as ended, whether it was listed or not.
    """
    view.seen_attempts.update(view.lease_ends)
    view.incarnation = incarnation
    view.running = {}
    view.finished = {}
    view.lease_ends = {}


def update_view(view: WorkerView, state: WorkerState, now: float) -> None:
    """Update the view with the lists and the clock of a worker's response.

    Parameters
    ----------
    view : WorkerView
        Changed in place.
    state : WorkerState
        The state in the response.
    now : float
        Owner's clock when the response arrived.
    """
    if state.incarnation != view.incarnation:
        reset_incarnation(view, state.incarnation)
    view.has_answered = True
    view.clock_s = state.clock_s
    view.heard_at = now
    view.running = {AttemptKey(t.task, t.attempt): t for t in state.running}
    view.finished = {AttemptKey(t.task, t.attempt): t for t in state.finished}
    for key, task in view.running.items():
        record_lease_end(view, key, task.until)
    view.seen_attempts.update(view.running)
    view.seen_attempts.update(view.finished)


def has_lapsed(
    view: WorkerView, key: AttemptKey, confirmed_at: float, drift: float
) -> bool:
    """Return whether the attempt has certainly ended, without the worker's report.

    Parameters
    ----------
    view : WorkerView
        The worker to which the attempt is assigned.
    key : AttemptKey
        The attempt.
    confirmed_at : float
        Latest time on the owner's clock at which a majority of the rack's workers is
        known to have accepted its epoch.
    drift : float
        Largest relative difference between clock rates.

    Notes
    -----
    Guards against running a task in two places: a worker is cut off or frozen, and its
    tasks are started elsewhere while they continue there.

    A worker ends an attempt by itself once *its own* clock passes the lease end. Only
    this owner may renew leases under its epoch, so it knows the latest lease end that
    it ever sent, and waits until the slowest permitted worker clock has passed it.

    A caretaker unknown to the owner may renew leases too, but only after a majority
    has refused the owner. The lease must therefore have expired by `confirmed_at`, when
    a majority still accepted the owner.

    An owner that never fenced the worker can't know which leases its predecessor sent,
    so the attempt stays open until the worker responds or is known to have terminated.
    """
    if view.terminated:
        return True
    if not view.fenced or not view.has_answered:
        return False
    if key in view.running or key in view.finished:
        bound = view.lease_ends.get(key, float("inf"))
        return key in view.running and estimate_clock(view, confirmed_at, drift) > bound
    if key in view.seen_attempts:
        return True
    sent = view.lease_ends.get(key)
    return sent is not None and estimate_clock(view, confirmed_at, drift) > sent
