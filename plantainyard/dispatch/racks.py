"""Racks of the steps whose tasks run faster when they share one."""

from itertools import groupby

from plantainyard.dispatch.model import Runner, StepRun, Task
from plantainyard.dispatch.state import Dispatcher

__all__ = ["list_rack_choices", "may_leave_rack", "narrow_to_rack"]

MIN_RACK_WAIT_S = 2.5
"""Shortest time for which a task waits for the rack of its step; a gap counts as
lasting after two seconds."""

MAX_RACK_WAIT_S = 10.0
"""Longest such time."""


def narrow_to_rack(step: StepRun, runners: list[Runner]) -> list[Runner]:
    """Return the runners of the rack in use, if the step is to share one."""
    if not step.spec.same_rack:
        return runners
    used = {task.incarnation for task in step.tasks if task.incarnation}
    racks = {_get_rack(runner) for runner in runners if runner.incarnation in used}
    if len(racks) != 1:
        return runners
    return [runner for runner in runners if _get_rack(runner) in racks]


def may_leave_rack(state: Dispatcher, task: Task, now: float) -> bool:
    """Return whether a task may start off the rack of its step if that has no place.

    Notes
    -----
    Guards against tasks that never run because the rack that their step has begun on
    is full of lasting tasks. On several racks a step takes longer, so that its tasks
    wait for their rack, but not for longer than the spread would cost them. Users of an
    interrupted long-running task are without service; it doesn't wait.
    """
    if task.run and task.step.spec.long_running:
        return True
    return now - (task.waiting_since or now) > _find_rack_wait_s(state, task.step)


def _find_rack_wait_s(state: Dispatcher, step: StepRun) -> float:
    """Return how long a task of a step waits for a place on the step's rack."""
    if step.spec.long_running:
        return MIN_RACK_WAIT_S
    added_s = (state.limits.remote_factor - 1) * step.spec.estimate_ms / 1000
    return min(max(MIN_RACK_WAIT_S, added_s), MAX_RACK_WAIT_S)


def list_rack_choices(step: StepRun, runners: list[Runner]) -> list[list[Runner]]:
    """Return the sets of runners on which a gang may start, the best first."""
    if not step.spec.same_rack:
        return [runners]
    by_rack = sorted(runners, key=_get_rack)
    racks = [list(group) for _, group in groupby(by_rack, key=_get_rack)]
    return [*racks, runners]


def _get_rack(runner: Runner) -> str:
    return runner.entry.rack if runner.entry else ""
