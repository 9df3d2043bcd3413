"""Dispatcher of one unit: applies events to its state and returns actions."""

import logging
from collections.abc import Callable

from plantainyard.dispatch import orders, reports, runs
from plantainyard.dispatch.actions import Action
from plantainyard.dispatch.balancing import count_slots, measure_finite_demand
from plantainyard.dispatch.capacity import expire_needs
from plantainyard.dispatch.commits import apply_commit, request_commit
from plantainyard.dispatch.containment import (
    add_contained,
    cancel_set_aside,
    contain,
    resume_jobs,
)
from plantainyard.dispatch.destinations import measure_load
from plantainyard.dispatch.evacuations import apply_evacuations, knows_evacuations
from plantainyard.dispatch.events import (
    CancelRequested,
    Committed,
    EntryChanged,
    EvacuationsRead,
    Event,
    Forwarded,
    InterferenceReceived,
    JobSubmitted,
    LeasesReported,
    LoadsReceived,
    OrderAnswered,
    OwnershipRenewed,
    PieceEnded,
    PolicyChanged,
    PredecessorEnded,
    ReportFailed,
    ReportReceived,
    Tick,
)
from plantainyard.dispatch.forecast import forecast_queues
from plantainyard.dispatch.forwarding import (
    confirm_deliveries,
    confirm_forwarded,
    expire_arrivals,
    forward_cancel,
)
from plantainyard.dispatch.handover import plan_handovers
from plantainyard.dispatch.headroom import (
    compare_loads,
    measure_demand,
    update_headroom,
)
from plantainyard.dispatch.health import evaluate_health
from plantainyard.dispatch.incarnations import apply_entry, resolve_suspects
from plantainyard.dispatch.inherited_bounds import (
    apply_reported_leases,
    limit_to_last_leases,
)
from plantainyard.dispatch.interference import expire_unobserved
from plantainyard.dispatch.jobs import (
    cancel_job,
    end_cancelled_jobs,
    fail_job,
    open_due_occurrences,
)
from plantainyard.dispatch.measured_runs import (
    apply_run_time_policy,
    update_estimates,
)
from plantainyard.dispatch.model import Runner
from plantainyard.dispatch.pieces import apply_result
from plantainyard.dispatch.placing import record_free_cpu
from plantainyard.dispatch.planning import plan_starts
from plantainyard.dispatch.relocation import plan_moves
from plantainyard.dispatch.room import plan_room
from plantainyard.dispatch.state import Dispatcher
from plantainyard.dispatch.task_handover import plan_task_handovers
from plantainyard.dispatch.timing import add_elapsed_time
from plantainyard.dispatch.unanswered_starts import maintain_unanswered
from plantainyard.dispatch.unseen_runs import maintain_unseen
from plantainyard.dispatch.verified_starts import send_verified
from plantainyard.dispatch.weights import (
    encode_interference,
    merge_interference,
    restore_interference,
)

_logger = logging.getLogger(__name__)

__all__ = ["Dispatcher", "step"]


EXPIRY_INTERVAL_S = 1.0
"""Time between expiries of unobserved estimates; several reports of each runner come
within it."""

ENCODING_INTERVAL_S = 0.9
"""Time between encodings for other owners, which ask once a second."""

TIMES_INTERVAL_S = 0.5
"""Time between updates of the times of all jobs; the sums at a job's end are off by
half of it."""

MOVES_INTERVAL_S = 0.3
"""Time between searches for tasks that should move; the reasons for a move take at
least 0.8 s to show."""

NEW_JOB_S = 1.0
"""Time for which a job counts as new: with each tick it may be handed over. Later that
is considered with each measurement of the unit's load, on which it depends."""

_NO_CAPACITY_FREED = (ReportFailed, OrderAnswered, OwnershipRenewed)
"""Events that free no capacity."""

LOAD_INTERVAL_S = 0.3
"""Time between measurements of the unit's load; owners query each other every 1 s."""


