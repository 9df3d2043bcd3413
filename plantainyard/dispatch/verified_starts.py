"""Starts that wait until their runner has answered since the task was assigned.

A runner may have started again since its last answer. Its owner learns that with the
next one, and a start that is sent before is carried out by an incarnation that grants
its longest lease. While the assignment of a long-running task is stored, its runner is
therefore asked for a report, and the start is sent once that is answered by the
incarnation that the task was assigned to. Nothing was sent to a runner that doesn't
answer, so that the task starts elsewhere at once.

Finite tasks are started without this: they wait for the longest lease if a start has no
answer, while a long-running task counts as forgotten by then.
"""

from plantainyard.dispatch import orders
from plantainyard.dispatch.actions import GiveUpReason
from plantainyard.dispatch.model import Phase, Task
from plantainyard.dispatch.state import Dispatcher, record_given_up
from plantainyard.dispatch.verifications import is_unverified

__all__ = [
    "hold_start",
    "send_verified",
]


def hold_start(state: Dispatcher, task: Task) -> None:
    """Send a start whose assignment is stored once its runner has answered."""
    state.unverified.append((task, task.run))


def send_verified(state: Dispatcher, now: float) -> None:
    """Send the starts whose runners have answered, and release those of silent ones.

    Notes
    -----
    Guards against starts that are never sent because an exception was raised while
    another one was.
    """
    kept: list[tuple[Task, int]] = []
    try:
        while state.unverified:
            task, run = state.unverified.pop()
            if task.phase != Phase.STORING or task.run != run:
                continue
            members = _list_unsent(task)
            # All are asked, also those after the first one that waits.
            waiting = [m for m in members if is_unverified(state, m, now)]
            if waiting:
                kept.append((task, run))
            elif any(_is_silent(state, member) for member in members):
                _give_up(state, members)
            else:
                orders.send_start(state, task, now)
    finally:
        state.unverified += reversed(kept)


def _list_unsent(task: Task) -> list[Task]:
    """Return the tasks that start together with a task and weren't sent yet.

    Notes
    -----
    Guards against a gang of which one member works alone until the platform ends it,
    because the runner of another one is silent.
    """
    if not task.step.spec.gang:
        return [task]
    return [member for member in task.step.tasks if member.phase == Phase.STORING]


def _is_silent(state: Dispatcher, task: Task) -> bool:
    """Return whether the runner of an assigned task doesn't answer."""
    runner = state.runners.get(task.incarnation)
    return runner is None or not runner.responsive


def _give_up(state: Dispatcher, tasks: list[Task]) -> None:
    """Let tasks wait again whose starts weren't sent."""
    for task in tasks:
        record_given_up(state, task, GiveUpReason.NOT_SENT)
        orders.release_task(state, task)
