"""The owner of a unit: an actor around the dispatcher, and what it asks for."""

import contextlib
import queue
import threading
import traceback as tb
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from types import TracebackType
from typing import Any

import pykka
from result import Err, Ok, Result

from plantainyard.batch.replica import (
    Replica,
    apply_record,
    mark_job_started,
    mark_jobs_delivered,
)
from plantainyard.batch.tasks import TaskKey
from plantainyard.clock import read_clock
from plantainyard.dispatch import (
    Action,
    Commit,
    Committed,
    Dispatcher,
    Forward,
    Forwarded,
    HandoversConfirmed,
    JobStarted,
    JobSummary,
    Limits,
    OrderAnswered,
    OrderKind,
    ReportFailed,
    ReportReceived,
    RequestReport,
    SendOrder,
    Tick,
    step,
)
from plantainyard.entry.eventlog import EventLog
from plantainyard.entry.meters import Meters
from plantainyard.entry.topics import INTAKE, PRODUCER, PROGRESS
from plantainyard.errors import CallError, ErrorKind
from plantainyard.platform.entries import RunnerEntry
from plantainyard.platform.runners import (
    Order,
    OrderOutcome,
    OrderResult,
    RunnerCalls,
    RunnerReport,
)
from plantainyard.platform.store import Append, StoreCalls

__all__ = ["UnitActor", "UnitContext", "run_unit_actor"]

TICK_S = 0.1
"""Time between looks at what waits for a time: repeats, leases, schedules."""

ORDER_TIMEOUT_S = 0.4
"""Longest wait for the answer to an order; a region away it takes 30 ms."""

HOLD_TIMEOUT_S = 0.4
"""Longest wait for a report beyond the wait that was asked for; as for orders."""

APPEND_TIMEOUT_S = 0.6
"""Longest wait for the store before the same append is sent again; the store answers
a repeat like the first, so that only the wait is lost."""

SLOW_APPEND_TIMEOUT_S = 3.0
"""The same for repeats: a slow store must get the time to answer at all."""

RETRY_S = 0.05
"""Pause before an append is sent again."""


@dataclass(slots=True, eq=False)
class UnitContext:
    """What a unit's actor works with.

    Attributes
    ----------
    unit, epoch : int
        The unit, and the fencing token under which it is owned.
    store, runners : StoreCalls, RunnerCalls
        The platform.
    replica : Replica
        Gets each record once it is stored.
    log : EventLog
        For decisions.
    depose : callable
        Called once when a successor has shown itself.
    meters : Meters
        For latencies.
    dispatcher : Dispatcher
        The unit's state, for gauges.
    stopping : Event
        Set when the unit is given up.
    """

    unit: int
    epoch: int
    store: StoreCalls
    runners: RunnerCalls
    replica: Replica
    log: EventLog
    step_down: Callable[[], None]
    meters: Meters
    dispatcher: Dispatcher = field(default_factory=lambda: Dispatcher(Limits()))
    stopping: threading.Event = field(default_factory=threading.Event)


