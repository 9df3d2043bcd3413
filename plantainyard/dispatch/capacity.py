"""How many tasks of a kind the runners of a unit can take.

Owners ask each other for these figures only while they have work for which their own
unit has no place, so that labels and sizes cost nothing otherwise.
"""

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from itertools import islice
from typing import Any, NamedTuple

from plantainyard.batch.values import Resources
from plantainyard.dispatch.load import Load, Need, Places
from plantainyard.dispatch.maxima import find_maxima, fits_any
from plantainyard.dispatch.model import Runner, StepRun
from plantainyard.dispatch.placing import (
    accepts_tasks,
    count_fitting,
    get_reserved_resources,
    measure_free,
)
from plantainyard.dispatch.state import Dispatcher

__all__ = [
    "Demand",
    "expire_needs",
    "find_demand",
    "find_own_places",
    "has_free_places",
    "is_misfit",
    "is_special",
    "knows_places",
    "list_candidates",
    "list_needs",
    "measure_all_places",
    "measure_places",
    "note_needs",
    "take_place",
]

MAX_NEEDS = 16
"""Number of needs that an owner asks about at a time."""

NEED_RETENTION_S = 20.0
"""Time for which a need is asked about after it was last wanted; the next job with it
then finds the answer there."""

MAX_PLACES = 10_000
"""Largest number of places that is told."""


class Demand(NamedTuple):
    """What must be free at once for a task, or for a whole gang, to start.

    Attributes
    ----------
    need : Need
        What each task needs.
    tasks : int
        Number of tasks.
    """

    need: Need
    tasks: int = 1


def find_demand(step: StepRun) -> Demand:
    """Return what must be free at once for tasks of a step to start.

    Notes
    -----
    Only with a limit per runner the need names the step, as its tasks at a runner then
    count against the limit.
    """
    if step.need is None:
        step.need = _find_need(step)
    return Demand(step.need, step.spec.size if step.spec.gang else 1)


def _find_need(step: StepRun) -> Need:
    spec, submission = step.spec, step.job.submission
    position = submission.job_id, step.occurrence, step.number
    return Need(
        submission.service,
        spec.requires,
        get_reserved_resources(spec),
        spec.max_per_runner,
        spec.long_running,
        position if spec.max_per_runner else (),
    )


def measure_places(runners: Iterable[Runner], need: Need, now: float) -> Places:
    """Return how many tasks with a need some runners can take.

    Notes
    -----
    May be called from any thread. The cost is a pass over the runners and over the
    tasks of those that are of the right kind.
    """
    return measure_all_places(runners, (need,), now)[need]


def measure_all_places(
    runners: Iterable[Runner], needs: Iterable[Need], now: float
) -> dict[Need, Places]:
    """Return how many tasks with each of some needs some runners can take.

    Notes
    -----
    As `measure_places`, but with a single pass over the tasks of the runners: a query
    of another instance may name hundreds of needs.
    """
    found = {need: [0.0, 0.0] for need in needs}
    for runner in runners:
        suitable = [need for need in found if _is_suitable(runner, need, now)]
        if not suitable:
            continue
        unreserved = measure_free(runner)
        left = _measure_beside_lasting(runner)
        is_limited = any(need.max_per_runner for need in suitable)
        tasks = list(runner.tasks) if is_limited else []
        present = Counter(key[:3] for key in tasks)
        for need in suitable:
            limit = _count_allowed(present, need)
            counts = found[need]
            counts[0] += min(limit, count_fitting(unreserved, need.resources))
            counts[1] += min(limit, count_fitting(left, need.resources))
    return {
        need: Places(*(int(min(count, MAX_PLACES)) for count in counts))
        for need, counts in found.items()
    }


def _is_suitable(runner: Runner, need: Need, now: float) -> bool:
    entry = runner.entry
    if entry is None or not accepts_tasks(runner) or entry.service != need.service:
        return False
    if need.requires and need.requires not in entry.labels:
        return False
    return need.long_running or runner.quarantined_until <= now


def _count_allowed(present: Counter[tuple[Any, ...]], need: Need) -> int:
    """Return how many more tasks of the need's step a runner may have.

    Parameters
    ----------
    present : Counter of tuple
        Number of its tasks by job, occurrence and step.
    need : Need
        The need.
    """
    if not need.max_per_runner:
        return MAX_PLACES
    return max(0, need.max_per_runner - present[need.step])


