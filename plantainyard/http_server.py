"""Server of HTTP connections with bounds on memory, time and the I/O thread."""

import heapq
import socket
from collections.abc import Callable
from typing import Any

from waitress.server import TcpWSGIServer

from plantainyard.buffering import BufferPool, ServerLimits
from plantainyard.channels import BUFFERS_FULL, BULK_READ_BYTES, TIMED_OUT, Channel
from plantainyard.clock import read_clock

__all__ = ["Server"]

BULK_READS = 32
"""Number of such connections that are read in one turn of the loop. The turn then takes
some milliseconds, however many there are."""

BULK_TURN_S = 0.01
"""Time in a turn of the loop after which such connections are left for the next one:
while worker threads compute, each read may wait for the interpreter's lock."""

ROOM_CONNECTIONS = 8
"""Number of connections that are closed at once when the limit is reached: finding them
takes time proportional to the number of connections."""

FULL_PAUSE_S = 0.1
"""Pause in accepting connections when none can be closed."""

CONNECTIONS_PER_ACCEPT = 64
"""One more connection is accepted in each turn for so many open ones, because turns
take the longer the more there are."""

SMALL_QUEUE_SHARE, LARGE_QUEUE_SHARE = 3 / 4, 1 / 4
"""Numbers of ordinary and of large requests that may wait for a thread, as shares of
the limit of connections."""


SEND_BUFFER_BYTES = 65_536
"""Size of the kernel's send buffer of each connection. It would grow to 4 MB of a
response that isn't read; the kernel takes up to twice the size that is set."""


class Server(TcpWSGIServer):
    """A server whose connections share a pool of memory.

    Attributes
    ----------
    limits : ServerLimits
        Bounds on what clients occupy.
    connections : int
        Greatest number of connections.
    pool : BufferPool
        Bytes beyond the connections' allowances.
    bulk : set of Channel
        Connections that take turns in being read.
    scratch : bytearray
        Receives bytes that are dropped.
    """

    channel_class = Channel

    def __init__(
        self,
        application: Any,
        limits: ServerLimits,
        connections: int,
        find_read_limit: Callable[[], int],
        **arguments: Any,
    ) -> None:
        self.limits = limits
        self.connections = connections
        self.find_read_limit = find_read_limit
        self.pool: BufferPool[Channel] = BufferPool(limits.buffered_bytes)
        self.bulk: set[Channel] = set()
        self.scratch = bytearray(BULK_READ_BYTES)
        self._turn = 0
        self._bulk_until = 0.0
        self._paused_until = 0.0
        self._needs_room = False
        self._next_cleanup = 0.0
        super().__init__(application, **arguments)

    def bind_server_socket(self) -> None:
        """Bind, with small buffers that accepted connections inherit."""
        size = self.limits.receive_buffer_bytes
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        super().bind_server_socket()

    def prepare_turn(self) -> None:
        """Close connections that exceed a limit, before a turn of the loop.

        Notes
        -----
        Guards against closing a connection that was just accepted. If another one is
        closed while the loop handles events, an event of it that is still to be handled
        would reach the connection that gets its descriptor.
        """
        self._turn += 1
        self._bulk_until = 0.0
        now = read_clock()
        if now >= self._next_cleanup:
            self._next_cleanup = now + self.adj.cleanup_interval
            self._close_overdue(now)
        if self.pool.used > self.pool.limit:
            self._limit_buffers()
        if self._needs_room:
            self._needs_room = False
            if not self._make_room(now):
                self._paused_until = now + FULL_PAUSE_S

    def readable(self) -> bool:
        """Return whether to accept connections."""
        if not self.accepting:
            return False
        return not self._paused_until or read_clock() >= self._paused_until

    def has_turn(self, descriptor: int) -> bool:
        """Return whether the connection is one of those that are read in this turn."""
        period = 1 + len(self.bulk) // BULK_READS
        if descriptor % period != self._turn % period:
            return False
        now = read_clock()
        if not self._bulk_until:
            self._bulk_until = now + BULK_TURN_S
        return now < self._bulk_until

    def is_queue_full(self, large: bool) -> bool:
        """Return whether no more such requests may wait for a thread.

        Notes
        -----
        Connections whose requests wait can't be closed for new ones. A share of the
        connections is kept from each kind of request, so that others can connect.
        """
        share = LARGE_QUEUE_SHARE if large else SMALL_QUEUE_SHARE
        count = self.task_dispatcher.queue.count(large)
        return bool(count >= max(1, int(share * self.connections)))

    def handle_accept(self) -> None:
        """Accept connections; at the limit, others are closed before the next turn."""
        channels = self.active_channels
        for number in range(1 + len(channels) // CONNECTIONS_PER_ACCEPT):
            if len(channels) >= self.connections:
                # Only the first is known to wait; if others do, the next turn has them.
                self._needs_room = self._needs_room or number == 0
                return
            before = len(channels)
            super().handle_accept()
            if len(channels) == before:
                return

    def accept(self) -> Any:
        """Accept a connection; without a free descriptor, make room and pause."""
        try:
            return super().accept()
        except OSError:
            self._needs_room = True
            self._paused_until = read_clock() + FULL_PAUSE_S
            raise

    def _make_room(self, now: float) -> bool:
        channels = [
            each
            for each in self.active_channels.values()
            if not each.requests or each.unparsed
        ]
        chosen = heapq.nsmallest(
            ROOM_CONNECTIONS, channels, key=lambda each: each.rank_closing(now)
        )
        for channel in chosen:
            self.limits.report("connections full")
            channel.close_stalled(now)
        return bool(chosen)

    def _limit_buffers(self) -> None:
        """Reject incomplete requests and close unread responses, the oldest first.

        Notes
        -----
        Ends once the rest fits in the pool. Complete requests wait or run, and stay.
        """
        holders = self.pool.list_holders()
        for channel in holders:
            # The kernel has sent on since the response was charged.
            channel.settle()
        for channel in holders:
            if self.pool.used <= self.pool.limit:
                return
            if channel.requests or not channel.charged:
                continue
            if channel.count_unsent():
                self.limits.report("response unread")
                channel.close_unread()
            else:
                channel.reject(BUFFERS_FULL)

    def _close_overdue(self, now: float) -> None:
        idle_since = now - self.adj.channel_timeout
        for channel in list(self.active_channels.values()):
            if channel.requests:
                continue
            if channel.discard_until:
                if now >= channel.discard_until:
                    channel.handle_close()
            elif channel.is_overdue(now):
                channel.reject(TIMED_OUT)
            elif channel.active_at < idle_since:
                # Not on the next write: a client that reads nothing prevents it.
                channel.close_stalled(now)