class UnitActor(pykka.ThreadingActor):
    """Runs a unit's dispatcher and carries out its actions.

    Parameters
    ----------
    world : UnitWorld
        Where actions go.
    dispatcher : Dispatcher
        The state, restored from the store.
    """

    use_daemon_thread = True

    @staticmethod
    def _create_actor_inbox() -> Any:
        """Return the actor's inbox; see `pykka.Actor`.

        Notes
        -----
        The library's own is a bounded queue in Python, of which each event takes and
        wakes several locks; this one takes one, in C, and nothing here bounds it.
        """
        return queue.SimpleQueue()

    def __init__(self, context: UnitContext, dispatcher: Dispatcher) -> None:
        super().__init__()
        self.context = context
        self.dispatcher = dispatcher
        self.sequence = 0
        self.commits = ThreadPoolExecutor(1, "commit")
        self.forwards = ThreadPoolExecutor(1, "forward")

    def on_receive(self, message: Any) -> None:
        """Take in an event and carry out what the dispatcher asks for."""
        if self.context.stopping.is_set():
            return
        now = read_clock()
        if isinstance(message, ReportReceived):
            self._log_ends(message)
        for action in step(self.dispatcher, message, now):
            self._perform(action)
        if isinstance(message, OrderAnswered):
            self._log_start(message, now)

    def _log_start(self, message: OrderAnswered, now: float) -> None:
        job = self.dispatcher.jobs.get(message.task.job_id)
        done = message.result.outcome == OrderOutcome.DONE
        if message.kind != OrderKind.START or job is None or not done:
            return
        self.context.log.write(
            "run_started",
            job=message.task.job_id,
            task=message.task[1:],
            run=message.run,
            runner=message.incarnation,
            waited_s=round(now - job.taken_at, 3),
        )

    def _note_begun(self, action: JobStarted) -> None:
        self.context.meters.first_start.observe(action.waited_s)
        self.context.log.write("job_begun", job=action.job_id, waited_s=action.waited_s)
        mark_job_started(self.context.replica, action.job_id)

    def _log_ends(self, message: ReportReceived) -> None:
        runner = self.dispatcher.runners.get(message.incarnation)
        if runner is None:
            return
        for end in message.report.ended:
            if end.number > runner.seen:
                self.context.log.write(
                    "run_ended",
                    job=end.task.job_id,
                    task=end.task[1:],
                    run=end.run,
                    runner=message.incarnation,
                    how=end.outcome,
                )

    def on_stop(self) -> None:
        """Let go of the threads; calls that are out end by their own timeouts."""
        for pool in (self.commits, self.forwards):
            pool.shutdown(wait=False, cancel_futures=True)

    def on_failure(
        self,
        exception_type: type[BaseException] | None,
        exception_value: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Give the unit up after a fault of the program.

        Notes
        -----
        Guards against a unit that is owned and not served: the actor has ended, while
        the group goes on naming this instance. The next owner, here or elsewhere,
        begins from the store.
        """
        frames = tb.format_exception(exception_type, exception_value, traceback)
        self.context.log.write("unit_failed", unit=self.context.unit, why=frames[-3:])
        self.context.step_down()

    def _perform(self, action: Action) -> None:
        if isinstance(action, Commit):
            self.sequence += 1
            self.commits.submit(self._commit, action, self.sequence)
        elif isinstance(action, RequestReport):
            self._hold(action)
        elif isinstance(action, JobStarted):
            self._note_begun(action)
        elif isinstance(action, HandoversConfirmed):
            mark_jobs_delivered(self.context.replica, action.job_ids)
        elif isinstance(action, Forward):
            self.forwards.submit(self._forward, action)
        else:
            self._order(action)

    def _commit(self, action: Commit, sequence: int) -> None:
        """Store records and take them into the copy, which later ownerships share.

        Notes
        -----
        Guards against old progress over new: an answer may come when this ownership is
        over and the instance owns the unit again, under a later one.
        """
        context = self.context
        append = Append(
            PROGRESS, context.unit, action.records, PRODUCER, context.epoch, sequence
        )
        if append_until_answered(context, append) and not context.stopping.is_set():
            for record in action.records:
                apply_record(context.replica, record.key, record.value)
            for summary in action.summaries:
                self._note_end(summary)
            self.actor_ref.tell(Committed())

    def _note_end(self, summary: JobSummary) -> None:
        """Log a job's end with where its time went, and count that time.

        Notes
        -----
        The counters tell of all jobs, also of those whose lines are left out.
        """
        context = self.context
        context.log.write(
            "job_ended",
            job=summary.job_id,
            state=summary.state,
            took_s=summary.duration_s,
            late_s=summary.lateness_s,
            task_s=summary.task_time_s,
            lost=summary.lost_runs,
        )
        for part, seconds in summary.task_time_s.items():
            context.meters.task_seconds.labels(part).inc(seconds)
        for how, runs in summary.lost_runs.items():
            context.meters.lost_runs.labels(how).inc(runs)

    def _forward(self, action: Forward) -> None:
        """Store records for another unit, however often it takes.

        Notes
        -----
        No fencing is needed: whoever owned this unit when the handing over was stored
        may send the job, and a repeat changes nothing.
        """
        context = self.context
        append = Append(INTAKE, action.unit, action.records)
        while not context.stopping.is_set():
            answer = context.store.append(append, SLOW_APPEND_TIMEOUT_S)
            if isinstance(answer, Ok):
                keys = [record.key for record in action.records]
                for key in keys:
                    context.log.write("job_handed_over", key=key, unit=action.unit)
                self._tell(Forwarded(keys))
                return
            why = answer.err_value.detail
            context.log.write("order_failed", kind="forward", why=why)
            context.stopping.wait(RETRY_S)

    def _hold(self, action: RequestReport) -> None:
        sent_at = read_clock()
        entry = action.entry
        order = _address(entry, self.context.epoch, lease=action.lease_until_ms)

        def take(answer: Result[RunnerReport, CallError]) -> None:
            self._tell(self._judge_report(entry.incarnation, answer, sent_at))

        self.context.runners.renew_lease(
            order, action.last_seen, action.wait_s, HOLD_TIMEOUT_S, take
        )

    def _judge_report(
        self, incarnation: str, answer: Result[RunnerReport, CallError], sent_at: float
    ) -> ReportReceived | ReportFailed:
        if isinstance(answer, Ok):
            return ReportReceived(incarnation, answer.ok_value, sent_at)
        error = answer.err_value
        if error.kind == ErrorKind.CONFLICT:
            self.context.step_down()
        self.context.log.write("runner_silent", runner=incarnation, why=error.detail)
        other_incarnation = error.kind == ErrorKind.OTHER_INCARNATION
        return ReportFailed(incarnation, sent_at, error.detail, other_incarnation)

    def _order(self, action: SendOrder) -> None:
        sent_at = read_clock()
        order = Order(
            runner=action.entry.runner,
            started_at_ms=action.entry.started_at_ms,
            address=action.entry.address,
            task=action.task,
            run=action.run,
            fence=self.context.epoch,
            spec=action.spec,
            lease_until_ms=action.lease_until_ms,
            checkpoint=action.checkpoint,
            percent=action.percent,
        )
        calls = self.context.runners
        send = {
            OrderKind.START: calls.start,
            OrderKind.STOP: calls.stop,
            OrderKind.PACE: calls.pace,
        }[action.kind]
        send(
            order,
            ORDER_TIMEOUT_S,
            lambda result: self._take_result(action, result, sent_at),
        )

    def _take_result(
        self, action: SendOrder, result: OrderResult, sent_at: float
    ) -> None:
        if result.outcome == OrderOutcome.FENCED:
            self.context.step_down()
        if result.outcome != OrderOutcome.DONE:
            self.context.log.write(
                "order_failed",
                kind=action.kind,
                job=action.task.job_id,
                task=action.task[1:],
                run=action.run,
                runner=action.entry.incarnation,
                outcome=result.outcome,
                why=result.detail,
            )
        incarnation = action.entry.incarnation
        self._tell(
            OrderAnswered(
                action.kind, action.task, action.run, incarnation, result, sent_at
            )
        )

    def _tell(self, event: Any) -> None:
        with contextlib.suppress(pykka.ActorDeadError):
            self.actor_ref.tell(event)


def _address(entry: RunnerEntry, epoch: int, lease: int) -> Order:
    """Return an order about no task: a report is about the whole runner."""
    nothing = TaskKey("", 0, 0, 0)
    return Order(
        entry.runner,
        entry.started_at_ms,
        entry.address,
        nothing,
        0,
        epoch,
        lease_until_ms=lease,
    )


def append_until_answered(context: UnitContext, append: Append) -> bool:
    """Send an append until the store has it; return False if a successor fenced it.

    Notes
    -----
    Guards against an append whose answer was lost: it may have taken effect, or may
    seconds later. A repeat under the same sequence number is stored once.
    """
    timeout_s = APPEND_TIMEOUT_S
    while not context.stopping.is_set():
        answer = context.store.append(append, timeout_s)
        if isinstance(answer, Err):
            timeout_s = SLOW_APPEND_TIMEOUT_S
            context.log.write(
                "order_failed", kind="append", why=answer.err_value.detail
            )
            context.stopping.wait(RETRY_S)
            continue
        if answer.ok_value.accepted:
            return True
        context.step_down()
        return False
    return False


@contextlib.contextmanager
def run_unit_actor(
    context: UnitContext, dispatcher: Dispatcher
) -> Iterator[pykka.ActorRef[UnitActor]]:
    """Run a unit's actor, and its clock, for the length of the context."""
    actor = UnitActor.start(context, dispatcher)
    ticker = threading.Thread(target=_tick, args=(context, actor), daemon=True)
    ticker.start()
    try:
        yield actor
    finally:
        context.stopping.set()
        actor.stop(block=False)


def _tick(context: UnitContext, actor: pykka.ActorRef[UnitActor]) -> None:
    while not context.stopping.wait(TICK_S):
        with contextlib.suppress(pykka.ActorDeadError):
            actor.tell(Tick())
