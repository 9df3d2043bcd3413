"""The dispatcher of one unit: its state, and what each event makes of it."""

import logging

from plantainyard.batch.records import (
    encode_progress,
    make_end_key,
    make_handover_key,
    make_progress_key,
)
from plantainyard.batch.replica import INTERFERENCE_KEY, Replica
from plantainyard.batch.values import StepProgress, TaskProgress
from plantainyard.dispatch import orders, reports, runs
from plantainyard.dispatch.balancing import count_slots, measure_finite_demand
from plantainyard.dispatch.estimates import InterferenceModel
from plantainyard.dispatch.events import (
    Action,
    CancelRequested,
    Commit,
    Committed,
    EntryChanged,
    Event,
    Forwarded,
    InterferenceReceived,
    JobSubmitted,
    JobSummary,
    LoadsReceived,
    OrderAnswered,
    OwnershipRenewed,
    ReportFailed,
    ReportReceived,
    Tick,
)
from plantainyard.dispatch.forwarding import (
    confirm_deliveries,
    confirm_forwarded,
    expire_arrivals,
    forward_cancel,
    forward_outgoing,
    pop_delivery_records,
)
from plantainyard.dispatch.handover import (
    measure_load,
    measure_max_short_task_cpu,
    plan_handovers,
    plan_task_handovers,
)
from plantainyard.dispatch.interference import expire_unobserved
from plantainyard.dispatch.jobs import (
    add_job,
    cancel_job,
    end_cancelled_jobs,
    open_due_occurrences,
)
from plantainyard.dispatch.limits import Limits
from plantainyard.dispatch.model import Job, Phase, StepRun
from plantainyard.dispatch.placing import record_free_cpu
from plantainyard.dispatch.planning import plan_moves, plan_starts
from plantainyard.dispatch.queue import find_allowed_time_s
from plantainyard.dispatch.restoring import restore_jobs
from plantainyard.dispatch.state import Dispatcher
from plantainyard.dispatch.timing import add_elapsed_time, summarize_times
from plantainyard.dispatch.weights import (
    decode_interference,
    encode_interference,
    merge_interference,
)
from plantainyard.platform.store import Record

_logger = logging.getLogger(__name__)

__all__ = ["Dispatcher", "restore_dispatcher", "step"]


FORGET_INTERVAL_S = 1.0
"""Time between looks at what wasn't seen; several reports of each runner."""

INTERFERENCE_INTERVAL_S = 3.0
"""Time between stored copies of what is learnt of interference: a second of learning
is lost by a change of owner on average, for a kilobyte each time."""


TIMES_INTERVAL_S = 0.5
"""Time between additions to what the tasks of all jobs did; the sums at a job's end are
off by half of it."""

MOVES_INTERVAL_S = 0.3
"""Time between looks at work that would be better off elsewhere; none of it shows in
less than 0.8 s."""

_WITHOUT_ROOM = (ReportFailed, OrderAnswered, OwnershipRenewed)
"""Events after which nothing is free that wasn't before."""

LOAD_INTERVAL_S = 0.3
"""Time between looks at how full the unit is; owners ask each other once a second."""


def restore_dispatcher(
    replica: Replica, limits: Limits, now: float, wall_ms: float, fenced_at: float
) -> Dispatcher:
    """Return a dispatcher that goes on where the stored records end.

    Parameters
    ----------
    replica : Replica
        All records of the unit, read after every predecessor was fenced off.
    limits : Limits
        Times and weights.
    now : float
        The dispatcher's clock.
    wall_ms : float
        Unix milliseconds at `now`, for due times of schedules and ages of jobs.
    fenced_at : float
        When the owner's first record was sent: a successor's comes later.
    """
    state = Dispatcher(limits=limits, wall_offset_s=wall_ms / 1000 - now)
    state.took_over_at = now
    state.renewed_at = fenced_at
    restore_jobs(state, replica, now)
    if replica.interference:
        state.interference = _restore_interference(replica.interference)
    return state


