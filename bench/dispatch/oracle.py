"""What a policy could know at best: the true weights of the day that is played.

The variant that uses them tells how much of a loss is ignorance. They are kept for the
one day that a process plays at a time.
"""

from collections.abc import Mapping
from typing import Any

__all__ = ["find_true_weight", "find_true_weight_at_worst", "remember_weights"]

CAUTION = 1.05
"""Factor on a true weight before more work of its image is placed."""

LEAST_WEIGHT = 0.1
"""Weight that a pair is taken to have at least when work is placed."""

_weights: dict[tuple[str, str], float] = {}


def remember_weights(weights: Mapping[tuple[str, str], float]) -> None:
    """Keep the weights of the day that begins."""
    _weights.clear()
    _weights.update(weights)


def find_true_weight(_: Any, serving: str, image: str) -> float:
    """Return the true weight of a pair, in place of the one that is learnt."""
    return _weights.get((serving, image), 0.0)


def find_true_weight_at_worst(interference: Any, serving: str, image: str) -> float:
    """Return a weight that the true one isn't above."""
    return max(LEAST_WEIGHT, CAUTION * find_true_weight(interference, serving, image))
