"""Learnt harm between pairs of workloads.

Each pair (victim, aggressor) has an estimate with its own uncertainty, updated by a
diagonal Kalman filter from relative slow-downs and the exposures at the time of the
measurement. Little known pairs stay near the aggressor's mean over all victims, which
itself stays near a fixed prior; old knowledge fades back to it.

References
----------
.. [1] R. E. Kalman, "A New Approach to Linear Filtering and Prediction Problems",
   Journal of Basic Engineering 82, 1960.
"""

from math import exp

from plantainyard.placement.settings import PlacementSettings

__all__ = ["HarmModel", "fade_harm", "learn_harm", "predict_harm"]

_CLIP = 4.0


class HarmModel:
    """Estimates of pairwise harm: relative slow-down for a whole worker's cores."""

    def __init__(self, settings: PlacementSettings):
        self.settings = settings
        self.pairs: dict[tuple[str, str], list[float]] = {}
        self.faded_at = 0.0


def _prior(model: HarmModel, aggressor: str) -> float:
    base = model.settings.prior_harm
    first_variance = model.settings.prior_deviation**2
    total, weight = base, 1.0
    for (_, other), (mean, variance) in model.pairs.items():
        if other == aggressor:
            known = max(0.0, 1.0 - variance / first_variance)
            total += known * mean
            weight += known
    return total / weight


def predict_harm(model: HarmModel, victim: str, aggressor: str) -> float:
    """Return the expected relative slow-down of `victim` by `aggressor`.

    Returns
    -------
    float
        Slow-down if `aggressor` used all cores of the worker; scale it by the share
        that it uses.
    """
    pair = model.pairs.get((victim, aggressor))
    if pair is None:
        pair = _add_pair(model, victim, aggressor)
    return pair[0]


def _add_pair(model: HarmModel, victim: str, aggressor: str) -> list[float]:
    pair = [_prior(model, aggressor), model.settings.prior_deviation**2]
    model.pairs[victim, aggressor] = pair
    return pair


def learn_harm(
    model: HarmModel, victim: str, slowdown: float, exposures: dict[str, float]
) -> None:
    """Learn from one measurement of `victim`.

    Parameters
    ----------
    model : HarmModel
        Updated in place.
    victim : str
        Workload that was measured.
    slowdown : float
        Measured time relative to the undisturbed one, less 1.
    exposures : dict
        Share of the worker's cores in use by each other workload at that time.

    Notes
    -----
    The innovation is clipped: a lying or broken report moves an estimate by a bounded
    step. Costs one pass over the exposures.
    """
    pairs = [
        (model.pairs.get((victim, other)) or _add_pair(model, victim, other), x)
        for other, x in exposures.items()
        if x > 0.0
    ]
    expected = sum(pair[0] * x for pair, x in pairs)
    error = max(-_CLIP, min(_CLIP, slowdown - expected))
    spread = sum(pair[1] * x * x for pair, x in pairs)
    total = spread + model.settings.report_noise**2
    for pair, x in pairs:
        gain = pair[1] * x / total
        pair[0] = max(0.0, pair[0] + gain * error)
        pair[1] *= 1.0 - gain * x


def fade_harm(model: HarmModel, now: float) -> None:
    """Let old knowledge fade; call it at any interval.

    Notes
    -----
    The mean moves towards the prior and the variance towards the first variance, both
    with the time constant ``fade_s``, so that a changed workload is learnt anew.
    """
    elapsed = now - model.faded_at
    if elapsed < model.settings.fade_s / 100.0:
        return
    model.faded_at = now
    kept = exp(-elapsed / model.settings.fade_s)
    first_variance = model.settings.prior_deviation**2
    priors = {aggressor: _prior(model, aggressor) for _, aggressor in model.pairs}
    for (_, aggressor), pair in model.pairs.items():
        prior = priors[aggressor]
        pair[0] = prior + (pair[0] - prior) * kept
        pair[1] = first_variance + (pair[1] - first_variance) * kept
