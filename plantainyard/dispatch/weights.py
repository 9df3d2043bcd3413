"""How much pairs of a serving and a backfilling image harm.

Weights are learnt by recursive least squares, told to other units, and stored.
"""

import json
from collections.abc import Mapping

from plantainyard.dispatch.harms import Base, Estimate, Harms

__all__ = [
    "IDLE_TAIL",
    "MARGIN_ERROR",
    "PRIOR",
    "add_images",
    "decode_harms",
    "drop_image",
    "encode_harms",
    "find_weight",
    "find_weight_at_worst",
    "is_known",
    "list_images",
    "measure_room",
    "merge_harms",
    "update_estimate",
]

IDLE_TAIL = 0.2
"""Tail, in targets, that a serving task is taken to have without any load. Where it is
another part, all weights come out larger or smaller alike, which changes no choice."""

PRIOR = 2.0
"""Weight of a pair that was never seen, between harmless and harmful ones."""

DOUBT = 4.0
"""Variance of a weight that was never seen."""

NOISE = 0.01
"""Variance of a stretch around the model."""

MARGIN_ERROR = 0.06
"""Relative error of one reported margin: tails are rounded to milliseconds."""

MOST_WEIGHT = 12.0
"""Upper bound of a weight."""

KNOWN_DOUBT = 0.5
"""Variance of a weight below which its pair counts as seen."""

MERGED_DOUBT = 0.4
"""Variance of a weight that another unit has told."""

CAUTION = 0.35
"""Standard deviations added to a weight before more work of its image is placed."""

HARMFUL = 1.0
"""Weight from which a pair counts as harmful."""

HARMFUL_FACTOR = 1.4
"""Factor by which a harmful weight may be low: it is learnt through quiet phases."""

LEAST_WEIGHT = 0.2
"""Weight that a pair is taken to have at least: nothing that works is harmless."""

MEMORY = 0.999
"""Factor by which older reports count less with each new one of the same image."""


def measure_room(base: float, least: float) -> float:
    """Return the pressure (weights times loads) that takes a base to a least margin."""
    lost = min(0.9, max(0.0, (base - least) * IDLE_TAIL))
    return lost / (1 - lost)


def add_images(estimate: Estimate, loads: Mapping[str, float]) -> None:
    """Begin to learn of the images at work that weren't seen before."""
    for image, load in loads.items():
        if load <= 0:
            continue
        if image not in estimate.weights:
            estimate.weights[image] = PRIOR
            for row in estimate.doubts.values():
                row[image] = 0.0
            estimate.doubts[image] = dict.fromkeys(estimate.weights, 0.0)
            estimate.doubts[image][image] = DOUBT
        estimate.unseen_s[image] = 0.0


def drop_image(estimate: Estimate, image: str) -> None:
    """Forget an image; the next time it counts as never seen."""
    del estimate.weights[image], estimate.doubts[image], estimate.unseen_s[image]
    for row in estimate.doubts.values():
        del row[image]


def update_estimate(
    estimate: Estimate,
    loads: Mapping[str, float],
    margin: float,
    base: Base,
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
    doubts = estimate.doubts
    inputs = {image: load for image, load in loads.items() if load > 0}
    spread = {
        image: sum(row[other] * x for other, x in inputs.items())
        for image, row in doubts.items()
    }
    lost = min(0.9, max(-0.5, (base.value - margin) * IDLE_TAIL))
    variance = (MARGIN_ERROR * margin) ** 2 + base.variance
    noise = alike * NOISE + alike * variance * (IDLE_TAIL / (1 - lost) ** 2) ** 2
    scale = noise + sum(spread[image] * x for image, x in inputs.items())
    expected = sum(estimate.weights[image] * x for image, x in inputs.items())
    error = lost / (1 - lost) - expected
    for image, part in spread.items():
        moved = estimate.weights[image] + part / scale * error
        estimate.weights[image] = min(MOST_WEIGHT, max(0.0, moved))
        row = doubts[image]
        for other, across in spread.items():
            row[other] -= part * across / scale
        row[image] = min(DOUBT, row[image] / MEMORY)


def is_known(harms: Harms, serving: str, image: str) -> bool:
    """Return whether a pair was seen at work together for some reports."""
    estimate = harms.estimates.get(serving)
    if estimate is None or image not in estimate.weights:
        return False
    return estimate.doubts[image][image] < KNOWN_DOUBT


def merge_harms(harms: Harms, told: Harms) -> None:
    """Take over what another unit knows and this one doesn't.

    Notes
    -----
    Pairs of images harm alike on all runners. Each unit of a large fleet sees a tenth
    of the reports, and would learn ten times as long. What is taken over counts as just
    known, so that reports of its own soon weigh more.
    """
    for serving, theirs in told.estimates.items():
        estimate = harms.estimates.setdefault(serving, Estimate())
        for image, weight in theirs.weights.items():
            known = is_known(told, serving, image)
            if not known or is_known(harms, serving, image):
                continue
            add_images(estimate, {image: 1.0})
            estimate.weights[image] = weight
            for other in estimate.doubts:
                estimate.doubts[other][image] = estimate.doubts[image][other] = 0.0
            estimate.doubts[image][image] = MERGED_DOUBT


def find_weight(harms: Harms, serving: str, image: str) -> float:
    """Return the weight of a pair: by how much a whole runner of `image` stretches."""
    estimate = harms.estimates.get(serving)
    if estimate is None:
        return PRIOR
    return estimate.weights.get(image, PRIOR)


def find_weight_at_worst(harms: Harms, serving: str, image: str) -> float:
    """Return a weight that the pair's true one is hardly above.

    Notes
    -----
    Guards against a harmful image that is sent everywhere after one report in which
    it had barely begun to work: its weight is low by then, its doubt is not.
    """
    estimate = harms.estimates.get(serving)
    if estimate is None or image not in estimate.weights:
        return PRIOR + CAUTION * DOUBT**0.5
    doubt = max(0.0, estimate.doubts[image][image]) ** 0.5
    weight = estimate.weights[image] + CAUTION * doubt
    return max(LEAST_WEIGHT, weight * (HARMFUL_FACTOR if weight > HARMFUL else 1.0))


def list_images(harms: Harms) -> set[str]:
    """Return the backfilling images that were seen beside any serving image."""
    return {image for e in harms.estimates.values() for image in e.weights}


def encode_harms(harms: Harms) -> bytes:
    """Return the stored form of the weights; see `decode_harms`."""
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
        estimate = Estimate()
        for image, (weight, doubt) in rows.items():
            estimate.weights[image] = float(weight)
            estimate.doubts[image] = dict.fromkeys(rows, 0.0)
            estimate.doubts[image][image] = float(doubt)
        harms.estimates[serving] = estimate
    return harms
