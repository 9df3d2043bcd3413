"""Mitigation of interference by throttling and eviction.

Batch tasks that slow a service down are throttled first and then checkpointed and
evicted, starting with those that cause the most slowdown per lost work. Hysteresis
paces the steps: after each step on a worker there is a pause until its delayed effect
can be observed, after an eviction a longer one, and the latency ratio below which a
limit is lifted lies well below the ratio above which it is set.
"""

from plantainyard.placement.actions import Action, Checkpoint, Throttle
from plantainyard.placement.filters import check_worker
from plantainyard.placement.interference import predict_slowdown
from plantainyard.placement.quotas import get_excess
from plantainyard.placement.state import (
    JobState,
    Placement,
    PlacementState,
    WorkerState,
)

__all__ = [
    "compute_loss",
    "evict",
    "evict_for_urgent",
    "get_latency_ratio_limit",
    "mitigate_interference",
    "reserve_worker",
]

_MIN_CORE_SHARE = 0.25
_RESERVATION_S = 15.0
_EPSILON = 1e-6
_MAX_TASKS_PER_CALL = 16


def compute_loss(placement: Placement, now: float) -> float:
    """Return the cost of an eviction: cores times the run time to be repeated."""
    return (
        placement.job_state.job.size.cores
        * (1.0 + placement.evictions)
        * (10.0 + 0.1 * (now - placement.placed_at))
    )


def evict(placement: Placement, reason: str) -> Checkpoint:
    """Mark a placement as ending and return the action."""
    placement.ending = True
    return Checkpoint(placement.key, placement.attempt, placement.worker, reason)


def _list_evictable(worker: WorkerState) -> list[Placement]:
    return [
        placement
        for placement in worker.placed.values()
        if not placement.ending
        and placement.started_at is not None
        and not placement.job_state.job.latency_critical
        and not placement.job_state.job.urgent
    ]


def _estimate_caused_slowdown(
    state: PlacementState, worker: WorkerState, placement: Placement
) -> float:
    victims = (
        other.job_state.workload
        for other in worker.placed.values()
        if other.job_state.job.latency_critical
    )
    share = placement.cores / worker.info.capacity.cores
    slowdowns = (
        predict_slowdown(state.interference, victim, placement.job_state.workload)
        for victim in victims
    )
    return share * sum(slowdowns)


def mitigate_interference(state: PlacementState, now: float) -> list[Action]:
    """Throttle, evict or lift limits on all workers and return the actions."""
    if not state.rules.mitigates_interference:
        return []
    actions: list[Action] = []
    for worker in state.active_workers:
        if worker.service_count and worker.latency_ratios:
            actions += _mitigate_on_worker(state, worker, now)
        elif not worker.service_count:
            actions += _lift_limits(worker, now)
    return actions


def get_latency_ratio_limit(state: PlacementState) -> float:
    """Return the relative latency above which to act, according to the weights."""
    weights = state.weights
    weight_ratio = weights.throughput / max(weights.tail, 1e-9)
    return 1.0 + max(0.3, min(5.0, state.settings.tolerance * weight_ratio))


def _mitigate_on_worker(
    state: PlacementState, worker: WorkerState, now: float
) -> list[Action]:
    settings = state.settings
    limit = get_latency_ratio_limit(state)
    min_interval_s = settings.patience_s if state.rules.hysteresis else 0.0
    if now - worker.mitigated_at < min_interval_s:
        return []
    ratio = max(worker.latency_ratios.values())
    lift_limit = 1.0 + (limit - 1.0) * (0.5 if state.rules.hysteresis else 1.0)
    if ratio > limit:
        return _reduce_interference(state, worker, now)
    if ratio < lift_limit:
        return _lift_limits(worker, now)
    return []


def _reduce_interference(
    state: PlacementState, worker: WorkerState, now: float
) -> list[Action]:
    ranked = sorted(
        (
            (
                _estimate_caused_slowdown(state, worker, p) / compute_loss(p, now),
                p.key,
                p,
            )
            for p in _list_evictable(worker)
        ),
        key=lambda item: (-item[0], item[1]),
    )
    if not ranked:
        return []
    worker.mitigated_at = now
    for _, key, placement in ranked:
        if placement.share > _MIN_CORE_SHARE:
            placement.share = max(_MIN_CORE_SHARE, placement.share / 2.0)
            placement.throttled_at = now
            worker.profile = None
            return [Throttle(key, placement.attempt, placement.worker, placement.share)]
    pause = state.settings.evict_pause_s if state.rules.hysteresis else 0.0
    if now - worker.evicted_at < pause:
        return []
    for _, _, placement in ranked:
        limit_reached = placement.evictions >= state.settings.evictions_max
        if not (limit_reached and state.rules.hysteresis):
            worker.evicted_at = now
            return [evict(placement, "harms a service")]
    return []


