"""Sendings to runners, each on a thread of its own, and to peers."""

import base64
import binascii
import math
import threading
from collections.abc import Callable
from concurrent.futures import Executor
from typing import NamedTuple

import urllib3
from result import Err

from plantainyard.clients import (
    HttpPeer,
    RunnerOutcome,
    RunnerResult,
    build_peer,
    build_runner_client,
    run_request,
)
from plantainyard.clock import read_clock
from plantainyard.errors import CallError, ErrorKind
from plantainyard.gateway.peers import call_peer
from plantainyard.protocol import FORWARD_PATH, ForwardAnswer, ForwardAsk
from plantainyard.routing import (
    AttemptEnded,
    Event,
    FinalAnswer,
    Forward,
    ForwardEnded,
    LateAttemptEnded,
    Response,
    Send,
    SendResult,
    check_credit,
)

__all__ = [
    "Sender",
    "RunnerAttempt",
    "abandon_attempt",
    "build_forward_answer",
    "send_forward",
    "send_to_runner",
    "start_attempt",
]

_LEAVING_HEADER = "Leaving"
_RUNNER_CONNECT_TIMEOUT_S = 0.25
_SERVER_ERROR = 500


class Sender(NamedTuple):
    """What a sending needs.

    Attributes
    ----------
    runners, peers : urllib3.PoolManager
        Connections to runners and to other instances.
    token : str
        Bearer token of the instances.
    instance : str
        This instance's id.
    threads : Executor
        Threads on which sendings to runners wait.
    request_max_s : float
        How long a runner's answer is waited for, be its caller gone or not.
    """

    runners: urllib3.PoolManager
    peers: urllib3.PoolManager
    token: str
    instance: str
    threads: Executor
    request_max_s: float


class RunnerAttempt:
    """A sending to a runner on a thread of its own.

    Parameters
    ----------
    action : Send
        What is sent.
    """

    def __init__(self, action: Send) -> None:
        self.action = action
        self.lock = threading.Lock()
        self.begun = float("nan")
        self.is_ended = False
        self.is_abandoned = False


def start_attempt(
    sender: Sender,
    action: Send,
    body: bytes,
    content_type: str,
    tell: Callable[[Event], object],
) -> RunnerAttempt:
    """Send a request to its runner on another thread; `tell` gets the end of it.

    Notes
    -----
    The thread listens on after the caller's deadline. The slot of a request that was
    given up would else be held until the longest request has ended, and under
    overload such slots add up to a good part of all.
    """
    sending = RunnerAttempt(action)
    sender.threads.submit(_run_attempt, sender, sending, body, content_type, tell)
    return sending


def abandon_attempt(sending: RunnerAttempt) -> AttemptEnded | None:
    """End the waiting for a sending; return its end, or None where it had ended."""
    with sending.lock:
        if sending.is_ended or sending.is_abandoned:
            return None
        sending.is_abandoned = True
        key, begun = sending.action.key, sending.begun
    if math.isnan(begun):
        return AttemptEnded(key, SendResult.NOT_SENT)
    return AttemptEnded(key, SendResult.LOST, read_clock() - begun)


def _run_attempt(
    sender: Sender,
    sending: RunnerAttempt,
    body: bytes,
    content_type: str,
    tell: Callable[[Event], object],
) -> None:
    action = sending.action
    with sending.lock:
        if sending.is_abandoned:
            return
        sending.begun = read_clock()
    event = send_to_runner(sender, action, body, content_type)
    with sending.lock:
        sending.is_ended = True
        is_late = sending.is_abandoned
    if not is_late:
        tell(event)
    elif event.result != SendResult.LOST:
        tell(LateAttemptEnded(action.key, action.runner.id, event.latency_s))


