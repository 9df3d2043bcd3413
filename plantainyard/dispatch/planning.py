"""Assignment of waiting tasks to runners."""

from dataclasses import dataclass, field

from plantainyard.dispatch.assignments import (
    assign_task,
    choose_among,
    is_fleet_idle,
    start_waiting,
)
from plantainyard.dispatch.gangs import place_gang
from plantainyard.dispatch.headroom import may_take_gap
from plantainyard.dispatch.model import Job, Runner, StepRun, Task
from plantainyard.dispatch.placing import is_first_long_run
from plantainyard.dispatch.queue import has_its_turn, has_waiting_tasks, order_steps
from plantainyard.dispatch.racks import may_leave_rack, narrow_to_rack
from plantainyard.dispatch.ranking import (
    RankedPlaces,
    choose_place,
    rank_places,
    refresh_places,
)
from plantainyard.dispatch.room import take_held_place
from plantainyard.dispatch.searches import Search, Shortage, find_kind, find_shortage
from plantainyard.dispatch.state import Dispatcher
from plantainyard.dispatch.timing import TimePart, explain_wait
from plantainyard.dispatch.unanswered_starts import find_recipient

__all__ = ["plan_starts"]

MAX_STARTS = 200
"""Tasks assigned with one commit: bounds the commit's size and the time until the first
of its tasks starts."""


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
    full_search = Search(runners, {}, [])
    partial_search = Search(changed, {}, [], partial=True)
    for step in order_steps(ready, now):
        if len(state.assigned) >= MAX_STARTS:
            # Steps that weren't tried must not count as steps without a runner.
            state.search_all = True
            return
        partial = step.no_place_found and not search_all
        if not step.spec.gang:
            _place_tasks(state, step, partial_search if partial else full_search, now)
        elif not partial:
            place_gang(state, step, full_search, now)


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
    search: Search,
    now: float,
) -> None:
    """Place the waiting tasks of a step.

    Parameters
    ----------
    state : Dispatcher
        Changed in place.
    step : StepRun
        The step.
    search : Search
        The runners to examine.
    now : float
        The dispatcher's clock.
    """
    places = _StepPlaces(narrow_to_rack(step, search.runners), search.runners)
    for task in start_waiting(step, now):
        if task.unanswered:
            _place_at_recipient(state, task, places, now)
            continue
        if task.key in state.room.moves and _place_as_held(state, task, places, now):
            continue
        kind = find_kind(state, task, now)
        # A step with a reserved runner has a place that was closed to the others.
        known = search.unplaced.get(kind, [])
        shortage = find_shortage(step.spec.resources, known)
        if shortage is not None and not step.reserved_runners:
            step.no_place_found = True
            step.wait_reason = shortage.wait_reason or step.wait_reason
            return
        runner = _find_runner(state, task, places, now)
        if runner is None:
            _leave_waiting(step, task, places.near, search.partial, now)
            if not places.is_narrowed and not step.spec.max_per_runner:
                reason = "" if search.partial else step.wait_reason
                found = Shortage(step.spec.resources, reason)
                search.unplaced.setdefault(kind, []).append(found)
            return
        assign_task(state, task, runner, task.run + 1, now)
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
    idle = is_fleet_idle(state)
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
    runner = choose_among(state, task, runners, now)
    if runner is None:
        task.step.wait_reason = TimePart.WAITING_START
        return
    assign_task(state, task, runner, task.run + 1, now)
    places.assigned.append(runner)


def _place_as_held(
    state: Dispatcher, task: Task, places: _StepPlaces, now: float
) -> bool:
    """Place a task that gave way where resources are held for it; see `room`."""
    held = take_held_place(state, task)
    runner = choose_among(state, task, held, now)
    if runner is None:
        return False
    assign_task(state, task, runner, task.run + 1, now)
    places.assigned.append(runner)
    return True


def _leave_waiting(
    step: StepRun, task: Task, runners: list[Runner], partial: bool, now: float
) -> None:
    step.no_place_found = True
    if not partial:
        explain_wait(step, task, runners, now)
