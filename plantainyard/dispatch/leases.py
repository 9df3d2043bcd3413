"""Leases that bound how long runs may continue without contact to their owner."""

import math
from collections.abc import Iterable, Mapping

from plantainyard.dispatch.limits import MAX_LEASE_S, Limits
from plantainyard.dispatch.model import Runner, Task

__all__ = [
    "GONE_AFTER_S",
    "can_start_arrive",
    "can_start_arrive_late",
    "count_earlier_calls",
    "end_inheritance",
    "find_end_of_any_lease",
    "find_end_of_lease",
    "get_lease_end",
    "grant_lease",
    "has_lease_expired",
    "has_run_expired",
    "has_start_expired",
    "inherit_lease",
    "is_gone",
    "limit_inheritance",
    "list_lease_ends",
    "move_start",
]


GONE_AFTER_S = 2.0
"""Time after which a missing entry means that the runner is gone: one that expired with
an outage of the store is back by then."""


def grant_lease(
    runner: Runner,
    limits: Limits,
    renewed_at: float,
    now: float,
    longest_s: float = math.inf,
) -> int:
    """Return the end of the lease that a call grants, and extend the runner's bound.

    Parameters
    ----------
    runner : Runner
        The runner that is called.
    limits : Limits
        Length of leases and drift of clocks.
    renewed_at : float
        When the last successful renewal of the ownership was sent.
    now : float
        The dispatcher's clock.
    longest_s : float
        Longest lease of this call.

    Returns
    -------
    int
        Time on the runner's clock in milliseconds; 0, which grants nothing, if that
        clock is unknown.

    Notes
    -----
    Guards against two runs of one task: an owner that is cut off from the store
    together with a runner would keep that runner's tasks alive, while a successor that
    can't reach the runner waits for the longest lease and starts them elsewhere.
    Therefore no lease extends beyond the longest lease after the last renewal of the
    ownership, and a successor is elected only after that renewal.

    The bound on this side is recorded before the call is sent, so that calls whose
    answer is lost are covered too. A runner's clock may be slow but is read as if it
    were exact; the lease then ends later on this side, which the bound allows for.
    """
    if not runner.clock_at:
        return 0
    elapsed_s = now - runner.clock_at
    left_s = (_find_grant_limit(runner) - limits.lease_slack_s - now) / (
        1 + limits.clock_drift
    )
    length_s = min(
        limits.lease_s,
        longest_s,
        renewed_at + limits.longest_lease_s - now,
        left_s - elapsed_s,
    )
    if length_s <= 0:
        return 0
    bound = now + (length_s + elapsed_s) * (1 + limits.clock_drift)
    runner.lease_bound = max(runner.lease_bound, bound + limits.lease_slack_s)
    return round(runner.clock_ms + (elapsed_s + length_s) * 1000)


def _find_grant_limit(runner: Runner) -> float:
    """Return the time that no lease at a runner may exceed.

    See `unseen_runs` and `inherited_bounds`.
    """
    ends = [task.unseen_end for task in runner.tasks.values() if task.unseen_end]
    return min([runner.grant_limit, *ends])


def has_run_expired(task: Task, runner: Runner, now: float) -> bool:
    """Return whether nothing of the task's run can be running any more."""
    if task.unseen_end and now > task.unseen_end:
        return True
    return has_lease_expired(runner, now) and not can_start_arrive_late(
        task, runner, now
    )


def has_lease_expired(runner: Runner, now: float) -> bool:
    """Return whether everything that was ordered at the runner has surely stopped."""
    return now > get_lease_end(runner)


def get_lease_end(runner: Runner) -> float:
    """Return when everything ordered at the runner, by any owner, has surely ended."""
    return max(runner.lease_bound, runner.inherited_bound)


def is_gone(runner: Runner, now: float) -> bool:
    """Return whether a runner has left for good, as its entry stays away."""
    is_missing = runner.entry is None or not runner.registered
    return is_missing and now > runner.missing_since + GONE_AFTER_S


def list_lease_ends(runners: Iterable[Runner]) -> dict[str, float]:
    """Return the last lease end of each runner, by its id over all incarnations."""
    ends: dict[str, float] = {}
    for runner in runners:
        runner_id = runner.runner_id
        ends[runner_id] = max(
            ends.get(runner_id, 0.0),
            get_lease_end(runner),
            *(task.late_start_end for task in runner.tasks.values()),
        )
    return ends


def inherit_lease(runner: Runner, limits: Limits, now: float) -> None:
    """Record that predecessors may have ordered something at a runner.

    Notes
    -----
    Any of them may go on granting leases until the longest lease after its last
    renewal, which precedes this owner's claim.
    """
    runner.inherited_bound = find_end_of_lease(limits, limits.longest_lease_s, now)


def find_end_of_lease(limits: Limits, lease_s: float, now: float) -> float:
    """Return when a lease that begins at `now` has surely ended."""
    return now + lease_s * (1 + limits.clock_drift) + limits.lease_slack_s


