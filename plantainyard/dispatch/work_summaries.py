"""Summaries of a unit's work by queue and kind, and of the use of its processors.

They show an operator why the jobs of a queue are late: how many of its tasks wait, by
reason, and which kind of work reserves the processors that they wait for.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from plantainyard.batch.values import Step
from plantainyard.dispatch.model import Phase, Runner, StepRun
from plantainyard.dispatch.placing import accepts_tasks, is_finite
from plantainyard.dispatch.state import Dispatcher
from plantainyard.dispatch.timing import TimePart

__all__ = [
    "ProcessorUse",
    "QueueSummary",
    "StepKind",
    "WorkSummary",
    "summarize_work",
]


class StepKind:
    """Names of the kinds of steps, by how their tasks use processors."""

    FINITE = "finite"
    BACKFILL = "backfill"
    LONG_RUNNING = "long_running"


class QueueSummary(NamedTuple):
    """The open work of one queue and kind in a unit.

    Attributes
    ----------
    queue : str
        The queue.
    kind : str
        One of `StepKind`.
    jobs : int
        Jobs that haven't ended and have unfinished tasks of the kind, including single
        tasks that other units have handed over.
    late_jobs, useless_jobs : int
        Those of them whose objective has passed, and whose result is of no more use.
    tasks : dict of str to int
        Ready or assigned tasks by `timing.TimePart`.
    """

    queue: str
    kind: str
    jobs: int
    late_jobs: int
    useless_jobs: int
    tasks: dict[str, int]


class ProcessorUse(NamedTuple):
    """The processors of the runners that accept tasks, in thousandths of a core.

    Attributes
    ----------
    runners, total : int
        Number of the runners, and their processors.
    long_running, finite : int
        Reserved for tasks of these kinds.
    backfill : int
        Requested by backfill tasks, which reserve none.
    largest_gap : int
        Largest unreserved amount at one runner.
    unusable : int
        Processors of registered runners that don't accept tasks now.
    """

    runners: int
    total: int
    long_running: int
    finite: int
    backfill: int
    largest_gap: int
    unusable: int


class WorkSummary(NamedTuple):
    """The open work of a unit by queue, and the use of its processors."""

    queues: list[QueueSummary]
    processors: ProcessorUse


@dataclass(slots=True)
class _Sums:
    jobs: set[int] = field(default_factory=set)
    late_jobs: set[int] = field(default_factory=set)
    useless_jobs: set[int] = field(default_factory=set)
    tasks: Counter[str] = field(default_factory=Counter)


def summarize_work(state: Dispatcher, now: float) -> WorkSummary:
    """Return the open work by queue and kind; only reads, in one pass.

    Notes
    -----
    Long-running jobs have no objective, and are never late.
    """
    sums: dict[tuple[str, str], _Sums] = {}
    for job in list(state.jobs.values()):
        if job.final_state:
            continue
        for step in list(job.steps.values()):
            if step.done_count < len(step.tasks):
                kind = find_step_kind(step.spec)
                key = job.submission.queue, kind
                _add_step(sums.setdefault(key, _Sums()), step, kind, now)
    queues = [
        QueueSummary(
            queue,
            kind,
            len(found.jobs),
            len(found.late_jobs),
            len(found.useless_jobs),
            dict(found.tasks),
        )
        for (queue, kind), found in sorted(sums.items())
    ]
    return WorkSummary(queues, _measure_processors(list(state.runners.values())))


def find_step_kind(spec: Step) -> str:
    """Return the kind of a step, one of `StepKind`."""
    if is_finite(spec):
        return StepKind.FINITE
    return StepKind.BACKFILL if spec.backfill else StepKind.LONG_RUNNING


def _add_step(sums: _Sums, step: StepRun, kind: str, now: float) -> None:
    job = step.job
    sums.jobs.add(id(job))
    if kind != StepKind.LONG_RUNNING and now > job.deadline:
        sums.late_jobs.add(id(job))
        if now > job.useful_until:
            sums.useless_jobs.add(id(job))
    for task in step.tasks:
        if task.phase == Phase.WAITING:
            if task.waiting_since:
                sums.tasks[step.wait_reason or TimePart.WAITING_TURN] += 1
        elif task.phase in (Phase.STORING, Phase.ORDERED):
            sums.tasks[TimePart.ORDERED] += 1
        elif task.phase == Phase.RUNNING:
            sums.tasks[TimePart.WORKING] += 1
        elif task.phase == Phase.STOPPING:
            sums.tasks[TimePart.STOPPING] += 1


def _measure_processors(runners: list[Runner]) -> ProcessorUse:
    usable = [runner for runner in runners if accepts_tasks(runner)]
    reserved: Counter[str] = Counter()
    for runner in usable:
        for task in list(runner.tasks.values()):
            spec = task.step.spec
            reserved[find_step_kind(spec)] += spec.resources.cpu
    gaps = [_sum_cpu([runner]) - runner.reserved_cpu for runner in usable]
    registered = [runner for runner in runners if runner.registered]
    return ProcessorUse(
        len(usable),
        _sum_cpu(usable),
        reserved[StepKind.LONG_RUNNING],
        reserved[StepKind.FINITE],
        reserved[StepKind.BACKFILL],
        max(gaps, default=0),
        _sum_cpu(registered) - _sum_cpu(usable),
    )


def _sum_cpu(runners: Iterable[Runner]) -> int:
    return sum(r.entry.capacity.cpu for r in runners if r.entry is not None)
