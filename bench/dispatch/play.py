"""One day in virtual time: a dispatcher, its workers, a store and the callers' jobs.

Events are kept in a heap by time. Calls take the delays of the published sheets; what a
fault does to calls, workers and the store follows the platform's published pages.
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
from plantainyard.platform.runners import OrderOutcome, OrderResult
from plantainyard.platform.store import Record

__all__ = ["BEGIN_S", "Day", "JobFate", "play_day"]

BEGIN_S = 100.0
"""Time of the first job on the dispatcher's clock."""

WARM_UP_S = 2.0
"""Time for which an owner looks at its runners before jobs come."""

STEP_S = 0.025
"""Step in which workers are moved."""

TICK_S = 0.1
"""Time between ticks of the owner."""

COMMIT_S = 0.012
"""Time of an append, there and back."""

ACCEPT_S = 0.02
"""Time from a job's sending until its owner reads of it."""

TIMEOUT_S = 0.4
"""Time after which a call counts as unanswered."""

LATE_S = (2.0, 12.0)
"""How much later an unanswered order may be carried out."""

REMOVED_S = 3.3
"""Time until the entry of a silent runner is removed."""


@dataclass(slots=True, eq=False)
class JobFate:
    """What became of a job; times since the first job came."""

    arrival: Arrival
    first_start: float | None = None
    ended_at: float | None = None
    ended: str = ""


@dataclass(slots=True, eq=False)
class Day:
    """State of a day that is played.

    Attributes
    ----------
    fates : dict
        What became of each job, by id.
    starts, stops, paces : int
        Orders that were sent.
    """

    customer: Customer
    pattern: Pattern
    site: Site
    workers: dict[str, Worker]
    luck: random.Random
    limits: Limits
    now: float = BEGIN_S - WARM_UP_S
    replica: Replica = field(default_factory=Replica)
    owner: Dispatcher | None = None
    generation: int = 0
    fates: dict[str, JobFate] = field(default_factory=dict)
    waiting: dict[str, tuple[RequestReport, float, float, int]] = field(
        default_factory=dict
    )
    starts: int = 0
    stops: int = 0
    paces: int = 0
    heap: list[tuple[float, int, Callable[[], None]]] = field(default_factory=list)
    numbers: "itertools.count[int]" = field(default_factory=itertools.count)

    def later(self, seconds: float, action: Callable[[], None]) -> None:
        """Have something happen after some time."""
        heapq.heappush(self.heap, (self.now + seconds, next(self.numbers), action))

    def active(self, kind: str) -> list[Fault]:
        """Return the faults of a kind that are in force now."""
        at = self.now - BEGIN_S
        return [
            f
            for f in self.pattern.faults
            if f.kind == kind and f.at <= at < f.at + f.for_s
        ]


def play_day(customer: Customer, pattern: Pattern, seed: int) -> Day:
    """Play a day and return what became of everything.

    Parameters
    ----------
    customer : Customer
        Whose day.
    pattern : Pattern
        Load and faults.
    seed : int
        Jobs, runners and luck; the same jobs for the same seed, whatever the policy.
    """
    site, fleet = build_workers(customer, seed)
    remember_weights(site.weights)
    limits = Limits(
        lease_s=choose_lease(customer.longest_lease_s, customer.cancelled_s),
        longest_lease_s=customer.longest_lease_s,
    )
    by_name = {worker.name: worker for worker in fleet}
    day = Day(customer, pattern, site, by_name, random.Random(f"{seed} day"), limits)
    _begin_owner(day)
    for arrival in draw_day(customer, pattern, seed):
        day.fates[arrival.submission.job_id] = JobFate(arrival)
        day.later(WARM_UP_S + arrival.at, partial(_accept, day, arrival))
    for fault in pattern.faults:
        day.later(WARM_UP_S + fault.at, partial(_begin_fault, day, fault))
    day.later(STEP_S, partial(_move_workers, day))
    day.later(TICK_S, partial(_tick, day))
    _run(day, BEGIN_S + pattern.seconds + pattern.finish_s)
    return day


def _run(day: Day, until: float) -> None:
    while day.heap and day.heap[0][0] <= until:
        at, _, action = heapq.heappop(day.heap)
        day.now = at
        action()


def _begin_owner(day: Day) -> None:
    """Let a new owner begin from what is stored."""
    day.generation += 1
    day.waiting.clear()
    day.owner = restore_dispatcher(
        day.replica, day.limits, day.now, day.now * 1000, day.now
    )
    for worker in day.workers.values():
        if not worker.condition.gone:
            _tell(day, EntryChanged(worker.name, worker.entry))


