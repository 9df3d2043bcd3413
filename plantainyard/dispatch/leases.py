"""Leases: how long what was ordered at a runner can still be at work."""

from plantainyard.dispatch.limits import Limits
from plantainyard.dispatch.model import Runner

__all__ = ["has_lease_expired", "grant_lease", "record_clock"]


def record_clock(runner: Runner, clock_ms: int, now: float) -> None:
    """Take in the runner's clock from an answer that came at `now`."""
    runner.clock_ms = clock_ms
    runner.clock_at = now


def grant_lease(runner: Runner, limits: Limits, renewed_at: float, now: float) -> int:
    """Return the time on the runner's clock until which a call grants a lease.

    Parameters
    ----------
    runner : Runner
        Whom the call goes to.
    limits : Limits
        Length and drift.
    renewed_at : float
        When the last renewal of the ownership that succeeded was sent.
    now : float
        The dispatcher's clock.

    Notes
    -----
    Zero where the clock isn't known: such a call grants nothing.

    Guards against two runs of one task: an owner that is cut off from the store
    together with a runner would keep that runner's tasks alive, while a successor that
    can't reach the runner waits for the longest lease and starts them elsewhere. No
    lease goes beyond the longest one from the last renewal of the ownership, and a
    successor is named only later than that renewal.

    The bound on this
    side is noted before the call is sent, so that a call whose answer is lost counts
    too. A runner's clock may be slow, but is read as if it were exact: the lease then
    ends later on this side, which the bound allows for.
    """
    if not runner.clock_at:
        return 0
    length_s = min(limits.lease_s, renewed_at + limits.longest_lease_s - now)
    if length_s <= 0:
        return 0
    elapsed_s = now - runner.clock_at
    bound = now + (length_s + elapsed_s) * (1 + limits.clock_drift)
    runner.lease_bound = max(runner.lease_bound, bound + limits.lease_slack_s)
    return round(runner.clock_ms + (elapsed_s + length_s) * 1000)


def has_lease_expired(runner: Runner, now: float) -> bool:
    """Return whether nothing that was ordered there can still be at work."""
    return now > runner.lease_bound
