"""How much pairs of a serving and a backfilling image harm.

Weights are learnt by recursive least squares, told to other units, and stored.
"""

import json
from collections.abc import Mapping

from plantainyard.dispatch.estimates import Baseline, InterferenceModel, WeightEstimate

__all__ = [
    "IDLE_TAIL",
    "MARGIN_ERROR",
    "PRIOR_WEIGHT",
    "add_images",
    "decode_interference",
    "remove_image",
    "encode_interference",
    "find_weight",
    "find_weight_bound",
    "is_known",
    "list_known_images",
    "compute_headroom",
    "merge_interference",
    "update_estimate",
]

IDLE_TAIL = 0.2
"""Tail, in targets, that a serving task is taken to have without any load. Where it is
another part, all weights come out larger or smaller alike, which changes no choice."""

PRIOR_WEIGHT = 2.0
"""Weight of a pair that was never seen, between harmless and harmful ones."""

PRIOR_VARIANCE = 4.0
"""Variance of a weight that was never seen."""

MODEL_VARIANCE = 0.01
"""Variance of a stretch around the model."""

MARGIN_ERROR = 0.06
"""Relative error of one reported margin: tails are rounded to milliseconds."""

MAX_WEIGHT = 12.0
"""Upper bound of a weight."""

MAX_KNOWN_VARIANCE = 0.5
"""Variance of a weight below which its pair counts as seen."""

MERGED_VARIANCE = 0.4
"""Variance of a weight that another unit has told."""

UPPER_BOUND_DEVIATIONS = 0.35
"""Standard deviations added to a weight before more work of its image is placed."""

HARMFUL_WEIGHT = 1.0
"""Weight from which a pair counts as harmful."""

HARMFUL_FACTOR = 1.4
"""Factor by which a harmful weight may be low: it is learnt through quiet phases."""

MIN_WEIGHT = 0.2
"""Weight that a pair is taken to have at least: nothing that works is harmless."""

FORGETTING_FACTOR = 0.999
"""Factor by which older reports count less with each new one of the same image."""


def compute_headroom(base: float, least: float) -> float:
    """Return the pressure (weights times loads) that takes a base to a least margin."""
    lost = min(0.9, max(0.0, (base - least) * IDLE_TAIL))
    return lost / (1 - lost)


def add_images(estimate: WeightEstimate, loads: Mapping[str, float]) -> None:
    """Begin to learn of the images at work that weren't seen before."""
    for image, load in loads.items():
        if load <= 0:
            continue
        if image not in estimate.weights:
            estimate.weights[image] = PRIOR_WEIGHT
            for row in estimate.covariance.values():
                row[image] = 0.0
            estimate.covariance[image] = dict.fromkeys(estimate.weights, 0.0)
            estimate.covariance[image][image] = PRIOR_VARIANCE
        estimate.unseen_s[image] = 0.0


def remove_image(estimate: WeightEstimate, image: str) -> None:
    """Forget an image; the next time it counts as never seen."""
    del estimate.weights[image], estimate.covariance[image], estimate.unseen_s[image]
    for row in estimate.covariance.values():
        del row[image]


def update_estimate(
    estimate: WeightEstimate,
    loads: Mapping[str, float],
    margin: float,
    base: Baseline,
    alike: int,
) -> None:
    """Take in one margin beside backfilling work.

    Notes
    -----
    Unlike a gradient step this shares an unexpected tail out by what is known already:
    an image that was harmless a hundred times isn't blamed for a newcomer. The cost is
    the square of the number of images, some 0.05 ms with ten. The errors of `alike`
    tasks in one report are the same errors, and count as one.
    """
    covariance = estimate.covariance
    inputs = {image: load for image, load in loads.items() if load > 0}
    spread = {
        image: sum(row[other] * x for other, x in inputs.items())
        for image, row in covariance.items()
    }
    lost = min(0.9, max(-0.5, (base.value - margin) * IDLE_TAIL))
    variance = (MARGIN_ERROR * margin) ** 2 + base.variance
    noise = (
        alike * MODEL_VARIANCE + alike * variance * (IDLE_TAIL / (1 - lost) ** 2) ** 2
    )
    scale = noise + sum(spread[image] * x for image, x in inputs.items())
    expected = sum(estimate.weights[image] * x for image, x in inputs.items())
    error = lost / (1 - lost) - expected
    for image, part in spread.items():
        moved = estimate.weights[image] + part / scale * error
        estimate.weights[image] = min(MAX_WEIGHT, max(0.0, moved))
        row = covariance[image]
        for other, across in spread.items():
            row[other] -= part * across / scale
        row[image] = min(PRIOR_VARIANCE, row[image] / FORGETTING_FACTOR)


