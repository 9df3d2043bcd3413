"""Results of attempts, from the worker's reports or from expired leases."""

from plantainyard.clients import FinishedTask
from plantainyard.state import (
    Assignment,
    Outcome,
    ResultItem,
)

from .views import AttemptKey, WorkerView, has_lapsed

__all__ = ["find_result"]

_STOPPED = "stopped"


def find_result(
    view: WorkerView,
    key: AttemptKey,
    assignment: Assignment,
    confirmed_at: float,
    drift: float,
) -> ResultItem | None:
    """Return the result of an assigned attempt, or None if it may still run.

    Parameters
    ----------
    view : WorkerView
        View of the worker to which the attempt is assigned.
    key : AttemptKey
        The attempt.
    assignment : Assignment
        The attempt's assignment in the log.
    confirmed_at : float
        Owner's clock at which a majority of the workers last confirmed the owner.
    drift : float
        Largest relative difference between clock rates.
    """
    finished = view.finished.get(key)
    if finished is not None:
        return _build_result(finished)
    if has_lapsed(view, key, confirmed_at, drift):
        return ResultItem(*key, Outcome.LAPSED, "lease over")
    if _was_lost_by_restart(view, key, assignment):
        return ResultItem(*key, Outcome.LAPSED, "worker restarted")
    if _was_never_started(view, key):
        return ResultItem(*key, Outcome.EVICTED, assignment.checkpoint)
    return None


def _build_result(finished: FinishedTask) -> ResultItem:
    key = AttemptKey(finished.task, finished.attempt)
    if finished.outcome == _STOPPED:
        return ResultItem(*key, Outcome.EVICTED, "")
    return ResultItem(*key, finished.outcome, finished.detail)


def _was_lost_by_restart(
    view: WorkerView, key: AttemptKey, assignment: Assignment
) -> bool:
    """Return whether a restarted worker may have run and lost the attempt.

    Notes
    -----
    Guards against resuming twice from a checkpoint: the former owner's start arrived,
    then the worker restarted, and a new owner finds the attempt assigned but not
    listed. No other instance can start it now, because the worker accepted this epoch.
    """
    listed = key in view.running or key in view.finished
    comparable = view.fenced and assignment.incarnation >= 0
    return comparable and not listed and view.incarnation != assignment.incarnation


def _was_never_started(view: WorkerView, key: AttemptKey) -> bool:
    return (
        view.info.leaving
        and view.fenced
        and key not in view.seen_attempts
        and key not in view.lease_ends
    )
