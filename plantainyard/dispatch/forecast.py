"""Forecast of when a job that arrives now would start and end, for each queue.

Handles bursts over a nearly full service: whether a job can still end in time follows
from the work that is placed before it and from the rate at which work of its kind was
completed lately. All simplifications make the forecast too favourable rather than too
pessimistic, because jobs are rejected by it: work that arrives later and goes first is
left out, as are the later waits of a job of several steps.
"""

from bisect import bisect_right
from collections import Counter, defaultdict
from collections.abc import Iterable
from functools import partial
from itertools import accumulate
from statistics import median_low
from typing import NamedTuple

from plantainyard.dispatch.completions import note_placements
from plantainyard.dispatch.expectations import expect_end
from plantainyard.dispatch.load import WORK_SIZES, Load, QueueForecast
from plantainyard.dispatch.model import Job, Phase
from plantainyard.dispatch.queue import (
    CERTAIN_SHARE,
    LATE_FACTOR,
    measure_remaining_work,
)
from plantainyard.dispatch.state import Dispatcher
from plantainyard.dispatch.throughput import (
    Rates,
    RunningWork,
    WorkKind,
    find_rates,
    get_placed_work,
    update_saturation,
)
from plantainyard.dispatch.work_kinds import find_kind

__all__ = [
    "forecast_queues",
]


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
        note_placements(state, by_kind[kind], kind, now)
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
