"""Owner of a unit: an actor that runs the dispatcher and carries out its actions."""

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
    count_held_runs,
    list_lease_ends,
    step,
)
from plantainyard.entry.decision_log import record_decision
from plantainyard.entry.eventlog import EventLog
from plantainyard.entry.meters import Meters
from plantainyard.entry.topics import INTAKE, PRODUCER, PROGRESS
from plantainyard.errors import CallError, ErrorKind
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
"""Time in seconds between ticks, at which retries, leases and schedules fall due."""

ORDER_TIMEOUT_S = 0.4
"""Timeout in seconds of an order. An answer from another region takes 30 ms."""

REPORT_TIMEOUT_S = 0.4
"""Timeout in seconds of a report, in addition to the wait that the request asks for;
the same as for orders."""

APPEND_TIMEOUT_S = 0.6
"""Timeout in seconds of the first attempt of an append. The store answers a repeated
append like the first, so that only the waiting time is lost."""

SLOW_APPEND_TIMEOUT_S = 3.0
"""Timeout in seconds of repeated appends, which leaves a slow store time to answer."""

RETRY_S = 0.05
"""Pause in seconds before an append is repeated."""

HELD_RUNS_INTERVAL_S = 1.0
"""Time in seconds between log lines about the runs that a takeover holds."""


