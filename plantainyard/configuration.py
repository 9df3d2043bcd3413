"""The keys of the configuration that is stored in the log, and their valid values.

The configuration applies to the whole system, whereas settings apply to one instance.
A key is a dotted name; its value is a number or a boolean.
"""

import math
import re
from collections.abc import Callable, Iterator, Mapping
from typing import Any, NamedTuple

from plantainyard.work import Size

__all__ = [
    "KEYS",
    "ConfigurationKey",
    "build_instance_draining_key",
    "build_quota_key",
    "build_worker_draining_key",
    "check_change",
    "find_key",
    "flatten_changes",
]

PLACEHOLDER = "<name>"
NAME = "[A-Za-z0-9_-]+"
DOTTED_NAME = r"[A-Za-z0-9_-][A-Za-z0-9_.-]*"


class ConfigurationKey(NamedTuple):
    """A key, or a family of keys with a placeholder for a name.

    Attributes
    ----------
    pattern : str
        The key, with ``<name>`` as the placeholder.
    accepts : callable
        Returns whether a value is valid.
    expected : str
        Description of valid values, for errors and the reference page.
    meaning : str
        Effect of the key, for the reference page.
    name : str
        Regular expression of the names that can replace the placeholder.
    """

    pattern: str
    accepts: Callable[[Any], bool]
    expected: str
    meaning: str
    name: str = NAME


def _is_amount(value: Any) -> bool:
    if isinstance(value, bool) or not isinstance(value, int | float):
        return False
    return math.isfinite(value) and value >= 0


def _is_count(value: Any) -> bool:
    return _is_amount(value) and float(value).is_integer()


def _is_boolean(value: Any) -> bool:
    return isinstance(value, bool)


_AMOUNT = "a number, 0 or more"
_BOOLEAN = "true or false"
_QUOTA = "at one time, over all failure domains; without it they are not limited."

KEYS: tuple[ConfigurationKey, ...] = (
    ConfigurationKey(
        "weights.tail",
        _is_amount,
        _AMOUNT,
        "Weight of services' tail latency in placement.",
    ),
    ConfigurationKey(
        "weights.throughput",
        _is_amount,
        _AMOUNT,
        "Weight of batch throughput in placement.",
    ),
    ConfigurationKey(
        "weights.evictions",
        _is_amount,
        _AMOUNT,
        "Weight of evictions in placement.",
    ),
    ConfigurationKey(
        "teams.<name>.cores",
        _is_amount,
        _AMOUNT,
        f"Cores that a team's tasks may hold {_QUOTA}",
    ),
    ConfigurationKey(
        "teams.<name>.memory_gb",
        _is_amount,
        _AMOUNT,
        f"Gigabytes of memory that a team's tasks may hold {_QUOTA}",
    ),
    ConfigurationKey(
        "teams.<name>.accelerators",
        _is_count,
        "an integer, 0 or more",
        f"Accelerators that a team's tasks may hold {_QUOTA}",
    ),
    ConfigurationKey(
        "workers.<name>.fenced",
        _is_boolean,
        _BOOLEAN,
        "An operator's word that no task runs there any more; its tasks may run again.",
        DOTTED_NAME,
    ),
    ConfigurationKey(
        "workers.<name>.draining",
        _is_boolean,
        _BOOLEAN,
        "The worker is emptied: no new tasks, and what runs there goes on elsewhere.",
        DOTTED_NAME,
    ),
    ConfigurationKey(
        "instances.<name>.draining",
        _is_boolean,
        _BOOLEAN,
        "The entry instance is not ready any more and gives its racks up.",
        DOTTED_NAME,
    ),
)
_MATCHERS = [
    (re.compile(re.escape(key.pattern).replace(PLACEHOLDER, key.name)), key)
    for key in KEYS
]


def find_key(name: str) -> ConfigurationKey | None:
    """Return the definition of the key `name`, or None for an unknown key.

    Examples
    --------
    >>> find_key("teams.billing.cores").pattern
    'teams.<name>.cores'
    """
    return next((key for matcher, key in _MATCHERS if matcher.fullmatch(name)), None)


def check_change(name: str, value: Any) -> str | None:
    """Return a description of what is expected, or None if the change is valid.

    Parameters
    ----------
    name : str
        The complete key.
    value : JSON value
        The new value; None removes the key and is always valid.
    """
    key = find_key(name)
    if key is None:
        return f"a known key: {', '.join(known.pattern for known in KEYS)}"
    return None if value is None or key.accepts(value) else key.expected


def flatten_changes(nested: Mapping[str, Any]) -> dict[str, Any]:
    """Return changes by complete key from the nested tables of a TOML or JSON file.

    Examples
    --------
    >>> flatten_changes({"workers": {"w1": {"fenced": True}}})
    {'workers.w1.fenced': True}
    """
    return dict(_iter_changes("", nested))


def _iter_changes(prefix: str, value: Any) -> Iterator[tuple[str, Any]]:
    if not isinstance(value, Mapping):
        yield prefix, value
        return
    for name, inner in value.items():
        yield from _iter_changes(f"{prefix}.{name}" if prefix else name, inner)


def build_quota_key(team: str, resource: str) -> str:
    """Return the key of a team's quota for a resource.

    Parameters
    ----------
    team : str
        Name of the team.
    resource : str
        A field of `plantainyard.work.Size`.
    """
    if resource not in Size._fields:
        raise ValueError(f"{resource} is not a field of Size")
    return f"teams.{team}.{resource}"


def build_worker_draining_key(worker: str) -> str:
    """Return the key that drains a worker."""
    return f"workers.{worker}.draining"


def build_instance_draining_key(instance: str) -> str:
    """Return the key that drains an entry instance."""
    return f"instances.{instance}.draining"
