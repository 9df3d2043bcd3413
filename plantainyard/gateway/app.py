"""The WSGI application of the port for callers.

It serves callers' requests and those that other instances forward.
"""

import contextlib
import threading
import time
from collections.abc import Callable, Iterable
from functools import partial
from http import HTTPStatus
from queue import Empty
from wsgiref.types import StartResponse, WSGIApplication, WSGIEnvironment

from result import Err

from plantainyard.api.app import read_body
from plantainyard.clock import read_clock
from plantainyard.gateway.actor import (
    ActionChannel,
    Gateway,
    close_channel,
    is_alive,
    open_channel,
    post_event,
)
from plantainyard.gateway.attempts import (
    RunnerAttempt,
    Sender,
    abandon_attempt,
    build_forward_answer,
    send_forward,
    start_attempt,
)
from plantainyard.gateway.parsing import (
    IncomingRequest,
    parse_caller_request,
    parse_forward_request,
)
from plantainyard.metrics import Meter, add_count, add_timing
from plantainyard.protocol import (
    FORWARD_PATH,
    REQUEST_ID_HEADER,
    ForwardAsk,
    check_authorization,
    decode_message,
    encode_message,
)
from plantainyard.routing import (
    Action,
    Answer,
    FinalAnswer,
    Forward,
    Outcome,
    Reason,
    Request,
    RequestArrived,
    Send,
    build_body,
    build_headers,
    get_status,
)
from plantainyard.settings import Settings

__all__ = ["build_app"]

_PREFIX = "/v1/services/"
_SUFFIX = "/requests"

_RESERVED_THREADS = 4
"""Server threads that only reject requests, so that callers needn't queue for one."""

_ALIVE_CHECK_INTERVAL_S = 0.5
"""Longest time in seconds between two checks that the actor is alive."""

_GRACE_S = 1.0
"""Seconds after the deadline for which the actor's answer is still awaited."""

_RETRY_AFTER_S = 1.0
"""Seconds after which a rejected caller may retry."""

_MS_PER_S = 1000.0
_JSON = "application/json"


def build_app(
    settings: Settings, gateway: Gateway, sender: Sender, meter: Meter
) -> WSGIApplication:
    """Return the application that serves callers' and forwarded requests.

    Parameters
    ----------
    settings : Settings
        Limits, the bearer token and the default deadline.
    gateway : Gateway
        The running gateway, which decides about each request.
    sender : Sender
        Connections and threads for sending to runners and peers.
    meter : Meter
        Receives the counts and latencies of requests.

    Notes
    -----
    The server holds one thread for each request in progress. A few threads are
    reserved for rejecting further requests at once. Without them, callers would wait
    in the server's own queue, which has no deadlines.
    """
    limit = settings.limits.body_bytes
    token = settings.security.token.reveal()
    capacity = max(1, settings.limits.caller_threads - _RESERVED_THREADS)
    free_threads = threading.BoundedSemaphore(capacity)

    def handle(incoming: IncomingRequest) -> FinalAnswer:
        if not free_threads.acquire(blocking=False):
            return _build_overload_answer(incoming.request)
        try:
            return _process_request(gateway, sender, incoming)
        finally:
            free_threads.release()

    def serve(environ: WSGIEnvironment, start: StartResponse) -> Iterable[bytes]:
        path = environ.get("PATH_INFO", "")
        if environ["REQUEST_METHOD"] != "POST":
            return _send_error(start, HTTPStatus.METHOD_NOT_ALLOWED, "expected POST")
        body = read_body(environ, limit)
        if body is None:
            detail = f"body: expected at most {limit} bytes"
            return _send_error(start, HTTPStatus.REQUEST_ENTITY_TOO_LARGE, detail)
        if path == FORWARD_PATH:
            header = environ.get("HTTP_AUTHORIZATION", "")
            if not check_authorization(header, token):
                add_count(meter, "calls.unauthorized")
                return _send_error(start, HTTPStatus.UNAUTHORIZED, "no such token")
            return _serve_peer(start, body, handle)
        service = path.removeprefix(_PREFIX).removesuffix(_SUFFIX)
        if path != f"{_PREFIX}{service}{_SUFFIX}" or not service or "/" in service:
            detail = f"expected {_PREFIX}<service>{_SUFFIX}"
            return _send_error(start, HTTPStatus.NOT_FOUND, detail)
        return _serve_caller(start, environ, service, body)

    def _serve_caller(
        start: StartResponse, environ: WSGIEnvironment, service: str, body: bytes
    ) -> Iterable[bytes]:
        started_at = read_clock()
        parsed = parse_caller_request(environ, service, body, settings)
        if isinstance(parsed, Err):
            add_count(meter, "calls.malformed")
            detail = parsed.err_value
            answer = FinalAnswer(Outcome.REFUSED, Reason.MALFORMED, detail=detail)
            return _send_answer(start, answer, "")
        answer = handle(parsed.ok_value)
        add_count(meter, f"requests.{answer.outcome}")
        add_timing(meter, "requests.latency", (read_clock() - started_at) * _MS_PER_S)
        return _send_answer(start, answer, parsed.ok_value.request.id)

    return serve


