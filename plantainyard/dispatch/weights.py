"""Interference weights of pairs of a serving and a backfill image.

Weights are learnt by recursive least squares, shared with other units, and stored.
"""

import json
import logging
from collections.abc import Mapping
from itertools import islice

from plantainyard.decoding import (
    DecodeError,
    convert_errors,
    parse_json,
    read_number,
    read_object,
)
from plantainyard.dispatch.estimates import Baseline, InterferenceModel, WeightEstimate
from plantainyard.dispatch.samples import MAX_IMAGES

__all__ = [
    "IDLE_TAIL",
    "MARGIN_ERROR",
    "PRIOR_WEIGHT",
    "add_images",
    "compute_headroom",
    "decode_interference",
    "encode_interference",
    "find_weight",
    "find_weight_bound",
    "is_known",
    "list_known_images",
    "restore_interference",
    "merge_interference",
    "remove_image",
    "update_estimate",
]

_logger = logging.getLogger(__name__)

IDLE_TAIL = 0.2
"""Assumed tail latency of an unloaded serving task, in units of its target. Any other
value would scale all weights alike, which changes no decision."""

PRIOR_WEIGHT = 2.0
"""Weight of a pair that was never observed, between harmless and harmful ones."""

PRIOR_VARIANCE = 4.0
"""Variance of the weight of a pair that was never observed."""

MODEL_VARIANCE = 0.01
"""Variance of an observed stretch around the model's prediction."""

MARGIN_ERROR = 0.06
"""Relative error of one reported margin: tails are rounded to milliseconds."""

MAX_WEIGHT = 12.0
"""Upper bound of a weight."""

MAX_KNOWN_VARIANCE = 0.5
"""Variance of a weight below which its pair counts as known."""

MERGED_VARIANCE = 0.4
"""Variance assigned to a weight that is taken over from another unit."""

UPPER_BOUND_DEVIATIONS = 0.35
"""Standard deviations added to a weight when more work of its image is placed."""

HARMFUL_WEIGHT = 1.0
"""Weight from which a pair counts as harmful."""

HARMFUL_FACTOR = 1.4
"""Correction of a harmful weight, which quiet phases make come out too low."""

MIN_WEIGHT = 0.2
"""Lower bound of a weight when work is placed: no running work is entirely harmless."""

FORGETTING_FACTOR = 0.999
"""Factor by which older reports lose weight with each new report of the same image."""


def compute_headroom(baseline: float, target: float) -> float:
    """Return the pressure (weights times loads) that lowers a baseline to a margin."""
    lost = min(0.9, max(0.0, (baseline - target) * IDLE_TAIL))
    return lost / (1 - lost)


def add_images(estimate: WeightEstimate, loads: Mapping[str, float]) -> None:
    """Add the images with load to an estimate, new ones with the prior weight."""
    for image, load in loads.items():
        if load <= 0:
            continue
        if image not in estimate.weights:
            _make_room(estimate, loads)
            estimate.weights[image] = PRIOR_WEIGHT
            for row in estimate.covariance.values():
                row[image] = 0.0
            estimate.covariance[image] = dict.fromkeys(estimate.weights, 0.0)
            estimate.covariance[image][image] = PRIOR_VARIANCE
        estimate.unseen_s[image] = 0.0


def _make_room(estimate: WeightEstimate, loads: Mapping[str, float]) -> None:
    """Remove the other image that was unobserved the longest if there are too many.

    Notes
    -----
    Guards against an owner that does nothing but estimate weights: an update costs the
    square of the number of images, which callers choose.
    """
    others = [image for image in estimate.weights if image not in loads]
    if len(estimate.weights) >= MAX_IMAGES and others:
        longest = max(others, key=lambda image: estimate.unseen_s.get(image, 0.0))
        remove_image(estimate, longest)


def remove_image(estimate: WeightEstimate, image: str) -> None:
    """Remove an image, which counts as never observed from then on."""
    del estimate.weights[image], estimate.covariance[image]
    estimate.unseen_s.pop(image, None)
    for row in estimate.covariance.values():
        del row[image]


def update_estimate(
    estimate: WeightEstimate,
    loads: Mapping[str, float],
    margin: float,
    baseline: Baseline,
    correlated: int,
) -> None:
    """Update an estimate with one margin under backfill load.

    Parameters
    ----------
    estimate : WeightEstimate
        Changed in place.
    loads : mapping
        Load by backfill image.
    margin : float
        The margin under these loads.
    baseline : Baseline
        The margin without them.
    correlated : int
        Number of margins in the report that have the same error, and so count as one.

    Notes
    -----
    Unlike a gradient step, least squares attributes an unexpected tail according to
    what is already known: an image that was harmless a hundred times isn't blamed for
    the effect of a new one. The cost is the square of the number of images, about
    0.05 ms with ten.
    """
    covariance = estimate.covariance
    inputs = {image: load for image, load in loads.items() if load > 0}
    gains = {
        image: sum(row[other] * x for other, x in inputs.items())
        for image, row in covariance.items()
    }
    lost = min(0.9, max(-0.5, (baseline.value - margin) * IDLE_TAIL))
    variance = (MARGIN_ERROR * margin) ** 2 + baseline.variance
    noise = (
        correlated * MODEL_VARIANCE
        + correlated * variance * (IDLE_TAIL / (1 - lost) ** 2) ** 2
    )
    scale = noise + sum(gains[image] * x for image, x in inputs.items())
    expected = sum(estimate.weights[image] * x for image, x in inputs.items())
    error = lost / (1 - lost) - expected
    for image, gain in gains.items():
        updated = estimate.weights[image] + gain / scale * error
        estimate.weights[image] = min(MAX_WEIGHT, max(0.0, updated))
        row = covariance[image]
        for other, other_gain in gains.items():
            row[other] -= gain * other_gain / scale
        row[image] = min(PRIOR_VARIANCE, row[image] / FORGETTING_FACTOR)


