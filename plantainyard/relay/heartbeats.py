"""Relaying of heartbeats, so that no link between domains carries one twice.

Within a failure domain every instance sends heartbeats to every other. Between domains
only the relay of each domain does. It forwards the changes in its domain that the other
relay has not confirmed, and forwards heartbeats of other domains to its own domain.
"""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from plantainyard.protocol import Heartbeat
from plantainyard.routing.arbiter import rank_names

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

_VOLATILE_FIELDS = ("sequence", "members", "domain_ages", "list_digest", "config_age_s")


class PeerLocation(NamedTuple):
    """An instance and its failure domain."""

    instance: str
    domain: str


class HeartbeatBatch(NamedTuple):
    """Heartbeats to relay, and the version to confirm after their delivery."""

    heartbeats: tuple[Heartbeat, ...]
    version: int


class RelayState:
    """The newest heartbeat of each instance and the versions that peers confirmed.

    Attributes
    ----------
    heartbeats : dict of str to Heartbeat
        Newest heartbeat by instance, without its volatile fields.
    versions : dict of str to int
        Version at which the heartbeat last changed, by instance.
    version : int
        Increases with each change of a heartbeat.
    confirmed : dict of str to int
        Newest confirmed version by peer.
    """

    def __init__(self) -> None:
        self.heartbeats: dict[str, Heartbeat] = {}
        self.versions: dict[str, int] = {}
        self.version = 0
        self.confirmed: dict[str, int] = {}


def rank_relays(domain: str, instances: Iterable[str]) -> list[str]:
    """Return the `instances` of `domain` in their order of preference as its relay."""
    return rank_names(f"relay.{domain}", instances)


def is_relay(instance: str, domain: str, live: Iterable[str]) -> bool:
    """Return whether `instance` is the relay among the live instances of `domain`."""
    return rank_relays(domain, {*live, instance})[0] == instance


def choose_targets(
    own: PeerLocation,
    listed: Iterable[PeerLocation],
    unanswered: Mapping[str, int],
    acts_as_relay: bool,
) -> list[str]:
    """Return the instances to which heartbeats are sent in this round.

    Parameters
    ----------
    own : PeerLocation
        This instance.
    listed : iterable of PeerLocation
        All other instances that are not listed as terminated.
    unanswered : mapping of str to int
        Number of consecutive calls without a response, by instance.
    acts_as_relay : bool
        Whether this instance is the relay of its domain.

    Returns
    -------
    list of str
        All instances of the own domain and, for a relay, one of each other domain. This
        is the most preferred relay among the instances with the fewest unanswered
        calls, so that a domain whose relay has failed is reached through the next one.
    """
    domains: dict[str, list[str]] = {}
    for peer in listed:
        domains.setdefault(peer.domain, []).append(peer.instance)
    own_domain_peers = domains.pop(own.domain, [])
    if not acts_as_relay:
        return own_domain_peers
    other_relays = [
        min(rank_relays(domain, names), key=lambda name: unanswered.get(name, 0))
        for domain, names in sorted(domains.items())
    ]
    return own_domain_peers + other_relays


def record_heartbeat(state: RelayState, heartbeat: Heartbeat) -> bool:
    """Store `heartbeat` as its instance's newest; return whether it has changed."""
    stable = _reset_volatile_fields(heartbeat)
    if state.heartbeats.get(heartbeat.instance) == stable:
        return False
    state.version += 1
    state.heartbeats[heartbeat.instance] = stable
    state.versions[heartbeat.instance] = state.version
    return True


def list_unconfirmed(
    state: RelayState, peer: str, domains: Iterable[str]
) -> HeartbeatBatch:
    """Return the heartbeats from `domains` that `peer` has not confirmed."""
    selected_domains = set(domains)
    confirmed_version = state.confirmed.get(peer, 0)
    unconfirmed = tuple(
        heartbeat
        for instance, heartbeat in state.heartbeats.items()
        if heartbeat.domain in selected_domains
        and instance != peer
        and state.versions[instance] > confirmed_version
    )
    return HeartbeatBatch(unconfirmed, state.version)


def confirm_batch(state: RelayState, peer: str, version: int) -> None:
    """Record that `peer` has received every change up to `version`."""
    state.confirmed[peer] = max(version, state.confirmed.get(peer, 0))


def reset_confirmations(state: RelayState, peer: str) -> None:
    """Record that `peer` has restarted and has lost everything it had confirmed."""
    state.confirmed.pop(peer, None)


def _reset_volatile_fields(heartbeat: Heartbeat) -> Heartbeat:
    """Return `heartbeat` without the fields that change although the state doesn't."""
    defaults = Heartbeat._field_defaults
    return heartbeat._replace(
        sequence=0,
        **{name: defaults[name] for name in _VOLATILE_FIELDS if name in defaults},
    )
