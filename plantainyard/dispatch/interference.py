"""What is learnt of how much backfilling tasks harm serving ones.

The load that it answers: of all pairs of a serving and a backfilling image some are
harmless and some, a single task of seven cores, put the serving task's tail latency
at twice its target. Nobody declares which.

A serving task's tail, in targets, is taken as a base for its image plus, for each
backfilling image, a weight times the share of the runner's processors that tasks of
that image use. Weights are learnt from each report by recursive least squares.
"""

import json
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from plantainyard.dispatch.model import Phase, Runner
from plantainyard.platform.runners import HeldRun

__all__ = [
    "PRIOR",
    "Harms",
    "Sample",
    "begin_trial",
    "decode_harms",
    "encode_harms",
    "find_weight",
    "find_weight_at_worst",
    "forget_unseen",
    "is_known",
    "is_tried_elsewhere",
    "learn",
    "list_images",
    "predict_tail",
    "read_sample",
]

PRIOR = 2.0
"""Weight of a pair that was never seen: a task of a tenth of a runner is expected to
cost a fifth of a target, so that pairs are tried, a few at a time."""

BASE = 0.4
"""A tail without any backfilling work, in targets, before any report."""

DOUBT = 25.0
"""Variance of a weight that was never seen: it is known to be between 0 and 20."""

BASE_DOUBT = 0.1
"""Variance of a base that was never seen."""

NOISE = 0.05
"""Variance of a reported tail in targets around its expectation."""

IDLE_LOAD = 0.01
"""Share of a runner's processors below which backfilling work counts as none."""

LEAST_BASE, MOST_BASE = 0.05, 0.9
"""Bounds of a base; sites give serving tasks five times the tail of an idle runner."""

MOST_WEIGHT = 40.0
"""Upper bound of a weight: the worst pairs are at 20 to 30."""

KNOWN_DOUBT = 4.0
"""Variance of a weight below which its pair counts as seen: about ten reports of a
task at the pace of a trial."""

FORGET_S = 13.0
"""Time after which a pair that isn't seen is forgotten; serving loads, and with them
what harms, swing within 14 to 20 seconds."""

CAUTION = 0.35
"""Standard deviations added to a weight before more work of its image is placed."""

MEMORY = 0.999
"""Factor by which older reports count less with each new one of the same image; at
a hundred reports a second the memory is ten seconds, the time in which loads swing."""

WORST = 6.0
"""Greatest tail that is learnt from, in targets; beyond it queues build up and the
tail says nothing about its cause."""

TRIAL_S = 2.0
"""Longest time for which the first task of a pair is watched alone: starting takes up
to 0.1 s, and a report covers half a second."""

_BASE = ""


@dataclass(slots=True, eq=False)
class Estimate:
    """What is learnt of one serving image, by recursive least squares.

    Attributes
    ----------
    weights : dict
        Weight by backfilling image; under the empty name the base.
    doubts : dict
        Covariance of the weights, row by row.
    unseen_s : dict
        Seconds since an image was last at work beside it.
    """

    weights: dict[str, float] = field(default_factory=lambda: {_BASE: BASE})
    doubts: dict[str, dict[str, float]] = field(
        default_factory=lambda: {_BASE: {_BASE: BASE_DOUBT}}
    )
    unseen_s: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True, eq=False)
class Harms:
    """What is learnt of a fleet.

    Attributes
    ----------
    estimates : dict
        Estimates by serving image.
    trials : dict
        For pairs that were never seen, by (serving, backfilling): the runner's life
        where the first task was put, and until when it is watched.
    """

    estimates: dict[str, Estimate] = field(default_factory=dict)
    trials: dict[tuple[str, str], tuple[str, float]] = field(default_factory=dict)


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
    """Move the estimates towards what a report shows.

    Notes
    -----
    A report without backfilling work teaches nothing: on a runner that is slow for
    other reasons the tail is forty targets, and an image's base that rose by it kept
    backfilling work from all runners, also from those with tails of 0.3.
    """
    if sum(sample.loads.values()) < IDLE_LOAD:
        return
    inputs = {_BASE: 1.0, **{k: v for k, v in sample.loads.items() if v > 0}}
    for serving, tail in sample.tails.items():
        estimate = harms.estimates.setdefault(serving, Estimate())
        for image in inputs:
            if image not in estimate.weights:
                _add_image(estimate, image)
        estimate.unseen_s.update(dict.fromkeys(sample.loads, 0.0))
        _update(estimate, inputs, min(tail, WORST))


def forget_unseen(harms: Harms, seconds: float) -> None:
    """Forget pairs that weren't seen at work together for long.

    Notes
    -----
    Guards against work that waits for ever: a weight that came out too high, on a
    runner that was slow for other reasons, keeps the image from where it could show
    that it is harmless. Forgotten, the pair is tried like one that was never seen.
    """
    for estimate in harms.estimates.values():
        for image in estimate.weights.keys() - {_BASE}:
            estimate.unseen_s[image] = estimate.unseen_s.get(image, 0.0) + seconds
            if estimate.unseen_s[image] > FORGET_S:
                _drop_image(estimate, image)


