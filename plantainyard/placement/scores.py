"""Cost of starting a task on a worker, by the operator's weights."""

from typing import NamedTuple

from plantainyard.placement.accounting import get_worker_load
from plantainyard.placement.harm import predict_harm
from plantainyard.placement.state import JobState, PlacementState, WorkerState

__all__ = ["Cost", "compute_cost", "compute_parts"]

_BUSY = 0.85


class Cost(NamedTuple):
    """Weighted parts of the cost of one choice; less is better.

    Attributes
    ----------
    tail : float
        Rise of services' relative latency, theirs and its own.
    throughput : float
        Cores of batch work lost to slow-downs.
    pressure : float
        Use beyond a comfortable level, whatever the pairs.
    spread : float
        Tasks of the same service on this worker and in this rack.
    waste : float
        Room of an accelerator worker taken by work that needs none, and poor fit.
    doubt : float
        Failures, doubtful reports or silence of the worker.
    """

    tail: float
    throughput: float
    pressure: float
    spread: float
    waste: float
    doubt: float


def _harm(state: PlacementState, victim: str, aggressor: str) -> float:
    if state.rules.predict_harm is not None:
        return state.rules.predict_harm(victim, aggressor)
    if not state.rules.learns_harm:
        return 0.0
    return predict_harm(state.harm, victim, aggressor)


def compute_parts(
    state: PlacementState, owner: JobState, worker: WorkerState, now: float
) -> Cost:
    """Return the weighted parts of the cost of starting a task on `worker`."""
    weights = state.weights
    capacity = worker.info.capacity.cores
    mine = owner.expected.cores / capacity
    tail = throughput = same = 0.0
    for placement in worker.placed.values():
        other = placement.owner
        theirs = placement.cores / capacity
        done_to_them = _harm(state, other.workload, owner.workload) * mine
        done_to_me = _harm(state, owner.workload, other.workload) * theirs
        if other.job.latency_critical:
            tail += done_to_them
        else:
            throughput += done_to_them * theirs
        if owner.job.latency_critical:
            tail += done_to_me
        else:
            throughput += done_to_me * mine
        same += other is owner
    load = get_worker_load(worker) + mine
    silent = now - worker.last_report > state.settings.silence_s
    needless = worker.info.accelerator and not owner.job.constraints.accelerator
    failing = len(worker.failed_jobs)
    return Cost(
        tail=weights.tail * tail,
        throughput=weights.throughput * throughput,
        pressure=(weights.tail if worker.services else weights.throughput)
        * max(0.0, load - _BUSY),
        spread=same * (1.0 if owner.job.latency_critical else 0.0),
        waste=(0.5 if needless else 0.0) + 0.1 * (1.0 - load),
        doubt=worker.distrust + 0.5 * failing + (0.5 if silent else 0.0),
    )


def compute_cost(
    state: PlacementState, owner: JobState, worker: WorkerState, now: float
) -> float:
    """Return the cost of starting a task of the job on `worker`."""
    return sum(compute_parts(state, owner, worker, now))
