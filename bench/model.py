"""A small model of workers: true sizes, harm between tasks, faults, late reports.

It answers in place of the platform in a replay. One call of `advance` moves all
tasks on by one second. It is not a simulator of a cluster: no network, no leases.

Notes
-----
With ``u[a]`` the share of a worker's cores that workload ``a`` uses, ``d`` the demand
for cores relative to the capacity (at least 1) and ``H`` the true harm:

- a batch task advances by ``share / (d * (1 + sum(H[v, a] * u[a])))`` a second;
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
    "Truth",
    "advance",
    "apply_fault",
    "checkpoint",
    "start",
    "stop",
]

_REPORT_EVERY_S = 5
_CHECKPOINT_S = 2.0
_RESUME_LOSS_S = 5.0
_BAD_WORKER_S = 2.0
_BAD_JOB_S = 4.0
_SUSPECT_S = 3.0
_LAPSE_S = 12.0


class Truth(NamedTuple):
    """What a job really is, unknown to the policy."""

    cores: float
    memory_gb: float
    run_s: float
    base_ms: float
    fails: bool = False


class _Task:
    def __init__(self, job: Job, truth: Truth, key: TaskKey, attempt: int, at: float):
        self.job = job
        self.truth = truth
        self.key = key
        self.attempt = attempt
        self.started_at = at
        self.announced = False
        self.done_s = 0.0
        self.share = 1.0
        self.ends_at = float("inf")
        self.outcome = ""


class ModelWorker:
    """One modelled worker and its faults."""

    def __init__(self, info: WorkerInfo):
        self.info = info
        self.up = True
        self.bad = False
        self.silent = False
        self.lying = False
        self.tasks: dict[TaskKey, _Task] = {}


class Model:
    """State of the modelled workers, and the measures of a replay."""

    def __init__(self, harm: list[list[Any]], source: random.Random):
        self.harm = {(victim, other): value for victim, other, value in harm}
        self.source = source
        self.workers: dict[str, ModelWorker] = {}
        self.levels: defaultdict[str, float] = defaultdict(lambda: 1.0)
        self.kept: dict[TaskKey, float] = {}
        self.later: list[tuple[float, int, Event]] = []
        self.sent = 0
        self.second = 0
        self.work = 0.0
        self.latencies: list[tuple[float, float]] = []
        self.overcommits = 0
        self.doubles = 0
        self.killed = 0
        self.done = 0


def _send(model: Model, at: float, event: Event) -> None:
    model.sent += 1
    heapq.heappush(model.later, (at, model.sent, event))


def start(
    model: Model,
    worker_id: str,
    job: Job,
    truth: Truth,
    key: TaskKey,
    attempt: int,
    now: float,
) -> None:
    """Start an attempt; a lost worker lets it lapse."""
    worker = model.workers[worker_id]
    if any(key in other.tasks for other in model.workers.values()):
        model.doubles += 1
    if not worker.up:
        lapsed = TaskEnded(key, attempt, worker_id, Outcome.LAPSED)
        _send(model, now + _LAPSE_S, lapsed)
        return
    task = _Task(job, truth, key, attempt, now)
    task.done_s = model.kept.pop(key, 0.0)
    worker.tasks[key] = task
    if worker.bad:
        task.ends_at, task.outcome = now + _BAD_WORKER_S, Outcome.FAILED
    elif truth.fails:
        task.ends_at, task.outcome = now + _BAD_JOB_S, Outcome.FAILED
    sizes = [other.job.size for other in worker.tasks.values()]
    for need, room in zip(
        map(sum, zip(*sizes, strict=True)), worker.info.capacity, strict=True
    ):
        model.overcommits += need > room + 1e-6


def checkpoint(model: Model, worker_id: str, key: TaskKey, now: float) -> None:
    """Begin to checkpoint and stop a task."""
    task = model.workers[worker_id].tasks.get(key)
    if task is not None and not task.outcome:
        task.ends_at, task.outcome = now + _CHECKPOINT_S, Outcome.EVICTED


def stop(model: Model, worker_id: str, key: TaskKey, now: float) -> None:
    """Stop a cancelled task."""
    task = model.workers[worker_id].tasks.get(key)
    if task is not None:
        task.ends_at, task.outcome = now, Outcome.CANCELLED


def apply_fault(model: Model, fault: str, workers: list[str], now: float) -> None:
    """Let workers fail, mend, fall silent or lie."""
    for worker in map(model.workers.__getitem__, workers):
        if fault == "down":
            _lose(model, worker, now)
        elif fault == "up":
            worker.up = True
            _send(model, now + _SUSPECT_S, WorkerBack(worker.info.id))
        elif fault in ("bad", "good"):
            worker.bad = fault == "bad"
        elif fault == "silent":
            worker.silent = True
        elif fault == "lying":
            worker.lying = True


def _lose(model: Model, worker: ModelWorker, now: float) -> None:
    worker.up = False
    _send(model, now + _SUSPECT_S, WorkerSuspect(worker.info.id))
    for task in worker.tasks.values():
        model.work -= task.done_s * task.truth.cores
        lapsed = TaskEnded(task.key, task.attempt, worker.info.id, Outcome.LAPSED)
        _send(model, now + _LAPSE_S, lapsed)
    worker.tasks.clear()


def advance(model: Model, now: float) -> list[Event]:
    """Move everything on by one second and return what became known by `now`."""
    model.second += 1
    events: list[Event] = []
    for worker in model.workers.values():
        if worker.up and worker.tasks:
            events += _advance_worker(model, worker, now)
    while model.later and model.later[0][0] <= now:
        events.append(heapq.heappop(model.later)[2])
    return events


def _use(model: Model, task: _Task) -> float:
    if task.job.latency_critical:
        return task.truth.cores * model.levels[task.job.workload]
    return task.truth.cores * task.share


def _advance_worker(model: Model, worker: ModelWorker, now: float) -> list[Event]:
    tasks = list(worker.tasks.values())
    capacity = worker.info.capacity.cores
    uses = {task.key: _use(model, task) for task in tasks}
    crowd = max(1.0, sum(uses.values()) / capacity)
    shares: dict[str, float] = defaultdict(float)
    for task in tasks:
        shares[task.job.workload] += uses[task.key] / capacity / crowd
    harm = model.harm
    slow = {
        victim: sum(harm.get((victim, a), 0.0) * u for a, u in shares.items())
        for victim in shares
    }
    events: list[Event] = []
    reports = model.second % _REPORT_EVERY_S == 0 and not worker.silent
    for task in tasks:
        name = task.job.workload
        own = harm.get((name, name), 0.0) * uses[task.key] / capacity / crowd
        suffered = max(0.0, slow[name] - own)
        latency = _run_task(model, task, suffered, crowd)
        if reports:
            _report(model, worker, task, uses[task.key] / crowd, latency, now)
        if not task.announced:
            task.announced = True
            job, key = task.job, task.key
            events.append(TaskStarted(job, key.number, task.attempt, worker.info.id))
        ended = _end_task(model, worker, task, now)
        if ended is not None:
            events.append(ended)
    events += _kill_for_memory(model, worker)
    return events


def _run_task(model: Model, task: _Task, suffered: float, crowd: float) -> float:
    if not task.job.latency_critical:
        speed = task.share / (crowd * (1.0 + suffered))
        task.done_s += speed
        model.work += speed * task.truth.cores
        return 0.0
    level = model.levels[task.job.workload]
    ratio = (1.0 + level * suffered) * crowd**3
    model.latencies.append((ratio, level))
    return task.truth.base_ms * ratio


def _end_task(
    model: Model, worker: ModelWorker, task: _Task, now: float
) -> TaskEnded | None:
    outcome, detail = task.outcome, ""
    if now < task.ends_at:
        done = not task.job.latency_critical and task.done_s >= task.truth.run_s
        if not done or task.outcome == Outcome.FAILED:
            return None
        outcome = Outcome.DONE
    del worker.tasks[task.key]
    if outcome == Outcome.DONE:
        model.done += 1
    elif outcome == Outcome.EVICTED:
        kept = max(0.0, task.done_s - _RESUME_LOSS_S)
        model.work -= (task.done_s - kept) * task.truth.cores
        model.kept[task.key] = kept
    else:
        model.work -= task.done_s * task.truth.cores
        detail = "exec failed" if outcome == Outcome.FAILED else ""
    return TaskEnded(task.key, task.attempt, worker.info.id, outcome, detail)


def _kill_for_memory(model: Model, worker: ModelWorker) -> list[Event]:
    batch = [t for t in worker.tasks.values() if not t.job.latency_critical]
    used = sum(task.truth.memory_gb for task in worker.tasks.values())
    if used <= worker.info.capacity.memory_gb or not batch:
        return []
    task = max(batch, key=lambda t: (t.truth.memory_gb / t.job.size.memory_gb, t.key))
    del worker.tasks[task.key]
    model.killed += 1
    model.work -= task.done_s * task.truth.cores
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
    factor = 0.02 if worker.lying else 1.0
    event = UsageReported(
        worker.info.id,
        task.key,
        now,
        cores * source.gauss(1.0, 0.08) * factor,
        task.truth.memory_gb,
        max(0.0, latency * source.gauss(1.0, 0.12)) * factor,
    )
    _send(model, now + source.uniform(2.0, 8.0), event)
