"""The HTTP server of the callers' port."""

import contextlib
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor

from plantainyard.clients import build_pool
from plantainyard.gateway.actor import Gateway
from plantainyard.gateway.app import build_app
from plantainyard.gateway.attempts import Sender
from plantainyard.metrics import Meter
from plantainyard.serving import serve_app
from plantainyard.settings import Settings

__all__ = ["serve_gateway"]

_CONNECTIONS_PER_RUNNER = 3


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
    runners = build_pool(connections_per_peer=_CONNECTIONS_PER_RUNNER)
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
