"""State of what is learnt of interference; `interference` says what it means."""

from dataclasses import dataclass, field
from typing import NamedTuple

from plantainyard.batch.tasks import TaskKey
from plantainyard.dispatch.samples import Sample

__all__ = [
    "Baseline",
    "WeightEstimate",
    "InterferenceModel",
    "Reading",
    "Trend",
]


@dataclass(slots=True, eq=False)
class WeightEstimate:
    """What is learnt of one serving image, by recursive least squares.

    Attributes
    ----------
    weights : dict
        Weight by backfilling image.
    doubts : dict
        Covariance of the weights, row by row.
    unseen_s : dict
        Seconds since an image was last at work beside it.
    """

    weights: dict[str, float] = field(default_factory=dict)
    covariance: dict[str, dict[str, float]] = field(default_factory=dict)
    unseen_s: dict[str, float] = field(default_factory=dict)


class Baseline(NamedTuple):
    """A margin as it is, or would be, without backfilling work, and its variance."""

    value: float
    variance: float


class Reading(NamedTuple):
    """What one report told of one task's base; `at` is the dispatcher's clock."""

    base: Baseline
    incarnation: str
    at: float
    clean: bool


@dataclass(slots=True, eq=False)
class Trend:
    """Two moving averages of the base of a job, and when they were last moved."""

    fast: float
    slow: float
    at: float


@dataclass(slots=True, eq=False)
class InterferenceModel:
    """What is learnt of a fleet.

    Attributes
    ----------
    estimates : dict
        Estimates by serving image.
    readings : dict
        By job, the last reading of each task and its last one without backfilling work
        beside it (the key's second part tells).
    tracks : dict
        How the bases of serving jobs move.
    last : dict
        By runner's life, its last sample and when it came.
    slow_until : dict
        Runners' lives that were slow by themselves, and until when they count as such.
    """

    estimates: dict[str, WeightEstimate] = field(default_factory=dict)
    readings: dict[str, dict[tuple[TaskKey, bool], Reading]] = field(
        default_factory=dict
    )
    tracks: dict[str, Trend] = field(default_factory=dict)
    last: dict[str, tuple[float, Sample]] = field(default_factory=dict)
    slow_until: dict[str, float] = field(default_factory=dict)
