"""The WSGI application of the control port.

It serves operators' calls, the health and readiness checks, and the state dump.
"""

import json
from collections.abc import Callable, Iterable, Mapping, Sequence
from http import HTTPStatus
from typing import Any, NamedTuple
from wsgiref.types import StartResponse, WSGIApplication, WSGIEnvironment

from plantainyard.api.calls import (
    SERVICE,
    STATUS_OK,
    CallResponse,
    Handlers,
    build_error_response,
    serve_call,
)
from plantainyard.api.errors import STATUS_OF_CODE, ApiError, ErrorCode
from plantainyard.logs import get_logger
from plantainyard.metrics import Meter, add_count
from plantainyard.settings import Settings

__all__ = ["Probes", "create_app", "has_token", "read_body"]

BEARER_SCHEME = "bearer"
CALL_PREFIX = f"/{SERVICE}/"
HEALTH_PATH = "/healthz"
READY_PATH = "/readyz"
DUMP_PATH = "/dump"
STATUS_UNAVAILABLE = 503
MALFORMED_STATUSES = frozenset(
    {STATUS_OF_CODE[ErrorCode.MALFORMED], STATUS_OF_CODE[ErrorCode.TOO_LARGE]}
)
METHOD_HINT = "expected POST for calls, GET for /healthz, /readyz and /dump"


_logger = get_logger("api")


class Probes(NamedTuple):
    """Functions with which the application reads the state of the daemon.

    Attributes
    ----------
    healthy : callable
        Returns the reasons to replace the process; empty if it is healthy.
    ready : callable
        Returns the reasons why a load balancer should send callers to another
        instance; empty if the process is ready.
    dump : callable
        Returns the complete state of the process, JSON-encodable and without secrets.
    """

    healthy: Callable[[], Sequence[str]]
    ready: Callable[[], Sequence[str]]
    dump: Callable[[], Mapping[str, Any]]


def create_app(
    settings: Settings,
    handlers: Handlers,
    probes: Probes,
    meter: Meter,
    fallback: WSGIApplication | None = None,
) -> WSGIApplication:
    """Return the application of the control port.

    Parameters
    ----------
    settings : Settings
        Gives the bearer token and the largest body.
    handlers : mapping
        Handler of each method; see `plantainyard.api.calls.serve_call`.
    probes : Probes
        Health, readiness and state of the daemon.
    meter : Meter
        Receives the counts of unauthorized and malformed calls.
    fallback : WSGIApplication, optional
        Serves the other paths, such as those between instances. It is called after
        the token and the length of the body have been checked.

    Notes
    -----
    Health and readiness need no token, because load balancers don't send one and the
    responses contain only reasons.
    """
    token = settings.security.token
    limit = settings.limits.body_bytes

    def serve(environ: WSGIEnvironment, start: StartResponse) -> Iterable[bytes]:
        http_method, path = environ["REQUEST_METHOD"], environ.get("PATH_INFO", "")
        if http_method == "GET" and path == HEALTH_PATH:
            return _send(start, _build_probe_response(_run_probe(probes.healthy)))
        if http_method == "GET" and path == READY_PATH:
            return _send(start, _build_probe_response(_run_probe(probes.ready)))
        if not has_token(environ, token.matches):
            add_count(meter, "calls.unauthorized")
            detail = "expected the header 'Authorization: Bearer <token>'"
            return _send(
                start, build_error_response(ApiError(ErrorCode.UNAUTHORIZED, detail))
            )
        if http_method == "GET" and path == DUMP_PATH:
            return _send(
                start, CallResponse(STATUS_OK, json.dumps(probes.dump()).encode())
            )
        if path.startswith(CALL_PREFIX) and http_method == "POST":
            response = _serve_operator_call(environ, handlers, path, limit)
        elif fallback is not None and not path.startswith(CALL_PREFIX):
            if _read_content_length(environ) <= limit:
                return fallback(environ, start)
            response = _build_too_large_response(limit)
        else:
            response = build_error_response(
                ApiError(ErrorCode.NOT_FOUND, METHOD_HINT, "path")
            )
        if response.status in MALFORMED_STATUSES:
            add_count(meter, "calls.malformed")
        return _send(start, response)

    return serve


def has_token(environ: WSGIEnvironment, matches: Callable[[str], bool]) -> bool:
    """Return whether the request has a bearer token that `matches` accepts."""
    scheme, _, token = environ.get("HTTP_AUTHORIZATION", "").partition(" ")
    return scheme.lower() == BEARER_SCHEME and matches(token.strip())


def read_body(environ: WSGIEnvironment, limit: int) -> bytes | None:
    """Return the body of the request, or None if it exceeds `limit` bytes.

    Notes
    -----
    The server receives the complete body and sets its length, also for chunked bodies,
    before it calls the application. A slow sender therefore doesn't occupy a thread.
    """
    length = _read_content_length(environ)
    return None if length > limit else environ["wsgi.input"].read(length)


def _read_content_length(environ: WSGIEnvironment) -> int:
    text = environ.get("CONTENT_LENGTH") or "0"
    return int(text) if text.isdecimal() else 0


def _serve_operator_call(
    environ: WSGIEnvironment, handlers: Handlers, path: str, limit: int
) -> CallResponse:
    body = read_body(environ, limit)
    if body is None:
        return _build_too_large_response(limit)
    content_type = environ.get("CONTENT_TYPE", "")
    return serve_call(handlers, path.removeprefix(CALL_PREFIX), content_type, body)


def _build_too_large_response(limit: int) -> CallResponse:
    detail = f"expected a body of at most {limit} bytes"
    return build_error_response(ApiError(ErrorCode.TOO_LARGE, detail, "body"))


def _run_probe(probe: Callable[[], Sequence[str]]) -> Sequence[str]:
    """Return the reasons of `probe`, or one reason that says that the probe failed.

    Notes
    -----
    Guards against a part of the process that hangs. The probe that waits for it raises
    an exception, and without this the load balancer would receive the server's error
    page instead of a reason.
    """
    try:
        return probe()
    except Exception:
        _logger.exception("probe failed", extra={"step": "api.probe"})
        return ["a part of the process doesn't answer"]


def _build_probe_response(reasons: Sequence[str]) -> CallResponse:
    body = json.dumps({"ok": not reasons, "reasons": list(reasons)}).encode()
    return CallResponse(STATUS_UNAVAILABLE if reasons else STATUS_OK, body)


def _send(start: StartResponse, response: CallResponse) -> list[bytes]:
    headers = [
        ("Content-Type", response.content_type),
        ("Content-Length", str(len(response.body))),
    ]
    if response.retry_after_s:
        headers.append(("Retry-After", str(int(response.retry_after_s))))
    status = HTTPStatus(response.status)
    start(f"{status.value} {status.phrase}", headers)
    return [response.body]
