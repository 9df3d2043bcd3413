"""Small model of workers: actual sizes, interference, faults and delayed reports.

It replaces the platform in a replay. Each call of `advance` simulates one second of all
tasks. It does not simulate a whole cluster: there are neither a network nor leases.

Notes
-----
With ``u[a]`` the share of a worker's cores that workload ``a`` uses, ``d`` the demand
for cores relative to the capacity (at least 1) and ``H`` the true interference:

- a batch task advances by ``share / (d * (1 + sum(H[v, a] * u[a])))`` per second;
- a runner's latency is ``base * (1 + load * sum(H[v, a] * u[a])) * d**3``.
"""

import heapq
import random
from collections import defaultdict
from typing import Any, NamedTuple

from plantainyard.placement import (
    Event,
    Outcome,
    TaskEnded,
    TaskStarted,
    UsageReported,
    WorkerBack,
    WorkerSuspect,
)
from plantainyard.work import Job, TaskKey, WorkerInfo

__all__ = [
    "Model",
    "ModelWorker",
    "JobBehavior",
    "advance",
    "apply_fault",
    "checkpoint",
    "start",
    "stop",
]

_REPORT_EVERY_S = 5
_CHECKPOINT_S = 2.0
_RESUME_LOSS_S = 5.0
_FAULTY_WORKER_FAILURE_S = 2.0
_FAULTY_JOB_FAILURE_S = 4.0
_SUSPECT_S = 3.0
_LEASE_EXPIRY_S = 12.0


class JobBehavior(NamedTuple):
    """Actual properties of a job, which the policy doesn't know."""

    cores: float
    memory_gb: float
    run_s: float
    base_ms: float
    fails: bool = False


class _Task:
    def __init__(
        self, job: Job, behavior: JobBehavior, key: TaskKey, attempt: int, at: float
    ):
        self.job = job
        self.behavior = behavior
        self.key = key
        self.attempt = attempt
        self.started_at = at
        self.start_reported = False
        self.done_s = 0.0
        self.share = 1.0
        self.ends_at = float("inf")
        self.outcome = ""


class ModelWorker:
    """A modelled worker and its faults."""

    def __init__(self, info: WorkerInfo):
        self.info = info
        self.up = True
        self.faulty = False
        self.silent = False
        self.misreports = False
        self.tasks: dict[TaskKey, _Task] = {}


class Model:
    """State of the modelled workers, and the measurements of a replay."""

    def __init__(self, interference: list[list[Any]], source: random.Random):
        self.interference = {
            (victim, other): value for victim, other, value in interference
        }
        self.source = source
        self.workers: dict[str, ModelWorker] = {}
        self.load_levels: defaultdict[str, float] = defaultdict(lambda: 1.0)
        self.saved_progress: dict[TaskKey, float] = {}
        self.scheduled: list[tuple[float, int, Event]] = []
        self.event_count = 0
        self.second = 0
        self.useful_work = 0.0
        self.latencies: list[tuple[float, float]] = []
        self.overcommits = 0
        self.double_runs = 0
        self.killed_for_memory = 0
        self.done_tasks = 0


def _send(model: Model, at: float, event: Event) -> None:
    model.event_count += 1
    heapq.heappush(model.scheduled, (at, model.event_count, event))


def start(
    model: Model,
    worker_id: str,
    job: Job,
    behavior: JobBehavior,
    key: TaskKey,
    attempt: int,
    now: float,
) -> None:
    """Start an attempt; on a worker that is down, its lease expires instead."""
    worker = model.workers[worker_id]
    if any(key in other.tasks for other in model.workers.values()):
        model.double_runs += 1
    if not worker.up:
        lapsed = TaskEnded(key, attempt, worker_id, Outcome.LAPSED)
        _send(model, now + _LEASE_EXPIRY_S, lapsed)
        return
    task = _Task(job, behavior, key, attempt, now)
    task.done_s = model.saved_progress.pop(key, 0.0)
    worker.tasks[key] = task
    if worker.faulty:
        task.ends_at, task.outcome = now + _FAULTY_WORKER_FAILURE_S, Outcome.FAILED
    elif behavior.fails:
        task.ends_at, task.outcome = now + _FAULTY_JOB_FAILURE_S, Outcome.FAILED
    sizes = [other.job.size for other in worker.tasks.values()]
    for required, capacity in zip(
        map(sum, zip(*sizes, strict=True)), worker.info.capacity, strict=True
    ):
        model.overcommits += required > capacity + 1e-6


def checkpoint(model: Model, worker_id: str, key: TaskKey, now: float) -> None:
    """Start to checkpoint and stop a task."""
    task = model.workers[worker_id].tasks.get(key)
    if task is not None and not task.outcome:
        task.ends_at, task.outcome = now + _CHECKPOINT_S, Outcome.EVICTED


def stop(model: Model, worker_id: str, key: TaskKey, now: float) -> None:
    """Stop a cancelled task."""
    task = model.workers[worker_id].tasks.get(key)
    if task is not None:
        task.ends_at, task.outcome = now, Outcome.CANCELLED


def apply_fault(model: Model, fault: str, workers: list[str], now: float) -> None:
    """Make workers fail, recover, stop reporting or report wrong values."""
    for worker in map(model.workers.__getitem__, workers):
        if fault == "down":
            _take_down(model, worker, now)
        elif fault == "up":
            worker.up = True
            _send(model, now + _SUSPECT_S, WorkerBack(worker.info.id))
        elif fault in ("bad", "good"):
            worker.faulty = fault == "bad"
        elif fault == "silent":
            worker.silent = True
        elif fault == "lying":
            worker.misreports = True


