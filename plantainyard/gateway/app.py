"""The WSGI application of the callers' port."""

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
_ALIVE_CHECK_INTERVAL_S = 0.5
_GRACE_S = 1.0
_RETRY_AFTER_S = 1.0
_MS_PER_S = 1000.0
_JSON = "application/json"


def build_app(
    settings: Settings, gateway: Gateway, sender: Sender, meter: Meter
) -> WSGIApplication:
    """Return the application: callers' requests and those that peers forward.

    Notes
    -----
    The server holds a thread for each request in progress. The last few threads are
    kept for answering at once that no more is taken: without them callers would wait
    in the server's own queue, which knows no deadline.
    """
    limit = settings.limits.body_bytes
    token = settings.security.token.reveal()
    room = max(1, settings.limits.caller_threads - _RESERVED_THREADS)
    places = threading.BoundedSemaphore(room)

    def handle(intake: IncomingRequest) -> FinalAnswer:
        if not places.acquire(blocking=False):
            return _build_full_answer(intake.request)
        try:
            return _process_request(gateway, sender, intake)
        finally:
            places.release()

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
        begun = read_clock()
        read = parse_caller_request(environ, service, body, settings)
        if isinstance(read, Err):
            add_count(meter, "calls.malformed")
            detail = read.err_value
            answer = FinalAnswer(Outcome.REFUSED, Reason.MALFORMED, detail=detail)
            return _send_answer(start, answer, "")
        answer = handle(read.ok_value)
        add_count(meter, f"requests.{answer.outcome}")
        add_timing(meter, "requests.latency", (read_clock() - begun) * _MS_PER_S)
        return _send_answer(start, answer, read.ok_value.request.id)

    return serve


def _serve_peer(
    start: StartResponse, body: bytes, handle: Callable[[IncomingRequest], FinalAnswer]
) -> Iterable[bytes]:
    read = decode_message(body, ForwardAsk, "peer")
    if isinstance(read, Err):
        return _send_error(start, HTTPStatus.BAD_REQUEST, read.err_value.detail)
    intake = parse_forward_request(read.ok_value)
    if isinstance(intake, Err):
        return _send_error(start, HTTPStatus.BAD_REQUEST, intake.err_value)
    answer = handle(intake.ok_value)
    message = build_forward_answer(answer, read.ok_value.request_id)
    return _send(start, HTTPStatus.OK, encode_message(message), _JSON, [])


def _process_request(
    gateway: Gateway, sender: Sender, intake: IncomingRequest
) -> FinalAnswer:
    """Do what the actor puts on the request's channel until it has an answer."""
    sent = False
    sending: RunnerAttempt | None = None
    channel = open_channel(gateway, RequestArrived(intake.request, time.time()))
    try:
        while True:
            action = _await_action(gateway, channel, intake.request, sending)
            match action:
                case Answer():
                    return action.answer
                case Send():
                    sent = True
                    sending = start_attempt(
                        sender,
                        action,
                        intake.body,
                        intake.content_type,
                        partial(post_event, gateway),
                    )
                case Forward():
                    sent = True
                    ended = send_forward(
                        sender, action, intake.body, intake.content_type
                    )
                    post_event(gateway, ended)
                case _:
                    return _build_lost_answer(intake.request, sent)
    finally:
        close_channel(gateway, channel)


def _await_action(
    gateway: Gateway,
    channel: ActionChannel,
    request: Request,
    sending: RunnerAttempt | None,
) -> Action | None:
    """Return the next action, or None once the actor is dead or far too late.

    At the deadline a sending that is still going on is given up.
    """
    last = request.deadline + _GRACE_S
    while (now := read_clock()) < last and is_alive(gateway):
        if sending is not None and now >= request.deadline:
            event = abandon_attempt(sending)
            sending = None
            if event is not None:
                post_event(gateway, event)
        waits = sending is not None and now < request.deadline
        wait_s = min(
            _ALIVE_CHECK_INTERVAL_S,
            request.deadline - now if waits else _ALIVE_CHECK_INTERVAL_S,
        )
        with contextlib.suppress(Empty):
            return channel.actions.get(timeout=wait_s)
    return None


def _build_lost_answer(request: Request, sent: bool) -> FinalAnswer:
    # Without the actor nobody knows whether the id ran before; a request that can be
    # repeated and that reached nobody did not run.
    safe = request.idempotent and not sent
    outcome = Outcome.REFUSED if safe else Outcome.UNKNOWN
    return FinalAnswer(outcome, Reason.ANSWER_LOST, _RETRY_AFTER_S)


def _build_full_answer(request: Request) -> FinalAnswer:
    # The id of a non-idempotent request was not judged: it may have run before.
    outcome = Outcome.REFUSED if request.idempotent else Outcome.UNKNOWN
    return FinalAnswer(outcome, Reason.QUEUE_FULL, _RETRY_AFTER_S)


def _send_answer(
    start: StartResponse, answer: FinalAnswer, request_id: str
) -> Iterable[bytes]:
    shown = build_body(answer, request_id)
    headers = [(REQUEST_ID_HEADER, request_id), *build_headers(answer)]
    status = HTTPStatus(get_status(answer))
    return _send(start, status, shown.body, shown.content_type, headers)


def _send_error(
    start: StartResponse, status: HTTPStatus, detail: str
) -> Iterable[bytes]:
    """Answer a call that is no request at all: nothing ran."""
    answer = FinalAnswer(Outcome.REFUSED, Reason.MALFORMED, detail=detail)
    shown = build_body(answer, "")
    headers = build_headers(answer)
    return _send(start, status, shown.body, shown.content_type, headers)


def _send(
    start: StartResponse,
    status: HTTPStatus,
    body: bytes,
    content_type: str,
    headers: list[tuple[str, str]],
) -> Iterable[bytes]:
    length = [("Content-Type", content_type), ("Content-Length", str(len(body)))]
    start(f"{status.value} {status.phrase}", length + headers)
    return [body]
