"""Model of the users' runners: capacity, leases, paces and interference of images.

A serving task behaves like a queue, whose tail latency `find_tail` computes. Its load
oscillates. Backfilling tasks stretch its service time by a factor of one plus, for each
image, a weight times the share of the processors that the image uses. Reports contain
tails that are smoothed over less than half a second.
"""

import math

from bench.dispatch.site import Run, Site, Worker
from bench.dispatch.workload import JobBehavior
from plantainyard.batch.tasks import TaskKey
from plantainyard.batch.values import Step
from plantainyard.dispatch.actions import OrderKind, SendOrder
from plantainyard.platform.runner_messages import (
    OrderOutcome,
    ReportedRun,
    RunEnd,
    RunnerReport,
)

__all__ = [
    "advance",
    "crash",
    "find_checkpoint",
    "find_tail",
    "execute_order",
    "make_report",
]

SMOOTHING_S = 0.42
"""Time constant of the smoothing of reported tails, in seconds."""

STARTUP_S = 0.4
"""Time from the start of a long-running task until it is ready, in seconds."""

STOP_S = 0.2
"""Time that a stop takes, in seconds; the platform allows 0.4."""

CHECKPOINT_S = 1.0
"""Work between two checkpoints, in seconds."""

RESTORE_S = 0.25
"""Time until a task that resumes from a checkpoint continues, in seconds."""

QUIET_CPU_SHARE, QUIET_INTERFERENCE_SHARE = 0.68, 0.25
"""Shares of a task's processor time and interference that remain in a quiet phase."""

BUSY_S, QUIET_S = 3.0, 1.3
"""Mean lengths of busy and of quiet phases, in seconds."""

MIN_IDLE_SHARE = 0.02
"""Minimum idle share of a queue; it bounds the tail of an overloaded task."""

AVERAGING_S = 0.25
"""Mean age of reported processor time, in seconds: reports cover half a second."""

REPORT_NOISE = 0.04
"""Relative standard deviation of the error of a reported tail."""


def execute_order(
    site: Site,
    worker: Worker,
    order: SendOrder,
    spec: Step,
    behavior: JobBehavior,
    at: float,
) -> str:
    """Execute an order and return its outcome."""
    run = worker.runs.get(order.task)
    if order.kind == OrderKind.START:
        if order.run <= worker.last_ended_runs.get(order.task, 0):
            return OrderOutcome.STALE_RUN
        if run is None:
            worker.lease_until = max(worker.lease_until, order.lease_until_ms / 1000)
            worker.runs[order.task] = _create_run(
                site, worker, order, spec, behavior, at
            )
            _record_violations(site, worker, order.task, at)
        return OrderOutcome.DONE
    if order.kind == OrderKind.STOP:
        if run is None or run.number != order.run:
            before = worker.last_ended_runs.get(order.task, 0)
            worker.last_ended_runs[order.task] = max(before, order.run)
        else:
            run.stops_at = min(run.stops_at, at + STOP_S)
        return OrderOutcome.DONE
    if run is None or run.number != order.run:
        return OrderOutcome.STALE_RUN
    run.pace = order.percent / 100
    return OrderOutcome.DONE


def _record_violations(site: Site, worker: Worker, task: TaskKey, at: float) -> None:
    names = site.running_at.setdefault(task, [])
    names.append(worker.name)
    if len(names) > 1:
        site.violations.append(f"{at:.3f} {task} is running on {names}")
    specs = [run.spec for run in worker.runs.values()]
    cpu = sum(spec.resources.cpu for spec in specs if not spec.backfill)
    memory = sum(spec.resources.memory for spec in specs)
    if cpu > worker.cpu or memory > worker.memory:
        site.violations.append(
            f"{at:.3f} {worker.name} exceeds its capacity: cpu {cpu}, memory {memory}"
        )


def crash(site: Site, worker: Worker) -> None:
    """Terminate all runs on a runner without recording their ends."""
    for key in worker.runs:
        site.running_at[key].remove(worker.name)
    worker.runs.clear()


