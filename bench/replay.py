"""Replay of a trace against a policy, in time steps of one second."""

import json
import random
import sys
from typing import Any

import numpy as np
from absl import flags
from tabulate import tabulate

from bench.generator import Record, load_trace
from bench.model import (
    JobBehavior,
    Model,
    ModelWorker,
    advance,
    apply_fault,
    checkpoint,
    start,
    stop,
)
from bench.policies import POLICIES, make_rules
from plantainyard.placement import (
    Action,
    Cancelled,
    Checkpoint,
    Event,
    GiveUp,
    Place,
    PlacementSettings,
    Quarantine,
    QuotasChanged,
    Stop,
    TaskStarted,
    TasksWaiting,
    Throttle,
    Tick,
    Weights,
    WorkersChanged,
    create_state,
    load_weights,
    step,
)
from plantainyard.work import Job, Size, WorkerInfo, decode_job

__all__ = ["Replay", "list_broken_promises", "percentile", "replay", "run_replay"]


class Replay:
    """State of one replay: the policy under test, the model and the measurements."""

    def __init__(
        self,
        records: list[Record],
        policy: str,
        weights: Weights,
        settings: PlacementSettings,
        seed: int,
    ):
        header = records[0]
        self.records = records[1:]
        self.horizon: float = header["horizon_s"]
        self.model = Model(header["harm"], random.Random(seed))
        rules = make_rules(policy, self.model.interference)
        self.knows_behavior = policy == "oracle"
        self.state = create_state(settings, weights, rules)
        self.jobs: dict[str, tuple[Job, JobBehavior, float]] = {}
        self.counts = {"evictions": 0, "throttles": 0, "quarantines": 0, "starts": 0}
        self.given_up: list[str] = []
        self.quarantined: list[str] = []
        self.first_starts: dict[tuple[str, int], float] = {}
        self.cancelled: set[str] = set()
        self.missing_service_s = 0.0


def replay(
    records: list[Record],
    policy: str,
    weights: Weights = Weights(),  # noqa: B008
    settings: PlacementSettings = PlacementSettings(),  # noqa: B008
    seed: int = 0,
) -> dict[str, Any]:
    """Replay a trace against a policy and return the measurements.

    Parameters
    ----------
    records : list of Record
        The trace.
    policy : str
        A key of `bench.policies.POLICIES`.
    weights, settings
        Weights and settings of the policy.
    seed : int
        Seed of the noise in reports.

    Returns
    -------
    dict
        ``p99`` (99th percentile of runners' latency relative to the latency without
        interference, weighted by requests; a runner that does not run counts as 10),
        ``throughput`` (mean number of cores doing useful batch work), ``evictions``,
        ``urgent_max_s`` and ``urgent_p99_s`` (maximum and 99th percentile of the time
        until the first start of an urgent task), counts of starts, throttles and
        quarantines, abandoned jobs, and broken promises.
    """
    run = Replay(records, policy, weights, settings, seed)
    position = 0
    second = 0
    while second < run.horizon:
        now = float(second)
        while position < len(run.records) and run.records[position]["at"] <= now:
            _process_record(run, run.records[position], now)
            position += 1
        for event in advance(run.model, now):
            _process_event(run, event, now)
        _process_event(run, Tick(), now)
        _count_waiting_services(run)
        second += 1
    result = _measure(run)
    return {**result, "broken_promises": list_broken_promises(records[0], result)}


def list_broken_promises(header: Record, result: dict[str, Any]) -> list[str]:
    """Return the names of the measurements that exceed the trace's promised bounds."""
    promises: dict[str, float] = header.get("promises", {})
    return [name for name, limit in promises.items() if result[name] > limit]


def _process_event(run: Replay, event: Event, now: float) -> None:
    if isinstance(event, TaskStarted):
        key = (event.job.id, event.number)
        run.first_starts.setdefault(key, now)
    for action in step(run.state, event, now):
        _apply(run, action, now)


def _process_record(run: Replay, record: Record, now: float) -> None:
    kind = record["kind"]
    if kind == "job":
        job = decode_job(record["job"])
        behavior = JobBehavior(**record["truth"])
        run.jobs[job.id] = (job, behavior, now)
        _process_event(run, TasksWaiting(job, 0, job.task_count, since=now), now)
        if run.knows_behavior:
            _reveal_behavior(run, job, behavior)
    elif kind == "workers":
        infos = tuple(_decode_worker(data) for data in record["workers"])
        run.model.workers = {info.id: ModelWorker(info) for info in infos}
        _process_event(run, WorkersChanged(infos), now)
    elif kind == "quotas":
        shares = {team: Size(*size) for team, size in record["shares"].items()}
        _process_event(run, QuotasChanged(shares), now)
    elif kind == "load":
        run.model.load_levels[record["workload"]] = record["level"]
    elif kind == "fault":
        apply_fault(run.model, record["fault"], record["workers"], now)
    elif kind == "cancel":
        run.cancelled.update(record["jobs"])
        _process_event(run, Cancelled(tuple(record["jobs"])), now)


