"""The gateway of an instance: the HTTP server for callers and its actor."""

from plantainyard.gateway.actor import (
    Gateway,
    describe_gateway,
    drain_gateway,
    is_alive,
    post_event,
    read_free_credits,
    run_gateway,
)
from plantainyard.gateway.peers import call_peer, send_credit_request
from plantainyard.gateway.server import serve_gateway

__all__ = [
    "Gateway",
    "call_peer",
    "describe_gateway",
    "drain_gateway",
    "is_alive",
    "post_event",
    "read_free_credits",
    "run_gateway",
    "send_credit_request",
    "serve_gateway",
]
