"""What late usage reports teach: true sizes, harm, and which reports to doubt."""

from math import sqrt

from plantainyard.placement.accounting import (
    find_placement,
    list_residents,
    set_reserved,
)
from plantainyard.placement.events import UsageReported
from plantainyard.placement.harm import learn_harm, predict_time
from plantainyard.placement.state import (
    JobState,
    Placement,
    PlacementState,
    WorkerState,
)
from plantainyard.work import Size

__all__ = [
    "estimate_sizes",
    "is_credible",
    "measure_exposures",
    "observe_run",
    "observe_usage",
]

_IDLE_STEP = 0.1
_TRUST = 6.0
_CHANGE = 0.05
_RUN_NOISE = 0.3


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


def estimate_sizes(owner: JobState, floor: float) -> tuple[Size, Size]:
    """Return the size to set aside for a task and the size to expect.

    Parameters
    ----------
    owner : JobState
        The job with its sums of reports.
    floor : float
        Least share of the declared cores that is set aside.

    Notes
    -----
    Both are shrunk towards the declared size while reports are few. What is set aside
    is never less than ``floor`` of the declared cores nor than the declared memory; a
    worker holds a task only if both sums, of set aside and of expected, fit.
    """
    declared = owner.job.size
    count = owner.use_reports
    known = count / (count + _TRUST)
    mean = owner.use_cores / count
    variance = max(0.0, owner.use_cores_square / count - mean * mean)
    upper = declared.cores + known * (mean + 2.0 * sqrt(variance) - declared.cores)
    expected = declared.cores + known * (mean - declared.cores)
    cores = min(declared.cores, max(upper, declared.cores * floor))
    memory = max(declared.memory_gb, owner.use_memory)
    return (
        Size(cores, memory, declared.accelerators),
        Size(expected, memory, declared.accelerators),
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
    if not placement.owner.job.latency_critical:
        _add_sample(state, worker, placement, report)
    elif report.latency_ms > 0.0:
        _learn_latency(state, worker, placement, report)


def _learn_size(
    state: PlacementState, placement: Placement, report: UsageReported
) -> None:
    owner = placement.owner
    cores = report.cores / max(placement.share, 0.05)
    fading = 0.98 if owner.use_reports > 50 else 1.0
    owner.use_reports = owner.use_reports * fading + 1.0
    owner.use_cores = owner.use_cores * fading + cores
    owner.use_cores_square = owner.use_cores_square * fading + cores * cores
    owner.use_memory = max(owner.use_memory * 0.999, report.memory_gb)
    if not state.rules.learns_sizes:
        return
    reserved, expected = estimate_sizes(owner, state.settings.declared_floor)
    if owner.job.latency_critical:
        # A runner without requests reports no latency, and may report its declared
        # cores all the same: nobody waits there whom batch work could slow down.
        without = float(report.latency_ms == 0.0)
        owner.idle += _IDLE_STEP * (without - owner.idle)
        mean = owner.use_cores / owner.use_reports
        owner.load = (1.0 - owner.idle) * mean / owner.job.size.cores
    if _differ(reserved, owner.reserved) or _differ(expected, owner.expected):
        set_reserved(state, owner, reserved, expected)


def _differ(new: Size, old: Size) -> bool:
    return (
        abs(new.cores - old.cores) > _CHANGE * old.cores
        or abs(new.memory_gb - old.memory_gb) > _CHANGE * old.memory_gb
    )


def _add_sample(
    state: PlacementState,
    worker: WorkerState,
    placement: Placement,
    report: UsageReported,
) -> None:
    placement.samples += 1
    exposures = measure_exposures(state, worker, placement, report.time_s)
    for other, x in exposures.items():
        placement.exposures[other] = placement.exposures.get(other, 0.0) + x


def _learn_latency(
    state: PlacementState,
    worker: WorkerState,
    placement: Placement,
    report: UsageReported,
) -> None:
    owner = placement.owner
    if owner.unit_ms == 0.0:
        owner.unit_ms = report.latency_ms
    time = report.latency_ms / owner.unit_ms
    ratio = time / predict_time(state.harm, owner.workload)
    before = worker.pressure.get(placement.key, ratio)
    worker.pressure[placement.key] = before + 0.5 * (ratio - before)
    if not state.rules.learns_harm:
        return
    load = report.cores / max(owner.job.size.cores, 1e-9)
    present = measure_exposures(state, worker, placement, report.time_s)
    exposures = {other: x * load for other, x in present.items()}
    learn_harm(state.harm, owner.workload, time, exposures)


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
        cores = owner.expected.cores * (other.share if other else 1.0) if owner else 0.0
        share = max(0.0, cores) / worker.info.capacity.cores
        exposures[span.workload] = exposures.get(span.workload, 0.0) + share
    return exposures


def observe_run(state: PlacementState, placement: Placement, now: float) -> None:
    """Learn from the run time of a finished batch task how others slowed it.

    Notes
    -----
    Declared run times are off by a factor of the job's own. It is estimated beside the
    harm and taken off before the next task of the job is learnt from.
    """
    owner = placement.owner
    if owner.job.latency_critical or placement.started_at is None:
        return
    if placement.evictions or placement.share < 1.0 or placement.attempt > 1:
        return
    run_s = now - placement.started_at
    if not placement.samples:
        return
    exposures = {
        other: x / placement.samples for other, x in placement.exposures.items()
    }
    offset, variance = owner.run_offset
    time = run_s / max(owner.job.run_s, 1e-3) - offset
    if not state.rules.learns_harm:
        return
    error = learn_harm(state.harm, owner.workload, time, exposures, variance)
    gain = variance / (variance + _RUN_NOISE**2)
    owner.run_offset = (offset + gain * error, variance * (1.0 - gain))