def _create_run(
    site: Site,
    worker: Worker,
    order: SendOrder,
    spec: Step,
    behavior: JobBehavior,
    at: float,
) -> Run:
    length_s = behavior.run_s.get(order.task, math.inf)
    saved_s = float(order.checkpoint) if order.checkpoint else 0.0
    ready_at = at + (STARTUP_S if spec.long_running else RESTORE_S * (saved_s > 0))
    failing = worker.condition.fails_all or behavior.always_fails
    fails = failing or site.rng.random() < behavior.failure_rate
    run = Run(
        order.task,
        order.run,
        spec,
        behavior,
        length_s - saved_s,
        length_s,
        saved_s,
        ready_at,
        fails,
    )
    if spec.backfill:
        run.phase_ends_at = at + site.rng.expovariate(1 / BUSY_S)
    return run


def advance(site: Site, worker: Worker, at: float, step_s: float) -> bool:
    """Advance a runner by `step_s` to time `at`; return whether a run has ended."""
    if not worker.runs:
        return False
    if at > worker.lease_until:
        for run in list(worker.runs.values()):
            _end_run(site, worker, run, "lapsed")
        return True
    runs = list(worker.runs.values())
    _allocate_cpu(site, worker, runs, at)
    _update_tails(site, worker, runs, at, step_s)
    before = worker.end_count
    new_share = 1 - math.exp(-step_s / AVERAGING_S)
    for run in runs:
        run.reported_cpu_use += new_share * (run.cpu_use - run.reported_cpu_use)
        _advance_run(site, worker, run, at, step_s)
    return worker.end_count > before


def _allocate_cpu(site: Site, worker: Worker, runs: list[Run], at: float) -> None:
    """Set the processor time that each run uses now, in thousandths of a core."""
    used = requested = 0.0
    for run in runs:
        cpu = run.spec.resources.cpu
        if run.spec.backfill:
            _switch_phase(site, run, at)
            run.cpu_use = cpu * run.pace * (QUIET_CPU_SHARE if run.quiet else 1.0)
            requested += cpu * run.pace
        else:
            load = _find_load(site, run, at) if run.spec.long_running else 1.0
            run.cpu_use = cpu * load
            used += run.cpu_use
    backfill_share = (
        min(1.0, max(0.0, worker.cpu - used) / requested) if requested else 1.0
    )
    if backfill_share < 1.0:
        for run in runs:
            if run.spec.backfill:
                run.cpu_use *= backfill_share


def _switch_phase(site: Site, run: Run, at: float) -> None:
    if at >= run.phase_ends_at:
        run.quiet = not run.quiet
        mean_s = QUIET_S if run.quiet else BUSY_S
        run.phase_ends_at = at + site.rng.expovariate(1 / mean_s)


def _find_load(site: Site, run: Run, at: float) -> float:
    serving = site.customer.serving
    angle = 2 * math.pi * at / serving.load_period_s + run.behavior.load_phase
    return serving.load * (1 + serving.load_amplitude * math.sin(angle))


def _update_tails(
    site: Site, worker: Worker, runs: list[Run], at: float, step_s: float
) -> None:
    """Update the smoothed tails of serving tasks and the time above their targets."""
    serving_runs = [run for run in runs if run.spec.long_running and run.ready_at <= at]
    if not serving_runs:
        return
    loads: dict[str, float] = {}
    for run in runs:
        if run.spec.backfill:
            relative_use = (
                run.cpu_use
                * (QUIET_INTERFERENCE_SHARE / QUIET_CPU_SHARE if run.quiet else 1.0)
                / worker.cpu
            )
            loads[run.spec.image] = loads.get(run.spec.image, 0.0) + relative_use
    kept = math.exp(-step_s / SMOOTHING_S)
    ratio = site.customer.serving.target_ratio
    for run in serving_runs:
        if not run.spec.target_ms:
            _add_credit(site, run, at, step_s)
            continue
        interference = sum(
            site.weights.get((run.spec.image, image), 0.0) * load
            for image, load in loads.items()
        )
        load = _find_load(site, run, at)
        own = find_tail(load, 1.0, ratio)
        tail = find_tail(load, 1.0 + interference, ratio)
        run.tail = kept * run.tail + (1 - kept) * tail if run.tail else tail
        if own > 1.0:
            site.over_own += step_s
        elif tail > 1.0:
            site.over_others += step_s
            _add_credit(site, run, at, -3 * step_s)
        else:
            _add_credit(site, run, at, step_s)


