"""Margins of serving tasks without backfilling work.

They are read off where nothing harms: at the job's other tasks, or a moment ago. A
job's tasks share its load, so one reading tells of all of them.
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
"""Most by which a base changes in a second, as a part of itself: loads that swing by
half in 14 s change it so fast."""

BASELINE_MAX_AGE_S = 2.0
"""Age up to which a reading counts for a base; it may be off by half by then."""

SLOW_RUNNER_RATIO = 1.6
"""Margin of the job's other tasks, over that of a task without backfilling work beside
it, from which its runner counts as slow by itself."""

SLOW_RUNNER_S = 3.0
"""Time for which nothing is learnt from such a runner; they turn slow for seconds."""

FAST_AVERAGE_S, SLOW_AVERAGE_S = 0.3, 1.0
"""Times of the two moving averages of a job's base whose difference is its trend."""

MIN_MARGIN, MAX_MARGIN = 0.02, 8.0
"""Bounds of margins: tails of fifty targets and of an eighth of one."""


def estimate_baseline(
    interference: InterferenceModel, task: TaskKey, incarnation: str, now: float
) -> Baseline | None:
    """Return a task's base as its job's other tasks show it, or None.

    Parameters
    ----------
    interference : InterferenceModel
        With the job's readings.
    task : TaskKey
        The task.
    incarnation : str
        Its runner. Of what was read there only what was read without backfilling work
        counts: the rest rests on the weights that are to be learnt.
    now : float
        The dispatcher's clock.

    Notes
    -----
    The median by weight, so that one task on a slow runner doesn't count.
    """
    bases = sorted(_list_bases(interference, task, incarnation, now))
    if not bases:
        return None
    total = sum(1 / base.variance for base in bases)
    passed = 0.0
    for base in bases:
        passed += 1 / base.variance
        if passed >= total / 2:
            return Baseline(base.value, 1 / total)
    return None


def _list_bases(
    interference: InterferenceModel, task: TaskKey, incarnation: str, now: float
) -> Iterator[Baseline]:
    for reading in interference.readings.get(task.job_id, {}).values():
        age_s = now - reading.at
        if age_s > BASELINE_MAX_AGE_S or (
            reading.incarnation == incarnation and not reading.clean
        ):
            continue
        if interference.slow_until.get(reading.incarnation, 0.0) > now:
            continue
        drift = MAX_DRIFT * age_s * reading.base.value
        yield Baseline(reading.base.value, reading.base.variance + drift**2)


def detect_slow_runner(
    interference: InterferenceModel,
    incarnation: str,
    margin: float,
    others: Baseline,
    now: float,
) -> bool:
    """Take note of a runner that is slow by itself, and return whether it is.

    Notes
    -----
    Guards against harmless work that takes the blame for a slow runner, and is then
    kept from all serving tasks: nothing is learnt there while the runner is slow.
    """
    slow = others.value > SLOW_RUNNER_RATIO * margin
    if slow:
        interference.slow_until[incarnation] = now + SLOW_RUNNER_S
    return slow


def update_trend(
    interference: InterferenceModel, job_id: str, base: Baseline, now: float
) -> None:
    """Take a job's base of now into its moving averages."""
    track = interference.tracks.get(job_id)
    if track is None or now - track.at > BASELINE_MAX_AGE_S:
        interference.tracks[job_id] = Trend(base.value, base.value, now)
        return
    elapsed_s = max(now - track.at, 0.01)
    track.fast += (base.value - track.fast) * (
        1 - math.exp(-elapsed_s / FAST_AVERAGE_S)
    )
    track.slow += (base.value - track.slow) * (
        1 - math.exp(-elapsed_s / SLOW_AVERAGE_S)
    )
    track.at = now


def forecast_baseline(
    interference: InterferenceModel,
    job_id: str,
    own: float,
    ahead_s: float,
    default: float,
) -> float:
    """Return the margin that a job's tasks will have without backfilling work.

    Parameters
    ----------
    interference : InterferenceModel
        What is learnt.
    job_id : str
        The serving job.
    own : float
        Its base as the runner in question showed it last.
    ahead_s : float
        How far to look.
    default : float
        Taken where the job has told nothing yet.
    """
    track = interference.tracks.get(job_id)
    if track is None:
        return min(own, default)
    trend = (track.fast - track.slow) / (SLOW_AVERAGE_S - FAST_AVERAGE_S)
    coming = track.fast + trend * (ahead_s + FAST_AVERAGE_S)
    least, most = (1 - MAX_DRIFT * ahead_s), (1 + MAX_DRIFT * ahead_s)
    bounded = min(max(coming, track.fast * least), track.fast * most)
    return min(bounded, own * most)
