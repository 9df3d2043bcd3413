"""The keys of the configuration that the log holds, and what each may be.

Configuration belongs to the whole system, settings to one instance. A key is a
dotted name; its value is one JSON value, changed as a whole.
"""

import math
import re
from collections.abc import Callable, Iterator, Mapping
from typing import Any, NamedTuple

from plantainyard.work import Size

__all__ = [
    "KEYS",
    "ConfigurationKey",
    "check_change",
    "find_key",
    "flatten_changes",
    "name_instance_draining",
    "name_quota",
    "name_worker_draining",
    "read_quotas",
]

WEIGHTS = "weights"
WEIGHT_NAMES = frozenset({"tail", "throughput", "evictions"})
QUOTA_NAMES = frozenset(Size._fields)
NAME = "[A-Za-z0-9_-]+"


class ConfigurationKey(NamedTuple):
    """A kind of key.

    Attributes
    ----------
    pattern : str
        The key with ``<name>`` for its variable part.
    accepts : callable
        Tells whether a value will do.
    expected : str
        What is expected, for errors and the reference page.
    meaning : str
        What the key does.
    """

    pattern: str
    accepts: Callable[[Any], bool]
    expected: str
    meaning: str


def _is_amount(value: Any) -> bool:
    if isinstance(value, bool) or not isinstance(value, int | float):
        return False
    return math.isfinite(value) and value >= 0


def _are_weights(value: Any) -> bool:
    return (
        isinstance(value, dict)
        and value.keys() == WEIGHT_NAMES
        and all(map(_is_amount, value.values()))
        and sum(value.values()) > 0
    )


def _is_quota(value: Any) -> bool:
    return (
        isinstance(value, dict)
        and {"cores", "memory_gb"} <= value.keys() <= QUOTA_NAMES
        and all(map(_is_amount, value.values()))
        and float(value.get("accelerators", 0)).is_integer()
    )


def _is_boolean(value: Any) -> bool:
    return isinstance(value, bool)


KEYS: tuple[ConfigurationKey, ...] = (
    ConfigurationKey(
        WEIGHTS,
        _are_weights,
        "an object with the numbers tail, throughput and evictions, one above 0",
        "What placement favours; only the ratios matter.",
    ),
    ConfigurationKey(
        "teams.<name>.quota",
        _is_quota,
        "an object with the numbers cores, memory_gb and perhaps accelerators",
        "What a team's tasks may hold at one time; without it the team is not limited.",
    ),
    ConfigurationKey(
        "workers.<name>.fenced",
        _is_boolean,
        "true or false",
        "An operator's word that no task runs there any more; its tasks may run again.",
    ),
    ConfigurationKey(
        "workers.<name>.draining",
        _is_boolean,
        "true or false",
        "The worker takes no new tasks, and its batch tasks are checkpointed.",
    ),
    ConfigurationKey(
        "instances.<name>.draining",
        _is_boolean,
        "true or false",
        "The entry instance takes no new requests and gives up its racks.",
    ),
)
_MATCHERS = [
    (re.compile(re.escape(key.pattern).replace("<name>", NAME)), key) for key in KEYS
]


def find_key(name: str) -> ConfigurationKey | None:
    """Return the kind of the key `name`, or None for an unknown one.

    Examples
    --------
    >>> find_key("teams.billing.quota").pattern
    'teams.<name>.quota'
    """
    return next((key for matcher, key in _MATCHERS if matcher.fullmatch(name)), None)


def check_change(name: str, value: Any) -> str | None:
    """Return what is expected in place of a change, or None where it is sound.

    Parameters
    ----------
    name : str
        The whole key.
    value : JSON value
        The new value; None takes the key away and is always sound.
    """
    key = find_key(name)
    if key is None:
        return f"a known key: {', '.join(known.pattern for known in KEYS)}"
    return None if value is None or key.accepts(value) else key.expected


def flatten_changes(nested: Mapping[str, Any]) -> dict[str, Any]:
    """Return changes by whole key from the nested tables of a TOML or JSON file.

    Notes
    -----
    A table is a value where its path is a known key, else a part of a path. Paths
    that lead to no known key are kept, for the check to name them.

    Examples
    --------
    >>> flatten_changes({"workers": {"w1": {"fenced": True}}})
    {'workers.w1.fenced': True}
    """
    return dict(_iter_changes("", nested))


def _iter_changes(prefix: str, value: Any) -> Iterator[tuple[str, Any]]:
    is_path = isinstance(value, Mapping) and (not prefix or find_key(prefix) is None)
    if not is_path:
        yield prefix, value
        return
    for name, inner in value.items():
        yield from _iter_changes(f"{prefix}.{name}" if prefix else name, inner)


def name_quota(team: str) -> str:
    """Return the key of a team's quota."""
    return f"teams.{team}.quota"


def name_worker_draining(worker: str) -> str:
    """Return the key that drains a worker."""
    return f"workers.{worker}.draining"


def name_instance_draining(instance: str) -> str:
    """Return the key that drains an entry instance."""
    return f"instances.{instance}.draining"


def read_quotas(values: Mapping[str, Any]) -> dict[str, Size]:
    """Return the quota of each team that has one."""
    return {
        name.split(".")[1]: Size(**value)
        for name, value in values.items()
        if (key := find_key(name)) and key.pattern == name_quota("<name>")
    }
