"""Order of waiting jobs: urgent first, fair between teams, nobody for ever."""

import heapq
from collections.abc import Iterator
from typing import NamedTuple

from plantainyard.placement.quotas import get_team_load
from plantainyard.placement.state import JobState, PlacementState

__all__ = ["Order", "get_rank", "list_order", "return_job", "start_order", "take_job"]

_RANKS = 3


class _Entry(NamedTuple):
    served: float
    since: float
    id: str


class Order:
    """Waiting jobs by rank and team, for the length of one step."""

    def __init__(self) -> None:
        self.aged: list[tuple[float, str]] = []
        self.teams: list[list[tuple[float, str]]] = [[] for _ in range(_RANKS)]
        self.jobs: dict[tuple[int, str], list[_Entry]] = {}
        self.dropped: set[str] = set()


def get_rank(owner: JobState) -> int:
    """Return 0 for urgent jobs, 1 for services, 2 for the rest."""
    if owner.job.urgent:
        return 0
    return 1 if owner.job.latency_critical else 2


def _is_aged(state: PlacementState, owner: JobState, now: float) -> bool:
    since = max(owner.waits_since(), owner.placed_last)
    return now - since > state.settings.starve_s


def _enter(order: Order, owner: JobState) -> None:
    key = (get_rank(owner), owner.job.team)
    size = max(owner.job.size.cores, 1e-3)
    entry = _Entry(len(owner.placed) * size, owner.waits_since(), owner.job.id)
    heapq.heappush(order.jobs.setdefault(key, []), entry)


def start_order(state: PlacementState, now: float) -> Order:
    """Return the order of all jobs that have a task to place now."""
    order = Order()
    for owner in state.jobs.values():
        if owner.waiting and not owner.given_up and owner.next_waiting(now):
            _enter(order, owner)
            if _is_aged(state, owner, now):
                since = max(owner.waits_since(), owner.placed_last)
                order.aged.append((since, owner.job.id))
    heapq.heapify(order.aged)
    for rank, team in order.jobs:
        order.teams[rank].append((get_team_load(state, team), team))
    for teams in order.teams:
        heapq.heapify(teams)
    return order


def take_job(state: PlacementState, order: Order) -> JobState | None:
    """Return the job whose turn it is, or None when all had theirs.

    Notes
    -----
    The team with the least dominant share goes first, and in it the job with the least
    in use, so that a huge job does not block small ones. Every ``aged_turn``-th turn
    goes to the job that waited longest without a start, even ahead of urgent work: this
    guards against starvation, which shows as a job that never starts under a steady
    stream of others; its wait is bounded since its turn comes whatever arrives.
    """
    state.turn += 1
    if state.turn % state.settings.aged_turn == 0:
        while order.aged:
            _, job_id = heapq.heappop(order.aged)
            if job_id not in order.dropped:
                return state.jobs[job_id]
    for rank, teams in enumerate(order.teams):
        while teams:
            _, team = teams[0]
            entries = order.jobs[rank, team]
            while entries and entries[0].id in order.dropped:
                heapq.heappop(entries)
            if entries:
                return state.jobs[entries[0].id]
            heapq.heappop(teams)
    return None


def return_job(
    state: PlacementState, order: Order, owner: JobState, now: float, placed: bool
) -> None:
    """Put a job back after its turn, or leave it out until the next step."""
    if not placed or not owner.waiting or owner.next_waiting(now) is None:
        order.dropped.add(owner.job.id)
        return
    rank, team = get_rank(owner), owner.job.team
    entries = order.jobs[rank, team]
    if entries and entries[0].id == owner.job.id:
        heapq.heappop(entries)
        _enter(order, owner)
    teams = order.teams[rank]
    if teams and teams[0][1] == team:
        heapq.heapreplace(teams, (get_team_load(state, team), team))


def list_order(state: PlacementState, now: float) -> Iterator[JobState]:
    """Yield the waiting jobs, first the one whose turn comes first."""
    keys = (
        (
            get_rank(owner),
            get_team_load(state, owner.job.team),
            len(owner.placed) * owner.job.size.cores,
            owner.waits_since(),
            owner.job.id,
        )
        for owner in state.jobs.values()
        if owner.waiting and not owner.given_up
    )
    return (state.jobs[key[-1]] for key in sorted(keys))
