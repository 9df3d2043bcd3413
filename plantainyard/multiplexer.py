"""Concurrent HTTP calls to many peers from a single thread.

An owner always has one report call open at each of its runners, and most of these
long polls wait for about a second. With one thread per call, context switches and
parsing cost many times as much as the calls themselves. Here one thread waits for all
responses at once and passes each to the callback of its call.

As in `transport`, whose result types are shared, a call is sent once and never retried.
"""

import heapq
import itertools
import logging
import queue
import selectors
import socket
import threading
from collections import defaultdict, deque

import httptools
from result import Err, Ok, Result

from plantainyard.clock import read_clock
from plantainyard.connections import Call, Connection
from plantainyard.errors import CallError, ErrorKind
from plantainyard.transport import DEFAULT_BODY_LIMIT, HttpResponse

_logger = logging.getLogger(__name__)

__all__ = ["Multiplexer"]

RECEIVE_BYTES = 64 * 1024

MAX_IDLE_PER_ADDRESS = 6
"""Idle connections kept to each peer. One carries the long poll for ends of runs, the
others carry orders; opening a connection costs more than keeping one."""

IDLE_TIMEOUT_S = 60.0
"""Time after which an idle connection is closed. A runner that fails without closing
its connections would otherwise leave them open for ever."""

MAX_TRANSFER_S = 20.0
"""Maximum time in seconds of a call with an idle timeout. A megabyte takes 17 s over a
link of half a megabit per second."""

SWEEP_INTERVAL_S = 10.0
"""Time between searches for idle connections that have timed out."""


