"""Entry point of placement: ``step(state, event, now) -> actions``.

Placement is deterministic: the same events with the same times produce the same
actions. It reads no clock and does no input or output.

Examples
--------
>>> from plantainyard.work import Job, Size, WorkerInfo
>>> from plantainyard.placement.events import TasksWaiting, Tick, WorkersChanged
>>> state = create_state()
>>> worker = WorkerInfo("w1", "", "r", "d", "rack", Size(8, 32))
>>> step(state, WorkersChanged((worker,)), 0.0)
[]
>>> job = Job("j1", "night", "team", False, 1, Size(2, 4), run_s=60)
>>> step(state, TasksWaiting(job, 0, 1), 0.0)
[]
>>> [(a.task.number, a.worker) for a in step(state, Tick(), 0.0)]
[(0, 'w1')]
"""

from collections.abc import Callable
from typing import Any

from plantainyard.placement.accounting import (
    drop_idle_job,
    find_placement,
    get_job,
    occupy,
    rebuild_active_workers,
    vacate,
)
from plantainyard.placement.actions import Action, Stop
from plantainyard.placement.decision import decide
from plantainyard.placement.events import (
    Cancelled,
    Event,
    Outcome,
    QuotasChanged,
    TaskEnded,
    TasksGone,
    TaskStarted,
    TasksWaiting,
    Tick,
    UsageReported,
    WeightsChanged,
    WorkerBack,
    WorkersChanged,
    WorkerSuspect,
)
from plantainyard.placement.interference import decay_interference
from plantainyard.placement.observation import observe_run, observe_usage
from plantainyard.placement.quarantine import (
    compute_backoff,
    record_failure,
    record_success,
)
from plantainyard.placement.scores import compute_cost
from plantainyard.placement.settings import PlacementSettings, Weights
from plantainyard.placement.state import (
    Placement,
    PlacementState,
    Rules,
    WaitingTask,
    WorkerState,
)
from plantainyard.work import Size, WorkerInfo

__all__ = ["create_state", "step"]


def create_state(
    settings: PlacementSettings = PlacementSettings(),  # noqa: B008
    weights: Weights = Weights(),  # noqa: B008
    rules: Rules | None = None,
) -> PlacementState:
    """Return an empty state; its first event must be `WorkersChanged`."""
    return PlacementState(settings, weights, rules or Rules(compute_cost))


def step(state: PlacementState, event: Event, now: float) -> list[Action]:
    """Process one event and return the resulting actions.

    Parameters
    ----------
    state : PlacementState
        Updated in place.
    event : Event
        Event to process. Decisions about waiting tasks are made on `Tick` only, so that
        events that arrive together are considered together.
    now : float
        Time on the caller's clock, in seconds; must not decrease between calls.

    Returns
    -------
    list of Action
        Actions to carry out, in this order.

    Notes
    -----
    A task occupies its worker from the `Place` action until its `TaskEnded`, including
    the time while its assignment is in flight, so that no worker is allocated more
    than its capacity.
    """
    state.now = now
    return _HANDLERS[type(event)](state, event, now)


def _change_workers(
    state: PlacementState, event: WorkersChanged, now: float
) -> list[Action]:
    listed = {info.id: info for info in event.workers}
    for worker_id, info in listed.items():
        worker = state.workers.get(worker_id)
        if worker is None:
            state.workers[worker_id] = WorkerState(info, now)
        else:
            worker.info = info
            worker.listed = True
    for worker_id in [w for w in state.workers if w not in listed]:
        worker = state.workers[worker_id]
        worker.listed = False
        if not worker.placed:
            del state.workers[worker_id]
    rebuild_active_workers(state)
    return []


def _add_waiting(
    state: PlacementState, event: TasksWaiting, now: float
) -> list[Action]:
    job_state = get_job(state, event.job)
    if job_state.cancelled:
        return []
    job_state.add_range(
        event.first, event.stop, event.attempt, event.since, event.failures
    )
    return []


def _remove_waiting(
    state: PlacementState, event: TasksGone, now: float
) -> list[Action]:
    job_state = state.jobs.get(event.job)
    if job_state is not None:
        job_state.remove_range(event.first, event.stop)
        drop_idle_job(state, job_state)
    return []


