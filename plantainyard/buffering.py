"""Bounds on the memory that an HTTP server's connections occupy."""

import threading
from collections.abc import Callable, Mapping
from typing import Generic, NamedTuple, Protocol, TypeVar

__all__ = ["BufferPool", "PortLimits", "ServerLimits"]

MEGABYTE = 1_048_576


class ServerLimits(NamedTuple):
    """Bounds on what the clients of one server can occupy.

    Attributes
    ----------
    buffered_bytes : int
        Size of the pool for all bytes beyond the allowances of the connections.
    connection_bytes : int
        Allowance of each connection, which doesn't count for the pool. Ordinary
        requests fit in it, so that a full pool doesn't affect them.
    receive_buffer_bytes : int
        Size of the kernel's receive buffer of each connection. The kernel receives up
        to twice as much, which counts as memory of the process.
    large_requests : int or None
        Greatest number of requests beyond the allowance that are handled at the same
        time; None for the number of worker threads.
    request_timeout_s : float
        Time in seconds in which a request must arrive completely. It is extended by one
        second for each 64 KiB that have arrived.
    report : callable
        Receives the reason of each rejection and each closed connection.
    may_refuse : callable
        Returns for the path and the headers of a POST request whether a response may
        say that it wasn't run. If not, as an earlier request of the same work may have
        been, the connection is closed without a response. Headers are named as in WSGI,
        but without ``HTTP_``.
    """

    buffered_bytes: int = 64 * MEGABYTE
    connection_bytes: int = 16_384
    receive_buffer_bytes: int = 65_536
    large_requests: int | None = None
    request_timeout_s: float = 30.0
    report: Callable[[str], object] = lambda reason: None
    may_refuse: Callable[[str, Mapping[str, str]], bool] = lambda path, headers: True


class PortLimits(NamedTuple):
    """Limits of one port.

    Attributes
    ----------
    connections : int
        Maximum number of open connections.
    server : ServerLimits
        Bounds on memory and time.
    """

    connections: int
    server: ServerLimits


class Holder(Protocol):
    """A connection that occupies memory."""

    charged: int

    def count_excess(self) -> int:
        """Return the number of bytes that it holds beyond its allowance."""


HolderT = TypeVar("HolderT", bound=Holder)


class BufferPool(Generic[HolderT]):
    """The bytes that the connections of a server hold beyond their allowances.

    Attributes
    ----------
    limit, used : int
        Size of the pool, and number of bytes in use.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.used = 0
        self._lock = threading.Lock()
        self._holders: dict[HolderT, None] = {}

    def settle(self, holder: HolderT) -> None:
        """Charge what the holder has now.

        Notes
        -----
        The I/O thread and a worker thread may both change what a connection holds.
        It is counted under the lock, so that the last call charges the final number.
        """
        with self._lock:
            amount = holder.count_excess()
            self.used += amount - holder.charged
            holder.charged = amount
            if amount:
                self._holders.setdefault(holder)
            else:
                self._holders.pop(holder, None)

    def list_holders(self) -> list[HolderT]:
        """Return the charged connections; the longest charged one is first."""
        with self._lock:
            return list(self._holders)
