"""One round of decisions: which waiting task goes where, and which waits for what."""

from plantainyard.placement.accounting import occupy
from plantainyard.placement.actions import Action, HoldBack, Place
from plantainyard.placement.eviction import act_on_harm, hold_worker, make_room
from plantainyard.placement.filters import check_worker, find_candidates
from plantainyard.placement.gangs import place_gang, roll_back_gangs
from plantainyard.placement.order import (
    return_job,
    start_order,
    take_job,
)
from plantainyard.placement.quarantine import open_probes
from plantainyard.placement.quotas import check_quota
from plantainyard.placement.state import JobState, PlacementState, WorkerState

__all__ = ["decide"]

_HOLD_S = 120.0


def decide(state: PlacementState, now: float) -> list[Action]:
    """Return all decisions of one tick."""
    actions: list[Action] = []
    _release_holds(state, now)
    if state.rules.judges_workers:
        actions += open_probes(state, now)
    actions += act_on_harm(state, now)
    actions += roll_back_gangs(state, now)
    actions += _place_waiting(state, now)
    return actions


def _release_holds(state: PlacementState, now: float) -> None:
    for owner in state.jobs.values():
        owner.holds = 0
    for worker in state.ring:
        holder = state.jobs.get(worker.reserved_for)
        if not worker.reserved_for:
            continue
        if holder is None or not holder.waiting or now > worker.reserved_until:
            worker.reserved_for = ""
            state.room_version += 1
        else:
            holder.holds += 1


def _place_waiting(state: PlacementState, now: float) -> list[Action]:
    order = start_order(state, now)
    actions: list[Action] = []
    rank = placed = 0
    while placed < state.settings.places_max:
        owner = take_job(state, order)
        if owner is None:
            break
        made, reason = _place_job(state, owner, now)
        actions += made
        places = sum(isinstance(action, Place) for action in made)
        placed += places
        return_job(state, order, owner, now, places > 0)
        if reason:
            rank += 1
            actions += _hold_back(owner, reason, rank, now)
    return actions


def _hold_back(owner: JobState, reason: str, rank: int, now: float) -> list[Action]:
    owner.place = rank
    if reason == owner.reason:
        return []
    owner.reason = reason
    task = owner.next_waiting(now)
    if task is None:
        return []
    return [HoldBack(owner.key(task.number), reason, rank)]


def _place_job(
    state: PlacementState, owner: JobState, now: float
) -> tuple[list[Action], str]:
    if owner.job.gang and not owner.placed:
        return place_gang(state, owner, now)
    if not check_quota(state, owner):
        return [], "team quota"
    task = owner.next_waiting(now)
    candidates = find_candidates(state, owner)
    if task is None:
        return [], "backing off"
    candidates = avoid_failed(owner, candidates)
    if not candidates:
        return _claim_room(state, owner, task.since, now), "no room"
    costs = [
        (state.rules.cost(state, owner, worker, now), worker.info.id, worker)
        for worker in candidates
    ]
    cost, _, worker = min(costs, key=lambda item: item[:2])
    owner.take(task)
    placement = occupy(state, owner, task, worker)
    owner.placed_last = now
    owner.reason = ""
    reason = f"least cost {cost:.3f} of {len(costs)}"
    return [Place(placement.key, task.attempt, worker.info.id, reason)], ""


def avoid_failed(owner: JobState, candidates: list[WorkerState]) -> list[WorkerState]:
    """Return the candidates on which the job has not failed, if there are any."""
    if not owner.failed_on:
        return candidates
    others = [w for w in candidates if w.info.id not in owner.failed_on]
    return others or candidates


def _claim_room(
    state: PlacementState, owner: JobState, since: float, now: float
) -> list[Action]:
    settings = state.settings
    if owner.job.urgent and now - since >= settings.urgent_wait_s:
        return make_room(state, owner, now)
    waited = now - max(since, owner.placed_last)
    if waited > settings.starve_s and not owner.holds:
        _hold_for_aged(state, owner, now)
    return []


def _hold_for_aged(state: PlacementState, owner: JobState, now: float) -> None:
    """Hold the worker with the most room for a job that waited long.

    Notes
    -----
    Guards against a large task that never starts since small ones take every bit of
    room that appears. A held worker drains until the task fits.
    """
    held = sum(bool(worker.reserved_for) for worker in state.ring)
    if held >= max(1, int(state.settings.reserve_share * len(state.ring))):
        return
    fitting = [
        (worker.used[0] / worker.info.capacity[0], worker.info.id, worker)
        for worker in state.ring
        if not worker.reserved_for
        and not worker.suspect
        and not worker.info.leaving
        and worker.quarantined_until is None
        and check_worker(owner.job, worker.info) is None
    ]
    if fitting:
        hold_worker(owner, min(fitting, key=lambda item: item[:2])[2], now + _HOLD_S)