def _take_down(model: Model, worker: ModelWorker, now: float) -> None:
    worker.up = False
    _send(model, now + _SUSPECT_S, WorkerSuspect(worker.info.id))
    for task in worker.tasks.values():
        model.useful_work -= task.done_s * task.behavior.cores
        lapsed = TaskEnded(task.key, task.attempt, worker.info.id, Outcome.LAPSED)
        _send(model, now + _LEASE_EXPIRY_S, lapsed)
    worker.tasks.clear()


def advance(model: Model, now: float) -> list[Event]:
    """Simulate one second and return the events that are reported by `now`."""
    model.second += 1
    events: list[Event] = []
    for worker in model.workers.values():
        if worker.up and worker.tasks:
            events += _advance_worker(model, worker, now)
    while model.scheduled and model.scheduled[0][0] <= now:
        events.append(heapq.heappop(model.scheduled)[2])
    return events


def _compute_cpu_use(model: Model, task: _Task) -> float:
    if task.job.latency_critical:
        return task.behavior.cores * model.load_levels[task.job.workload]
    return task.behavior.cores * task.share


def _advance_worker(model: Model, worker: ModelWorker, now: float) -> list[Event]:
    tasks = list(worker.tasks.values())
    capacity = worker.info.capacity.cores
    uses = {task.key: _compute_cpu_use(model, task) for task in tasks}
    contention = max(1.0, sum(uses.values()) / capacity)
    shares: dict[str, float] = defaultdict(float)
    for task in tasks:
        shares[task.job.workload] += uses[task.key] / capacity / contention
    interference = model.interference
    slowdowns = {
        victim: sum(interference.get((victim, a), 0.0) * u for a, u in shares.items())
        for victim in shares
    }
    events: list[Event] = []
    reports = model.second % _REPORT_EVERY_S == 0 and not worker.silent
    for task in tasks:
        name = task.job.workload
        own = (
            interference.get((name, name), 0.0) * uses[task.key] / capacity / contention
        )
        from_others = max(0.0, slowdowns[name] - own)
        latency = _run_task(model, task, from_others, contention)
        if reports:
            _report(model, worker, task, uses[task.key] / contention, latency, now)
        if not task.start_reported:
            task.start_reported = True
            job, key = task.job, task.key
            events.append(TaskStarted(job, key.number, task.attempt, worker.info.id))
        ended = _end_task(model, worker, task, now)
        if ended is not None:
            events.append(ended)
    events += _kill_for_memory(model, worker)
    return events


def _run_task(
    model: Model, task: _Task, interference: float, contention: float
) -> float:
    if not task.job.latency_critical:
        speed = task.share / (contention * (1.0 + interference))
        task.done_s += speed
        model.useful_work += speed * task.behavior.cores
        return 0.0
    level = model.load_levels[task.job.workload]
    ratio = (1.0 + level * interference) * contention**3
    model.latencies.append((ratio, level))
    return task.behavior.base_ms * ratio


def _end_task(
    model: Model, worker: ModelWorker, task: _Task, now: float
) -> TaskEnded | None:
    outcome, detail = task.outcome, ""
    if now < task.ends_at:
        done = not task.job.latency_critical and task.done_s >= task.behavior.run_s
        if not done or task.outcome == Outcome.FAILED:
            return None
        outcome = Outcome.DONE
    del worker.tasks[task.key]
    if outcome == Outcome.DONE:
        model.done_tasks += 1
    elif outcome == Outcome.EVICTED:
        kept = max(0.0, task.done_s - _RESUME_LOSS_S)
        model.useful_work -= (task.done_s - kept) * task.behavior.cores
        model.saved_progress[task.key] = kept
    else:
        model.useful_work -= task.done_s * task.behavior.cores
        detail = "exec failed" if outcome == Outcome.FAILED else ""
    return TaskEnded(task.key, task.attempt, worker.info.id, outcome, detail)


def _kill_for_memory(model: Model, worker: ModelWorker) -> list[Event]:
    batch = [t for t in worker.tasks.values() if not t.job.latency_critical]
    used = sum(task.behavior.memory_gb for task in worker.tasks.values())
    if used <= worker.info.capacity.memory_gb or not batch:
        return []
    task = max(
        batch, key=lambda t: (t.behavior.memory_gb / t.job.size.memory_gb, t.key)
    )
    del worker.tasks[task.key]
    model.killed_for_memory += 1
    model.useful_work -= task.done_s * task.behavior.cores
    worker_id = worker.info.id
    return [
        TaskEnded(task.key, task.attempt, worker_id, Outcome.FAILED, "out of memory")
    ]


def _report(
    model: Model,
    worker: ModelWorker,
    task: _Task,
    cores: float,
    latency: float,
    now: float,
) -> None:
    source = model.source
    factor = 0.02 if worker.misreports else 1.0
    event = UsageReported(
        worker.info.id,
        task.key,
        now,
        cores * source.gauss(1.0, 0.08) * factor,
        task.behavior.memory_gb,
        max(0.0, latency * source.gauss(1.0, 0.12)) * factor,
    )
    _send(model, now + source.uniform(2.0, 8.0), event)
