"""Connections of an HTTP server: requests while they arrive, and their rejection."""

import array
import fcntl
import json
import socket
import struct
import sys
import termios
from http import HTTPStatus
from typing import Any, NamedTuple

from waitress.buffers import OverflowableBuffer
from waitress.channel import HTTPChannel
from waitress.parser import HTTPRequestParser, ParsingError
from waitress.utilities import RequestEntityTooLarge

from plantainyard.chunks import ChunkReceiver
from plantainyard.clock import read_clock

__all__ = [
    "BUFFERS_FULL",
    "BULK_READ_BYTES",
    "TIMED_OUT",
    "Channel",
    "RequestParser",
]

RETRY_AFTER_S = 1
"""When a rejected client may come back."""

BULK_BYTES = 16_384
"""A request of which more has arrived takes turns with others of its kind."""

BULK_READ_BYTES = 65_536
"""Bytes read at once of a body with a known length."""

LINGER_S = 5.0
"""Time for which a rejected client's bytes are read and dropped, so that closing the
connection doesn't discard the response."""

LINGER_BYTES = 4_194_304
"""Greatest number of bytes that are dropped like this."""

BYTES_PER_S = 65_536
"""Rate at which the time for a request grows with its length."""

STALL_S = 5.0
"""Age after which the connection of an incomplete request or of an unread response is
closed before others when one has to be closed."""


DISCARD_UNSENT = struct.pack("ii", 1, 0)
"""Value of ``SO_LINGER`` with which closing discards what the kernel hasn't sent."""


class Rejection(NamedTuple):
    """A response without running the request, after which the connection is closed."""

    status: HTTPStatus
    reason: str
    detail: str


BUFFERS_FULL = Rejection(
    HTTPStatus.SERVICE_UNAVAILABLE,
    "buffers full",
    "not run: too many large requests at once",
)
QUEUE_FULL = Rejection(
    HTTPStatus.SERVICE_UNAVAILABLE, "queue full", "not run: too many requests wait"
)
TIMED_OUT = Rejection(
    HTTPStatus.REQUEST_TIMEOUT, "request timeout", "not run: incomplete for too long"
)


class RequestParser(HTTPRequestParser):
    """One request while it arrives.

    Attributes
    ----------
    large : bool
        Whether ordinary requests go first: this one exceeds the allowance of its
        connection, or its client has sent more without waiting for the response.
    body_bytes : int
        Limit of the body's length.
    """

    large = False
    body_bytes = sys.maxsize

    def parse_header(self, header_plus: bytes) -> None:
        """Parse the header, and choose the receiver of the body."""
        try:
            super().parse_header(header_plus)
        except ValueError as error:
            # The conversion of a length fails for thousands of digits.
            raise ParsingError(str(error)) from None
        if self.chunked:
            self.body_rcv = ChunkReceiver(OverflowableBuffer(self.adj.inbuf_overflow))

    def received(self, data: bytes) -> int:
        """Take the next bytes; returns how many belong to this request."""
        consumed: int = super().received(data)
        body = self.body_rcv
        if body is None:
            return consumed
        if max(self.content_length, len(body)) > self.body_bytes:
            self.error = RequestEntityTooLarge(f"more than {self.body_bytes} bytes")
            self.completed = True
        elif self.chunked and body.overrun:
            # What follows is lost, so the response tells that the connection is closed.
            self.headers["CONNECTION"] = "close"
        return consumed

    def find_posted_path(self) -> str:
        """Return the path of a POST request; empty if it isn't known to be one."""
        is_valid = self.headers_finished and self.error is None
        return self.path if is_valid and self.command == "POST" else ""

    def count_body_bytes(self) -> int:
        """Return the number of bytes of the body that have arrived."""
        return 0 if self.body_rcv is None else len(self.body_rcv)

    def count_bytes(self) -> int:
        """Return the number of bytes in memory."""
        return int(self.header_bytes_received) + self.count_body_bytes()


