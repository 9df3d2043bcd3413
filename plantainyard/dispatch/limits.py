"""Time limits and thresholds of the dispatcher."""

import math
from typing import NamedTuple

from plantainyard.dispatch.policy import NO_POLICY, SchedulingPolicy

__all__ = ["Limits", "choose_lease"]

MAX_LEASE_S = 5.0
"""Longest lease that an owner requests unless the platform allows less: the tasks of a
runner that is cut off stay blocked for that long."""

MIN_LEASE_S = 2.8
"""Shortest useful lease: 1 s between two renewals, 1.2 s until the group misses an
owner, 0.3 s until its successor has taken over, and as much again."""

CANCEL_MARGIN_S = 0.2
"""Time by which a lease ends before the bound on cancelled work: a runner's clock that
is 2 % slow adds 0.1 s to the lease."""


class Limits(NamedTuple):
    """Limits of one dispatcher; times in seconds.

    Attributes
    ----------
    lease_s : float
        Lease on everything that runs at a runner; see `choose_lease`.
    longest_lease_s : float
        Longest lease that a runner grants; bounds what a predecessor may have ordered.
    clock_drift : float
        Relative amount by which a runner's clock may be slow; the platform specifies
        2 %.
    lease_slack_s : float
        Added to the bounds of leases for the time between a lapse and the last kill.
    late_call_s : float
        Longest time after which a call without an answer may still be executed; the
        platform executes such calls 2 to 12 s late.
    report_wait_s : float
        Longest time for which a report request waits for a run to end; each request
        renews the lease once.
    watched_report_wait_s : float
        The same if a serving task shares its runner with backfill tasks: the platform's
        tail latencies cover half a second, in which interference must be seen twice.
    idle_report_interval_s : float
        Time between report requests to a runner without tasks, so that a dead runner is
        detected before a task is sent there.
    report_retry_s : float
        Time between report requests to a runner that doesn't answer.
    order_retry_s : float
        Time between repetitions of an unanswered order.
    restart_lease_s : float
        Longest lease in the start of an interrupted long-running task. It is repeated
        for that long, so that the task can try a third runner before the platform
        counts it as forgotten, 9 s after its last run; reports renew the lease once the
        task runs.
    refusal_pause_s : float
        Pause of a task after a runner refused it.
    missed_target_s : float
        Longest time for which a serving task may exceed its latency target.
    quarantine_s : float
        Time for which a runner that fails the tasks that it starts gets no tasks with
        limited attempts; about half the duration of such a fault.
    quarantine_after : float
        Number of failures without a success in between, of tasks that hadn't failed
        elsewhere, that lead to quarantine.
    remote_factor : float
        Factor by which a task takes longer away from its preferred rack.
    evacuation_age_s : float
        Age of the last reading of the evacuations above which nothing is started;
        infinite if the platform has no evacuations.
    policy : SchedulingPolicy
        The scheduling parts that are switched on.
    """

    lease_s: float = MAX_LEASE_S
    longest_lease_s: float = 10.0
    clock_drift: float = 0.025
    lease_slack_s: float = 0.1
    late_call_s: float = 12.0
    report_wait_s: float = 1.0
    watched_report_wait_s: float = 0.25
    idle_report_interval_s: float = 1.0
    report_retry_s: float = 0.25
    order_retry_s: float = 0.4
    restart_lease_s: float = MIN_LEASE_S
    refusal_pause_s: float = 0.2
    missed_target_s: float = 4.0
    quarantine_s: float = 4.0
    quarantine_after: float = 2.0
    remote_factor: float = 1.0
    evacuation_age_s: float = math.inf
    policy: SchedulingPolicy = NO_POLICY


def choose_lease(longest_lease_s: float, cancelled_s: float) -> float:
    """Return the length of the leases that an owner requests, in seconds.

    Parameters
    ----------
    longest_lease_s : float
        Longest lease that a runner grants.
    cancelled_s : float
        Time after which nothing of a cancelled job may still be running.

    Notes
    -----
    The lease is long enough for a successor to renew it after its predecessor fell
    silent: that takes 1.2 s to be noticed, and the take-over another 0.03 to 0.3 s on
    most days. It is short, because the tasks of a runner that is cut off stay blocked
    until it ends.

    Guards against cancelled work that keeps running: if regions are cut off from each
    other, no stop reaches a runner on the other side, and only the end of its lease
    stops what runs there. Even a lease that is requested just before the cut ends
    within the bound.

    Guards against work that ends with each change of owner: a bound so short that no
    successor could renew the lease in time is not followed below `MIN_LEASE_S`.

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
