"""Owner of a unit: an actor that runs the dispatcher and carries out its actions."""

import contextlib
import math
import queue
import threading
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from types import TracebackType
from typing import Any

import pykka
from result import Ok, Result

from plantainyard.batch.records import parse_key
from plantainyard.batch.replica import (
    BOUNDS_KEY,
    FENCES_KEY,
    INTERFERENCE_KEY,
    RUN_TIMES_KEY,
    apply_record,
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
    OrderAnswered,
    OrderKind,
    ReportFailed,
    ReportReceived,
    RequestReport,
    SendOrder,
    Tick,
    list_lease_ends,
    step,
)
from plantainyard.entry.appends import forward_records, store_records
from plantainyard.entry.context import UnitContext
from plantainyard.entry.decision_log import record_decision
from plantainyard.entry.occupancy import Occupancy
from plantainyard.entry.quarantine import QuarantineReason, record_quarantine
from plantainyard.entry.unit_log import (
    LogState,
    log_held_runs,
    log_run_ends,
    log_run_start,
    log_work,
    record_job_end,
    record_job_start,
    record_occupancy,
)
from plantainyard.errors import CallError, ErrorKind
from plantainyard.platform.runner_messages import (
    Order,
    OrderOutcome,
    OrderResult,
    RunnerReport,
)
from plantainyard.platform.store_messages import Record

__all__ = ["UnitActor", "UnitContext", "run_unit_actor"]

TICK_S = 0.1
"""Time in seconds between ticks, at which retries, leases and schedules fall due."""

ORDER_TIMEOUT_S = 0.4
"""Timeout in seconds of an order. An answer from another region takes 30 ms."""

DECISION_S = 2.0
"""Longest time between the decision for a start and its sending. A loaded owner takes
some tenths of a second for the decisions of one event."""

REPORT_TIMEOUT_S = 0.4
"""Timeout in seconds of a report, in addition to the wait that the request asks for;
the same as for orders."""


