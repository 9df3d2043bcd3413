"""How fast backfilling tasks may work beside serving ones.

The load that it answers: a backfilling task disturbs the serving tasks of its runner
by an amount that nobody knows beforehand and that changes within seconds; the only
sign is the serving tasks' tail latency over the last half second.
"""

from plantainyard.dispatch.model import Phase, Runner

__all__ = ["choose_pace", "find_harm", "has_backfill", "has_targets"]

AT_WORK = 100
"""Progress of a long-running task that has started up."""

SLOWER = 0.5
"""Factor while a target is missed: from full speed to a stop in five reports, which
at four reports a second is a third of the time that harm may last."""

LEAST = 10
"""Shares below it are taken as a stop: they still disturb, and do next to no work."""

FASTER = 15
"""Points added with each report while all targets are met with a margin."""

CLEAR = 0.75
"""Part of the target below which a tail counts as met with a margin."""


def find_harm(runner: Runner, loads: dict[object, float]) -> float:
    """Return the worst tail latency of the runner's serving tasks, in targets.

    Parameters
    ----------
    runner : Runner
        With its tasks.
    loads : dict
        Reported load by task; for serving tasks the tail latency in ms.

    Returns
    -------
    float
        Zero where no serving task is at work.
    """
    return max(
        (
            loads[key] / task.step.spec.target_ms
            for key, task in runner.tasks.items()
            if task.step.spec.target_ms and key in loads
        ),
        default=0.0,
    )


def choose_pace(pace: int, harm: float) -> int:
    """Return the next share of full speed, given the present one and the harm.

    Examples
    --------
    >>> [choose_pace(100, 1.2), choose_pace(12, 1.2), choose_pace(50, 0.5)]
    [50, 0, 65]
    """
    if harm > 1.0:
        slower = int(pace * SLOWER)
        return slower if slower >= LEAST else 0
    if harm < CLEAR:
        return min(100, pace + FASTER)
    return pace


def has_targets(runner: Runner) -> bool:
    """Return whether a serving task with a target is on the runner."""
    return any(task.step.spec.target_ms for task in runner.tasks.values())


def has_backfill(runner: Runner) -> bool:
    """Return whether backfilling tasks run on the runner."""
    return any(
        task.step.spec.backfill and task.phase == Phase.RUNNING
        for task in runner.tasks.values()
    )
