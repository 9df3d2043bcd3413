"""Discrete-event simulation of one day of a dispatcher, its workers, store and callers.

Events are kept in a heap, ordered by time. Calls take the delays of the published
sheets; the effects of faults on calls, workers and the store follow the platform's
published pages.
"""

import heapq
import itertools
import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from bench.dispatch import workers
from bench.dispatch.customers import Customer
from bench.dispatch.oracle import remember_weights
from bench.dispatch.patterns import Fault, Pattern
from bench.dispatch.site import Condition, Site, Worker, build_workers
from bench.dispatch.workload import Arrival, draw_day
from plantainyard.batch.records import (
    RecordKind,
    encode_submission,
    make_cancel_key,
    make_submission_key,
    parse_key,
)
from plantainyard.batch.replica import Replica, apply_record
from plantainyard.dispatch import (
    Action,
    CancelRequested,
    Commit,
    Committed,
    Dispatcher,
    EntryChanged,
    Event,
    JobSubmitted,
    Limits,
    OrderAnswered,
    OrderKind,
    OwnershipRenewed,
    ReportFailed,
    ReportReceived,
    RequestReport,
    SendOrder,
    Tick,
    choose_lease,
    restore_dispatcher,
    step,
)
from plantainyard.dispatch import policy as scheduling
from plantainyard.platform.runner_messages import OrderOutcome, OrderResult
from plantainyard.platform.store_messages import Record

__all__ = ["START_TIME_S", "Day", "JobResult", "simulate_day"]

START_TIME_S = 100.0
"""Beginning of the day on the dispatcher's clock, in seconds."""

WARM_UP_S = 2.0
"""Time for which an owner observes its runners before jobs arrive, in seconds."""

ADVANCE_S = 0.025
"""Time step of the model of the workers, in seconds."""

TICK_S = 0.1
"""Time between ticks of the owner, in seconds."""

COMMIT_S = 0.012
"""Round-trip time of an append to the store, in seconds."""

ACCEPT_S = 0.02
"""Time from a job's submission until its owner reads it, in seconds."""

CALL_TIMEOUT_S = 0.4
"""Time-out of a call, in seconds."""

LATE_ORDER_DELAY_S = (2.0, 12.0)
"""Range of the delay after which a lost order is still executed, in seconds."""

ENTRY_REMOVAL_S = 3.3
"""Time until the entry of an unresponsive runner is removed, in seconds."""


@dataclass(slots=True, eq=False)
class JobResult:
    """Outcome of a job; times are in seconds from the beginning of the day."""

    arrival: Arrival
    first_start: float | None = None
    ended_at: float | None = None
    end_state: str = ""


@dataclass(slots=True, eq=False)
class Day:
    """State of a simulated day.

    Attributes
    ----------
    generation : int
        Fencing token of the current owner; events for earlier owners are dropped.
    results : dict
        Outcome of each job, by id.
    held_requests : dict
        By runner, the report request that waits for an end, the time at which it was
        sent, its deadline and the generation of the owner that sent it.
    starts, stops, paces : int
        Number of orders sent, by kind.
    """

    customer: Customer
    pattern: Pattern
    site: Site
    workers: dict[str, Worker]
    rng: random.Random
    limits: Limits
    now: float = START_TIME_S - WARM_UP_S
    replica: Replica = field(default_factory=Replica)
    owner: Dispatcher | None = None
    generation: int = 0
    results: dict[str, JobResult] = field(default_factory=dict)
    held_requests: dict[str, tuple[RequestReport, float, float, int]] = field(
        default_factory=dict
    )
    starts: int = 0
    stops: int = 0
    paces: int = 0
    heap: list[tuple[float, int, Callable[[], None]]] = field(default_factory=list)
    numbers: "itertools.count[int]" = field(default_factory=itertools.count)

    def schedule(self, seconds: float, action: Callable[[], None]) -> None:
        """Schedule `action` to run after `seconds`."""
        heapq.heappush(self.heap, (self.now + seconds, next(self.numbers), action))

    def list_active_faults(self, kind: str) -> list[Fault]:
        """Return the faults of a kind that are active now."""
        at = self.now - START_TIME_S
        return [
            f
            for f in self.pattern.faults
            if f.kind == kind and f.at <= at < f.at + f.for_s
        ]


