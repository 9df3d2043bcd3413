"""Numbers of jobs, tasks and runners of a dispatcher, for metrics and logs."""

from collections import Counter
from typing import NamedTuple

from plantainyard.dispatch.leases import get_lease_end
from plantainyard.dispatch.model import Runner
from plantainyard.dispatch.state import Dispatcher

__all__ = ["EMPTY_COUNTS", "Counts", "HeldRuns", "count_held_runs", "count_state"]

RUNNER_STATES = ("answering", "silent", "quarantined", "slow")
"""States in which a runner counts, for metrics."""


class Counts(NamedTuple):
    """Numbers of jobs, tasks and runners, for metrics.

    Attributes
    ----------
    jobs : int
        Number of open jobs.
    tasks : dict
        Number of tasks of open jobs, by phase.
    runners : dict
        Number of runners that are ``answering``, ``silent``, ``quarantined`` or
        ``slow``.
    """

    jobs: int
    tasks: dict[str, int]
    runners: dict[str, int]


EMPTY_COUNTS = Counts(0, {}, {})


class HeldRuns(NamedTuple):
    """Runs at runners of which a new owner doesn't know yet what they run.

    Attributes
    ----------
    runs, runners : int
        Number of the runs, and of their runners.
    without_entry : int
        Number of these runs whose runner has no entry.
    longest_bound_s : float
        Longest time until one of them may start elsewhere without a report.
    """

    runs: int
    runners: int
    without_entry: int
    longest_bound_s: float


def count_held_runs(state: Dispatcher, now: float) -> HeldRuns:
    """Return the runs at runners that have no entry or haven't reported."""
    held = [r for r in state.runners.values() if r.tasks and not r.has_reported]
    return HeldRuns(
        sum(len(runner.tasks) for runner in held),
        len(held),
        sum(len(runner.tasks) for runner in held if runner.entry is None),
        round(max([get_lease_end(r) - now for r in held], default=0.0), 3),
    )


def count_state(state: Dispatcher) -> Counts:
    """Return the numbers of jobs, tasks and runners; only reads, in one pass."""
    jobs = list(state.jobs.values())
    tasks = Counter(t.phase for j in jobs for s in j.steps.values() for t in s.tasks)
    runners = Counter(
        _get_runner_state(runner) for runner in list(state.runners.values())
    )
    # A state without runners is listed too, or its gauge would keep the last value.
    by_state = dict.fromkeys(RUNNER_STATES, 0) | dict(runners)
    return Counts(len(jobs), dict(tasks), by_state)


def _get_runner_state(runner: Runner) -> str:
    if not runner.responsive:
        return "silent"
    if runner.quarantined_until:
        return "quarantined"
    return "slow" if runner.slowdown > 1.0 else "answering"