def step(state: Dispatcher, event: Event, now: float) -> list[Action]:
    """Apply `event` to `state` and return the actions to carry out.

    Parameters
    ----------
    state : Dispatcher
        State, changed in place.
    event : Event
        Event to apply.
    now : float
        Seconds on a monotonic clock.
    """
    state.now = now
    if isinstance(event, Tick):
        _pass_tick(state, now)
    else:
        with contain(state, now):
            _apply(state, event, now)
    if state.unverified:
        with contain(state, now):
            send_verified(state, now)
    state.plan_due |= _changes_plan(state, event)
    state.changed_runners |= _find_changed_runners(event)
    state.search_all |= isinstance(event, Tick)
    with contain(state, now):
        if not state.commit_pending:
            if state.plan_due and knows_evacuations(state, now):
                plan_starts(state, now)
                state.plan_due = False
            request_commit(state, now)
    reports.request_verifying(state, now)
    reports.request_reports(state, now, _list_asked(state, event))
    actions = state.actions
    state.actions = []
    return actions


def _list_asked(state: Dispatcher, event: Event) -> list[Runner] | None:
    """Return the runners of which a report may be due after `event`; None for all.

    Notes
    -----
    Guards against an owner whose cost grows with the square of its runners: each sends
    reports, and after each event all were examined.
    """
    match event:
        case ReportReceived() | ReportFailed() | OrderAnswered():
            runner = state.runners.get(event.incarnation)
            return [] if runner is None else [runner]
        case OwnershipRenewed():
            return []
    return None


def _pass_tick(state: Dispatcher, now: float) -> None:
    """Do what is due with time; an exception ends the work on its job alone.

    Notes
    -----
    Each part goes through all jobs and can be left out once, as the next tick follows
    within a moment.
    """
    for part in _TICK_PARTS:
        with contain(state, now):
            part(state, now)


def _record_free_cpu(state: Dispatcher, now: float) -> None:
    record_free_cpu(state.runners.values())


def _plan_handovers(state: Dispatcher, now: float) -> None:
    has_new_load = state.load_measured_at == now
    jobs = state.jobs.values()
    due = [j for j in jobs if has_new_load or now - j.received_at < NEW_JOB_S]
    plan_handovers(state, due, now)


def _evaluate_health(state: Dispatcher, now: float) -> None:
    state.actions += evaluate_health(state.health, state.runners, state.limits, now)


def _update_estimates(state: Dispatcher, now: float) -> None:
    policy = state.limits.policy.run_times
    update_estimates(state.run_times, state.jobs.values(), policy, now)


def _changes_plan(state: Dispatcher, event: Event) -> bool:
    """Return whether waiting tasks may find a place after `event`.

    Notes
    -----
    Most events are reports and answers that free no capacity, and searching all jobs
    after each would be most of an owner's work. What a report shows of interference
    takes effect at the next tick, within 0.1 s.
    """
    if isinstance(event, ReportReceived):
        return bool(state.dirty_steps or state.new_final_states)
    return not isinstance(event, _NO_CAPACITY_FREED)


def _find_changed_runners(event: Event) -> set[str]:
    """Return the runner incarnation that may have more capacity after `event`."""
    match event:
        case ReportReceived() | OrderAnswered():
            return {event.incarnation}
        case EntryChanged(entry=entry) if entry is not None:
            return {entry.incarnation}
    return set()


def _update_load(state: Dispatcher, now: float) -> None:
    if now - state.load_measured_at >= LOAD_INTERVAL_S:
        load = measure_load(state)
        state.load = load._replace(
            slots=count_slots(state, now),
            ending=measure_finite_demand(state, now),
            queues=forecast_queues(state, load, now),
        )
        state.own_places = {}
        state.own_maxima = {}
        expire_needs(state, now)
        _update_headroom(state, now)
        state.load_measured_at = now


def _update_headroom(state: Dispatcher, now: float) -> None:
    policy = state.limits.policy.headroom
    demand = measure_demand(state.jobs.values(), now)
    unknown_until = 0.0
    if policy is not None and state.has_predecessor:
        unknown_until = state.took_over_at + policy.window_s
    runners = state.runners.values()
    update_headroom(state.headroom, policy, demand, runners, unknown_until)
    others = state.other_loads.values()
    since_takeover_s = now - state.took_over_at
    compare_loads(
        state.headroom, state.load, others, state.other_loads_at, since_takeover_s
    )