def _add_credit(site: Site, run: Run, at: float, seconds: float) -> None:
    credit_key = (run.key.job_id, int(at))
    site.credit[credit_key] = site.credit.get(credit_key, 0.0) + seconds


def find_tail(load: float, stretch: float, ratio: float) -> float:
    """Return the tail latency of a serving task as a multiple of its target.

    Parameters
    ----------
    load : float
        Utilization of the task without interference.
    stretch : float
        Factor by which interference prolongs its service time.
    ratio : float
        The target as a multiple of the tail latency without load.

    Examples
    --------
    >>> find_tail(0.5, 1.0, 5.0)
    0.4
    """
    return stretch / max(MIN_IDLE_SHARE, 1 - load * stretch) / ratio


def _advance_run(
    site: Site, worker: Worker, run: Run, at: float, step_s: float
) -> None:
    if at >= run.stops_at:
        _end_run(site, worker, run, "stopped")
        return
    if run.spec.long_running or run.ready_at > at:
        return
    condition = worker.condition
    speed = 0.0 if condition.stalled else 1.0 / condition.slowdown
    if run.spec.backfill:
        quiet = QUIET_CPU_SHARE if run.quiet else 1.0
        speed *= run.cpu_use / max(1.0, run.spec.resources.cpu * quiet)
    run.remaining_s -= step_s * speed
    run.progress_s += step_s * speed
    if run.will_fail and (condition.fails_all or run.progress_s > run.length_s / 2):
        _end_run(site, worker, run, "failed")
    elif run.remaining_s <= 0:
        _end_run(site, worker, run, "done")


def _end_run(site: Site, worker: Worker, run: Run, how: str) -> None:
    del worker.runs[run.key]
    site.running_at[run.key].remove(worker.name)
    worker.last_ended_runs[run.key] = max(
        run.number, worker.last_ended_runs.get(run.key, 0)
    )
    worker.end_count += 1
    saved = find_checkpoint(run, how)
    worker.ends.append(RunEnd(worker.end_count, run.key, run.number, how, saved))
    if how != "done":
        done_s = run.length_s - run.remaining_s if not run.spec.long_running else 0.0
        kept_s = float(saved) if saved else 0.0
        site.wasted += max(0.0, done_s - kept_s) * run.spec.resources.cpu / 1000


def find_checkpoint(run: Run, how: str = "") -> str:
    """Return the latest checkpoint of a run: the seconds of work that it saves."""
    if not run.spec.saves_progress:
        return ""
    done_s = run.length_s - run.remaining_s
    if how != "stopped":
        done_s -= done_s % CHECKPOINT_S
    best_s = max(done_s, run.saved_s)
    return f"{best_s:.3f}" if best_s > 0 else ""


def make_report(site: Site, worker: Worker, at: float) -> RunnerReport:
    """Return a runner's report of its current runs and unacknowledged ends."""
    rows = [
        ReportedRun(
            run.key,
            run.number,
            find_checkpoint(run),
            _find_percent(run, at),
            _measure_run(site, run),
        )
        for run in worker.runs.values()
    ]
    return RunnerReport(round(at * 1000), worker.incarnation, rows, list(worker.ends))


def _find_percent(run: Run, at: float) -> int:
    if run.spec.long_running:
        return 100 if run.ready_at <= at else 0
    return int(100 * (1 - run.remaining_s / run.length_s))


def _measure_run(site: Site, run: Run) -> float:
    if run.spec.long_running and run.spec.target_ms:
        return round(run.tail * run.spec.target_ms * site.rng.gauss(1, REPORT_NOISE))
    return run.reported_cpu_use
