"""Decisions of one tick: which waiting tasks start on which workers.

For each job that can't start a task, the reason is reported. Workers are reserved for
jobs that have waited long, so that small tasks can't starve large ones.
"""

from plantainyard.placement.accounting import occupy
from plantainyard.placement.actions import Action, HoldBack, Place
from plantainyard.placement.eviction import (
    evict_for_urgent,
    mitigate_interference,
    reserve_worker,
)
from plantainyard.placement.filters import check_worker, find_candidates
from plantainyard.placement.gangs import evict_incomplete_gangs, place_gang
from plantainyard.placement.order import (
    NO_CAPACITY,
    Choice,
    Order,
    build_order,
    requeue_job,
    select_next_jobs,
)
from plantainyard.placement.quarantine import start_probes
from plantainyard.placement.quotas import check_quota
from plantainyard.placement.scores import compute_parts
from plantainyard.placement.state import (
    JobState,
    PlacementState,
    WorkerState,
)

__all__ = ["decide"]

_RESERVATION_S = 120.0


def decide(state: PlacementState, now: float) -> list[Action]:
    """Make all decisions of one tick and return them."""
    actions: list[Action] = []
    _expire_reservations(state, now)
    if state.rules.quarantines_workers:
        actions += start_probes(state, now)
    actions += mitigate_interference(state, now)
    actions += evict_incomplete_gangs(state, now)
    actions += _place_waiting(state, now)
    return actions


def _expire_reservations(state: PlacementState, now: float) -> None:
    for job_state in state.jobs.values():
        job_state.reserved_worker_count = 0
    for worker in state.active_workers:
        reserving_job = state.jobs.get(worker.reserved_for)
        if not worker.reserved_for:
            continue
        if (
            reserving_job is None
            or not reserving_job.waiting_count
            or now > worker.reserved_until
        ):
            worker.reserved_for = ""
            state.capacity_version += 1
        else:
            reserving_job.reserved_worker_count += 1


def _place_waiting(state: PlacementState, now: float) -> list[Action]:
    order = build_order(state, now)
    actions: list[Action] = []
    waiting = placed = 0
    while placed < state.settings.places_max:
        next_jobs = select_next_jobs(state, order)
        if not next_jobs:
            break
        new_actions, blocked = _place_one(state, order, next_jobs, now)
        placed += sum(isinstance(action, Place) for action in new_actions)
        actions += new_actions
        for job_state, reason in blocked:
            waiting += 1
            actions += _report_waiting(job_state, reason, waiting, now)
    return actions