class UnitActor(pykka.ThreadingActor):
    """Actor that runs a unit's dispatcher and carries out its actions.

    Parameters
    ----------
    context : UnitContext
        Dependencies of the ownership.
    dispatcher : Dispatcher
        State of the dispatcher, restored from the store.
    """

    use_daemon_thread = True

    @staticmethod
    def _create_actor_inbox() -> Any:
        """Return the actor's inbox; see `pykka.Actor`.

        Notes
        -----
        The library's default is a bounded queue written in Python, in which each event
        takes and notifies several locks. This queue takes one lock, in C. It is
        unbounded.
        """
        return queue.SimpleQueue()

    def __init__(self, context: UnitContext, dispatcher: Dispatcher) -> None:
        super().__init__()
        self.context = context
        self.dispatcher = dispatcher
        self.commit_pool = ThreadPoolExecutor(1, "commit")
        self.forward_pool = ThreadPoolExecutor(1, "forward")
        self.log_state = LogState(Occupancy(read_clock()))

    def on_start(self) -> None:
        """Log the runs that the takeover holds."""
        log_held_runs(self.context, self.dispatcher, self.log_state, read_clock())

    def on_receive(self, message: Any) -> None:
        """Pass an event to the dispatcher and carry out the resulting actions."""
        if self.context.stopping.is_set():
            return
        now = read_clock()
        if isinstance(message, ReportReceived):
            log_run_ends(self.context, self.dispatcher, message)
        for action in step(self.dispatcher, message, now):
            self._perform(action, now)
        record_occupancy(self.log_state, message, now)
        if isinstance(message, OrderAnswered):
            log_run_start(self.context, self.dispatcher, message, now)
        if isinstance(message, Tick):
            log_held_runs(self.context, self.dispatcher, self.log_state, now)
            log_work(self.context, self.dispatcher, self.log_state, now)

    def on_stop(self) -> None:
        """Shut the thread pools down; calls in progress end by their own timeouts.

        Notes
        -----
        The actor handles no event after this, so that it grants no lease any more.
        """
        self.context.on_released(list_lease_ends(self.dispatcher.runners.values()))
        for pool in (self.commit_pool, self.forward_pool):
            pool.shutdown(wait=False, cancel_futures=True)

    def on_failure(
        self,
        exception_type: type[BaseException] | None,
        exception_value: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Release the unit after an unexpected exception.

        Notes
        -----
        Guards against a unit that is owned but not served: the actor has ended, while
        the group still assigns the unit to this instance. The next owner, on this or
        another instance, starts from the stored records.
        """
        if exception_value is not None:
            # After the commit that is being stored, since appends are numbered.
            self.commit_pool.submit(self.context.on_failure, exception_value)

    def _perform(self, action: Action, decided_at: float) -> None:
        context = self.context
        if isinstance(action, Commit):
            self.commit_pool.submit(self._commit, action)
        elif isinstance(action, RequestReport):
            self._request_report(action)
        elif isinstance(action, JobStarted):
            record_job_start(context, action)
        elif isinstance(action, HandoversConfirmed):
            mark_jobs_delivered(context.replica, action.job_ids)
        elif isinstance(action, Forward):
            self.forward_pool.submit(self._forward, action)
        elif isinstance(action, SendOrder):
            self._send_order(action, decided_at)
        else:
            record_decision(context.log, context.meters, context.unit, action)

    def _commit(self, action: Commit) -> None:
        """Store records and apply them to the replica, which later ownerships share.

        Notes
        -----
        Guards against overwriting newer progress with older: an answer may arrive after
        this ownership has ended and the instance owns the unit again in a later epoch.

        Guards against a unit that is owned but not served: after an unexpected
        exception here, the dispatcher would wait for the commit for good.
        """
        context = self.context
        try:
            began_at = read_clock()
            too_large = store_records(context, action.records)
            stored_s = read_clock() - began_at
            if too_large is None or context.stopping.is_set():
                return
            for record in action.records:
                if record not in too_large:
                    apply_record(context.replica, record.key, record.value)
            for summary in action.summaries:
                record_job_end(context, summary, stored_s)
            jobs = self._report_too_large(too_large)
        except Exception as error:
            context.on_failure(error)
            return
        self.actor_ref.tell(Committed(jobs))

    def _report_too_large(self, records: list[Record]) -> frozenset[str]:
        """Log the records that weren't stored; return the jobs of which they are.

        Notes
        -----
        Without the records of fencing tokens and bounds of leases no successor could
        take over safely. What was learned is learned again.
        """
        context = self.context
        jobs: set[str] = set()
        for record in records:
            if record.key in (FENCES_KEY, BOUNDS_KEY):
                raise ValueError(f"record {record.key} is too large to be stored")
            if record.key in (INTERFERENCE_KEY, RUN_TIMES_KEY):
                context.log.write("record_too_large", key=record.key, size=record.size)
                continue
            jobs.add(parse_key(record.key).job_id)
        for job_id in jobs:
            record_quarantine(context, job_id, QuarantineReason.RECORD)
        return frozenset(jobs)

    def _forward(self, action: Forward) -> None:
        """Store records for another unit, retrying until it succeeds.

        Notes
        -----
        No fencing is needed. Whichever instance owned this unit when the hand-over was
        stored may send the job, and a repeated append changes nothing.
        """
        context = self.context
        try:
            stored = forward_records(context, action.unit, action.records)
        except Exception as error:
            context.on_failure(error)
            return
        if stored:
            self._send_event(Forwarded([record.key for record in action.records]))

    def _request_report(self, action: RequestReport) -> None:
        sent_at = read_clock()
        self.context.fences[action.entry.runner] = action.fence
        order = _build_report_order(action)

        def on_answer(answer: Result[RunnerReport, CallError]) -> None:
            self._send_event(self._interpret_report(action, answer, sent_at))

        self.context.runners.renew_lease(
            order, action.last_seen, action.wait_s, REPORT_TIMEOUT_S, on_answer
        )

    def _interpret_report(
        self,
        action: RequestReport,
        answer: Result[RunnerReport, CallError],
        sent_at: float,
    ) -> ReportReceived | ReportFailed:
        incarnation = action.entry.incarnation
        if isinstance(answer, Ok):
            return ReportReceived(incarnation, answer.ok_value, sent_at)
        error = answer.err_value
        if error.kind == ErrorKind.CONFLICT:
            self._apply_fence(action.entry.runner, action.fence)
        self.context.log.write("runner_silent", runner=incarnation, why=error.detail)
        other_incarnation = error.kind == ErrorKind.OTHER_INCARNATION
        return ReportFailed(incarnation, sent_at, error.detail, other_incarnation)

    def _send_order(self, action: SendOrder, decided_at: float) -> None:
        """Send an order; a start is sent soon after its decision, or not at all.

        Notes
        -----
        Guards against two runs of one task: an owner that was stopped for a while sends
        a start when it doesn't count on it any more.
        """
        sent_at = read_clock()
        send_by = math.inf
        if action.kind == OrderKind.START:
            send_by = min(sent_at + ORDER_TIMEOUT_S, decided_at + DECISION_S)
        self.context.fences[action.entry.runner] = action.fence
        order = Order(
            runner=action.entry.runner,
            started_at_ms=action.entry.started_at_ms,
            address=action.entry.address,
            task=action.task,
            run=action.run,
            fence=action.fence,
            spec=action.spec,
            lease_until_ms=action.lease_until_ms,
            checkpoint=action.checkpoint,
            percent=action.percent,
            send_by=send_by,
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
            lambda result: self._handle_result(action, result, sent_at),
        )

    def _handle_result(
        self, action: SendOrder, result: OrderResult, sent_at: float
    ) -> None:
        if result.outcome == OrderOutcome.FENCED:
            self._apply_fence(action.entry.runner, action.fence)
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
        self._send_event(
            OrderAnswered(
                action.kind, action.task, action.run, incarnation, result, sent_at
            )
        )

    def _apply_fence(self, runner: str, fence: int) -> None:
        """Release the unit if a runner has refused its highest fencing token.

        Notes
        -----
        Guards against a unit that is released because of this owner's own calls: a call
        to an earlier incarnation of the runner carries a lower token.
        """
        if fence >= self.context.fences[runner]:
            self.context.step_down()

    def _send_event(self, event: Any) -> None:
        with contextlib.suppress(pykka.ActorDeadError):
            self.actor_ref.tell(event)


def _build_report_order(action: RequestReport) -> Order:
    """Return an order without a task, because a report covers the whole runner."""
    no_task = TaskKey("", 0, 0, 0)
    return Order(
        action.entry.runner,
        action.entry.started_at_ms,
        action.entry.address,
        no_task,
        0,
        action.fence,
        lease_until_ms=action.lease_until_ms,
    )


@contextlib.contextmanager
def run_unit_actor(
    context: UnitContext, dispatcher: Dispatcher
) -> Iterator[pykka.ActorRef[UnitActor]]:
    """Run a unit's actor and its ticker for the duration of the context."""
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
            actor.tell(Tick(read_clock()))