def _reveal_behavior(run: Replay, job: Job, behavior: JobBehavior) -> None:
    owner = run.state.jobs[job.id]
    owner.expected = Size(behavior.cores, behavior.memory_gb, job.size.accelerators)
    owner.reserved = Size(
        job.size.cores,
        max(job.size.memory_gb, behavior.memory_gb),
        job.size.accelerators,
    )


def _decode_worker(data: dict[str, Any]) -> WorkerInfo:
    return WorkerInfo(**{**data, "capacity": Size(**data["capacity"])})


def _apply(run: Replay, action: Action, now: float) -> None:
    model = run.model
    if isinstance(action, Place):
        job, behavior, _ = run.jobs[action.task.job]
        run.counts["starts"] += 1
        start(model, action.worker, job, behavior, action.task, action.attempt, now)
    elif isinstance(action, Checkpoint):
        run.counts["evictions"] += 1
        checkpoint(model, action.worker, action.task, now)
    elif isinstance(action, Throttle):
        run.counts["throttles"] += 1
        task = model.workers[action.worker].tasks.get(action.task)
        if task is not None:
            task.share = action.share
    elif isinstance(action, Stop):
        stop(model, action.worker, action.task, now)
    elif isinstance(action, GiveUp):
        run.given_up.append(action.job)
    elif isinstance(action, Quarantine):
        run.counts["quarantines"] += 1
        run.quarantined.append(action.worker)


def _count_waiting_services(run: Replay) -> None:
    running = sum(
        task.job.latency_critical
        for worker in run.model.workers.values()
        for task in worker.tasks.values()
    )
    wanted = sum(
        job.task_count for job, _, _ in run.jobs.values() if job.latency_critical
    )
    missing = max(0, wanted - running)
    run.missing_service_s += missing
    run.model.latencies.extend([(10.0, 1.0)] * missing)


def percentile(values: list[tuple[float, float]], share: float) -> float:
    """Return the weighted percentile of (value, weight) pairs."""
    if not values:
        return 0.0
    table = np.array(values)
    table = table[table[:, 0].argsort()]
    weight = np.cumsum(table[:, 1])
    index = np.searchsorted(weight, share * weight[-1])
    return float(table[min(int(index), len(table) - 1), 0])


def _list_urgent_waits(run: Replay) -> list[float]:
    waits: list[float] = []
    for job, _, arrived in run.jobs.values():
        if not job.urgent or job.id in run.cancelled or arrived > run.horizon - 15.0:
            continue
        for number in range(job.task_count):
            begun = run.first_starts.get((job.id, number), run.horizon)
            waits.append(begun - arrived)
    return waits


def _measure(run: Replay) -> dict[str, Any]:
    waits = _list_urgent_waits(run) or [0.0]
    failing_jobs = {job.id for job, behavior, _ in run.jobs.values() if behavior.fails}
    return {
        "p99": percentile(run.model.latencies, 0.99),
        "p50": percentile(run.model.latencies, 0.5),
        "throughput": run.model.useful_work / run.horizon,
        "evictions": run.counts["evictions"],
        "urgent_max_s": max(waits),
        "urgent_p99_s": float(np.percentile(waits, 99)),
        "done": run.model.done_tasks,
        "starts": run.counts["starts"],
        "throttles": run.counts["throttles"],
        "quarantines": sorted(set(run.quarantined)),
        "given_up": len(run.given_up),
        "given_up_wrongly": len(set(run.given_up) - failing_jobs),
        "overcommits": run.model.overcommits,
        "double_runs": run.model.double_runs,
        "killed_for_memory": run.model.killed_for_memory,
        "service_seconds_missing": run.missing_service_s,
    }


def _define_flags() -> flags.FlagValues:
    values = flags.FlagValues()
    flags.DEFINE_string(
        "trace",
        "awash/quiet",
        "file, or deployment/scenario to generate",
        flag_values=values,
    )
    flags.DEFINE_enum(
        "policy", "own", sorted(POLICIES), "deciding policy", flag_values=values
    )
    flags.DEFINE_string(
        "weights", "", "TOML file with a table weights", flag_values=values
    )
    flags.DEFINE_integer(
        "seed", 1, "of a generated trace and of report noise", flag_values=values
    )
    flags.DEFINE_enum(
        "output", "text", ["text", "json"], "form of output", flag_values=values
    )
    return values


def run_replay(argv: list[str]) -> int:
    """Replay the trace named by the flags, print figures and return the exit status."""
    values = _define_flags()
    try:
        values(argv)
        weights = load_weights(values.weights) if values.weights else Weights()
        records = load_trace(values.trace, values.seed)
    except (flags.Error, OSError, ValueError) as error:
        print(error, file=sys.stderr)
        return 2
    result = replay(records, values.policy, weights, seed=values.seed)
    if values.output == "json":
        print(json.dumps(result))
        return 0
    print(tabulate(result.items(), tablefmt="plain"))
    return 0
