"""A model of the users' runners: room, leases, paces, and harm between images.

A serving task behaves like a queue; `find_tail` gives its tail. Its load swings, and
backfilling work stretches its service time by one plus, for each image, a weight times
the part of the processors that it uses. Reports show tails smoothed over less than half
a second.
"""

import math

from bench.dispatch.site import Run, Site, Worker
from bench.dispatch.workload import Truth
from plantainyard.batch.tasks import TaskKey
from plantainyard.batch.values import Step
from plantainyard.dispatch.events import OrderKind, SendOrder
from plantainyard.platform.runners import (
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
    "order",
    "report",
]

SMOOTHING_S = 0.42
"""Time over which tails are smoothed in reports."""

STARTUP_S = 0.4
"""Time until a long-running task is at work."""

STOP_S = 0.2
"""Time that a stop takes; the platform allows 0.4."""

CHECKPOINT_S = 1.0
"""Work between two checkpoints."""

RESTORE_S = 0.25
"""Time until a task that resumes from a checkpoint is at work."""

QUIET_USE, QUIET_HARM = 0.68, 0.25
"""Parts of its processor time, and of its harm, that a task has in a quiet phase."""

BUSY_S, QUIET_S = 3.0, 1.3
"""Mean lengths of busy and of quiet phases."""

LEAST_IDLE = 0.02
"""Part of a queue's time that is free at the least: tails have a bound."""

AVERAGING_S = 0.25
"""Mean age of the processor time that reports show: they cover half a second."""

NOISE = 0.04
"""Relative error of a reported tail."""


def order(
    site: Site, worker: Worker, asked: SendOrder, spec: Step, truth: Truth, at: float
) -> str:
    """Carry an order out and return its outcome."""
    run = worker.runs.get(asked.task)
    if asked.kind == OrderKind.START:
        if asked.run <= worker.settled.get(asked.task, 0):
            return OrderOutcome.STALE_RUN
        if run is None:
            worker.lease_until = max(worker.lease_until, asked.lease_until_ms / 1000)
            worker.runs[asked.task] = _begin(site, worker, asked, spec, truth, at)
            _note_broken(site, worker, asked.task, at)
        return OrderOutcome.DONE
    if asked.kind == OrderKind.STOP:
        if run is None or run.number != asked.run:
            before = worker.settled.get(asked.task, 0)
            worker.settled[asked.task] = max(before, asked.run)
        else:
            run.stops_at = min(run.stops_at, at + STOP_S)
        return OrderOutcome.DONE
    if run is None or run.number != asked.run:
        return OrderOutcome.STALE_RUN
    run.pace = asked.percent / 100
    return OrderOutcome.DONE


def _note_broken(site: Site, worker: Worker, task: TaskKey, at: float) -> None:
    places = site.places.setdefault(task, [])
    places.append(worker.name)
    if len(places) > 1:
        site.broken.append(f"{at:.3f} {task} is at work at {places}")
    specs = [run.spec for run in worker.runs.values()]
    cpu = sum(spec.resources.cpu for spec in specs if not spec.backfill)
    memory = sum(spec.resources.memory for spec in specs)
    if cpu > worker.cpu or memory > worker.memory:
        site.broken.append(f"{at:.3f} {worker.name} holds {cpu} and {memory}")


def crash(site: Site, worker: Worker) -> None:
    """End everything on a runner without a trace."""
    for key in worker.runs:
        site.places[key].remove(worker.name)
    worker.runs.clear()


def _begin(
    site: Site, worker: Worker, asked: SendOrder, spec: Step, truth: Truth, at: float
) -> Run:
    length_s = truth.run_s.get(asked.task, math.inf)
    saved_s = float(asked.checkpoint) if asked.checkpoint else 0.0
    ready_at = at + (STARTUP_S if spec.long_running else RESTORE_S * (saved_s > 0))
    failing = worker.condition.fails_all or truth.hopeless
    fails = failing or site.luck.random() < truth.fails
    run = Run(
        asked.task,
        asked.run,
        spec,
        truth,
        length_s - saved_s,
        length_s,
        saved_s,
        ready_at,
        fails,
    )
    if spec.backfill:
        run.turns_at = at + site.luck.expovariate(1 / BUSY_S)
    return run


def advance(site: Site, worker: Worker, at: float, step_s: float) -> bool:
    """Let a runner work for `step_s` until `at`; return whether a run has ended."""
    if not worker.runs:
        return False
    if at > worker.lease_until:
        for run in list(worker.runs.values()):
            _end(site, worker, run, "lapsed")
        return True
    runs = list(worker.runs.values())
    _share_processors(site, worker, runs, at)
    _move_tails(site, worker, runs, at, step_s)
    before = worker.ended
    moved = 1 - math.exp(-step_s / AVERAGING_S)
    for run in runs:
        run.reported_use += moved * (run.use - run.reported_use)
        _advance_run(site, worker, run, at, step_s)
    return worker.ended > before


