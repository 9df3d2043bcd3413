"""Building of complete HTTP responses for the WSGI applications of an instance."""

import json
from collections.abc import Iterable, Mapping
from typing import Any
from wsgiref.types import StartResponse

__all__ = ["OK", "send_response", "send_json"]

OK = "200 OK"
"""Status of a successful response."""


def send_response(
    start: StartResponse,
    status: str,
    content_type: str,
    body: bytes,
    retry_after_s: int = 0,
    fields: Mapping[str, str] | None = None,
) -> Iterable[bytes]:
    """Start a response and return its body.

    Parameters
    ----------
    start : callable
        The ``start_response`` callable of the WSGI server.
    status : str
        Status code and reason phrase.
    content_type : str
        Content type of the body.
    body : bytes
        The complete body; its length is sent in a header, so that the client can
        detect a truncated response.
    retry_after_s : int
        Seconds after which the client should retry; zero omits the header.
    fields : mapping, optional
        Further headers.
    """
    headers = [("Content-Type", content_type), ("Content-Length", str(len(body)))]
    if retry_after_s:
        headers.append(("Retry-After", str(retry_after_s)))
    headers += (fields or {}).items()
    start(status, headers)
    return [body]


def send_json(
    start: StartResponse, status: str, data: Any, retry_after_s: int = 0
) -> Iterable[bytes]:
    """Start a JSON response and return its body; see `send_response`."""
    body = json.dumps(data).encode()
    return send_response(start, status, "application/json", body, retry_after_s)
