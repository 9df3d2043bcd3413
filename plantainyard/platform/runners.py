"""Calls to runners: start, stop, pace, and hold with its report."""

from collections.abc import Callable
from functools import lru_cache
from typing import Any, NamedTuple

from result import Err, Ok, Result

from plantainyard.batch.tasks import TaskKey
from plantainyard.clock import read_clock
from plantainyard.connections import Call, ResultCallback, build_request
from plantainyard.errors import CallError, ErrorKind
from plantainyard.multiplexer import Multiplexer
from plantainyard.platform.bodies import encode_body, read_object
from plantainyard.transport import (
    CallObserver,
    HttpResponse,
    classify_result,
    discard_observation,
)

__all__ = [
    "RunnerReport",
    "ReportedRun",
    "ReportCallback",
    "Order",
    "OrderCallback",
    "OrderOutcome",
    "OrderResult",
    "RunEnd",
    "RunnerCalls",
    "build_runner_calls",
]


class Order(NamedTuple):
    """An order about one run of a task at one life of a runner.

    Attributes
    ----------
    runner, started_at_ms, address : str, int, str
        The life it is meant for, and where to reach it.
    task : TaskKey
        The task.
    run : int
        Number of the run.
    fence : int
        Fencing token of the sender.
    spec : str
        The job's opaque text; for starts.
    lease_until_ms : int
        Time on the runner's clock at which everything there stops; for starts.
    checkpoint : str
        Where to resume; for starts.
    percent : int
        Share of full speed; for pacing.
    """

    runner: str
    started_at_ms: int
    address: str
    task: TaskKey
    run: int
    fence: int
    spec: str = ""
    lease_until_ms: int = 0
    checkpoint: str = ""
    percent: int = 100


class OrderOutcome:
    """What became of an order.

    Notes
    -----
    ``DONE``
        The runner has taken it.
    ``FENCED``
        The runner has seen a higher fencing token.
    ``STALE_RUN``
        A run with this number or a later one has ended there.
    ``LEASE_EXPIRED``
        The lease in the order is over already.
    ``NO_CAPACITY``
        The runner refuses what doesn't fit.
    ``REFUSED``
        It did nothing, for another reason.
    ``OTHER_INCARNATION``
        The life that was meant is over.
    ``UNKNOWN``
        No answer: it may be carried out at once, seconds later, or never.
    """

    DONE = "done"
    FENCED = "fenced"
    STALE_RUN = "old"
    LEASE_EXPIRED = "late"
    NO_CAPACITY = "no room"
    REFUSED = "refused"
    OTHER_INCARNATION = "other life"
    UNKNOWN = "unknown"


_OUTCOMES = {
    "fence": OrderOutcome.FENCED,
    "old": OrderOutcome.STALE_RUN,
    "late": OrderOutcome.LEASE_EXPIRED,
    "room": OrderOutcome.NO_CAPACITY,
}

_ERROR_KINDS = {
    OrderOutcome.FENCED: ErrorKind.CONFLICT,
    OrderOutcome.OTHER_INCARNATION: ErrorKind.OTHER_INCARNATION,
    OrderOutcome.UNKNOWN: ErrorKind.LOST,
}

MISDIRECTED_STATUS = 421

TASK_NAME_CACHE_SIZE = 8192
"""Parsed names of tasks that are kept: each is in one report after the other for as
long as it runs, and an owner has a few thousand."""


class OrderResult(NamedTuple):
    """An order's outcome.

    Attributes
    ----------
    outcome : str
        One of `OrderOutcome`.
    clock_ms : int or None
        The runner's clock when it answered.
    detail : str
        For the log.
    """

    outcome: str
    clock_ms: int | None = None
    detail: str = ""


class ReportedRun(NamedTuple):
    """A run that is at a runner.

    Attributes
    ----------
    task, run : TaskKey, int
        Which one.
    checkpoint : str
        Newest one; empty for none.
    percent : int
        How far it is; 100 for a long-running task that is at work.
    load : float or None
        Over the last half second: the tail latency in milliseconds of a serving
        task, the processor time in use (thousandths of a core) of any other.
    """

    task: TaskKey
    run: int
    checkpoint: str
    percent: int
    load: float | None = None


