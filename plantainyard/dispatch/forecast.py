"""Forecast of when a job that arrives now would start and end, for each queue.

Handles bursts over a nearly full service: whether a job can still end in time follows
from the work that is placed before it and from the rate at which work of its kind was
completed lately. All simplifications make the forecast too favourable rather than too
pessimistic, because jobs are rejected by it: work that arrives later and goes first is
left out, as are the later waits of a job of several steps.

Neither long-running jobs nor scheduled ones have a forecast. Jobs whose tasks require a
label wait for a few runners, of which the unit's rate says nothing, and jobs of both
kinds of tasks wait for two kinds of capacity; these have none either.
"""

from bisect import bisect_right
from collections import Counter, defaultdict
from collections.abc import Iterable, Sequence
from functools import partial
from itertools import accumulate
from statistics import median_low
from typing import NamedTuple

from plantainyard.batch.values import Submission
from plantainyard.dispatch.load import (
    NO_RUNNERS_LOAD,
    SLOT_SIZES,
    WORK_SIZES,
    Load,
    QueueForecast,
)
from plantainyard.dispatch.model import Job, Phase, Task
from plantainyard.dispatch.queue import (
    CERTAIN_SHARE,
    LATE_FACTOR,
    measure_remaining_work,
)
from plantainyard.dispatch.run_times import RunTimePrior, list_priors
from plantainyard.dispatch.state import Dispatcher
from plantainyard.dispatch.throughput import (
    AT_ONCE_S,
    Rates,
    RunningWork,
    WorkKind,
    find_rates,
    get_placed_work,
    record_completed_work,
    record_placed_work,
    update_saturation,
)

__all__ = [
    "Expectation",
    "UnitForecast",
    "combine_forecasts",
    "expect_end",
    "find_forecast_age",
    "find_kind",
    "forecast_queues",
    "record_completion",
]

START_DELAY_S = 0.15
"""Time from the placement of a task to the answer of its runner: an append and an
order, and a tick."""


class UnitForecast(NamedTuple):
    """What the owner of a unit knows about the wait of a queue's jobs in any unit.

    Attributes
    ----------
    open_jobs : int
        Number of the queue's open jobs in this unit.
    lowest : sequence of QueueForecast
        By kind of job, the lowest figures of all known units; a kind is missing if
        some unit forecasts no delay for it.
    age_s : float
        Largest age of the figures.
    own_age_s : float
        Age of the figures of this unit.
    free_size : int
        Size of the largest task on reserved processors, in thousandths of a core, for
        which a unit has free slots.
    has_unused : bool
        Whether all work of some unit, with what waits, is less than its processors.
    run_times : sequence of RunTimePrior
        What this unit has learned of the run times of the queue's steps.
    """

    open_jobs: int
    lowest: Sequence[QueueForecast] = ()
    age_s: float = 0.0
    own_age_s: float = 0.0
    free_size: int = 0
    has_unused: bool = False
    run_times: Sequence[RunTimePrior] = ()


class Expectation(NamedTuple):
    """When a job would start, and the time until its end relative to its objective."""

    wait_s: float = 0.0
    ratio: float = 0.0


class _OpenJob(NamedTuple):
    """The figures of an open job that enter the forecast.

    Attributes
    ----------
    key : tuple of int and float
        Priority and remaining work, by which jobs that are equally late are placed.
    kind : WorkKind
        Kind of its work.
    queue : str
        Its queue.
    waiting_work : float
        Part of its work of which no task has been placed.
    running : RunningWork
        What its running tasks hold.
    path_s : float
        Estimated time from the start of its first waiting step to its end.
    allowed_s : float
        Its objective.
    deadline, useful_until : float
        As in `Job`.
    """

    key: tuple[int, float]
    kind: WorkKind
    queue: str
    waiting_work: float
    running: RunningWork
    path_s: float
    allowed_s: float
    deadline: float
    useful_until: float


def find_kind(submission: Submission) -> WorkKind | None:
    """Return the kind of a job's work, or None if there is no forecast for it."""
    if submission.times or submission.piece:
        return None
    if any(step.long_running or step.requires for step in submission.steps):
        return None
    kinds = {step.backfill for step in submission.steps}
    return WorkKind(submission.service, kinds.pop()) if len(kinds) == 1 else None


