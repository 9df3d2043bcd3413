"""Bounds of runs that aren't known to have begun, on which a successor relies.

A run that was stored may never begin: its start is lost, or its runner leaves. A new
owner that can't reach the runner would wait for the longest lease, since its
predecessor may go on renewing. The stored progress therefore bounds the runs of
interrupted long-running tasks: until it is stored that such a run was seen, no lease
beyond the bound is granted at its runner.
"""

from plantainyard.dispatch.leases import find_end_of_lease, get_lease_end
from plantainyard.dispatch.limits import Limits
from plantainyard.dispatch.model import Phase, Runner, StepRun, Task
from plantainyard.dispatch.orders import send_stop
from plantainyard.dispatch.state import Dispatcher, mark_dirty

__all__ = [
    "confirm_seen",
    "limit_assigned",
    "list_seen",
    "list_unseen_s",
    "maintain_unseen",
    "restore_unseen",
]

COMMIT_ALLOWANCE_S = 0.8
"""Time for storing an assignment; its start is sent after that, with a whole lease."""

STOP_MARGIN_S = 2.0
"""Time before the bound at which a run is stopped that couldn't be stored as seen. It
stops within a second, which leaves another one to renew its neighbours' leases."""

SEEN_COMMIT_S = 0.5
"""Time for which a run that was seen isn't stopped, as the record of that may be under
way."""

REFRESH_S = 1.0
"""Time between records of the bounds that a new owner inherits, so that its successor
inherits what remains."""


def limit_assigned(state: Dispatcher, now: float) -> None:
    """Bound the assigned runs of interrupted long-running tasks.

    Notes
    -----
    Called when their assignments are about to be stored. Everything that runs at a
    runner has the same lease, so that the bound covers all leases granted there so far.
    """
    for task in state.assigned:
        is_restart = task.step.spec.long_running and task.run > 1
        if is_restart and task.phase == Phase.STORING:
            runner = state.runners[task.incarnation]
            task.seen_in_report = False
            task.unseen_end = _find_bound(runner, state.limits, now)
            state.unseen_tasks.append(task)


def _find_bound(runner: Runner, limits: Limits, now: float) -> float:
    sent_at = now + COMMIT_ALLOWANCE_S
    start_end = find_end_of_lease(limits, limits.restart_lease_s, sent_at)
    return max(start_end, get_lease_end(runner))


def list_unseen_s(step: StepRun, now: float) -> dict[int, float]:
    """Return what remains of the bounds of a step's unseen runs, by the task's number.

    Notes
    -----
    It is stored as a duration, which a successor counts from its own reading.
    """
    return {
        task.key.number: max(0.0, round(task.unseen_end - now, 3))
        for task in step.tasks
        if _is_unseen(task)
    }


def _is_unseen(task: Task) -> bool:
    if not task.unseen_end or task.phase == Phase.RUNNING:
        return False
    return task.phase in Phase.ACTIVE and not task.seen_in_report


def list_seen(steps: list[StepRun]) -> list[tuple[Task, int]]:
    """Return the runs that the progress of these steps no longer lists as unseen."""
    tasks = [task for step in steps for task in step.tasks]
    return [(t, t.run) for t in tasks if t.unseen_end and not _is_unseen(t)]


def confirm_seen(seen: list[tuple[Task, int]]) -> None:
    """Lift the bounds of runs that are stored as seen."""
    for task, run in seen:
        if task.run == run:
            task.unseen_end = 0.0


def restore_unseen(state: Dispatcher, task: Task, left_s: float, now: float) -> None:
    """Restore the bound of a run that a predecessor stored."""
    task.unseen_end = find_end_of_lease(state.limits, left_s, now)
    state.unseen_tasks.append(task)


def maintain_unseen(state: Dispatcher, now: float) -> None:
    """Store inherited bounds again, and stop runs that couldn't be stored as seen.

    Notes
    -----
    Guards against the loss of everything at a runner: while the store is away, a run
    can't be stored as seen, and no lease beyond its bound is granted there.
    """
    state.unseen_tasks = [task for task in state.unseen_tasks if task.unseen_end]
    refresh_due = now - state.unseen_stored_at >= REFRESH_S
    for task in state.unseen_tasks:
        runner = state.runners.get(task.incarnation)
        if _is_stop_due(task, now):
            send_stop(state, task, now)
        elif refresh_due and runner is not None and not runner.has_reported:
            mark_dirty(state, task.step)
            state.unseen_stored_at = now


def _is_stop_due(task: Task, now: float) -> bool:
    if task.phase != Phase.RUNNING or task.resolved_at is None:
        return False
    is_pending = now - task.resolved_at > SEEN_COMMIT_S
    return is_pending and now > task.unseen_end - STOP_MARGIN_S
