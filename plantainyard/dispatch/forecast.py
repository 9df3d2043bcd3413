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
from collections import defaultdict
from collections.abc import Iterable, Sequence
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
from plantainyard.dispatch.model import Job, Phase
from plantainyard.dispatch.queue import (
    CERTAIN_SHARE,
    LATE_FACTOR,
    measure_remaining_work,
)
from plantainyard.dispatch.state import Dispatcher
from plantainyard.dispatch.throughput import (
    PLACED_AT_ONCE_S,
    RunningWork,
    WorkKind,
    find_rate,
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
    """

    open_jobs: int
    lowest: Sequence[QueueForecast] = ()
    age_s: float = 0.0
    own_age_s: float = 0.0
    free_size: int = 0
    has_unused: bool = False


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
    state: Dispatcher, job: Job, earlier_work: float, now: float
) -> None:
    """Record that tasks of a job have ended, which had `earlier_work` left before.

    Notes
    -----
    The work is the difference of two measurements of the same job, so that it has the
    unit of the work ahead however that is estimated.
    """
    kind = find_kind(job.submission)
    if state.limits.policy.admission is None or kind is None:
        return
    throughput = state.throughput
    work = earlier_work - measure_remaining_work(job)
    record_completed_work(throughput, kind, work, now)
    if _is_placed_at_once(job, now):
        queue = job.submission.queue
        record_placed_work(throughput, queue, kind.backfill, earlier_work, now)


def _is_placed_at_once(job: Job, now: float) -> bool:
    """Return whether a job that has just arrived has no task that could start."""
    if now - job.received_at > PLACED_AT_ONCE_S or not job.steps:
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


def forecast_queues(state: Dispatcher, now: float) -> tuple[QueueForecast, ...] | None:
    """Return the forecasts for all queues with open jobs; None without `admission`.

    Notes
    -----
    Addresses bursts over a nearly full unit; see the module. The cost is a pass over
    the tasks of all open jobs and a sort of the jobs.
    """
    if state.limits.policy.admission is None:
        return None
    jobs = [j for j in state.jobs.values() if not (j.final_state or j.cancelled)]
    counts: dict[str, int] = defaultdict(int)
    for job in jobs:
        counts[job.submission.queue] += 1
    by_kind: dict[WorkKind, list[Job]] = defaultdict(list)
    for job in jobs:
        kind = find_kind(job.submission)
        if kind is not None:
            by_kind[kind].append(job)
    described = {
        k: [_describe_job(j, k) for j in found] for k, found in by_kind.items()
    }
    waiting = [k for k, rows in described.items() if any(r.waiting_work for r in rows)]
    update_saturation(state.throughput, waiting, now)
    forecasts = []
    for kind, rows in described.items():
        _note_placements(state, by_kind[kind], kind, now)
        running = _measure_running(by_kind[kind])
        rate = find_rate(state.throughput, kind, running, now)
        if rate:
            forecasts += _forecast_kind(state, kind, rows, rate, now)
    known = {row.queue for row in forecasts}
    idle = [QueueForecast(q, n) for q, n in counts.items() if q not in known]
    return (*(row._replace(open_jobs=counts[row.queue]) for row in forecasts), *idle)


def _note_placements(
    state: Dispatcher, jobs: list[Job], kind: WorkKind, now: float
) -> None:
    for job in jobs:
        if _is_placed_at_once(job, now):
            work = measure_remaining_work(job)
            queue = job.submission.queue
            record_placed_work(state.throughput, queue, kind.backfill, work, now)


def _describe_job(job: Job, kind: WorkKind) -> _OpenJob:
    unfinished = waiting = 0
    path_ms = 0.0
    for step in job.steps.values():
        cpu = max(step.spec.resources.cpu, 1)
        count = sum(task.phase == Phase.WAITING for task in step.tasks)
        unfinished += (len(step.tasks) - step.done_count) * cpu
        waiting += count * cpu
        if count:
            path_ms = max(path_ms, job.remaining_ms[step.number])
    work = measure_remaining_work(job)
    return _OpenJob(
        (job.submission.priority, work),
        kind,
        job.submission.queue,
        work * waiting / unfinished if unfinished else 0.0,
        path_ms / 1000,
        (job.useful_until - job.deadline) / (LATE_FACTOR - 1),
        job.deadline,
        job.useful_until,
    )


def _measure_running(jobs: Iterable[Job]) -> RunningWork:
    """Return the cores in use by jobs and the longest estimated time of a run."""
    cores = run_s = 0.0
    for job in jobs:
        for step in job.steps.values():
            active = sum(task.phase in Phase.ACTIVE for task in step.tasks)
            if active:
                cores += active * max(step.spec.resources.cpu, 1) / 1000
                run_s = max(run_s, job.remaining_ms[step.number] / 1000)
    return RunningWork(cores, run_s)


def _forecast_kind(
    state: Dispatcher, kind: WorkKind, rows: list[_OpenJob], rate: float, now: float
) -> list[QueueForecast]:
    """Return the forecasts for the queues that have jobs of a kind."""
    ahead = sorted(row for row in rows if row.waiting_work)
    in_time = [row for row in ahead if _is_in_time(row, now)]
    useful = [row for row in ahead if _can_be_useful(row, now)]
    in_time_ends = _simulate(in_time, rate)
    useful_ends = _simulate(useful, rate, now)
    by_queue: dict[str, list[_OpenJob]] = defaultdict(list)
    for row in rows:
        by_queue[row.queue].append(row)
    forecasts = []
    for queue, members in by_queue.items():
        priority = min(row.key[0] for row in members)
        placed = get_placed_work(state.throughput, queue, kind.backfill, now)
        waits = _list_waits(in_time, in_time_ends, priority, placed)
        late_waits = _list_waits(useful, useful_ends, priority, placed)
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


def _can_be_useful(row: _OpenJob, now: float) -> bool:
    return now + CERTAIN_SHARE * row.path_s <= row.useful_until


def _simulate(
    ahead: list[_OpenJob], rate: float, now: float | None = None
) -> list[float]:
    """Return the times until jobs that are placed in this order have been placed.

    With `now`, jobs that are of no more use by their turn are passed over.
    """

    def place(elapsed_s: float, row: _OpenJob) -> float:
        if now is not None and not _can_be_useful(row, now + elapsed_s):
            return elapsed_s
        return elapsed_s + row.waiting_work / rate

    return list(accumulate(ahead, place, initial=0.0))


def _list_waits(
    ahead: list[_OpenJob], ends: list[float], priority: int, placed: float
) -> tuple[float, ...]:
    """Return the waits by `WORK_SIZES`, none up to the size that was placed at once."""
    keys = [row.key for row in ahead]
    waits = tuple(
        0.0 if size <= placed else round(ends[bisect_right(keys, (priority, size))], 2)
        for size in WORK_SIZES
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
