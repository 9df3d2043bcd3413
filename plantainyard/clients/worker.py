"""Client of the platform's workers, which reads their state and sends commands.

The epoch of a call is a fencing token: a worker responds with status 409 if the epoch
is older than the greatest it has seen. It responds with 410 if the call arrives after
`Commands.not_after` or is addressed to an earlier incarnation. Both responses contain
the worker's state, which names its present holder.
"""

from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple

import urllib3
from result import Err, Ok, Result

from plantainyard.decoding import FAILURES, describe_failure
from plantainyard.errors import CallError, ErrorKind
from plantainyard.transport import (
    CONFLICT,
    DEFAULT_TIMEOUT_S,
    GONE,
    HttpPeer,
    JsonResponse,
    build_peer,
    call_json,
)
from plantainyard.work import Size, TaskKey, format_task, parse_task

__all__ = [
    "Commands",
    "FinishedTask",
    "Refusal",
    "Renewal",
    "RunningTask",
    "Start",
    "TaskAttempt",
    "Throttle",
    "Usage",
    "WorkerResponse",
    "WorkerClient",
    "WorkerState",
    "build_worker_client",
    "encode_commands",
    "parse_state",
    "read_state",
    "send_commands",
]


class WorkerClient(NamedTuple):
    """A connection to a worker."""

    peer: HttpPeer


class TaskAttempt(NamedTuple):
    """One attempt at a task."""

    task: TaskKey
    attempt: int


class Renewal(NamedTuple):
    """An extension of an attempt's lease to `until`, on the worker's clock."""

    task: TaskKey
    attempt: int
    until: float


class Throttle(NamedTuple):
    """The fraction of its processors, in (0, 1], that an attempt may use."""

    task: TaskKey
    attempt: int
    share: float


class Start(NamedTuple):
    """An attempt to start.

    Attributes
    ----------
    until : float
        End of the attempt's lease, on the worker's clock.
    run_s : float
        Declared run time in seconds; zero for a runner.
    slots, connections : int
        Greatest number of concurrent requests and of connections of a runner.
    checkpoint : str
        Checkpoint to resume from; empty to start from the beginning.
    work : str
        The job's payload, passed on unchanged.
    """

    task: TaskKey
    attempt: int
    until: float
    size: Size
    run_s: float = 0.0
    workload: str = ""
    latency_critical: bool = False
    slots: int = 0
    connections: int = 0
    checkpoint: str = ""
    work: str = ""


class Commands(NamedTuple):
    """The commands that one call sends to a worker.

    Attributes
    ----------
    epoch : int
        Fencing token of the sender.
    holder : str
        Identifier of the sending instance.
    incarnation : int
        Incarnation of the worker to which the call is addressed.
    not_after : float
        Time on the worker's clock after which the call must have no effect.
    renew, start, stop, checkpoint, throttle, ack : tuple
        The commands of each kind; `ack` acknowledges finished attempts.
    """

    epoch: int
    holder: str
    incarnation: int
    not_after: float
    renew: tuple[Renewal, ...] = ()
    start: tuple[Start, ...] = ()
    stop: tuple[TaskAttempt, ...] = ()
    checkpoint: tuple[TaskAttempt, ...] = ()
    throttle: tuple[Throttle, ...] = ()
    ack: tuple[TaskAttempt, ...] = ()


class RunningTask(NamedTuple):
    """A running attempt; `address` is that of a runner, empty for a batch task."""

    task: TaskKey
    attempt: int
    until: float
    size: Size
    workload: str
    address: str
    leaving: bool
    throttle: float


class FinishedTask(NamedTuple):
    """An ended attempt, which the worker reports until it is acknowledged."""

    task: TaskKey
    attempt: int
    outcome: str
    detail: str


class Usage(NamedTuple):
    """Resource usage of an attempt, measured at `time_s` on the worker's clock."""

    task: TaskKey
    attempt: int
    time_s: float
    cores: float
    memory_gb: float
    latency_ms: float


class Refusal(NamedTuple):
    """A start that the worker refused."""

    task: TaskKey
    attempt: int
    reason: str


class WorkerState(NamedTuple):
    """The state that a worker reports.

    Attributes
    ----------
    incarnation : int
        Increases with each restart of the worker; a restart ends all its tasks.
    clock_s : float
        The worker's clock when it responded.
    epoch, holder
        The greatest epoch that the worker has seen and the instance that sent it.
    """

    worker: str
    incarnation: int
    clock_s: float
    epoch: int
    holder: str
    capacity: Size
    refused: tuple[Refusal, ...]
    running: tuple[RunningTask, ...]
    finished: tuple[FinishedTask, ...]
    usage: tuple[Usage, ...]
    leaving: bool = False


