"""HTTP server for a WSGI application: one I/O thread and a pool of worker threads."""

import contextlib
import sys
import threading
from collections.abc import Callable, Iterator
from typing import Any
from wsgiref.types import WSGIApplication

from waitress import wasyncore
from waitress.adjustments import Adjustments

from plantainyard.buffering import ServerLimits
from plantainyard.clock import read_clock
from plantainyard.http_server import Server
from plantainyard.workers import WorkerPool

__all__ = ["LOOP_THREAD_NAME", "serve_app"]

LOOP_THREAD_NAME = "http-loop"
"""Name of a server's I/O thread."""

IDLE_TIMEOUT_S = 30
"""Time after which a connection without requests is closed."""

MAX_HEADER_BYTES = 16_384
"""Greatest length of a request's header."""

BODY_LIMIT_FACTOR = 2
"""Bodies of up to this many times the limit are read completely, so that the
application can respond that a body is too long."""

POLL_TIMEOUT_S = 5.0
"""Longest sleep of the server's loop. Socket events, finished responses and the stop
wake it earlier; the timeout only serves to close idle connections."""

FLUSH_TIMEOUT_S = 5.0
"""Longest time for sending responses in progress when the server stops."""

FLUSH_POLL_S = 0.05
"""Longest sleep of the loop while these responses are sent."""

JOIN_TIMEOUT_S = 5.0
"""Longest time for the I/O thread to end after that."""

DEFAULT_LIMITS = ServerLimits()
"""Limits where neither settings nor the machine give other ones."""


@contextlib.contextmanager
def serve_app(
    app: WSGIApplication,
    address: str,
    threads: int,
    connections: int,
    body_bytes: int | Callable[[], int],
    flush_s: float = FLUSH_TIMEOUT_S,
    limits: ServerLimits = DEFAULT_LIMITS,
) -> Iterator[str]:
    """Serve a WSGI application within the context.

    Parameters
    ----------
    app : WSGIApplication
        The application.
    address : str
        ``ip:port``; with port 0 the system chooses one.
    threads, connections : int
        Number of worker threads, and limit of connections.
    body_bytes : int or callable
        Limit of a body's length in bytes, or a function that returns it.
    flush_s : float
        Longest time for sending responses in progress when the context ends.
    limits : ServerLimits
        Bounds on the memory and time that clients occupy.

    Yields
    ------
    str
        The address on which the server listens, ``ip:port``.

    Notes
    -----
    The I/O thread reads complete requests and writes complete responses, so a slow
    caller occupies a connection but no worker thread. Buffers are kept in memory,
    because instances have no disk, and `limits` bounds them.
    """
    sockets: dict[int, Any] = {}
    server = _create_server(
        app, sockets, address, threads, connections, body_bytes, limits
    )
    stopping, woken = threading.Event(), threading.Event()
    arguments = (server, sockets, stopping, woken, flush_s)
    thread = threading.Thread(
        target=_run_loop, args=arguments, daemon=True, name=LOOP_THREAD_NAME
    )
    thread.start()
    try:
        yield f"{server.effective_host}:{server.effective_port}"
    finally:
        stopping.set()
        server.pull_trigger()
        woken.set()
        thread.join(flush_s + JOIN_TIMEOUT_S)


def _create_server(
    app: WSGIApplication,
    sockets: dict[int, Any],
    address: str,
    threads: int,
    connections: int,
    body_bytes: int | Callable[[], int],
    limits: ServerLimits,
) -> Server:
    adjustments = Adjustments(
        listen=address,
        threads=threads,
        channel_timeout=IDLE_TIMEOUT_S,
        cleanup_interval=IDLE_TIMEOUT_S // 3,
        max_request_header_size=MAX_HEADER_BYTES,
        max_request_body_size=sys.maxsize,
        inbuf_overflow=sys.maxsize,
        outbuf_overflow=sys.maxsize,
        clear_untrusted_proxy_headers=True,
        ident=None,
    )

    def find_read_limit() -> int:
        limit = body_bytes if isinstance(body_bytes, int) else body_bytes()
        return BODY_LIMIT_FACTOR * limit

    return Server(
        app,
        limits,
        connections,
        find_read_limit,
        map=sockets,
        dispatcher=WorkerPool(threads, limits.large_requests or threads),
        adj=adjustments,
        sockinfo=adjustments.listen[0],
    )


def _run_loop(
    server: Any,
    sockets: dict[int, Any],
    stopping: threading.Event,
    woken: threading.Event,
    flush_s: float,
) -> None:
    """Run the server until it is stopped, then shut it down.

    Notes
    -----
    Guards against a stop that writes to the wake-up socket after it was closed, or to
    another file that got its descriptor: an event of a caller may wake the loop first.
    """
    while not stopping.is_set():
        server.prepare_turn()
        wasyncore.loop(timeout=POLL_TIMEOUT_S, map=sockets, use_poll=True, count=1)
    woken.wait()
    _shut_down(server, sockets, flush_s)


def _shut_down(server: Any, sockets: dict[int, Any], flush_s: float) -> None:
    """Stop accepting connections, send responses in progress, then close."""
    server.accepting = False
    deadline = read_clock() + flush_s
    while read_clock() < deadline and any(
        map(_is_busy, server.active_channels.values())
    ):
        wasyncore.loop(timeout=FLUSH_POLL_S, map=sockets, use_poll=True, count=1)
    server.task_dispatcher.shutdown(cancel_pending=True, timeout=1)
    wasyncore.close_all(sockets)


def _is_busy(channel: Any) -> bool:
    return bool(channel.requests) or channel.total_outbufs_len > 0