def record_completion(
    state: Dispatcher, task: Task, earlier_work: float, now: float
) -> None:
    """Record that a task has ended, whose job had `earlier_work` left before.

    Notes
    -----
    The work is the difference of two measurements of the same job, so that it has the
    unit of the work ahead however that is estimated.
    """
    if state.limits.policy.admission is None:
        return
    job = task.step.job
    kind = find_kind(job.submission)
    if kind is None:
        return
    throughput = state.throughput
    # The end of a task may show that the rest of its step takes longer than estimated.
    work = max(0.0, earlier_work - measure_remaining_work(job))
    run_s = CERTAIN_SHARE * job.remaining_ms[task.step.number] / 1000
    started_at = now if task.resolved_at is None else task.resolved_at
    is_late = started_at - START_DELAY_S + run_s > job.deadline
    record_completed_work(throughput, kind, is_late, work, now)
    if _is_placed_at_once(job, now):
        queue = job.submission.queue
        record_placed_work(throughput, queue, kind.backfill, earlier_work, now)


def _is_placed_at_once(job: Job, now: float) -> bool:
    """Return whether a job that has just arrived has no task that could start."""
    if now - job.received_at > AT_ONCE_S or not job.steps:
        return False
    return not any(
        task.phase == Phase.WAITING
        for step in job.steps.values()
        if all(_is_step_done(job, step.occurrence, n) for n in step.spec.after)
        for task in step.tasks
    )


def _is_step_done(job: Job, occurrence: int, number: int) -> bool:
    step = job.steps[occurrence, number]
    return step.done_count == len(step.tasks)


def forecast_queues(
    state: Dispatcher, load: Load, now: float
) -> tuple[QueueForecast, ...] | None:
    """Return the forecasts for all queues with open jobs; None without `admission`.

    Parameters
    ----------
    state : Dispatcher
        State of the unit; what is waiting is recorded in it.
    load : Load
        The unit's load, just measured.
    now : float
        The dispatcher's clock.

    Notes
    -----
    Addresses bursts over a nearly full unit; see the module. The cost is a pass over
    the jobs, and only while tasks wait one over their tasks and a sort.
    """
    if state.limits.policy.admission is None:
        return None
    jobs = [j for j in state.jobs.values() if not (j.final_state or j.cancelled)]
    counts = Counter(job.submission.queue for job in jobs)
    by_kind = _group_by_kind(jobs, load)
    described = {
        k: [_describe_job(j, k) for j in found] for k, found in by_kind.items()
    }
    waiting = {k: [r for r in rows if r.waiting_work] for k, rows in described.items()}
    update_saturation(
        state.throughput,
        [kind for kind, rows in waiting.items() if rows],
        [kind for kind, rows in waiting.items() if any(_is_late(r, now) for r in rows)],
        now,
    )
    forecasts = []
    for kind, rows in described.items():
        _note_placements(state, by_kind[kind], kind, now)
        rates = find_rates(state.throughput, kind, _sum_running(rows), now)
        if rates is not None and rates.work > 0:
            forecasts += _forecast_kind(state, kind, rows, rates, now)
    known = {row.queue for row in forecasts}
    idle = [QueueForecast(q, n) for q, n in counts.items() if q not in known]
    return (*(row._replace(open_jobs=counts[row.queue]) for row in forecasts), *idle)


def _group_by_kind(jobs: Iterable[Job], load: Load) -> dict[WorkKind, list[Job]]:
    """Return the jobs by kind; kinds of which no task can be waiting are left out."""
    by_kind: dict[WorkKind, list[Job]] = defaultdict(list)
    if not (load.waiting or load.waiting_backfill):
        return by_kind
    for job in jobs:
        kind = find_kind(job.submission)
        if kind is not None and (
            load.waiting_backfill if kind.backfill else load.waiting
        ):
            by_kind[kind].append(job)
    return by_kind


def _sum_running(rows: Iterable[_OpenJob]) -> RunningWork:
    running = [row.running for row in rows]
    return RunningWork(
        sum(item.cores for item in running),
        max((item.longest_s for item in running), default=0.0),
    )


def _note_placements(
    state: Dispatcher, jobs: list[Job], kind: WorkKind, now: float
) -> None:
    for job in jobs:
        if _is_placed_at_once(job, now):
            work = measure_remaining_work(job)
            queue = job.submission.queue
            record_placed_work(state.throughput, queue, kind.backfill, work, now)


