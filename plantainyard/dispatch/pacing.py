"""How fast backfilling tasks may work beside serving ones.

The load that it answers: a backfilling task disturbs the serving tasks of its runner
by an amount that nobody knows beforehand and that changes within seconds; the only
sign is the serving tasks' tail latency over the last half second.
"""

from plantainyard.dispatch.interference import Harms, Sample, find_weight
from plantainyard.dispatch.model import Phase, Runner

__all__ = ["adjust_paces", "has_backfill", "has_targets", "pace_of"]

FULL = 100
"""Share at which a task works as fast as it can."""

HIGH = 0.92
"""Tail in targets above which backfilling work is slowed. Serving tasks reach 0.7 by
their own load, and a lower bound slows work that isn't the cause."""

GOAL = 0.8
"""Tail in targets that slowing aims at."""

LOW = 0.75
"""Tail in targets below which work is let go faster."""

LEAST = 8
"""Shares below it are taken as a stop: they still disturb, and do next to no work."""

FASTER = 30
"""Most points added with one report."""

BLAMELESS = 0.04
"""Part of a target below which an image's share of a tail isn't worth slowing it: it
is less than the tail moves from one report to the next."""


def pace_of(runner: Runner, image: str) -> int:
    """Return the share of full speed of the runner's tasks of a backfilling image."""
    return runner.paces.get(image, FULL)


def adjust_paces(runner: Runner, harms: Harms, sample: Sample, stop_all: bool) -> None:
    """Choose the paces of the runner's backfilling images after a report.

    Parameters
    ----------
    runner : Runner
        Its `paces` are changed in place.
    harms : Harms
        What is learnt of pairs.
    sample : Sample
        The report.
    stop_all : bool
        A target has been missed for long; nothing that backfills may go on.

    Notes
    -----
    The tail and the processor time in use cover the same half second. The new pace is
    worked out from the load that was measured, not from the last pace, and so work
    that was slowed a moment ago isn't slowed for the same reason again.
    """
    worst = max(sample.tails.values(), default=0.0)
    full = _full_loads(runner)
    if stop_all:
        runner.paces = dict.fromkeys(full, 0)
    elif worst > HIGH:
        _slow(runner, harms, sample, full)
    elif worst < LOW:
        _hasten(runner, harms, sample, full)
    runner.paces = {f: p for f, p in runner.paces.items() if p < FULL or f in full}


def _full_loads(runner: Runner) -> dict[str, float]:
    """Return the load of each backfilling image at full speed."""
    assert runner.entry is not None
    cpu = max(1, runner.entry.capacity.cpu)
    loads: dict[str, float] = {}
    for task in runner.tasks.values():
        spec = task.step.spec
        if spec.backfill and task.phase == Phase.RUNNING:
            loads[spec.image] = loads.get(spec.image, 0.0) + spec.resources.cpu / cpu
    return loads


def _slow(runner: Runner, harms: Harms, sample: Sample, full: dict[str, float]) -> None:
    for serving, tail in sample.tails.items():
        if tail <= HIGH:
            continue
        excess = tail - GOAL
        shares = {
            image: find_weight(harms, serving, image) * load
            for image, load in sample.loads.items()
            if find_weight(harms, serving, image) * load > BLAMELESS
        }
        for image in sorted(shares, key=lambda f: shares[f], reverse=True):
            if excess <= 0:
                break
            kept = max(0.0, 1.0 - excess / max(shares[image], 1e-6))
            excess -= shares[image]
            load = sample.loads[image] * kept
            _lower(runner, image, load, full)
        if excess > 0 and tail > 1.0:
            # The weights don't explain it: whoever works is slowed.
            for image, load in sample.loads.items():
                _lower(runner, image, load / 2, full)


def _lower(runner: Runner, image: str, load: float, full: dict[str, float]) -> None:
    wanted = int(FULL * load / max(full.get(image, 0.0), 1e-6))
    pace = min(pace_of(runner, image), wanted)
    runner.paces[image] = pace if pace >= LEAST else 0


def _hasten(
    runner: Runner, harms: Harms, sample: Sample, full: dict[str, float]
) -> None:
    """Let the least harmful images go faster while the targets allow it."""
    room = {serving: GOAL - tail for serving, tail in sample.tails.items()}
    slowed = [image for image in runner.paces if pace_of(runner, image) < FULL]
    for image in sorted(slowed, key=lambda f: _worst_weight(harms, sample, f)):
        load = full.get(image, 0.0)
        steps = [
            left / max(find_weight(harms, serving, image) * load, 1e-6)
            for serving, left in room.items()
        ]
        more = int(min(FASTER, FULL * min(steps, default=1.0)))
        if more <= 0:
            continue
        pace = min(FULL, pace_of(runner, image) + more)
        runner.paces[image] = pace if pace >= LEAST else 0
        for serving in room:
            weight = find_weight(harms, serving, image)
            room[serving] -= weight * load * more / FULL


def _worst_weight(harms: Harms, sample: Sample, image: str) -> float:
    return max(
        (find_weight(harms, serving, image) for serving in sample.tails),
        default=0.0,
    )


def has_targets(runner: Runner) -> bool:
    """Return whether a serving task with a target is on the runner."""
    return any(task.step.spec.target_ms for task in runner.tasks.values())


def has_backfill(runner: Runner) -> bool:
    """Return whether backfilling tasks run on the runner."""
    return any(
        task.step.spec.backfill and task.phase == Phase.RUNNING
        for task in runner.tasks.values()
    )
