"""What is learnt of how much backfilling tasks harm serving ones.

The load that it answers: of all pairs of a serving and a backfilling image some are
harmless and some, a few tasks of seven cores, drive the serving tasks' tail latency to
fifty targets. Nobody declares which, and the serving tasks' own load swings within
seconds, alike for all tasks of one job.

A serving task behaves like a queue. Backfilling work stretches its service time by one
plus, for each backfilling image, a weight times the share of the runner's processors in
use by that image. The margin, the target over the tail latency, is then

    margin = base - (1 - 1 / stretch) / IDLE_TAIL,

where the base, the margin without backfilling work, follows the job's own load. It is
read off where nothing harms it: at the job's other tasks, or at the same task a moment
ago. Weights belong to a pair of images, stay what they are, and are learnt by recursive
least squares.
"""

from collections.abc import Mapping

from plantainyard.dispatch.baselines import (
    BASELINE_MAX_AGE_S,
    MAX_MARGIN,
    MIN_MARGIN,
    detect_slow_runner,
    estimate_baseline,
    update_trend,
)
from plantainyard.dispatch.estimates import (
    Baseline,
    InterferenceModel,
    Reading,
    WeightEstimate,
)
from plantainyard.dispatch.samples import (
    Sample,
    Tail,
    is_steady,
    undo_smoothing,
)
from plantainyard.dispatch.weights import (
    IDLE_TAIL,
    MARGIN_ERROR,
    add_images,
    remove_image,
    update_estimate,
)

__all__ = [
    "RETENTION_S",
    "expire_unobserved",
    "learn_from_sample",
]

UNSTEADY_ERROR = 0.25
"""Relative error of one reported margin while what works beside the task has just
changed; `MARGIN_ERROR` else."""

UNSTEADY_DISCOUNT = 2
"""Reports beside loads that have just changed that tell as much as a steady one."""

NEGLIGIBLE_LOAD = 0.01
"""Share of a runner's processors below which backfilling work counts as none."""

RETENTION_S = 60.0
"""Time after which a pair that isn't seen is forgotten: a weight that came out too high
keeps its image from where it could be corrected."""


def learn_from_sample(
    interference: InterferenceModel, sample: Sample, now: float
) -> dict[str, float]:
    """Take in a report, and return the bases of the runner's serving jobs.

    Parameters
    ----------
    interference : InterferenceModel
        Changed in place.
    sample : Sample
        The report.
    now : float
        When it came.

    Returns
    -------
    dict
        For each serving job at work there the least base as that runner shows it.

    Notes
    -----
    The cost is, for each serving task, a pass over its job's tasks and the square of
    the number of backfilling images.
    """
    at, before = interference.last.get(
        sample.incarnation, (now, Sample(sample.incarnation))
    )
    interference.last[sample.incarnation] = (now, sample)
    steady = is_steady(before, sample)
    idle = steady and _is_idle(sample)
    tails = {tail.task: tail.value for tail in before.tails}
    bases: dict[str, float] = {}
    for tail in sample.tails:
        sharp = undo_smoothing(tail.value, tails.get(tail.task, tail.value), now - at)
        margin = min(MAX_MARGIN, max(MIN_MARGIN, 1 / max(sharp, 1e-6)))
        own = _learn_margin(interference, tail, margin, sample, steady, now)
        reading = Reading(own, sample.incarnation, now, idle)
        readings = interference.readings.setdefault(tail.task.job_id, {})
        readings[tail.task, False] = reading
        if idle:
            readings[tail.task, True] = reading
        job_id = tail.task.job_id
        bases[job_id] = min(bases.get(job_id, MAX_MARGIN), own.value)
    return bases


def _learn_margin(
    interference: InterferenceModel,
    tail: Tail,
    margin: float,
    sample: Sample,
    steady: bool,
    now: float,
) -> Baseline:
    """Take in one margin and return its base as the weights show it."""
    estimate = interference.estimates.setdefault(tail.image, WeightEstimate())
    loads = sample.loads
    add_images(estimate, loads)
    others = estimate_baseline(interference, tail.task, sample.incarnation, now)
    slow = interference.slow_until.get(sample.incarnation, 0.0) > now
    if others is not None:
        idle = _is_idle(sample)
        if steady and idle:
            slow |= detect_slow_runner(
                interference, sample.incarnation, margin, others, now
            )
        elif not slow and not idle:
            _learn_weights(interference, tail, margin, sample, others, steady)
    own = _undo_pressure(estimate, loads, margin, steady)
    if not slow:
        update_trend(interference, tail.task.job_id, others or own, now)
    return own


def _learn_weights(
    interference: InterferenceModel,
    tail: Tail,
    margin: float,
    sample: Sample,
    base: Baseline,
    steady: bool,
) -> None:
    """Take one margin beside backfilling work into the weights of its image.

    Notes
    -----
    Guards against harmful images that stay unknown: where tasks run for a second or
    two, loads have just changed in every other report. Passed over, these reports
    leave a pair unknown for as long as a burst goes on, and its work is slowed and kept
    waiting like harmful work. They count for less, as they may cover a part of the time
    before the change.
    """
    alike = sum(other.image == tail.image for other in sample.tails)
    count = 1 if steady else UNSTEADY_DISCOUNT
    estimate = interference.estimates[tail.image]
    update_estimate(estimate, sample.loads, margin, base, count * alike)


def _is_idle(sample: Sample) -> bool:
    """Return whether no backfilling work is at work at the runner."""
    return sum(sample.loads.values()) < NEGLIGIBLE_LOAD


def _undo_pressure(
    estimate: WeightEstimate, loads: Mapping[str, float], margin: float, steady: bool
) -> Baseline:
    """Return the base that a margin shows, by the weights of what works beside it."""
    stretch = 1.0 + sum(estimate.weights[i] * load for i, load in loads.items() if load)
    doubt = sum(
        estimate.covariance[i][i] * load**2 for i, load in loads.items() if load
    )
    base = margin + (1 - 1 / stretch) / IDLE_TAIL
    error = MARGIN_ERROR if steady else UNSTEADY_ERROR
    return Baseline(base, doubt / (IDLE_TAIL * stretch**2) ** 2 + (error * margin) ** 2)


def expire_unobserved(
    interference: InterferenceModel, seconds: float, now: float
) -> None:
    """Forget pairs that weren't seen together for long, and old readings.

    Notes
    -----
    Guards against work that waits for ever: a weight that came out too high, on a
    runner that was slow for other reasons, keeps the image from where it could show
    that it is harmless. Forgotten, the pair is tried like one that was never seen.
    """
    for estimate in interference.estimates.values():
        for image in list(estimate.weights):
            estimate.unseen_s[image] = estimate.unseen_s.get(image, 0.0) + seconds
            if estimate.unseen_s[image] > RETENTION_S:
                remove_image(estimate, image)
    for job_id, readings in list(interference.readings.items()):
        fresh = {k: r for k, r in readings.items() if now - r.at <= BASELINE_MAX_AGE_S}
        interference.readings[job_id] = fresh
        if not fresh:
            del interference.readings[job_id]
            interference.tracks.pop(job_id, None)
    interference.last = {
        k: v for k, v in interference.last.items() if now - v[0] <= RETENTION_S
    }
    interference.slow_until = {
        k: at for k, at in interference.slow_until.items() if at > now
    }
