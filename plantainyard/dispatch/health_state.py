"""State of the health of a unit's runners.

Holds what is known about each runner incarnation and the records of recent steps. It is
in memory only, so that a successor learns it anew.
"""

import math
from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

from plantainyard.batch.tasks import TaskKey
from plantainyard.dispatch.model import Runner, Task
from plantainyard.dispatch.rates import StepKey, StepRecord, get_step_key

__all__ = [
    "Evidence",
    "Failure",
    "Health",
    "RunnerHealth",
    "get_record",
    "get_runner",
]

MAX_FAILURES = 8
"""Failed runs kept for a runner; two without a success in between suspend it."""


class Evidence(NamedTuple):
    """A comparison of one run at a runner.

    Attributes
    ----------
    at : float
        When it was made.
    ratio : float
        Factor by which the run takes longer than its siblings elsewhere.
    weight : float
        How much it counts.
    """

    at: float
    ratio: float
    weight: float


class Failure(NamedTuple):
    """A failed run at a runner: its step, and a factor on its blame."""

    record: StepRecord
    factor: float


@dataclass(slots=True, eq=False)
class RunnerHealth:
    """What is known about one runner incarnation.

    Attributes
    ----------
    failures : deque
        Failed runs since the last success.
    blamed : float
        Part of the runner's failure score that they contribute.
    failing_until : float
        Until then it should be quarantined; zero if it isn't failing.
    accused, accused_from : tuple, float
        The failed runs that led to that, and the least blame for them that upholds it.
    evidence : dict
        Newest comparison of each run, oldest first.
    is_slow : bool
        Whether it counts as slow until tasks or a probe show otherwise.
    ratio : float
        How slow it was by the last evidence of that.
    slow_since, slow_at : float
        When it was found slow, and when a task was last seen to be slow.
    probe, probe_at : tuple or None, float
        The run that probes the runner, and when it was assigned.
    """

    failures: deque[Failure] = field(default_factory=lambda: deque(maxlen=MAX_FAILURES))
    blamed: float = 0.0
    failing_until: float = 0.0
    accused: tuple[Failure, ...] = ()
    accused_from: float = 0.0
    evidence: dict[tuple[TaskKey, int], Evidence] = field(default_factory=dict)
    is_slow: bool = False
    ratio: float = 1.0
    slow_since: float = 0.0
    slow_at: float = 0.0
    probe: tuple[TaskKey, int] | None = None
    probe_at: float = 0.0


@dataclass(slots=True, eq=False)
class Health:
    """State of the unit's runner health; a successor starts without it.

    Attributes
    ----------
    steps : dict
        Records of the steps with recent runs.
    changed : set
        Steps with rates that weren't compared yet.
    runners : dict
        By runner incarnation.
    max_avoided : int
        Number of runners that may be avoided, by the last evaluation.
    avoided : set of str
        Runner incarnations that are quarantined or avoided as slow.
    evaluated_at : float
        When the last evaluation was.
    """

    steps: dict[StepKey, StepRecord] = field(default_factory=dict)
    changed: set[StepKey] = field(default_factory=set)
    runners: dict[str, RunnerHealth] = field(default_factory=dict)
    max_avoided: int = 0
    avoided: set[str] = field(default_factory=set)
    evaluated_at: float = -math.inf


def get_record(health: Health, task: Task) -> StepRecord:
    """Return the record of a task's step, a new one if there is none."""
    key = get_step_key(task)
    record = health.steps.get(key)
    if record is None:
        record = health.steps[key] = StepRecord(task.step.spec.size)
    return record


def get_runner(health: Health, runner: Runner) -> RunnerHealth:
    """Return what is known about a runner incarnation, empty if it is new."""
    return health.runners.setdefault(runner.incarnation, RunnerHealth())
