"""Times and weights of the dispatcher, with the origin of each figure."""

from typing import NamedTuple

__all__ = ["Limits", "choose_lease"]

MAX_LEASE_S = 5.0
"""Longest lease that an owner asks for, where the platform bounds it no shorter: the
tasks of a runner that is cut off stay blocked so long."""

MIN_LEASE_S = 2.8
"""Shortest lease that is of use: a second between two renewals, 1.2 s until the group
misses an owner, 0.3 s until the next one has taken over, and as much again."""

CANCEL_MARGIN_S = 0.2
"""Time by which a lease ends before the bound on cancelled work: a runner's clock that
is 2 % slow adds 0.1 s to it."""


class Limits(NamedTuple):
    """Limits of one dispatcher; times in seconds.

    Attributes
    ----------
    lease_s : float
        Lease of everything at a runner; see `choose_lease`.
    longest_lease_s : float
        The most that a runner grants; bounds what a predecessor may have ordered.
    clock_drift : float
        How much slower a runner's clock may be; the platform says 2 %.
    lease_slack_s : float
        Added to bounds of leases for the time between a lapse and the last kill.
    report_wait_s : float
        Longest wait of a report for an end; one renewal of the lease each.
    watched_report_wait_s : float
        The same where a serving task shares its runner with backfilling ones: the
        platform's figures cover half a second, and harm must be seen twice within it.
    idle_report_interval_s : float
        Time between looks at a runner that runs nothing: a runner that died is found
        before a task is sent there.
    report_retry_s : float
        Time between attempts at a runner that doesn't answer.
    order_retry_s : float
        Time between repeats of an order that wasn't answered.
    refusal_pause_s : float
        Pause of a task after a runner refused it.
    missed_target_s : float
        A serving task may be over its target for so long.
    quarantine_s : float
        Time for which a runner that fails what it starts gets no tasks whose attempts
        are limited; about the length of such a fault's first half.
    quarantine_after : float
        Failures of tasks that hadn't failed elsewhere, without a success between.
    remote_factor : float
        How many times as long a task takes away from its rack.
    """

    lease_s: float = MAX_LEASE_S
    longest_lease_s: float = 10.0
    clock_drift: float = 0.025
    lease_slack_s: float = 0.1
    report_wait_s: float = 1.0
    watched_report_wait_s: float = 0.25
    idle_report_interval_s: float = 1.0
    report_retry_s: float = 0.25
    order_retry_s: float = 0.4
    refusal_pause_s: float = 0.2
    missed_target_s: float = 4.0
    quarantine_s: float = 4.0
    quarantine_after: float = 2.0
    remote_factor: float = 1.0


def choose_lease(longest_lease_s: float, cancelled_s: float) -> float:
    """Return how long a lease an owner asks for, in seconds.

    Parameters
    ----------
    longest_lease_s : float
        The most that a runner grants.
    cancelled_s : float
        Time after which nothing of a cancelled job may be at work any more.

    Notes
    -----
    Long enough for a successor to renew it after its predecessor fell silent: 1.2 s
    until that is noticed, and 0.03 to 0.3 s to take over on most days. Short, since the
    tasks of a runner that is cut off stay blocked so long.

    Guards against cancelled work that goes on: where regions are cut off from each
    other no stop reaches a runner on the other side, and only the end of its lease
    stops what is there. Asked for just before the cut, it ends within the bound.

    Guards against work that ends with each change of owner: a bound so short that no
    successor could renew the lease in time isn't followed below `MIN_LEASE_S`.

    Examples
    --------
    >>> choose_lease(10.0, 3.5)
    3.3
    >>> choose_lease(10.0, 9.0)
    5.0
    >>> choose_lease(10.0, 1.5)
    2.8
    """
    wanted_s = max(MIN_LEASE_S, cancelled_s - CANCEL_MARGIN_S)
    return min(MAX_LEASE_S, longest_lease_s, wanted_s)