def _share_processors(site: Site, worker: Worker, runs: list[Run], at: float) -> None:
    """Set how much processor time each run uses now, in thousandths of a core."""
    taken = wanted = 0.0
    for run in runs:
        cpu = run.spec.resources.cpu
        if run.spec.backfill:
            _turn_phase(site, run, at)
            run.use = cpu * run.pace * (QUIET_USE if run.quiet else 1.0)
            wanted += cpu * run.pace
        else:
            load = _find_load(site, run, at) if run.spec.long_running else 1.0
            run.use = cpu * load
            taken += run.use
    crowding = min(1.0, max(0.0, worker.cpu - taken) / wanted) if wanted else 1.0
    if crowding < 1.0:
        for run in runs:
            if run.spec.backfill:
                run.use *= crowding


def _turn_phase(site: Site, run: Run, at: float) -> None:
    if at >= run.turns_at:
        run.quiet = not run.quiet
        mean_s = QUIET_S if run.quiet else BUSY_S
        run.turns_at = at + site.luck.expovariate(1 / mean_s)


def _find_load(site: Site, run: Run, at: float) -> float:
    serving = site.customer.serving
    angle = 2 * math.pi * at / serving.swing_s + run.truth.swing_at
    return serving.load * (1 + serving.swing * math.sin(angle))


def _move_tails(
    site: Site, worker: Worker, runs: list[Run], at: float, step_s: float
) -> None:
    """Move the smoothed tails of serving tasks, and count who is over its target."""
    served = [run for run in runs if run.spec.long_running and run.at_work_at <= at]
    if not served:
        return
    loads: dict[str, float] = {}
    for run in runs:
        if run.spec.backfill:
            harm = run.use * (QUIET_HARM / QUIET_USE if run.quiet else 1.0) / worker.cpu
            loads[run.spec.image] = loads.get(run.spec.image, 0.0) + harm
    kept = math.exp(-step_s / SMOOTHING_S)
    ratio = site.customer.serving.target_ratio
    for run in served:
        if not run.spec.target_ms:
            _give_credit(site, run, at, step_s)
            continue
        pressure = sum(
            site.weights.get((run.spec.image, image), 0.0) * load
            for image, load in loads.items()
        )
        load = _find_load(site, run, at)
        own = find_tail(load, 1.0, ratio)
        tail = find_tail(load, 1.0 + pressure, ratio)
        run.tail = kept * run.tail + (1 - kept) * tail if run.tail else tail
        if own > 1.0:
            site.over_own += step_s
        elif tail > 1.0:
            site.over_others += step_s
            _give_credit(site, run, at, -3 * step_s)
        else:
            _give_credit(site, run, at, step_s)


def _give_credit(site: Site, run: Run, at: float, seconds: float) -> None:
    place = (run.key.job_id, int(at))
    site.credit[place] = site.credit.get(place, 0.0) + seconds


def find_tail(load: float, stretch: float, ratio: float) -> float:
    """Return a serving task's tail in targets.

    Parameters
    ----------
    load : float
        Its load on its own.
    stretch : float
        How many times as long its work takes.
    ratio : float
        Its target as a multiple of its tail without any load.

    Examples
    --------
    >>> find_tail(0.5, 1.0, 5.0)
    0.4
    """
    return stretch / max(LEAST_IDLE, 1 - load * stretch) / ratio


def _advance_run(
    site: Site, worker: Worker, run: Run, at: float, step_s: float
) -> None:
    if at >= run.stops_at:
        _end(site, worker, run, "stopped")
        return
    if run.spec.long_running or run.at_work_at > at:
        return
    condition = worker.condition
    speed = 0.0 if condition.stands_still else 1.0 / condition.slow
    if run.spec.backfill:
        quiet = QUIET_USE if run.quiet else 1.0
        speed *= run.use / max(1.0, run.spec.resources.cpu * quiet)
    run.left_s -= step_s * speed
    run.spent_s += step_s * speed
    if run.fails and (condition.fails_all or run.spent_s > run.length_s / 2):
        _end(site, worker, run, "failed")
    elif run.left_s <= 0:
        _end(site, worker, run, "done")


def _end(site: Site, worker: Worker, run: Run, how: str) -> None:
    del worker.runs[run.key]
    site.places[run.key].remove(worker.name)
    worker.settled[run.key] = max(run.number, worker.settled.get(run.key, 0))
    worker.ended += 1
    saved = find_checkpoint(run, how)
    worker.ends.append(RunEnd(worker.ended, run.key, run.number, how, saved))
    if how != "done":
        done_s = run.length_s - run.left_s if not run.spec.long_running else 0.0
        kept_s = float(saved) if saved else 0.0
        site.wasted += max(0.0, done_s - kept_s) * run.spec.resources.cpu / 1000


def find_checkpoint(run: Run, how: str = "") -> str:
    """Return a run's newest checkpoint: the seconds of its work that it saves."""
    if not run.spec.saves_progress:
        return ""
    done_s = run.length_s - run.left_s
    if how != "stopped":
        done_s -= done_s % CHECKPOINT_S
    best_s = max(done_s, run.saved_s)
    return f"{best_s:.3f}" if best_s > 0 else ""


def report(site: Site, worker: Worker, at: float) -> RunnerReport:
    """Return a runner's report of all that runs and has ended there."""
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
        return 100 if run.at_work_at <= at else 0
    return int(100 * (1 - run.left_s / run.length_s))


def _measure_run(site: Site, run: Run) -> float:
    if run.spec.long_running and run.spec.target_ms:
        return round(run.tail * run.spec.target_ms * site.luck.gauss(1, NOISE))
    return run.reported_use
