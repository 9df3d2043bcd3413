"""What a rack's owner knows of one worker.

The owner's knowledge comes only from the worker's answers; between answers the
worker's clock is estimated from the owner's. `has_lapsed` is the one place that
decides that a lease is over without hearing so.
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
        As the platform's instance list describes the worker.
    gone : bool
        The platform or an operator vouches that the worker runs nothing any more.
    has_answered : bool
        The worker has answered in this term, so `clock_s` and the lists are real.
    fenced : bool
        The worker accepted this term's epoch.
    accepted_at : float
        Owner's clock before sending the last accepted command.
    clock_s, heard_at : float
        Worker's clock in its last answer and the owner's clock on receiving it.
    calling : bool
        A call is in flight; at most one is, so answers arrive in order.
    next_call_at, called_at : float
        Owner's clock: no call before, after failures; and the last call.
    expected_end_at : float
        When the first of the tasks that were just started should have ended.
    last_changes : frozenset
        What the last call asked for beyond renewals.
    throttles, evictions : dict, set
        What the policy wants of running attempts.
    running, finished : dict
        Last answered lists by attempt.
    lease_ends : dict
        For each attempt the greatest lease end that was ever sent or shown, on the
        worker's clock.
    seen : set of AttemptKey
        Attempts that were listed by the worker in its present incarnation.
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
    """Return the worker's clock at the owner's time `now`.

    Parameters
    ----------
    view : WorkerView
        A view that is `has_answered`.
    now : float
        Owner's clock in seconds.
    drift : float
        Largest relative difference of the two clocks' speeds; the result is a lower
        bound of the worker's clock when it is given.
    """
    passed_s = now - view.heard_at
    return view.clock_s + passed_s * (1.0 - drift if passed_s > 0.0 else 1.0 + drift)


def record_lease_end(view: WorkerView, key: AttemptKey, until: float) -> None:
    """Remember that the worker may hold `key` until `until` on its clock."""
    view.lease_ends[key] = max(until, view.lease_ends.get(key, until))


def reset_incarnation(view: WorkerView, incarnation: int) -> None:
    """Start over with a worker that was restarted; its earlier attempts ended.

    Notes
    -----
    Guards against resuming twice from a checkpoint: the answer to a start is lost, the
    worker restarts and has forgotten that it ran. An attempt that may have been started
    there is over, whether it was listed or not.
    """
    view.seen_attempts.update(view.lease_ends)
    view.incarnation = incarnation
    view.running = {}
    view.finished = {}
    view.lease_ends = {}


def update_view(view: WorkerView, state: WorkerState, now: float) -> None:
    """Take over the lists and the clock of a worker's answer.

    Parameters
    ----------
    view : WorkerView
        Changed in place.
    state : WorkerState
        The worker's answer.
    now : float
        Owner's clock on receiving it.
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
    """Return whether the attempt has certainly ended without the worker's word.

    Parameters
    ----------
    view : WorkerView
        The worker to which the attempt is assigned.
    key : AttemptKey
        The attempt.
    confirmed_at : float
        Owner's clock; a majority of the rack's workers accepted its epoch since.
    drift : float
        Largest relative difference of clock speeds.

    Notes
    -----
    Guards against running a task in two places. The failure: a worker is cut off or
    frozen and its tasks are started elsewhere while they go on there. The guard holds
    since the worker ends an attempt by itself once *its own* clock passes the lease;
    this owner, which alone may renew under this epoch, knows the greatest lease end
    that it ever sent, and waits until the slowest permitted worker clock has passed
    it. A caretaker of which the owner doesn't know may renew too, but only once a
    majority refuses the owner; so the lease must have been over at a time since which
    a majority still accepted it. An owner that never fenced the worker can't know
    what its predecessor sent, so the attempt stays open until the worker is heard from
    or vouched gone.
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
