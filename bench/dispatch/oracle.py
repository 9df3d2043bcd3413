"""Oracle for interference weights: the true weights of the day being simulated.

The variant that uses them shows how much credit is lost through errors of estimation.
The weights are module state, because a process simulates one day at a time.
"""

from collections.abc import Mapping
from typing import Any

__all__ = ["find_true_weight", "find_true_weight_at_worst", "remember_weights"]

SAFETY_FACTOR = 1.05
"""Safety factor on a true weight when tasks are placed."""

MIN_WEIGHT = 0.1
"""Lower bound of the weight of a pair when tasks are placed."""

_weights: dict[tuple[str, str], float] = {}


def remember_weights(weights: Mapping[tuple[str, str], float]) -> None:
    """Store the true weights of the day that starts."""
    _weights.clear()
    _weights.update(weights)


def find_true_weight(_: Any, serving: str, image: str) -> float:
    """Return the true weight of a pair instead of the estimated one."""
    return _weights.get((serving, image), 0.0)


def find_true_weight_at_worst(interference: Any, serving: str, image: str) -> float:
    """Return an upper bound of the true weight of a pair."""
    return max(
        MIN_WEIGHT, SAFETY_FACTOR * find_true_weight(interference, serving, image)
    )
