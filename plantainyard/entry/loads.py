"""Exchange of load figures and interference estimates between the owners of units.

An owner needs the load of the other units to hand jobs over to them, and benefits from
what their owners have learned of the interference between tasks.
"""

from itertools import chain

from plantainyard.clock import read_clock
from plantainyard.dispatch import (
    InterferenceReceived,
    LoadsReceived,
    Need,
    list_needs,
)
from plantainyard.entry.instance import Instance
from plantainyard.entry.peers import fetch_interference, fetch_load

__all__ = ["poll_loads"]

POLL_INTERVAL_S = 1.0
"""Time in seconds between polls. Long-running jobs, which make units uneven, arrive
every few seconds. Each owner polls all others; with eleven owners this makes 110 calls
per second."""


def poll_loads(instance: Instance) -> None:
    """Fetch the loads of all units periodically while this instance owns a unit.

    Notes
    -----
    A unit whose owner doesn't answer is left out, so that no job is handed over to it.
    """
    if len(instance.copies) < 2:
        return
    while not instance.stopping.wait(POLL_INTERVAL_S):
        owned = list(instance.owned)
        if not owned:
            continue
        _exchange_interference(instance, owned)
        asked_at = read_clock()
        needs = _list_needs(instance, owned)
        answers = (
            (copy.unit, fetch_load(instance, copy.unit, needs))
            for copy in instance.copies
        )
        loads = {unit: load for unit, load in answers if load is not None}
        for unit in owned:
            others = {u: load for u, load in loads.items() if u != unit}
            instance.send_event(unit, LoadsReceived(others, asked_at))


def _list_needs(instance: Instance, owned: list[int]) -> tuple[Need, ...]:
    """Return the needs of the owned units that other owners are asked about."""
    units = (instance.owned.get(unit) for unit in owned)
    found = (list_needs(unit.context.dispatcher) for unit in units if unit is not None)
    return tuple(dict.fromkeys(chain.from_iterable(found)))


def _exchange_interference(instance: Instance, owned: list[int]) -> None:
    units = [copy.unit for copy in instance.copies]
    answers = {unit: fetch_interference(instance, unit) for unit in units}
    for unit in owned:
        estimates = [data for u, data in answers.items() if u != unit and data]
        instance.send_event(unit, InterferenceReceived(estimates))