def _restore_interference(value: bytes) -> InterferenceModel:
    try:
        return decode_interference(value)
    except (ValueError, TypeError, AttributeError) as error:
        # Nothing but time is lost: it is learnt again.
        _logger.warning("unreadable record of harms: %r", error)
        return InterferenceModel()


def step(state: Dispatcher, event: Event, now: float) -> list[Action]:
    """Take `event` in and return what is to be done.

    Parameters
    ----------
    state : Dispatcher
        Changed in place.
    event : Event
        What happened.
    now : float
        Seconds on a clock that is never set back.
    """
    _take(state, event, now)
    if isinstance(event, Tick):
        record_free_cpu(state.runners.values())
        _measure_load(state, now)
        plan_handovers(state, state.jobs.values(), now)
        plan_task_handovers(state, now)
        open_due_occurrences(state, now)
        orders.resend_orders(state, now)
        reports.expire_leases(state, now)
        _plan_moves(state, now)
        _measure_times(state, now)
        _expire_interference(state, now)
        confirm_deliveries(state, now)
        expire_arrivals(state, now)
    state.plan_due |= _changes_plan(state, event)
    state.changed_runners |= _find_changed(event)
    state.search_all |= isinstance(event, Tick)
    if not state.commit_pending:
        if state.plan_due:
            plan_starts(state, now)
            state.plan_due = False
        _commit(state, now)
    reports.request_reports(state, now)
    actions = state.actions
    state.actions = []
    return actions


def _changes_plan(state: Dispatcher, event: Event) -> bool:
    """Return whether waiting work may find a place after `event`.

    Notes
    -----
    Most events are reports and answers after which nothing is free that wasn't before,
    and a look through all jobs after each is most of an owner's work. What a
    report tells of harm waits for the next tick, a tenth of a second at most.
    """
    if isinstance(event, ReportReceived):
        return bool(state.dirty_steps or state.new_final_states)
    return not isinstance(event, _WITHOUT_ROOM)


def _find_changed(event: Event) -> set[str]:
    """Return the life of the runner that may have more room after `event`."""
    match event:
        case ReportReceived() | OrderAnswered():
            return {event.incarnation}
        case EntryChanged(entry=entry) if entry is not None:
            return {entry.incarnation}
    return set()


def _measure_load(state: Dispatcher, now: float) -> None:
    if now - state.load_measured_at >= LOAD_INTERVAL_S:
        state.load = measure_load(state)._replace(
            slots=count_slots(state, now), ending=measure_finite_demand(state, now)
        )
        state.max_short_task_cpu = measure_max_short_task_cpu(state)
        state.load_measured_at = now


def _plan_moves(state: Dispatcher, now: float) -> None:
    if now - state.moves_planned_at >= MOVES_INTERVAL_S:
        plan_moves(state, now)
        state.moves_planned_at = now


def _measure_times(state: Dispatcher, now: float) -> None:
    elapsed_s = now - (state.times_updated_at or now)
    if not state.times_updated_at or elapsed_s >= TIMES_INTERVAL_S:
        add_elapsed_time(state.jobs.values(), elapsed_s)
        state.times_updated_at = now


def _expire_interference(state: Dispatcher, now: float) -> None:
    elapsed_s = now - state.interference_expired_at
    if elapsed_s >= FORGET_INTERVAL_S:
        expire_unobserved(
            state.interference, min(elapsed_s, 2 * FORGET_INTERVAL_S), now
        )
        state.interference_expired_at = now


def _take(state: Dispatcher, event: Event, now: float) -> None:
    match event:
        case ReportReceived():
            reports.apply_report(state, event, now)
        case ReportFailed():
            reports.apply_missed_report(state, event, now)
        case OrderAnswered():
            runs.apply_order_result(state, event, now)
        case Committed():
            _take_commit(state, now)
        case OwnershipRenewed(sent_at):
            state.renewed_at = max(state.renewed_at, sent_at)
        case JobSubmitted(submission):
            add_job(state, submission, now)
            added = state.jobs.get(submission.record_id)
            plan_handovers(state, [added] if added else [], now)
        case CancelRequested(job_id) if job_id in state.handed_over:
            forward_cancel(state, job_id)
        case CancelRequested(job_id):
            cancel_job(state, job_id, now)
        case Forwarded(keys):
            confirm_forwarded(state, keys, now)
            end_cancelled_jobs(state)
        case LoadsReceived(loads):
            state.other_loads = dict(loads)
        case InterferenceReceived(interference):
            for told in interference:
                merge_interference(state.interference, _restore_interference(told))
        case EntryChanged(runner, entry):
            reports.apply_entry(state, runner, entry, now)


