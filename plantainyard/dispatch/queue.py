"""Order in which waiting work is placed when it exceeds the capacity.

Handles bursts of wide jobs: work that is already late, and so worth little to its
caller, must not delay work that can still meet its deadline. A task is called finite if
it runs to completion on reserved processors.
"""

from collections.abc import Iterable, Sequence
from graphlib import TopologicalSorter
from typing import NamedTuple

from plantainyard.batch.checks import is_in_dependency_order
from plantainyard.batch.values import Step, Submission
from plantainyard.dispatch.model import Job, Phase, StepRun

__all__ = [
    "CERTAIN_SHARE",
    "LATE_FACTOR",
    "find_allowed_time_s",
    "find_critical_paths_ms",
    "has_its_turn",
    "has_waiting_tasks",
    "measure_remaining_work",
    "order_steps",
    "set_deadlines",
]


CERTAIN_SHARE = 0.7
"""Share of the estimated remaining time that is taken as certain when deciding whether
a job is late: estimates are off by half in either direction."""


LATE_FACTOR = 3.0
"""Multiple of its objective up to which a late job is still of use to its caller: the
platform's users count later results as not served."""


class _Class:
    """Classes of steps; a lower class is placed first, whatever priority and work."""

    INTERRUPTED = 0
    FINITE_IN_TIME = 1
    FINITE_LATE = 2
    LONG_RUNNING = 3
    REST = 4


class _Lateness:
    """How late a job would end if its step started now."""

    IN_TIME = 0
    LATE = 1
    USELESS = 2


class _SortKey(NamedTuple):
    """Sort key of a step; the smallest is placed first."""

    step_class: int
    lateness: int
    priority: int
    remaining_work: float
    deadline: float


def order_steps(steps: Iterable[StepRun], now: float) -> list[StepRun]:
    """Return steps with waiting tasks in the order in which they are placed.

    Notes
    -----
    The order is:

    1. Interrupted long-running tasks: their users are without service until they run
       again.
    2. Finite tasks that can still be in time. They go before long-running tasks that
       never ran, since both need reserved processors: small gaps are sufficient for
       short tasks, and would be lost to them if given away for good.
    3. Finite tasks that are late but still of use: they occupy a gap for a second, a
       long-running task for a minute.
    4. Long-running tasks that never ran.
    5. The rest. Work that can be in time goes first, then work that is late but still
       of use, both by priority and remaining work, so that as many callers as possible
       are served under overload. Work that is of no more use comes last, the oldest
       first: ordered by work, the largest job would wait for ever.

    The cost is that of sorting plus a pass over the steps of each job.
    """
    work: dict[int, float] = {}

    def make_key(step: StepRun) -> _SortKey:
        job_key = id(step.job)
        if job_key not in work:
            work[job_key] = measure_remaining_work(step.job)
        return _make_sort_key(step, work[job_key], now)

    return sorted(steps, key=make_key)


def _make_sort_key(step: StepRun, remaining_work: float, now: float) -> _SortKey:
    job = step.job
    lateness = _find_lateness(step, now)
    return _SortKey(
        _find_class(step, lateness),
        lateness,
        job.submission.priority,
        0.0 if lateness == _Lateness.USELESS else remaining_work,
        job.deadline,
    )


def _find_lateness(step: StepRun, now: float) -> int:
    job = step.job
    ends_at = now + CERTAIN_SHARE * job.remaining_ms[step.number] / 1000
    if ends_at <= job.deadline:
        return _Lateness.IN_TIME
    return _Lateness.LATE if ends_at <= job.useful_until else _Lateness.USELESS


def _find_class(step: StepRun, lateness: int) -> int:
    if step.spec.long_running:
        waiting = (task for task in step.tasks if task.phase == Phase.WAITING)
        interrupted = any(task.run for task in waiting)
        return _Class.INTERRUPTED if interrupted else _Class.LONG_RUNNING
    if step.spec.backfill or lateness == _Lateness.USELESS:
        return _Class.REST
    return _Class.FINITE_LATE if lateness else _Class.FINITE_IN_TIME


def measure_remaining_work(job: Job) -> float:
    """Return the estimated work of a job's unfinished tasks, in core-seconds."""
    estimates_ms = job.estimates_ms
    return sum(
        (len(step.tasks) - step.done_count)
        * max(step.spec.resources.cpu, 1)
        * (estimates_ms[step.number] if estimates_ms else step.spec.estimate_ms)
        / 1e6
        for step in job.steps.values()
        if step.done_count < len(step.tasks)
    )


def find_critical_paths_ms(
    steps: tuple[Step, ...], estimates_ms: Sequence[float] = ()
) -> tuple[float, ...]:
    """Return, for each step, the estimated time from its start to the job's end in ms.

    Parameters
    ----------
    steps : tuple of Step
        The steps of a job.
    estimates_ms : sequence of float
        Estimated run time of each step's tasks; those that were declared if empty.

    Notes
    -----
    The cost is proportional to the number of steps and dependencies.

    Examples
    --------
    >>> from plantainyard.batch.values import Step
    >>> steps = Step(1, estimate_ms=5), Step(1, estimate_ms=7, after=(0,))
    >>> find_critical_paths_ms(steps)
    (12, 7)
    """
    # Time from the end of each step to the job's end.
    rest = [0.0 if estimates_ms else 0] * len(steps)
    paths: list[float] = [0] * len(steps)
    for number in reversed(_sort_by_dependency(steps)):
        own = estimates_ms[number] if estimates_ms else steps[number].estimate_ms
        paths[number] = own + rest[number]
        path = paths[number]
        for earlier in steps[number].after:
            if rest[earlier] < path:
                rest[earlier] = path
    return tuple(paths)


def _sort_by_dependency(steps: tuple[Step, ...]) -> Sequence[int]:
    """Return the numbers of a job's steps, each after those that it waits for."""
    if is_in_dependency_order(steps):
        return range(len(steps))
    sorter = TopologicalSorter({n: step.after for n, step in enumerate(steps)})
    return tuple(sorter.static_order())


def find_allowed_time_s(submission: Submission, path_ms: float | None = None) -> float:
    """Return the time that a job may take, in seconds.

    Parameters
    ----------
    submission : Submission
        The job.
    path_ms : float, optional
        Estimated length of its longest chain of steps; as declared if left out.
    """
    if path_ms is None:
        path_ms = max(find_critical_paths_ms(submission.steps))
    allowed_ms = submission.stretch * path_ms + submission.target_latency_ms
    return allowed_ms / 1000


def set_deadlines(job: Job, accepted: float) -> None:
    """Set the times from which a job is late, and from which it is of no more use."""
    job.accepted_at = accepted
    allowed_s = find_allowed_time_s(job.submission, max(job.remaining_ms))
    job.deadline = accepted + allowed_s
    job.useful_until = accepted + LATE_FACTOR * allowed_s


def has_its_turn(step: StepRun) -> bool:
    """Return whether all steps are done that the tasks of a step wait for.

    Notes
    -----
    Another unit hands over only tasks whose turn has come, without the steps before.
    """
    job = step.job
    earlier = (job.steps.get((step.occurrence, n)) for n in step.spec.after)
    return all(s is None or s.done_count == len(s.tasks) for s in earlier)


def has_waiting_tasks(step: StepRun) -> bool:
    """Return whether a task of the step waits for a runner."""
    return any(task.phase == Phase.WAITING for task in step.tasks)
