"""Learning how much backfill tasks slow down serving tasks that share their runner.

Of all pairs of a serving and a backfill image some are harmless, while in others a few
backfill tasks of seven cores raise the tail latency of the serving tasks to fifty
targets. Nobody declares which pairs these are, and the load of the serving tasks itself
swings within seconds, alike for all tasks of one job.

The model treats a serving task as a queue. Backfill work stretches its service time by
a factor of one plus, for each backfill image, a weight times the share of the runner's
processors that the image uses. The margin, the target over the tail latency, is then

    margin = baseline - (1 - 1 / stretch) / IDLE_TAIL,

where the baseline, the margin without backfill work, follows the job's own load. It is
taken from undisturbed tasks: the other tasks of the job, or the same task a moment
earlier. Weights belong to a pair of images, are constant over time, and are learnt by
recursive least squares.
"""

from collections.abc import Mapping

from plantainyard.batch.tasks import TaskKey
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
"""Relative error of one reported margin if the backfill load beside the task has just
changed; `MARGIN_ERROR` applies otherwise."""

UNSTEADY_DISCOUNT = 2
"""Number of reports with a changed load that carry as much information as one report
with a steady load."""

MAX_READINGS = 128
"""Maximum number of readings that are kept of a job; tasks share their job's load, so
that further ones add little."""

NEGLIGIBLE_LOAD = 0.01
"""Share of a runner's processors below which backfill work is disregarded."""

RETENTION_S = 60.0
"""Time after which a pair that is no longer observed is forgotten: an overestimated
weight keeps its image from the runners where the weight could be corrected."""


def learn_from_sample(
    interference: InterferenceModel, sample: Sample, now: float
) -> dict[str, float]:
    """Update the model with a report, and return the runner's baselines.

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
        By serving job with running tasks, the lowest baseline on this runner.

    Notes
    -----
    The cost per serving task is a pass over its job's tasks plus the square of the
    number of backfill images.
    """
    received_at, before = interference.last_samples.get(
        sample.incarnation, (now, Sample(sample.incarnation))
    )
    interference.last_samples[sample.incarnation] = (now, sample)
    steady = is_steady(before, sample)
    undisturbed = steady and _has_no_load(sample)
    tails = {tail.task: tail.value for tail in before.tails}
    baselines: dict[str, float] = {}
    for tail in sample.tails:
        current = undo_smoothing(
            tail.value, tails.get(tail.task, tail.value), now - received_at
        )
        margin = min(MAX_MARGIN, max(MIN_MARGIN, 1 / max(current, 1e-6)))
        own = _learn_from_margin(interference, tail, margin, sample, steady, now)
        reading = Reading(own, sample.incarnation, now, undisturbed)
        readings = interference.readings.setdefault(tail.task.job_id, {})
        _keep_reading(readings, (tail.task, False), reading)
        if undisturbed:
            _keep_reading(readings, (tail.task, True), reading)
        job_id = tail.task.job_id
        baselines[job_id] = min(baselines.get(job_id, MAX_MARGIN), own.value)
    return baselines


def _keep_reading(
    readings: dict[tuple[TaskKey, bool], Reading],
    key: tuple[TaskKey, bool],
    reading: Reading,
) -> None:
    """Keep a reading in place of the one before, and the newest of a job alone.

    Notes
    -----
    Guards against an owner that does nothing but estimate baselines: each margin passes
    over the readings of its job, which may have a thousand serving tasks.
    """
    readings.pop(key, None)
    readings[key] = reading
    if len(readings) > MAX_READINGS:
        del readings[next(iter(readings))]


def _learn_from_margin(
    interference: InterferenceModel,
    tail: Tail,
    margin: float,
    sample: Sample,
    steady: bool,
    now: float,
) -> Baseline:
    """Update the model with one margin, and return the baseline that it implies."""
    estimate = interference.estimates.setdefault(tail.image, WeightEstimate())
    loads = sample.loads
    add_images(estimate, loads)
    others = estimate_baseline(interference, tail.task, sample.incarnation, now)
    slow = interference.slow_until.get(sample.incarnation, 0.0) > now
    if others is not None:
        has_no_load = _has_no_load(sample)
        if steady and has_no_load:
            slow |= detect_slow_runner(
                interference, sample.incarnation, margin, others, now
            )
        elif not slow and not has_no_load:
            _learn_weights(interference, tail, margin, sample, others, steady)
    own = _infer_baseline(estimate, loads, margin, steady)
    if not slow:
        update_trend(interference, tail.task.job_id, others or own, now)
    return own


def _learn_weights(
    interference: InterferenceModel,
    tail: Tail,
    margin: float,
    sample: Sample,
    baseline: Baseline,
    steady: bool,
) -> None:
    """Update the weights of a serving image with one margin under backfill load.

    Notes
    -----
    Guards against harmful images that stay unknown: where tasks run for one or two
    seconds, every other report follows a change of the loads. Ignoring these reports
    would leave a pair unknown for as long as a burst lasts, and its tasks would be
    slowed and kept waiting as if they were harmful. Such reports get less weight, since
    they may cover part of the time before the change.
    """
    same_image = sum(other.image == tail.image for other in sample.tails)
    discount = 1 if steady else UNSTEADY_DISCOUNT
    estimate = interference.estimates[tail.image]
    update_estimate(estimate, sample.loads, margin, baseline, discount * same_image)


def _has_no_load(sample: Sample) -> bool:
    """Return whether the runner's backfill load is negligible."""
    return sum(sample.loads.values()) < NEGLIGIBLE_LOAD


def _infer_baseline(
    estimate: WeightEstimate, loads: Mapping[str, float], margin: float, steady: bool
) -> Baseline:
    """Return the baseline implied by a margin and the weights of the current loads."""
    stretch = 1.0 + sum(estimate.weights[i] * load for i, load in loads.items() if load)
    variance = sum(
        estimate.covariance[i][i] * load**2 for i, load in loads.items() if load
    )
    baseline = margin + (1 - 1 / stretch) / IDLE_TAIL
    error = MARGIN_ERROR if steady else UNSTEADY_ERROR
    return Baseline(
        baseline, variance / (IDLE_TAIL * stretch**2) ** 2 + (error * margin) ** 2
    )


def expire_unobserved(
    interference: InterferenceModel, seconds: float, now: float
) -> None:
    """Remove pairs that haven't been observed for `RETENTION_S`, and old readings.

    Notes
    -----
    Guards against work that waits for ever: an overestimated weight, learnt on a runner
    that was slow for other reasons, keeps the image from the runners where it could
    prove harmless. Once forgotten, the pair is tried again like a new one.
    """
    for estimate in interference.estimates.values():
        for image in list(estimate.weights):
            estimate.unseen_s[image] = estimate.unseen_s.get(image, 0.0) + seconds
            if estimate.unseen_s[image] > RETENTION_S:
                remove_image(estimate, image)
    for job_id, readings in list(interference.readings.items()):
        recent = {
            key: reading
            for key, reading in readings.items()
            if now - reading.received_at <= BASELINE_MAX_AGE_S
        }
        interference.readings[job_id] = recent
        if not recent:
            del interference.readings[job_id]
            interference.trends.pop(job_id, None)
    interference.last_samples = {
        incarnation: last
        for incarnation, last in interference.last_samples.items()
        if now - last[0] <= RETENTION_S
    }
    interference.slow_until = {
        incarnation: until
        for incarnation, until in interference.slow_until.items()
        if until > now
    }
