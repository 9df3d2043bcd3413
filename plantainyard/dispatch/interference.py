"""What is learnt of how much backfilling tasks harm serving ones.

The load that it answers: of all pairs of a serving and a backfilling image some are
harmless and some, a single task of seven cores, put the serving task's tail latency
at twice its target. Nobody declares which.

A serving task's tail, in targets, is taken as a base for its image plus, for each
backfilling image, a weight times the share of the runner's processors that tasks of
that image use. Weights are learnt from each report by normalised least mean squares.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from plantainyard.dispatch.model import Phase, Runner
from plantainyard.platform.runners import HeldRun

__all__ = [
    "Harms",
    "Sample",
    "learn",
    "predict_tail",
    "read_sample",
]

PRIOR = 2.0
"""Weight of a pair that was never seen: a task of a tenth of a runner is expected to
cost a fifth of a target, so that pairs are tried, a few at a time."""

RATE = 0.3
"""Step of learning; on recorded reports it halves the error of the base alone within
some 20 reports of a pair, and higher steps follow the noise."""

FLOOR = 0.02
"""Added to the squared size of a sample: reports with next to no backfilling work
teach the base and not the weights."""

BASE = 0.4
"""A tail without any backfilling work, in targets, before any report."""

WORST = 6.0
"""Greatest tail that is learnt from, in targets; beyond it queues build up and the
tail says nothing about its cause."""


@dataclass(slots=True, eq=False)
class Harms:
    """Weights by pair (serving image, backfilling image), bases by serving image."""

    weights: dict[tuple[str, str], float] = field(default_factory=dict)
    bases: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True, eq=False)
class Sample:
    """One report of a runner.

    Attributes
    ----------
    tails : dict
        Worst tail by serving image, in targets.
    loads : dict
        Share of the runner's processors in use by backfilling image.
    """

    tails: dict[str, float] = field(default_factory=dict)
    loads: dict[str, float] = field(default_factory=dict)


def read_sample(runner: Runner, running: Iterable[HeldRun]) -> Sample:
    """Return what a report says about harm at the runner."""
    sample = Sample()
    assert runner.entry is not None
    cpu = max(1, runner.entry.capacity.cpu)
    for row in running:
        task = runner.tasks.get(row.task)
        if task is None or row.load is None or task.phase != Phase.RUNNING:
            continue
        spec = task.step.spec
        if spec.target_ms and row.percent >= 100:
            tail = row.load / spec.target_ms
            sample.tails[spec.image] = max(sample.tails.get(spec.image, 0.0), tail)
        elif spec.backfill:
            load = sample.loads.get(spec.image, 0.0)
            sample.loads[spec.image] = load + row.load / cpu
    return sample


def learn(harms: Harms, sample: Sample) -> None:
    """Move the weights towards what a report shows."""
    size = FLOOR + sum(load * load for load in sample.loads.values())
    for serving, tail in sample.tails.items():
        error = min(tail, WORST) - predict_tail(harms, serving, sample.loads)
        for image, load in sample.loads.items():
            weight = harms.weights.get((serving, image), PRIOR)
            moved = weight + RATE * error * load / size
            harms.weights[serving, image] = max(0.0, moved)
        base = harms.bases.get(serving, BASE) + RATE * error * FLOOR / size
        harms.bases[serving] = min(0.9, max(0.05, base))


def predict_tail(harms: Harms, serving: str, loads: Mapping[str, float]) -> float:
    """Return the tail in targets that a serving image has beside `loads`."""
    return harms.bases.get(serving, BASE) + sum(
        harms.weights.get((serving, image), PRIOR) * load
        for image, load in loads.items()
    )
