"""What is said to runners and what they answer: orders, their outcomes, and reports."""

import math
from functools import lru_cache
from typing import Any, NamedTuple

from result import Err, Ok, Result

from plantainyard.batch.tasks import TaskKey
from plantainyard.decoding import (
    FAILURES,
    MAX_INTEGER,
    DecodeError,
    describe_failure,
    parse_decimal,
    read_integer,
    read_list,
    read_text,
    read_truncated,
)
from plantainyard.errors import CallError, ErrorKind
from plantainyard.platform.bodies import read_object
from plantainyard.transport import HttpResponse

__all__ = [
    "Order",
    "OrderOutcome",
    "OrderResult",
    "ReportedRun",
    "RunEnd",
    "RunnerReport",
    "decode_report",
    "decode_result",
    "format_task",
    "parse_task",
]


class Order(NamedTuple):
    """An order about one run of a task, for one incarnation of a runner.

    Attributes
    ----------
    runner, started_at_ms, address : str, int, str
        The incarnation that the order is meant for, and its ``ip:port``.
    task : TaskKey
        Key of the task.
    run : int
        Number of the run.
    fence : int
        Fencing token of the sending owner.
    spec : str
        Opaque text of the job; used by start orders.
    lease_until_ms : int
        Time on the runner's clock at which it stops all its runs unless the lease is
        renewed; used by start orders.
    checkpoint : str
        Checkpoint from which to resume; used by start orders.
    percent : int
        Share of full speed in percent; used by pace orders.
    send_by : float
        Time on the clock of `read_clock` after which the order isn't sent any more.
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
    send_by: float = math.inf


class OrderOutcome:
    """The outcomes of an order.

    Notes
    -----
    ``DONE``
        The runner has accepted the order.
    ``FENCED``
        The runner has seen a higher fencing token.
    ``STALE_RUN``
        A run of the task with this or a higher number has already ended on the runner.
    ``LEASE_EXPIRED``
        The lease in the order has already expired.
    ``NO_CAPACITY``
        The runner has too little free capacity for the task.
    ``REFUSED``
        The runner did not act, for another reason.
    ``OTHER_INCARNATION``
        The addressed incarnation has ended.
    ``UNKNOWN``
        There was no response: the order may be executed immediately, seconds later, or
        never.
    """

    DONE = "done"
    FENCED = "fenced"
    STALE_RUN = "old"
    LEASE_EXPIRED = "late"
    NO_CAPACITY = "no room"
    REFUSED = "refused"
    OTHER_INCARNATION = "other life"
    UNKNOWN = "unknown"


_OUTCOME_BY_REASON = {
    "fence": OrderOutcome.FENCED,
    "old": OrderOutcome.STALE_RUN,
    "late": OrderOutcome.LEASE_EXPIRED,
    "room": OrderOutcome.NO_CAPACITY,
}


_ERROR_KIND_BY_OUTCOME = {
    OrderOutcome.FENCED: ErrorKind.CONFLICT,
    OrderOutcome.OTHER_INCARNATION: ErrorKind.OTHER_INCARNATION,
    OrderOutcome.UNKNOWN: ErrorKind.LOST,
}


MAX_PERCENT = 100


MAX_OUTCOME = 32

"""Maximum length of the name of an outcome."""


MAX_CHECKPOINT = 1_024

"""Maximum length of a checkpoint that is kept; `docs/callers.md` states it."""


MISDIRECTED_STATUS = 421

"""HTTP status with which a runner rejects an order for another incarnation."""


TASK_NAME_CACHE_SIZE = 8192

"""Number of parsed task names to cache.

