"""What late usage reports teach: true sizes, harm, and which reports to doubt."""

from math import sqrt

from plantainyard.placement.accounting import (
    find_placement,
    list_residents,
    set_reserved,
)
from plantainyard.placement.events import UsageReported
from plantainyard.placement.harm import learn_harm, predict_harm
from plantainyard.placement.state import (
    JobState,
    Placement,
    PlacementState,
    WorkerState,
)
from plantainyard.work import Size

__all__ = [
    "estimate_size",
    "is_credible",
    "measure_exposures",
    "observe_run",
    "observe_usage",
]

_TRUST = 6.0
_CHANGE = 0.05


def is_credible(report: UsageReported, worker: WorkerState) -> bool:
    """Return whether a worker can have measured this.

    Notes
    -----
    Guards against lying reports, which show as negative or impossible amounts: they
    would teach sizes and harm that don't exist.
    """
    capacity = worker.info.capacity
    return (
        0.0 <= report.cores <= capacity.cores * 1.1
        and 0.0 <= report.memory_gb <= capacity.memory_gb * 1.1
        and 0.0 <= report.latency_ms < 1e7
    )


def estimate_size(owner: JobState, floor: float) -> Size:
    """Return the size to set aside: an upper estimate of use, shrunk to the declared.

    Parameters
    ----------
    owner : JobState
        The job with its sums of reports.
    floor : float
        Least share of the declared cores.
    """
    declared = owner.job.size
    count = owner.use_reports
    mean = owner.use_cores / count
    variance = max(0.0, owner.use_cores_square / count - mean * mean)
    upper = mean + 2.0 * sqrt(variance)
    known = count / (count + _TRUST)
    cores = declared.cores + known * (upper - declared.cores)
    return Size(
        max(cores, declared.cores * floor),
        max(declared.memory_gb, owner.use_memory),
        declared.accelerators,
    )


def observe_usage(state: PlacementState, report: UsageReported) -> None:
    """Learn from one report, at the time that it is about."""
    worker = state.workers.get(report.worker)
    if worker is None:
        return
    if not is_credible(report, worker):
        worker.distrust = min(1.0, worker.distrust + 0.2)
        return
    worker.distrust *= 0.98
    worker.last_report = max(worker.last_report, report.time_s)
    placement = find_placement(state, report.task)
    if placement is None or placement.worker != report.worker:
        return
    placement.cores_seen = report.cores
    _learn_size(state, placement, report)
    if report.latency_ms > 0.0 and placement.owner.job.latency_critical:
        _learn_latency(state, worker, placement, report)


def _learn_size(
    state: PlacementState, placement: Placement, report: UsageReported
) -> None:
    owner = placement.owner
    cores = report.cores / max(placement.share, 0.05)
    fading = 0.98 if owner.use_reports > 50 else 1.0
    owner.use_reports = int(owner.use_reports * fading) + 1
    owner.use_cores = owner.use_cores * fading + cores
    owner.use_cores_square = owner.use_cores_square * fading + cores * cores
    owner.use_memory = max(owner.use_memory * 0.999, report.memory_gb)
    if not state.rules.learns_sizes:
        return
    size = estimate_size(owner, state.settings.declared_floor)
    mean = owner.use_cores / owner.use_reports
    owner.expected = Size(mean, size.memory_gb, size.accelerators)
    old = owner.reserved
    if (
        abs(size.cores - old.cores) > _CHANGE * old.cores
        or abs(size.memory_gb - old.memory_gb) > _CHANGE * old.memory_gb
    ):
        set_reserved(state, owner, size)


def _learn_latency(
    state: PlacementState,
    worker: WorkerState,
    placement: Placement,
    report: UsageReported,
) -> None:
    owner = placement.owner
    exposures = measure_exposures(state, worker, placement, report.time_s)
    expected = 1.0 + sum(
        predict_harm(state.harm, owner.workload, other) * x
        for other, x in exposures.items()
    )
    if owner.base_ms == 0.0:
        owner.base_ms = report.latency_ms / expected
    error = report.latency_ms / expected - owner.base_ms
    owner.base_ms += error * (0.1 if error < 0.0 else 0.01)
    ratio = report.latency_ms / owner.base_ms
    before = worker.pressure.get(placement.key, ratio)
    worker.pressure[placement.key] = before + 0.5 * (ratio - before)
    if state.rules.learns_harm:
        learn_harm(state.harm, owner.workload, ratio - 1.0, exposures)


def measure_exposures(
    state: PlacementState, worker: WorkerState, placement: Placement, time_s: float
) -> dict[str, float]:
    """Return the share of the worker used by each other workload at `time_s`."""
    exposures: dict[str, float] = {}
    for span in list_residents(worker, time_s):
        if span.task == placement.key:
            continue
        other = worker.placed.get(span.task)
        owner = state.jobs.get(span.task.job)
        cores = other.cores if other else owner.expected.cores if owner else 0.0
        share = cores / worker.info.capacity.cores
        exposures[span.workload] = exposures.get(span.workload, 0.0) + share
    return exposures


def observe_run(
    state: PlacementState, placement: Placement, worker: WorkerState, now: float
) -> None:
    """Learn from the run time of a finished batch task how others slowed it."""
    owner = placement.owner
    if owner.job.latency_critical or placement.started_at is None:
        return
    if placement.evictions or placement.share < 1.0 or placement.attempt > 1:
        return
    run_s = now - placement.started_at
    middle = placement.started_at + run_s / 2.0
    exposures = measure_exposures(state, worker, placement, middle)
    expected = 1.0 + sum(
        predict_harm(state.harm, owner.workload, other) * x
        for other, x in exposures.items()
    )
    if owner.base_run_s == 0.0:
        owner.base_run_s = run_s / expected
    error = run_s / expected - owner.base_run_s
    owner.base_run_s += error * (0.1 if error < 0.0 else 0.02)
    if state.rules.learns_harm and owner.base_run_s > 0.0:
        learn_harm(
            state.harm, owner.workload, run_s / owner.base_run_s - 1.0, exposures
        )