def simulate_day(customer: Customer, pattern: Pattern, seed: int) -> Day:
    """Simulate a day and return its final state.

    Parameters
    ----------
    customer : Customer
        Fleet and load of the day.
    pattern : Pattern
        Duration, bursts and faults.
    seed : int
        Seed of jobs, runners and failures; the jobs don't depend on the policy.
    """
    site, fleet = build_workers(customer, seed)
    remember_weights(site.weights)
    limits = Limits(
        lease_s=choose_lease(customer.longest_lease_s, customer.max_cancel_s),
        longest_lease_s=customer.longest_lease_s,
        policy=scheduling.NO_POLICY,
    )
    by_name = {worker.name: worker for worker in fleet}
    day = Day(customer, pattern, site, by_name, random.Random(f"{seed} day"), limits)
    _start_owner(day)
    for arrival in draw_day(customer, pattern, seed):
        day.results[arrival.submission.job_id] = JobResult(arrival)
        day.schedule(WARM_UP_S + arrival.at, partial(_accept, day, arrival))
    for fault in pattern.faults:
        day.schedule(WARM_UP_S + fault.at, partial(_start_fault, day, fault))
    day.schedule(ADVANCE_S, partial(_advance_workers, day))
    day.schedule(TICK_S, partial(_tick, day))
    _run(day, START_TIME_S + pattern.seconds + pattern.finish_s)
    return day


def _run(day: Day, until: float) -> None:
    while day.heap and day.heap[0][0] <= until:
        at, _, action = heapq.heappop(day.heap)
        day.now = at
        action()


def _start_owner(day: Day) -> None:
    """Start a new owner from the stored records."""
    day.generation += 1
    day.held_requests.clear()
    day.owner = restore_dispatcher(
        day.replica, day.limits, day.now, day.now * 1000, day.now
    )
    for worker in day.workers.values():
        if not worker.condition.terminated:
            _deliver(day, EntryChanged(worker.name, worker.entry))


def _deliver(day: Day, event: Event, generation: int | None = None) -> None:
    """Pass an event to the owner, unless it is meant for an earlier owner."""
    if day.owner is None or generation not in (None, day.generation):
        return
    for action in step(day.owner, event, day.now):
        _perform(day, action)


def _perform(day: Day, action: Action) -> None:
    match action:
        case Commit():
            _send_commit(day, action, day.generation)
        case RequestReport():
            _request_report(day, action)
        case SendOrder():
            _send_order(day, action)


def _tick(day: Day) -> None:
    day.schedule(TICK_S, partial(_tick, day))
    if not day.list_active_faults("store_down"):
        _deliver(day, OwnershipRenewed(day.now))
    _deliver(day, Tick())


def _accept(day: Day, arrival: Arrival) -> None:
    """Store a submitted job; its caller retries while the store is down."""
    down = day.list_active_faults("store_down")
    if down:
        retry_in_s = day.rng.uniform(0.8, 1.6)
        day.schedule(retry_in_s, partial(_accept, day, arrival))
        return
    submission = arrival.submission._replace(accepted_at_ms=round(day.now * 1000))
    key = make_submission_key(submission.job_id)
    apply_record(day.replica, key, encode_submission(submission))
    generation = day.generation
    day.schedule(ACCEPT_S, lambda: _deliver(day, JobSubmitted(submission), generation))
    cancel_in_s = START_TIME_S + arrival.behavior.cancelled_at - day.now
    if math.isfinite(cancel_in_s):
        cancel = partial(_cancel, day, submission.job_id)
        day.schedule(max(ACCEPT_S, cancel_in_s), cancel)