def _measure_beside_lasting(runner: Runner) -> Resources:
    """Return the resources of a runner that lasting tasks don't hold."""
    assert runner.entry is not None
    held = [
        get_reserved_resources(task.step.spec)
        for task in list(runner.tasks.values())
        if task.step.spec.long_running
    ]
    amounts = zip(runner.entry.capacity, *held, strict=True)
    return Resources(*(total - sum(parts) for total, *parts in amounts))


def find_own_places(state: Dispatcher, need: Need, now: float) -> Places:
    """Return the places of the own unit, measured once between updates of its load."""
    if need not in state.own_places:
        runners = state.runners.values()
        state.own_places[need] = measure_places(runners, need, now)
    return state.own_places[need]


def is_misfit(state: Dispatcher, demand: Demand, now: float) -> bool:
    """Return whether the unit can't meet a demand before lasting tasks end.

    It has no runner with the label, or none on which a task of that size has room
    beside these.
    """
    need = demand.need
    if demand.tasks == 1 and not is_special(need) and not need.max_per_runner:
        return not fits_any(need.resources, _find_own_maxima(state, need, now))
    return find_own_places(state, need, now).beside < demand.tasks


def _find_own_maxima(state: Dispatcher, need: Need, now: float) -> list[Resources]:
    """Return the most that suitable runners have beside lasting tasks.

    Notes
    -----
    Computed once between updates of the load for all needs that differ in size only.
    """
    key = need.service, need.long_running
    if key not in state.own_maxima:
        any_size = Need(need.service, long_running=need.long_running)
        state.own_maxima[key] = find_maxima(
            Resources(*(max(0, left) for left in _measure_beside_lasting(runner)))
            for runner in state.runners.values()
            if _is_suitable(runner, any_size, now)
        )
    return state.own_maxima[key]


def is_special(need: Need) -> bool:
    """Return whether a need is for runners that a unit may lack altogether."""
    return bool(need.requires or need.resources.gpu)


def knows_places(load: Load, demands: Iterable[Demand]) -> bool:
    """Return whether the owner of another unit has told its places for demands."""
    return load.places is not None and all(d.need in load.places for d in demands)


def list_candidates(
    loads: Mapping[int, Load], demands: Sequence[Demand]
) -> dict[int, Load]:
    """Return the loads of the units that seem able to meet each of some demands."""
    return {
        unit: load
        for unit, load in loads.items()
        if all(_can_meet(load, demand) for demand in demands)
    }


def _can_meet(load: Load, demand: Demand) -> bool:
    """Return whether another unit can meet a demand, as far as its owner has told.

    Notes
    -----
    Guards against work that is handed over for a gap on a runner without the label. As
    long as the places aren't known, only processors count. Lasting tasks need a free
    place; finite ones may wait for others of their kind.
    """
    need = demand.need
    if not knows_places(load, [demand]):
        return not is_special(need) and load.gap >= need.resources.cpu
    assert load.places is not None
    places = load.places[need]
    found = places.free if need.long_running else max(places)
    return found >= demand.tasks


def has_free_places(load: Load, demand: Demand) -> bool:
    """Return whether another unit is known to have free places for a demand."""
    places = (load.places or {}).get(demand.need)
    return places is not None and places.free >= demand.tasks


def take_place(state: Dispatcher, unit: int, demand: Demand) -> None:
    """Count a demand as met by another unit until that tells its places again."""
    load = state.other_loads[unit]
    if not knows_places(load, [demand]):
        return
    assert load.places is not None
    places = load.places[demand.need]
    left = places._replace(free=max(0, places.free - demand.tasks))
    state.other_loads[unit] = load._replace(places={**load.places, demand.need: left})


def note_needs(state: Dispatcher, demands: Iterable[Demand], now: float) -> None:
    """Let the owners of other units be asked about what demands need."""
    for demand in demands:
        state.needs[demand.need] = now


def list_needs(state: Dispatcher) -> tuple[Need, ...]:
    """Return the needs to ask other owners about, those that were wanted last first.

    Notes
    -----
    May be called from any thread.
    """
    wanted = sorted(state.needs.items(), key=lambda item: -item[1])
    return tuple(need for need, _ in islice(wanted, MAX_NEEDS))


def expire_needs(state: Dispatcher, now: float) -> None:
    """Forget the needs that nothing has had for `NEED_RETENTION_S`."""
    state.needs = {
        need: wanted_at
        for need, wanted_at in state.needs.items()
        if now - wanted_at < NEED_RETENTION_S
    }
