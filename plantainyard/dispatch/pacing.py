"""How fast backfilling tasks may work beside serving ones.

The load that it answers: a backfilling task takes from the margin of the serving tasks
of its runner, by amounts that differ from image to image, while the serving tasks' own
load swings. What a base leaves above the least margin is spent on the images that harm
least.
"""

from plantainyard.dispatch.bases import MARGIN_CEILING, forecast_margin
from plantainyard.dispatch.harms import Harms
from plantainyard.dispatch.model import Phase, Runner
from plantainyard.dispatch.weights import find_weight_at_worst, measure_room

__all__ = [
    "FULL",
    "SERVING_USE",
    "choose_paces",
    "find_spare",
    "has_backfill",
    "has_targets",
    "measure_rooms",
    "pace_of",
]

FULL = 100
"""Share at which a task works as fast as it can."""

KEPT_MARGIN = 1.05
"""Target over tail that is kept: below 1 the target is missed. What the model leaves
open is allowed for by the weights, which are taken at their worst."""

LOWEST_BASE = 1.5
"""Base that a serving task is taken to have before it has told: low enough that little
is let in beside a task whose load may be at its peak."""

NEAR_S = 0.5
"""How far ahead paces are chosen: the time to the next report, and 0.1 s until a pace
holds."""

PLACING_S = 0.7
"""How far ahead a place is chosen. Most backfilling tasks run for 2 s, but a trend is
only known well for so long."""

MOST_RISE = 40
"""Points by which a pace rises with one report: after a stop of all that was there, an
image that was taken for harmless shows itself before it works at full speed."""

LEAST = 8
"""Shares below it are taken as a stop: they still disturb, and do next to no work."""

MUCH_MORE = 3.0
"""Factor between two weights from which the larger is slowed for the smaller."""

SERVING_USE = 0.5
"""Share of its processor time that a serving task is taken to use; reports don't tell,
as a serving task's row holds its tail."""


def pace_of(runner: Runner, image: str) -> int:
    """Return the share of full speed of the runner's tasks of a backfilling image."""
    return runner.paces.get(image, FULL)


def choose_paces(runner: Runner, harms: Harms) -> dict[str, int]:
    """Return the paces of the runner's backfilling images that keep the targets.

    Parameters
    ----------
    runner : Runner
        Its tasks, and the bases of its serving images.
    harms : Harms
        What is learnt of pairs.

    Notes
    -----
    The images that harm most a core are slowed first: of all choices that keep a
    target this one lets the most work be done. Images at full speed aren't named.
    """
    loads = _sum_loads(runner)
    full = dict(loads)
    for serving, base in _list_bases(runner, harms, NEAR_S).items():
        _slow_harmful(loads, harms, serving, measure_room(base, KEPT_MARGIN))
    paces = {
        i: min(int(FULL * loads[i] / full[i] + 0.5), pace_of(runner, i) + MOST_RISE)
        for i in loads
        if full[i] > 0
    }
    return {i: p if p >= LEAST else 0 for i, p in paces.items() if p < FULL}


def _slow_harmful(
    loads: dict[str, float], harms: Harms, serving: str, room: float
) -> None:
    """Lower `loads` until their pressure on `serving` is at most `room`."""
    weights = {i: find_weight_at_worst(harms, serving, i) for i in loads}
    excess = sum(weights[i] * load for i, load in loads.items()) - room
    for image in sorted(loads, key=lambda i: weights[i], reverse=True):
        if excess <= 0:
            return
        cut = min(loads[image], excess / max(weights[image], 1e-6))
        loads[image] -= cut
        excess -= cut * weights[image]


def measure_rooms(runner: Runner, harms: Harms) -> None:
    """Take note of what the bases of now leave to backfilling work, for placing."""
    runner.backfill_loads = _sum_loads(runner)
    runner.serving_headroom = {
        serving: measure_room(base, KEPT_MARGIN)
        for serving, base in _list_bases(runner, harms, PLACING_S).items()
    }
    runner.spare_load = {}


def find_spare(runner: Runner, harms: Harms, image: str) -> float:
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
    found = runner.spare_load.get(image)
    if found is None:
        limits = (
            _find_spare_beside(runner, harms, image, serving)
            for serving in runner.serving_headroom
        )
        found = runner.spare_load[image] = min(limits, default=1.0)
    return found


def _find_spare_beside(runner: Runner, harms: Harms, image: str, serving: str) -> float:
    weight = find_weight_at_worst(harms, serving, image)
    weights = {
        i: find_weight_at_worst(harms, serving, i) for i in runner.backfill_loads
    }
    taken = sum(
        weights[other] * load
        for other, load in runner.backfill_loads.items()
        if weights[other] <= MUCH_MORE * weight
    )
    return min(
        1.0, max(0.0, runner.serving_headroom[serving] - taken) / max(weight, 1e-6)
    )


def _list_bases(runner: Runner, harms: Harms, ahead_s: float) -> dict[str, float]:
    """Return the least base of each serving image whose tasks are there, or will be."""
    images = {
        task.key.job_id: task.step.spec.image
        for task in runner.tasks.values()
        if task.step.spec.target_ms and task.phase != Phase.STOPPING
    }
    bases: dict[str, float] = {}
    for job_id, image in images.items():
        own = runner.base_margins.get(job_id, MARGIN_CEILING)
        base = forecast_margin(harms, job_id, own, ahead_s, LOWEST_BASE)
        bases[image] = min(base, bases.get(image, MARGIN_CEILING))
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
    unused = 1.0 - (runner.reserved_cpu - (1 - SERVING_USE) * runner.serving_cpu) / cpu
    crowding = min(1.0, max(unused, 0.05) / max(sum(loads.values()), 1e-6))
    return {image: load * crowding for image, load in loads.items()}


def has_targets(runner: Runner) -> bool:
    """Return whether serving tasks run on the runner."""
    return any(task.step.spec.target_ms for task in runner.tasks.values())


def has_backfill(runner: Runner) -> bool:
    """Return whether backfilling tasks run on the runner."""
    return any(task.step.spec.backfill for task in runner.tasks.values())
