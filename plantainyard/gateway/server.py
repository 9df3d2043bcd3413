"""The HTTP server of the port for callers."""

import contextlib
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor

from plantainyard.clients import build_pool
from plantainyard.gateway.actor import Gateway
from plantainyard.gateway.app import build_app
from plantainyard.gateway.attempts import Sender
from plantainyard.gateway.parsing import may_refuse
from plantainyard.metrics import Meter
from plantainyard.serving import serve_app
from plantainyard.settings import Settings, derive_port_limits

__all__ = ["serve_gateway"]

_CONNECTIONS_PER_RUNNER = 3
"""Idle connections that the gateway keeps to each runner.

A runner accepts about 60 connections. Eight gateways would exceed that if each kept
one for every slot.
"""


@contextlib.contextmanager
def serve_gateway(settings: Settings, gateway: Gateway, meter: Meter) -> Iterator[str]:
    """Serve callers for the duration of the context and yield the ``ip:port``.

    Parameters
    ----------
    settings : Settings
        Address and limits of the instance.
    gateway : Gateway
        The running gateway.
    meter : Meter
        Receives the counts of outcomes.

    Notes
    -----
    For a planned stop, call `actor.drain_gateway` first and wait for
    `Gateway.drained`. Responses that are being written when the context ends are
    completed.
    """
    runner_pool = build_pool(connections_per_peer=_CONNECTIONS_PER_RUNNER)
    peer_pool = build_pool(connections_per_peer=settings.limits.caller_threads)
    token = settings.security.token.reveal()
    limits = settings.limits
    # Twice the requests in progress: an attempt continues for a while after its
    # caller's deadline.
    threads = ThreadPoolExecutor(2 * limits.caller_threads)
    port_limits, _ = derive_port_limits(limits)
    request_max_s = settings.requests.request_max_s
    sender = Sender(
        runner_pool, peer_pool, token, settings.instance.id, threads, request_max_s
    )
    app = build_app(settings, gateway, sender, meter)
    try:
        with serve_app(
            app,
            settings.instance.address,
            limits.caller_threads,
            port_limits.connections,
            limits.body_bytes,
            limits=port_limits.server._replace(may_refuse=may_refuse),
        ) as address:
            yield address
    finally:
        threads.shutdown(wait=False, cancel_futures=True)
        runner_pool.clear()
        peer_pool.clear()
