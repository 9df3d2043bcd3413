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

from plantainyard.dispatch.bases import (
    BASE_S,
    MARGIN_CEILING,
    MARGIN_FLOOR,
    estimate_base,
    move_track,
    note_speed,
)
from plantainyard.dispatch.harms import Base, Estimate, Harms, Reading
from plantainyard.dispatch.samples import (
    Sample,
    Tail,
    is_steady,
    sharpen_tail,
)
from plantainyard.dispatch.weights import (
    IDLE_TAIL,
    MARGIN_ERROR,
    add_images,
    drop_image,
    update_estimate,
)

__all__ = [
    "FORGET_S",
    "forget_unseen",
    "learn",
]

UNSTEADY_ERROR = 0.25
"""Relative error of one reported margin while what works beside the task has just
changed; `MARGIN_ERROR` else."""

UNSTEADY_COUNT = 2
"""Reports beside loads that have just changed that tell as much as a steady one."""

IDLE_LOAD = 0.01
"""Share of a runner's processors below which backfilling work counts as none."""

FORGET_S = 60.0
"""Time after which a pair that isn't seen is forgotten: a weight that came out too high
keeps its image from where it could be corrected."""


def learn(harms: Harms, sample: Sample, now: float) -> dict[str, float]:
    """Take in a report, and return the bases of the runner's serving jobs.

    Parameters
    ----------
    harms : Harms
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
    at, before = harms.last.get(sample.incarnation, (now, Sample(sample.incarnation)))
    harms.last[sample.incarnation] = (now, sample)
    steady = is_steady(before, sample)
    idle = steady and _is_idle(sample)
    tails = {tail.task: tail.value for tail in before.tails}
    bases: dict[str, float] = {}
    for tail in sample.tails:
        sharp = sharpen_tail(tail.value, tails.get(tail.task, tail.value), now - at)
        margin = min(MARGIN_CEILING, max(MARGIN_FLOOR, 1 / max(sharp, 1e-6)))
        own = _learn_margin(harms, tail, margin, sample, steady, now)
        reading = Reading(own, sample.incarnation, now, idle)
        readings = harms.readings.setdefault(tail.task.job_id, {})
        readings[tail.task, False] = reading
        if idle:
            readings[tail.task, True] = reading
        job_id = tail.task.job_id
        bases[job_id] = min(bases.get(job_id, MARGIN_CEILING), own.value)
    return bases


def _learn_margin(
    harms: Harms, tail: Tail, margin: float, sample: Sample, steady: bool, now: float
) -> Base:
    """Take in one margin and return its base as the weights show it."""
    estimate = harms.estimates.setdefault(tail.image, Estimate())
    loads = sample.loads
    add_images(estimate, loads)
    others = estimate_base(harms, tail.task, sample.incarnation, now)
    slow = harms.slow_until.get(sample.incarnation, 0.0) > now
    if others is not None:
        idle = _is_idle(sample)
        if steady and idle:
            slow |= note_speed(harms, sample.incarnation, margin, others, now)
        elif not slow and not idle:
            _learn_weights(harms, tail, margin, sample, others, steady)
    own = _undo_pressure(estimate, loads, margin, steady)
    if not slow:
        move_track(harms, tail.task.job_id, others or own, now)
    return own


def _learn_weights(
    harms: Harms, tail: Tail, margin: float, sample: Sample, base: Base, steady: bool
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
    count = 1 if steady else UNSTEADY_COUNT
    estimate = harms.estimates[tail.image]
    update_estimate(estimate, sample.loads, margin, base, count * alike)


def _is_idle(sample: Sample) -> bool:
    """Return whether no backfilling work is at work at the runner."""
    return sum(sample.loads.values()) < IDLE_LOAD


def _undo_pressure(
    estimate: Estimate, loads: Mapping[str, float], margin: float, steady: bool
) -> Base:
    """Return the base that a margin shows, by the weights of what works beside it."""
    stretch = 1.0 + sum(estimate.weights[i] * load for i, load in loads.items() if load)
    doubt = sum(estimate.doubts[i][i] * load**2 for i, load in loads.items() if load)
    base = margin + (1 - 1 / stretch) / IDLE_TAIL
    error = MARGIN_ERROR if steady else UNSTEADY_ERROR
    return Base(base, doubt / (IDLE_TAIL * stretch**2) ** 2 + (error * margin) ** 2)


def forget_unseen(harms: Harms, seconds: float, now: float) -> None:
    """Forget pairs that weren't seen together for long, and old readings.

    Notes
    -----
    Guards against work that waits for ever: a weight that came out too high, on a
    runner that was slow for other reasons, keeps the image from where it could show
    that it is harmless. Forgotten, the pair is tried like one that was never seen.
    """
    for estimate in harms.estimates.values():
        for image in list(estimate.weights):
            estimate.unseen_s[image] = estimate.unseen_s.get(image, 0.0) + seconds
            if estimate.unseen_s[image] > FORGET_S:
                drop_image(estimate, image)
    for job_id, readings in list(harms.readings.items()):
        fresh = {k: r for k, r in readings.items() if now - r.at <= BASE_S}
        harms.readings[job_id] = fresh
        if not fresh:
            del harms.readings[job_id]
            harms.tracks.pop(job_id, None)
    harms.last = {k: v for k, v in harms.last.items() if now - v[0] <= FORGET_S}
    harms.slow_until = {k: at for k, at in harms.slow_until.items() if at > now}