def _place_one(
    state: PlacementState, order: Order, next_jobs: list[JobState], now: float
) -> tuple[list[Action], list[tuple[JobState, str]]]:
    """Place one task of the job in `next_jobs` with the lowest cost per core."""
    blocked: list[tuple[JobState, str]] = []
    actions: list[Action] = []
    choices: list[Choice] = []
    settings = state.settings
    count = max(settings.candidates_min, settings.candidates_max // len(next_jobs))
    for job_state in next_jobs:
        if job_state.job.gang and not job_state.placed:
            new_actions, reason = place_gang(state, job_state, now)
            actions += new_actions
            requeue_job(state, order, job_state, now, bool(new_actions))
            if new_actions:
                return actions, blocked
            blocked.append((job_state, reason))
            continue
        choice = _choose_worker(state, order, job_state, count, now)
        if isinstance(choice, Choice):
            choices.append(choice)
            continue
        actions += choice[0]
        blocked.append((job_state, choice[1]))
        requeue_job(state, order, job_state, now, False)
    if choices:
        best = min(
            choices, key=lambda choice: (choice.cost_per_core, choice.job_state.job.id)
        )
        actions.append(_place_choice(state, best, now))
        requeue_job(state, order, best.job_state, now, True)
    return actions, blocked


def _report_waiting(
    job_state: JobState, reason: str, rank: int, now: float
) -> list[Action]:
    job_state.queue_position = rank
    if reason == job_state.reason:
        return []
    job_state.reason = reason
    task = job_state.peek_waiting(now)
    if task is None:
        return []
    return [HoldBack(job_state.key(task.number), reason, rank)]


def _choose_worker(
    state: PlacementState, order: Order, job_state: JobState, count: int, now: float
) -> Choice | tuple[list[Action], str]:
    """Return the best worker for the job's next task, or evictions and why it waits.

    Notes
    -----
    A choice made earlier in this step stays valid until a task is placed on the chosen
    worker: free capacity only shrinks within a step, so no other worker has become
    better.
    """
    task = job_state.peek_waiting(now)
    if task is None:
        return [], "backing off"
    if not check_quota(state, job_state):
        new_actions = (
            evict_for_urgent(state, job_state, now) if job_state.job.urgent else []
        )
        return new_actions, "team quota"
    earlier = order.choices.get(job_state.job.id)
    if earlier and earlier.task == task and earlier.worker.profile is earlier.profile:
        return earlier
    candidates = avoid_failed(job_state, find_candidates(state, job_state, count))
    if not candidates:
        return _reserve_or_evict(state, order, job_state, task.since, now), NO_CAPACITY
    costs = [
        (state.rules.cost(state, job_state, worker, now), worker.info.id, worker)
        for worker in candidates
    ]
    cost, _, worker = min(costs, key=lambda item: item[:2])
    if _may_defer(state, job_state, task.since, now) and _is_net_loss(
        state, job_state, worker, now
    ):
        return [], "would harm more than it gains"
    value = cost / max(job_state.expected.cores, 1e-3)
    choice = Choice(value, job_state, task, worker, worker.profile)
    if worker.profile is not None:
        order.choices[job_state.job.id] = choice
    return choice


def _place_choice(state: PlacementState, choice: Choice, now: float) -> Place:
    job_state = choice.job_state
    job_state.take_waiting(choice.task)
    placement = occupy(state, job_state, choice.task, choice.worker)
    job_state.last_placed_at = now
    job_state.reason = ""
    reason = f"cost {choice.cost_per_core:.3f} a core"
    return Place(placement.key, choice.task.attempt, choice.worker.info.id, reason)


def _is_net_loss(
    state: PlacementState, job_state: JobState, worker: WorkerState, now: float
) -> bool:
    """Return whether a start would cost more progress than it gains.

    Preferences among workers, such as a good fit, rank the workers but don't delay a
    start: on an empty site they would always outweigh the gain of a small task, which
    then would never start.
    """
    parts = compute_parts(state, job_state, worker, now)
    return parts.tail + parts.throughput + parts.crowding + parts.gain > 0.0


def _may_defer(
    state: PlacementState, job_state: JobState, since: float, now: float
) -> bool:
    if (
        not state.rules.mitigates_interference
        or job_state.job.urgent
        or job_state.job.latency_critical
    ):
        return False
    return now - max(since, job_state.last_placed_at) < 2.0 * state.settings.starve_s


def avoid_failed(
    job_state: JobState, candidates: list[WorkerState]
) -> list[WorkerState]:
    """Return the candidates on which the job has not failed, or all if none is left."""
    if not job_state.failed_on:
        return candidates
    others = [w for w in candidates if w.info.id not in job_state.failed_on]
    return others or candidates


def _reserve_or_evict(
    state: PlacementState, order: Order, job_state: JobState, since: float, now: float
) -> list[Action]:
    settings = state.settings
    if job_state.job.urgent and now - since >= settings.urgent_wait_s:
        return evict_for_urgent(state, job_state, now)
    waited = now - max(since, job_state.last_placed_at)
    longest_waiting = job_state.job.id in order.longest_waiting
    if (
        longest_waiting
        and waited > settings.starve_s
        and not job_state.reserved_worker_count
    ):
        _reserve_for_starving(state, job_state, now)
    return []


def _get_reserving_job(state: PlacementState, worker: WorkerState) -> str:
    """Return the job that a worker is reserved for, or "" if that job is urgent.

    Reservations for urgent jobs aren't counted, since a steady stream of urgent work
    would use up the limit on reservations permanently.
    """
    reserving_job = state.jobs.get(worker.reserved_for)
    return (
        reserving_job.job.id if reserving_job and not reserving_job.job.urgent else ""
    )


def _reserve_for_starving(
    state: PlacementState, job_state: JobState, now: float
) -> None:
    """Reserve the least allocated worker for a job that has waited long.

    Notes
    -----
    Guards against a large task that never starts because small tasks take all capacity
    as soon as it becomes free. A reserved worker drains until the task fits.
    """
    reserving_jobs = {
        worker.info.id: _get_reserving_job(state, worker)
        for worker in state.active_workers
    }
    reserved = sum(bool(job_id) for job_id in reserving_jobs.values())
    if reserved >= max(
        1, int(state.settings.reserve_share * len(state.active_workers))
    ):
        return
    fitting = [
        (worker.allocated[0] / worker.info.capacity[0], worker.info.id, worker)
        for worker in state.active_workers
        if not reserving_jobs[worker.info.id]
        and not worker.suspect
        and not worker.info.leaving
        and worker.quarantined_until is None
        and check_worker(job_state.job, worker.info) is None
    ]
    if fitting:
        reserve_worker(
            job_state, min(fitting, key=lambda item: item[:2])[2], now + _RESERVATION_S
        )