class Multiplexer:
    """Calls to many peers over persistent connections, from one thread.

    Parameters
    ----------
    max_idle : int
        Idle connections kept to each peer.

    Notes
    -----
    The thread starts with the first call. Data that has already arrived is processed
    before a call is timed out, so that a process that was delayed itself doesn't
    mistake its own delay for an unresponsive peer.
    """

    def __init__(self, max_idle: int = MAX_IDLE_PER_ADDRESS) -> None:
        self._max_idle = max_idle
        self._submitted: deque[Call] = deque()
        self._idle: dict[str, list[Connection]] = defaultdict(list)
        self._deadlines: list[tuple[float, int, Connection, Call]] = []
        self._sequence = itertools.count()
        self._selector = selectors.DefaultSelector()
        self._swept_at = read_clock()
        self._sleeping = False
        self._closing = False
        self._start_lock = threading.Lock()
        self._thread: threading.Thread | None = None
        self._wake_sender, self._wake_receiver = socket.socketpair()
        self._wake_receiver.setblocking(False)
        self._selector.register(self._wake_receiver, selectors.EVENT_READ)

    def send(self, call: Call) -> None:
        """Send a request; `call.on_result` receives the result."""
        self._submitted.append(call)
        if self._closing:
            self._reject_submitted()
            return
        if self._thread is None:
            self._start_thread()
        if self._sleeping:
            self._sleeping = False
            self._wake_sender.send(b"\0")

    def call(
        self,
        step: str,
        peer: str,
        address: str,
        data: bytes,
        timeout_s: float,
        idle_timeout_s: float = 0.0,
    ) -> Result[HttpResponse, CallError]:
        """Send a request and wait for its result; see `Call` for the parameters."""
        results: queue.SimpleQueue[Result[HttpResponse, CallError]] = (
            queue.SimpleQueue()
        )
        self.send(
            Call(step, peer, address, data, timeout_s, results.put, idle_timeout_s)
        )
        return results.get()

    def close(self) -> None:
        """Stop the thread and close all connections; calls in progress fail.

        Notes
        -----
        Guards against a shutdown that fails while the first call starts the thread: it
        is known before it has been started, and can't be joined until then.
        """
        self._closing = True
        self._wake_sender.send(b"\0")
        with self._start_lock:
            thread = self._thread
        if thread is not None:
            thread.join()
        keys = list(self._selector.get_map().values())
        for key in keys:
            if key.data is not None:
                self._fail(key.data, ErrorKind.LOST, "closed")
        self._reject_submitted()
        self._selector.close()
        self._wake_sender.close()
        self._wake_receiver.close()

    def _reject_submitted(self) -> None:
        while self._submitted:
            call = self._submitted.popleft()
            _deliver(call, Err(_build_error(ErrorKind.UNREACHABLE, call, "closed")))

    def _start_thread(self) -> None:
        with self._start_lock:
            if self._thread is None:
                self._thread = threading.Thread(target=self._run, daemon=True)
                self._thread.start()

    def _run(self) -> None:
        while not self._closing:
            polled_at = read_clock()
            for key, _ in self._poll():
                if key.data is None:
                    self._wake_receiver.recv(RECEIVE_BYTES)
                else:
                    self._handle_ready(key.data)
            while self._submitted:
                self._start_call(self._submitted.popleft())
            self._expire_calls(polled_at)
            if polled_at - self._swept_at > SWEEP_INTERVAL_S:
                self._swept_at = polled_at
                self._close_idle(polled_at - IDLE_TIMEOUT_S)

    def _poll(self) -> list[tuple[selectors.SelectorKey, int]]:
        # Set before checking for submitted calls: a call that is added after the check
        # then wakes this thread.
        self._sleeping = True
        timeout_s = 0.0 if self._submitted else self._find_timeout()
        events = self._selector.select(timeout_s)
        self._sleeping = False
        return events

    def _find_timeout(self) -> float | None:
        deadlines = self._deadlines
        while deadlines and not _is_current(*deadlines[0]):
            heapq.heappop(deadlines)
        return max(0.0, deadlines[0][0] - read_clock()) if deadlines else None

    def _start_call(self, call: Call) -> None:
        idle = self._idle[call.address]
        try:
            if idle:
                connection = idle.pop()
                connection.start_call(call)
            else:
                connection = Connection(call.address, call)
                self._selector.register(
                    connection.sock, selectors.EVENT_WRITE, connection
                )
        except (OSError, ValueError) as error:
            # No file descriptor left, or an invalid address: nothing was sent.
            _deliver(call, Err(_build_error(ErrorKind.UNREACHABLE, call, repr(error))))
            return
        self._set_deadline(connection, call)
        if connection.connected:
            self._send_request(connection)

    def _set_deadline(self, connection: Connection, call: Call) -> None:
        """Set the call's deadline to its timeout from now."""
        connection.started_at = read_clock()
        connection.received_at = 0.0
        self._move_deadline(connection, call, connection.started_at + call.timeout_s)

    def _move_deadline(
        self, connection: Connection, call: Call, deadline: float
    ) -> None:
        connection.deadline = deadline
        entry = (deadline, next(self._sequence), connection, call)
        heapq.heappush(self._deadlines, entry)

    def _handle_ready(self, connection: Connection) -> None:
        """Advance a connection that is ready for I/O.

        Notes
        -----
        Guards against an instance whose calls all stop: an unexpected exception fails
        the call in which it arose and doesn't end the thread.
        """
        try:
            self._advance(connection)
        except Exception as error:
            _logger.exception("call to %s failed unexpectedly", connection.address)
            self._fail(connection, ErrorKind.LOST, repr(error))

    def _advance(self, connection: Connection) -> None:
        if not connection.connected:
            self._finish_connecting(connection)
        elif connection.unsent:
            self._send_request(connection)
        else:
            self._receive(connection)

    def _finish_connecting(self, connection: Connection) -> None:
        error = connection.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error:
            self._fail(connection, ErrorKind.UNREACHABLE, f"errno {error}")
            return
        connection.connected = True
        if connection.call is not None:
            self._set_deadline(connection, connection.call)
        self._send_request(connection)

    def _send_request(self, connection: Connection) -> None:
        """Send the unsent part of a request, then wait for the response."""
        if _is_too_late(connection):
            self._fail(connection, ErrorKind.UNREACHABLE, "not sent in time")
            return
        try:
            sent = connection.sock.send(connection.unsent)
        except BlockingIOError:
            sent = 0
        except OSError as error:
            self._fail(connection, ErrorKind.LOST, repr(error))
            return
        connection.unsent = connection.unsent[sent:]
        events = selectors.EVENT_WRITE if connection.unsent else selectors.EVENT_READ
        if self._selector.get_key(connection.sock).events != events:
            self._selector.modify(connection.sock, events, connection)

    def _receive(self, connection: Connection) -> None:
        """Receive and parse the available data of a connection.

        Notes
        -----
        An idle connection on which anything arrives can't be reused: its peer has
        closed it, or sent data that belongs to no request.
        """
        try:
            data = connection.sock.recv(RECEIVE_BYTES)
        except BlockingIOError:
            return
        except OSError as error:
            self._fail(connection, ErrorKind.LOST, repr(error))
            return
        connection.received_bytes += len(data)
        if not data or connection.call is None:
            self._fail(connection, ErrorKind.LOST, "the peer closed the connection")
            return
        try:
            connection.parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._fail(connection, ErrorKind.MALFORMED, repr(error))
            return
        if connection.body_size > DEFAULT_BODY_LIMIT:
            self._fail(connection, ErrorKind.MALFORMED, "response body is too long")
        elif connection.response_complete:
            self._complete(connection, connection.call)
        elif connection.call.idle_timeout_s:
            self._record_progress(connection, connection.call)

    def _record_progress(self, connection: Connection, call: Call) -> None:
        """Let the idle timeout of a response begin again.

        Notes
        -----
        Guards against a large response over a narrow link that is aborted and requested
        again without end. The deadline itself is moved only when the response begins
        and when it has passed, because a large response arrives in many parts.
        """
        has_begun = connection.received_at > 0.0
        connection.received_at = read_clock()
        if not has_begun:
            self._move_deadline(connection, call, _compute_deadline(connection, call))

    def _complete(self, connection: Connection, call: Call) -> None:
        status = connection.parser.get_status_code()
        body = b"".join(connection.body_chunks)
        response = HttpResponse(status, {}, body, connection.received_bytes)
        connection.call = None
        idle = self._idle[connection.address]
        if connection.keep_alive and len(idle) < self._max_idle:
            connection.idle_since = read_clock()
            idle.append(connection)
        else:
            self._close_connection(connection)
        _deliver(call, Ok(response))

    def _expire_calls(self, polled_at: float) -> None:
        """Fail the calls whose deadline had passed before the last poll."""
        while self._deadlines and self._deadlines[0][0] <= polled_at:
            entry = heapq.heappop(self._deadlines)
            if _is_current(*entry):
                self._expire_call(entry[2], entry[3], polled_at)

    def _expire_call(
        self, connection: Connection, call: Call, polled_at: float
    ) -> None:
        """Fail a call, or move its deadline if its response has made progress."""
        deadline = _compute_deadline(connection, call)
        if deadline > polled_at:
            self._move_deadline(connection, call, deadline)
            return
        kind = ErrorKind.LOST if connection.connected else ErrorKind.UNREACHABLE
        self._fail(connection, kind, "no response within the timeout")

    def _close_idle(self, before: float) -> None:
        """Close the idle connections whose last call ended before the given time."""
        idle = itertools.chain.from_iterable(list(self._idle.values()))
        for connection in [each for each in idle if each.idle_since < before]:
            self._close_connection(connection)

    def _fail(self, connection: Connection, kind: str, detail: str) -> None:
        call = connection.call
        connection.call = None
        self._close_connection(connection)
        if call is not None:
            error = _build_error(kind, call, detail)
            received_bytes = connection.received_bytes
            _deliver(call, Err(error._replace(received_bytes=received_bytes)))

    def _close_connection(self, connection: Connection) -> None:
        idle = self._idle[connection.address]
        if connection in idle:
            idle.remove(connection)
        if not idle:
            del self._idle[connection.address]
        self._selector.unregister(connection.sock)
        connection.sock.close()


def _is_current(deadline: float, _: int, connection: Connection, call: Call) -> bool:
    """Return whether a deadline still applies to the call on its connection."""
    return connection.call is call and connection.deadline == deadline


def _is_too_late(connection: Connection) -> bool:
    """Return whether nothing of a request was sent by the time that its call names.

    Notes
    -----
    Guards against a request that a process sends after it was stopped for a while, when
    its caller counts on it having been carried out or not.
    """
    call = connection.call
    if call is None or len(connection.unsent) < len(call.data):
        return False
    return read_clock() > call.send_by


def _compute_deadline(connection: Connection, call: Call) -> float:
    """Return a call's deadline by what has arrived of its response."""
    if not connection.received_at:
        return connection.deadline
    return min(
        connection.received_at + call.idle_timeout_s,
        connection.started_at + MAX_TRANSFER_S,
    )


def _build_error(kind: str, call: Call, detail: str) -> CallError:
    return CallError(kind, call.step, call.peer, detail)


def _deliver(call: Call, result: Result[HttpResponse, CallError]) -> None:
    """Pass a result to its callback, whose exceptions must not end other calls."""
    try:
        call.on_result(result)
    except Exception:
        _logger.exception("result callback of step %s failed", call.step)
