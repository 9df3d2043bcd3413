"""What late usage reports teach: true sizes, harm, and which reports to doubt."""

from math import sqrt

from plantainyard.placement.accounting import (
    find_placement,
    list_occupants,
    update_task_sizes,
)
from plantainyard.placement.events import UsageReported
from plantainyard.placement.interference import predict_base_time, update_interference
from plantainyard.placement.state import (
    JobState,
    Placement,
    PlacementState,
    WorkerState,
)
from plantainyard.work import Size

__all__ = [
    "estimate_sizes",
    "is_plausible",
    "measure_exposures",
    "observe_run",
    "observe_usage",
]

_IDLE_SMOOTHING = 0.1
_PRIOR_REPORTS = 6.0
_MIN_RELATIVE_CHANGE = 0.05
_RUN_TIME_NOISE = 0.3


def is_plausible(report: UsageReported, worker: WorkerState) -> bool:
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


def estimate_sizes(job_state: JobState, floor: float) -> tuple[Size, Size]:
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
    declared = job_state.job.size
    count = job_state.usage_reports
    known = count / (count + _PRIOR_REPORTS)
    mean = job_state.usage_cores / count
    variance = max(0.0, job_state.usage_cores_squared / count - mean * mean)
    upper = declared.cores + known * (mean + 2.0 * sqrt(variance) - declared.cores)
    expected = declared.cores + known * (mean - declared.cores)
    cores = min(declared.cores, max(upper, declared.cores * floor))
    memory = max(declared.memory_gb, job_state.peak_memory_gb)
    return (
        Size(cores, memory, declared.accelerators),
        Size(expected, memory, declared.accelerators),
    )


def observe_usage(state: PlacementState, report: UsageReported) -> None:
    """Learn from one report, at the time that it is about."""
    worker = state.workers.get(report.worker)
    if worker is None:
        return
    if not is_plausible(report, worker):
        worker.distrust = min(1.0, worker.distrust + 0.2)
        return
    worker.distrust *= 0.98
    worker.last_report = max(worker.last_report, report.time_s)
    placement = find_placement(state, report.task)
    if placement is None or placement.worker != report.worker:
        return
    placement.reported_cores = report.cores
    _update_size_estimate(state, placement, report)
    if not placement.job_state.job.latency_critical:
        _add_exposure_sample(state, worker, placement, report)
    elif report.latency_ms > 0.0:
        _update_latency_estimate(state, worker, placement, report)


def _update_size_estimate(
    state: PlacementState, placement: Placement, report: UsageReported
) -> None:
    job_state = placement.job_state
    cores = report.cores / max(placement.share, 0.05)
    fading = 0.98 if job_state.usage_reports > 50 else 1.0
    job_state.usage_reports = job_state.usage_reports * fading + 1.0
    job_state.usage_cores = job_state.usage_cores * fading + cores
    job_state.usage_cores_squared = (
        job_state.usage_cores_squared * fading + cores * cores
    )
    job_state.peak_memory_gb = max(job_state.peak_memory_gb * 0.999, report.memory_gb)
    if not state.rules.learns_sizes:
        return
    reserved, expected = estimate_sizes(job_state, state.settings.declared_floor)
    if job_state.job.latency_critical:
        # A runner without requests reports no latency, and may report its declared
        # cores all the same: nobody waits there whom batch work could slow down.
        without = float(report.latency_ms == 0.0)
        job_state.idle_fraction += _IDLE_SMOOTHING * (without - job_state.idle_fraction)
        mean = job_state.usage_cores / job_state.usage_reports
        job_state.utilization = (
            (1.0 - job_state.idle_fraction) * mean / job_state.job.size.cores
        )
    if _differs(reserved, job_state.reserved) or _differs(expected, job_state.expected):
        update_task_sizes(state, job_state, reserved, expected)


def _differs(new: Size, old: Size) -> bool:
    return (
        abs(new.cores - old.cores) > _MIN_RELATIVE_CHANGE * old.cores
        or abs(new.memory_gb - old.memory_gb) > _MIN_RELATIVE_CHANGE * old.memory_gb
    )


def _add_exposure_sample(
    state: PlacementState,
    worker: WorkerState,
    placement: Placement,
    report: UsageReported,
) -> None:
    placement.exposure_samples += 1
    exposures = measure_exposures(state, worker, placement, report.time_s)
    for other, x in exposures.items():
        placement.exposures[other] = placement.exposures.get(other, 0.0) + x


def _update_latency_estimate(
    state: PlacementState,
    worker: WorkerState,
    placement: Placement,
    report: UsageReported,
) -> None:
    job_state = placement.job_state
    if job_state.reference_latency_ms == 0.0:
        job_state.reference_latency_ms = report.latency_ms
    time = report.latency_ms / job_state.reference_latency_ms
    ratio = time / predict_base_time(state.interference, job_state.workload)
    before = worker.latency_ratios.get(placement.key, ratio)
    worker.latency_ratios[placement.key] = before + 0.5 * (ratio - before)
    if not state.rules.learns_interference:
        return
    load = report.cores / max(job_state.job.size.cores, 1e-9)
    present = measure_exposures(state, worker, placement, report.time_s)
    exposures = {other: x * load for other, x in present.items()}
    update_interference(state.interference, job_state.workload, time, exposures)


def measure_exposures(
    state: PlacementState, worker: WorkerState, placement: Placement, time_s: float
) -> dict[str, float]:
    """Return the share of the worker used by each other workload at `time_s`."""
    exposures: dict[str, float] = {}
    for span in list_occupants(worker, time_s):
        if span.task == placement.key:
            continue
        other = worker.placed.get(span.task)
        job_state = state.jobs.get(span.task.job)
        cores = (
            job_state.expected.cores * (other.share if other else 1.0)
            if job_state
            else 0.0
        )
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
    job_state = placement.job_state
    if job_state.job.latency_critical or placement.started_at is None:
        return
    if placement.evictions or placement.share < 1.0 or placement.attempt > 1:
        return
    run_s = now - placement.started_at
    if not placement.exposure_samples:
        return
    exposures = {
        other: x / placement.exposure_samples
        for other, x in placement.exposures.items()
    }
    offset, variance = job_state.run_time_offset
    time = run_s / max(job_state.job.run_s, 1e-3) - offset
    if not state.rules.learns_interference:
        return
    error = update_interference(
        state.interference, job_state.workload, time, exposures, variance
    )
    gain = variance / (variance + _RUN_TIME_NOISE**2)
    job_state.run_time_offset = (offset + gain * error, variance * (1.0 - gain))