def _describe_job(job: Job, kind: WorkKind) -> _OpenJob:
    unfinished = waiting = running = 0
    path_ms = run_ms = 0.0
    for step in job.steps.values():
        cpu = max(step.spec.resources.cpu, 1)
        phases = [task.phase for task in step.tasks]
        waiting_tasks = phases.count(Phase.WAITING)
        running_tasks = phases.count(Phase.RUNNING)
        unfinished += (len(phases) - step.done_count) * cpu
        waiting += waiting_tasks * cpu
        running += running_tasks * cpu
        if waiting_tasks:
            path_ms = max(path_ms, job.remaining_ms[step.number])
        if running_tasks:
            run_ms = max(run_ms, job.remaining_ms[step.number])
    work = measure_remaining_work(job)
    return _OpenJob(
        (job.submission.priority, work),
        kind,
        job.submission.queue,
        work * waiting / unfinished if unfinished else 0.0,
        RunningWork(running / 1000, run_ms / 1000),
        path_ms / 1000,
        (job.useful_until - job.deadline) / (LATE_FACTOR - 1),
        job.deadline,
        job.useful_until,
    )


def _forecast_kind(
    state: Dispatcher, kind: WorkKind, rows: list[_OpenJob], rates: Rates, now: float
) -> list[QueueForecast]:
    """Return the forecasts for the queues that have jobs of a kind."""
    ahead = sorted(row for row in rows if row.waiting_work)
    in_time = [row for row in ahead if _is_in_time(row, now)]
    late = [row for row in ahead if _is_late(row, now)]
    lasting = [row for row in late if _is_late(row, now + rates.late_waits_s)]
    by_queue: dict[str, list[_OpenJob]] = defaultdict(list)
    for row in rows:
        by_queue[row.queue].append(row)
    forecasts = []
    for queue, members in by_queue.items():
        priority = min(row.key[0] for row in members)
        placed = get_placed_work(state.throughput, queue, kind.backfill, now)
        sizes = [(priority, size) for size in WORK_SIZES]
        work_in_time = _sum_work_ahead(in_time, sizes)
        work_late = _sum_work_ahead(late, sizes)
        work_lasting = _sum_work_ahead(lasting, sizes)
        waits = _clear_up_to(placed, [work / rates.work for work in work_in_time])
        late_waits = _clear_up_to(
            placed, list(map(partial(_find_late_wait, rates), work_late, work_lasting))
        )
        typical = _find_typical(members)
        expected = expect_end(
            waits, late_waits, typical.key[1], typical.path_s, typical.allowed_s
        )
        forecasts.append(
            QueueForecast(
                queue,
                len(members),
                round(expected.wait_s, 2),
                round(expected.ratio, 2),
                kind.backfill,
                waits,
                late_waits,
            )
        )
    return forecasts


def _find_typical(members: list[_OpenJob]) -> _OpenJob:
    """Return the job of median size, of those that wait if there are any."""
    waiting = [row for row in members if row.waiting_work] or members
    return median_low(waiting)


def _is_in_time(row: _OpenJob, now: float) -> bool:
    return now + CERTAIN_SHARE * row.path_s <= row.deadline


def _is_late(row: _OpenJob, now: float) -> bool:
    """Return whether a job is late, but still of use."""
    end = now + CERTAIN_SHARE * row.path_s
    return row.deadline < end <= row.useful_until


def _sum_work_ahead(
    ahead: list[_OpenJob], keys: list[tuple[int, float]]
) -> list[float]:
    """Return, for each sort key, the work of the sorted jobs that are placed first."""
    sums = list(accumulate((row.waiting_work for row in ahead), initial=0.0))
    found = [row.key for row in ahead]
    return [sums[bisect_right(found, key)] for key in keys]


def _find_late_wait(rates: Rates, work: float, lasting_work: float) -> float:
    """Return the time until a late job would start.

    Parameters
    ----------
    rates : Rates
        What is completed per second.
    work, lasting_work : float
        Late work that is placed before the job, and the part of it that is still of use
        after as much time as late work has been waiting already.

    Notes
    -----
    Late work gets only what work in time leaves. How long a burst goes on isn't known;
    it is assumed to go on for as long as late work has been waiting already.
    """
    served = rates.late_work * rates.late_waits_s
    if served >= work:
        return work / rates.late_work if work else 0.0
    return rates.late_waits_s + max(0.0, lasting_work - served) / rates.work


def _clear_up_to(placed: float, waits_s: list[float]) -> tuple[float, ...]:
    """Return the waits by `WORK_SIZES`, none up to the size that was placed at once."""
    waits = tuple(
        0.0 if size <= placed else round(wait_s, 2)
        for size, wait_s in zip(WORK_SIZES, waits_s, strict=True)
    )
    return waits if any(waits) else ()


