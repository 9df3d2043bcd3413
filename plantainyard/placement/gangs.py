"""Gang scheduling: either all tasks of a job start together, or none does."""

from plantainyard.placement.accounting import occupy, vacate
from plantainyard.placement.actions import Action, Place
from plantainyard.placement.eviction import evict, reserve_worker
from plantainyard.placement.filters import (
    check_worker,
    count_fitting_tasks,
    find_candidates,
)
from plantainyard.placement.quotas import check_quota
from plantainyard.placement.state import (
    JobState,
    Placement,
    PlacementState,
    WaitingTask,
)

__all__ = ["evict_incomplete_gangs", "place_gang"]

_RESERVATION_S = 120.0


def place_gang(
    state: PlacementState, job_state: JobState, now: float
) -> tuple[list[Action], str]:
    """Place every waiting task of a gang, or none.

    Returns
    -------
    tuple
        The placements, and the reason why the gang waits if there are none.

    Notes
    -----
    Tasks are placed one after the other. If one doesn't fit, all placements are undone
    before any action is returned, so a gang never occupies part of the capacity that it
    needs while it waits.
    """
    count = job_state.waiting_count
    if not check_quota(state, job_state, count):
        return [], "team quota"
    since = job_state.get_waiting_since()
    placements: list[Placement] = []
    tasks: list[WaitingTask] = []
    for _ in range(count):
        task = job_state.peek_waiting(now)
        candidates = find_candidates(state, job_state) if task else []
        if task is None or not candidates:
            for placement in reversed(placements):
                vacate(state, placement)
            for taken in tasks:
                job_state.add_retry(taken, now)
            _reserve_for_gang(state, job_state, since, now)
            return [], "no room for the whole gang" if task else "backing off"
        best = min(
            candidates,
            key=lambda worker: (
                state.rules.cost(state, job_state, worker, now),
                worker.info.id,
            ),
        )
        job_state.take_waiting(task)
        tasks.append(task)
        placements.append(occupy(state, job_state, task, best))
    job_state.last_placed_at = now
    job_state.reason = ""
    return [
        Place(placement.key, placement.attempt, placement.worker, "gang")
        for placement in placements
    ], ""


def _reserve_for_gang(
    state: PlacementState, job_state: JobState, since: float, now: float
) -> None:
    """Reserve enough workers for all tasks of a gang that has waited long."""
    if now - since <= state.settings.starve_s:
        return
    reserved = [worker for worker in state.active_workers if worker.reserved_for]
    if any(worker.reserved_for != job_state.job.id for worker in reserved):
        return
    reserved_slots = sum(
        count_fitting_tasks(job_state.reserved, worker.info.capacity)
        for worker in reserved
    )
    available = sorted(
        (
            worker
            for worker in state.active_workers
            if not worker.reserved_for
            and not worker.suspect
            and worker.quarantined_until is None
            and check_worker(job_state.job, worker.info) is None
        ),
        key=lambda worker: (
            worker.allocated[0] / worker.info.capacity[0],
            worker.info.id,
        ),
    )
    for worker in available:
        if reserved_slots >= job_state.waiting_count:
            return
        fitting = count_fitting_tasks(job_state.reserved, worker.info.capacity)
        reserve_worker(
            job_state,
            worker,
            now + _RESERVATION_S,
            min(fitting, job_state.waiting_count - reserved_slots),
        )
        reserved_slots += fitting


def evict_incomplete_gangs(state: PlacementState, now: float) -> list[Action]:
    """Evict gangs that have been only partly placed for too long.

    Notes
    -----
    Guards against a gang whose tasks partly lost their workers and find no others: the
    remaining tasks would occupy capacity indefinitely without making progress. After
    ``gang_s`` the whole gang is evicted, and all its tasks wait again.
    """
    actions: list[Action] = []
    for job_state in state.jobs.values():
        if not job_state.job.gang:
            continue
        is_incomplete = (
            job_state.placed and job_state.waiting_count and not job_state.given_up
        )
        if not is_incomplete:
            job_state.incomplete_since = None
        elif job_state.incomplete_since is None:
            job_state.incomplete_since = now
        elif now - job_state.incomplete_since > state.settings.gang_s:
            actions += [
                evict(placement, "gang is not whole")
                for placement in job_state.placed.values()
                if not placement.ending
            ]
    return actions
