"""Policies that a replay compares: the product's own, baselines, and an oracle.

Baselines keep the product's order, quotas and hard filters and differ in the choice of
the worker; they don't learn and don't act on harm or on bad workers.
"""

from collections.abc import Callable
from typing import NamedTuple

from plantainyard.placement.scores import compute_cost
from plantainyard.placement.state import JobState, PlacementState, Rules, WorkerState

__all__ = ["POLICIES", "Policy", "make_rules"]

Harm = dict[tuple[str, str], float]


class Policy(NamedTuple):
    """A named policy and whether it is told the truth."""

    rules: Rules
    knows_truth: bool = False


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
    "oracle": Policy(Rules(compute_cost), knows_truth=True),
}


def make_rules(name: str, harm: Harm) -> Rules:
    """Return the rules of the policy `name`; `harm` is told only to the oracle."""
    policy = POLICIES[name]
    if not policy.knows_truth:
        return policy.rules

    def predict(victim: str, aggressor: str) -> float:
        return harm.get((victim, aggressor), 0.0)

    return policy.rules._replace(predict_slowdown=predict)
