"""Evacuated failure domains, in which operators want nothing more to start.

What runs there goes on until it ends. A runner there counts neither as a place nor as
capacity of its unit.
"""

from plantainyard.dispatch.events import EvacuationsRead
from plantainyard.dispatch.model import Runner
from plantainyard.dispatch.state import Dispatcher

__all__ = ["apply_evacuations", "knows_evacuations", "mark_evacuated"]


def apply_evacuations(state: Dispatcher, event: EvacuationsRead) -> None:
    """Apply a reading of the evacuations unless a later one is known."""
    if event.read_at < state.evacuations_read_at:
        return
    state.evacuations_read_at = event.read_at
    state.evacuated_domains = event.domains
    for runner in state.runners.values():
        mark_evacuated(state, runner)


def mark_evacuated(state: Dispatcher, runner: Runner) -> None:
    """Record whether a runner is in an evacuated domain, according to its entry."""
    entry = runner.entry
    runner.evacuated = entry is not None and entry.domain in state.evacuated_domains


def knows_evacuations(state: Dispatcher, now: float) -> bool:
    """Return whether the last reading of the evacuations allows starts.

    Notes
    -----
    Guards against starts in a domain that was evacuated while this owner, or the one
    before, couldn't read the store: nothing is started on a reading that is so old that
    the bound of a newer request may have passed.
    """
    return now - state.evacuations_read_at <= state.limits.evacuation_age_s
