"""Serving a WSGI application from one thread's loop and a few workers."""

import contextlib
import threading
from collections.abc import Iterator
from typing import Any
from wsgiref.types import WSGIApplication

import waitress
from waitress import wasyncore

from plantainyard.clock import read_clock

__all__ = ["LOOP_THREAD_NAME", "serve_app"]

LOOP_THREAD_NAME = "http-loop"
"""Name of the thread that reads and writes for a server."""

IDLE_TIMEOUT_S = 30
"""Time after which a connection without requests is closed."""

HEADER_BYTES = 16_384
"""Longest header of a request."""

BODY_SLACK = 2
"""Bodies up to this many limits are read whole, so that the application can say that
one is too long."""

LOOP_S = 5.0
"""Longest sleep of the server's loop; whatever happens on a socket wakes it, and so do
finished answers and the stop. What is left for it is to close idle connections."""

FLUSH_S = 5.0
"""Longest time for answers that are being written at the end."""

FLUSH_LOOP_S = 0.05
"""Longest sleep of the loop while they are."""

JOIN_S = 5.0
"""Longest time for the loop's thread to end."""

OWN_SOCKETS = 2
"""The listening socket and the loop's own, which count as connections."""


@contextlib.contextmanager
def serve_app(
    app: WSGIApplication,
    address: str,
    threads: int,
    connections: int,
    body_bytes: int,
    flush_s: float = FLUSH_S,
) -> Iterator[str]:
    """Serve a WSGI application for the length of the context.

    Parameters
    ----------
    app : WSGIApplication
        What to serve.
    address : str
        ``ip:port``; port 0 lets the system choose.
    threads, connections, body_bytes : int
        Bounds.
    flush_s : float
        Longest time for answers that are being written when the context ends.

    Notes
    -----
    The server reads whole requests and writes whole answers in its own loop, so slow
    callers hold a connection but no thread. Buffers stay in memory: instances have no
    disk.
    """
    sockets: dict[int, Any] = {}
    buffered = BODY_SLACK * body_bytes
    server = waitress.create_server(
        app,
        map=sockets,
        listen=address,
        threads=threads,
        connection_limit=connections + OWN_SOCKETS,
        channel_timeout=IDLE_TIMEOUT_S,
        cleanup_interval=IDLE_TIMEOUT_S // 3,
        max_request_header_size=HEADER_BYTES,
        max_request_body_size=buffered,
        inbuf_overflow=buffered,
        outbuf_overflow=buffered + HEADER_BYTES,
        clear_untrusted_proxy_headers=True,
        ident=None,
    )
    stopping = threading.Event()
    arguments = (server, sockets, stopping, flush_s)
    thread = threading.Thread(
        target=_run_loop, args=arguments, daemon=True, name=LOOP_THREAD_NAME
    )
    thread.start()
    try:
        yield f"{server.effective_host}:{server.effective_port}"
    finally:
        stopping.set()
        server.pull_trigger()
        thread.join(flush_s + JOIN_S)


def _run_loop(
    server: Any, sockets: dict[int, Any], stopping: threading.Event, flush_s: float
) -> None:
    while not stopping.is_set():
        wasyncore.loop(timeout=LOOP_S, map=sockets, use_poll=True, count=1)
    _finish(server, sockets, flush_s)


def _finish(server: Any, sockets: dict[int, Any], flush_s: float) -> None:
    """Take nothing new, write what is answered, then close."""
    server.accepting = False
    until = read_clock() + flush_s
    while read_clock() < until and any(map(_is_busy, server.active_channels.values())):
        wasyncore.loop(timeout=FLUSH_LOOP_S, map=sockets, use_poll=True, count=1)
    server.task_dispatcher.shutdown(cancel_pending=True, timeout=1)
    wasyncore.close_all(sockets)


def _is_busy(channel: Any) -> bool:
    return bool(channel.requests) or channel.total_outbufs_len > 0