def is_known(interference: InterferenceModel, serving: str, image: str) -> bool:
    """Return whether a pair was seen at work together for some reports."""
    estimate = interference.estimates.get(serving)
    if estimate is None or image not in estimate.weights:
        return False
    return estimate.covariance[image][image] < MAX_KNOWN_VARIANCE


def merge_interference(
    interference: InterferenceModel, told: InterferenceModel
) -> None:
    """Take over what another unit knows and this one doesn't.

    Notes
    -----
    Pairs of images harm alike on all runners. Each unit of a large fleet sees a tenth
    of the reports, and would learn ten times as long. What is taken over counts as just
    known, so that reports of its own soon weigh more.
    """
    for serving, theirs in told.estimates.items():
        estimate = interference.estimates.setdefault(serving, WeightEstimate())
        for image, weight in theirs.weights.items():
            known = is_known(told, serving, image)
            if not known or is_known(interference, serving, image):
                continue
            add_images(estimate, {image: 1.0})
            estimate.weights[image] = weight
            for other in estimate.covariance:
                estimate.covariance[other][image] = estimate.covariance[image][
                    other
                ] = 0.0
            estimate.covariance[image][image] = MERGED_VARIANCE


def find_weight(interference: InterferenceModel, serving: str, image: str) -> float:
    """Return the weight of a pair: by how much a whole runner of `image` stretches."""
    estimate = interference.estimates.get(serving)
    if estimate is None:
        return PRIOR_WEIGHT
    return estimate.weights.get(image, PRIOR_WEIGHT)


def find_weight_bound(
    interference: InterferenceModel, serving: str, image: str
) -> float:
    """Return a weight that the pair's true one is hardly above.

    Notes
    -----
    Guards against a harmful image that is sent everywhere after one report in which
    it had barely begun to work: its weight is low by then, its doubt is not.
    """
    estimate = interference.estimates.get(serving)
    if estimate is None or image not in estimate.weights:
        return PRIOR_WEIGHT + UPPER_BOUND_DEVIATIONS * PRIOR_VARIANCE**0.5
    doubt = max(0.0, estimate.covariance[image][image]) ** 0.5
    weight = estimate.weights[image] + UPPER_BOUND_DEVIATIONS * doubt
    return max(
        MIN_WEIGHT, weight * (HARMFUL_FACTOR if weight > HARMFUL_WEIGHT else 1.0)
    )


def list_known_images(interference: InterferenceModel) -> set[str]:
    """Return the backfilling images that were seen beside any serving image."""
    return {image for e in interference.estimates.values() for image in e.weights}


def encode_interference(interference: InterferenceModel) -> bytes:
    """Return the stored form of the weights; see `decode_interference`."""
    data = {
        serving: {
            image: [round(weight, 2), round(estimate.covariance[image][image], 3)]
            for image, weight in estimate.weights.items()
        }
        for serving, estimate in interference.estimates.items()
    }
    return json.dumps(data, separators=(",", ":")).encode()


def decode_interference(value: bytes) -> InterferenceModel:
    """Return what `encode_interference` wrote, without the covariance of pairs.

    Raises
    ------
    ValueError, TypeError, AttributeError
        If the bytes aren't such a record.
    """
    interference = InterferenceModel()
    for serving, rows in json.loads(value).items():
        estimate = WeightEstimate()
        for image, (weight, doubt) in rows.items():
            estimate.weights[image] = float(weight)
            estimate.covariance[image] = dict.fromkeys(rows, 0.0)
            estimate.covariance[image][image] = float(doubt)
        interference.estimates[serving] = estimate
    return interference
