"""Counts of the jobs of which no task has started, summed over all units.

Units hand jobs over to each other while they are counted, so a job in transit must
neither be missed nor be counted twice.
"""

from collections.abc import Iterable
from typing import NamedTuple

from plantainyard.batch.replica import Replica, is_divided

__all__ = ["Pending", "sum_pending", "count_pending"]


class Pending(NamedTuple):
    """The jobs of a queue of which no task is known to have started, as seen by a unit.

    Attributes
    ----------
    waiting : int
        Number of jobs without an assigned run.
    assigned : int
        Number of jobs with an assigned run that no runner is known to have accepted.
    moving : frozenset of str
        Jobs that were handed over whole and that their new unit may not know yet.
    arrived : frozenset of str
        Jobs that this unit received whole, whether or not they count as pending here.
    divided : frozenset of str
        Jobs some of whose tasks were handed over to other units.
    begun : frozenset of str
        Jobs of other units of which a task has started in this unit.
    """

    waiting: int = 0
    assigned: int = 0
    moving: frozenset[str] = frozenset()
    arrived: frozenset[str] = frozenset()
    divided: frozenset[str] = frozenset()
    begun: frozenset[str] = frozenset()


def sum_pending(units: Iterable[Pending]) -> int:
    """Return the number of pending jobs in all units together.

    Parameters
    ----------
    units : iterable of Pending
        The count of each unit.

    Notes
    -----
    Units are queried one after the other, so both units or neither could report a job
    that is being handed over. The sending unit therefore lists the job by name until
    the receiving unit is certain to know it, and the receiving unit lists it as
    arrived, so that it counts once.

    Examples
    --------
    >>> sender = Pending(waiting=3, moving=frozenset({"a", "b"}))
    >>> receiver = Pending(waiting=1, arrived=frozenset({"a"}))
    >>> sum_pending([sender, receiver])
    5
    """
    counts = list(units)
    empty: frozenset[str] = frozenset()
    moving = empty.union(*(count.moving for count in counts))
    arrived = empty.union(*(count.arrived for count in counts))
    divided = empty.union(*(count.divided for count in counts))
    begun = empty.union(*(count.begun for count in counts))
    local = sum(count.waiting + count.assigned for count in counts)
    return local + len(moving - arrived) + len(divided - begun)


def count_pending(replica: Replica, queue: str) -> Pending:
    """Return the pending jobs of a queue according to the records of one unit.

    Notes
    -----
    An assignment is stored before its start order is sent, so a job with an assignment
    may still be pending; only `JobView.started` is conclusive. The function makes one
    pass over the jobs of the unit.
    """
    views = [
        (job_id, view, view.submission)
        for job_id, view in list(replica.jobs.items())
        if not (view.final_state or view.cancelled)
        and view.submission is not None
        and view.submission.queue == queue
    ]
    unstarted = [(j, v, s) for j, v, s in views if not (v.started or s.piece)]
    local = [(j, v, s) for j, v, s in unstarted if v.handed_to is None]
    undivided = [v for _, v, _ in local if not is_divided(v)]
    return Pending(
        waiting=sum(not view.steps for view in undivided),
        assigned=sum(bool(view.steps) for view in undivided),
        moving=frozenset(
            j for j, v, _ in unstarted if v.handed_to is not None and not v.delivered
        ),
        arrived=frozenset(j for j, _, s in local if s.hops),
        divided=frozenset(j for j, v, _ in local if is_divided(v)),
        begun=frozenset(s.job_id for _, v, s in views if s.piece and v.started),
    )