@dataclass(slots=True, eq=False)
class UnitContext:
    """Dependencies and shared state of one ownership of a unit.

    Attributes
    ----------
    unit, epoch : int
        Number of the unit, and fencing token of the ownership.
    store, runners : StoreCalls, RunnerCalls
        Clients of the platform's store and of the runners.
    replica : Replica
        Copy of the unit's jobs; each record is applied once it is stored.
    log : EventLog
        Log for decisions.
    step_down : callable
        Called when a successor has fenced this ownership, or after a failure.
    meters : Meters
        Metrics for latencies and counts.
    sequence : int
        Sequence number of the last append to the unit's progress.
    fences : dict
        Fencing token of the last call to each runner, by the runner's id.
    dispatcher : Dispatcher
        The unit's state, read for gauges.
    stopping : Event
        Set when the unit is released.
    on_released : callable
        Called with the last lease end of each runner once nothing more is granted.
    """

    unit: int
    epoch: int
    store: StoreCalls
    runners: RunnerCalls
    replica: Replica
    log: EventLog
    step_down: Callable[[], None]
    meters: Meters
    sequence: int = 0
    fences: dict[str, int] = field(default_factory=dict)
    dispatcher: Dispatcher = field(default_factory=lambda: Dispatcher(Limits()))
    stopping: threading.Event = field(default_factory=threading.Event)
    on_released: Callable[[dict[str, float]], None] = lambda _: None


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
        self.held_runs_logged_at: float | None = None
        self.holds_runs = True

    def on_start(self) -> None:
        """Log the runs that the takeover holds."""
        self._log_held_runs(read_clock())

    def on_receive(self, message: Any) -> None:
        """Pass an event to the dispatcher and carry out the resulting actions."""
        if self.context.stopping.is_set():
            return
        now = read_clock()
        if isinstance(message, ReportReceived):
            self._log_run_ends(message)
        for action in step(self.dispatcher, message, now):
            self._perform(action)
        if isinstance(message, OrderAnswered):
            self._log_run_start(message, now)
        if isinstance(message, Tick) and self.holds_runs:
            self._log_held_runs(now)

    def _log_held_runs(self, now: float) -> None:
        """Log the runs of unreported runners, once a second until there are none."""
        last = self.held_runs_logged_at
        if last is not None and now - last < HELD_RUNS_INTERVAL_S:
            return
        self.held_runs_logged_at = now
        held = count_held_runs(self.dispatcher, now)
        self.holds_runs = held.runs > 0
        unit = self.context.unit
        self.context.log.write("runs_held", unit=unit, **held._asdict())

    def _log_run_start(self, message: OrderAnswered, now: float) -> None:
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
            waited_s=round(now - job.received_at, 3),
        )

    def _record_job_start(self, action: JobStarted) -> None:
        self.context.meters.first_start.observe(action.waited_s)
        self.context.log.write("job_begun", job=action.job_id, waited_s=action.waited_s)
        mark_job_started(self.context.replica, action.job_id)

    def _log_run_ends(self, message: ReportReceived) -> None:
        runner = self.dispatcher.runners.get(message.incarnation)
        if runner is None:
            return
        for end in message.report.ended:
            if end.number > runner.last_end:
                self.context.log.write(
                    "run_ended",
                    job=end.task.job_id,
                    task=end.task[1:],
                    run=end.run,
                    runner=message.incarnation,
                    how=end.outcome,
                )

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
        frames = tb.format_exception(exception_type, exception_value, traceback)
        self.context.log.write("unit_failed", unit=self.context.unit, why=frames[-3:])
        self.context.step_down()

    def _perform(self, action: Action) -> None:
        context = self.context
        if isinstance(action, Commit):
            context.sequence += 1
            self.commit_pool.submit(self._commit, action, context.sequence)
        elif isinstance(action, RequestReport):
            self._request_report(action)
        elif isinstance(action, JobStarted):
            self._record_job_start(action)
        elif isinstance(action, HandoversConfirmed):
            mark_jobs_delivered(context.replica, action.job_ids)
        elif isinstance(action, Forward):
            self.forward_pool.submit(self._forward, action)
        elif isinstance(action, SendOrder):
            self._send_order(action)
        else:
            record_decision(context.log, context.meters, context.unit, action)

    def _commit(self, action: Commit, sequence: int) -> None:
        """Store records and apply them to the replica, which later ownerships share.

        Notes
        -----
        Guards against overwriting newer progress with older: an answer may arrive after
        this ownership has ended and the instance owns the unit again in a later epoch.
        """
        context = self.context
        append = Append(
            PROGRESS, context.unit, action.records, PRODUCER, context.epoch, sequence
        )
        if append_until_answered(context, append) and not context.stopping.is_set():
            for record in action.records:
                apply_record(context.replica, record.key, record.value)
            for summary in action.summaries:
                self._record_job_end(summary)
            self.actor_ref.tell(Committed())

    def _record_job_end(self, summary: JobSummary) -> None:
        """Log a job's end with a breakdown of its time, and update the metrics.

        Notes
        -----
        The counters include all jobs, also those whose log lines are left out.
        """
        context = self.context
        estimate = {"estimate": summary.estimate} if summary.estimate else {}
        context.log.write(
            "job_ended",
            job=summary.job_id,
            state=summary.state,
            took_s=summary.duration_s,
            late_s=summary.lateness_s,
            task_s=summary.task_time_s,
            lost=summary.lost_runs,
            **estimate,
        )
        for part, seconds in summary.task_time_s.items():
            context.meters.task_seconds.labels(part).inc(seconds)
        for how, runs in summary.lost_runs.items():
            context.meters.lost_runs.labels(how).inc(runs)

    def _forward(self, action: Forward) -> None:
        """Store records for another unit, retrying until it succeeds.

        Notes
        -----
        No fencing is needed. Whichever instance owned this unit when the hand-over was
        stored may send the job, and a repeated append changes nothing.
        """
        context = self.context
        append = Append(INTAKE, action.unit, action.records)
        while not context.stopping.is_set():
            answer = context.store.append(append, SLOW_APPEND_TIMEOUT_S)
            if isinstance(answer, Ok):
                keys = [record.key for record in action.records]
                for key in keys:
                    context.log.write("job_handed_over", key=key, unit=action.unit)
                self._send_event(Forwarded(keys))
                return
            why = answer.err_value.detail
            context.log.write("order_failed", kind="forward", why=why)
            context.stopping.wait(RETRY_S)

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

    def _send_order(self, action: SendOrder) -> None:
        sent_at = read_clock()
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


def append_until_answered(context: UnitContext, append: Append) -> bool:
    """Send an append until the store answers; return whether it was accepted.

    Notes
    -----
    Guards against an append whose answer was lost, which may have taken effect or may
    do so seconds later. A repeat with the same sequence number is stored only once. A
    refused append means that a successor has fenced this ownership.
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
            actor.tell(Tick())