class RunEnd(NamedTuple):
    """The end of a run, as the runner numbers them.

    Attributes
    ----------
    number : int
        Rises by one within a life.
    task, run : TaskKey, int
        Which one.
    outcome : str
        ``done``, ``failed``, ``stopped``, ``lapsed``, ``broken`` or ``alone``.
    checkpoint : str
        Newest one; empty for none.
    """

    number: int
    task: TaskKey
    run: int
    outcome: str
    checkpoint: str


class RunnerReport(NamedTuple):
    """A runner's report of all that runs and has ended there.

    Attributes
    ----------
    clock_ms : int
        The runner's clock.
    started_at_ms : int or None
        Life that answered, where it says so.
    running : list of ReportedRun
        Everything that runs or is being stopped.
    ended : list of RunEnd
        Ends that weren't acknowledged yet.
    """

    clock_ms: int
    started_at_ms: int | None
    running: list[ReportedRun]
    ended: list[RunEnd]


OrderCallback = Callable[[OrderResult], None]
"""Told what became of an order."""

ReportCallback = Callable[[Result[RunnerReport, CallError]], None]
"""Told a runner's report, or why there is none."""


class RunnerCalls(NamedTuple):
    """Calls to runners; each is told to a function what came of it.

    Attributes
    ----------
    multiplexer : Multiplexer
        The connections.
    observe : CallObserver
        Told of each call.

    Notes
    -----
    The functions that are told run on the multiplexer's thread and must not wait.
    """

    multiplexer: Multiplexer
    observe: CallObserver = discard_observation

    def start(self, order: Order, timeout_s: float, answered: OrderCallback) -> None:
        """Order a run to start; a repeat of the same order does no harm."""
        body: dict[str, Any] = {
            "task": format_task(order.task),
            "run": order.run,
            "spec": order.spec,
            "untilMs": order.lease_until_ms,
            "fence": order.fence,
        }
        if order.checkpoint:
            body["checkpoint"] = order.checkpoint
        self._order("run-start", order, body, timeout_s, answered)

    def stop(self, order: Order, timeout_s: float, answered: OrderCallback) -> None:
        """Order a run to stop; one that isn't there yet will be refused."""
        body = {"task": format_task(order.task), "run": order.run, "fence": order.fence}
        self._order("run-stop", order, body, timeout_s, answered)

    def pace(self, order: Order, timeout_s: float, answered: OrderCallback) -> None:
        """Let a run work at a share of its full speed."""
        body = {
            "task": format_task(order.task),
            "run": order.run,
            "percent": order.percent,
            "fence": order.fence,
        }
        self._order("pace", order, body, timeout_s, answered)

    def renew_lease(
        self,
        order: Order,
        last_seen: int,
        wait_s: float,
        timeout_s: float,
        answered: ReportCallback,
    ) -> None:
        """Renew the lease of all that runs at a runner, and read its report.

        Parameters
        ----------
        order : Order
            Names the life; a zero `lease_until_ms` renews nothing.
        last_seen : int
            Ends up to this number are forgotten by the runner.
        wait_s : float
            The answer waits so long for an end that isn't acknowledged.
        timeout_s : float
            Longest time for the answer beyond `wait_s`.
        answered : ReportCallback
            Told the report, or why there is none.
        """
        body: dict[str, Any] = {"fence": order.fence, "lastSeen": last_seen}
        if order.lease_until_ms:
            body["untilMs"] = order.lease_until_ms
        if wait_s:
            body["waitMs"] = round(wait_s * 1000)

        def take(answer: Result[HttpResponse, CallError]) -> None:
            answered(answer.and_then(lambda found: decode_report(found, order)))

        self._call("hold", order, body, timeout_s + wait_s, take)

    def close(self) -> None:
        """Close all connections; calls that are out end untold."""
        self.multiplexer.close()

    def _order(
        self,
        name: str,
        order: Order,
        body: dict[str, Any],
        timeout_s: float,
        answered: OrderCallback,
    ) -> None:
        def take(answer: Result[HttpResponse, CallError]) -> None:
            if isinstance(answer, Err):
                detail = answer.err_value.detail
                answered(OrderResult(OrderOutcome.UNKNOWN, None, detail))
            else:
                answered(decode_result(answer.ok_value))

        self._call(name, order, body, timeout_s, take)

    def _call(
        self,
        name: str,
        order: Order,
        body: dict[str, Any],
        timeout_s: float,
        answered: ResultCallback,
    ) -> None:
        step = f"runner.{name}"
        began = read_clock()

        def take(answer: Result[HttpResponse, CallError]) -> None:
            self.observe(step, classify_result(answer), read_clock() - began)
            answered(answer)

        headers = {
            "Content-Type": "application/json",
            "Expect-Instance": order.runner,
        }
        data = build_request(
            "POST", f"/v1/{name}", order.address, headers, encode_body(body)
        )
        call = Call(step, order.runner, order.address, data, timeout_s, take)
        self.multiplexer.send(call)


