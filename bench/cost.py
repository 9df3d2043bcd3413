"""Processor time of placement decisions by number of workers and running tasks."""

import random
import time
from typing import Any, NamedTuple

import numpy as np

from plantainyard.placement import (
    Outcome,
    Place,
    PlacementState,
    TaskEnded,
    TaskStarted,
    TasksWaiting,
    Tick,
    UsageReported,
    WorkersChanged,
    create_state,
    step,
)
from plantainyard.work import Job, Size, TaskKey, WorkerInfo

__all__ = ["CostPoint", "measure_cost", "measure_point"]

_WORKLOADS = 8
_STARTS_PER_S = 773.0
_BUDGET = 0.015
_WORKERS = 2000


class CostPoint(NamedTuple):
    """Measured processor time at one size, in microseconds.

    Attributes
    ----------
    workers, running : int
        Number of workers in the state, and of tasks running on them.
    start_us : float
        One start, including the arrival of its job, the decision, and the events that
        it has started and ended.
    tick_us : float
        One tick without any decision.
    report_us : float
        One usage report.
    """

    workers: int
    running: int
    start_us: float
    tick_us: float
    report_us: float


def _create_busy_state(workers: int, source: random.Random) -> PlacementState:
    state = create_state()
    infos = tuple(
        WorkerInfo(f"w{n}", "", "r", "d", f"rack-{n // 10}", Size(64, 250))
        for n in range(workers)
    )
    step(state, WorkersChanged(infos), 0.0)
    runners = max(1, workers // 2)
    service = Job("svc", "svc", "s", True, runners, Size(4, 8), workload="svc")
    step(state, TasksWaiting(service, 0, runners), 0.0)
    for n in range(workers):
        job = _make_job(f"fill{n}", 7, source)
        step(state, TasksWaiting(job, 0, 7), 0.0)
    for tick in range(400):
        actions = step(state, Tick(), float(tick))
        if not _start_all(state, actions, float(tick)):
            break
    return state


def _make_job(name: str, count: int, source: random.Random) -> Job:
    workload = f"kind-{source.randrange(_WORKLOADS)}"
    team = f"team-{source.randrange(12)}"
    return Job(name, name, team, False, count, Size(8, 16), 60.0, workload=workload)


def _start_all(state: PlacementState, actions: list[Any], now: float) -> int:
    places = [action for action in actions if isinstance(action, Place)]
    for place in places:
        job = state.jobs[place.task.job].job
        step(state, TaskStarted(job, place.task.number, 1, place.worker), now)
    return len(places)


def measure_point(workers: int, seed: int = 1, rounds: int = 6) -> CostPoint:
    """Return the cost of decisions for `workers` busy workers under one owner."""
    source = random.Random(seed)
    state = _create_busy_state(workers, source)
    now = 500.0
    running = sum(len(worker.placed) for worker in state.active_workers)
    started_s = time.process_time()
    for _ in range(rounds):
        step(state, Tick(), now)
        now += 0.2
    tick = (time.process_time() - started_s) / rounds
    report = _measure_reports(state, now, source)
    starts = 0
    started_s = time.process_time()
    for number in range(rounds):
        starts += _churn(state, now, number, source)
        now += 0.5
    spent = time.process_time() - started_s - rounds * tick
    return CostPoint(
        workers, running, 1e6 * spent / max(starts, 1), 1e6 * tick, 1e6 * report
    )


def _measure_reports(state: PlacementState, now: float, source: random.Random) -> float:
    placements = [p for worker in state.active_workers for p in worker.placed.values()]
    chosen = source.sample(placements, min(300, len(placements)))
    started_s = time.process_time()
    for p in chosen:
        latency = 10.0 if p.job_state.job.latency_critical else 0.0
        event = UsageReported(p.worker, p.key, now - 3.0, 6.0, 12.0, latency)
        step(state, event, now)
    return (time.process_time() - started_s) / len(chosen)


def _churn(
    state: PlacementState, now: float, number: int, source: random.Random
) -> int:
    """End a share of the tasks, submit as many new ones, and start waiting tasks."""
    count = max(4, len(state.active_workers) // 5)
    batch = [
        (p.key, p.attempt, p.worker)
        for worker in state.active_workers
        for p in worker.placed.values()
        if not p.job_state.job.latency_critical
    ]
    for key, attempt, worker in source.sample(batch, min(count, len(batch))):
        step(state, TaskEnded(TaskKey(*key), attempt, worker, Outcome.DONE), now)
    for i in range(count // 4):
        job = _make_job(f"new{number}-{i}", 4, source)
        step(state, TasksWaiting(job, 0, 4, since=now), now)
    return _start_all(state, step(state, Tick(), now), now)


def measure_cost(
    sizes: tuple[int, ...] = (10, 30, 100, 300, 1000, 2000),
) -> dict[str, Any]:
    """Return the cost at several sizes, its slope, and the need of a domain.

    Notes
    -----
    The owners of a domain of 2,000 workers together start 773 tasks per second. An
    owner has one state per rack, so the need follows from the cost at a rack's size.
    """
    points = [measure_point(size) for size in sizes]
    table = np.array([[p.workers, p.start_us, p.tick_us] for p in points])
    start_slope = float(np.polyfit(table[:, 0], table[:, 1], 1)[0])
    tick_slope = float(np.polyfit(table[:, 0], table[:, 2], 1)[0])
    rack = points[0]
    ticks = _WORKERS / rack.workers
    starts = _STARTS_PER_S * rack.start_us * 1e-6
    idle = ticks * rack.tick_us * 1e-6
    return {
        "points": [point._asdict() for point in points],
        "start_us_per_worker": start_slope,
        "tick_us_per_worker": tick_slope,
        "domain_cores_for_starts": starts,
        "domain_cores_for_ticks_once_a_second": idle,
        "instances_needed_at_budget": (starts + idle) / _BUDGET,
    }
