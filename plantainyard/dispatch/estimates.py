"""State of the interference model; `interference` documents the model itself."""

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
    """Recursive least-squares estimate for one serving image.

    Attributes
    ----------
    weights : dict
        Weight by backfill image.
    covariance : dict
        Covariance matrix of the weights, row by row.
    unseen_s : dict
        By backfill image, seconds since it last ran beside the serving image.
    """

    weights: dict[str, float] = field(default_factory=dict)
    covariance: dict[str, dict[str, float]] = field(default_factory=dict)
    unseen_s: dict[str, float] = field(default_factory=dict)


class Baseline(NamedTuple):
    """A task's margin in the absence of backfill work, and the estimate's variance."""

    value: float
    variance: float


class Reading(NamedTuple):
    """The baseline of one task according to one report.

    Attributes
    ----------
    baseline : Baseline
        The estimate.
    incarnation : str
        Incarnation of the runner that reported.
    received_at : float
        When the report came, on the dispatcher's clock.
    undisturbed : bool
        No backfill work ran beside the task.
    """

    baseline: Baseline
    incarnation: str
    received_at: float
    undisturbed: bool


@dataclass(slots=True, eq=False)
class Trend:
    """Two moving averages of a job's baseline, and the time of their last update."""

    fast: float
    slow: float
    updated_at: float


@dataclass(slots=True, eq=False)
class InterferenceModel:
    """What one owner has learnt about interference in its unit.

    Attributes
    ----------
    estimates : dict
        Weight estimates by serving image.
    readings : dict
        By job, the last reading of each task, and its last reading without backfill
        work beside it (where the second part of the key is true).
    trends : dict
        Trend of the baseline by serving job.
    last_samples : dict
        By incarnation of a runner, when its last sample came, and that sample.
    slow_until : dict
        By incarnation of a runner that was slow for reasons of its own, the time until
        which it counts as slow.
    """

    estimates: dict[str, WeightEstimate] = field(default_factory=dict)
    readings: dict[str, dict[tuple[TaskKey, bool], Reading]] = field(
        default_factory=dict
    )
    trends: dict[str, Trend] = field(default_factory=dict)
    last_samples: dict[str, tuple[float, Sample]] = field(default_factory=dict)
    slow_until: dict[str, float] = field(default_factory=dict)