def send_to_runner(
    sender: Sender,
    action: Send,
    body: bytes,
    content_type: str,
    read_time: Callable[[], float] = read_clock,
) -> AttemptEnded:
    """Send a request to its runner, once, and say how it ended.

    Parameters
    ----------
    sender : Sender
        Connections.
    action : Send
        What the deciding part asked for.
    body, content_type
        The caller's body.
    read_time : callable
        The clock.
    """
    client = build_runner_client(action.runner.address, sender.runners)
    peer = client.peer._replace(connect_s=_RUNNER_CONNECT_TIMEOUT_S)
    now = read_time()
    remaining_s = min(action.timeout_s, action.request.deadline - now)
    # The thread may have slept since the decision: past the credit's end the slot may
    # be another gateway's, and the runner would be given more than it can hold.
    if not check_credit(action.not_after, now) or remaining_s <= 0:
        return AttemptEnded(action.key, SendResult.NOT_SENT)
    headers = {"Content-Type": content_type}
    answer = run_request(
        client._replace(peer=peer),
        body,
        action.request.id,
        sender.request_max_s,
        headers,
        remaining_s,
    )
    return _classify_answer(action.key, answer, read_time() - now)


def send_forward(
    sender: Sender, action: Forward, body: bytes, content_type: str
) -> ForwardEnded:
    """Send a request to a peer, once, and say how it ended."""
    request = action.request
    ask = ForwardAsk(
        request.id,
        request.service,
        request.team,
        request.urgent,
        request.idempotent,
        max(0.0, request.deadline - read_clock()),
        request.hops,
        sender.instance,
        base64.b64encode(body).decode(),
        content_type,
        request.admitted,
    )
    address = action.peer.address
    url = address if "://" in address else f"http://{address}"
    peer: HttpPeer = build_peer(url, sender.peers)
    result = call_peer(
        peer, sender.token, FORWARD_PATH, ask, ForwardAnswer, action.timeout_s
    )
    if isinstance(result, Err):
        return ForwardEnded(action.key, _classify_error(result.err_value))
    answer = _read_forward_answer(result.ok_value)
    if answer is None or result.ok_value.request_id != request.id:
        return ForwardEnded(action.key, SendResult.LOST)
    return ForwardEnded(action.key, SendResult.ANSWERED, answer)


def build_forward_answer(answer: FinalAnswer, request_id: str) -> ForwardAnswer:
    """Return `answer` as the message that `send_forward` reads."""
    response = answer.response
    return ForwardAnswer(
        request_id,
        answer.outcome,
        answer.reason,
        answer.retry_after_s,
        response.status if response else 0,
        base64.b64encode(response.body).decode() if response else "",
        response.content_type if response else "",
        answer.detail,
    )


def _read_forward_answer(message: ForwardAnswer) -> FinalAnswer | None:
    try:
        body = base64.b64decode(message.body, validate=True)
    except (ValueError, binascii.Error):
        return None
    response = Response(message.status, body, message.content_type)
    return FinalAnswer(
        message.outcome,
        message.reason,
        message.retry_after_s,
        response if message.status else None,
        message.detail,
    )


def _classify_answer(key: str, sent: RunnerResult, latency_s: float) -> AttemptEnded:
    answer = sent.response
    if answer is None:
        lost = sent.outcome != RunnerOutcome.NOT_RUN
        result = SendResult.LOST if lost else SendResult.NOT_RUN
        return AttemptEnded(key, result, latency_s)
    response = Response(
        answer.status,
        answer.body,
        answer.headers.get("Content-Type", "application/octet-stream"),
    )
    leaving = answer.headers.get(_LEAVING_HEADER, "").lower() == "true"
    result = SendResult.ANSWERED
    if sent.outcome == RunnerOutcome.NOT_RUN:
        result = SendResult.NOT_RUN
    elif answer.status >= _SERVER_ERROR:
        result = SendResult.FAILED
    kept = None if result == SendResult.NOT_RUN else response
    return AttemptEnded(key, result, latency_s, kept, leaving, sent.retry_after_s)


def _classify_error(error: CallError) -> str:
    sure = error.kind in (ErrorKind.UNREACHABLE, ErrorKind.REFUSED)
    return SendResult.NOT_RUN if sure else SendResult.LOST
