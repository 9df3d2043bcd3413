"""Relaying between instances: of their words, the instance list and log records."""

from plantainyard.relay.heartbeats import (
    HeartbeatBatch,
    PeerLocation,
    RelayState,
    choose_targets,
    confirm_batch,
    is_relay,
    list_unconfirmed,
    record_heartbeat,
    reset_confirmations,
)

__all__ = [
    "PeerLocation",
    "RelayState",
    "HeartbeatBatch",
    "choose_targets",
    "confirm_batch",
    "reset_confirmations",
    "is_relay",
    "list_unconfirmed",
    "record_heartbeat",
]