def _plan_moves(state: Dispatcher, now: float) -> None:
    is_due = now - state.moves_planned_at >= MOVES_INTERVAL_S
    if is_due and knows_evacuations(state, now):
        plan_moves(state, now)
        state.moves_planned_at = now


def _update_times(state: Dispatcher, now: float) -> None:
    elapsed_s = now - (state.times_updated_at or now)
    if not state.times_updated_at or elapsed_s >= TIMES_INTERVAL_S:
        add_elapsed_time(state.jobs.values(), elapsed_s)
        state.times_updated_at = now


def _expire_interference(state: Dispatcher, now: float) -> None:
    elapsed_s = now - state.interference_expired_at
    if elapsed_s >= EXPIRY_INTERVAL_S:
        expire_unobserved(
            state.interference, min(elapsed_s, 2 * EXPIRY_INTERVAL_S), now
        )
        state.interference_expired_at = now


def _encode_for_others(state: Dispatcher, now: float) -> None:
    """Encode the interference model for other owners, whose threads read the bytes."""
    is_due = now - state.interference_encoded_at >= ENCODING_INTERVAL_S
    if state.other_loads and state.interference.estimates and is_due:
        state.encoded_interference = encode_interference(state.interference)
        state.interference_encoded_at = now


def _apply(state: Dispatcher, event: Event, now: float) -> None:
    match event:
        case ReportReceived():
            reports.apply_report(state, event, now)
        case ReportFailed():
            reports.apply_missed_report(state, event, now)
        case OrderAnswered():
            runs.apply_order_result(state, event, now)
        case Committed(too_large):
            for job_id in too_large & state.jobs.keys():
                fail_job(state, state.jobs[job_id], now)
            apply_commit(state, now)
        case OwnershipRenewed(sent_at):
            state.renewed_at = max(state.renewed_at, sent_at)
        case JobSubmitted(submission):
            add_contained(state, submission, now)
            added = state.jobs.get(submission.record_id)
            plan_handovers(state, [added] if added else [], now)
        case EvacuationsRead():
            apply_evacuations(state, event)
        case PieceEnded(piece_id, result):
            apply_result(state, piece_id, result, now)
        case CancelRequested(job_id) if job_id in state.handed_over:
            forward_cancel(state, job_id)
        case CancelRequested(job_id) if job_id in state.set_aside:
            cancel_set_aside(state, job_id, now)
        case CancelRequested(job_id):
            cancel_job(state, job_id, now)
        case Forwarded(keys):
            confirm_forwarded(state, keys, now)
            end_cancelled_jobs(state)
        case LeasesReported(remaining_s):
            apply_reported_leases(state, remaining_s, now)
        case PredecessorEnded(ended_s):
            limit_to_last_leases(state, ended_s, now)
        case PolicyChanged(policy):
            state.limits = state.limits._replace(policy=policy)
            apply_run_time_policy(
                state.run_times, state.jobs.values(), policy.run_times
            )
        case LoadsReceived(loads, asked_at):
            state.other_loads = dict(loads)
            state.other_loads_at = asked_at
        case InterferenceReceived(records):
            for record in records:
                merge_interference(state.interference, restore_interference(record))
        case EntryChanged(runner, entry):
            apply_entry(state, runner, entry, now)


_TICK_PARTS: tuple[Callable[[Dispatcher, float], object], ...] = (
    resume_jobs,
    _record_free_cpu,
    _update_load,
    _plan_handovers,
    plan_task_handovers,
    open_due_occurrences,
    orders.resend_orders,
    resolve_suspects,
    reports.expire_leases,
    maintain_unseen,
    maintain_unanswered,
    _evaluate_health,
    _plan_moves,
    plan_room,
    _update_times,
    _expire_interference,
    _update_estimates,
    _encode_for_others,
    confirm_deliveries,
    expire_arrivals,
)
"""What is done with each tick, in order."""
