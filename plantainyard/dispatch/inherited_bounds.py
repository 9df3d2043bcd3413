"""Stored bounds of what a successor can't know: leases, and starts under way.

A new owner that can't reach a runner waits for the longest lease before it starts the
runner's tasks elsewhere. It stores what remains of that wait, so that its successor
goes on with it, and grants nothing beyond the stored bound until the store has a record
without that runner.

If the predecessor's process has ended, the wait is for the last lease that it granted.
Owners before it may be cut off and go on, so that each owner also stores for how long
their leases may last.

Starts are sent only after their assignments are stored, and together with these the
runners that may have a start under way are. A successor knows that no other runner has.
"""

import math
from collections.abc import Mapping

from plantainyard.batch.replica import BOUNDS_KEY, LeaseBounds, encode_bounds
from plantainyard.dispatch.leases import (
    find_end_of_any_lease,
    find_end_of_lease,
    get_lease_end,
    limit_inheritance,
)
from plantainyard.dispatch.model import Runner
from plantainyard.dispatch.state import Dispatcher
from plantainyard.dispatch.unanswered_starts import has_waiting, list_starts_s
from plantainyard.platform.entries import split_incarnation
from plantainyard.platform.store_messages import Record

__all__ = [
    "apply_reported_leases",
    "confirm_bounds",
    "encode_changed_bounds",
    "limit_to_last_leases",
    "restore_bound",
]

SETTLE_S = 0.5
"""Time after a takeover before bounds are stored; most runners report within it."""

REFRESH_S = 0.5
"""Time between records; a successor waits again for what is over since the last."""

CHECK_INTERVAL_S = 0.1
"""Time between checks for a record of the bounds alone."""


def restore_bound(
    state: Dispatcher, runner: Runner, left_s: Mapping[str, float], now: float
) -> None:
    """Reduce a runner's inherited bound to what remains by the predecessor's record."""
    if runner.incarnation in left_s:
        bound = find_end_of_lease(state.limits, left_s[runner.incarnation], now)
        runner.inherited_bound = min(runner.inherited_bound, bound)


def apply_reported_leases(
    state: Dispatcher, remaining_s: Mapping[str, float], now: float
) -> None:
    """Reduce the inherited bounds to what a predecessor reported; see `LeasesReported`.

    Parameters
    ----------
    state : Dispatcher
        Changed in place.
    remaining_s : mapping
        By runner id: time in seconds for which leases may remain there.
    now : float
        The dispatcher's clock.
    """
    limits = state.limits
    limit_inheritance(state.runners.values(), remaining_s, limits, now)
    longest_s = max(remaining_s.values(), default=0.0)
    last_end = max(
        find_end_of_any_lease(limits, now), now + longest_s * (1 + limits.clock_drift)
    )
    state.inherited_until = min(state.inherited_until, last_end)


def limit_to_last_leases(state: Dispatcher, ended_s: float, now: float) -> None:
    """Reduce the inherited bounds to the last leases of an owner that has ended.

    Parameters
    ----------
    state : Dispatcher
        Changed in place.
    ended_s : float
        Time in seconds for which the predecessor's process has ended at least.
    now : float
        The dispatcher's clock.

    Notes
    -----
    Guards against a task that waits for the longest lease, although nobody renews the
    leases at its runner any more: that wait is for an owner that is cut off.

    Guards against two runs of one task: an owner before the predecessor may be cut off
    and renew leases, for as long as the predecessor has stored. A call to an earlier
    incarnation may have granted a restarted runner its longest lease.
    """
    ended_at = now - ended_s * (1 - state.limits.clock_drift)
    last_end = find_end_of_any_lease(state.limits, ended_at)
    bound = max(last_end, state.predecessor_inherited_until)
    restarted = {split_incarnation(name)[0] for name in state.inherited_restarts}
    for runner in state.runners.values():
        if runner.runner_id not in restarted:
            runner.inherited_bound = min(runner.inherited_bound, bound)
    state.inherited_until = min(state.inherited_until, bound)


def encode_changed_bounds(
    state: Dispatcher, has_others: bool, now: float
) -> list[Record]:
    """Return the record of the bounds if it is due, and limit later grants by it.

    Parameters
    ----------
    state : Dispatcher
        Changed in place.
    has_others : bool
        Whether other records are stored anyway.
    now : float
        The dispatcher's clock.

    Notes
    -----
    Guards against a task that never starts again: if owners are killed faster than the
    longest lease ends, each of them would wait anew. The cost is a pass over the
    runners, and two records a second while a runner is waited for.

    An append whose answer is lost may have been stored, so that the limit holds from
    its sending on.

    Guards against two runs of one task: a successor that doesn't know of a start under
    way starts the task elsewhere, while a new incarnation carries the start out.
    """
    has_checked = now - state.bounds_checked_at < CHECK_INTERVAL_S
    if has_checked and not has_others and not state.stored_bounds:
        return []
    state.bounds_checked_at = now
    left_s = _list_bounds(state, now)
    if not has_others and not _may_be_due_alone(state, left_s, now):
        return []
    starts_s = list_starts_s(state, now)
    if not _is_due(state, left_s, starts_s, has_others):
        return []
    state.bounds_due_at = now + REFRESH_S
    state.listed_starts = frozenset(starts_s)
    state.committing_bounds = frozenset(left_s)
    state.stored_bounds |= state.committing_bounds
    for incarnation, seconds in left_s.items():
        runner = state.runners[incarnation]
        runner.grant_limit = min(runner.grant_limit, now + seconds)
    inherited_s = _round_up(max(0.0, state.inherited_until - now))
    state.has_listed_end = not inherited_s
    bounds = LeaseBounds(state.epoch, left_s, starts_s, inherited_s)
    return [Record(BOUNDS_KEY, encode_bounds(bounds))]


def _list_bounds(state: Dispatcher, now: float) -> dict[str, float]:
    if not _has_settled(state, now):
        return {}
    return {
        incarnation: _round_up(get_lease_end(runner) - now)
        for incarnation, runner in state.runners.items()
        if runner.tasks and not runner.has_reported and get_lease_end(runner) > now
    }


def _round_up(seconds: float) -> float:
    """Return a time rounded up to milliseconds."""
    return math.ceil(1000 * seconds) / 1000


def _has_settled(state: Dispatcher, now: float) -> bool:
    return now - state.took_over_at >= SETTLE_S


def _may_be_due_alone(
    state: Dispatcher, left_s: Mapping[str, float], now: float
) -> bool:
    """Return whether a record of the bounds alone may be due, by what is cheap to tell.

    Notes
    -----
    Guards against an owner that lists the starts under way after each event: there are
    thousands of events per second under load.
    """
    if state.stored_bounds - left_s.keys():
        return True
    return _has_settled(state, now) and now >= state.bounds_due_at


def _is_due(
    state: Dispatcher,
    left_s: Mapping[str, float],
    starts_s: Mapping[str, float],
    has_others: bool,
) -> bool:
    if state.stored_bounds - left_s.keys():
        return True
    listed = state.listed_starts
    is_shorter = listed is None or bool(listed - starts_s.keys())
    if has_others:
        return bool(left_s or starts_s or is_shorter or not state.has_listed_end)
    return bool(left_s) or is_shorter or has_waiting(state)


def confirm_bounds(state: Dispatcher) -> None:
    """Lift the limits of runners that the record just stored doesn't list."""
    if state.committing_bounds is None:
        return
    state.stored_bounds = state.committing_bounds
    state.committing_bounds = None
    for incarnation, runner in state.runners.items():
        if incarnation not in state.stored_bounds:
            runner.grant_limit = math.inf
