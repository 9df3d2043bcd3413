"""HTTP endpoints of the control port through which instances call each other."""

from collections.abc import Callable, Iterable
from http import HTTPStatus
from typing import Any
from wsgiref.types import StartResponse, WSGIApplication, WSGIEnvironment

from result import Err, Result

from plantainyard.decode_budget import control_budget
from plantainyard.errors import CallError
from plantainyard.protocol import (
    CREDITS_PATH,
    HEARTBEAT_PATH,
    INSTANCES_PATH,
    RECORDS_PATH,
    CreditAsk,
    Heartbeat,
    InstancesAsk,
    Message,
    RecordsAnswer,
    decode_message,
    encode_message,
)

__all__ = ["PeerHandlers", "build_peer_app"]

PeerHandlers = dict[str, tuple[type, Callable[[Any], Message]]]


def build_peer_app(
    exchange_heartbeats: Callable[[Heartbeat], Heartbeat],
    lend_credits: Callable[[CreditAsk], Message],
    list_instances: Callable[[InstancesAsk], Message],
    receive_records: Callable[[RecordsAnswer], Message],
) -> WSGIApplication:
    """Return the WSGI application that serves the requests of other instances.

    Parameters
    ----------
    exchange_heartbeats : callable
        Takes a peer's heartbeat and returns this process's own.
    lend_credits : callable
        Returns the answer to a gateway's request for credits.
    list_instances : callable
        Returns the platform's instance list as it was last read.
    receive_records : callable
        Takes log records that a relay passes on.

    Notes
    -----
    `api.create_app` has already checked the token and the body's length.
    """
    handlers: PeerHandlers = {
        HEARTBEAT_PATH: (Heartbeat, exchange_heartbeats),
        CREDITS_PATH: (CreditAsk, lend_credits),
        INSTANCES_PATH: (InstancesAsk, list_instances),
        RECORDS_PATH: (RecordsAnswer, receive_records),
    }

    def serve(environ: WSGIEnvironment, start: StartResponse) -> Iterable[bytes]:
        path = environ.get("PATH_INFO", "")
        if path not in handlers or environ["REQUEST_METHOD"] != "POST":
            return _send(start, HTTPStatus.NOT_FOUND, b'{"code":"not_found"}')
        kind, handle = handlers[path]
        length = int(environ.get("CONTENT_LENGTH") or 0)
        body = environ["wsgi.input"].read(length)
        peer = environ.get("REMOTE_ADDR", "")
        with control_budget.reserve(body) as is_reserved:
            if not is_reserved:
                return _send(start, HTTPStatus.SERVICE_UNAVAILABLE, b"{}")
            decoded: Result[Any, CallError] = decode_message(body, kind, peer)
        if isinstance(decoded, Err):
            detail = decoded.err_value.detail.encode()
            return _send(start, HTTPStatus.BAD_REQUEST, detail)
        return _send(start, HTTPStatus.OK, encode_message(handle(decoded.ok_value)))

    return serve


def _send(start: StartResponse, status: HTTPStatus, body: bytes) -> list[bytes]:
    headers = [
        ("Content-Type", "application/json"),
        ("Content-Length", str(len(body))),
    ]
    start(f"{status.value} {status.phrase}", headers)
    return [body]