def _serve_peer(
    start: StartResponse, body: bytes, handle: Callable[[IncomingRequest], FinalAnswer]
) -> Iterable[bytes]:
    message = decode_message(body, ForwardAsk, "peer")
    if isinstance(message, Err):
        return _send_error(start, HTTPStatus.BAD_REQUEST, message.err_value.detail)
    incoming = parse_forward_request(message.ok_value)
    if isinstance(incoming, Err):
        return _send_error(start, HTTPStatus.BAD_REQUEST, incoming.err_value)
    answer = handle(incoming.ok_value)
    reply = build_forward_answer(answer, message.ok_value.request_id)
    return _send(start, HTTPStatus.OK, encode_message(reply), _JSON, [])


def _process_request(
    gateway: Gateway, sender: Sender, incoming: IncomingRequest
) -> FinalAnswer:
    """Perform the actor's actions for a request until one is its answer."""
    was_sent = False
    attempt: RunnerAttempt | None = None
    channel = open_channel(gateway, RequestArrived(incoming.request, time.time()))
    try:
        while True:
            action = _await_action(gateway, channel, incoming.request, attempt)
            match action:
                case Answer():
                    return action.answer
                case Send():
                    was_sent = True
                    attempt = start_attempt(
                        sender,
                        action,
                        incoming.body,
                        incoming.content_type,
                        partial(post_event, gateway),
                    )
                case Forward():
                    was_sent = True
                    event = send_forward(
                        sender, action, incoming.body, incoming.content_type
                    )
                    post_event(gateway, event)
                case _:
                    return _build_lost_answer(incoming.request, was_sent)
    finally:
        close_channel(gateway, channel)


def _await_action(
    gateway: Gateway,
    channel: ActionChannel,
    request: Request,
    attempt: RunnerAttempt | None,
) -> Action | None:
    """Return the next action, or None if the actor has ended or is too late.

    An attempt that is still in progress at the deadline is abandoned.
    """
    give_up_at = request.deadline + _GRACE_S
    while (now := read_clock()) < give_up_at and is_alive(gateway):
        if attempt is not None and now >= request.deadline:
            event = abandon_attempt(attempt)
            attempt = None
            if event is not None:
                post_event(gateway, event)
        is_attempt_open = attempt is not None and now < request.deadline
        wait_s = min(
            _ALIVE_CHECK_INTERVAL_S,
            request.deadline - now if is_attempt_open else _ALIVE_CHECK_INTERVAL_S,
        )
        with contextlib.suppress(Empty):
            return channel.actions.get(timeout=wait_s)
    return None


def _build_lost_answer(request: Request, was_sent: bool) -> FinalAnswer:
    # Without the actor it is unknown whether a request with this id ran before. Only an
    # idempotent request that was not sent may be reported as not run.
    is_not_run = request.idempotent and not was_sent
    outcome = Outcome.REFUSED if is_not_run else Outcome.UNKNOWN
    return FinalAnswer(outcome, Reason.ANSWER_LOST, _RETRY_AFTER_S)


def _build_overload_answer(request: Request) -> FinalAnswer:
    # The id of a non-idempotent request was not checked, so it may have run before.
    outcome = Outcome.REFUSED if request.idempotent else Outcome.UNKNOWN
    return FinalAnswer(outcome, Reason.QUEUE_FULL, _RETRY_AFTER_S)


def _send_answer(
    start: StartResponse, answer: FinalAnswer, request_id: str
) -> Iterable[bytes]:
    response = build_body(answer, request_id)
    headers = [(REQUEST_ID_HEADER, request_id), *build_headers(answer)]
    status = HTTPStatus(get_status(answer))
    return _send(start, status, response.body, response.content_type, headers)


def _send_error(
    start: StartResponse, status: HTTPStatus, detail: str
) -> Iterable[bytes]:
    """Reject a call that isn't a valid request, so nothing ran."""
    answer = FinalAnswer(Outcome.REFUSED, Reason.MALFORMED, detail=detail)
    response = build_body(answer, "")
    headers = build_headers(answer)
    return _send(start, status, response.body, response.content_type, headers)


def _send(
    start: StartResponse,
    status: HTTPStatus,
    body: bytes,
    content_type: str,
    headers: list[tuple[str, str]],
) -> Iterable[bytes]:
    entity = [("Content-Type", content_type), ("Content-Length", str(len(body)))]
    start(f"{status.value} {status.phrase}", entity + headers)
    return [body]