def _tell(day: Day, event: Event, generation: int | None = None) -> None:
    """Give the owner an event, unless it was meant for an earlier one."""
    if day.owner is None or generation not in (None, day.generation):
        return
    for action in step(day.owner, event, day.now):
        _perform(day, action)


def _perform(day: Day, action: Action) -> None:
    match action:
        case Commit():
            _send_commit(day, action, day.generation)
        case RequestReport():
            _send_hold(day, action)
        case SendOrder():
            _send_order(day, action)


def _tick(day: Day) -> None:
    day.later(TICK_S, partial(_tick, day))
    if not day.active("store_down"):
        _tell(day, OwnershipRenewed(day.now))
    _tell(day, Tick())


def _accept(day: Day, arrival: Arrival) -> None:
    """Store a job; its caller tries again while the store is down."""
    down = day.active("store_down")
    if down:
        again_s = day.luck.uniform(0.8, 1.6)
        day.later(again_s, partial(_accept, day, arrival))
        return
    submission = arrival.submission._replace(accepted_at_ms=round(day.now * 1000))
    key = make_submission_key(submission.job_id)
    apply_record(day.replica, key, encode_submission(submission))
    generation = day.generation
    day.later(ACCEPT_S, lambda: _tell(day, JobSubmitted(submission), generation))
    leaves_s = BEGIN_S + arrival.truth.leaves_at - day.now
    if math.isfinite(leaves_s):
        cancel = partial(_cancel, day, submission.job_id)
        day.later(max(ACCEPT_S, leaves_s), cancel)


def _cancel(day: Day, job_id: str) -> None:
    if day.active("store_down"):
        day.later(0.5, partial(_cancel, day, job_id))
        return
    apply_record(day.replica, make_cancel_key(job_id), b"1")
    _tell(day, CancelRequested(job_id))


def _send_commit(day: Day, action: Commit, generation: int) -> None:
    if day.active("store_down"):
        day.later(0.1, partial(_send_commit, day, action, generation))
        return
    slow = max([f.factor for f in day.active("store_slow")], default=1.0)
    lost_s = sum(0.6 for f in day.active("store_loses") if day.luck.random() < f.share)
    day.later(COMMIT_S * slow + lost_s, partial(_commit, day, action, generation))


def _commit(day: Day, action: Commit, generation: int) -> None:
    if generation != day.generation:
        return
    for record in action.records:
        apply_record(day.replica, record.key, record.value)
        _note_end(day, record)
    _tell(day, Committed(), generation)


def _note_end(day: Day, record: Record) -> None:
    key = parse_key(record.key)
    if key is None or key.kind != RecordKind.END:
        return
    fate = day.fates[key.job_id]
    fate.ended_at = day.now - BEGIN_S
    fate.ended = record.value.decode()


def _send_hold(day: Day, action: RequestReport) -> None:
    worker = day.workers[action.entry.runner]
    generation, sent_at = day.generation, day.now
    arrives = partial(_hold, day, action, sent_at, generation)
    if _is_away(worker, action.entry.started_at_ms):
        _fail_hold(day, action, sent_at, generation, TIMEOUT_S)
        return
    day.later(worker.delay_s, arrives)


def _is_away(worker: Worker, started_at_ms: int) -> bool:
    condition = worker.condition
    return condition.cut or condition.gone or worker.incarnation != started_at_ms


def _fail_hold(
    day: Day, action: RequestReport, sent_at: float, generation: int, after_s: float
) -> None:
    event = ReportFailed(action.entry.incarnation, sent_at, "timeout")
    day.later(after_s, lambda: _tell(day, event, generation))


def _hold(day: Day, action: RequestReport, sent_at: float, generation: int) -> None:
    worker = day.workers[action.entry.runner]
    if generation < worker.fence or _is_away(worker, action.entry.started_at_ms):
        _fail_hold(day, action, sent_at, generation, TIMEOUT_S)
        return
    worker.fence = generation
    worker.lease_until = max(worker.lease_until, action.lease_until_ms / 1000)
    worker.ends = [end for end in worker.ends if end.number > action.last_seen]
    if worker.ends or action.wait_s <= 0:
        _answer_hold(day, worker, action, sent_at, generation)
        return
    until = day.now + action.wait_s
    day.waiting[worker.name] = (action, sent_at, until, generation)


