"""The operators' scheduling policy: reading its file and checking its values.

The file is TOML with one table for each part of `SchedulingPolicy`. A part without a
table is switched off; a setting that a table leaves out has its default.
"""

import math
import re
from pathlib import Path
from reprlib import repr as shorten
from typing import Any, NamedTuple

from result import Err, Ok, Result

from plantainyard.decoding import MAX_INTEGER
from plantainyard.dispatch.policy import (
    NO_POLICY,
    AdmissionPolicy,
    HeadroomPolicy,
    HealthPolicy,
    RoomPolicy,
    RunTimePolicy,
    SchedulingPolicy,
    UnitPolicy,
)
from plantainyard.platform.settings import SettingsFault, parse_toml

__all__ = ["list_parts", "load_policy", "parse_policy"]

_PARTS: dict[str, type] = {
    "run_times": RunTimePolicy,
    "room": RoomPolicy,
    "headroom": HeadroomPolicy,
    "admission": AdmissionPolicy,
    "health": HealthPolicy,
    "units": UnitPolicy,
}
"""Settings of each part, by the name of its table."""


class _Range(NamedTuple):
    """Permitted values of a setting, both ends included."""

    low: float = 0.0
    high: float = math.inf


_RANGES = {
    "max_entries": _Range(low=1),
    "max_open_jobs": _Range(low=1),
    "max_reserved_share": _Range(high=1.0),
    "max_share": _Range(high=1.0),
    "max_suspended_share": _Range(high=1.0),
    "min_task_share": _Range(high=1.0),
    "runners_per_unit": _Range(low=1),
    "slow_ratio": _Range(low=1.0),
}
"""Ranges of the settings that have other limits than zero and infinity."""


class _PolicyError(Exception):
    """An unknown key, or a value that isn't permitted."""

    def __init__(self, key: str, detail: str) -> None:
        super().__init__(key, detail)
        self.key = key
        self.detail = detail


def list_parts(policy: SchedulingPolicy) -> list[str]:
    """Return the names of the parts that a policy switches on."""
    return [name for name, part in policy._asdict().items() if part is not None]


def load_policy(path: str) -> Result[SchedulingPolicy, SettingsFault]:
    """Read the policy file at `path`; without a path, all parts are switched off.

    Returns
    -------
    Result[SchedulingPolicy, SettingsFault]
        The policy, or a fault with file, line and key.
    """
    if not path:
        return Ok(NO_POLICY)
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, ValueError) as error:
        return Err(SettingsFault(path, 0, "", str(error)))
    return parse_policy(text, path)


def parse_policy(text: str, path: str = "") -> Result[SchedulingPolicy, SettingsFault]:
    """Decode the text of a policy file.

    Examples
    --------
    >>> parse_policy("[room]").ok_value.room.max_wait_s
    0.4
    >>> parse_policy("[rooms]").err_value.detail
    'unknown table'
    """
    parsed = parse_toml(text, path)
    if isinstance(parsed, Err):
        return parsed
    try:
        return Ok(_decode(parsed.ok_value))
    except _PolicyError as fault:
        line = _find_line(text, fault.key)
        return Err(SettingsFault(path, line, fault.key, fault.detail))


def _decode(data: dict[str, Any]) -> SchedulingPolicy:
    unknown = next(iter(data.keys() - _PARTS.keys()), None)
    if unknown is not None:
        raise _PolicyError(unknown, "unknown table")
    parts = {name: _decode_part(name, _PARTS[name], data[name]) for name in data}
    return SchedulingPolicy(**parts)


def _decode_part(name: str, kind: type, table: Any) -> Any:
    if not isinstance(table, dict):
        raise _PolicyError(name, "expected a table")
    fields = kind.__annotations__
    for key, value in table.items():
        if key not in fields:
            raise _PolicyError(f"{name}.{key}", "unknown setting")
        _check_value(f"{name}.{key}", key, fields[key], value)
    return kind(**table)


def _check_value(full_key: str, key: str, kind: type, value: Any) -> None:
    allowed = (int,) if kind is int else (int, float)
    if isinstance(value, bool) or not isinstance(value, allowed):
        noun = "a whole number" if kind is int else "a number"
        raise _PolicyError(full_key, f"expected {noun}, found {shorten(value)}")
    low, high = _RANGES.get(key, _Range())
    if not (low <= value <= min(high, MAX_INTEGER)):
        limit = f"at least {low:g}" if high == math.inf else f"{low:g} to {high:g}"
        raise _PolicyError(full_key, f"expected {limit}, found {shorten(value)}")


def _find_line(text: str, key: str) -> int:
    """Return the line of a table or of a setting in it; 0 if it isn't found."""
    table, _, setting = key.partition(".")
    lines = list(enumerate(text.splitlines(), start=1))
    header = re.compile(rf"\s*\[\s*{re.escape(table)}\s*\]")
    start = next((n for n, line in lines if header.match(line)), 0)
    if not setting or not start:
        return start
    pattern = re.compile(rf"\s*{re.escape(setting)}\s*=")
    return next((n for n, line in lines[start:] if pattern.match(line)), start)
