"""Access of a command to its surroundings, passed in so that tests can replace it."""

import os
import sys
import time
import uuid
from collections.abc import Callable, Mapping
from typing import NamedTuple, TextIO

from result import Result

from plantainyard.clock import read_clock
from plantainyard.errors import CallError
from plantainyard.transport import HttpResponse, build_peer, build_pool, send_request

__all__ = ["Send", "Context", "create_context"]

Send = Callable[
    [str, str, bytes, Mapping[str, str], float], Result[HttpResponse, CallError]
]


class Context(NamedTuple):
    """Environment, streams, network and clock of a command.

    Attributes
    ----------
    environ : mapping
        Environment variables.
    out, err : file
        Results are printed to `out`, progress and errors to `err`.
    send : callable
        ``send(address, path, body, headers, timeout_s)`` posts a request without
        retries.
    sleep : callable
        Waits for a number of seconds.
    clock : callable
        Returns the time in seconds.
    create_id : callable
        Returns a new request id.
    """

    environ: Mapping[str, str]
    out: TextIO
    err: TextIO
    send: Send
    sleep: Callable[[float], None]
    clock: Callable[[], float]
    create_id: Callable[[], str]


def create_context() -> Context:
    """Return the context of this process."""
    pool = build_pool()

    def send(
        address: str,
        path: str,
        body: bytes,
        headers: Mapping[str, str],
        timeout_s: float,
    ) -> Result[HttpResponse, CallError]:
        peer = build_peer(address, pool, timeout_s)
        return send_request(peer, path, "POST", path, body, headers)

    return Context(
        os.environ,
        sys.stdout,
        sys.stderr,
        send,
        time.sleep,
        read_clock,
        lambda: str(uuid.uuid4()),
    )
