"""Cost of starting a task on a worker, according to the operator's weights.

The cost is marginal: how much the task would raise the tail latency of the services on
that worker and reduce the progress of its batch tasks, and how much these would slow
down the task itself. A task is started only where it gains more progress than it costs.
"""

from typing import NamedTuple

from plantainyard.placement.interference import (
    predict_pessimistic_slowdown,
    predict_slowdown,
)
from plantainyard.placement.state import JobState, PlacementState, Profile, WorkerState

__all__ = [
    "Cost",
    "compute_cost",
    "compute_parts",
    "get_profile",
    "predict_pair_slowdown",
]

_TAIL_SCALE = 0.05
_FIRST_SERVICE_COST = 0.3
_SAME_WORKER_COST = 10.0
_SAME_RACK_COST = 3.0
_ACCELERATOR_WASTE_COST = 0.5
_SILENT_WORKER_COST = 0.2
_FAILED_JOB_COST = 0.1
_POOR_FIT_COST = 0.02


class Cost(NamedTuple):
    """Weighted parts of the cost of one choice, as a share of the worker's cores.

    Attributes
    ----------
    tail : float
        Increase of the tail latency of other services and of its own.
    throughput : float
        Lost progress of other batch tasks and of its own.
    crowding : float
        Use beyond the worker's cores.
    spread : float
        Too many runners of the same service on this worker or in this rack, and the
        first service on a worker without services.
    waste : float
        Use of an accelerator worker by a task that needs no accelerator, and poor fit.
    doubt : float
        Failed jobs, implausible reports or missing reports of the worker.
    gain : float
        Undisturbed progress of the task itself, negative: a sum of the parts above zero
        is a net loss.
    """

    tail: float
    throughput: float
    crowding: float
    spread: float
    waste: float
    doubt: float
    gain: float


def predict_pair_slowdown(
    state: PlacementState, victim: str, aggressor: str, include_uncertainty: bool
) -> float:
    """Return the slowdown of `victim` by `aggressor` to use for scoring.

    Parameters
    ----------
    state : PlacementState
        State with the interference estimates and the weights.
    victim, aggressor : str
        The two workloads.
    include_uncertainty : bool
        Whether to add a multiple of the standard deviation to the estimate. The
        multiple grows with the weight of the tail. Used for the effect of batch tasks
        on services.
    """
    if state.rules.predict_slowdown is not None:
        return state.rules.predict_slowdown(victim, aggressor)
    if not state.rules.learns_interference:
        return 0.0
    if not include_uncertainty:
        return predict_slowdown(state.interference, victim, aggressor)
    weights = state.weights
    weight_ratio = weights.tail / max(weights.tail + weights.throughput, 1e-9)
    caution = state.settings.caution * weight_ratio
    return predict_pessimistic_slowdown(state.interference, victim, aggressor, caution)


def get_profile(state: PlacementState, worker: WorkerState, now: float) -> Profile:
    """Return the tasks on `worker` by workload, and how much each is slowed down.

    Notes
    -----
    The profile is cached until a task starts or ends on the worker, for at most
    ``profile_s``, so that the cost of scoring a worker grows with the number of its
    workloads rather than of its tasks.
    """
    profile = worker.profile
    if profile is not None and now - profile.computed_at < state.settings.profile_s:
        return profile
    profile = _make_profile(state, worker, now)
    worker.profile = profile
    return profile


def _make_profile(state: PlacementState, worker: WorkerState, now: float) -> Profile:
    capacity = worker.info.capacity.cores
    shares: dict[str, float] = {}
    counts: dict[str, int] = {}
    services: dict[str, float] = {}
    for placement in worker.placed.values():
        job_state = placement.job_state
        name = job_state.workload
        share = job_state.expected.cores * placement.share / capacity
        shares[name] = shares.get(name, 0.0) + share
        counts[name] = counts.get(name, 0) + 1
        if job_state.job.latency_critical:
            services[name] = job_state.utilization
    slowdown = {
        name: sum(
            predict_pair_slowdown(
                state, name, other, name in services and other not in services
            )
            * (share * (1.0 - 1.0 / counts[name]) if other == name else share)
            for other, share in shares.items()
        )
        for name in shares
    }
    return Profile(now, shares, counts, services, slowdown, sum(shares.values()))


