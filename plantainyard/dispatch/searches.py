"""Searches of one planning pass: where they look, and what found no place there.

What found no place isn't searched for again in the same pass, since capacity only
decreases meanwhile.
"""

from typing import NamedTuple

from plantainyard.batch.values import Resources
from plantainyard.dispatch.assignments import is_fleet_idle
from plantainyard.dispatch.headroom import is_first_of_step
from plantainyard.dispatch.model import Runner, Task
from plantainyard.dispatch.placing import find_min_speed, is_first_long_run
from plantainyard.dispatch.state import Dispatcher

__all__ = ["Kind", "Search", "Shortage", "exceeds", "find_kind", "find_shortage"]


class Kind(NamedTuple):
    """The properties besides its size that decide where a task may start."""

    service: str
    image: str
    requires: str
    long_running: bool
    ran: bool
    takes_large_gap: bool
    min_speed: float


class Shortage(NamedTuple):
    """The size of a task that found no runner in this pass, and the reason."""

    size: Resources
    wait_reason: str


Unplaced = dict[Kind, list[Shortage]]
"""By kind, the tasks that found no runner in this pass."""


class Search(NamedTuple):
    """The runners that a pass examines for some of the waiting steps.

    Attributes
    ----------
    runners : list of Runner
        All runners, or those that have changed since the last pass.
    unplaced : dict
        Kinds and sizes that found no place on these runners; added to.
    gangs : list of tuple of Resources and int
        Sizes and numbers of tasks of gangs for which the free resources of the runners
        don't suffice; added to.
    partial : bool
        Whether the runners are only those that have changed.
    """

    runners: list[Runner]
    unplaced: Unplaced
    gangs: list[tuple[Resources, int]]
    partial: bool = False


def find_kind(state: Dispatcher, task: Task, now: float) -> Kind:
    """Return what decides, besides its size, where a task may start now."""
    spec = task.step.spec
    min_speed = (
        find_min_speed(task, now, is_fleet_idle(state)) if spec.backfill else 0.0
    )
    return Kind(
        task.step.job.submission.service,
        spec.image if spec.backfill else "",
        spec.requires,
        spec.long_running,
        task.run > 0,
        is_first_long_run(task) and is_first_of_step(task),
        min_speed,
    )


def find_shortage(wanted: Resources, known: list[Shortage]) -> Shortage | None:
    """Return the shortage of a task that is no larger than `wanted`, or None.

    Notes
    -----
    Guards against an owner that does nothing but plan while work accumulates: each of
    hundreds of waiting steps would examine all runners, ten times a second.
    """
    return next((found for found in known if exceeds(wanted, found.size)), None)


def exceeds(wanted: Resources, size: Resources) -> bool:
    """Return whether one amount of resources is at least as large as another."""
    return (
        size.cpu <= wanted.cpu
        and size.memory <= wanted.memory
        and size.gpu <= wanted.gpu
    )
