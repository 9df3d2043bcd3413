"""Relaying of heartbeats between failure domains."""

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
    "HeartbeatBatch",
    "PeerLocation",
    "RelayState",
    "choose_targets",
    "confirm_batch",
    "is_relay",
    "list_unconfirmed",
    "record_heartbeat",
    "reset_confirmations",
]
