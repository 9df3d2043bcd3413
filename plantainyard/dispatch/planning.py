"""Assigning waiting tasks to runners."""

from itertools import groupby
from typing import NamedTuple

from plantainyard.batch.values import Resources
from plantainyard.dispatch.model import Job, Phase, Runner, StepRun, Task
from plantainyard.dispatch.orders import pace_backfill, send_stop
from plantainyard.dispatch.placing import (
    find_min_speed,
    release_resources,
    reserve_resources,
)
from plantainyard.dispatch.queue import has_waiting_tasks, order_steps
from plantainyard.dispatch.ranking import (
    RankedPlaces,
    choose_place,
    choose_runner,
    rank_places,
    refresh_places,
)
from plantainyard.dispatch.state import Dispatcher, mark_dirty
from plantainyard.dispatch.timing import explain_wait

__all__ = ["plan_moves", "plan_starts"]

SLOW_PACE = 30
"""Share of full speed below which a task is better off elsewhere."""

SLOW_PERIOD_S = 0.8
"""Time at such a pace after which it moves; a swing of load is often over sooner."""

MAX_LOST_PERCENT = 40
"""Progress up to which a task without checkpoints is moved: it starts anew."""

STALL_S = 2.0
"""Time without progress after which a task counts as standing still; one that takes a
minute moves by a percent in 0.6 s."""

IDLE_FLEET_SHARE = 0.55
"""Part of the processors that is reserved below which the fleet counts as idle: half,
and what the measure may be behind."""

MAX_MOVES = 8
"""Tasks moved at a time: each changes what is expected of its new place."""

MAX_STARTS = 200
"""Tasks assigned with one commit: bounds its size and the time until the first of
them starts."""


class _Kind(NamedTuple):
    """What besides its size decides where a task may start."""

    service: str
    image: str
    requires: str
    long_running: bool
    ran: bool
    least_speed: float


_Unplaced = dict[_Kind, list[Resources]]
"""Sizes of tasks that found no runner in this pass, by kind."""


def plan_starts(state: Dispatcher, now: float) -> None:
    """Assign waiting tasks to runners, to be stored and then started.

    Notes
    -----
    Guards against an owner that falls behind while work piles up: a step that has found
    no place looks again at the runners that have changed since, and at all of them with
    each tick, for what changes by time alone.

    Once a task of a step finds no runner the rest of the step isn't tried: its tasks
    are alike. Nor are tasks of other jobs that are of the same kind and need at least
    as much: a pass only takes room. The cost is one pass over the runners for each step
    of which a task is placed, and for each kind and size that finds no place.
    """
    ready = [s for job in state.jobs.values() for s in _find_ready(job)]
    runners = list(state.runners.values())
    changed = [runner for runner in runners if runner.incarnation in state.changed]
    search_all = state.search_all
    state.changed = set()
    state.search_all = False
    unplaced: _Unplaced = {}
    for step in order_steps(ready, now):
        if len(state.assigned) >= MAX_STARTS:
            # What wasn't looked at must not be taken for what found no place.
            state.search_all = True
            return
        again = step.searched and not search_all
        if not step.spec.gang:
            _place_tasks(
                state, step, changed if again else runners, unplaced, again, now
            )
        elif not again:
            _place_gang(state, step, runners, now)


def plan_moves(state: Dispatcher, now: float) -> None:
    """Stop tasks that would be better off on another runner that is free for them.

    Notes
    -----
    Guards against three kinds of work that stands still. A slowed backfilling task
    keeps its memory and finishes late, while on a runner whose serving tasks don't
    mind its image it would work at full speed. What is on a draining runner ends with
    it: moved before, a serving task is away for the time of a stop and a start, and a
    task with checkpoints loses nothing. A task that makes no progress on a runner
    where tasks stand still never ends; its runner is taken for a bad one.
    """
    runners = list(state.runners.values())
    moving = [
        (runner, task)
        for runner in runners
        if runner.answering and runner.entry is not None
        for task in runner.tasks.values()
        if task.phase == Phase.RUNNING and _should_move(runner, task, now)
    ]
    for runner, task in moving[:MAX_MOVES]:
        if _is_stalled(task, now):
            _blame_for_stall(state, runner, task, now)
        others = [other for other in runners if other is not runner]
        task.waiting_since = now
        if (
            choose_runner(task, others, state.limits, state.interference, now)
            is not None
        ):
            send_stop(state, task, now)


