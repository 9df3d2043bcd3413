"""Variants of the policy: constants and functions of the dispatcher, replaced by name.

They are not part of the operators' settings: an experiment replaces them in its own
process, in every module of the dispatcher that defines or imports the name.
"""

import importlib
import pkgutil
from collections.abc import Callable, Mapping
from typing import Any

import plantainyard.dispatch
from bench.dispatch.oracle import find_true_weight, find_true_weight_at_worst
from plantainyard.dispatch.policy import (
    HeadroomPolicy,
    HealthPolicy,
    RoomPolicy,
    RunTimePolicy,
    SchedulingPolicy,
)

__all__ = ["VARIANTS", "SwitchError", "Switches", "apply_switches", "parse_variant"]

Switches = Mapping[str, Any]
"""Replacement values by name of a constant or function of `plantainyard.dispatch`."""


class SwitchError(ValueError):
    """A variant is invalid, or names an attribute that no module has."""


def _return_small_weight(*_: Any) -> float:
    return 0.3


def _switch_on(**parts: Any) -> Switches:
    return {"NO_POLICY": SchedulingPolicy(**parts)}


_PARTS: dict[str, Any] = {
    "run_times": RunTimePolicy(),
    "room": RoomPolicy(),
    "headroom": HeadroomPolicy(),
    "health": HealthPolicy(),
}
"""Parts of the policy that decide about one unit, with their default settings."""

VARIANTS: dict[str, Switches] = {
    "all parts": _switch_on(**_PARTS),
    "run times": _switch_on(run_times=_PARTS["run_times"]),
    "room": _switch_on(room=_PARTS["room"]),
    "headroom": _switch_on(headroom=_PARTS["headroom"]),
    "health": _switch_on(health=_PARTS["health"]),
    "as it is": {},
    "one weight for all pairs": {"find_weight_bound": lambda *_: 2.0},
    "true weights": {
        "find_weight": find_true_weight,
        "find_weight_bound": find_true_weight_at_worst,
    },
    "only steady reports": {"UNSTEADY_DISCOUNT": 1e9},
    "harm isn't seen": {"find_weight_bound": _return_small_weight},
    "bases as last read": {"MAX_DRIFT": 0.0},
    "no quiet phases": {"QUIET_WEIGHT": 1.0},
    "no undoing of smoothing": {"DESMOOTHING_THRESHOLD": 1e9},
    "images not kept apart": {"OTHER_IMAGE_COST": 0.0, "SAME_IMAGE_BONUS": 0.0},
    "jobs not kept together": {"SAME_JOB_BONUS": 0.0},
    "tolerant places not kept free": {"TOLERANCE_COST": 0.0},
    "no patience": {"MIN_SPEED_WAIT_S": 0.0},
    "any place at once": {"MIN_SPEED": 0.0, "MIN_SPEED_LATE": 0.0},
    "no lonely rule": {"UNSTARTED_WAIT_S": 1e9, "UNSTARTED_WAIT_BUSY_S": 1e9},
    "gaps at once": {"GAP_TICKS": 1, "_is_gap_lasting": lambda *_: True},
    "failures cost a runner nothing": {"FAILURE_COST": 0.0},
    "no moves": {"MAX_MOVES": 0},
    "much more isn't passed over": {"IGNORED_WEIGHT_RATIO": 1e9},
    "late work isn't put back": {"LATE_FACTOR": 1e9, "CERTAIN_SHARE": 0.0},
    "work isn't ordered by size": {"measure_remaining_work": lambda *_: 0.0},
}
"""Variants by name: each disables one mechanism, or sets a constant."""


def list_modules() -> list[Any]:
    """Import and return all modules of the dispatcher."""
    package = plantainyard.dispatch
    names = [
        f"{package.__name__}.{m.name}" for m in pkgutil.iter_modules(package.__path__)
    ]
    return [importlib.import_module(name) for name in names]


def apply_switches(switches: Switches) -> Callable[[], None]:
    """Replace attributes in all modules that have them; return a function to undo it.

    Raises
    ------
    SwitchError
        If a name is in none of the modules.
    """
    undo: list[tuple[Any, str, Any]] = []
    for name, value in switches.items():
        holders = [m for m in list_modules() if name in vars(m)]
        if not holders:
            raise SwitchError(f"no module of the dispatcher defines {name}")
        for module in holders:
            undo.append((module, name, getattr(module, name)))
            setattr(module, name, value)

    def restore() -> None:
        for module, name, value in reversed(undo):
            setattr(module, name, value)

    return restore


def parse_variant(text: str) -> tuple[str, Switches]:
    """Return the name and switches of a variant, or of ``NAME=VALUE,NAME=VALUE``.

    Raises
    ------
    SwitchError
        If `text` is neither.
    """
    if text in VARIANTS:
        return text, VARIANTS[text]
    switches = {}
    for part in text.split(","):
        name, equals, value = part.partition("=")
        try:
            switches[name.strip()] = float(value)
        except ValueError:
            equals = ""
        if not equals:
            raise SwitchError(f"unknown variant {text!r}: use a name or NAME=VALUE,...")
    return text, switches
