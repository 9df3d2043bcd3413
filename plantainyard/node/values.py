"""Interpretation of the configuration values in force.

The keys are those of `plantainyard.configuration.KEYS`.
"""

import math
from collections.abc import Mapping
from typing import Any

from plantainyard.placement import Weights
from plantainyard.work import Size

__all__ = ["list_flagged", "read_quotas", "read_shares", "read_weights"]

_WEIGHTS = "weights."
_TEAMS = "teams"


def read_weights(values: Mapping[str, Any]) -> Weights:
    """Return the placement weights, with defaults for missing ones."""
    given = {
        name: float(values[_WEIGHTS + name])
        for name in Weights._fields
        if _WEIGHTS + name in values
    }
    return Weights(**given)


def read_quotas(values: Mapping[str, Any]) -> dict[str, Size]:
    """Return each team's quota over all domains; a missing resource is unlimited."""
    keys = [(key.split("."), value) for key, value in values.items()]
    quotas: dict[str, dict[str, float]] = {}
    for parts, value in keys:
        if parts[0] == _TEAMS and len(parts) == 3:
            quotas.setdefault(parts[1], {})[parts[2]] = value
    return {
        team: Size(*(given.get(name, math.inf) for name in Size._fields))  # type: ignore[arg-type]
        for team, given in quotas.items()
    }


def read_shares(values: Mapping[str, Any], parts: int) -> dict[str, Size]:
    """Return each team's share of its quota for one rack's owner.

    Parameters
    ----------
    values : Mapping
        The configuration in force.
    parts : int
        Number of racks, over all domains, among which the quota is divided evenly.

    Notes
    -----
    Shares are divided in advance, so that their sum doesn't exceed the quota under any
    network partition. Another rack can't use what one rack leaves unused.
    """
    return {
        team: Size(*(resource / parts for resource in quota))  # type: ignore[arg-type]
        for team, quota in read_quotas(values).items()
    }


def list_flagged(values: Mapping[str, Any], group: str, flag: str) -> frozenset[str]:
    """Return the names under `group` whose `flag` is true.

    Examples
    --------
    >>> sorted(list_flagged({"workers.w1.fenced": True}, "workers", "fenced"))
    ['w1']
    """
    prefix, suffix = f"{group}.", f".{flag}"
    return frozenset(
        key.removeprefix(prefix).removesuffix(suffix)
        for key, value in values.items()
        if key.startswith(prefix) and key.endswith(suffix) and value is True
    )
