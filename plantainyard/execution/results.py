"""When an attempt has ended, as its worker's word or its silence tells."""

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
    """Return how an assigned attempt has ended, None where it may go on.

    Parameters
    ----------
    view : WorkerView
        What is known of its worker.
    key : AttemptKey
        The attempt.
    assignment : Assignment
        What the log says of it.
    confirmed_at : float
        Owner's clock at which a majority last confirmed the owner.
    drift : float
        Largest relative difference of clock speeds.
    """
    finished = view.finished.get(key)
    if finished is not None:
        return _translate_end(finished)
    if has_lapsed(view, key, confirmed_at, drift):
        return ResultItem(*key, Outcome.LAPSED, "lease over")
    if _was_lost_by_restart(view, key, assignment):
        return ResultItem(*key, Outcome.LAPSED, "worker restarted")
    if _was_never_started(view, key):
        return ResultItem(*key, Outcome.EVICTED, assignment.checkpoint)
    return None


def _translate_end(finished: FinishedTask) -> ResultItem:
    key = AttemptKey(finished.task, finished.attempt)
    if finished.outcome == _STOPPED:
        return ResultItem(*key, Outcome.EVICTED, "")
    return ResultItem(*key, finished.outcome, finished.detail)


def _was_lost_by_restart(
    view: WorkerView, key: AttemptKey, assignment: Assignment
) -> bool:
    """Tell whether a restarted worker may have run the attempt and forgotten it.

    Notes
    -----
    Guards against resuming twice from a checkpoint: the former owner's start arrived,
    then the worker restarted, and a new owner finds the attempt assigned and not
    listed. Nobody starts it now, for the worker accepted this epoch.
    """
    listed = key in view.running or key in view.finished
    known = view.fenced and assignment.incarnation >= 0
    return known and not listed and view.incarnation != assignment.incarnation


def _was_never_started(view: WorkerView, key: AttemptKey) -> bool:
    return (
        view.info.leaving
        and view.fenced
        and key not in view.seen_attempts
        and key not in view.lease_ends
    )
