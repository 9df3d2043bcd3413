"""Patterns of load and faults: which events occur on a simulated day, and when.

A pattern is a file of JSON Lines. Its first line has `name`, `customer`, `seconds`,
`finish_s` and `outcome`, the scores that the day must reach; each further line is a
fault.
"""

import json
from pathlib import Path
from typing import Any, NamedTuple

from bench.dispatch.customers import CUSTOMERS

__all__ = ["FAULTS", "Fault", "Pattern", "PatternError", "load_pattern"]

FAULTS = frozenset(
    {
        "burst",
        "cancels",
        "poison",
        "late_orders",
        "owner_changes",
        "store_down",
        "store_slow",
        "store_loses",
        "runners_crash",
        "runners_cut",
        "runners_fail",
        "runners_slow",
        "runners_stand_still",
    }
)
"""Kinds of faults that a pattern may contain."""

DAY_S = 34.0
"""Default time during which jobs arrive, in seconds."""

FINISH_S = 14.0
"""Default time for which a day continues after the last arrivals, in seconds."""


class PatternError(ValueError):
    """A pattern file is invalid; the message names file, line and field."""


class Fault(NamedTuple):
    """A fault, or a change of load, during a day.

    Attributes
    ----------
    kind : str
        One of `FAULTS`.
    at, for_s : float
        Start, in seconds from the beginning of the day, and duration in seconds.
    share : float
        Share of the runners, jobs, orders or commits that are affected.
    factor : float
        Factor on the number of jobs or on the duration.
    """

    kind: str
    at: float
    for_s: float = 5.0
    share: float = 0.15
    factor: float = 2.0


class Pattern(NamedTuple):
    """Load and faults of a day.

    Attributes
    ----------
    name, customer : str
        Name of the pattern, and of the customer whose load it uses.
    seconds : float
        Time during which jobs arrive.
    faults : tuple of Fault
        In any order.
    finish_s : float
        Time for which the day continues after the last arrivals.
    outcome : dict
        Lower bounds that a simulation must reach, by field of `Account`.
    """

    name: str
    customer: str = "lanterns"
    seconds: float = DAY_S
    faults: tuple[Fault, ...] = ()
    finish_s: float = FINISH_S
    outcome: dict[str, float] = {}


def load_pattern(path: Path) -> Pattern:
    """Return the pattern that is stored in a file.

    Raises
    ------
    PatternError
        If a line is invalid; the message names file, line and field.
    """
    lines = path.read_text(encoding="utf-8").splitlines()
    rows = [_read_line(path, n, line) for n, line in enumerate(lines, 1) if line]
    if not rows:
        raise PatternError(f"{path}: empty")
    head = rows[0]
    customer = head.get("customer", "lanterns")
    if customer not in CUSTOMERS:
        raise PatternError(f"{path}:1: customer: unknown {customer!r}")
    outcome = head.get("outcome", {})
    if not isinstance(outcome, dict):
        raise PatternError(f"{path}:1: outcome: not an object")
    return Pattern(
        str(head.get("name", path.stem)),
        customer,
        _read_number(path, 1, head, "seconds", DAY_S),
        tuple(_read_fault(path, n, row) for n, row in enumerate(rows[1:], 2)),
        _read_number(path, 1, head, "finish_s", FINISH_S),
        {name: _read_number(path, 1, outcome, name, 0.0) for name in outcome},
    )


def _read_line(path: Path, number: int, line: str) -> dict[str, Any]:
    try:
        row = json.loads(line)
    except json.JSONDecodeError as error:
        raise PatternError(f"{path}:{number}: not JSON: {error.msg}") from error
    if not isinstance(row, dict):
        raise PatternError(f"{path}:{number}: not an object")
    return row


def _read_fault(path: Path, number: int, row: dict[str, Any]) -> Fault:
    kind = row.get("kind")
    if kind not in FAULTS:
        raise PatternError(f"{path}:{number}: kind: unknown {kind!r}")
    unknown = row.keys() - set(Fault._fields)
    if unknown:
        raise PatternError(f"{path}:{number}: {min(unknown)}: unknown field")
    if "at" not in row:
        raise PatternError(f"{path}:{number}: at: missing")
    defaults = Fault(kind, 0.0)
    figures = {
        name: _read_number(path, number, row, name, getattr(defaults, name))
        for name in Fault._fields[1:]
    }
    return Fault(kind, **figures)


def _read_number(
    path: Path, line: int, row: dict[str, Any], field: str, default: float
) -> float:
    value = row.get(field, default)
    if isinstance(value, bool) or not isinstance(value, int | float) or value < 0:
        raise PatternError(f"{path}:{line}: {field}: not a number of zero or more")
    return float(value)