def _start_task(state: PlacementState, event: TaskStarted, now: float) -> list[Action]:
    job_state = get_job(state, event.job)
    placement = job_state.placed.get(event.number)
    if placement is None:
        placement = _adopt_running_task(state, event)
    if placement is not None and placement.attempt == event.attempt:
        placement.started_at = now
    return []


def _adopt_running_task(state: PlacementState, event: TaskStarted) -> Placement | None:
    job_state = state.jobs[event.job.id]
    job_state.remove_range(event.number, event.number + 1)
    worker = state.workers.get(event.worker)
    if worker is None:
        info = WorkerInfo(event.worker, "", "", "", "", Size(0.0, 0.0))
        worker = state.workers[event.worker] = WorkerState(info, state.now)
        worker.listed = False
    task = WaitingTask(event.number, event.attempt, state.now)
    return occupy(state, job_state, task, worker)


def _end_task(state: PlacementState, event: TaskEnded, now: float) -> list[Action]:
    placement = find_placement(state, event.task)
    if placement is None or placement.attempt != event.attempt:
        return []
    job_state = placement.job_state
    worker = state.workers.get(placement.worker)
    if event.outcome == Outcome.DONE:
        observe_run(state, placement, now)
    probe = worker is not None and worker.probe_task == placement.key
    vacate(state, placement)
    actions: list[Action] = []
    if event.outcome == Outcome.DONE:
        actions = record_success(state, job_state, worker, probe)
    elif event.outcome == Outcome.FAILED:
        actions = record_failure(state, job_state, worker, event.detail, now, probe)
    if (
        event.outcome not in (Outcome.DONE, Outcome.CANCELLED)
        and not job_state.cancelled
    ):
        _requeue_task(state, placement, event.outcome, now)
    drop_idle_job(state, job_state)
    return actions


def _requeue_task(
    state: PlacementState, placement: Placement, outcome: str, now: float
) -> None:
    failed = outcome == Outcome.FAILED
    task = WaitingTask(
        placement.number,
        placement.attempt + (outcome != Outcome.UNPLACED),
        placement.since if outcome == Outcome.UNPLACED else now,
        placement.failures + failed,
        placement.evictions + (outcome == Outcome.EVICTED),
    )
    backoff_s = compute_backoff(state, task.failures - 1) if failed else 0.0
    placement.job_state.add_retry(task, now + backoff_s)


def _observe_usage(
    state: PlacementState, event: UsageReported, now: float
) -> list[Action]:
    observe_usage(state, event)
    return []


def _mark_suspect(
    state: PlacementState, event: WorkerSuspect, now: float
) -> list[Action]:
    worker = state.workers.get(event.worker)
    if worker is not None:
        worker.suspect = True
    return []


def _clear_suspect(
    state: PlacementState, event: WorkerBack, now: float
) -> list[Action]:
    worker = state.workers.get(event.worker)
    if worker is not None and worker.suspect:
        worker.suspect = False
        state.capacity_version += 1
    return []


def _change_quotas(
    state: PlacementState, event: QuotasChanged, now: float
) -> list[Action]:
    state.quotas = dict(event.shares)
    return []


def _change_weights(
    state: PlacementState, event: WeightsChanged, now: float
) -> list[Action]:
    state.weights = event.weights
    return []


def _cancel(state: PlacementState, event: Cancelled, now: float) -> list[Action]:
    job_states = [state.jobs[job] for job in event.jobs if job in state.jobs]
    stops: list[Action] = []
    for job_state in job_states:
        job_state.cancelled = True
        job_state.clear_waiting()
        for placement in job_state.placed.values():
            placement.ending = True
            stops.append(Stop(placement.key, placement.attempt, placement.worker))
        job_state.given_up = False
        drop_idle_job(state, job_state)
    return stops


def _tick(state: PlacementState, event: Tick, now: float) -> list[Action]:
    decay_interference(state.interference, now)
    return decide(state, now)


_HANDLERS: dict[type, Callable[[PlacementState, Any, float], list[Action]]] = {
    WorkersChanged: _change_workers,
    TasksWaiting: _add_waiting,
    TasksGone: _remove_waiting,
    TaskStarted: _start_task,
    TaskEnded: _end_task,
    UsageReported: _observe_usage,
    WorkerSuspect: _mark_suspect,
    WorkerBack: _clear_suspect,
    QuotasChanged: _change_quotas,
    WeightsChanged: _change_weights,
    Cancelled: _cancel,
    Tick: _tick,
}