def _answer_hold(
    day: Day, worker: Worker, action: RequestReport, sent_at: float, generation: int
) -> None:
    if _is_away(worker, action.entry.started_at_ms):
        _fail_hold(day, action, sent_at, generation, TIMEOUT_S)
        return
    held = workers.report(day.site, worker, day.now)
    event = ReportReceived(action.entry.incarnation, held, sent_at)
    day.later(worker.delay_s, lambda: _tell(day, event, generation))


def _move_workers(day: Day) -> None:
    day.later(STEP_S, partial(_move_workers, day))
    for worker in day.workers.values():
        ended = workers.advance(day.site, worker, day.now, STEP_S)
        found = day.waiting.get(worker.name)
        if found is not None and (ended or day.now >= found[2]):
            del day.waiting[worker.name]
            action, sent_at, _, generation = found
            _answer_hold(day, worker, action, sent_at, generation)


def _send_order(day: Day, action: SendOrder) -> None:
    worker = day.workers[action.entry.runner]
    day.starts += action.kind == OrderKind.START
    day.stops += action.kind == OrderKind.STOP
    day.paces += action.kind == OrderKind.PACE
    late = any(day.luck.random() < f.share for f in day.active("late_orders"))
    if late or _is_away(worker, action.entry.started_at_ms):
        _leave_unanswered(day, action)
        if late:
            carry_out = partial(_order, day, action, day.generation, False)
            day.later(day.luck.uniform(*LATE_S), carry_out)
        return
    day.later(worker.delay_s, partial(_order, day, action, day.generation, True))


def _leave_unanswered(day: Day, action: SendOrder) -> None:
    _answer_order(day, action, OrderOutcome.UNKNOWN, TIMEOUT_S, day.generation)


def _order(day: Day, action: SendOrder, generation: int, answers: bool) -> None:
    worker = day.workers[action.entry.runner]
    if worker.condition.gone or generation < worker.fence:
        outcome = OrderOutcome.FENCED
    else:
        worker.fence = generation
        fate = day.fates[action.task.job_id]
        spec = fate.arrival.submission.steps[action.task.step]
        truth = fate.arrival.truth
        outcome = workers.order(day.site, worker, action, spec, truth, day.now)
        if outcome == OrderOutcome.DONE and action.kind == OrderKind.START:
            fate.first_start = fate.first_start or day.now - BEGIN_S
    if answers:
        _answer_order(day, action, outcome, worker.delay_s, generation)


def _answer_order(
    day: Day, action: SendOrder, outcome: str, after_s: float, generation: int
) -> None:
    known = outcome not in (OrderOutcome.UNKNOWN, OrderOutcome.FENCED)
    clock_ms = round((day.now + after_s) * 1000) if known else None
    result = OrderResult(outcome, clock_ms)
    event = OrderAnswered(
        action.kind, action.task, action.run, action.entry.incarnation, result, day.now
    )
    day.later(after_s, lambda: _tell(day, event, generation))


def _begin_fault(day: Day, fault: Fault) -> None:
    if fault.kind == "owner_changes":
        day.owner = None
        day.generation += 1
        day.later(fault.for_s, partial(_begin_owner, day))
        return
    if not fault.kind.startswith("runners_"):
        return
    names = sorted(day.workers)
    struck = day.luck.sample(names, max(1, round(fault.share * len(names))))
    for name in struck:
        _strike(day, day.workers[name], fault)
    day.later(fault.for_s, partial(_end_fault, day, struck))


def _strike(day: Day, worker: Worker, fault: Fault) -> None:
    condition = worker.condition
    match fault.kind:
        case "runners_slow":
            condition.slow = fault.factor
        case "runners_cut":
            condition.cut = True
        case "runners_fail":
            condition.fails_all = True
        case "runners_stand_still":
            condition.stands_still = True
        case "runners_crash":
            condition.gone = True
            workers.crash(day.site, worker)
    if fault.kind in ("runners_cut", "runners_crash"):
        day.later(REMOVED_S, partial(_remove_entry, day, worker))


def _remove_entry(day: Day, worker: Worker) -> None:
    if worker.condition.gone:
        _tell(day, EntryChanged(worker.name, None))


def _end_fault(day: Day, struck: list[str]) -> None:
    for name in struck:
        old = day.workers[name]
        if old.condition.gone:
            new = Worker(
                name, old.incarnation + 1, old.cpu, old.memory, old.rack, old.delay_s
            )
            day.workers[name] = new
            _tell(day, EntryChanged(name, new.entry))
        old.condition = Condition()
