"""HTTP calls to many peers from one thread.

The load that it answers: an owner asks each of its runners for a report all the time,
and most of these calls wait for a second. A thread for each of them costs many times
what the call itself does, in switches between threads and in parsing. Here one thread
waits for all answers at once and hands each to the caller's function.

A call is sent once and never repeated, as in `transport`, whose results it shares.
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
"""Connections kept to each peer: one waits for ends, the others carry orders; a new
connection costs more than one that is kept."""

IDLE_TIMEOUT_S = 60.0
"""Time after which a connection that carried no call is closed: a runner that is lost
without a word leaves its connections open for good."""

SWEEP_INTERVAL_S = 10.0
"""Time between looks for such connections."""


class Multiplexer:
    """Calls to many peers over kept connections, from one thread.

    Parameters
    ----------
    idle : int
        Connections kept to each peer.

    Notes
    -----
    The thread begins with the first call. Whatever has arrived is taken in before a
    call counts as timed out: a process that was held up doesn't take its own lateness
    for the peer's silence.
    """

    def __init__(self, idle: int = MAX_IDLE_PER_ADDRESS) -> None:
        self._most_idle = idle
        self._new: deque[Call] = deque()
        self._idle: dict[str, list[Connection]] = defaultdict(list)
        self._deadlines: list[tuple[float, int, Connection, Call]] = []
        self._numbers = itertools.count()
        self._selector = selectors.DefaultSelector()
        self._swept_at = read_clock()
        self._sleeping = False
        self._closing = False
        self._started = threading.Lock()
        self._thread: threading.Thread | None = None
        self._waking, self._woken = socket.socketpair()
        self._woken.setblocking(False)
        self._selector.register(self._woken, selectors.EVENT_READ)

    def send(self, call: Call) -> None:
        """Send a request; `call.on_result` is told what came of it."""
        self._new.append(call)
        if self._closing:
            self._refuse_new()
            return
        if self._thread is None:
            self._start()
        if self._sleeping:
            self._sleeping = False
            self._waking.send(b"\0")

    def call(
        self, step: str, peer: str, address: str, data: bytes, timeout_s: float
    ) -> Result[HttpResponse, CallError]:
        """Send a request and wait for what comes of it; see `Call`."""
        answers: queue.SimpleQueue[Result[HttpResponse, CallError]] = (
            queue.SimpleQueue()
        )
        self.send(Call(step, peer, address, data, timeout_s, answers.put))
        return answers.get()

    def close(self) -> None:
        """End the thread and close all connections; calls that are out fail."""
        self._closing = True
        self._waking.send(b"\0")
        if self._thread is not None:
            self._thread.join()
        keys = list(self._selector.get_map().values())
        for key in keys:
            if key.data is not None:
                self._fail(key.data, ErrorKind.LOST, "closed")
        self._refuse_new()
        self._selector.close()
        self._waking.close()
        self._woken.close()

    def _refuse_new(self) -> None:
        while self._new:
            call = self._new.popleft()
            _tell(call, Err(_describe(ErrorKind.UNREACHABLE, call, "closed")))

    def _start(self) -> None:
        with self._started:
            if self._thread is None:
                self._thread = threading.Thread(target=self._run, daemon=True)
                self._thread.start()

    def _run(self) -> None:
        while not self._closing:
            asked_at = read_clock()
            for key, _ in self._wait():
                if key.data is None:
                    self._woken.recv(RECEIVE_BYTES)
                else:
                    self._serve(key.data)
            while self._new:
                self._begin(self._new.popleft())
            self._expire(asked_at)
            if asked_at - self._swept_at > SWEEP_INTERVAL_S:
                self._swept_at = asked_at
                self._sweep(asked_at - IDLE_TIMEOUT_S)

    def _wait(self) -> list[tuple[selectors.SelectorKey, int]]:
        # Set before the look at what is new: whoever adds a call after it wakes this.
        self._sleeping = True
        timeout_s = 0.0 if self._new else self._find_timeout()
        events = self._selector.select(timeout_s)
        self._sleeping = False
        return events

    def _find_timeout(self) -> float | None:
        deadlines = self._deadlines
        while deadlines and not _is_due(*deadlines[0]):
            heapq.heappop(deadlines)
        return max(0.0, deadlines[0][0] - read_clock()) if deadlines else None

    def _begin(self, call: Call) -> None:
        idle = self._idle[call.address]
        try:
            if idle:
                connection = idle.pop()
                connection.begin(call)
            else:
                connection = Connection(call.address, call)
                self._selector.register(
                    connection.sock, selectors.EVENT_WRITE, connection
                )
        except (OSError, ValueError) as error:
            # No descriptor left, or an address that is none: nothing was sent.
            _tell(call, Err(_describe(ErrorKind.UNREACHABLE, call, repr(error))))
            return
        self._limit(connection, call)
        if connection.connected:
            self._push(connection)

    def _limit(self, connection: Connection, call: Call) -> None:
        """Let a call end from now on after its timeout."""
        connection.deadline = read_clock() + call.timeout_s
        entry = (connection.deadline, next(self._numbers), connection, call)
        heapq.heappush(self._deadlines, entry)

    def _serve(self, connection: Connection) -> None:
        """Go on with a connection that is ready.

        Notes
        -----
        Guards against an instance whose calls all stop: a fault of the program ends the
        call that met it, and not the thread.
        """
        try:
            self._go_on(connection)
        except Exception as error:
            _logger.exception("a call to %s failed", connection.address)
            self._fail(connection, ErrorKind.LOST, repr(error))

    def _go_on(self, connection: Connection) -> None:
        if not connection.connected:
            self._connect(connection)
        elif connection.unsent:
            self._push(connection)
        else:
            self._pull(connection)

    def _connect(self, connection: Connection) -> None:
        error = connection.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error:
            self._fail(connection, ErrorKind.UNREACHABLE, f"errno {error}")
            return
        connection.connected = True
        if connection.call is not None:
            self._limit(connection, connection.call)
        self._push(connection)

    def _push(self, connection: Connection) -> None:
        """Send what is left of a request, then wait for the answer."""
        try:
            sent = connection.sock.send(connection.unsent)
        except BlockingIOError:
            sent = 0
        except OSError as error:
            self._fail(connection, ErrorKind.LOST, repr(error))
            return
        connection.unsent = connection.unsent[sent:]
        wanted = selectors.EVENT_WRITE if connection.unsent else selectors.EVENT_READ
        if self._selector.get_key(connection.sock).events != wanted:
            self._selector.modify(connection.sock, wanted, connection)

    def _pull(self, connection: Connection) -> None:
        """Take in what has come on a connection.

        Notes
        -----
        An idle connection on which anything comes is of no use any more: its peer has
        closed it, or speaks out of turn.
        """
        try:
            data = connection.sock.recv(RECEIVE_BYTES)
        except BlockingIOError:
            return
        except OSError as error:
            self._fail(connection, ErrorKind.LOST, repr(error))
            return
        if not data or connection.call is None:
            self._fail(connection, ErrorKind.LOST, "the peer closed the connection")
            return
        try:
            connection.parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._fail(connection, ErrorKind.MALFORMED, repr(error))
            return
        if connection.size > DEFAULT_BODY_LIMIT:
            self._fail(connection, ErrorKind.MALFORMED, "the answer is too long")
        elif connection.done:
            self._finish(connection, connection.call)

    def _finish(self, connection: Connection, call: Call) -> None:
        status = connection.parser.get_status_code()
        answer = HttpResponse(status, {}, b"".join(connection.chunks))
        connection.call = None
        idle = self._idle[connection.address]
        if connection.lasting and len(idle) < self._most_idle:
            connection.used_at = read_clock()
            idle.append(connection)
        else:
            self._drop(connection)
        _tell(call, Ok(answer))

    def _expire(self, asked_at: float) -> None:
        """End the calls whose time was over when it was last asked what has arrived."""
        while self._deadlines and self._deadlines[0][0] <= asked_at:
            entry = heapq.heappop(self._deadlines)
            connection = entry[2]
            if _is_due(*entry):
                kind = ErrorKind.LOST if connection.connected else ErrorKind.UNREACHABLE
                self._fail(connection, kind, "no answer in time")

    def _sweep(self, before: float) -> None:
        """Close the connections whose last call ended before a time."""
        idle = itertools.chain.from_iterable(list(self._idle.values()))
        for connection in [found for found in idle if found.used_at < before]:
            self._drop(connection)

    def _fail(self, connection: Connection, kind: str, detail: str) -> None:
        call = connection.call
        connection.call = None
        self._drop(connection)
        if call is not None:
            _tell(call, Err(_describe(kind, call, detail)))

    def _drop(self, connection: Connection) -> None:
        idle = self._idle[connection.address]
        if connection in idle:
            idle.remove(connection)
        if not idle:
            del self._idle[connection.address]
        self._selector.unregister(connection.sock)
        connection.sock.close()


def _is_due(deadline: float, _: int, connection: Connection, call: Call) -> bool:
    """Return whether a deadline still is that of the call on its connection."""
    return connection.call is call and connection.deadline == deadline


def _describe(kind: str, call: Call, detail: str) -> CallError:
    return CallError(kind, call.step, call.peer, detail)


def _tell(call: Call, answer: Result[HttpResponse, CallError]) -> None:
    """Tell what came of a call; a fault of the teller's must not end the others."""
    try:
        call.on_result(answer)
    except Exception:
        _logger.exception("a function that took an answer to %s failed", call.step)
