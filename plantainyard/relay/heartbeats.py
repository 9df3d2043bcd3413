"""What one instance passes on about others, so that no link carries it twice.

Within a failure domain every instance speaks to every other. Between domains only
one relay of each speaks; it hands on what changed in its domain since the other
relay last confirmed, and hands down to its own domain what it heard from others.
"""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from plantainyard.protocol import Heartbeat
from plantainyard.routing.arbiter import rank_names

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

_SPOKEN = ("sequence", "members", "domain_ages", "list_digest", "config_age_s")


class PeerLocation(NamedTuple):
    """An instance that can be spoken to."""

    instance: str
    domain: str


class HeartbeatBatch(NamedTuple):
    """Words to pass on, and the version to confirm once they arrived."""

    heartbeats: tuple[Heartbeat, ...]
    version: int


class RelayState:
    """The newest word of each other instance and who has confirmed which.

    Attributes
    ----------
    words : dict of str to Heartbeat
        Newest word by instance.
    versions : dict of str to int
        Version at which each word changed.
    version : int
        Grows with each change.
    confirmed : dict of str to int
        Newest version that each peer confirmed.
    """

    def __init__(self) -> None:
        self.heartbeats: dict[str, Heartbeat] = {}
        self.versions: dict[str, int] = {}
        self.version = 0
        self.confirmed: dict[str, int] = {}


def rank_relays(domain: str, instances: Iterable[str]) -> list[str]:
    """Return `instances` of `domain` in the order in which they relay for it."""
    return rank_names(f"relay.{domain}", instances)


def is_relay(instance: str, domain: str, live: Iterable[str]) -> bool:
    """Tell whether `instance` relays for its domain, given those that live there."""
    return rank_relays(domain, {*live, instance})[0] == instance


def choose_targets(
    own: PeerLocation,
    listed: Iterable[PeerLocation],
    silent: Mapping[str, int],
    acts_as_relay: bool,
) -> list[str]:
    """Return the instances to speak to in this round.

    Parameters
    ----------
    own : PeerLocation
        This instance.
    listed : iterable of PeerLocation
        All others that the list does not call gone.
    silent : mapping of str to int
        Calls in a row that brought no answer, by instance.
    relays : bool
        Whether this instance relays for its domain.

    Returns
    -------
    list of str
        All of the own domain, and for a relay one of each other domain: the first in
        order of relaying among those with the fewest unanswered calls, so that a
        domain whose relay died is reached through the next.
    """
    domains: dict[str, list[str]] = {}
    for peer in listed:
        domains.setdefault(peer.domain, []).append(peer.instance)
    near = domains.pop(own.domain, [])
    if not acts_as_relay:
        return near
    far = [
        min(rank_relays(domain, names), key=lambda name: silent.get(name, 0))
        for domain, names in sorted(domains.items())
    ]
    return near + far


def record_heartbeat(state: RelayState, word: Heartbeat) -> bool:
    """Keep `word` as its instance's newest; return whether it says anything new."""
    kept = _strip(word)
    if state.heartbeats.get(word.instance) == kept:
        return False
    state.version += 1
    state.heartbeats[word.instance] = kept
    state.versions[word.instance] = state.version
    return True


def list_unconfirmed(
    state: RelayState, peer: str, domains: Iterable[str]
) -> HeartbeatBatch:
    """Return the words about `domains` that `peer` has not confirmed."""
    wanted = set(domains)
    known = state.confirmed.get(peer, 0)
    words = tuple(
        word
        for instance, word in state.heartbeats.items()
        if word.domain in wanted
        and instance != peer
        and state.versions[instance] > known
    )
    return HeartbeatBatch(words, state.version)


def confirm_batch(state: RelayState, peer: str, version: int) -> None:
    """Note that `peer` has everything up to `version`."""
    state.confirmed[peer] = max(version, state.confirmed.get(peer, 0))


def reset_confirmations(state: RelayState, peer: str) -> None:
    """Note that `peer` was started anew and knows nothing."""
    state.confirmed.pop(peer, None)


def _strip(word: Heartbeat) -> Heartbeat:
    """Leave out what changes with each heartbeat without saying anything new."""
    defaults = Heartbeat._field_defaults
    return word._replace(
        sequence=0, **{name: defaults[name] for name in _SPOKEN if name in defaults}
    )
