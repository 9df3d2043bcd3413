"""Assignment of waiting tasks to runners."""

from dataclasses import dataclass, field
from typing import NamedTuple

from plantainyard.batch.values import Resources
from plantainyard.dispatch.critical_path import record_path_time
from plantainyard.dispatch.headroom import (
    is_first_of_step,
    may_take_gap,
    record_first_start,
)
from plantainyard.dispatch.model import Job, Phase, Runner, StepRun, Task
from plantainyard.dispatch.orders import pace_backfill
from plantainyard.dispatch.placing import (
    find_min_speed,
    has_places,
    is_first_long_run,
    release_resources,
    reserve_resources,
)
from plantainyard.dispatch.queue import has_its_turn, has_waiting_tasks, order_steps
from plantainyard.dispatch.racks import (
    list_rack_choices,
    may_leave_rack,
    narrow_to_rack,
)
from plantainyard.dispatch.ranking import (
    RankedPlaces,
    choose_place,
    choose_runner,
    rank_places,
    refresh_places,
)
from plantainyard.dispatch.room import end_reservation_by_start, take_held_place
from plantainyard.dispatch.slow_runners import record_start
from plantainyard.dispatch.state import Dispatcher, mark_dirty
from plantainyard.dispatch.timing import TimePart, explain_wait
from plantainyard.dispatch.unanswered_starts import find_recipient

__all__ = ["plan_starts"]

IDLE_FLEET_SHARE = 0.55
"""Share of reserved processors below which the fleet counts as idle: half, plus an
allowance for the age of the measurement."""

MAX_STARTS = 200
"""Tasks assigned with one commit: bounds the commit's size and the time until the first
of its tasks starts."""


class _Kind(NamedTuple):
    """The properties besides its size that decide where a task may start."""

    service: str
    image: str
    requires: str
    long_running: bool
    ran: bool
    takes_large_gap: bool
    min_speed: float


class _Shortage(NamedTuple):
    """The size of a task that found no runner in this pass, and the reason."""

    size: Resources
    wait_reason: str


_Unplaced = dict[_Kind, list[_Shortage]]
"""By kind, the tasks that found no runner in this pass."""


class _Search(NamedTuple):
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
    unplaced: _Unplaced
    gangs: list[tuple[Resources, int]]
    partial: bool = False


@dataclass(slots=True)
class _StepPlaces:
    """Where the tasks of one step may start in a pass.

    Attributes
    ----------
    near : list of Runner
        The runners to examine first: those of the step's rack if it has one.
    runners : list of Runner
        All runners of the search.
    assigned : list of Runner
        The runners of the tasks that were placed, in order; added to.
    ranked : dict
        By the number of runners and whether the task has run before: the places that
        were found; added to.
    """

    near: list[Runner]
    runners: list[Runner]
    assigned: list[Runner] = field(default_factory=list)
    ranked: dict[tuple[int, bool], RankedPlaces] = field(default_factory=dict)

    @property
    def is_narrowed(self) -> bool:
        """Whether the runners to examine first are those of one rack."""
        return self.near is not self.runners


def plan_starts(state: Dispatcher, now: float) -> None:
    """Assign waiting tasks to runners, to be stored and then started.

    Notes
    -----
    Guards against an owner that falls behind while work accumulates: a step that found
    no runner examines only the runners that have changed since, and all of them with
    each tick, as some conditions depend on time alone.

    Once a task of a step finds no runner, the rest of the step isn't tried, since its
    tasks are alike. Neither are tasks of other jobs that are of the same kind and need
    at least as much: capacity only decreases during a pass. That holds for all runners
    and, separately, for those that have changed, since nearly all passes examine only
    these. The cost is one pass over the runners for each step of which a task is
    placed, and for each kind and size that finds no runner.
    """
    ready = [s for job in state.jobs.values() for s in _list_ready_steps(job)]
    runners = list(state.runners.values())
    changed = [
        runner for runner in runners if runner.incarnation in state.changed_runners
    ]
    search_all = state.search_all
    state.changed_runners = set()
    state.search_all = False
    full_search = _Search(runners, {}, [])
    partial_search = _Search(changed, {}, [], partial=True)
    for step in order_steps(ready, now):
        if len(state.assigned) >= MAX_STARTS:
            # Steps that weren't tried must not count as steps without a runner.
            state.search_all = True
            return
        partial = step.no_place_found and not search_all
        if not step.spec.gang:
            _place_tasks(state, step, partial_search if partial else full_search, now)
        elif not partial:
            _place_gang(state, step, full_search, now)


