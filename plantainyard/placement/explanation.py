"""Why a task is where it is, or why it waits."""

from typing import NamedTuple

from plantainyard.placement.filters import check_now, check_possible
from plantainyard.placement.order import list_order
from plantainyard.placement.quotas import check_quota
from plantainyard.placement.scores import compute_parts
from plantainyard.placement.state import JobState, PlacementState, WorkerState
from plantainyard.work import TaskKey

__all__ = ["Explanation", "WorkerVerdict", "explain"]


class WorkerVerdict(NamedTuple):
    """How one worker looks to one task.

    Attributes
    ----------
    worker : str
        The worker.
    failing : str
        What keeps the task off it; empty where it could go there.
    cost : float
        Cost of going there now; less is better.
    parts : dict
        The parts of the cost by name.
    """

    worker: str
    failing: str
    cost: float
    parts: dict[str, float]


class Explanation(NamedTuple):
    """Where a task stands.

    Attributes
    ----------
    status : str
        ``"placed"``, ``"waiting"``, ``"impossible"``, ``"given up"`` or ``"unknown"``.
    worker : str
        Where it is placed.
    reason : str
        Why it waits, which constraint no worker meets, or the last error.
    place : int
        Its job's place in the order from 1; 0 when it does not wait.
    workers : tuple of WorkerVerdict
        Every worker, the cheapest possible one first.
    """

    status: str
    worker: str
    reason: str
    place: int
    workers: tuple[WorkerVerdict, ...]


def explain(state: PlacementState, task: TaskKey) -> Explanation:
    """Return why `task` is where it is, and why not elsewhere.

    Notes
    -----
    Costs a look at every worker; meant for operators' questions, not for decisions.
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
    infos = [worker.info for worker in state.active_workers]
    never = check_possible(job_state.job, infos, state.quotas.get(job_state.job.team))
    if never is not None:
        return Explanation("impossible", "", never, 0, verdicts)
    place = _find_queue_position(state, job_state)
    reason = job_state.reason or _find_reason(state, job_state, verdicts)
    return Explanation("waiting", "", reason, place, verdicts)


def _assess_worker(
    state: PlacementState, job_state: JobState, worker: WorkerState
) -> WorkerVerdict:
    parts = compute_parts(state, job_state, worker, state.now)
    failing = check_now(job_state, worker, state.settings.crowd_max) or ""
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