def _cancel(day: Day, job_id: str) -> None:
    if day.list_active_faults("store_down"):
        day.schedule(0.5, partial(_cancel, day, job_id))
        return
    apply_record(day.replica, make_cancel_key(job_id), b"1")
    _deliver(day, CancelRequested(job_id))


def _send_commit(day: Day, action: Commit, generation: int) -> None:
    if day.list_active_faults("store_down"):
        day.schedule(0.1, partial(_send_commit, day, action, generation))
        return
    slowdown = max(
        [f.factor for f in day.list_active_faults("store_slow")], default=1.0
    )
    lost_s = sum(
        0.6 for f in day.list_active_faults("store_loses") if day.rng.random() < f.share
    )
    day.schedule(
        COMMIT_S * slowdown + lost_s, partial(_commit, day, action, generation)
    )


def _commit(day: Day, action: Commit, generation: int) -> None:
    if generation != day.generation:
        return
    for record in action.records:
        apply_record(day.replica, record.key, record.value)
        _record_end(day, record)
    _deliver(day, Committed(), generation)


def _record_end(day: Day, record: Record) -> None:
    key = parse_key(record.key)
    if key is None or key.kind != RecordKind.END:
        return
    job_result = day.results[key.job_id]
    job_result.ended_at = day.now - START_TIME_S
    job_result.end_state = record.value.decode()


def _request_report(day: Day, action: RequestReport) -> None:
    worker = day.workers[action.entry.runner]
    generation, sent_at = day.generation, day.now
    arrives = partial(_receive_report_request, day, action, sent_at, generation)
    if _is_unreachable(worker, action.entry.started_at_ms):
        _fail_report(day, action, sent_at, generation, CALL_TIMEOUT_S)
        return
    day.schedule(worker.delay_s, arrives)


def _is_unreachable(worker: Worker, started_at_ms: int) -> bool:
    condition = worker.condition
    return (
        condition.disconnected
        or condition.terminated
        or worker.incarnation != started_at_ms
    )


def _fail_report(
    day: Day, action: RequestReport, sent_at: float, generation: int, after_s: float
) -> None:
    event = ReportFailed(action.entry.incarnation, sent_at, "timeout")
    day.schedule(after_s, lambda: _deliver(day, event, generation))


def _receive_report_request(
    day: Day, action: RequestReport, sent_at: float, generation: int
) -> None:
    worker = day.workers[action.entry.runner]
    if generation < worker.fence or _is_unreachable(worker, action.entry.started_at_ms):
        _fail_report(day, action, sent_at, generation, CALL_TIMEOUT_S)
        return
    worker.fence = generation
    worker.lease_until = max(worker.lease_until, action.lease_until_ms / 1000)
    worker.ends = [end for end in worker.ends if end.number > action.last_seen]
    if worker.ends or action.wait_s <= 0:
        _send_report(day, worker, action, sent_at, generation)
        return
    until = day.now + action.wait_s
    day.held_requests[worker.name] = (action, sent_at, until, generation)


def _send_report(
    day: Day, worker: Worker, action: RequestReport, sent_at: float, generation: int
) -> None:
    if _is_unreachable(worker, action.entry.started_at_ms):
        _fail_report(day, action, sent_at, generation, CALL_TIMEOUT_S)
        return
    report = workers.make_report(day.site, worker, day.now)
    event = ReportReceived(action.entry.incarnation, report, sent_at)
    day.schedule(worker.delay_s, lambda: _deliver(day, event, generation))


def _advance_workers(day: Day) -> None:
    day.schedule(ADVANCE_S, partial(_advance_workers, day))
    for worker in day.workers.values():
        ended = workers.advance(day.site, worker, day.now, ADVANCE_S)
        found = day.held_requests.get(worker.name)
        if found is not None and (ended or day.now >= found[2]):
            del day.held_requests[worker.name]
            action, sent_at, _, generation = found
            _send_report(day, worker, action, sent_at, generation)