def is_known(interference: InterferenceModel, serving: str, image: str) -> bool:
    """Return whether enough reports have covered a pair for its weight to be known."""
    estimate = interference.estimates.get(serving)
    if estimate is None or image not in estimate.weights:
        return False
    return estimate.covariance[image][image] < MAX_KNOWN_VARIANCE


def merge_interference(
    interference: InterferenceModel, received: InterferenceModel
) -> None:
    """Take over the weights that another unit knows and this one doesn't.

    Notes
    -----
    A pair of images interferes alike on all runners. Each unit of a large fleet gets a
    tenth of the reports, and would need ten times as long to learn the weights alone.
    A weight that is taken over counts as barely known, so that the unit's own reports
    soon outweigh it.
    """
    for serving, theirs in received.estimates.items():
        estimate = interference.estimates.setdefault(serving, WeightEstimate())
        for image, weight in theirs.weights.items():
            known = is_known(received, serving, image)
            if not known or is_known(interference, serving, image):
                continue
            add_images(estimate, {image: 1.0})
            estimate.weights[image] = weight
            for i in estimate.covariance:
                estimate.covariance[i][image] = estimate.covariance[image][i] = 0.0
            estimate.covariance[image][image] = MERGED_VARIANCE


def find_weight(interference: InterferenceModel, serving: str, image: str) -> float:
    """Return a pair's weight: the added stretch if `image` used a whole runner."""
    estimate = interference.estimates.get(serving)
    if estimate is None:
        return PRIOR_WEIGHT
    return estimate.weights.get(image, PRIOR_WEIGHT)


def find_weight_bound(
    interference: InterferenceModel, serving: str, image: str
) -> float:
    """Return an upper bound that a pair's true weight rarely exceeds.

    Notes
    -----
    Guards against a harmful image that is placed everywhere after a single report in
    which it had barely begun to run: its weight is low by then, but not its variance.
    """
    estimate = interference.estimates.get(serving)
    if estimate is None or image not in estimate.weights:
        return PRIOR_WEIGHT + UPPER_BOUND_DEVIATIONS * PRIOR_VARIANCE**0.5
    deviation = max(0.0, estimate.covariance[image][image]) ** 0.5
    weight = estimate.weights[image] + UPPER_BOUND_DEVIATIONS * deviation
    return max(
        MIN_WEIGHT, weight * (HARMFUL_FACTOR if weight > HARMFUL_WEIGHT else 1.0)
    )


def list_known_images(interference: InterferenceModel) -> set[str]:
    """Return the backfill images that were observed beside any serving image."""
    return {image for e in interference.estimates.values() for image in e.weights}


def encode_interference(interference: InterferenceModel) -> bytes:
    """Return the stored form of the weights and their variances."""
    data = {
        serving: {
            image: [round(weight, 2), round(estimate.covariance[image][image], 3)]
            for image, weight in estimate.weights.items()
        }
        for serving, estimate in interference.estimates.items()
    }
    return json.dumps(data, separators=(",", ":")).encode()


def restore_interference(value: bytes) -> InterferenceModel:
    """Return a stored model, or an empty one, which learns again from reports."""
    try:
        return decode_interference(value)
    except DecodeError as error:
        _logger.warning("cannot decode the stored interference model: %r", error)
        return InterferenceModel()


def decode_interference(value: bytes) -> InterferenceModel:
    """Return the model that `encode_interference` stored, with covariances of zero.

    Raises
    ------
    DecodeError
        If the bytes are not such a record.
    """
    interference = InterferenceModel()
    with convert_errors("interference"):
        for serving, data in read_object(parse_json(value), "estimates").items():
            rows = dict(islice(read_object(data, "weights").items(), MAX_IMAGES))
            estimate = WeightEstimate()
            for image, (weight, variance) in rows.items():
                estimate.weights[image] = read_number(weight, "weight", 0, MAX_WEIGHT)
                estimate.covariance[image] = dict.fromkeys(rows, 0.0)
                own = read_number(variance, "variance", high=PRIOR_VARIANCE)
                # Rounding errors may have made a small variance negative.
                estimate.covariance[image][image] = max(0.0, own)
            interference.estimates[serving] = estimate
    return interference