def _lift_limits(worker: WorkerState, now: float) -> list[Action]:
    limited = [
        placement
        for placement in worker.placed.values()
        if placement.share < 1.0 and not placement.ending
    ]
    if not limited:
        return []
    placement = min(limited, key=lambda p: (p.share, p.key))
    placement.share = min(1.0, placement.share * 2.0)
    worker.profile = None
    worker.mitigated_at = now
    return [
        Throttle(placement.key, placement.attempt, placement.worker, placement.share)
    ]


def evict_for_urgent(
    state: PlacementState, job_state: JobState, now: float
) -> list[Action]:
    """Evict the cheapest batch tasks to free capacity for a job's urgent tasks.

    Notes
    -----
    Each worker is reserved for the job until the evicted tasks have ended, so that
    other work can't take the freed capacity and cause a second round of evictions. If
    the team's quota is exceeded, only tasks of that team are evicted.
    """
    reserved_workers = [
        worker
        for worker in state.active_workers
        if worker.reserved_for == job_state.job.id
    ]
    reserved_total = sum(worker.reserved_task_count for worker in reserved_workers)
    actions: list[Action] = []
    for _ in range(min(job_state.waiting_count - reserved_total, _MAX_TASKS_PER_CALL)):
        excess = _get_pending_excess(state, job_state, reserved_total + 1)
        choices = (
            _price_evictions(state, job_state, worker, excess, now)
            for worker in state.active_workers
        )
        cheapest = min(
            (choice for choice in choices if choice is not None),
            key=lambda choice: choice[:2],
            default=None,
        )
        if cheapest is None:
            break
        _, _, worker, victims = cheapest
        reserve_worker(
            job_state, worker, now + _RESERVATION_S, worker.reserved_task_count + 1
        )
        reserved_total += 1
        actions += [evict(p, f"room for urgent {job_state.job.id}") for p in victims]
    return actions


def _get_pending_excess(
    state: PlacementState, job_state: JobState, tasks: int
) -> list[float]:
    """Return the excess over the quota once the tasks that are ending have ended."""
    excess = get_excess(state, job_state, tasks)
    if max(excess) <= 0.0:
        return excess
    team = job_state.job.team
    ending = [
        placement.job_state.job.size
        for worker in state.active_workers
        for placement in worker.placed.values()
        if placement.ending and placement.job_state.job.team == team
    ]
    return [
        shortfall - sum(size[i] for size in ending)
        for i, shortfall in enumerate(excess)
    ]


def reserve_worker(
    job_state: JobState, worker: WorkerState, until: float, tasks: int = 1
) -> None:
    """Reserve capacity on a worker for `tasks` of one job until a given time."""
    worker.reserved_for = job_state.job.id
    worker.reserved_task_count = tasks
    worker.reserved_size = job_state.reserved
    worker.reserved_until = until
    job_state.reserved_worker_count += 1


def _price_evictions(
    state: PlacementState,
    job_state: JobState,
    worker: WorkerState,
    excess: list[float],
    now: float,
) -> tuple[float, str, WorkerState, list[Placement]] | None:
    blocked = (
        worker.suspect
        or worker.info.leaving
        or worker.quarantined_until is not None
        or worker.reserved_for not in ("", job_state.job.id)
        or check_worker(job_state.job, worker.info) is not None
    )
    if blocked:
        return None
    capacity = worker.info.capacity
    tasks = 1 + (worker.reserved_task_count if worker.reserved_for else 0)
    ending = [p.job_state for p in worker.placed.values() if p.ending]
    shortfalls = [
        *(
            worker.allocated[i]
            - sum(other.reserved[i] for other in ending)
            + tasks * job_state.reserved[i]
            - capacity[i]
            for i in range(3)
        ),
        worker.expected_cores
        - sum(other.expected.cores for other in ending)
        + tasks * job_state.expected.cores
        - capacity.cores * state.settings.crowd_max,
        *excess,
    ]
    only_own_team = max(excess) > _EPSILON
    victims: list[Placement] = []
    price = 0.0
    for loss, placement in _list_losses(worker, now):
        other = placement.job_state
        if max(shortfalls) <= _EPSILON:
            break
        if only_own_team and other.job.team != job_state.job.team:
            continue
        freed = (*other.reserved, other.expected.cores, *other.job.size)
        if any(
            shortfall > _EPSILON < size
            for shortfall, size in zip(shortfalls, freed, strict=True)
        ):
            victims.append(placement)
            price += loss
            shortfalls = [a - b for a, b in zip(shortfalls, freed, strict=True)]
    if max(shortfalls) > _EPSILON:
        return None
    return price, worker.info.id, worker, victims


def _list_losses(worker: WorkerState, now: float) -> list[tuple[float, Placement]]:
    losses = [(compute_loss(p, now), p) for p in _list_evictable(worker)]
    return sorted(losses, key=lambda item: (item[0], item[1].key))