class WorkerResponse(NamedTuple):
    """A worker's response to commands.

    Attributes
    ----------
    accepted : bool
        Whether the worker executed the commands.
    expired : bool
        Whether the commands arrived after their `Commands.not_after` or were addressed
        to an earlier incarnation. If a call is neither accepted nor expired, the worker
        has seen a greater epoch, which `state` contains.
    state : WorkerState
        The worker's state after the call.
    """

    accepted: bool
    expired: bool
    state: WorkerState


def build_worker_client(
    address: str,
    pool: urllib3.PoolManager | None = None,
    timeout_s: float = DEFAULT_TIMEOUT_S,
) -> WorkerClient:
    """Return a client of the worker at `address`."""
    return WorkerClient(build_peer(address, pool, timeout_s))


def read_state(client: WorkerClient) -> Result[WorkerState, CallError]:
    """Return the worker's state; this needs no epoch and changes nothing."""
    step = "worker.state"
    response = call_json(client.peer, step, "GET", "/state")
    if isinstance(response, Err):
        return response
    return _parse_response(client, step, response.ok_value)


def send_commands(
    client: WorkerClient, commands: Commands
) -> Result[WorkerResponse, CallError]:
    """Send `commands` once and return the worker's response.

    Returns
    -------
    Result[WorkerResponse, CallError]
        A stale epoch and an expired call are responses, not errors. After ``LOST`` the
        commands may have been executed; `read_state` shows whether they were.
    """
    step = "worker.commands"
    response = call_json(
        client.peer,
        step,
        "POST",
        "/commands",
        encode_commands(commands),
        accepted=frozenset({CONFLICT, GONE}),
    )
    if isinstance(response, Err):
        return response
    status = response.ok_value.status
    return _parse_response(client, step, response.ok_value).map(
        lambda state: WorkerResponse(
            status not in (CONFLICT, GONE), status == GONE, state
        )
    )


def encode_commands(commands: Commands) -> dict[str, Any]:
    """Return `commands` as a JSON object; empty lists are left out."""
    lists = {
        "renew": _encode_rows(commands.renew),
        "start": [_encode_start(start) for start in commands.start],
        "stop": _encode_rows(commands.stop),
        "checkpoint": _encode_rows(commands.checkpoint),
        "throttle": _encode_rows(commands.throttle),
        "ack": _encode_rows(commands.ack),
    }
    return {
        "epoch": commands.epoch,
        "holder": commands.holder,
        "incarnation": commands.incarnation,
        "not_after": commands.not_after,
        **{name: rows for name, rows in lists.items() if rows},
    }


def parse_state(body: Mapping[str, Any]) -> WorkerState:
    """Return the state in a worker's JSON response.

    Raises
    ------
    KeyError, TypeError, ValueError
        If a field is missing or has the wrong type.
    """
    return WorkerState(
        worker=str(body["worker"]),
        incarnation=int(body["incarnation"]),
        clock_s=float(body["clock_s"]),
        epoch=int(body["epoch"]),
        holder=str(body["holder"]),
        capacity=Size(**body["capacity"]),
        refused=tuple(
            Refusal(parse_task(task), int(attempt), str(reason))
            for task, attempt, reason in body.get("refused", ())
        ),
        running=tuple(_parse_running(item) for item in body["running"]),
        finished=tuple(_parse_finished(item) for item in body["finished"]),
        usage=tuple(_parse_usage(item) for item in body.get("usage", ())),
        leaving=bool(body.get("leaving", False)),
    )


def _parse_response(
    client: WorkerClient, step: str, response: JsonResponse
) -> Result[WorkerState, CallError]:
    try:
        return Ok(parse_state(response.body))
    except FAILURES as error:
        detail = describe_failure(error)
        return Err(CallError(ErrorKind.MALFORMED, step, client.peer.address, detail))


def _encode_rows(
    rows: Iterable[Renewal | Throttle | TaskAttempt],
) -> list[list[Any]]:
    return [[format_task(row[0]), *row[1:]] for row in rows]


def _encode_start(start: Start) -> dict[str, Any]:
    return {
        **start._asdict(),
        "task": format_task(start.task),
        "size": start.size._asdict(),
    }


def _parse_running(item: Mapping[str, Any]) -> RunningTask:
    return RunningTask(
        parse_task(item["task"]),
        int(item["attempt"]),
        float(item["until"]),
        Size(**item["size"]),
        str(item["workload"]),
        str(item.get("address", "")),
        bool(item.get("leaving", False)),
        float(item.get("throttle", 1.0)),
    )


def _parse_finished(item: Mapping[str, Any]) -> FinishedTask:
    return FinishedTask(
        parse_task(item["task"]),
        int(item["attempt"]),
        str(item["outcome"]),
        str(item.get("detail", "")),
    )


def _parse_usage(item: Mapping[str, Any]) -> Usage:
    return Usage(
        parse_task(item["task"]),
        int(item["attempt"]),
        float(item["time_s"]),
        float(item["cores"]),
        float(item["memory_gb"]),
        float(item.get("latency_ms", 0.0)),
    )
