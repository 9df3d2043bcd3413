"""Assignment of a task to a runner: which tasks may start, where, and what follows."""

from plantainyard.dispatch.critical_path import record_path_time
from plantainyard.dispatch.headroom import record_first_start
from plantainyard.dispatch.model import Phase, Runner, StepRun, Task
from plantainyard.dispatch.orders import pace_backfill
from plantainyard.dispatch.placing import is_first_long_run, reserve_resources
from plantainyard.dispatch.ranking import choose_runner
from plantainyard.dispatch.room import end_reservation_by_start
from plantainyard.dispatch.slow_runners import record_start
from plantainyard.dispatch.state import Dispatcher, mark_dirty

__all__ = ["assign_task", "choose_among", "is_fleet_idle", "start_waiting"]

IDLE_FLEET_SHARE = 0.55
"""Share of reserved processors below which the fleet counts as idle: half, plus an
allowance for the age of the measurement."""


def is_fleet_idle(state: Dispatcher) -> bool:
    """Return whether few of the unit's processors are reserved."""
    return state.load.reserved < IDLE_FLEET_SHARE


def start_waiting(step: StepRun, now: float) -> list[Task]:
    """Return the step's tasks that may start now, and start their waiting times.

    Notes
    -----
    Guards against tasks whose time limits run one after the other: if the waiting time
    of each began only when the previous one had found a runner, the second of two
    interrupted tasks would be handed over 0.6 s after the first, and the eighth 5 s
    after it.
    """
    ready = [t for t in step.tasks if t.phase == Phase.WAITING and t.not_before <= now]
    for task in ready:
        task.waiting_since = task.waiting_since or now
    return ready


def choose_among(
    state: Dispatcher, task: Task, runners: list[Runner], now: float
) -> Runner | None:
    """Return the best of some runners for a task, or None if it may start at none."""
    idle = is_fleet_idle(state)
    return choose_runner(task, runners, state.limits, state.interference, now, idle)


def assign_task(
    state: Dispatcher, task: Task, runner: Runner, run: int, now: float
) -> None:
    """Assign a run of a task to a runner, to be stored and then started."""
    if is_first_long_run(task):
        record_first_start(state.headroom, runner, task.step.spec.resources.cpu)
    record_path_time(state, task, Phase.STORING)
    task.phase = Phase.STORING
    task.run = run
    task.incarnation = runner.incarnation
    task.waiting_since = 0.0
    task.step.no_place_found = False
    task.step.placed_at = now
    reserve_resources(runner, task)
    record_start(state.health, task, runner, now)
    if task.step.spec.backfill or task.step.spec.target_ms:
        # Slow the backfill tasks there before the new task adds to the interference.
        pace_backfill(state, runner, now)
    state.assigned.append(task)
    mark_dirty(state, task.step)
    if state.room.reservations:
        end_reservation_by_start(state, task, runner, now)