def _list_ready_steps(job: Job) -> list[StepRun]:
    if job.cancelled or job.final_state:
        return []
    return [
        step
        for step in job.steps.values()
        if step.done_count < len(step.tasks)
        and has_its_turn(step)
        and has_waiting_tasks(step)
    ]


def _place_tasks(
    state: Dispatcher,
    step: StepRun,
    search: _Search,
    now: float,
) -> None:
    """Place the waiting tasks of a step.

    Parameters
    ----------
    state : Dispatcher
        Changed in place.
    step : StepRun
        The step.
    search : _Search
        The runners to examine.
    now : float
        The dispatcher's clock.
    """
    places = _StepPlaces(narrow_to_rack(step, search.runners), search.runners)
    for task in _start_waiting(step, now):
        if task.unanswered:
            _place_at_recipient(state, task, places, now)
            continue
        if task.key in state.room.moves and _place_as_held(state, task, places, now):
            continue
        kind = _find_kind(state, task, now)
        # A step with a reserved runner has a place that was closed to the others.
        known = search.unplaced.get(kind, [])
        shortage = _find_shortage(step.spec.resources, known)
        if shortage is not None and not step.reserved_runners:
            step.no_place_found = True
            step.wait_reason = shortage.wait_reason or step.wait_reason
            return
        runner = _find_runner(state, task, places, now)
        if runner is None:
            _leave_waiting(step, task, places.near, search.partial, now)
            if not places.is_narrowed and not step.spec.max_per_runner:
                reason = "" if search.partial else step.wait_reason
                found = _Shortage(step.spec.resources, reason)
                search.unplaced.setdefault(kind, []).append(found)
            return
        _assign(state, task, runner, task.run + 1, now)
        places.assigned.append(runner)


def _find_runner(
    state: Dispatcher, task: Task, places: _StepPlaces, now: float
) -> Runner | None:
    """Return the best runner for a task, on the rack of its step if it has a place."""
    racks = [places.near]
    if places.is_narrowed and may_leave_rack(state, task, now):
        racks.append(places.runners)
    for runners in racks:
        key = (len(runners), task.run > 0)
        if key not in places.ranked:
            places.ranked[key] = rank_places(task, runners, state.interference, now)
        ranked = places.ranked[key]
        refresh_places(ranked, task, places.assigned, state.interference, now)
        runner = _choose_ranked(state, task, ranked, now)
        if runner is not None:
            return runner
    return None


def _choose_ranked(
    state: Dispatcher, task: Task, places: RankedPlaces, now: float
) -> Runner | None:
    """Return the best of the ranked places that the task may take."""
    if is_first_long_run(task):
        places = _keep_headroom(state, task, places)
    idle = _is_fleet_idle(state)
    return choose_place(task, places, state.limits, state.interference, now, idle)


def _keep_headroom(state: Dispatcher, task: Task, places: RankedPlaces) -> RankedPlaces:
    """Return the places that finite work can do without; see `headroom`."""
    policy = state.limits.policy.headroom
    return RankedPlaces(
        {
            incarnation: place
            for incarnation, place in places.places.items()
            if may_take_gap(state.headroom, policy, task, place.runner)
        }
    )


