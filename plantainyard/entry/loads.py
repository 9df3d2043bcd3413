"""Telling the owners of units how full the others are, and what those have learnt."""

from itertools import count

from plantainyard.dispatch import InterferenceReceived, LoadsReceived
from plantainyard.entry.instance import Instance
from plantainyard.entry.peers import fetch_interference, fetch_load

__all__ = ["poll_loads"]

ASK_EVERY_S = 1.0
"""Time between questions; long-running jobs, which make units uneven, come every few
seconds. Each owner asks all others: eleven of them make 110 calls a second for it."""

HARMS_EVERY = 3
"""Questions about loads for each one about harms: every three seconds, for about a
kilobyte from each unit."""


def poll_loads(instance: Instance) -> None:
    """Ask the owners of all units how full they are while this instance owns one.

    Notes
    -----
    A unit whose owner doesn't answer isn't told of: nothing is handed to it.
    """
    if len(instance.copies) < 2:
        return
    for number in count():
        if instance.stopping.wait(ASK_EVERY_S):
            return
        owned = list(instance.owned)
        if not owned:
            continue
        if number % HARMS_EVERY == 0:
            _tell_harms(instance, owned)
        answers = ((c.unit, fetch_load(instance, c.unit)) for c in instance.copies)
        loads = {unit: load for unit, load in answers if load is not None}
        for unit in owned:
            others = {u: load for u, load in loads.items() if u != unit}
            instance.send_event(unit, LoadsReceived(others))


def _tell_harms(instance: Instance, owned: list[int]) -> None:
    units = [copy.unit for copy in instance.copies]
    answers = {unit: fetch_interference(instance, unit) for unit in units}
    for unit in owned:
        harms = [told for u, told in answers.items() if u != unit and told]
        instance.send_event(unit, InterferenceReceived(harms))
