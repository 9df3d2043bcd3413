"""Attempts to send a request to a runner or to forward it to a peer.

Each attempt at a runner has a thread of its own, which outlives the caller's wait.
"""

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
"""Response header with which a runner says that it is about to stop."""

_RUNNER_CONNECT_TIMEOUT_S = 0.25
"""Longest wait in seconds for a connection to a runner."""

_SERVER_ERROR = 500


class Sender(NamedTuple):
    """Connections and threads with which requests are sent.

    Attributes
    ----------
    runners, peers : urllib3.PoolManager
        Connections to runners and to other instances.
    token : str
        Bearer token of the instances.
    instance : str
        Id of this instance.
    threads : Executor
        Threads that wait for runners' responses.
    request_max_s : float
        Longest wait for a runner's response in seconds, also after the caller's
        deadline.
    """

    runners: urllib3.PoolManager
    peers: urllib3.PoolManager
    token: str
    instance: str
    threads: Executor
    request_max_s: float


class RunnerAttempt:
    """State of one attempt at a runner, shared by its thread and the caller's thread.

    Parameters
    ----------
    action : Send
        The request, its runner and its time limits.

    Attributes
    ----------
    lock : threading.Lock
        Guards the other attributes.
    started_at : float
        Time at which the thread began to send, or NaN before.
    is_ended : bool
        Whether the thread has finished sending.
    is_abandoned : bool
        Whether the caller's thread no longer waits for the end.
    """

    def __init__(self, action: Send) -> None:
        self.action = action
        self.lock = threading.Lock()
        self.started_at = float("nan")
        self.is_ended = False
        self.is_abandoned = False


def start_attempt(
    sender: Sender,
    action: Send,
    body: bytes,
    content_type: str,
    on_end: Callable[[Event], object],
) -> RunnerAttempt:
    """Send a request to its runner on another thread and return the attempt.

    Parameters
    ----------
    sender : Sender
        Connections and threads.
    action : Send
        The request, its runner and its time limits.
    body, content_type
        Body of the caller's request and its type.
    on_end : callable
        Called on the other thread with the event that ends the attempt.

    Notes
    -----
    The thread waits for the response beyond the caller's deadline, so that the slot of
    an abandoned attempt is freed when the runner responds. Otherwise it would be held
    for the longest time that a request may take, and under overload such slots would
    add up to a large part of the capacity.
    """
    attempt = RunnerAttempt(action)
    sender.threads.submit(_run_attempt, sender, attempt, body, content_type, on_end)
    return attempt


def abandon_attempt(attempt: RunnerAttempt) -> AttemptEnded | None:
    """Abandon an attempt and return its end, or None if it has ended already."""
    with attempt.lock:
        if attempt.is_ended or attempt.is_abandoned:
            return None
        attempt.is_abandoned = True
        key, started_at = attempt.action.key, attempt.started_at
    if math.isnan(started_at):
        return AttemptEnded(key, SendResult.NOT_SENT)
    return AttemptEnded(key, SendResult.LOST, read_clock() - started_at)


def _run_attempt(
    sender: Sender,
    attempt: RunnerAttempt,
    body: bytes,
    content_type: str,
    on_end: Callable[[Event], object],
) -> None:
    action = attempt.action
    with attempt.lock:
        if attempt.is_abandoned:
            return
        attempt.started_at = read_clock()
    event = send_to_runner(sender, action, body, content_type)
    with attempt.lock:
        attempt.is_ended = True
        was_abandoned = attempt.is_abandoned
    if not was_abandoned:
        on_end(event)
    elif event.result != SendResult.LOST:
        on_end(LateAttemptEnded(action.key, action.runner.id, event.latency_s))


def send_to_runner(
    sender: Sender,
    action: Send,
    body: bytes,
    content_type: str,
    read_time: Callable[[], float] = read_clock,
) -> AttemptEnded:
    """Send a request to its runner, without retries, and return the attempt's end.

    Parameters
    ----------
    sender : Sender
        Connections and threads.
    action : Send
        The request, its runner and its time limits.
    body, content_type
        Body of the caller's request and its type.
    read_time : callable
        Returns the current time in seconds.
    """
    client = build_runner_client(action.runner.address, sender.runners)
    peer = client.peer._replace(connect_s=_RUNNER_CONNECT_TIMEOUT_S)
    now = read_time()
    time_left_s = min(action.timeout_s, action.request.deadline - now)
    # This thread may have been suspended since the decision. After the credit expires,
    # the slot may belong to another gateway and the runner would be overloaded.
    if not check_credit(action.not_after, now) or time_left_s <= 0:
        return AttemptEnded(action.key, SendResult.NOT_SENT)
    headers = {"Content-Type": content_type}
    answer = run_request(
        client._replace(peer=peer),
        body,
        action.request.id,
        sender.request_max_s,
        headers,
        time_left_s,
    )
    return _classify_answer(action.key, answer, read_time() - now)


def send_forward(
    sender: Sender, action: Forward, body: bytes, content_type: str
) -> ForwardEnded:
    """Forward a request to a peer, without retries, and return the attempt's end."""
    request = action.request
    message = ForwardAsk(
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
        peer, sender.token, FORWARD_PATH, message, ForwardAnswer, action.timeout_s
    )
    if isinstance(result, Err):
        return ForwardEnded(action.key, _classify_error(result.err_value))
    answer = _read_forward_answer(result.ok_value)
    if answer is None or result.ok_value.request_id != request.id:
        return ForwardEnded(action.key, SendResult.LOST)
    return ForwardEnded(action.key, SendResult.ANSWERED, answer)


def build_forward_answer(answer: FinalAnswer, request_id: str) -> ForwardAnswer:
    """Return `answer` as the message that answers a forwarded request."""
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


def _classify_answer(key: str, answer: RunnerResult, latency_s: float) -> AttemptEnded:
    response = answer.response
    if response is None:
        may_have_run = answer.outcome != RunnerOutcome.NOT_RUN
        result = SendResult.LOST if may_have_run else SendResult.NOT_RUN
        return AttemptEnded(key, result, latency_s)
    runner_response = Response(
        response.status,
        response.body,
        response.headers.get("Content-Type", "application/octet-stream"),
    )
    is_leaving = response.headers.get(_LEAVING_HEADER, "").lower() == "true"
    result = SendResult.ANSWERED
    if answer.outcome == RunnerOutcome.NOT_RUN:
        result = SendResult.NOT_RUN
    elif response.status >= _SERVER_ERROR:
        result = SendResult.FAILED
    kept_response = None if result == SendResult.NOT_RUN else runner_response
    return AttemptEnded(
        key, result, latency_s, kept_response, is_leaving, answer.retry_after_s
    )


def _classify_error(error: CallError) -> str:
    did_not_run = error.kind in (ErrorKind.UNREACHABLE, ErrorKind.REFUSED)
    return SendResult.NOT_RUN if did_not_run else SendResult.LOST
