"""Relaying between instances: of their words, the instance list and log records."""

from plantainyard.relay.words import (
    PeerAddress,
    RelayState,
    Sending,
    choose_targets,
    confirm_sending,
    forget_confirmations,
    is_relay,
    list_news,
    note_word,
)

__all__ = [
    "PeerAddress",
    "RelayState",
    "Sending",
    "choose_targets",
    "confirm_sending",
    "forget_confirmations",
    "is_relay",
    "list_news",
    "note_word",
]
