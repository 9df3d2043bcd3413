"""Places for gangs, whose tasks start all at once or not at all."""

from plantainyard.dispatch.assignments import assign_task, choose_among, start_waiting
from plantainyard.dispatch.model import Runner, StepRun, Task
from plantainyard.dispatch.placing import (
    has_places,
    release_resources,
    reserve_resources,
)
from plantainyard.dispatch.racks import list_rack_choices
from plantainyard.dispatch.searches import Search, exceeds
from plantainyard.dispatch.state import Dispatcher

__all__ = ["place_gang"]


def place_gang(state: Dispatcher, step: StepRun, search: Search, now: float) -> None:
    """Place all tasks of a gang or none: a part of a gang would only hold capacity."""
    if len(start_waiting(step, now)) < len(step.tasks):
        return
    if _exceeds_free_resources(step, search):
        return
    for allowed in list_rack_choices(step, search.runners):
        if not has_places(step.spec, allowed, len(step.tasks)):
            continue
        placed = _try_gang(state, step, allowed, now)
        if placed:
            run = max(task.run for task in step.tasks) + 1
            checkpoint = next((t.checkpoint for t in step.tasks if t.checkpoint), "")
            for task, runner in placed:
                task.checkpoint = checkpoint
                assign_task(state, task, runner, run, now)
            return


def _exceeds_free_resources(step: StepRun, search: Search) -> bool:
    """Return whether the free resources of all runners don't suffice for a gang.

    Notes
    -----
    Guards against an owner that does nothing but search places for gangs that are too
    large: each search would reserve and release resources for hundreds of tasks. What
    doesn't suffice for a gang doesn't for a larger one either.
    """
    spec, count = step.spec, len(step.tasks)
    if any(
        count >= tasks and exceeds(spec.resources, size)
        for size, tasks in search.gangs
        if not spec.backfill
    ):
        return True
    if has_places(spec, search.runners, count):
        return False
    if not spec.backfill and not spec.max_per_runner:
        search.gangs.append((spec.resources, count))
    return True


def _try_gang(
    state: Dispatcher, step: StepRun, runners: list[Runner], now: float
) -> list[tuple[Task, Runner]]:
    placed: list[tuple[Task, Runner]] = []
    for task in step.tasks:
        runner = choose_among(state, task, runners, now)
        if runner is None:
            break
        reserve_resources(runner, task)
        placed.append((task, runner))
    for task, runner in placed:
        release_resources(runner, task)
    return placed if len(placed) == len(step.tasks) else []