def _drop_image(estimate: Estimate, image: str) -> None:
    del estimate.weights[image], estimate.doubts[image], estimate.unseen_s[image]
    for row in estimate.doubts.values():
        del row[image]


def _add_image(estimate: Estimate, image: str) -> None:
    estimate.weights[image] = PRIOR
    for row in estimate.doubts.values():
        row[image] = 0.0
    estimate.doubts[image] = dict.fromkeys(estimate.weights, 0.0)
    estimate.doubts[image][image] = DOUBT


def _update(estimate: Estimate, inputs: dict[str, float], tail: float) -> None:
    """Take in one tail.

    Notes
    -----
    Unlike a gradient step this shares an unexpected tail out by what is known already:
    an image that was harmless a hundred times isn't blamed for a newcomer. The cost is
    the square of the number of images, some 0.05 ms with ten.
    """
    doubts = estimate.doubts
    spread = {
        image: sum(row[other] * x for other, x in inputs.items())
        for image, row in doubts.items()
    }
    scale = NOISE + sum(spread[image] * x for image, x in inputs.items())
    expected = sum(estimate.weights[image] * x for image, x in inputs.items())
    error = tail - expected
    for image, part in spread.items():
        least, most = (LEAST_BASE, MOST_BASE) if image == _BASE else (0.0, MOST_WEIGHT)
        moved = estimate.weights[image] + part / scale * error
        estimate.weights[image] = min(most, max(least, moved))
        row = doubts[image]
        for other, across in spread.items():
            row[other] -= part * across / scale
        most = BASE_DOUBT if image == _BASE else DOUBT
        row[image] = min(most, row[image] / MEMORY)


def is_known(harms: Harms, serving: str, image: str) -> bool:
    """Return whether a pair was seen at work together for some reports."""
    estimate = harms.estimates.get(serving)
    if estimate is None or image not in estimate.weights:
        return False
    return estimate.doubts[image][image] < KNOWN_DOUBT


def find_weight_at_worst(harms: Harms, serving: str, image: str) -> float:
    """Return a weight that the pair's true one is hardly above.

    Notes
    -----
    Guards against a harmful image that is sent everywhere after one report in which
    it had barely begun to work: its weight is low by then, its doubt is not.
    """
    estimate = harms.estimates.get(serving)
    if estimate is None or image not in estimate.weights:
        return PRIOR
    doubt = max(0.0, estimate.doubts[image][image]) ** 0.5
    return max(0.0, estimate.weights[image]) + CAUTION * doubt


def begin_trial(harms: Harms, serving: str, image: str, life: str, now: float) -> None:
    """Note that the first task of a pair that was never seen goes to a runner."""
    harms.trials.setdefault((serving, image), (life, now + TRIAL_S))


def is_tried_elsewhere(
    harms: Harms, serving: str, image: str, life: str, now: float
) -> bool:
    """Return whether a pair is being tried on another runner.

    Notes
    -----
    Guards against a wide job of a harmful image that is spread over ten runners at
    once: all their serving tasks would miss their targets before the first report.
    """
    trial = harms.trials.get((serving, image))
    if trial is None or is_known(harms, serving, image):
        return False
    if now > trial[1]:
        del harms.trials[serving, image]
        return False
    return trial[0] != life


def find_weight(harms: Harms, serving: str, image: str) -> float:
    """Return the weight of a pair: targets for each whole runner in use by `image`."""
    estimate = harms.estimates.get(serving)
    if estimate is None:
        return PRIOR
    return max(0.0, estimate.weights.get(image, PRIOR))


def encode_harms(harms: Harms) -> bytes:
    """Return the stored form of what is learnt; see `decode_harms`."""
    data = {
        serving: {
            image: [round(weight, 2), round(estimate.doubts[image][image], 3)]
            for image, weight in estimate.weights.items()
        }
        for serving, estimate in harms.estimates.items()
    }
    return json.dumps(data, separators=(",", ":")).encode()


def decode_harms(value: bytes) -> Harms:
    """Return what `encode_harms` wrote, without how weights depend on each other.

    Raises
    ------
    ValueError, TypeError, AttributeError
        If the bytes aren't such a record.
    """
    harms = Harms()
    for serving, rows in json.loads(value).items():
        estimate = Estimate({}, {})
        for image, (weight, doubt) in rows.items():
            estimate.weights[image] = float(weight)
            estimate.doubts[image] = dict.fromkeys(rows, 0.0)
            estimate.doubts[image][image] = float(doubt)
        estimate.weights.setdefault(_BASE, BASE)
        estimate.doubts.setdefault(_BASE, {_BASE: BASE_DOUBT})
        harms.estimates[serving] = estimate
    return harms


def list_images(harms: Harms) -> set[str]:
    """Return the backfilling images that were seen beside any serving image."""
    seen = {image for e in harms.estimates.values() for image in e.weights}
    return seen - {_BASE}


def predict_tail(harms: Harms, serving: str, loads: Mapping[str, float]) -> float:
    """Return the tail in targets that a serving image has beside `loads`."""
    estimate = harms.estimates.get(serving)
    base = estimate.weights[_BASE] if estimate else BASE
    return base + sum(
        find_weight(harms, serving, image) * load for image, load in loads.items()
    )
