"""Health of runners: ejection after failures, probes, recovery and leaving.

Notes
-----
A runner is ejected after consecutive failures or when it is many times slower than the
median. After a time that doubles with each failed probe, one request is sent to it as a
probe; if it succeeds, the runner is used again. If more than `panic_threshold` of the
runners are ejected, the cause is probably not the runners, and all of them are used.
Below that threshold the remaining runners take the load. They can't be overloaded,
because they are never sent more requests than they have slots.
"""

from collections.abc import Iterable
from statistics import median

from plantainyard.routing.retries import SendResult
from plantainyard.routing.values import RoutingSettings

__all__ = [
    "HealthState",
    "describe_runner",
    "retain_runners",
    "is_in_panic_mode",
    "mark_leaving",
    "record_result",
    "select_usable",
    "start_probe",
]

_SMOOTHING = 0.2
"""Weight of a new sample in the moving average of a runner's latency."""

_MIN_SLOW_SAMPLES = 8
"""Number of samples from which a runner can be ejected for being slow."""

_MIN_SLOW_LATENCY_S = 0.05
"""Latency in seconds up to which no runner is ejected for being slow."""


class _Health:
    """Health of one runner."""

    def __init__(self) -> None:
        self.consecutive_failures = 0
        self.samples = 0
        self.latency_s = 0.0
        self.ejected_until = float("-inf")
        self.ejection_s = 0.0
        self.is_ejected = False
        self.probe_in_flight = False
        self.leaving_source = ""
        self.reason = ""


class HealthState:
    """Health of all runners that have been sent a request."""

    def __init__(self) -> None:
        self.runners: dict[str, _Health] = {}


def record_result(
    state: HealthState,
    runner_id: str,
    result: str,
    latency_s: float,
    settings: RoutingSettings,
    now: float,
) -> None:
    """Update a runner's health with the result of an attempt.

    Parameters
    ----------
    state : HealthState
        Updated.
    runner_id : str
        The runner.
    result : str
        One of the names in `retries.SendResult`.
    latency_s : float
        Duration of the attempt.
    settings : RoutingSettings
        Thresholds and times.
    now : float
        Current time.
    """
    health = state.runners.setdefault(runner_id, _Health())
    if result == SendResult.NOT_SENT:
        health.probe_in_flight = False
        return
    was_probe, health.probe_in_flight = health.probe_in_flight, False
    if result == SendResult.ANSWERED:
        _record_success(state, health, was_probe, latency_s, settings, now)
        return
    health.consecutive_failures += 1
    if was_probe or health.consecutive_failures >= settings.ejection_failures:
        _eject(
            health, f"{health.consecutive_failures} failures in a row", settings, now
        )


def mark_leaving(state: HealthState, runner_id: str, source: str) -> None:
    """Mark a runner as leaving, and keep the first source that reported it.

    Notes
    -----
    The sources are the platform's list, which lags behind, the rack's owner, and the
    runner itself. A runner that disappears without notice is ejected after failures.
    """
    health = state.runners.setdefault(runner_id, _Health())
    health.leaving_source = health.leaving_source or source


def select_usable(
    state: HealthState,
    runner_ids: Iterable[str],
    idempotent: bool,
    settings: RoutingSettings,
    now: float,
) -> list[str]:
    """Return the runners that may take a request now.

    Parameters
    ----------
    state : HealthState
        Health of the runners.
    runner_ids : iterable of str
        All runners of the service, with or without a free slot.
    idempotent : bool
        Whether the request may be used as a probe: if a probe is lost, the request is
        sent again.
    settings : RoutingSettings
        Thresholds and times.
    now : float
        Current time.

    Returns
    -------
    list of str
        Usable runners, those with a probe due first.
    """
    present = [key for key in runner_ids if not _is_leaving(state, key)]
    if is_in_panic_mode(state, present, settings):
        return present
    healthy = [key for key in present if not _is_ejected(state, key)]
    probes = [key for key in present if _is_probe_due(state, key, now)]
    # Without healthy runners a non-idempotent request is also used as a probe: it would
    # otherwise wait for an idempotent request that may never arrive.
    return [*probes, *healthy] if idempotent or not healthy else healthy


def is_in_panic_mode(
    state: HealthState, runner_ids: Iterable[str], settings: RoutingSettings
) -> bool:
    """Return whether so many runners are ejected that ejections are ignored."""
    ejected = [_is_ejected(state, key) for key in runner_ids]
    return sum(ejected) > settings.panic_threshold * len(ejected)


def start_probe(state: HealthState, runner_id: str, now: float) -> None:
    """Record that a request is sent to a runner, as its only probe if it is ejected."""
    if _is_probe_due(state, runner_id, now):
        state.runners[runner_id].probe_in_flight = True


def retain_runners(state: HealthState, present: Iterable[str]) -> None:
    """Keep only the health of the runners in `present`."""
    kept = set(present)
    state.runners = {k: v for k, v in state.runners.items() if k in kept}


def describe_runner(state: HealthState, runner_id: str, now: float) -> str:
    """Return a description of a runner's health, for operators.

    Examples
    --------
    >>> describe_runner(HealthState(), "r1", 0.0)
    'healthy'
    """
    health = state.runners.get(runner_id)
    if health is None:
        return "healthy"
    if health.leaving_source:
        return f"leaving ({health.leaving_source})"
    if not health.is_ejected:
        return "healthy"
    remaining_s = max(0.0, health.ejected_until - now)
    return f"set aside for {remaining_s:.1f} s more ({health.reason})"


def _record_success(
    state: HealthState,
    health: _Health,
    was_probe: bool,
    latency_s: float,
    settings: RoutingSettings,
    now: float,
) -> None:
    # Answers to requests that were sent before a runner was ejected may arrive later;
    # they don't show that it has recovered.
    if health.is_ejected and not was_probe:
        return
    health.consecutive_failures = 0
    health.samples += 1
    weight = _SMOOTHING if health.samples > 1 and not was_probe else 1.0
    health.latency_s += weight * (latency_s - health.latency_s)
    if _is_slow(state, health, settings):
        _eject(health, f"slow, {health.latency_s:.3f} s", settings, now)
        health.samples = 0
        return
    health.is_ejected = False
    health.ejection_s = 0.0


def _is_slow(state: HealthState, health: _Health, settings: RoutingSettings) -> bool:
    latencies = [h.latency_s for h in state.runners.values() if h.samples]
    if health.samples < _MIN_SLOW_SAMPLES or len(latencies) < 3:
        return False
    limit = max(_MIN_SLOW_LATENCY_S, settings.slow_factor * median(latencies))
    return health.latency_s > limit


def _eject(health: _Health, reason: str, settings: RoutingSettings, now: float) -> None:
    if health.is_ejected and now < health.ejected_until:
        return
    health.ejection_s = min(
        settings.ejection_max_s, max(settings.ejection_s, 2.0 * health.ejection_s)
    )
    health.ejected_until = now + health.ejection_s
    health.is_ejected = True
    health.reason = reason


def _is_leaving(state: HealthState, runner_id: str) -> bool:
    health = state.runners.get(runner_id)
    return health is not None and bool(health.leaving_source)


def _is_ejected(state: HealthState, runner_id: str) -> bool:
    health = state.runners.get(runner_id)
    return health is not None and health.is_ejected


def _is_probe_due(state: HealthState, runner_id: str, now: float) -> bool:
    health = state.runners.get(runner_id)
    if health is None or not health.is_ejected or health.probe_in_flight:
        return False
    return now >= health.ejected_until