def _commit(state: Dispatcher, now: float) -> None:
    """Put all that changed since the last commit into the next one."""
    summaries = [
        _summarize(state.jobs[job_id], now) for job_id in state.new_final_states
    ]
    records = [
        Record(_progress_key(item), _encode_step(item))
        for item in state.dirty_steps.values()
        if not item.job.final_state
    ]
    for job_id, ended in state.new_final_states.items():
        records.append(Record(make_end_key(job_id), ended.encode()))
        records += [
            Record(make_progress_key(job_id, *place), b"")
            for place in state.jobs[job_id].steps
        ]
    records += [
        Record(make_handover_key(job_id), str(state.handed_over[job_id]).encode())
        for job_id, submission in state.outgoing.items()
        if not submission.piece
    ]
    seen = {
        incarnation: r.last_end
        for incarnation, r in state.runners.items()
        if r.last_end > r.last_stored_end
    }
    if not records:
        for incarnation, number in seen.items():
            state.runners[incarnation].last_stored_end = number
        return
    records += _encode_begun(state)
    records += pop_delivery_records(state)
    if (
        state.interference.estimates
        and now - state.interference_stored_at > INTERFERENCE_INTERVAL_S
    ):
        # With the records of others: a commit of its own would be one more call.
        records.append(
            Record(INTERFERENCE_KEY, encode_interference(state.interference))
        )
        state.interference_stored_at = now
    state.commit_pending = True
    state.committing_last_ends = seen
    state.committing_ends = list(state.new_final_states)
    state.committing_outgoing = state.outgoing
    state.outgoing = {}
    state.committing_starts = state.assigned
    state.dirty_steps = {}
    state.started_steps = {}
    state.new_final_states = {}
    state.assigned = []
    state.actions.append(Commit(records, summaries))


def _encode_begun(state: Dispatcher) -> list[Record]:
    """Return the records of steps that nothing else has changed since jobs began."""
    return [
        Record(_progress_key(item), _encode_step(item))
        for identity, item in state.started_steps.items()
        if identity not in state.dirty_steps and not item.job.final_state
    ]


def _summarize(job: Job, now: float) -> JobSummary:
    accepted_at = job.deadline - find_allowed_time_s(job.submission)
    return JobSummary(
        job.submission.record_id,
        job.final_state,
        round(now - accepted_at, 3),
        round(now - job.deadline, 3),
        summarize_times(job),
        dict(job.lost_runs),
    )


def _take_commit(state: Dispatcher, now: float) -> None:
    state.commit_pending = False
    for incarnation, number in state.committing_last_ends.items():
        if incarnation in state.runners:
            runner = state.runners[incarnation]
            # Less was seen than is stored where a new life has answered meanwhile.
            runner.last_stored_end = max(
                runner.last_stored_end, min(number, runner.last_end)
            )
    for job_id in state.committing_ends:
        state.jobs.pop(job_id, None)
    forward_outgoing(state)
    for task in state.committing_starts:
        if task.phase == Phase.STORING:
            orders.send_start(state, task, now)
    state.committing_last_ends = {}
    state.committing_ends = []
    state.committing_starts = []


def _progress_key(item: StepRun) -> str:
    return make_progress_key(
        item.job.submission.record_id, item.occurrence, item.number
    )


def _encode_step(item: StepRun) -> bytes:
    done = frozenset(t.key.number for t in item.tasks if t.phase == Phase.DONE)
    tasks = {
        t.key.number: TaskProgress(
            t.run, t.incarnation, t.failures, t.checkpoint, t.unit
        )
        for t in item.tasks
        if t.phase != Phase.DONE and (t.run or t.unit is not None)
    }
    return encode_progress(StepProgress(done, tasks, item.job.started))
