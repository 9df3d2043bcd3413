"""One HTTP/1.1 request at a time on a non-blocking connection.

The multiplexer drives many of these connections from one thread; see `multiplexer`.
"""

import errno
import math
import socket
from collections.abc import Callable
from ipaddress import IPv4Address
from typing import NamedTuple

import httptools
from result import Result

from plantainyard.errors import CallError
from plantainyard.transport import HttpResponse

__all__ = ["MAX_PORT", "Call", "Connection", "ResultCallback", "build_request"]

MAX_PORT = 65_535

ResultCallback = Callable[[Result[HttpResponse, CallError]], None]
"""Receives the result of a call on the multiplexer's thread; it must not block."""


class Call(NamedTuple):
    """One request.

    Attributes
    ----------
    step, peer : str
        What is being done and with whom, for errors.
    address : str
        ``ip:port``.
    data : bytes
        The whole request, as returned by `build_request`.
    timeout_s : float
        Longest time until the connection is established, and then until the response
        is complete, or has begun if there is an idle timeout.
    on_result : ResultCallback
        Called exactly once.
    idle_timeout_s : float
        If not zero, a response that has begun isn't limited by `timeout_s` but by this
        time between two parts of it.
    send_by : float
        Time on the clock of `read_clock` after which the request isn't sent any more.
    """

    step: str
    peer: str
    address: str
    data: bytes
    timeout_s: float
    on_result: ResultCallback
    idle_timeout_s: float = 0.0
    send_by: float = math.inf


def build_request(
    method: str, path: str, address: str, headers: dict[str, str], body: bytes | None
) -> bytes:
    """Return a serialized request, in one piece so that one `send` can transmit it.

    Examples
    --------
    >>> build_request("POST", "/reports", "10.0.0.1:80", {}, b"{}")[:22]
    b'POST /reports HTTP/1.1'
    """
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {address}",
        *(f"{name}: {value}" for name, value in headers.items()),
    ]
    if body is not None:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + (body or b"")


class Connection:
    """A connection and the call that is in progress on it.

    Attributes
    ----------
    call : Call or None
        None while the connection is idle.
    unsent : bytes
        The part of the request that has not been sent.
    connected : bool
        Whether the connection is established.
    started_at : float
        Time at which the connection was established or the call was assigned to it.
    received_at : float
        Time at which the last part of the response arrived; zero before the first.
        Maintained for calls with an idle timeout only.
    deadline : float
        Time at which the call fails if there is no response, or no further part of it.
    idle_since : float
        Time at which the last call ended.
    response_complete : bool
        Whether the whole response has been received.
    keep_alive : bool
        Whether the connection can be reused after the response.
    received_bytes : int
        Bytes received for the call, including headers.
    """

    def __init__(self, address: str, call: Call) -> None:
        host, _, port = address.rpartition(":")
        self.address = address
        self.call: Call | None = call
        self.unsent = call.data
        self.connected = False
        self.started_at = 0.0
        self.received_at = 0.0
        self.deadline = 0.0
        self.idle_since = 0.0
        self.response_complete = False
        self.keep_alive = False
        self.body_chunks: list[bytes] = []
        self.body_size = 0
        self.received_bytes = 0
        self.parser = httptools.HttpResponseParser(self)
        self.sock = start_connecting(host, int(port))

    def start_call(self, call: Call) -> None:
        """Assign the next call to an idle connection."""
        self.call = call
        self.unsent = call.data
        self.response_complete = False
        self.body_chunks = []
        self.body_size = 0
        self.received_bytes = 0

    def on_body(self, body: bytes) -> None:
        """Store a part of the body; called by the parser."""
        self.body_chunks.append(body)
        self.body_size += len(body)

    def on_message_complete(self) -> None:
        """Mark the response as complete; called by the parser."""
        self.response_complete = True
        self.keep_alive = self.parser.should_keep_alive()


def start_connecting(host: str, port: int) -> socket.socket:
    """Return a non-blocking socket whose connection is being established.

    Raises
    ------
    OSError, ValueError
        If the connection certainly can't be established. Host names are rejected too,
        because resolving them would block.
    """
    IPv4Address(host)
    if not 0 < port <= MAX_PORT:
        raise ValueError(f"port out of range: {port}")
    sock = socket.socket()
    try:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        code = sock.connect_ex((host, port))
        if code not in (0, errno.EINPROGRESS):
            raise OSError(code, errno.errorcode.get(code, "connect"))
    except BaseException:
        sock.close()
        raise
    return sock
