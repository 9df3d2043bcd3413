"""Estimates of the interference between pairs of workloads.

For each victim workload, a Kalman filter estimates its undisturbed time and how much
each other workload (an aggressor) adds to it. The filter learns from delayed
measurements and from what ran on the same worker at the time of the measurement. Pairs
with few measurements stay near a prior, which is the mean effect of the aggressor on
other victims, shrunk towards a fixed value. Estimates decay towards the prior.

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
    "predict_base_time",
    "predict_pessimistic_slowdown",
    "predict_slowdown",
    "update_interference",
]

_MIN_BASE_TIME = 0.05
_INNOVATION_LIMIT = 4.0
_BASE_INDEX = 0


class Victim:
    """Estimate for one victim workload.

    Attributes
    ----------
    indices : dict
        Index of each aggressor in `mean`; index 0 is the undisturbed time.
    mean : numpy.ndarray
        Undisturbed time, followed by the time that each aggressor adds when it uses
        all cores of a worker.
    covariance : numpy.ndarray
        Covariance matrix of `mean`.
    slowdown, slowdown_deviation : dict
        Slowdown by each aggressor relative to the undisturbed time, and its standard
        deviation; both are derived from `mean` and `covariance` and cached for scoring.
    """

    def __init__(self, base: float, deviation: float):
        self.indices: dict[str, int] = {}
        self.mean = np.array([base])
        self.covariance = np.array([[deviation**2]])
        self.slowdown: dict[str, float] = {}
        self.slowdown_deviation: dict[str, float] = {}


class InterferenceModel:
    """Interference estimates of all victim workloads."""

    def __init__(self, settings: PlacementSettings):
        self.settings = settings
        self.victims: dict[str, Victim] = {}
        self.decayed_at = 0.0


def _compute_prior(model: InterferenceModel, aggressor: str) -> float:
    total, weight = model.settings.prior_harm, 1.0
    for victim in model.victims.values():
        if aggressor in victim.slowdown:
            ratio = (
                victim.slowdown_deviation[aggressor] / model.settings.prior_deviation
            )
            certainty = max(0.0, 1.0 - ratio * ratio)
            total += certainty * victim.slowdown[aggressor]
            weight += certainty
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
    """Return the expected relative slowdown of `victim` by `aggressor`.

    Returns
    -------
    float
        Slowdown if `aggressor` used all cores of the worker. Multiply it by the share
        of the cores that `aggressor` uses.
    """
    entry = model.victims.get(victim)
    if entry is None or aggressor not in entry.slowdown:
        entry = entry or _get_victim(model, victim)
        _add_aggressor(model, entry, aggressor)
    return entry.slowdown[aggressor]


def predict_pessimistic_slowdown(
    model: InterferenceModel, victim: str, aggressor: str, caution: float
) -> float:
    """Return the expected slowdown plus `caution` standard deviations."""
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
    """Update the estimate of a victim workload from one measurement.

    Parameters
    ----------
    model : InterferenceModel
        Updated in place.
    name : str
        Workload that was measured.
    time : float
        Measured time, in a unit in which the undisturbed time is about 1.
    exposures : dict
        Share of the worker's cores that each other workload used at that time.
    extra_variance : float
        Variance of the measurement in addition to the usual noise.

    Returns
    -------
    float
        Residual: the measured time minus the expected time.

    Notes
    -----
    The undisturbed time and the effects of all aggressors are estimated jointly. If
    they were estimated one after the other, an overestimated slowdown would lower the
    undisturbed time, which would raise the relative slowdown again, without bound. The
    innovation is clipped, so that a wrong report changes an estimate by a bounded
    amount. The cost is quadratic in the number of the victim's aggressors.
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
    cross_covariance = victim.covariance @ features
    total = float(features @ cross_covariance) + noise * noise + extra_variance
    limit = _INNOVATION_LIMIT * sqrt(total)
    error = max(-limit, min(limit, time - expected))
    victim.mean = np.maximum(victim.mean + cross_covariance * (error / total), 0.0)
    victim.mean[_BASE_INDEX] = max(victim.mean[_BASE_INDEX], _MIN_BASE_TIME)
    victim.covariance = (
        victim.covariance - np.outer(cross_covariance, cross_covariance) / total
    )
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
    """Decay all estimates towards their priors; may be called at any interval.

    Notes
    -----
    Means move towards their priors and variances towards their initial values with the
    time constant ``fade_s``, so that a workload whose behaviour changed is learned
    again.
    """
    settings = model.settings
    elapsed = now - model.decayed_at
    if elapsed < settings.fade_s / 100.0:
        return
    model.decayed_at = now
    retained = exp(-elapsed / settings.fade_s)
    for victim in model.victims.values():
        base = victim.mean[_BASE_INDEX]
        for name, i in victim.indices.items():
            prior = _compute_prior(model, name) * base
            victim.mean[i] = prior + (victim.mean[i] - prior) * retained
        initial_variances = np.full(
            len(victim.mean), (settings.prior_deviation * base) ** 2
        )
        initial_variances[_BASE_INDEX] = (settings.base_deviation * base) ** 2
        victim.covariance = victim.covariance * retained + np.diag(
            initial_variances
        ) * (1.0 - retained)
        _update_relative_estimates(victim)