def count_earlier_calls(runner: Runner, limits: Limits, now: float) -> None:
    """Count the leases that calls to earlier incarnations may have granted a runner.

    Parameters
    ----------
    runner : Runner
        An incarnation that has answered a call whose fencing token is above that of all
        calls to earlier incarnations.
    limits : Limits
        Provides the longest lease that a runner grants.
    now : float
        When the answer came.

    Notes
    -----
    Guards against two runs of one task: a renewal that was sent to an earlier
    incarnation carries a time on its clock. The clock of the new incarnation began
    anew, so that it grants its longest lease for everything that runs there. After
    `now` it refuses such calls.
    """
    runner.earlier_calls_end = find_end_of_lease(limits, limits.longest_lease_s, now)
    runner.lease_bound = max(runner.lease_bound, runner.earlier_calls_end)


def end_inheritance(runner: Runner, limits: Limits, now: float) -> None:
    """Reduce the inherited bound of a runner that has answered this owner.

    Notes
    -----
    Guards against a task that waits for the longest lease although its runner was lost
    only after the takeover. A runner that has answered this owner refuses all calls of
    predecessors, so that nothing lasts longer than one lease granted just before the
    answer.
    """
    bound = find_end_of_any_lease(limits, now)
    runner.inherited_bound = min(runner.inherited_bound, bound)


def find_end_of_any_lease(limits: Limits, now: float) -> float:
    """Return when every lease that any owner has granted before `now` has ended.

    Notes
    -----
    It covers leases of all versions, whatever their settings, and a clock that was read
    up to the longest lease before the grant.
    """
    lease_s = min(MAX_LEASE_S, limits.longest_lease_s)
    drift_s = (lease_s + limits.longest_lease_s) * limits.clock_drift
    return now + lease_s + drift_s + limits.lease_slack_s


def limit_inheritance(
    runners: Iterable[Runner],
    remaining_s: Mapping[str, float],
    limits: Limits,
    now: float,
) -> None:
    """Reduce the inherited bounds of runners to what a predecessor reported.

    Notes
    -----
    Guards against a task that waits anew with each change of owner. The report comes
    from a predecessor that grants nothing any more and covers what it inherited itself.
    It was sent before `now`, and clocks of instances may differ in rate like those of
    runners.

    Guards against a second run of a task whose end the predecessor could not store: it
    has forgotten a runner that has left, and a lease there may not have ended.
    """
    for runner in runners:
        left_s = remaining_s.get(runner.runner_id)
        if left_s is None:
            bound = find_end_of_any_lease(limits, now)
        else:
            bound = now + left_s * (1 + limits.clock_drift)
        runner.inherited_bound = min(runner.inherited_bound, bound)


def move_start(task: Task, runner: Runner, limits: Limits) -> None:
    """Record that a task's start may be carried out by a new incarnation.

    Parameters
    ----------
    task : Task
        Changed in place.
    runner : Runner
        The new incarnation, whose entry was just read.
    limits : Limits
        Provides the drift of clocks, and how late a call may be executed.

    Notes
    -----
    The new incarnation refuses the start once its clock shows the end of the lease in
    it, which is a time on another clock and may be far ahead. That end isn't known of a
    start that a predecessor sent.
    """
    task.unseen_end = 0.0
    start_ms = task.start_until_ms if task.starts_sent else math.inf
    task.late_start_ms = max(task.late_start_ms, start_ms)
    task.start_until_ms = 0
    left_s = max(0.0, task.late_start_ms - runner.seen_clock_ms) / 1000
    if left_s == math.inf:
        left_s = limits.late_call_s + limits.longest_lease_s
    drift_s = left_s * limits.clock_drift
    task.late_start_end = runner.seen_at + left_s + drift_s + limits.lease_slack_s


def can_start_arrive_late(task: Task, runner: Runner, now: float) -> bool:
    """Return whether a runner that hasn't answered may carry out an earlier start.

    Notes
    -----
    Guards against two runs of one task: a start that was sent to an earlier incarnation
    is carried out after all leases that were granted to that one have ended. A runner
    whose entry stays away counts as gone.
    """
    return not is_gone(runner, now) and now <= task.late_start_end


def can_start_arrive(task: Task, runner: Runner, now: float) -> bool:
    """Return whether a copy of the task's start could still be carried out."""
    clock_ms = runner.clock_ms + (now - runner.clock_at) * 1000
    return not task.start_until_ms or clock_ms < task.start_until_ms


def has_start_expired(task: Task, limits: Limits, clock_ms: int) -> bool:
    """Return whether the runner refuses all copies of the task's start.

    Parameters
    ----------
    task : Task
        A task whose start was sent.
    limits : Limits
        Provides the time between a lapse and the last kill.
    clock_ms : int
        The runner's clock.

    Notes
    -----
    All copies carry the same lease, and the runner refuses those that arrive after it
    has ended. A run that isn't at the runner by then won't be.
    """
    slack_ms = limits.lease_slack_s * 1000
    return bool(task.start_until_ms) and clock_ms > task.start_until_ms + slack_ms
