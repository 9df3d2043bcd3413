"""Pace of backfill tasks that share a runner with serving tasks.

The pace is a share of full speed. Backfill tasks lower the margin of the serving tasks
on their runner by amounts that differ between images, while the serving tasks' own load
swings. Whatever margin a serving task has above its target is given to the backfill
images that interfere least.
"""

from plantainyard.dispatch.baselines import MAX_MARGIN, forecast_baseline
from plantainyard.dispatch.estimates import InterferenceModel
from plantainyard.dispatch.model import Phase, Runner
from plantainyard.dispatch.weights import compute_headroom, find_weight_bound

__all__ = [
    "FULL_PACE",
    "SERVING_UTILIZATION",
    "choose_paces",
    "find_spare_load",
    "get_pace",
    "has_backfill_tasks",
    "has_serving_tasks",
    "update_headroom",
]

FULL_PACE = 100
"""Pace of a task that isn't slowed, in percent."""

TARGET_MARGIN = 1.05
"""Margin (target over tail latency) that is kept; the target is missed below 1. Model
errors are covered by using upper bounds of the weights."""

DEFAULT_BASELINE = 1.5
"""Baseline of a serving task without reports: low enough to admit little work beside a
task whose load may be at its peak."""

PACING_HORIZON_S = 0.5
"""How far ahead paces are chosen: until the next report, plus the 0.1 s that a pace
takes to have effect."""

PLACING_HORIZON_S = 0.7
"""How far ahead a place is chosen. Most backfill tasks run for 2 s, but a trend can be
extrapolated only this far."""

MAX_RISE = 40
"""Points by which a pace rises at most per report: after all work was stopped, an image
that was wrongly considered harmless is detected before it runs at full speed."""

MIN_PACE = 8
"""Paces below this are replaced by a stop: such tasks still interfere, but make hardly
any progress."""

IGNORED_WEIGHT_RATIO = 3.0
"""Ratio of two weights from which the image with the larger one is slowed in favour of
the other, and so is ignored when the other is placed."""

SERVING_UTILIZATION = 0.5
"""Assumed share of its reserved processor time that a serving task uses. Reports don't
say, since a serving task's row holds its tail latency instead."""


def get_pace(runner: Runner, image: str) -> int:
    """Return the pace of the runner's tasks of a backfill image, in percent."""
    return runner.paces.get(image, FULL_PACE)


def choose_paces(runner: Runner, interference: InterferenceModel) -> dict[str, int]:
    """Return the paces of the runner's backfill images that keep the targets.

    Parameters
    ----------
    runner : Runner
        Its tasks, and the baselines of its serving jobs.
    interference : InterferenceModel
        The weights of the pairs of images.

    Returns
    -------
    dict
        Pace by image, without the images at full speed.

    Notes
    -----
    The images that interfere most per core are slowed first. Among all choices that
    keep the targets this one lets the most work be done.
    """
    loads = _sum_loads(runner)
    full = dict(loads)
    for serving, baseline in _forecast_baselines(
        runner, interference, PACING_HORIZON_S
    ).items():
        _reduce_loads(
            loads, interference, serving, compute_headroom(baseline, TARGET_MARGIN)
        )
    paces = {
        i: min(
            int(FULL_PACE * loads[i] / full[i] + 0.5), get_pace(runner, i) + MAX_RISE
        )
        for i in loads
        if full[i] > 0
    }
    return {i: p if p >= MIN_PACE else 0 for i, p in paces.items() if p < FULL_PACE}


def _reduce_loads(
    loads: dict[str, float],
    interference: InterferenceModel,
    serving: str,
    headroom: float,
) -> None:
    """Reduce `loads` until their pressure on `serving` is at most `headroom`."""
    weights = {i: find_weight_bound(interference, serving, i) for i in loads}
    excess = sum(weights[i] * load for i, load in loads.items()) - headroom
    for image in sorted(loads, key=lambda i: weights[i], reverse=True):
        if excess <= 0:
            return
        cut = min(loads[image], excess / max(weights[image], 1e-6))
        loads[image] -= cut
        excess -= cut * weights[image]