def _should_move(runner: Runner, task: Task, now: float) -> bool:
    return (
        _is_stuck(task, now) or _must_leave(runner, task, now) or _is_stalled(task, now)
    )


def _is_stuck(task: Task, now: float) -> bool:
    cheap = task.step.spec.saves_progress or task.percent < MAX_LOST_PERCENT
    slow = task.step.spec.backfill and task.pace < SLOW_PACE
    return slow and cheap and now - task.slowed_at > SLOW_PERIOD_S


def _must_leave(runner: Runner, task: Task, now: float) -> bool:
    assert runner.entry is not None
    if not runner.entry.draining:
        return False
    if task.step.spec.long_running:
        return True
    # What is nearly done may finish; the rest resumes elsewhere.
    assert task.settled_at is not None
    elapsed_s = now - task.settled_at
    left_s = elapsed_s * (100 - task.percent) / max(task.percent, 1)
    return task.step.spec.saves_progress and now + left_s > runner.leaves_at


def _is_stalled(task: Task, now: float) -> bool:
    paced = task.step.spec.backfill and task.pace < SLOW_PACE
    return not paced and task.percent < 100 and now - task.moved_at > STALL_S


def _blame_for_stall(state: Dispatcher, runner: Runner, task: Task, now: float) -> None:
    assert runner.entry is not None
    task.avoided.add(runner.entry.runner)
    runner.bad += 1.0
    if runner.bad >= state.limits.quarantine_after:
        runner.quarantined_until = now + state.limits.quarantine_s


def _find_ready(job: Job) -> list[StepRun]:
    if job.cancelled or job.ended:
        return []
    return [
        step
        for step in job.steps.values()
        if step.done < len(step.tasks)
        and all(_is_done(job, step.occurrence, n) for n in step.spec.after)
        and has_waiting_tasks(step)
    ]


def _is_done(job: Job, occurrence: int, number: int) -> bool:
    step = job.steps[occurrence, number]
    return step.done == len(step.tasks)


def _place_tasks(
    state: Dispatcher,
    step: StepRun,
    runners: list[Runner],
    unplaced: _Unplaced,
    again: bool,
    now: float,
) -> None:
    """Place what waits of a step; `again` where some runners only are looked at."""
    allowed = _narrow_to_rack(step, runners)
    ranked: dict[bool, RankedPlaces] = {}
    assigned: list[Runner] = []
    for task in _begin_waiting(step, now):
        kind = _find_kind(state, task, now)
        if _fits_nowhere(step.spec.resources, unplaced.get(kind, [])):
            _leave_waiting(step, task, allowed, again, now)
            return
        has_run = task.run > 0
        if has_run not in ranked:
            ranked[has_run] = rank_places(task, allowed, state.interference, now)
        places = ranked[has_run]
        refresh_places(places, task, assigned, state.interference, now)
        idle = _is_idle(state)
        runner = choose_place(task, places, state.limits, state.interference, now, idle)
        if runner is None:
            if allowed is runners and not again and not step.spec.max_per_runner:
                unplaced.setdefault(kind, []).append(step.spec.resources)
            _leave_waiting(step, task, allowed, again, now)
            return
        _assign(state, task, runner, task.run + 1, now)
        assigned.append(runner)


def _leave_waiting(
    step: StepRun, task: Task, runners: list[Runner], again: bool, now: float
) -> None:
    step.searched = True
    if not again:
        explain_wait(step, task, runners, now)


def _find_kind(state: Dispatcher, task: Task, now: float) -> _Kind:
    spec = task.step.spec
    least = find_min_speed(task, now, _is_idle(state)) if spec.backfill else 0.0
    return _Kind(
        task.step.job.submission.service,
        spec.image if spec.backfill else "",
        spec.requires,
        spec.long_running,
        task.run > 0,
        least,
    )


