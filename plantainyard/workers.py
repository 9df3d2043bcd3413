"""The worker threads of an HTTP server and the queue of requests for them."""

import logging
from collections import deque
from typing import Any

from waitress.task import ThreadedTaskDispatcher

__all__ = ["TaskQueue", "WorkerPool"]

LARGE_TURN = 8
"""Every so many requests, a large one goes first, so that small ones don't hold large
ones up for good."""


class TaskQueue:
    """Connections whose request waits for a thread; those with small requests first.

    Attributes
    ----------
    max_large : int
        Greatest number of large requests that are handled at the same time.
    large_in_progress : int
        Number of these now.

    Notes
    -----
    Has the methods of a deque that waitress calls, all under the dispatcher's lock.
    """

    def __init__(self, max_large: int) -> None:
        self.max_large = max_large
        self.large_in_progress = 0
        self._small: deque[Any] = deque()
        self._large: deque[Any] = deque()
        self._count = 0

    def __len__(self) -> int:
        """Return the number of requests that may be handled now."""
        return len(self._small) + (len(self._large) if self._takes_large() else 0)

    def count(self, large: bool) -> int:
        """Return the number of large or of small requests that wait."""
        return len(self._large if large else self._small)

    def append(self, channel: Any) -> None:
        """Add a connection with a complete request."""
        (self._large if channel.requests[0].large else self._small).append(channel)

    def popleft(self) -> Any:
        """Remove and return the connection that is next."""
        self._count += 1
        prefers_large = not self._small or self._count % LARGE_TURN == 0
        if prefers_large and self._large and self._takes_large():
            self.large_in_progress += 1
            return self._large.popleft()
        return self._small.popleft()

    def _takes_large(self) -> bool:
        return self.large_in_progress < self.max_large


class WorkerPool(ThreadedTaskDispatcher):
    """The worker threads.

    Notes
    -----
    The length of the queue is not logged: a line for each waiting request would cost
    the most when there is the least time.
    """

    queue_logger = logging.getLogger(f"{__name__}.queue")

    def __init__(self, threads: int, max_large: int) -> None:
        super().__init__()
        self.queue_logger.disabled = True
        self.queue = TaskQueue(max_large)
        self.set_thread_count(threads)

    def finish_large(self) -> None:
        """Record that a large request has been handled."""
        with self.lock:
            self.queue.large_in_progress -= 1
