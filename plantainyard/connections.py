"""One HTTP call on one connection, without waiting.

What the multiplexer does with many of these at once is in `multiplexer`.
"""

import errno
import socket
from collections.abc import Callable
from ipaddress import IPv4Address
from typing import NamedTuple

import httptools
from result import Result

from plantainyard.errors import CallError
from plantainyard.transport import HttpResponse

__all__ = ["ResultCallback", "Call", "Connection", "build_request"]

MOST_PORT = 65_535

ResultCallback = Callable[[Result[HttpResponse, CallError]], None]
"""Told what came of a call, on the multiplexer's thread; it must not wait."""


class Call(NamedTuple):
    """One request.

    Attributes
    ----------
    step, peer : str
        What is being done and with whom, for errors.
    address : str
        ``ip:port``.
    data : bytes
        The whole request, as `build_request` makes it.
    timeout_s : float
        Longest time until there is a connection, and then until the whole answer has
        come.
    on_result : ResultCallback
        Called once.
    """

    step: str
    peer: str
    address: str
    data: bytes
    timeout_s: float
    on_result: ResultCallback


def build_request(
    method: str, path: str, address: str, headers: dict[str, str], body: bytes | None
) -> bytes:
    """Return the bytes of a request; one piece, so that it is sent with one call.

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
    """A connection and the call that is on it.

    Attributes
    ----------
    call : Call or None
        None while the connection is idle.
    unsent : bytes
        What is left of the request.
    connected : bool
        The peer has accepted it.
    deadline : float
        When the call ends without an answer.
    used_at : float
        When its last call ended.
    done, lasting : bool
        The whole answer is there; its connection may be used again.
    """

    def __init__(self, address: str, call: Call) -> None:
        host, _, port = address.rpartition(":")
        self.address = address
        self.call: Call | None = call
        self.unsent = call.data
        self.connected = False
        self.deadline = 0.0
        self.used_at = 0.0
        self.done = False
        self.lasting = False
        self.chunks: list[bytes] = []
        self.size = 0
        self.parser = httptools.HttpResponseParser(self)
        self.sock = connect(host, int(port))

    def begin(self, call: Call) -> None:
        """Put the next call on an idle connection."""
        self.call = call
        self.unsent = call.data
        self.done = False
        self.chunks = []
        self.size = 0

    def on_body(self, body: bytes) -> None:
        """Take a part of the body; called by the parser."""
        self.chunks.append(body)
        self.size += len(body)

    def on_message_complete(self) -> None:
        """Take note of the answer's end; called by the parser."""
        self.done = True
        self.lasting = self.parser.should_keep_alive()


def connect(host: str, port: int) -> socket.socket:
    """Return a socket that is connecting.

    Raises
    ------
    OSError, ValueError
        If it certainly won't; names of hosts aren't looked up, as that would wait.
    """
    IPv4Address(host)
    if not 0 < port <= MOST_PORT:
        raise ValueError(f"no port: {port}")
    sock = socket.socket()
    try:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        found = sock.connect_ex((host, port))
        if found not in (0, errno.EINPROGRESS):
            raise OSError(found, errno.errorcode.get(found, "connect"))
    except BaseException:
        sock.close()
        raise
    return sock
