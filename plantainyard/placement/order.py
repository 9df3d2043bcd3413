"""Order of waiting jobs: urgent jobs first, fair between teams, without starvation.

Within a rank, teams take turns by dominant share. Jobs that have waited too long get a
turn regularly, whatever their rank.
"""

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
    "build_order",
    "get_rank",
    "list_order",
    "requeue_job",
    "select_next_jobs",
]

NO_CAPACITY = "no room"
_RANK_COUNT = 3


class _Entry(NamedTuple):
    used_cores: float
    since: float
    id: str


class Choice(NamedTuple):
    """The best worker for a job's next task.

    Valid for as long as `profile` is the worker's current profile.

    Attributes
    ----------
    cost_per_core : float
        Cost divided by the expected cores of the task.
    job_state : JobState
        State of the job.
    task : WaitingTask
        Next task of the job.
    worker : WorkerState
        The best worker.
    profile : Profile or None
        Profile of the worker by which the choice was made.
    """

    cost_per_core: float
    job_state: JobState
    task: WaitingTask
    worker: WorkerState
    profile: Profile | None


class Order:
    """Waiting jobs by rank, team and workload, during one step."""

    def __init__(self) -> None:
        self.starving: list[tuple[float, str]] = []
        self.teams: list[dict[str, float]] = [{} for _ in range(_RANK_COUNT)]
        self.jobs: dict[tuple[int, str], dict[str, list[_Entry]]] = {}
        self.skipped: set[str] = set()
        self.longest_waiting: set[str] = set()
        self.choices: dict[str, Choice] = {}


def get_rank(job_state: JobState) -> int:
    """Return 0 for urgent jobs, 1 for services, and 2 for other jobs."""
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
        if (
            job_state.waiting_count
            and not job_state.given_up
            and job_state.peek_waiting(now)
        ):
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
    """Return the longest waiting jobs that lack only capacity; they may reserve."""
    max_jobs = max(1, int(state.settings.reserve_share * len(state.active_workers)))
    without_capacity = (
        state.jobs[job_id]
        for _, job_id in order.starving
        if state.jobs[job_id].reason == NO_CAPACITY
    )
    possible = (
        job_state.job.id
        for job_state in without_capacity
        if any(
            check_worker(job_state.job, worker.info) is None
            for worker in state.active_workers
        )
    )
    return set(islice(possible, max_jobs))


def select_next_jobs(state: PlacementState, order: Order) -> list[JobState]:
    """Return the jobs of which one may place a task now; empty when none is left.

    Notes
    -----
    The teams with the lowest dominant share, within a margin of ``fair_slack``, are
    next. For each of their workloads, the job with the fewest cores in use is returned,
    so that a huge job doesn't block small ones and the caller can choose the workload
    that best suits the free capacity.

    Every ``aged_turn``-th turn goes to the job that has waited longest without a start,
    even ahead of urgent work. This guards against starvation, in which a job never
    starts under a steady stream of other work. Its wait is bounded, since its turn
    comes regardless of what arrives.
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
    """Return the first jobs of the teams with the lowest share; remove empty teams."""
    team_shares = order.teams[rank]
    limit = min(team_shares.values()) + state.settings.fair_slack
    teams = [team for team, team_share in team_shares.items() if team_share <= limit]
    heads = []
    for team in teams:
        found = _list_heads(state, order, rank, team)
        if not found:
            del team_shares[team]
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
    """Put a job back into the order after its turn, or skip it for this step."""
    if not placed or not job_state.waiting_count or job_state.peek_waiting(now) is None:
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
    """Return an iterator over the waiting jobs, the next one to be placed first."""
    keys = (
        (
            get_rank(job_state),
            get_dominant_share(state, job_state.job.team),
            len(job_state.placed) * job_state.job.size.cores,
            job_state.get_waiting_since(),
            job_state.job.id,
        )
        for job_state in state.jobs.values()
        if job_state.waiting_count and not job_state.given_up
    )
    return (state.jobs[key[-1]] for key in sorted(keys))
