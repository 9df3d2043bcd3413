"""Baseline margins: the margins of serving tasks in the absence of backfill work.

A task's margin is its latency target over its tail latency. The baseline is taken from
tasks that no backfill work disturbs: the other tasks of the same job, or the same task
a moment earlier. A job's tasks share its load, so that one reading holds for all.
"""

import math
from collections.abc import Iterator

from plantainyard.batch.tasks import TaskKey
from plantainyard.dispatch.estimates import Baseline, InterferenceModel, Trend

__all__ = [
    "BASELINE_MAX_AGE_S",
    "MAX_MARGIN",
    "MIN_MARGIN",
    "estimate_baseline",
    "forecast_baseline",
    "update_trend",
    "detect_slow_runner",
]

MAX_DRIFT = 0.25
"""Largest relative change of a baseline per second, as caused by a load that swings by
half in 14 s."""

BASELINE_MAX_AGE_S = 2.0
"""Age up to which a reading is used; by then it may be off by half."""

SLOW_RUNNER_RATIO = 1.6
"""Ratio of the margin of the job's other tasks to that of an undisturbed task above
which the task's runner is considered slow for reasons of its own."""

SLOW_RUNNER_S = 3.0
"""Time for which nothing is learnt from a slow runner; slow phases last seconds."""

FAST_AVERAGE_S, SLOW_AVERAGE_S = 0.3, 1.0
"""Time constants of the two moving averages of a job's baseline; the trend is derived
from their difference."""

MIN_MARGIN, MAX_MARGIN = 0.02, 8.0
"""Bounds of margins: tail latencies of fifty targets and of an eighth of a target."""


def estimate_baseline(
    interference: InterferenceModel, task: TaskKey, incarnation: str, now: float
) -> Baseline | None:
    """Return a task's baseline according to its job's other tasks, or None.

    Parameters
    ----------
    interference : InterferenceModel
        Holds the job's readings.
    task : TaskKey
        The task.
    incarnation : str
        Incarnation of its runner. Of this runner's readings only undisturbed ones are
        used, since the others depend on the weights that are being learnt.
    now : float
        The dispatcher's clock.

    Notes
    -----
    Returns the weighted median, so that a single task on a slow runner has no effect.
    """
    baselines = sorted(_list_baselines(interference, task, incarnation, now))
    if not baselines:
        return None
    total = sum(1 / baseline.variance for baseline in baselines)
    passed = 0.0
    for baseline in baselines:
        passed += 1 / baseline.variance
        if passed >= total / 2:
            return Baseline(baseline.value, 1 / total)
    return None


def _list_baselines(
    interference: InterferenceModel, task: TaskKey, incarnation: str, now: float
) -> Iterator[Baseline]:
    """Yield the recent baselines of the task's job, with variances grown by age."""
    for reading in interference.readings.get(task.job_id, {}).values():
        age_s = now - reading.received_at
        if age_s > BASELINE_MAX_AGE_S or (
            reading.incarnation == incarnation and not reading.undisturbed
        ):
            continue
        if interference.slow_until.get(reading.incarnation, 0.0) > now:
            continue
        drift = MAX_DRIFT * age_s * reading.baseline.value
        yield Baseline(reading.baseline.value, reading.baseline.variance + drift**2)


def detect_slow_runner(
    interference: InterferenceModel,
    incarnation: str,
    margin: float,
    others: Baseline,
    now: float,
) -> bool:
    """Return whether a runner is slow for reasons of its own, and record it if so.

    Notes
    -----
    Guards against harmless backfill work that is blamed for a slow runner and then kept
    away from all serving tasks: nothing is learnt from the runner while it is slow.
    """
    slow = others.value > SLOW_RUNNER_RATIO * margin
    if slow:
        interference.slow_until[incarnation] = now + SLOW_RUNNER_S
    return slow


def update_trend(
    interference: InterferenceModel, job_id: str, baseline: Baseline, now: float
) -> None:
    """Update the moving averages of a job's baseline with its current value."""
    trend = interference.trends.get(job_id)
    if trend is None or now - trend.updated_at > BASELINE_MAX_AGE_S:
        interference.trends[job_id] = Trend(baseline.value, baseline.value, now)
        return
    elapsed_s = max(now - trend.updated_at, 0.01)
    trend.fast += (baseline.value - trend.fast) * (
        1 - math.exp(-elapsed_s / FAST_AVERAGE_S)
    )
    trend.slow += (baseline.value - trend.slow) * (
        1 - math.exp(-elapsed_s / SLOW_AVERAGE_S)
    )
    trend.updated_at = now


def forecast_baseline(
    interference: InterferenceModel,
    job_id: str,
    own: float,
    horizon_s: float,
    default: float,
) -> float:
    """Return the baseline that a job's tasks are expected to have in the near future.

    Parameters
    ----------
    interference : InterferenceModel
        Holds the job's trend.
    job_id : str
        The serving job.
    own : float
        The job's baseline according to the last report of the runner in question.
    horizon_s : float
        How far to look ahead.
    default : float
        Upper bound of the result for a job without a trend.
    """
    trend = interference.trends.get(job_id)
    if trend is None:
        return min(own, default)
    slope = (trend.fast - trend.slow) / (SLOW_AVERAGE_S - FAST_AVERAGE_S)
    predicted = trend.fast + slope * (horizon_s + FAST_AVERAGE_S)
    least, most = (1 - MAX_DRIFT * horizon_s), (1 + MAX_DRIFT * horizon_s)
    bounded = min(max(predicted, trend.fast * least), trend.fast * most)
    return min(bounded, own * most)
