"""The callers' side of an instance: its HTTP server and the actor behind it."""

from plantainyard.gateway.actor import (
    Gateway,
    describe_gateway,
    drain_gateway,
    is_alive,
    read_room,
    run_gateway,
    tell_event,
)
from plantainyard.gateway.peers import ask_owner, call_peer
from plantainyard.gateway.server import serve_gateway

__all__ = [
    "Gateway",
    "ask_owner",
    "call_peer",
    "describe_gateway",
    "drain_gateway",
    "is_alive",
    "read_room",
    "run_gateway",
    "serve_gateway",
    "tell_event",
]
