"""Replay of a trace against a policy, with a clock that steps by one second."""

import json
import random
import sys
from typing import Any

import numpy as np
from absl import flags
from tabulate import tabulate

from bench.generator import Record, load_trace
from bench.model import (
    Model,
    ModelWorker,
    Truth,
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
    """State of one replay: the policy under test, the model and the measures."""

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
        rules = make_rules(policy, self.model.harm)
        self.knows_truth = policy == "oracle"
        self.state = create_state(settings, weights, rules)
        self.jobs: dict[str, tuple[Job, Truth, float]] = {}
        self.counts = {"evictions": 0, "throttles": 0, "quarantines": 0, "starts": 0}
        self.given_up: list[str] = []
        self.quarantined: list[str] = []
        self.first_starts: dict[tuple[str, int], float] = {}
        self.cancelled: set[str] = set()
        self.waits_down = 0.0


def replay(
    records: list[Record],
    policy: str,
    weights: Weights = Weights(),  # noqa: B008
    settings: PlacementSettings = PlacementSettings(),  # noqa: B008
    seed: int = 0,
) -> dict[str, Any]:
    """Feed a trace to a policy and return the measures.

    Parameters
    ----------
    records : list of Record
        The trace.
    policy : str
        A key of `bench.policies.POLICIES`.
    weights, settings
        Of the policy.
    seed : int
        Of the noise of the reports.

    Returns
    -------
    dict
        ``p99`` (99th percentile of runners' latency relative to the undisturbed one,
        weighted by requests; a runner that does not run counts as 10), ``throughput``
        (cores of useful batch work, on average), ``evictions``, ``urgent_s`` (greatest
        and 99th percentile wait of urgent tasks for their first start), counts of
        starts, limits and quarantines, jobs given up, and broken promises.
    """
    run = Replay(records, policy, weights, settings, seed)
    position = 0
    second = 0
    while second < run.horizon:
        now = float(second)
        while position < len(run.records) and run.records[position]["at"] <= now:
            _feed_record(run, run.records[position], now)
            position += 1
        for event in advance(run.model, now):
            _feed(run, event, now)
        _feed(run, Tick(), now)
        _count_waiting_services(run)
        second += 1
    result = _measure(run)
    return {**result, "broken_promises": list_broken_promises(records[0], result)}


def list_broken_promises(header: Record, result: dict[str, Any]) -> list[str]:
    """Return the measures that exceed what the trace promises."""
    promises: dict[str, float] = header.get("promises", {})
    return [name for name, limit in promises.items() if result[name] > limit]


def _feed(run: Replay, event: Event, now: float) -> None:
    if isinstance(event, TaskStarted):
        key = (event.job.id, event.number)
        run.first_starts.setdefault(key, now)
    for action in step(run.state, event, now):
        _apply(run, action, now)


def _feed_record(run: Replay, record: Record, now: float) -> None:
    kind = record["kind"]
    if kind == "job":
        job = decode_job(record["job"])
        truth = Truth(**record["truth"])
        run.jobs[job.id] = (job, truth, now)
        _feed(run, TasksWaiting(job, 0, job.task_count, since=now), now)
        if run.knows_truth:
            _tell_truth(run, job, truth)
    elif kind == "workers":
        infos = tuple(_decode_worker(data) for data in record["workers"])
        run.model.workers = {info.id: ModelWorker(info) for info in infos}
        _feed(run, WorkersChanged(infos), now)
    elif kind == "quotas":
        shares = {team: Size(*size) for team, size in record["shares"].items()}
        _feed(run, QuotasChanged(shares), now)
    elif kind == "load":
        run.model.levels[record["workload"]] = record["level"]
    elif kind == "fault":
        apply_fault(run.model, record["fault"], record["workers"], now)
    elif kind == "cancel":
        run.cancelled.update(record["jobs"])
        _feed(run, Cancelled(tuple(record["jobs"])), now)


def _tell_truth(run: Replay, job: Job, truth: Truth) -> None:
    owner = run.state.jobs[job.id]
    owner.expected = Size(truth.cores, truth.memory_gb, job.size.accelerators)
    owner.reserved = Size(
        job.size.cores,
        max(job.size.memory_gb, truth.memory_gb),
        job.size.accelerators,
    )


def _decode_worker(data: dict[str, Any]) -> WorkerInfo:
    return WorkerInfo(**{**data, "capacity": Size(**data["capacity"])})


def _apply(run: Replay, action: Action, now: float) -> None:
    model = run.model
    if isinstance(action, Place):
        job, truth, _ = run.jobs[action.task.job]
        run.counts["starts"] += 1
        start(model, action.worker, job, truth, action.task, action.attempt, now)
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
    run.waits_down += missing
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
    truly_bad = {job.id for job, truth, _ in run.jobs.values() if truth.fails}
    return {
        "p99": percentile(run.model.latencies, 0.99),
        "p50": percentile(run.model.latencies, 0.5),
        "throughput": run.model.work / run.horizon,
        "evictions": run.counts["evictions"],
        "urgent_max_s": max(waits),
        "urgent_p99_s": float(np.percentile(waits, 99)),
        "done": run.model.done,
        "starts": run.counts["starts"],
        "throttles": run.counts["throttles"],
        "quarantines": sorted(set(run.quarantined)),
        "given_up": len(run.given_up),
        "given_up_wrongly": len(set(run.given_up) - truly_bad),
        "overcommits": run.model.overcommits,
        "double_runs": run.model.doubles,
        "killed_for_memory": run.model.killed,
        "service_seconds_missing": run.waits_down,
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
    """Replay a trace as the command line says; print the measures."""
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
