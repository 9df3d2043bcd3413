"""In which order waiting work is placed when there is more of it than room.

The load that it answers is a burst of wide jobs: work that is late already, and so
worth little to its caller, must not delay work that can still be in time.
"""

from collections.abc import Iterable
from typing import NamedTuple

from plantainyard.batch.values import Step, Submission
from plantainyard.dispatch.model import Job, Phase, StepRun

__all__ = [
    "find_allowed_time_s",
    "find_critical_paths_ms",
    "find_deadline",
    "has_waiting_tasks",
    "measure_remaining_work",
    "order_steps",
    "set_deadlines",
]


CERTAIN_SHARE = 0.7
"""Part of the estimated remaining time that is taken for certain when a job is judged
to be late: estimates are off by half in either direction."""


LATE_FACTOR = 3.0
"""Multiple of its objective up to which a late job is still of use to its caller: the
platform's users count what comes later as not served."""


class _Turn:
    """Who is placed before whom, whatever the priority and the work."""

    INTERRUPTED = 0
    COUNTED_IN_TIME = 1
    COUNTED_LATE = 2
    LASTING = 3
    REST = 4


class _Delay:
    """What becomes of a job that starts now."""

    NONE = 0
    LATE = 1
    OF_NO_USE = 2


class _Rank(NamedTuple):
    """Sort key of a step: the least comes first."""

    turn: int
    delay: int
    priority: int
    work_left: float
    deadline: float


def order_steps(steps: Iterable[StepRun], now: float) -> list[StepRun]:
    """Return steps with waiting tasks in the order in which they are placed.

    Notes
    -----
    Long-running tasks that were at work come first: their users are without service
    until they run again. Counted tasks that can still be in time go before long-running
    ones that never ran, since both need processors that are reserved: the gaps that are
    left are enough for short tasks, and given away for good they would be lost. Counted
    tasks that are late and still of use come next: they hold a gap for a second, and a
    long-running one for a minute. Then the rest: what can still be in time, then what
    is late and still of use, both by priority and by the work that is left, so that as
    many callers as possible are served when there is more work than room; then what is
    of no use any more, the oldest first: by work the largest would wait for ever. The
    cost is that of sorting, and a pass over the steps of each job.
    """
    return sorted(steps, key=lambda step: _rank(step, now))


def _rank(step: StepRun, now: float) -> _Rank:
    job = step.job
    delay = _find_delay(step, now)
    return _Rank(
        _find_turn(step, delay),
        delay,
        job.submission.priority,
        0.0 if delay == _Delay.OF_NO_USE else measure_remaining_work(job),
        job.deadline,
    )


def _find_delay(step: StepRun, now: float) -> int:
    job = step.job
    ends_at = now + CERTAIN_SHARE * job.left_ms[step.number] / 1000
    if ends_at <= job.deadline:
        return _Delay.NONE
    return _Delay.LATE if ends_at <= job.useless_at else _Delay.OF_NO_USE


def _find_turn(step: StepRun, delay: int) -> int:
    if step.spec.long_running:
        waiting = (task for task in step.tasks if task.phase == Phase.WAITING)
        interrupted = any(task.run for task in waiting)
        return _Turn.INTERRUPTED if interrupted else _Turn.LASTING
    if step.spec.backfill or delay == _Delay.OF_NO_USE:
        return _Turn.REST
    return _Turn.COUNTED_LATE if delay else _Turn.COUNTED_IN_TIME


def measure_remaining_work(job: Job) -> float:
    """Return the estimated work that is left of a job's open steps, in core-seconds."""
    return sum(
        (len(step.tasks) - step.done)
        * max(step.spec.resources.cpu, 1)
        * step.spec.estimate_ms
        / 1e6
        for step in job.steps.values()
    )


def find_critical_paths_ms(steps: tuple[Step, ...]) -> tuple[float, ...]:
    """Return, for each step, the estimated time from its start to the job's end in ms.

    Examples
    --------
    >>> from plantainyard.batch.values import Step
    >>> steps = Step(1, estimate_ms=5), Step(1, estimate_ms=7, after=(0,))
    >>> find_critical_paths_ms(steps)
    (12, 7)
    """
    chains: dict[int, float] = {}
    followers = {
        number: [n for n, step in enumerate(steps) if number in step.after]
        for number in range(len(steps))
    }
    left = set(followers)
    while left:
        ready = {n for n in left if not left.intersection(followers[n])}
        if not ready:
            break
        for number in ready:
            longest = max((chains[n] for n in followers[number]), default=0)
            chains[number] = steps[number].estimate_ms + longest
        left -= ready
    return tuple(chains.get(number, 0) for number in range(len(steps)))


def find_deadline(
    submission: Submission, accepted: float, factor: float = 1.0
) -> float:
    """Return the time until which a job meets its objective by its own estimates.

    Parameters
    ----------
    submission : Submission
        The job.
    accepted : float
        When it was accepted.
    factor : float
        Multiple of the objective.
    """
    return accepted + factor * find_allowed_time_s(submission)


def find_allowed_time_s(submission: Submission) -> float:
    """Return the time that a job may take by its own estimates, in seconds."""
    chain_ms = max(find_critical_paths_ms(submission.steps))
    allowed_ms = submission.stretch * chain_ms + submission.target_latency_ms
    return allowed_ms / 1000


def set_deadlines(job: Job, accepted: float) -> None:
    """Take note of when a job is late, and when it is of no use any more."""
    job.deadline = find_deadline(job.submission, accepted)
    job.useless_at = find_deadline(job.submission, accepted, LATE_FACTOR)


def has_waiting_tasks(step: StepRun) -> bool:
    """Return whether a task of the step waits for a runner."""
    return any(task.phase == Phase.WAITING for task in step.tasks)
