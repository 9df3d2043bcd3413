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
    "InterferenceModel",
    "Victim",
    "decay_interference",
    "update_interference",
    "predict_slowdown",
    "predict_pessimistic_slowdown",
    "predict_base_time",
]

_MIN_BASE_TIME = 0.05
_INNOVATION_LIMIT = 4.0
_BASE_INDEX = 0


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
        self.indices: dict[str, int] = {}
        self.mean = np.array([base])
        self.covariance = np.array([[deviation**2]])
        self.slowdown: dict[str, float] = {}
        self.slowdown_deviation: dict[str, float] = {}


class InterferenceModel:
    """Estimates of all victims."""

    def __init__(self, settings: PlacementSettings):
        self.settings = settings
        self.victims: dict[str, Victim] = {}
        self.decayed_at = 0.0


def _compute_prior(model: InterferenceModel, aggressor: str) -> float:
    total, weight = model.settings.prior_harm, 1.0
    for victim in model.victims.values():
        if aggressor in victim.slowdown:
            slowdown_deviation = (
                victim.slowdown_deviation[aggressor] / model.settings.prior_deviation
            )
            known = max(0.0, 1.0 - slowdown_deviation * slowdown_deviation)
            total += known * victim.slowdown[aggressor]
            weight += known
    return total / weight


def _get_victim(model: InterferenceModel, name: str) -> Victim:
    victim = model.victims.get(name)
    if victim is None:
        victim = Victim(1.0, model.settings.base_deviation)
        model.victims[name] = victim
    return victim


def _add_aggressor(model: InterferenceModel, victim: Victim, aggressor: str) -> None:
    base = max(_MIN_BASE_TIME, float(victim.mean[_BASE_INDEX]))
    size = len(victim.mean)
    victim.indices[aggressor] = size
    prior = _compute_prior(model, aggressor)
    victim.mean = np.append(victim.mean, prior * base)
    covariance = np.zeros((size + 1, size + 1))
    covariance[:size, :size] = victim.covariance
    covariance[size, size] = (model.settings.prior_deviation * base) ** 2
    victim.covariance = covariance
    victim.slowdown[aggressor] = prior
    victim.slowdown_deviation[aggressor] = model.settings.prior_deviation


def predict_slowdown(model: InterferenceModel, victim: str, aggressor: str) -> float:
    """Return the expected relative slow-down of `victim` by `aggressor`.

    Returns
    -------
    float
        Slow-down if `aggressor` used all cores of the worker; scale it by the share
        that it uses.
    """
    known = model.victims.get(victim)
    if known is None or aggressor not in known.slowdown:
        known = known or _get_victim(model, victim)
        _add_aggressor(model, known, aggressor)
    return known.slowdown[aggressor]


def predict_pessimistic_slowdown(
    model: InterferenceModel, victim: str, aggressor: str, caution: float
) -> float:
    """Return the expected slow-down plus `caution` standard deviations."""
    slowdown = predict_slowdown(model, victim, aggressor)
    return slowdown + caution * model.victims[victim].slowdown_deviation[aggressor]


def predict_base_time(model: InterferenceModel, victim: str) -> float:
    """Return the undisturbed time of a workload, in the unit of its measurements."""
    return max(_MIN_BASE_TIME, float(_get_victim(model, victim).mean[_BASE_INDEX]))


def update_interference(
    model: InterferenceModel,
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
        if aggressor not in victim.indices:
            _add_aggressor(model, victim, aggressor)
    features = np.zeros(len(victim.mean))
    features[_BASE_INDEX] = 1.0
    for aggressor, share in exposures.items():
        features[victim.indices[aggressor]] = share
    expected = float(features @ victim.mean)
    noise = model.settings.report_noise * max(expected, _MIN_BASE_TIME)
    across = victim.covariance @ features
    total = float(features @ across) + noise * noise + extra_variance
    limit = _INNOVATION_LIMIT * sqrt(total)
    error = max(-limit, min(limit, time - expected))
    victim.mean = np.maximum(victim.mean + across * (error / total), 0.0)
    victim.mean[_BASE_INDEX] = max(victim.mean[_BASE_INDEX], _MIN_BASE_TIME)
    victim.covariance = victim.covariance - np.outer(across, across) / total
    _update_relative_estimates(victim)
    return time - expected


def _update_relative_estimates(victim: Victim) -> None:
    base = victim.mean[_BASE_INDEX]
    slowdown = (victim.mean / base).tolist()
    slowdown_deviation = (
        np.sqrt(np.maximum(victim.covariance.diagonal(), 0.0)) / base
    ).tolist()
    victim.slowdown = {name: slowdown[i] for name, i in victim.indices.items()}
    victim.slowdown_deviation = {
        name: slowdown_deviation[i] for name, i in victim.indices.items()
    }


def decay_interference(model: InterferenceModel, now: float) -> None:
    """Let old knowledge fade; call it at any interval.

    Notes
    -----
    The means move towards their priors and the variances towards the first ones, with
    the time constant ``fade_s``, so that a workload that changed is learnt anew.
    """
    settings = model.settings
    elapsed = now - model.decayed_at
    if elapsed < settings.fade_s / 100.0:
        return
    model.decayed_at = now
    kept = exp(-elapsed / settings.fade_s)
    for victim in model.victims.values():
        base = victim.mean[_BASE_INDEX]
        for name, i in victim.indices.items():
            prior = _compute_prior(model, name) * base
            victim.mean[i] = prior + (victim.mean[i] - prior) * kept
        first = np.full(len(victim.mean), (settings.prior_deviation * base) ** 2)
        first[_BASE_INDEX] = (settings.base_deviation * base) ** 2
        victim.covariance = victim.covariance * kept + np.diag(first) * (1.0 - kept)
        _update_relative_estimates(victim)