def _send_order(day: Day, action: SendOrder) -> None:
    worker = day.workers[action.entry.runner]
    day.starts += action.kind == OrderKind.START
    day.stops += action.kind == OrderKind.STOP
    day.paces += action.kind == OrderKind.PACE
    late = any(
        day.rng.random() < f.share for f in day.list_active_faults("late_orders")
    )
    if late or _is_unreachable(worker, action.entry.started_at_ms):
        _time_out_order(day, action)
        if late:
            carry_out = partial(_execute_order, day, action, day.generation, False)
            day.schedule(day.rng.uniform(*LATE_ORDER_DELAY_S), carry_out)
        return
    day.schedule(
        worker.delay_s, partial(_execute_order, day, action, day.generation, True)
    )


def _time_out_order(day: Day, action: SendOrder) -> None:
    _send_order_result(
        day, action, OrderOutcome.UNKNOWN, CALL_TIMEOUT_S, day.generation
    )


def _execute_order(
    day: Day, action: SendOrder, generation: int, responds: bool
) -> None:
    worker = day.workers[action.entry.runner]
    if worker.condition.terminated or generation < worker.fence:
        outcome = OrderOutcome.FENCED
    else:
        worker.fence = generation
        job_result = day.results[action.task.job_id]
        spec = job_result.arrival.submission.steps[action.task.step]
        behavior = job_result.arrival.behavior
        outcome = workers.execute_order(
            day.site, worker, action, spec, behavior, day.now
        )
        if outcome == OrderOutcome.DONE and action.kind == OrderKind.START:
            job_result.first_start = job_result.first_start or day.now - START_TIME_S
    if responds:
        _send_order_result(day, action, outcome, worker.delay_s, generation)


def _send_order_result(
    day: Day, action: SendOrder, outcome: str, after_s: float, generation: int
) -> None:
    known = outcome not in (OrderOutcome.UNKNOWN, OrderOutcome.FENCED)
    clock_ms = round((day.now + after_s) * 1000) if known else None
    result = OrderResult(outcome, clock_ms)
    event = OrderAnswered(
        action.kind, action.task, action.run, action.entry.incarnation, result, day.now
    )
    day.schedule(after_s, lambda: _deliver(day, event, generation))


def _start_fault(day: Day, fault: Fault) -> None:
    if fault.kind == "owner_changes":
        day.owner = None
        day.generation += 1
        day.schedule(fault.for_s, partial(_start_owner, day))
        return
    if not fault.kind.startswith("runners_"):
        return
    names = sorted(day.workers)
    affected = day.rng.sample(names, max(1, round(fault.share * len(names))))
    for name in affected:
        _apply_fault(day, day.workers[name], fault)
    day.schedule(fault.for_s, partial(_end_fault, day, affected))


def _apply_fault(day: Day, worker: Worker, fault: Fault) -> None:
    condition = worker.condition
    match fault.kind:
        case "runners_slow":
            condition.slowdown = fault.factor
        case "runners_cut":
            condition.disconnected = True
        case "runners_fail":
            condition.fails_all = True
        case "runners_stand_still":
            condition.stalled = True
        case "runners_crash":
            condition.terminated = True
            workers.crash(day.site, worker)
    if fault.kind in ("runners_cut", "runners_crash"):
        day.schedule(ENTRY_REMOVAL_S, partial(_remove_entry, day, worker))


def _remove_entry(day: Day, worker: Worker) -> None:
    if worker.condition.terminated:
        _deliver(day, EntryChanged(worker.name, None))


def _end_fault(day: Day, affected: list[str]) -> None:
    for name in affected:
        old = day.workers[name]
        if old.condition.terminated:
            new = Worker(
                name, old.incarnation + 1, old.cpu, old.memory, old.rack, old.delay_s
            )
            day.workers[name] = new
            _deliver(day, EntryChanged(name, new.entry))
        old.condition = Condition()
