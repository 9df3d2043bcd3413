"""Learnt harm between pairs of workloads.

For each victim workload a Kalman filter estimates its undisturbed time and how much
each other workload adds to it, from late measurements and what ran beside it at that
time. Little known pairs stay near a prior: what the aggressor does to other victims,
itself drawn to a fixed one; old knowledge fades back to it.

References
----------
.. [1] R. E. Kalman, "A New Approach to Linear Filtering and Prediction Problems",
   Journal of Basic Engineering 82, 1960.
"""

from math import exp, sqrt

import numpy as np

from plantainyard.placement.settings import PlacementSettings

__all__ = [
    "HarmModel",
    "Victim",
    "fade_harm",
    "learn_harm",
    "predict_harm",
    "predict_risk",
    "predict_time",
]

_LEAST_BASE = 0.05
_CLIP = 4.0
_BASE = 0


class Victim:
    """Estimate of one victim workload.

    Attributes
    ----------
    names : dict
        Index of each aggressor; index 0 is the undisturbed time.
    mean : numpy.ndarray
        Undisturbed time, then the time that each aggressor adds at full use of a
        worker.
    spread : numpy.ndarray
        Covariance of `mean`.
    harm, doubt : dict
        Relative harm by aggressor and its standard deviation, kept for scoring.
    """

    def __init__(self, base: float, deviation: float):
        self.names: dict[str, int] = {}
        self.mean = np.array([base])
        self.spread = np.array([[deviation**2]])
        self.harm: dict[str, float] = {}
        self.doubt: dict[str, float] = {}


class HarmModel:
    """Estimates of all victims."""

    def __init__(self, settings: PlacementSettings):
        self.settings = settings
        self.victims: dict[str, Victim] = {}
        self.faded_at = 0.0


def _compute_prior(model: HarmModel, aggressor: str) -> float:
    total, weight = model.settings.prior_harm, 1.0
    for victim in model.victims.values():
        if aggressor in victim.harm:
            doubt = victim.doubt[aggressor] / model.settings.prior_deviation
            known = max(0.0, 1.0 - doubt * doubt)
            total += known * victim.harm[aggressor]
            weight += known
    return total / weight


def _get_victim(model: HarmModel, name: str) -> Victim:
    victim = model.victims.get(name)
    if victim is None:
        victim = Victim(1.0, model.settings.base_deviation)
        model.victims[name] = victim
    return victim


def _add_aggressor(model: HarmModel, victim: Victim, aggressor: str) -> None:
    base = max(_LEAST_BASE, float(victim.mean[_BASE]))
    size = len(victim.mean)
    victim.names[aggressor] = size
    prior = _compute_prior(model, aggressor)
    victim.mean = np.append(victim.mean, prior * base)
    spread = np.zeros((size + 1, size + 1))
    spread[:size, :size] = victim.spread
    spread[size, size] = (model.settings.prior_deviation * base) ** 2
    victim.spread = spread
    victim.harm[aggressor] = prior
    victim.doubt[aggressor] = model.settings.prior_deviation


def predict_harm(model: HarmModel, victim: str, aggressor: str) -> float:
    """Return the expected relative slow-down of `victim` by `aggressor`.

    Returns
    -------
    float
        Slow-down if `aggressor` used all cores of the worker; scale it by the share
        that it uses.
    """
    known = model.victims.get(victim)
    if known is None or aggressor not in known.harm:
        known = known or _get_victim(model, victim)
        _add_aggressor(model, known, aggressor)
    return known.harm[aggressor]


def predict_risk(
    model: HarmModel, victim: str, aggressor: str, caution: float
) -> float:
    """Return the expected slow-down plus `caution` standard deviations."""
    harm = predict_harm(model, victim, aggressor)
    return harm + caution * model.victims[victim].doubt[aggressor]


def predict_time(model: HarmModel, victim: str) -> float:
    """Return the undisturbed time of a workload, in the unit of its measurements."""
    return max(_LEAST_BASE, float(_get_victim(model, victim).mean[_BASE]))


def learn_harm(
    model: HarmModel,
    name: str,
    time: float,
    exposures: dict[str, float],
    extra_variance: float = 0.0,
) -> float:
    """Learn from one measurement of a victim workload.

    Parameters
    ----------
    model : HarmModel
        Updated in place.
    name : str
        Workload that was measured.
    time : float
        Measured time, in a unit that makes the undisturbed time about 1.
    exposures : dict
        Share of the worker's cores in use by each other workload at that time.
    extra_variance : float
        Of the measurement, beyond the usual noise.

    Returns
    -------
    float
        What was not explained: the measured less the expected time.

    Notes
    -----
    The base and all aggressors are estimated together: taken one after the other, a too
    great harm lowers the base, which raises the relative harm again, without bound. The
    innovation is clipped, so that a wrong report moves an estimate by a bounded step.
    Costs a product of a matrix of the victim's aggressors.
    """
    victim = _get_victim(model, name)
    for aggressor in exposures:
        if aggressor not in victim.names:
            _add_aggressor(model, victim, aggressor)
    features = np.zeros(len(victim.mean))
    features[_BASE] = 1.0
    for aggressor, share in exposures.items():
        features[victim.names[aggressor]] = share
    expected = float(features @ victim.mean)
    noise = model.settings.report_noise * max(expected, _LEAST_BASE)
    across = victim.spread @ features
    total = float(features @ across) + noise * noise + extra_variance
    limit = _CLIP * sqrt(total)
    error = max(-limit, min(limit, time - expected))
    victim.mean = np.maximum(victim.mean + across * (error / total), 0.0)
    victim.mean[_BASE] = max(victim.mean[_BASE], _LEAST_BASE)
    victim.spread = victim.spread - np.outer(across, across) / total
    _summarise(victim)
    return time - expected


def _summarise(victim: Victim) -> None:
    base = victim.mean[_BASE]
    harm = (victim.mean / base).tolist()
    doubt = (np.sqrt(np.maximum(victim.spread.diagonal(), 0.0)) / base).tolist()
    victim.harm = {name: harm[i] for name, i in victim.names.items()}
    victim.doubt = {name: doubt[i] for name, i in victim.names.items()}


def fade_harm(model: HarmModel, now: float) -> None:
    """Let old knowledge fade; call it at any interval.

    Notes
    -----
    The means move towards their priors and the variances towards the first ones, with
    the time constant ``fade_s``, so that a workload that changed is learnt anew.
    """
    settings = model.settings
    elapsed = now - model.faded_at
    if elapsed < settings.fade_s / 100.0:
        return
    model.faded_at = now
    kept = exp(-elapsed / settings.fade_s)
    for victim in model.victims.values():
        base = victim.mean[_BASE]
        for name, i in victim.names.items():
            prior = _compute_prior(model, name) * base
            victim.mean[i] = prior + (victim.mean[i] - prior) * kept
        first = np.full(len(victim.mean), (settings.prior_deviation * base) ** 2)
        first[_BASE] = (settings.base_deviation * base) ** 2
        victim.spread = victim.spread * kept + np.diag(first) * (1.0 - kept)
        _summarise(victim)