A task name recurs in every report while the task runs, and an owner has a few thousand
tasks.
"""


class OrderResult(NamedTuple):
    """The outcome of an order.

    Attributes
    ----------
    outcome : str
        One of `OrderOutcome`.
    clock_ms : int or None
        The runner's clock at the time of its response.
    detail : str
        Description for the log.
    """

    outcome: str
    clock_ms: int | None = None
    detail: str = ""


class ReportedRun(NamedTuple):
    """A run that a runner reports as running.

    Attributes
    ----------
    task, run : TaskKey, int
        The run.
    checkpoint : str
        Newest checkpoint; empty if there is none.
    percent : int
        Progress of the run in percent; 100 for a long-running task that is running.
    load : float or None
        Measured over the last half second: the tail latency in milliseconds of a
        serving task, or the processor time in thousandths of a core of any other task.
    """

    task: TaskKey
    run: int
    checkpoint: str
    percent: int
    load: float | None = None


class RunEnd(NamedTuple):
    """The end of a run, numbered by the runner.

    Attributes
    ----------
    number : int
        Increases by one with each end in an incarnation.
    task, run : TaskKey, int
        The run.
    outcome : str
        ``done``, ``failed``, ``stopped``, ``lapsed``, ``broken`` or ``alone``.
    checkpoint : str
        Newest checkpoint; empty if there is none.
    """

    number: int
    task: TaskKey
    run: int
    outcome: str
    checkpoint: str


class RunnerReport(NamedTuple):
    """A runner's report of its running and ended runs.

    Attributes
    ----------
    clock_ms : int
        The runner's clock at the time of its response.
    started_at_ms : int or None
        Start time of the incarnation that responded, if given.
    running : list of ReportedRun
        All runs that are running or being stopped.
    ended : list of RunEnd
        Ends of runs that have not been acknowledged yet.
    """

    clock_ms: int
    started_at_ms: int | None
    running: list[ReportedRun]
    ended: list[RunEnd]


def decode_result(response: HttpResponse) -> OrderResult:
    """Return the outcome of an order from the runner's response."""
    data = read_object(response)
    clock_ms = _read_clock_ms(data)
    if response.status == 200:
        return OrderResult(OrderOutcome.DONE, clock_ms)
    detail = f"status {response.status} {response.body[:100]!r}"
    if response.status == 409:
        reason = data.get("reason")
        outcome = _OUTCOME_BY_REASON.get(
            reason if isinstance(reason, str) else "", OrderOutcome.REFUSED
        )
        return OrderResult(outcome, clock_ms, detail)
    if response.status == MISDIRECTED_STATUS:
        return OrderResult(OrderOutcome.OTHER_INCARNATION, None, detail)
    if 400 <= response.status < 500 or response.status == 503:
        return OrderResult(OrderOutcome.REFUSED, clock_ms, detail)
    return OrderResult(OrderOutcome.UNKNOWN, clock_ms, detail)


def decode_report(
    response: HttpResponse, order: Order
) -> Result[RunnerReport, CallError]:
    """Return a runner's report, or the error that the response stands for.

    Notes
    -----
    ``CONFLICT`` means that the runner has seen a higher fencing token,
    ``OTHER_INCARNATION`` that the addressed incarnation has ended.
    """
    step, peer = "runner.hold", order.runner
    if response.status != 200:
        result = decode_result(response)
        kind = _ERROR_KIND_BY_OUTCOME.get(result.outcome, ErrorKind.REFUSED)
        return Err(CallError(kind, step, peer, result.detail))
    data = read_object(response)
    try:
        return Ok(_decode_report(data))
    except FAILURES as error:
        detail = describe_failure(error)
        return Err(CallError(ErrorKind.MALFORMED, step, peer, detail))


def _read_clock_ms(data: dict[str, Any]) -> int | None:
    try:
        return read_truncated(data["clockMs"], "clockMs")
    except (DecodeError, KeyError):
        return None


def _decode_report(data: dict[str, Any]) -> RunnerReport:
    born = data.get("born")
    return RunnerReport(
        clock_ms=read_truncated(data["clockMs"], "clockMs"),
        started_at_ms=None if born is None else read_truncated(born, "born"),
        running=[_decode_running(row) for row in read_list(data["running"], "running")],
        ended=[_decode_end(row) for row in read_list(data["endedRuns"], "endedRuns")],
    )


def _decode_running(row: list[Any]) -> ReportedRun:
    return ReportedRun(
        parse_task(row[0]),
        read_integer(row[1], "run"),
        _read_checkpoint(row[2]),
        read_truncated(row[3], "percent", 0, MAX_PERCENT),
        _read_load(row[4]) if len(row) > 4 else None,
    )


def _decode_end(row: list[Any]) -> RunEnd:
    return RunEnd(
        read_integer(row[0], "number"),
        parse_task(row[1]),
        read_integer(row[2], "run"),
        read_text(row[3], "outcome", MAX_OUTCOME),
        _read_checkpoint(row[4]),
    )


def _read_checkpoint(value: Any) -> str:
    """Return a checkpoint, or none in place of one that is too long to be stored.

    Notes
    -----
    Guards against a step whose progress doesn't fit into a record. The task can still
    be started from its beginning.
    """
    checkpoint = read_text(value, "checkpoint")
    return checkpoint if len(checkpoint) <= MAX_CHECKPOINT else ""


def _read_load(value: Any) -> float | None:
    """Return a rough figure, or None if it can't be calculated with."""
    is_number = type(value) is int or type(value) is float
    return float(value) if is_number and 0 <= value <= MAX_INTEGER else None


def format_task(task: TaskKey) -> str:
    """Return the name of a task on the wire.

    Examples
    --------
    >>> format_task(TaskKey("5c0e", 0, 1, 17))
    '5c0e.0.1.17'
    """
    return f"{task.job_id}.{task.occurrence}.{task.step}.{task.number}"


@lru_cache(maxsize=TASK_NAME_CACHE_SIZE)
def parse_task(name: str) -> TaskKey:
    """Return the task key for a name that was made by `format_task`.

    Raises
    ------
    ValueError
        If the name does not have that form. A name of another type raises TypeError or
        AttributeError.
    """
    job_id, *place = name.split(".")
    numbers = [parse_decimal(part) for part in place]
    occurrence, step, index = numbers
    if occurrence is None or step is None or index is None:
        raise DecodeError("a task's name has another form")
    return TaskKey(job_id, occurrence, step, index)
