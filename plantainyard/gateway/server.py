"""The HTTP server of the callers' port."""

import contextlib
import threading
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from typing import Any
from wsgiref.types import WSGIApplication

import waitress
from waitress import wasyncore

from plantainyard.clients import build_pool
from plantainyard.clock import read_clock
from plantainyard.gateway.actor import Gateway
from plantainyard.gateway.app import build_app
from plantainyard.gateway.sending import Sender
from plantainyard.metrics import Meter
from plantainyard.settings import Settings

__all__ = ["serve_app", "serve_gateway"]

_IDLE_CONNECTIONS = 3
_IDLE_TIMEOUT_S = 30
_HEADER_BYTES = 16_384
_BODY_SLACK = 2
_LOOP_S = 0.1
_FLUSH_S = 5.0
_JOIN_S = 5.0
_OWN_SOCKETS = 2


@contextlib.contextmanager
def serve_gateway(settings: Settings, gateway: Gateway, meter: Meter) -> Iterator[str]:
    """Serve callers for the length of the context and yield the ``ip:port``.

    Parameters
    ----------
    settings : Settings
        The address and the limits.
    gateway : Gateway
        The running gateway.
    meter : Meter
        Counts outcomes.

    Notes
    -----
    For a planned stop call `actor.drain_gateway` first and wait for
    `Gateway.drained`; on leaving, answers that are still being written are finished.
    """
    # Each gateway keeps few idle connections: a runner holds about 60, which eight
    # gateways with one for every slot would exceed.
    runners = build_pool(connections_per_peer=_IDLE_CONNECTIONS)
    peers = build_pool(connections_per_peer=settings.limits.caller_threads)
    token = settings.security.token.reveal()
    limits = settings.limits
    # Twice the requests in progress: those whose callers have gone go on for a while.
    threads = ThreadPoolExecutor(2 * limits.caller_threads)
    longest_s = settings.requests.request_max_s
    sender = Sender(runners, peers, token, settings.instance.id, threads, longest_s)
    app = build_app(settings, gateway, sender, meter)
    try:
        with serve_app(
            app,
            settings.instance.address,
            limits.caller_threads,
            limits.connections,
            limits.body_bytes,
        ) as address:
            yield address
    finally:
        threads.shutdown(wait=False, cancel_futures=True)
        runners.clear()
        peers.clear()


@contextlib.contextmanager
def serve_app(
    app: WSGIApplication, address: str, threads: int, connections: int, body_bytes: int
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

    Notes
    -----
    The server reads whole requests and writes whole answers in its own loop, so slow
    callers hold a connection but no thread. Buffers stay in memory: instances have no
    disk.
    """
    sockets: dict[int, Any] = {}
    buffered = _BODY_SLACK * body_bytes
    server = waitress.create_server(
        app,
        map=sockets,
        listen=address,
        threads=threads,
        connection_limit=connections + _OWN_SOCKETS,
        channel_timeout=_IDLE_TIMEOUT_S,
        cleanup_interval=_IDLE_TIMEOUT_S // 3,
        max_request_header_size=_HEADER_BYTES,
        max_request_body_size=buffered,
        inbuf_overflow=buffered,
        outbuf_overflow=buffered + _HEADER_BYTES,
        clear_untrusted_proxy_headers=True,
        ident=None,
    )
    stopping = threading.Event()
    thread = threading.Thread(
        target=_run_loop, args=(server, sockets, stopping), daemon=True
    )
    thread.start()
    try:
        yield f"{server.effective_host}:{server.effective_port}"
    finally:
        stopping.set()
        server.pull_trigger()
        thread.join(_FLUSH_S + _JOIN_S)


def _run_loop(server: Any, sockets: dict[int, Any], stopping: threading.Event) -> None:
    while not stopping.is_set():
        wasyncore.loop(timeout=_LOOP_S, map=sockets, use_poll=True, count=1)
    _finish(server, sockets)


def _finish(server: Any, sockets: dict[int, Any]) -> None:
    """Take nothing new, write what is answered, then close."""
    server.accepting = False
    until = read_clock() + _FLUSH_S
    while read_clock() < until and any(map(_is_busy, server.active_channels.values())):
        wasyncore.loop(timeout=_LOOP_S, map=sockets, use_poll=True, count=1)
    server.task_dispatcher.shutdown(cancel_pending=True, timeout=1)
    wasyncore.close_all(sockets)


def _is_busy(channel: Any) -> bool:
    return bool(channel.requests) or channel.total_outbufs_len > 0
