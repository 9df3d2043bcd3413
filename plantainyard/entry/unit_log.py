"""What an owner logs and counts about its unit: runs, ends of jobs, and its work.

Each function only reads the dispatcher.
"""

from dataclasses import dataclass
from typing import Any

from plantainyard.batch.replica import mark_job_started
from plantainyard.batch.values import JobState
from plantainyard.clock import read_clock
from plantainyard.dispatch import (
    Dispatcher,
    JobStarted,
    JobSummary,
    OrderAnswered,
    OrderKind,
    ReportReceived,
    Tick,
    count_held_runs,
    summarize_work,
)
from plantainyard.entry.context import UnitContext
from plantainyard.entry.occupancy import (
    Occupancy,
    describe_occupancy,
    record_event,
    record_tick,
)
from plantainyard.platform.runner_messages import OrderOutcome

__all__ = [
    "LogState",
    "log_held_runs",
    "log_run_ends",
    "log_run_start",
    "log_work",
    "record_job_end",
    "record_job_start",
    "record_occupancy",
]

HELD_RUNS_INTERVAL_S = 1.0
"""Time in seconds between log lines about the runs that a takeover holds."""

WORK_INTERVAL_S = 1.0
"""Time in seconds between log lines about the unit's work."""

STORE_CALL = "store"
"""Part of a job's time in which its end is stored."""


@dataclass(slots=True)
class LogState:
    """When the owner of a unit has logged what, and how busy it has been.

    Attributes
    ----------
    occupancy : Occupancy
        How busy the owner has been since the unit's work was last logged.
    held_runs_logged_at : float or None
        When the runs of unreported runners were last logged.
    holds_runs : bool
        Whether there were any.
    work_logged_at : float
        When the unit's work was last logged.
    """

    occupancy: Occupancy
    held_runs_logged_at: float | None = None
    holds_runs: bool = True
    work_logged_at: float = 0.0


def record_occupancy(state: LogState, message: Any, began_at: float) -> None:
    """Record how long the owner took for an event."""
    seconds = read_clock() - began_at
    if isinstance(message, Tick):
        record_tick(state.occupancy, seconds, began_at - message.sent_at)
    else:
        record_event(state.occupancy, seconds)


def log_held_runs(
    context: UnitContext, dispatcher: Dispatcher, state: LogState, now: float
) -> None:
    """Log the runs of unreported runners, once a second until there are none."""
    last = state.held_runs_logged_at
    is_recent = last is not None and now - last < HELD_RUNS_INTERVAL_S
    if is_recent or not state.holds_runs:
        return
    state.held_runs_logged_at = now
    held = count_held_runs(dispatcher, now)
    state.holds_runs = held.runs > 0
    context.log.write("runs_held", unit=context.unit, **held._asdict())


def log_work(
    context: UnitContext, dispatcher: Dispatcher, state: LogState, now: float
) -> None:
    """Log the unit's open work by queue, and its processors, once a second."""
    if now - state.work_logged_at < WORK_INTERVAL_S:
        return
    state.work_logged_at = now
    figures = describe_occupancy(state.occupancy, now)
    state.occupancy = Occupancy(now)
    summary = summarize_work(dispatcher, now)
    log, unit = context.log, context.unit
    log.write("owner_busy", unit=unit, **figures)
    log.write("processors_used", unit=unit, **summary.processors._asdict())
    for row in summary.queues:
        log.write("queue_work", unit=unit, **row._asdict())


def log_run_start(
    context: UnitContext, dispatcher: Dispatcher, message: OrderAnswered, now: float
) -> None:
    """Log a start that a runner has confirmed."""
    job = dispatcher.jobs.get(message.task.job_id)
    done = message.result.outcome == OrderOutcome.DONE
    if message.kind != OrderKind.START or job is None or not done:
        return
    context.log.write(
        "run_started",
        job=message.task.job_id,
        task=message.task[1:],
        run=message.run,
        runner=message.incarnation,
        waited_s=round(now - job.received_at, 3),
    )


def log_run_ends(
    context: UnitContext, dispatcher: Dispatcher, message: ReportReceived
) -> None:
    """Log the ends in a report that weren't reported before."""
    runner = dispatcher.runners.get(message.incarnation)
    if runner is None:
        return
    for end in message.report.ended:
        if end.number > runner.last_end:
            context.log.write(
                "run_ended",
                job=end.task.job_id,
                task=end.task[1:],
                run=end.run,
                runner=message.incarnation,
                how=end.outcome,
            )


def record_job_start(context: UnitContext, action: JobStarted) -> None:
    """Log, count and remember that the first task of a job has started."""
    context.meters.first_start.observe(action.waited_s)
    context.log.write("job_begun", job=action.job_id, waited_s=action.waited_s)
    mark_job_started(context.replica, action.job_id)


def record_job_end(context: UnitContext, summary: JobSummary, stored_s: float) -> None:
    """Log a job's end with a breakdown of its time, and update the metrics.

    Notes
    -----
    The counters include all jobs, also those whose log lines are left out.
    """
    estimate = {"estimate": summary.estimate} if summary.estimate else {}
    context.log.write(
        "job_ended",
        job=summary.job_id,
        queue=summary.queue,
        unit=context.unit,
        state=summary.state,
        intake_s=summary.intake_s,
        took_s=summary.duration_s,
        late_s=summary.lateness_s,
        task_s=summary.task_time_s,
        lost=summary.lost_runs,
        path_s={**summary.path_s, STORE_CALL: round(stored_s, 3)},
        **estimate,
    )
    meters, labels = context.meters, (summary.queue, str(context.unit))
    outcome = _name_outcome(summary)
    meters.jobs_ended.labels(*labels, outcome).inc()
    for part, seconds in summary.task_time_s.items():
        meters.task_seconds.labels(*labels, part).inc(seconds)
    for how, runs in summary.lost_runs.items():
        meters.lost_runs.labels(*labels, how).inc(runs)


def _name_outcome(summary: JobSummary) -> str:
    """Return the outcome of a job by which the ends of a queue are counted."""
    if summary.state != JobState.COMPLETED:
        return summary.state
    return "late" if summary.lateness_s > 0 else "in time"