def _fits_nowhere(wanted: Resources, unplaced: list[Resources]) -> bool:
    """Return whether something no larger than `wanted` has found no runner.

    Notes
    -----
    Guards against an owner that plans all the time while work piles up: each of
    hundreds of waiting steps looked through all runners, ten times a second.
    """
    return any(
        size.cpu <= wanted.cpu
        and size.memory <= wanted.memory
        and size.gpu <= wanted.gpu
        for size in unplaced
    )


def _begin_waiting(step: StepRun, now: float) -> list[Task]:
    """Return the step's tasks that may start now, all of which wait from now on.

    Notes
    -----
    Guards against tasks that wait their limits out one after the other: where the time
    of each ran only once the one before had found a place, the second of two
    interrupted tasks was handed over 0.6 s after the first, and the eighth 5 s after.
    """
    ready = [t for t in step.tasks if t.phase == Phase.WAITING and t.not_before <= now]
    for task in ready:
        task.waiting_since = task.waiting_since or now
    return ready


def _choose(
    state: Dispatcher, task: Task, runners: list[Runner], now: float
) -> Runner | None:
    idle = _is_idle(state)
    return choose_runner(task, runners, state.limits, state.interference, now, idle)


def _is_idle(state: Dispatcher) -> bool:
    return state.load.reserved < IDLE_FLEET_SHARE


def _place_gang(
    state: Dispatcher, step: StepRun, runners: list[Runner], now: float
) -> None:
    """Place all tasks of a gang or none: a part of one only takes room."""
    if len(_begin_waiting(step, now)) < len(step.tasks):
        return
    for allowed in _choices_of_racks(step, runners):
        placed = _try_gang(state, step, allowed, now)
        if placed:
            run = max(task.run for task in step.tasks) + 1
            checkpoint = next((t.checkpoint for t in step.tasks if t.checkpoint), "")
            for task, runner in placed:
                task.checkpoint = checkpoint
                _assign(state, task, runner, run, now)
            return


def _try_gang(
    state: Dispatcher, step: StepRun, runners: list[Runner], now: float
) -> list[tuple[Task, Runner]]:
    placed: list[tuple[Task, Runner]] = []
    for task in step.tasks:
        runner = _choose(state, task, runners, now)
        if runner is None:
            break
        reserve_resources(runner, task)
        placed.append((task, runner))
    for task, runner in placed:
        release_resources(runner, task)
    return placed if len(placed) == len(step.tasks) else []


def _choices_of_racks(step: StepRun, runners: list[Runner]) -> list[list[Runner]]:
    if not step.spec.same_rack:
        return [runners]
    by_rack = sorted(runners, key=_rack_of)
    racks = [list(group) for _, group in groupby(by_rack, key=_rack_of)]
    return [*racks, runners]


def _narrow_to_rack(step: StepRun, runners: list[Runner]) -> list[Runner]:
    """Return the runners of the rack that the step has begun on, if it must be one."""
    if not step.spec.same_rack:
        return runners
    out = {task.incarnation for task in step.tasks if task.incarnation}
    racks = {_rack_of(runner) for runner in runners if runner.incarnation in out}
    if len(racks) != 1:
        return runners
    return [runner for runner in runners if _rack_of(runner) in racks]


def _rack_of(runner: Runner) -> str:
    return runner.entry.rack if runner.entry else ""


def _assign(
    state: Dispatcher, task: Task, runner: Runner, run: int, now: float
) -> None:
    task.phase = Phase.STORING
    task.run = run
    task.incarnation = runner.incarnation
    task.waiting_since = 0.0
    task.step.waits_for = ""
    task.step.searched = False
    reserve_resources(runner, task)
    if task.step.spec.backfill or task.step.spec.target_ms:
        # What is there already is slowed before the newcomer adds to the harm.
        pace_backfill(state, runner, now)
    state.assigned.append(task)
    mark_dirty(state, task.step)
