"""In which order waiting work is placed when there is more of it than room.

The load that it answers is a burst of wide jobs: work that is late already, and so
worth little to its caller, must not delay work that can still be in time.
"""

from collections.abc import Iterable
from typing import NamedTuple

from plantainyard.batch.values import Step, Submission
from plantainyard.dispatch.model import Phase, StepRun

__all__ = ["find_deadline", "find_chain_ms", "order_steps"]


class _Rank(NamedTuple):
    """Sort key of a step: the least comes first."""

    lasting_last: bool
    late: bool
    priority: int
    deadline: float


def order_steps(steps: Iterable[StepRun], now: float) -> list[StepRun]:
    """Return steps with waiting tasks in the order in which they are placed.

    Notes
    -----
    Long-running tasks come first: they are few, and their users are without service
    until they run. Then what can still be in time, by priority and by the time until
    which it must be done; then what is late. The cost is that of sorting.
    """
    return sorted(steps, key=lambda step: _rank(step, now))


def _rank(step: StepRun, now: float) -> _Rank:
    job = step.job
    return _Rank(
        not step.spec.long_running,
        now > job.deadline,
        job.submission.priority,
        job.deadline,
    )


def find_chain_ms(steps: tuple[Step, ...]) -> float:
    """Return the estimated length in ms of the longest chain of steps.

    Examples
    --------
    >>> from plantainyard.batch.values import Step
    >>> find_chain_ms((Step(1, estimate_ms=5), Step(1, estimate_ms=7, after=(0,))))
    12
    """
    ends: dict[int, float] = {}
    left = dict(enumerate(steps))
    while left:
        ready = [n for n, step in left.items() if all(b in ends for b in step.after)]
        if not ready:
            break
        for number in ready:
            step = left.pop(number)
            before = max((ends[b] for b in step.after), default=0)
            ends[number] = before + step.estimate_ms
    return max(ends.values(), default=0)


def find_deadline(submission: Submission, accepted: float) -> float:
    """Return the time until which a job meets its objective by its own estimates."""
    chain_ms = find_chain_ms(submission.steps)
    allowed_ms = submission.stretch * chain_ms + submission.target_latency_ms
    return accepted + allowed_ms / 1000


def has_waiting(step: StepRun) -> bool:
    """Return whether a task of the step waits for a runner."""
    return any(task.phase == Phase.WAITING for task in step.tasks)
