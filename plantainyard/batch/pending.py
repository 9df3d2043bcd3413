"""Counting the jobs for which no task has started, over units that hand jobs on."""

from collections.abc import Iterable
from typing import NamedTuple

from plantainyard.batch.replica import Replica, is_divided

__all__ = ["Pending", "sum_pending", "count_pending"]


class Pending(NamedTuple):
    """Jobs of a queue for which no task is known to have started, by one unit's word.

    Attributes
    ----------
    waiting : int
        Those of which no run was assigned.
    assigned : int
        Those of which a run was, and no runner is known to have taken it.
    moving : frozenset of str
        Those that were handed over whole, and that their new unit may not know of yet.
    arrived : frozenset of str
        Jobs that were handed to this unit whole, whether they count here or not.
    divided : frozenset of str
        Those some of whose tasks other units have.
    begun : frozenset of str
        Jobs of other units of which a task has started here.
    """

    waiting: int = 0
    assigned: int = 0
    moving: frozenset[str] = frozenset()
    arrived: frozenset[str] = frozenset()
    divided: frozenset[str] = frozenset()
    begun: frozenset[str] = frozenset()


def sum_pending(units: Iterable[Pending]) -> int:
    """Return the number of jobs that wait in all units together.

    Parameters
    ----------
    units : iterable of Pending
        The word of each.

    Notes
    -----
    Units are asked one after the other, so that a job on its way may be told by both or
    by none. The unit that it leaves goes on telling it by name until the other one must
    know it, and whoever has it tells that it has arrived: it counts once.

    Examples
    --------
    >>> old = Pending(waiting=3, moving=frozenset({"a", "b"}))
    >>> new = Pending(waiting=1, arrived=frozenset({"a"}))
    >>> sum_pending([old, new])
    5
    """
    found = list(units)
    none: frozenset[str] = frozenset()
    moving = none.union(*(unit.moving for unit in found))
    arrived = none.union(*(unit.arrived for unit in found))
    divided = none.union(*(unit.divided for unit in found))
    begun = none.union(*(unit.begun for unit in found))
    here = sum(unit.waiting + unit.assigned for unit in found)
    return here + len(moving - arrived) + len(divided - begun)


def count_pending(replica: Replica, queue: str) -> Pending:
    """Return what a unit's records say of a queue's jobs that wait.

    Notes
    -----
    An assignment is stored before its start is sent, so a job with one may wait all the
    same; only `JobView.begun` tells. One pass over the unit's jobs.
    """
    views = [
        (job_id, view, view.submission)
        for job_id, view in list(replica.jobs.items())
        if not (view.final_state or view.cancelled)
        and view.submission is not None
        and view.submission.queue == queue
    ]
    open_ = [(j, v, s) for j, v, s in views if not (v.started or s.piece)]
    here = [(j, v, s) for j, v, s in open_ if v.handed_to is None]
    own = [v for _, v, _ in here if not is_divided(v)]
    return Pending(
        waiting=sum(not view.steps for view in own),
        assigned=sum(bool(view.steps) for view in own),
        moving=frozenset(
            j for j, v, _ in open_ if v.handed_to is not None and not v.delivered
        ),
        arrived=frozenset(j for j, _, s in here if s.hops),
        divided=frozenset(j for j, v, _ in here if is_divided(v)),
        begun=frozenset(s.job_id for _, v, s in views if s.piece and v.started),
    )
