"""How fast backfilling tasks may work beside serving ones.

The load that it answers: a backfilling task takes from the margin of the serving tasks
of its runner, by amounts that differ from image to image, while the serving tasks' own
load swings. What a base leaves above the least margin is spent on the images that harm
least.
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
    "has_backfill_tasks",
    "has_serving_tasks",
    "update_headroom",
    "get_pace",
]

FULL_PACE = 100
"""Share at which a task works as fast as it can."""

TARGET_MARGIN = 1.05
"""Target over tail that is kept: below 1 the target is missed. What the model leaves
open is allowed for by the weights, which are taken at their worst."""

DEFAULT_BASELINE = 1.5
"""Base that a serving task is taken to have before it has told: low enough that little
is let in beside a task whose load may be at its peak."""

PACING_HORIZON_S = 0.5
"""How far ahead paces are chosen: the time to the next report, and 0.1 s until a pace
holds."""

PLACING_HORIZON_S = 0.7
"""How far ahead a place is chosen. Most backfilling tasks run for 2 s, but a trend is
only known well for so long."""

MAX_RISE = 40
"""Points by which a pace rises with one report: after a stop of all that was there, an
image that was taken for harmless shows itself before it works at full speed."""

MIN_PACE = 8
"""Shares below it are taken as a stop: they still disturb, and do next to no work."""

IGNORED_WEIGHT_RATIO = 3.0
"""Factor between two weights from which the larger is slowed for the smaller."""

SERVING_UTILIZATION = 0.5
"""Share of its processor time that a serving task is taken to use; reports don't tell,
as a serving task's row holds its tail."""


def get_pace(runner: Runner, image: str) -> int:
    """Return the share of full speed of the runner's tasks of a backfilling image."""
    return runner.paces.get(image, FULL_PACE)


def choose_paces(runner: Runner, interference: InterferenceModel) -> dict[str, int]:
    """Return the paces of the runner's backfilling images that keep the targets.

    Parameters
    ----------
    runner : Runner
        Its tasks, and the bases of its serving images.
    interference : InterferenceModel
        What is learnt of pairs.

    Notes
    -----
    The images that harm most a core are slowed first: of all choices that keep a
    target this one lets the most work be done. Images at full speed aren't named.
    """
    loads = _sum_loads(runner)
    full = dict(loads)
    for serving, base in _list_bases(runner, interference, PACING_HORIZON_S).items():
        _slow_harmful(
            loads, interference, serving, compute_headroom(base, TARGET_MARGIN)
        )
    paces = {
        i: min(
            int(FULL_PACE * loads[i] / full[i] + 0.5), get_pace(runner, i) + MAX_RISE
        )
        for i in loads
        if full[i] > 0
    }
    return {i: p if p >= MIN_PACE else 0 for i, p in paces.items() if p < FULL_PACE}


def _slow_harmful(
    loads: dict[str, float], interference: InterferenceModel, serving: str, room: float
) -> None:
    """Lower `loads` until their pressure on `serving` is at most `room`."""
    weights = {i: find_weight_bound(interference, serving, i) for i in loads}
    excess = sum(weights[i] * load for i, load in loads.items()) - room
    for image in sorted(loads, key=lambda i: weights[i], reverse=True):
        if excess <= 0:
            return
        cut = min(loads[image], excess / max(weights[image], 1e-6))
        loads[image] -= cut
        excess -= cut * weights[image]


def update_headroom(runner: Runner, interference: InterferenceModel) -> None:
    """Take note of what the bases of now leave to backfilling work, for placing."""
    runner.loads = _sum_loads(runner)
    runner.rooms = {
        serving: compute_headroom(base, TARGET_MARGIN)
        for serving, base in _list_bases(
            runner, interference, PLACING_HORIZON_S
        ).items()
    }
    runner.spare = {}


def find_spare_load(
    runner: Runner, interference: InterferenceModel, image: str
) -> float:
    """Return the load that more work of a backfilling image may add to a runner.

    Returns
    -------
    float
        Part of the runner's processors, at most all of them.

    Notes
    -----
    Guards against harmless work that waits while processors are unused: one harmful
    task at its slowed pace takes up all that the serving tasks leave, and nothing else
    was let in. What harms much more is slowed first, so it doesn't count here: a tenth
    of its pace makes room for a whole harmless task. The result is kept until the
    runner's next report; the cost is a pass over its pairs of images.
    """
    found = runner.spare.get(image)
    if found is None:
        limits = (
            _find_spare_beside(runner, interference, image, serving)
            for serving in runner.rooms
        )
        found = runner.spare[image] = min(limits, default=1.0)
    return found


def _find_spare_beside(
    runner: Runner, interference: InterferenceModel, image: str, serving: str
) -> float:
    weight = find_weight_bound(interference, serving, image)
    weights = {i: find_weight_bound(interference, serving, i) for i in runner.loads}
    taken = sum(
        weights[other] * load
        for other, load in runner.loads.items()
        if weights[other] <= IGNORED_WEIGHT_RATIO * weight
    )
    return min(1.0, max(0.0, runner.rooms[serving] - taken) / max(weight, 1e-6))


def _list_bases(
    runner: Runner, interference: InterferenceModel, ahead_s: float
) -> dict[str, float]:
    """Return the least base of each serving image whose tasks are there, or will be."""
    images = {
        task.key.job_id: task.step.spec.image
        for task in runner.tasks.values()
        if task.step.spec.target_ms and task.phase != Phase.STOPPING
    }
    bases: dict[str, float] = {}
    for job_id, image in images.items():
        own = runner.bases.get(job_id, MAX_MARGIN)
        base = forecast_baseline(interference, job_id, own, ahead_s, DEFAULT_BASELINE)
        bases[image] = min(base, bases.get(image, MAX_MARGIN))
    return bases


def _sum_loads(runner: Runner) -> dict[str, float]:
    """Return the load of each backfilling image at full speed, as far as it gets."""
    assert runner.entry is not None
    cpu = max(1, runner.entry.capacity.cpu)
    loads: dict[str, float] = {}
    for task in runner.tasks.values():
        spec = task.step.spec
        if spec.backfill and task.phase != Phase.STOPPING:
            loads[spec.image] = loads.get(spec.image, 0.0) + spec.resources.cpu / cpu
    unused = 1.0 - (runner.cpu - (1 - SERVING_UTILIZATION) * runner.serving_cpu) / cpu
    crowding = min(1.0, max(unused, 0.05) / max(sum(loads.values()), 1e-6))
    return {image: load * crowding for image, load in loads.items()}


def has_serving_tasks(runner: Runner) -> bool:
    """Return whether serving tasks run on the runner."""
    return any(task.step.spec.target_ms for task in runner.tasks.values())


def has_backfill_tasks(runner: Runner) -> bool:
    """Return whether backfilling tasks run on the runner."""
    return any(task.step.spec.backfill for task in runner.tasks.values())