def build_runner_calls(observe: CallObserver = discard_observation) -> RunnerCalls:
    """Return calls to runners with connections of their own."""
    return RunnerCalls(Multiplexer(), observe)


def decode_result(answer: HttpResponse) -> OrderResult:
    data = read_object(answer)
    clock = data.get("clockMs")
    clock_ms = clock if isinstance(clock, int) else None
    if answer.status == 200:
        return OrderResult(OrderOutcome.DONE, clock_ms)
    detail = f"status {answer.status} {answer.body[:100]!r}"
    if answer.status == 409:
        outcome = _OUTCOMES.get(data.get("reason", ""), OrderOutcome.REFUSED)
        return OrderResult(outcome, clock_ms, detail)
    if answer.status == MISDIRECTED_STATUS:
        return OrderResult(OrderOutcome.OTHER_INCARNATION, None, detail)
    if 400 <= answer.status < 500 or answer.status == 503:
        return OrderResult(OrderOutcome.REFUSED, clock_ms, detail)
    return OrderResult(OrderOutcome.UNKNOWN, clock_ms, detail)


def decode_report(
    answer: HttpResponse, order: Order
) -> Result[RunnerReport, CallError]:
    """Return a runner's report, or why there is none.

    Notes
    -----
    ``CONFLICT`` means that the runner has seen a higher fencing token,
    ``OTHER_INCARNATION`` that the incarnation that was meant is over.
    """
    step, peer = "runner.hold", order.runner
    if answer.status != 200:
        result = decode_result(answer)
        kind = _ERROR_KINDS.get(result.outcome, ErrorKind.REFUSED)
        return Err(CallError(kind, step, peer, result.detail))
    data = read_object(answer)
    try:
        running = [_decode_running(row) for row in data["running"]]
        ended = [_decode_end(row) for row in data["endedRuns"]]
        return Ok(RunnerReport(int(data["clockMs"]), data.get("born"), running, ended))
    except (TypeError, KeyError, ValueError, IndexError) as error:
        return Err(CallError(ErrorKind.MALFORMED, step, peer, repr(error)))


def _decode_running(row: list[Any]) -> ReportedRun:
    load = float(row[4]) if len(row) > 4 and row[4] is not None else None
    return ReportedRun(parse_task(row[0]), row[1], row[2], row[3], load)


def _decode_end(row: list[Any]) -> RunEnd:
    return RunEnd(row[0], parse_task(row[1]), row[2], row[3], row[4])


def format_task(task: TaskKey) -> str:
    """Return a task's name on the wire.

    Examples
    --------
    >>> format_task(TaskKey("5c0e", 0, 1, 17))
    '5c0e.0.1.17'
    """
    return f"{task.job_id}.{task.occurrence}.{task.step}.{task.number}"


@lru_cache(maxsize=TASK_NAME_CACHE_SIZE)
def parse_task(name: str) -> TaskKey:
    """Return the task that `format_task` named; ValueError if it is no such name."""
    job_id, occurrence, step, index = name.split(".")
    return TaskKey(job_id, int(occurrence), int(step), int(index))
