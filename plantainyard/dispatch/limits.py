"""Times and weights of the dispatcher, with the origin of each figure."""

from typing import NamedTuple

__all__ = ["Limits"]


class Limits(NamedTuple):
    """Limits of one dispatcher; times in seconds.

    Attributes
    ----------
    lease_s : float
        Lease of everything at a runner. Long enough for a successor to renew it after
        its predecessor fell silent (1.2 s until it is noticed and a second until all
        runners are called); short, since the tasks of a runner that is cut off stay
        blocked so long.
    longest_lease_s : float
        The most that a runner grants; bounds what a predecessor may have ordered.
    clock_drift : float
        How much slower a runner's clock may be; the platform says 2 %.
    lease_slack_s : float
        Added to bounds of leases for the time between a lapse and the last kill.
    hold_wait_s : float
        Longest wait of a report for an end; one renewal of the lease each.
    watch_wait_s : float
        The same where a serving task shares its runner with backfilling ones: the
        platform's figures cover half a second, and harm must be seen twice within it.
    idle_hold_s : float
        Time between looks at a runner that runs nothing: a runner that died is found
        before a task is sent there.
    hold_retry_s : float
        Time between attempts at a runner that doesn't answer.
    order_retry_s : float
        Time between repeats of an order that wasn't answered.
    retry_s : float
        Pause of a task after a runner refused it.
    harm_s : float
        A serving task may be over its target for so long.
    quarantine_s : float
        Time for which a runner that fails what it starts gets no tasks whose attempts
        are limited; about the length of such a fault's first half.
    quarantine_after : float
        Failures of tasks that hadn't failed elsewhere, without a success between.
    remote_factor : float
        How many times as long a task takes away from its rack.
    """

    lease_s: float = 5.0
    longest_lease_s: float = 10.0
    clock_drift: float = 0.025
    lease_slack_s: float = 0.1
    hold_wait_s: float = 1.0
    watch_wait_s: float = 0.25
    idle_hold_s: float = 1.0
    hold_retry_s: float = 0.25
    order_retry_s: float = 0.4
    retry_s: float = 0.2
    harm_s: float = 4.0
    quarantine_s: float = 4.0
    quarantine_after: float = 2.0
    remote_factor: float = 1.0
