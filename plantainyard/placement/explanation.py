"""Explanations of why a task is placed where it is, or why it waits."""

from typing import NamedTuple

from plantainyard.placement.filters import check_possible, check_start
from plantainyard.placement.order import list_order
from plantainyard.placement.quotas import check_quota
from plantainyard.placement.scores import compute_parts
from plantainyard.placement.state import JobState, PlacementState, WorkerState
from plantainyard.work import TaskKey

__all__ = ["Explanation", "WorkerVerdict", "explain"]


class WorkerVerdict(NamedTuple):
    """Assessment of one worker for one task.

    Attributes
    ----------
    worker : str
        The worker.
    failing : str
        Check that the worker fails for the task; empty if the task could start there.
    cost : float
        Cost of starting the task there now; lower is better.
    parts : dict
        Parts of the cost by name.
    """

    worker: str
    failing: str
    cost: float
    parts: dict[str, float]


class Explanation(NamedTuple):
    """Placement status of a task.

    Attributes
    ----------
    status : str
        ``"placed"``, ``"waiting"``, ``"impossible"``, ``"given up"`` or ``"unknown"``.
    worker : str
        Worker on which the task is placed, or empty.
    reason : str
        Why the task waits, which constraint no worker meets, or the last error.
    place : int
        Position of the job in the order of waiting jobs, from 1; 0 if the task doesn't
        wait.
    workers : tuple of WorkerVerdict
        All workers: those on which the task could start, by cost, then the others.
    """

    status: str
    worker: str
    reason: str
    place: int
    workers: tuple[WorkerVerdict, ...]


def explain(state: PlacementState, task: TaskKey) -> Explanation:
    """Return where `task` is placed or why it waits, with an assessment of all workers.

    Notes
    -----
    The cost is linear in the number of workers. Meant for operators' requests, not for
    decisions.
    """
    job_state = state.jobs.get(task.job)
    if job_state is None:
        return Explanation("unknown", "", "no such job here", 0, ())
    verdicts = tuple(
        sorted(
            (
                _assess_worker(state, job_state, worker)
                for worker in state.active_workers
            ),
            key=lambda verdict: (bool(verdict.failing), verdict.cost, verdict.worker),
        )
    )
    placement = job_state.placed.get(task.number)
    if placement is not None:
        phase = "running" if placement.started_at is not None else "being started"
        return Explanation("placed", placement.worker, phase, 0, verdicts)
    if job_state.given_up:
        return Explanation("given up", "", job_state.last_error, 0, verdicts)
    if not job_state.has_task(task.number):
        return Explanation(
            "unknown", "", "neither waiting nor placed here", 0, verdicts
        )
    worker_infos = [worker.info for worker in state.active_workers]
    unmet_constraint = check_possible(
        job_state.job, worker_infos, state.quotas.get(job_state.job.team)
    )
    if unmet_constraint is not None:
        return Explanation("impossible", "", unmet_constraint, 0, verdicts)
    place = _find_queue_position(state, job_state)
    reason = job_state.reason or _find_reason(state, job_state, verdicts)
    return Explanation("waiting", "", reason, place, verdicts)


def _assess_worker(
    state: PlacementState, job_state: JobState, worker: WorkerState
) -> WorkerVerdict:
    parts = compute_parts(state, job_state, worker, state.now)
    failing = check_start(job_state, worker, state.settings.crowd_max) or ""
    return WorkerVerdict(worker.info.id, failing, sum(parts), parts._asdict())


def _find_queue_position(state: PlacementState, job_state: JobState) -> int:
    order = list_order(state, state.now)
    return next((i for i, other in enumerate(order, 1) if other is job_state), 0)


def _find_reason(
    state: PlacementState, job_state: JobState, verdicts: tuple[WorkerVerdict, ...]
) -> str:
    if not check_quota(state, job_state):
        return "team quota"
    if job_state.peek_waiting(state.now) is None:
        return "backing off"
    if all(verdict.failing for verdict in verdicts):
        return "no room"
    return "its turn has not come"
