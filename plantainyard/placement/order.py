"""Order of waiting jobs: urgent first, fair between teams, nobody for ever."""

import heapq
from collections.abc import Iterator
from itertools import islice
from typing import NamedTuple

from plantainyard.placement.filters import check_worker
from plantainyard.placement.quotas import get_dominant_share
from plantainyard.placement.state import (
    JobState,
    PlacementState,
    Profile,
    WaitingTask,
    WorkerState,
)

__all__ = [
    "Choice",
    "Order",
    "get_rank",
    "list_order",
    "requeue_job",
    "build_order",
    "select_next_jobs",
]

NO_CAPACITY = "no room"
_RANK_COUNT = 3


class _Entry(NamedTuple):
    served: float
    since: float
    id: str


class Choice(NamedTuple):
    """The best place for a job's next task, while `profile` is its worker's.

    Attributes
    ----------
    value : float
        Cost for each core.
    owner : JobState
        The job.
    task : Waiting
        Its next task.
    worker : WorkerState
        The best worker.
    profile : Profile or None
        The worker's, by which the choice was made.
    """

    value: float
    job_state: JobState
    task: WaitingTask
    worker: WorkerState
    profile: Profile | None


class Order:
    """Waiting jobs by rank, team and workload, for the length of one step."""

    def __init__(self) -> None:
        self.starving: list[tuple[float, str]] = []
        self.teams: list[dict[str, float]] = [{} for _ in range(_RANK_COUNT)]
        self.jobs: dict[tuple[int, str], dict[str, list[_Entry]]] = {}
        self.skipped: set[str] = set()
        self.longest_waiting: set[str] = set()
        self.choices: dict[str, Choice] = {}


def get_rank(job_state: JobState) -> int:
    """Return 0 for urgent jobs, 1 for services, 2 for the rest."""
    if job_state.job.urgent:
        return 0
    return 1 if job_state.job.latency_critical else 2


def _push_job(order: Order, job_state: JobState) -> None:
    key = (get_rank(job_state), job_state.job.team)
    entry = _Entry(
        len(job_state.placed) * job_state.job.size.cores,
        job_state.get_waiting_since(),
        job_state.job.id,
    )
    heaps = order.jobs.setdefault(key, {})
    heapq.heappush(heaps.setdefault(job_state.workload, []), entry)


def build_order(state: PlacementState, now: float) -> Order:
    """Return the order of all jobs that have a task to place now."""
    order = Order()
    starve_s = state.settings.starve_s
    for job_state in state.jobs.values():
        if job_state.waiting and not job_state.given_up and job_state.peek_waiting(now):
            _push_job(order, job_state)
            since = max(job_state.get_waiting_since(), job_state.last_placed_at)
            if now - since > starve_s:
                order.starving.append((since, job_state.job.id))
    order.starving.sort()
    order.longest_waiting = _find_longest_waiting(state, order)
    for rank, team in order.jobs:
        order.teams[rank][team] = get_dominant_share(state, team)
    return order


def _find_longest_waiting(state: PlacementState, order: Order) -> set[str]:
    """Return the longest waiting jobs that lack just room; they may hold workers."""
    most = max(1, int(state.settings.reserve_share * len(state.active_workers)))
    blocked = (
        state.jobs[job_id]
        for _, job_id in order.starving
        if state.jobs[job_id].reason == NO_CAPACITY
    )
    possible = (
        job_state.job.id
        for job_state in blocked
        if any(
            check_worker(job_state.job, worker.info) is None
            for worker in state.active_workers
        )
    )
    return set(islice(possible, most))


def select_next_jobs(state: PlacementState, order: Order) -> list[JobState]:
    """Return the jobs of which one may place a task now; none when all had their turn.

    Notes
    -----
    It is the turn of the teams whose dominant share is the least, or ``fair_slack``
    above it. For each workload of theirs the job with the least in use is returned, so
    that a huge job does not block small ones, and the caller can choose the workload
    that suits the room best.

    Every ``aged_turn``-th turn goes to the job that waited longest without a start,
    even ahead of urgent work. This guards against starvation, which shows as a job that
    never starts under a steady stream of others; its wait is bounded since its turn
    comes whatever arrives.
    """
    state.turn_count += 1
    if state.turn_count % state.settings.aged_turn == 0:
        while order.starving:
            _, job_id = heapq.heappop(order.starving)
            if job_id not in order.skipped:
                return [state.jobs[job_id]]
    for rank in range(_RANK_COUNT):
        while order.teams[rank]:
            heads = _list_fair_heads(state, order, rank)
            if heads:
                return heads
    return []


def _list_fair_heads(state: PlacementState, order: Order, rank: int) -> list[JobState]:
    """Return the heads of the teams with about the least share; drop empty teams."""
    loads = order.teams[rank]
    limit = min(loads.values()) + state.settings.fair_slack
    teams = [team for team, load in loads.items() if load <= limit]
    heads = []
    for team in teams:
        found = _list_heads(state, order, rank, team)
        if not found:
            del loads[team]
        heads += found
    return heads


def _list_heads(
    state: PlacementState, order: Order, rank: int, team: str
) -> list[JobState]:
    heads = []
    heaps = order.jobs[rank, team]
    for workload in list(heaps):
        entries = heaps[workload]
        while entries and entries[0].id in order.skipped:
            heapq.heappop(entries)
        if entries:
            heads.append(state.jobs[entries[0].id])
        else:
            del heaps[workload]
    return heads


def requeue_job(
    state: PlacementState, order: Order, job_state: JobState, now: float, placed: bool
) -> None:
    """Put a job back after its turn, or leave it out until the next step."""
    if not placed or not job_state.waiting or job_state.peek_waiting(now) is None:
        order.skipped.add(job_state.job.id)
    rank, team = get_rank(job_state), job_state.job.team
    entries = order.jobs[rank, team].get(job_state.workload)
    if entries and entries[0].id == job_state.job.id:
        heapq.heappop(entries)
        if job_state.job.id not in order.skipped:
            _push_job(order, job_state)
    if placed and team in order.teams[rank]:
        order.teams[rank][team] = get_dominant_share(state, team)


def list_order(state: PlacementState, now: float) -> Iterator[JobState]:
    """Yield the waiting jobs, first the one whose turn comes first."""
    keys = (
        (
            get_rank(job_state),
            get_dominant_share(state, job_state.job.team),
            len(job_state.placed) * job_state.job.size.cores,
            job_state.get_waiting_since(),
            job_state.job.id,
        )
        for job_state in state.jobs.values()
        if job_state.waiting and not job_state.given_up
    )
    return (state.jobs[key[-1]] for key in sorted(keys))
