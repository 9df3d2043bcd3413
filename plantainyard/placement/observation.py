"""Estimates from delayed usage reports: task sizes and interference.

Implausible reports are ignored and lower the confidence in the worker that sent them.
"""

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
    """Return whether the values of a report are possible on the worker.

    Notes
    -----
    Guards against wrong reports with negative or impossible amounts, which would lead
    to wrong estimates of sizes and interference.
    """
    capacity = worker.info.capacity
    return (
        0.0 <= report.cores <= capacity.cores * 1.1
        and 0.0 <= report.memory_gb <= capacity.memory_gb * 1.1
        and 0.0 <= report.latency_ms < 1e7
    )


def estimate_sizes(job_state: JobState, floor: float) -> tuple[Size, Size]:
    """Return the size to reserve for a task and the expected size.

    Parameters
    ----------
    job_state : JobState
        State of the job, with the sums of its reports.
    floor : float
        Minimum share of the declared cores to reserve.

    Notes
    -----
    Both are shrunk towards the declared size while there are few reports. The reserved
    size is never less than ``floor`` of the declared cores, nor less than the declared
    memory. A task fits on a worker only if both the sum of reserved sizes and the sum
    of expected sizes fit.
    """
    declared = job_state.job.size
    count = job_state.usage_report_count
    weight = count / (count + _PRIOR_REPORTS)
    mean = job_state.usage_cores_sum / count
    variance = max(0.0, job_state.usage_cores_squared_sum / count - mean * mean)
    upper = declared.cores + weight * (mean + 2.0 * sqrt(variance) - declared.cores)
    expected = declared.cores + weight * (mean - declared.cores)
    cores = min(declared.cores, max(upper, declared.cores * floor))
    memory = max(declared.memory_gb, job_state.peak_memory_gb)
    return (
        Size(cores, memory, declared.accelerators),
        Size(expected, memory, declared.accelerators),
    )


def observe_usage(state: PlacementState, report: UsageReported) -> None:
    """Update sizes and interference from one report, as of the time of measurement."""
    worker = state.workers.get(report.worker)
    if worker is None:
        return
    if not is_plausible(report, worker):
        worker.distrust = min(1.0, worker.distrust + 0.2)
        return
    worker.distrust *= 0.98
    worker.last_report_at = max(worker.last_report_at, report.time_s)
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
    fading = 0.98 if job_state.usage_report_count > 50 else 1.0
    job_state.usage_report_count = job_state.usage_report_count * fading + 1.0
    job_state.usage_cores_sum = job_state.usage_cores_sum * fading + cores
    job_state.usage_cores_squared_sum = (
        job_state.usage_cores_squared_sum * fading + cores * cores
    )
    job_state.peak_memory_gb = max(job_state.peak_memory_gb * 0.999, report.memory_gb)
    if not state.rules.learns_sizes:
        return
    reserved, expected = estimate_sizes(job_state, state.settings.declared_floor)
    if job_state.job.latency_critical:
        # A runner without requests reports no latency but may still report its declared
        # cores. It counts as idle, since batch work can't slow down any caller there.
        has_no_latency = float(report.latency_ms == 0.0)
        job_state.idle_fraction += _IDLE_SMOOTHING * (
            has_no_latency - job_state.idle_fraction
        )
        mean = job_state.usage_cores_sum / job_state.usage_report_count
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
    previous = worker.latency_ratios.get(placement.key, ratio)
    worker.latency_ratios[placement.key] = previous + 0.5 * (ratio - previous)
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
    """Update the interference estimates from the run time of a finished batch task.

    Notes
    -----
    Declared run times are wrong by a factor specific to each job. This offset is
    estimated along with the interference and subtracted before the next task of the job
    is used.
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
