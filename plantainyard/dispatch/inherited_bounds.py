"""Stored bounds of leases at runners that a new owner can't reach.

A new owner that can't reach a runner waits for the longest lease before it starts the
runner's tasks elsewhere. It stores what remains of that wait, so that its successor
goes on with it, and grants nothing beyond the stored bound until the store has a record
without that runner.
"""

import math
from collections.abc import Mapping

from plantainyard.batch.replica import BOUNDS_KEY, LeaseBounds, encode_bounds
from plantainyard.dispatch.leases import find_end_of_lease, get_lease_end
from plantainyard.dispatch.model import Runner
from plantainyard.dispatch.state import Dispatcher
from plantainyard.platform.store import Record

__all__ = ["confirm_bounds", "encode_changed_bounds", "restore_bound"]

SETTLE_S = 0.5
"""Time after a takeover before bounds are stored; most runners report within it."""

REFRESH_S = 0.5
"""Time between records; a successor waits again for what is over since the last."""


def restore_bound(
    state: Dispatcher, runner: Runner, left_s: Mapping[str, float], now: float
) -> None:
    """Reduce a runner's inherited bound to what remains by the predecessor's record."""
    if runner.incarnation in left_s:
        bound = find_end_of_lease(state.limits, left_s[runner.incarnation], now)
        runner.inherited_bound = min(runner.inherited_bound, bound)


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
    """
    if now - state.took_over_at < SETTLE_S:
        return []
    left_s = _list_bounds(state, now)
    is_outdated = bool(state.stored_bounds - left_s.keys())
    is_due = bool(left_s) and now >= state.bounds_due_at
    if not is_outdated and not is_due and not (has_others and left_s):
        return []
    state.bounds_due_at = now + REFRESH_S
    state.committing_bounds = frozenset(left_s)
    state.stored_bounds |= state.committing_bounds
    for incarnation, seconds in left_s.items():
        runner = state.runners[incarnation]
        runner.grant_limit = min(runner.grant_limit, now + seconds)
    bounds = LeaseBounds(state.epoch, left_s)
    return [Record(BOUNDS_KEY, encode_bounds(bounds))]


def _list_bounds(state: Dispatcher, now: float) -> dict[str, float]:
    return {
        incarnation: math.ceil(1000 * (get_lease_end(runner) - now)) / 1000
        for incarnation, runner in state.runners.items()
        if runner.tasks and not runner.has_reported and get_lease_end(runner) > now
    }


def confirm_bounds(state: Dispatcher) -> None:
    """Lift the limits of runners that the record just stored doesn't list."""
    if state.committing_bounds is None:
        return
    state.stored_bounds = state.committing_bounds
    state.committing_bounds = None
    for incarnation, runner in state.runners.items():
        if incarnation not in state.stored_bounds:
            runner.grant_limit = math.inf