def update_headroom(runner: Runner, interference: InterferenceModel) -> None:
    """Update the headroom that current baselines leave for placing backfill work."""
    runner.backfill_loads = _sum_loads(runner)
    runner.serving_headroom = {
        serving: compute_headroom(baseline, TARGET_MARGIN)
        for serving, baseline in _forecast_baselines(
            runner, interference, PLACING_HORIZON_S
        ).items()
    }
    runner.spare_load = {}


def find_spare_load(
    runner: Runner, interference: InterferenceModel, image: str
) -> float:
    """Return the load that further work of a backfill image may add to a runner.

    Returns
    -------
    float
        Share of the runner's processors, at most 1.

    Notes
    -----
    Guards against harmless work that waits while processors are unused: a single
    harmful task at its reduced pace would use up all the headroom of the serving tasks,
    and nothing else would be admitted. Images that interfere much more are slowed first
    and therefore ignored here: a tenth of their pace frees the headroom for a whole
    harmless task. The result is cached until the runner's next report; the cost is a
    pass over the runner's pairs of images.
    """
    found = runner.spare_load.get(image)
    if found is None:
        limits = (
            _find_spare_beside(runner, interference, image, serving)
            for serving in runner.serving_headroom
        )
        found = runner.spare_load[image] = min(limits, default=1.0)
    return found


def _find_spare_beside(
    runner: Runner, interference: InterferenceModel, image: str, serving: str
) -> float:
    """Return the load that work of `image` may add as far as `serving` allows it."""
    weight = find_weight_bound(interference, serving, image)
    weights = {
        i: find_weight_bound(interference, serving, i) for i in runner.backfill_loads
    }
    pressure = sum(
        weights[other] * load
        for other, load in runner.backfill_loads.items()
        if weights[other] <= IGNORED_WEIGHT_RATIO * weight
    )
    return min(
        1.0, max(0.0, runner.serving_headroom[serving] - pressure) / max(weight, 1e-6)
    )


def _forecast_baselines(
    runner: Runner, interference: InterferenceModel, horizon_s: float
) -> dict[str, float]:
    """Return the lowest forecast baseline of each serving image on the runner."""
    images = {
        task.key.job_id: task.step.spec.image
        for task in runner.tasks.values()
        if task.step.spec.target_ms and task.phase != Phase.STOPPING
    }
    baselines: dict[str, float] = {}
    for job_id, image in images.items():
        own = runner.base_margins.get(job_id, MAX_MARGIN)
        baseline = forecast_baseline(
            interference, job_id, own, horizon_s, DEFAULT_BASELINE
        )
        baselines[image] = min(baseline, baselines.get(image, MAX_MARGIN))
    return baselines


def _sum_loads(runner: Runner) -> dict[str, float]:
    """Return the load of each backfill image at full pace, limited by unused CPU."""
    assert runner.entry is not None
    cpu = max(1, runner.entry.capacity.cpu)
    loads: dict[str, float] = {}
    for task in runner.tasks.values():
        spec = task.step.spec
        if spec.backfill and task.phase != Phase.STOPPING:
            loads[spec.image] = loads.get(spec.image, 0.0) + spec.resources.cpu / cpu
    unused = (
        1.0
        - (runner.reserved_cpu - (1 - SERVING_UTILIZATION) * runner.serving_cpu) / cpu
    )
    scale = min(1.0, max(unused, 0.05) / max(sum(loads.values()), 1e-6))
    return {image: load * scale for image, load in loads.items()}


def has_serving_tasks(runner: Runner) -> bool:
    """Return whether the runner has tasks with a latency target."""
    return any(task.step.spec.target_ms for task in runner.tasks.values())


def has_backfill_tasks(runner: Runner) -> bool:
    """Return whether the runner has backfill tasks."""
    return any(task.step.spec.backfill for task in runner.tasks.values())