def compute_parts(
    state: PlacementState, job_state: JobState, worker: WorkerState, now: float
) -> Cost:
    """Return the weighted parts of the cost of starting a task on `worker`."""
    weights = state.weights
    profile = get_profile(state, worker, now)
    own_share = job_state.expected.cores / worker.info.capacity.cores
    tail, throughput = _compute_caused_cost(state, job_state, profile, own_share)
    slowdown = _compute_own_slowdown(state, job_state, profile)
    if job_state.job.latency_critical:
        tail += (1.0 + job_state.utilization * slowdown) ** 2 - 1.0
        gain = 0.0
    else:
        throughput += own_share * (1.0 - 1.0 / (1.0 + slowdown))
        gain = -weights.throughput * own_share
    runners = sum(profile.counts[name] for name in profile.services)
    overload = max(0.0, profile.utilization + own_share - 1.0) - max(
        0.0, profile.utilization - 1.0
    )
    return Cost(
        tail=weights.tail * _TAIL_SCALE * tail,
        throughput=weights.throughput * throughput,
        crowding=overload
        * (weights.throughput + weights.tail * 3 * runners * _TAIL_SCALE),
        spread=_compute_spread(state, job_state, worker, profile),
        waste=_compute_waste(job_state, worker, profile),
        doubt=weights.throughput * own_share * _compute_doubt(state, worker, now),
        gain=gain,
    )


def _compute_caused_cost(
    state: PlacementState, job_state: JobState, profile: Profile, own_share: float
) -> tuple[float, float]:
    tail = throughput = 0.0
    for name, share in profile.shares.items():
        load = profile.services.get(name)
        include_uncertainty = load is not None and not job_state.job.latency_critical
        added_slowdown = (
            predict_pair_slowdown(state, name, job_state.workload, include_uncertainty)
            * own_share
        )
        current_slowdown = profile.slowdown[name]
        if load is not None:
            rise = (1 + load * (current_slowdown + added_slowdown)) ** 2 - (
                1 + load * current_slowdown
            ) ** 2
            tail += profile.counts[name] * rise
        else:
            throughput += share * (
                1 / (1 + current_slowdown) - 1 / (1 + current_slowdown + added_slowdown)
            )
    return tail, throughput


def _compute_own_slowdown(
    state: PlacementState, job_state: JobState, profile: Profile
) -> float:
    service = job_state.job.latency_critical
    return sum(
        predict_pair_slowdown(
            state, job_state.workload, other, service and other not in profile.services
        )
        * share
        for other, share in profile.shares.items()
    )


def _compute_spread(
    state: PlacementState, job_state: JobState, worker: WorkerState, profile: Profile
) -> float:
    """Return the cost of placing many runners of a service close together.

    Notes
    -----
    Up to ``runner_share`` of the runners may be on one worker without extra cost:
    services on the same worker leave whole workers to batch tasks that would slow them
    down. Runners are spread evenly over racks.
    """
    if not job_state.job.latency_critical:
        return 0.0
    count = job_state.job.task_count
    cost = 0.0 if profile.services else state.weights.tail * _FIRST_SERVICE_COST
    max_runners = max(1.0, state.settings.runner_share * count)
    if profile.counts.get(job_state.workload, 0) + 1 > max_runners:
        cost += _SAME_WORKER_COST
    racks = {other.info.rack for other in state.active_workers}
    runners_in_rack = job_state.racks.get(worker.info.rack, 0)
    if runners_in_rack + 1 > -(-count // max(1, len(racks))):
        cost += _SAME_RACK_COST
    return cost


def _compute_waste(job_state: JobState, worker: WorkerState, profile: Profile) -> float:
    wastes_accelerator = (
        worker.info.accelerator and not job_state.job.constraints.accelerator
    )
    empty = max(0.0, 1.0 - profile.utilization)
    return (
        _ACCELERATOR_WASTE_COST if wastes_accelerator else 0.0
    ) + _POOR_FIT_COST * empty


def _compute_doubt(state: PlacementState, worker: WorkerState, now: float) -> float:
    silent = worker.placed and now - worker.last_report_at > state.settings.silence_s
    failing = _FAILED_JOB_COST * len(worker.failed_jobs)
    return worker.distrust + failing + (_SILENT_WORKER_COST if silent else 0.0)


def compute_cost(
    state: PlacementState, job_state: JobState, worker: WorkerState, now: float
) -> float:
    """Return the cost of starting a task of the job on `worker`."""
    return sum(compute_parts(state, job_state, worker, now))
