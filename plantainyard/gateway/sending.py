"""Sendings, in the thread of the caller's request: to a runner or to a peer."""

import base64
import binascii
from collections.abc import Callable
from typing import NamedTuple

import urllib3
from result import Err

from plantainyard.clients import (
    HttpPeer,
    RunnerAnswer,
    RunnerOutcome,
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
    FinalAnswer,
    Forward,
    ForwardEnded,
    Response,
    Send,
    SendResult,
    check_credit,
)

__all__ = ["Sender", "pack_answer", "send_forward", "send_to_runner"]

LEAVING_HEADER = "Leaving"
RUNNER_CONNECT_S = 0.25
SERVER_ERROR = 500


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
    """

    runners: urllib3.PoolManager
    peers: urllib3.PoolManager
    token: str
    instance: str


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
    peer = client.peer._replace(connect_s=RUNNER_CONNECT_S)
    now = read_time()
    timeout_s = min(action.timeout_s, action.request.deadline - now)
    # The thread may have slept since the decision: past the credit's end the slot may
    # be another gateway's, and the runner would be given more than it can hold.
    if not check_credit(action.not_after, now) or timeout_s <= 0:
        return AttemptEnded(action.key, SendResult.NOT_SENT)
    headers = {"Content-Type": content_type}
    answer = run_request(
        client._replace(peer=peer), body, action.request.id, timeout_s, headers
    )
    return _judge_answer(action.key, answer, read_time() - now)


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
        request.judged,
    )
    address = action.peer.address
    url = address if "://" in address else f"http://{address}"
    peer: HttpPeer = build_peer(url, sender.peers)
    result = call_peer(
        peer, sender.token, FORWARD_PATH, ask, ForwardAnswer, action.timeout_s
    )
    if isinstance(result, Err):
        return ForwardEnded(action.key, _judge_error(result.err_value))
    answer = _unpack_answer(result.ok_value)
    if answer is None or result.ok_value.request_id != request.id:
        return ForwardEnded(action.key, SendResult.LOST)
    return ForwardEnded(action.key, SendResult.ANSWERED, answer)


def pack_answer(answer: FinalAnswer, request_id: str) -> ForwardAnswer:
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


def _unpack_answer(message: ForwardAnswer) -> FinalAnswer | None:
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


def _judge_answer(key: str, sent: RunnerAnswer, latency_s: float) -> AttemptEnded:
    answer = sent.answer
    if answer is None:
        lost = sent.outcome != RunnerOutcome.NOT_RUN
        result = SendResult.LOST if lost else SendResult.NOT_RUN
        return AttemptEnded(key, result, latency_s)
    response = Response(
        answer.status,
        answer.body,
        answer.headers.get("Content-Type", "application/octet-stream"),
    )
    leaving = answer.headers.get(LEAVING_HEADER, "").lower() == "true"
    result = SendResult.ANSWERED
    if sent.outcome == RunnerOutcome.NOT_RUN:
        result = SendResult.NOT_RUN
    elif answer.status >= SERVER_ERROR:
        result = SendResult.FAILED
    kept = None if result == SendResult.NOT_RUN else response
    return AttemptEnded(key, result, latency_s, kept, leaving, sent.retry_after_s)


def _judge_error(error: CallError) -> str:
    sure = error.kind in (ErrorKind.UNREACHABLE, ErrorKind.REFUSED)
    return SendResult.NOT_RUN if sure else SendResult.LOST
