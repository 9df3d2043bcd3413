"""Whole answers of the instance's HTTP ports."""

import json
from collections.abc import Iterable
from typing import Any
from wsgiref.types import StartResponse

__all__ = ["OK", "send_response", "send_json"]

OK = "200 OK"
"""Status of an answer that has what was asked for."""


def send_response(
    start: StartResponse,
    status: str,
    content_type: str,
    body: bytes,
    retry_after_s: int = 0,
) -> Iterable[bytes]:
    """Start an answer and return its body.

    Parameters
    ----------
    start : callable
        The server's.
    status : str
        Code and reason.
    content_type : str
        Of the body.
    body : bytes
        The whole body; its length is told, so that a part is never taken for it.
    retry_after_s : int
        When to come back; zero leaves the header out.
    """
    headers = [("Content-Type", content_type), ("Content-Length", str(len(body)))]
    if retry_after_s:
        headers.append(("Retry-After", str(retry_after_s)))
    start(status, headers)
    return [body]


def send_json(
    start: StartResponse, status: str, data: Any, retry_after_s: int = 0
) -> Iterable[bytes]:
    """Start an answer in JSON and return its body; see `send_response`."""
    body = json.dumps(data).encode()
    return send_response(start, status, "application/json", body, retry_after_s)
