"""Policies that a replay compares: the product's own, baselines, and an oracle.

Baselines use the product's ordering, quotas and hard constraints and differ in the
choice of the worker. They estimate neither sizes nor interference and react neither to
interference nor to faulty workers.
"""

from collections.abc import Callable
from typing import NamedTuple

from plantainyard.placement.scores import compute_cost
from plantainyard.placement.state import JobState, PlacementState, Rules, WorkerState

__all__ = ["POLICIES", "Policy", "make_rules"]

Interference = dict[tuple[str, str], float]


class Policy(NamedTuple):
    """Rules of a policy, and whether it knows the jobs' actual properties."""

    rules: Rules
    knows_behavior: bool = False


def _first_fit(
    state: PlacementState, job_state: JobState, worker: WorkerState, now: float
) -> float:
    return float(state.active_workers.index(worker))


def _least_loaded(
    state: PlacementState, job_state: JobState, worker: WorkerState, now: float
) -> float:
    return worker.allocated[0] / worker.info.capacity.cores


def _best_fit(
    state: PlacementState, job_state: JobState, worker: WorkerState, now: float
) -> float:
    return 1.0 - worker.allocated[0] / worker.info.capacity.cores


def _make_baseline(cost: Callable[..., float]) -> Policy:
    return Policy(
        Rules(
            cost,
            learns_sizes=False,
            learns_interference=False,
            mitigates_interference=False,
            quarantines_workers=False,
        )
    )


POLICIES = {
    "own": Policy(Rules(compute_cost)),
    "own-no-harm": Policy(Rules(compute_cost, learns_interference=False)),
    "own-no-hysteresis": Policy(Rules(compute_cost, hysteresis=False)),
    "first-fit": _make_baseline(_first_fit),
    "least-loaded": _make_baseline(_least_loaded),
    "best-fit": _make_baseline(_best_fit),
    "oracle": Policy(Rules(compute_cost), knows_behavior=True),
}


def make_rules(name: str, interference: Interference) -> Rules:
    """Return the rules of the policy `name`; only the oracle uses `interference`."""
    policy = POLICIES[name]
    if not policy.knows_behavior:
        return policy.rules

    def predict(victim: str, aggressor: str) -> float:
        return interference.get((victim, aggressor), 0.0)

    return policy.rules._replace(predict_slowdown=predict)