def expect_end(
    waits_s: Sequence[float],
    late_waits_s: Sequence[float],
    work: float,
    path_s: float,
    allowed_s: float,
) -> Expectation:
    """Return when a job is expected to start and end, by the waits for its size.

    Parameters
    ----------
    waits_s, late_waits_s : sequence of float
        As in `QueueForecast`.
    work : float
        The job's work in core-seconds; the next smaller size counts.
    path_s : float
        The job's longest chain of dependent work.
    allowed_s : float
        The job's objective.

    Examples
    --------
    >>> waits = (0.0,) * 6 + (9.0,) * 11
    >>> expect_end(waits, (), 1.0, 1.0, 2.0)
    Expectation(wait_s=9.0, ratio=4.85)
    >>> expect_end(waits, (), 0.5, 1.0, 2.0)
    Expectation(wait_s=0.0, ratio=0.35)
    """
    index = bisect_right(WORK_SIZES, work) - 1
    run_s = CERTAIN_SHARE * path_s
    wait_s = _get_wait(waits_s, index)
    if wait_s + run_s > allowed_s:
        wait_s = max(wait_s, _get_wait(late_waits_s, index))
    return Expectation(wait_s, (wait_s + run_s) / max(allowed_s, 0.001))


def _get_wait(waits_s: Sequence[float], index: int) -> float:
    # Instances of other versions may forecast for other sizes.
    if index < 0 or len(waits_s) != len(WORK_SIZES):
        return 0.0
    return waits_s[index]


def combine_forecasts(state: Dispatcher, queue: str, now: float) -> UnitForecast | None:
    """Return what is known of a queue in all units, or None if one forecasts nothing.

    Notes
    -----
    Units without runners are left out. So are those whose owners don't answer, as no
    job can be handed over to them. May be called from any thread.
    """
    own = state.load
    others = list(state.other_loads.values())
    if own.queues is None or any(load.queues is None for load in others):
        return None
    loads = [load for load in (own, *others) if load[:5] != NO_RUNNERS_LOAD[:5]]
    own_age_s = now - state.load_measured_at
    return UnitForecast(
        max((row.open_jobs for row in own.queues if row.queue == queue), default=0),
        [
            row
            for backfill in (False, True)
            if (row := _find_lowest(loads, queue, backfill)) is not None
        ],
        round(max(own_age_s, _find_age(state, others, now)), 3),
        round(own_age_s, 3),
        max((_find_free_size(load) for load in loads), default=0),
        any(_has_unused_cpu(load) for load in loads),
        list_priors(state.run_times, queue),
    )


def find_forecast_age(state: Dispatcher, now: float) -> float | None:
    """Return the largest age of the figures; None if this owner computes none.

    Notes
    -----
    May be called from any thread.
    """
    if state.load.queues is None:
        return None
    others = list(state.other_loads.values())
    return max(now - state.load_measured_at, _find_age(state, others, now))


def _find_age(state: Dispatcher, others: list[Load], now: float) -> float:
    """Return the largest age of the figures of other units; zero if there are none."""
    if not others:
        return 0.0
    return now - state.other_loads_at + max(load.measured_s_ago for load in others)


def _find_lowest(loads: list[Load], queue: str, backfill: bool) -> QueueForecast | None:
    """Return the lowest figures of all units, or None if one forecasts no delay."""
    found = [_find_row(load, queue, backfill) for load in loads]
    rows = [row for row in found if row is not None and row.waits_s]
    if not rows or len(rows) < len(found):
        return None
    return QueueForecast(
        queue,
        0,
        min(row.wait_s for row in rows),
        min(row.stretch_ratio for row in rows),
        backfill,
        tuple(map(min, zip(*(row.waits_s for row in rows), strict=False))),
        tuple(map(min, zip(*(row.late_waits_s for row in rows), strict=False))),
    )


def _find_row(load: Load, queue: str, backfill: bool) -> QueueForecast | None:
    rows = load.queues or ()
    return next((r for r in rows if (r.queue, r.backfill) == (queue, backfill)), None)


def _find_free_size(load: Load) -> int:
    """Return the size of the largest task for which a unit has a free slot."""
    if len(load.slots) != len(SLOT_SIZES):
        return load.gap
    free = (
        size
        for size, slots in zip(SLOT_SIZES, load.slots, strict=True)
        if slots * size >= load.ending + size
    )
    largest = max(free, default=0)
    # Larger tasks have no slots counted.
    return max(largest, load.gap if load.gap > SLOT_SIZES[-1] else 0)


def _has_unused_cpu(load: Load) -> bool:
    demand = load.reserved + load.waiting + load.backfill + load.waiting_backfill
    return demand < 1.0