def _place_at_recipient(
    state: Dispatcher, task: Task, places: _StepPlaces, now: float
) -> None:
    """Place a task that may start at one runner only; see `unanswered_starts`."""
    recipient = find_recipient(state, task)
    runners = [recipient] if recipient is not None else []
    idle = _is_fleet_idle(state)
    runner = choose_runner(task, runners, state.limits, state.interference, now, idle)
    if runner is None:
        task.step.wait_reason = TimePart.WAITING_START
        return
    _assign(state, task, runner, task.run + 1, now)
    places.assigned.append(runner)


def _place_as_held(
    state: Dispatcher, task: Task, places: _StepPlaces, now: float
) -> bool:
    """Place a task that gave way where resources are held for it; see `room`."""
    held = take_held_place(state, task)
    idle = _is_fleet_idle(state)
    runner = choose_runner(task, held, state.limits, state.interference, now, idle)
    if runner is None:
        return False
    _assign(state, task, runner, task.run + 1, now)
    places.assigned.append(runner)
    return True


def _leave_waiting(
    step: StepRun, task: Task, runners: list[Runner], partial: bool, now: float
) -> None:
    step.no_place_found = True
    if not partial:
        explain_wait(step, task, runners, now)


def _find_kind(state: Dispatcher, task: Task, now: float) -> _Kind:
    spec = task.step.spec
    min_speed = (
        find_min_speed(task, now, _is_fleet_idle(state)) if spec.backfill else 0.0
    )
    return _Kind(
        task.step.job.submission.service,
        spec.image if spec.backfill else "",
        spec.requires,
        spec.long_running,
        task.run > 0,
        is_first_long_run(task) and is_first_of_step(task),
        min_speed,
    )


def _find_shortage(wanted: Resources, known: list[_Shortage]) -> _Shortage | None:
    """Return the shortage of a task that is no larger than `wanted`, or None.

    Notes
    -----
    Guards against an owner that does nothing but plan while work accumulates: each of
    hundreds of waiting steps would examine all runners, ten times a second.
    """
    return next((found for found in known if _exceeds(wanted, found.size)), None)


def _exceeds(wanted: Resources, size: Resources) -> bool:
    """Return whether one amount of resources is at least as large as another."""
    return (
        size.cpu <= wanted.cpu
        and size.memory <= wanted.memory
        and size.gpu <= wanted.gpu
    )


def _start_waiting(step: StepRun, now: float) -> list[Task]:
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


def _choose_gang_runner(
    state: Dispatcher, task: Task, runners: list[Runner], now: float
) -> Runner | None:
    idle = _is_fleet_idle(state)
    return choose_runner(task, runners, state.limits, state.interference, now, idle)


def _is_fleet_idle(state: Dispatcher) -> bool:
    return state.load.reserved < IDLE_FLEET_SHARE


def _place_gang(state: Dispatcher, step: StepRun, search: _Search, now: float) -> None:
    """Place all tasks of a gang or none: a part of a gang would only hold capacity."""
    if len(_start_waiting(step, now)) < len(step.tasks):
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
                _assign(state, task, runner, run, now)
            return


def _exceeds_free_resources(step: StepRun, search: _Search) -> bool:
    """Return whether the free resources of all runners don't suffice for a gang.

    Notes
    -----
    Guards against an owner that does nothing but search places for gangs that are too
    large: each search would reserve and release resources for hundreds of tasks. What
    doesn't suffice for a gang doesn't for a larger one either.
    """
    spec, count = step.spec, len(step.tasks)
    if any(
        count >= tasks and _exceeds(spec.resources, size)
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
        runner = _choose_gang_runner(state, task, runners, now)
        if runner is None:
            break
        reserve_resources(runner, task)
        placed.append((task, runner))
    for task, runner in placed:
        release_resources(runner, task)
    return placed if len(placed) == len(step.tasks) else []


def _assign(
    state: Dispatcher, task: Task, runner: Runner, run: int, now: float
) -> None:
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
