"""The callers' side of an instance: its HTTP server and the actor behind it."""

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
    "send_credit_request",
    "call_peer",
    "describe_gateway",
    "drain_gateway",
    "is_alive",
    "read_free_credits",
    "run_gateway",
    "serve_gateway",
    "post_event",
]
