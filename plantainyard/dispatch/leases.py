"""Leases: how long what was ordered at a runner can still be at work."""

from plantainyard.dispatch.limits import Limits
from plantainyard.dispatch.model import Runner

__all__ = ["has_lapsed", "make_lease", "note_clock"]


def note_clock(runner: Runner, clock_ms: int, now: float) -> None:
    """Take in the runner's clock from an answer that came at `now`."""
    runner.clock_ms = clock_ms
    runner.clock_at = now


def make_lease(runner: Runner, limits: Limits, now: float) -> int:
    """Return the time on the runner's clock until which a call grants a lease.

    Notes
    -----
    Zero where the clock isn't known: such a call grants nothing. The bound on this
    side is noted before the call is sent, so that a call whose answer is lost counts
    too. A runner's clock may be slow, but is read as if it were exact: the lease then
    ends later on this side, which the bound allows for.
    """
    if not runner.clock_at:
        return 0
    elapsed_s = now - runner.clock_at
    bound = now + (limits.lease_s + elapsed_s) * (1 + limits.clock_drift)
    runner.lease_bound = max(runner.lease_bound, bound + limits.lease_slack_s)
    return round(runner.clock_ms + (elapsed_s + limits.lease_s) * 1000)


def has_lapsed(runner: Runner, now: float) -> bool:
    """Return whether nothing that was ordered there can still be at work."""
    return now > runner.lease_bound