class Channel(HTTPChannel):
    """One connection.

    Attributes
    ----------
    charged : int
        Bytes that are charged to the server's pool.
    unparsed : bytes
        What arrived after the request in progress.
    arrived : int
        Bytes of the current request that have arrived.
    started_at, active_at : float
        When the request that is arriving began, and when bytes were last received or
        sent, on the clock of `read_clock`. The time of day may jump.
    served : bool
        Whether a request has been handled.
    discard_until : float
        When a rejected connection is closed; 0 if it wasn't rejected.
    """

    parser_class = RequestParser
    request: RequestParser | None = None
    charged = 0
    unparsed = b""
    arrived = 0
    started_at = 0.0
    served = False
    discard_until = 0.0
    _discarded = 0

    def __init__(self, *arguments: Any, **options: Any) -> None:
        self.active_at = read_clock()
        super().__init__(*arguments, **options)

    # The loop calls these two for each connection in each turn.
    def readable(self) -> bool:
        """Return whether to read: not before all that has arrived is answered.

        Notes
        -----
        Guards against a client that sends requests faster than they are answered: what
        is read between two of them would pile up.
        """
        return not (
            self.requests
            or self.unparsed
            or self.total_outbufs_len
            or self.close_when_flushed
            or self.will_close
        )

    def writable(self) -> Any:
        """Return whether there is something to send, to close or to parse."""
        return (
            self.total_outbufs_len
            or self.close_when_flushed
            or self.will_close
            or (self.unparsed and not self.requests)
        )

    def handle_read(self) -> None:
        """Read a bounded number of bytes, if it is the connection's turn."""
        server = self.server
        if self in server.bulk and not server.has_turn(self._fileno):
            return
        try:
            if self.discard_until:
                self._discard()
                return
            data = self.recv(self._choose_read_size())
        except BlockingIOError:
            return
        except OSError:
            self.handle_close()
            return
        if data:
            self.active_at = read_clock()
            self.received(data)
        else:
            self.connected = False

    def _choose_read_size(self) -> int:
        request, ordinary = self.request, int(self.adj.recv_bytes)
        if request is None or request.content_length <= BULK_BYTES:
            return ordinary
        # Not much beyond the body: what follows it would be kept until the response.
        missing = request.content_length - request.count_body_bytes()
        return min(BULK_READ_BYTES, max(ordinary, missing))

    def _discard(self) -> None:
        count = self.socket.recv_into(self.server.scratch)
        self._discarded += count
        if not count or self._discarded > LINGER_BYTES:
            self.handle_close()

    def handle_write(self) -> None:
        """Send, and once all is sent continue with what has arrived meanwhile."""
        super().handle_write()
        self.active_at = read_clock()
        if self.charged:
            self.settle()
        if self.unparsed and not self.total_outbufs_len:
            self.received(b"")

    def received(self, data: bytes) -> bool:
        """Take what has arrived; at most one request is in progress."""
        with self.requests_lock:
            if self.will_close or self.close_when_flushed or not self.connected:
                return False
            self.unparsed += data
            rejection = None if self.requests else self._parse()
        if rejection is not None:
            self.reject(rejection)
        elif self.charged or self.arrived > self.server.limits.connection_bytes:
            self.settle()
        return True

    def _parse(self) -> Rejection | None:
        data, self.unparsed = self.unparsed, b""
        while data:
            if self.request is None:
                self.request = RequestParser(self.adj)
                self.request.body_bytes = self.server.find_read_limit()
                self.arrived = 0
                self.started_at = self.active_at
            request = self.request
            consumed = request.received(data)
            data = data[consumed:]
            self.arrived += consumed
            if request.error:
                error = request.error
                return Rejection(HTTPStatus(error.code), "malformed", error.body)
            if not request.completed:
                self._continue(request)
                continue
            self.sent_continue = False
            self.server.bulk.discard(self)
            self.request = None
            if not request.empty:
                self.unparsed = data
                return self._queue(request)
        return None

    def _continue(self, request: RequestParser) -> None:
        if request.expect_continue and request.headers_finished:
            self.send_continue()
        if self.arrived > BULK_BYTES:
            self.server.bulk.add(self)

    def _queue(self, request: RequestParser) -> Rejection | None:
        limit = self.server.limits.connection_bytes
        request.large = bool(self.unparsed) or (
            self.arrived > limit and request.count_bytes() > limit
        )
        if self.server.is_queue_full(request.large):
            self.request = request
            return QUEUE_FULL
        self.requests.append(request)
        self.server.add_task(self)
        return None

    def service(self) -> None:
        """Run the request in progress; called by a worker thread."""
        requests = self.requests
        large = bool(requests) and requests[0].large
        try:
            super().service()
        finally:
            if large:
                self.server.task_dispatcher.finish_large()
            self.served = True
            self.active_at = read_clock()
            if self.charged or self.count_excess():
                self.settle()
                if self.server.pool.used > self.server.pool.limit:
                    self.server.pull_trigger()

    def reject(self, rejection: Rejection) -> None:
        """Respond without running the request, and drop what still arrives.

        Notes
        -----
        Called by the I/O thread while no request is in progress.
        """
        limits = self.server.limits
        limits.report(rejection.reason)
        is_refusal = rejection.status == HTTPStatus.SERVICE_UNAVAILABLE
        request = self.request
        path = "" if request is None else request.find_posted_path()
        headers = {} if request is None else request.headers
        self._drop_request()
        if is_refusal and path and not limits.may_refuse(path, headers):
            self.handle_close()
            return
        response = _build_response(rejection)
        try:
            if self.total_outbufs_len or self.socket.send(response) < len(response):
                self.handle_close()
                return
            self.socket.shutdown(socket.SHUT_WR)
        except OSError:
            self.handle_close()
            return
        self.discard_until = read_clock() + LINGER_S
        self.server.bulk.add(self)
        self.settle()

    def _drop_request(self) -> None:
        self.unparsed = b""
        if self.request is not None:
            self.request.close()
            self.request = None

    def close_unread(self) -> None:
        """Close the connection of a client that doesn't read its responses.

        Notes
        -----
        Guards against responses that the kernel keeps for minutes after the connection
        was closed, while new clients take its place.
        """
        if self.connected:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, DISCARD_UNSENT)
        self.handle_close()

    def close_stalled(self, now: float) -> None:
        """Close the connection; discard a response that wasn't read for a while."""
        if now - self.active_at > STALL_S and self.count_unsent():
            self.close_unread()
        else:
            self.handle_close()

    def count_unsent(self) -> int:
        """Return the number of bytes of responses that the client hasn't received."""
        return int(self.total_outbufs_len) + self._count_in_kernel()

    def _count_in_kernel(self) -> int:
        count = array.array("i", [0])
        try:
            if self.connected:
                fcntl.ioctl(self.socket.fileno(), termios.TIOCOUTQ, count)
        except (OSError, ValueError):
            # The I/O thread has closed it meanwhile.
            return 0
        return count[0]

    def count_excess(self) -> int:
        """Return the number of bytes held beyond the connection's allowance."""
        held = self.count_unsent() + len(self.unparsed)
        for request in (*self.requests, self.request):
            if request is not None:
                held += request.count_bytes()
        return max(0, held - self.server.limits.connection_bytes)

    def settle(self) -> None:
        """Charge to the pool what the connection holds now."""
        self.server.pool.settle(self)

    def is_overdue(self, now: float) -> bool:
        """Return whether the request that is arriving has taken too long."""
        request = self.request
        if request is None:
            return False
        extension_s = request.count_bytes() / BYTES_PER_S
        limit_s = self.server.limits.request_timeout_s + extension_s
        return now - self.started_at > limit_s

    def rank_closing(self, now: float) -> tuple[int, float]:
        """Return a sort key: the connection with the least is closed first.

        Notes
        -----
        Rejected and stalled connections come first, then those that haven't sent one
        complete request yet, then idle ones; each the oldest first. Clients of
        which a request is in progress come last, and only if they have sent more.
        """
        if self.discard_until:
            return 0, self.discard_until
        if self.requests:
            return 5, self.active_at
        transfers = self.request is not None or self.total_outbufs_len > 0
        since = self.active_at if self.request is None else self.started_at
        if transfers and now - since > STALL_S:
            return 1, since
        if not self.served:
            return 2, since
        return (4 if transfers else 3), since

    def del_channel(self, map: Any = None) -> None:
        """Forget the connection; a queued request stays charged until it is dropped."""
        super().del_channel(map)
        self._drop_request()
        self.server.bulk.discard(self)
        # In any case: a worker thread may be about to charge what the kernel kept.
        self.settle()


def _build_response(rejection: Rejection) -> bytes:
    status = rejection.status
    body = json.dumps({"error": rejection.detail}).encode()
    lines = [
        f"HTTP/1.1 {status.value} {status.phrase}",
        "Connection: close",
        f"Content-Length: {len(body)}",
        "Content-Type: application/json",
    ]
    if status == HTTPStatus.SERVICE_UNAVAILABLE:
        lines.append(f"Retry-After: {RETRY_AFTER_S}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body
