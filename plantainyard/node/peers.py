"""The actor that tracks the other instances.

Its sources are the platform's instance list, which is delayed, and heartbeats.
"""

import random
from collections.abc import Callable
from concurrent.futures import Executor
from typing import Any, NamedTuple

import pykka
import urllib3

from plantainyard.clients import (
    Instance,
    InstanceKind,
    InstanceState,
    encode_instance,
)
from plantainyard.clock import read_clock
from plantainyard.protocol import (
    Heartbeat,
    InstancesAnswer,
    InstancesAsk,
)
from plantainyard.relay import (
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
from plantainyard.settings import Settings

from .messages import InstancesListed, LivePeers, Query, Tick
from .peer_calls import (
    HeartbeatReceived,
    HeartbeatSent,
    read_instance_list,
    request_instance_list,
    send_heartbeat,
)

_MAX_LIST_AGE_INTERVALS = 2.5
"""Age of the list, in read intervals, above which any instance reads it itself."""

_RELAYED_SILENCE_FACTOR = 2.0
"""Factor of the silence bound for other domains, whose heartbeats are relayed."""

__all__ = ["PeerView", "PeersActor", "read_peers"]


class PeerView(NamedTuple):
    """State of another instance as known here.

    Attributes
    ----------
    instance, domain, region, address, control_address : str
        Identity of the peer and its addresses as seen from here. The instance list
        takes precedence over the peer's own heartbeat, because it has the addresses
        that are valid between the two domains.
    state : str
        State in the instance list, empty for a peer that is not listed.
    process : str
        Name of the process that sent the last heartbeat, empty for none.
    heartbeat : Heartbeat or None
        The last heartbeat.
    heard_at : float
        This instance's clock at the last heartbeat, minus infinity for none.
    age_s : float
        Seconds since the last heartbeat.
    is_live : bool
        Whether the last heartbeat is within the silence bound.
    """

    instance: str
    domain: str
    region: str
    address: str
    control_address: str
    state: str
    process: str
    heartbeat: Heartbeat | None
    heard_at: float
    age_s: float
    is_live: bool


class PeersActor(pykka.ThreadingActor):
    """Owns the state of the other instances.

    Parameters
    ----------
    settings : Settings
        The instance's settings.
    name : str
        Name of this process.
    rng : random.Random
        Source of the jitter of rounds, so that instances don't send all at once.
    pool : urllib3.PoolManager
        Shared connections.
    executor : Executor
        Threads on which calls to peers wait.
    describe : callable
        Returns this process's own heartbeat with a given sequence number.
    publish : callable
        Called with each `InstancesListed` and `LivePeers`.
    """

    use_daemon_thread = True

    def __init__(
        self,
        settings: Settings,
        name: str,
        rng: random.Random,
        pool: urllib3.PoolManager,
        executor: Executor,
        describe: Callable[[int], Heartbeat],
        publish: Callable[[Any], object],
    ) -> None:
        super().__init__()
        self.settings = settings
        self.name = name
        self.rng = rng
        self.pool = pool
        self.executor = executor
        self.describe = describe
        self.publish = publish
        self.listed: dict[str, Instance] = {}
        self.instances: tuple[Instance, ...] = ()
        self.list_digest = ""
        self.list_read_at = float("-inf")
        self.heartbeats: dict[str, tuple[Heartbeat, float]] = {}
        self.domain_heard_at: dict[str, float] = {}
        self.failed_heartbeats: dict[str, int] = {}
        self.relay = RelayState()
        self.is_relay = False
        self.sequence = 0
        self.next_list_at = float("-inf")
        self.next_heartbeat_at = float("-inf")

    def on_receive(self, message: Any) -> Any:
        """Handle one message and return the answer to a query."""
        now = read_clock()
        match message:
            case Tick():
                self._tick(now)
            case HeartbeatReceived(heartbeat):
                self._process_heartbeat(heartbeat, now)
            case HeartbeatSent():
                self._process_heartbeat_end(message)
            case InstancesListed(instances, digest):
                self._update_list(instances, digest, now)
            case InstancesAsk(digest):
                return self._answer_list(digest)
            case Query(read):
                return read(self, now)
        return None

    def _tick(self, now: float) -> None:
        intervals = self.settings.intervals
        live, _ = self._list_domain_peers(now)
        instance = self.settings.instance
        self.is_relay = is_relay(instance.id, instance.domain, live)
        if now >= self.next_list_at:
            self.next_list_at = now + intervals.instances_s * self.rng.uniform(0.9, 1.1)
            self._refresh_list(now)
        if now >= self.next_heartbeat_at:
            self.next_heartbeat_at = now + intervals.heartbeat_s * self.rng.uniform(
                0.9, 1.1
            )
            self._send_heartbeats(now)
        self._publish_roles(now)

    def _list_domain_peers(self, now: float) -> tuple[list[str], list[str]]:
        """Return the live and the draining instances of the domain."""
        oldest = now - self.settings.intervals.silence_s
        domain = self.settings.instance.domain
        draining = {
            name: beat.draining
            for name, (beat, heard_at) in self.heartbeats.items()
            if beat.domain == domain and heard_at >= oldest
        }
        return (
            [n for n in draining if not draining[n]],
            [n for n in draining if draining[n]],
        )

    def _refresh_list(self, now: float) -> None:
        """Read the platform's list if this is the relay or the list is too old."""
        max_age_s = _MAX_LIST_AGE_INTERVALS * self.settings.intervals.instances_s
        if self.is_relay or now - self.list_read_at > max_age_s:
            self.executor.submit(
                read_instance_list, self.settings, self.pool, self.actor_ref
            )

    def _update_list(
        self, instances: tuple[Instance, ...], digest: str, now: float
    ) -> None:
        self.list_read_at = now
        if digest == self.list_digest:
            return
        self.list_digest = digest
        self.instances = instances
        self.listed = {
            i.id: i
            for i in instances
            if i.kind == InstanceKind.ENTRY and i.id != self.settings.instance.id
        }
        self.publish(InstancesListed(instances, digest))

    def _answer_list(self, digest: str) -> InstancesAnswer:
        if digest == self.list_digest:
            return InstancesAnswer(digest)
        items = tuple(encode_instance(item) for item in self.instances)
        return InstancesAnswer(self.list_digest, items)

    def _send_heartbeats(self, now: float) -> None:
        self.sequence += 1
        own = self.describe(self.sequence)._replace(
            list_digest=self.list_digest, is_relay=self.is_relay
        )
        self._record_silent_peers(now)
        for name in self._choose_targets():
            peer = self.listed[name]
            same_domain = peer.domain == own.domain
            batch = self._list_unconfirmed(name, same_domain)
            ages = self._list_ages(now) if same_domain and self.is_relay else {}
            beat = own._replace(members=batch.heartbeats, domain_ages=ages)
            self.executor.submit(
                send_heartbeat,
                self.settings,
                self.pool,
                self.actor_ref,
                peer,
                beat,
                batch.version,
            )

    def _choose_targets(self) -> list[str]:
        instance = self.settings.instance
        return choose_targets(
            PeerLocation(instance.id, instance.domain),
            (
                PeerLocation(peer.id, peer.domain)
                for peer in self.listed.values()
                if peer.state != InstanceState.TERMINATED and peer.control_address
            ),
            self.failed_heartbeats,
            self.is_relay,
        )

    def _list_unconfirmed(self, peer: str, same_domain: bool) -> HeartbeatBatch:
        if not self.is_relay:
            return HeartbeatBatch((), 0)
        own = self.settings.instance.domain
        others = {member.domain for member in self.relay.heartbeats.values()} - {own}
        return list_unconfirmed(self.relay, peer, others if same_domain else {own})

    def _list_ages(self, now: float) -> dict[str, float]:
        return {
            domain: now - heard_at for domain, heard_at in self.domain_heard_at.items()
        }

    def _record_silent_peers(self, now: float) -> None:
        """Record in the relay's state which instances of the own domain are silent."""
        oldest = now - self.settings.intervals.silence_s
        for beat, heard_at in self.heartbeats.values():
            if beat.domain == self.settings.instance.domain:
                record_heartbeat(self.relay, beat._replace(live=heard_at >= oldest))

    def _process_heartbeat_end(self, message: "HeartbeatSent") -> None:
        if not message.delivered:
            self.failed_heartbeats[message.peer] = (
                self.failed_heartbeats.get(message.peer, 0) + 1
            )
            return
        self.failed_heartbeats.pop(message.peer, None)
        confirm_batch(self.relay, message.peer, message.version)

    def _process_heartbeat(self, heartbeat: Heartbeat, now: float) -> None:
        earlier = self.heartbeats.get(heartbeat.instance)
        if earlier is not None and _is_older(heartbeat, earlier[0]):
            return
        if earlier is None or earlier[0].incarnation != heartbeat.incarnation:
            # A restarted peer has lost the updates that it confirmed before.
            reset_confirmations(self.relay, heartbeat.instance)
        own = self.settings.instance.domain
        if heartbeat.domain != own:
            self.domain_heard_at[heartbeat.domain] = now
        for member in heartbeat.members:
            if member.domain != own:
                self.heartbeats[member.instance] = (member, now)
                record_heartbeat(self.relay, member)
        for domain, age_s in heartbeat.domain_ages.items():
            heard_at = self.domain_heard_at.get(domain, float("-inf"))
            self.domain_heard_at[domain] = max(heard_at, now - age_s)
        kept = heartbeat._replace(members=(), domain_ages={})
        self.heartbeats[heartbeat.instance] = (kept, now)
        record_heartbeat(self.relay, kept)
        self._check_relay_list(heartbeat, now)

    def _check_relay_list(self, heartbeat: Heartbeat, now: float) -> None:
        if not heartbeat.is_relay or heartbeat.domain != self.settings.instance.domain:
            return
        if heartbeat.list_digest == self.list_digest:
            self.list_read_at = now
        elif heartbeat.instance in self.listed and not self.is_relay:
            peer = self.listed[heartbeat.instance]
            self.executor.submit(
                request_instance_list,
                self.settings,
                self.pool,
                self.actor_ref,
                peer,
                self.list_digest,
            )

    def _publish_roles(self, now: float) -> None:
        live, draining = (
            frozenset(self.heartbeats[name][0].incarnation for name in names)
            for names in self._list_domain_peers(now)
        )
        self.publish(LivePeers(live | {self.name}, draining))


def _is_older(heartbeat: Heartbeat, earlier: Heartbeat) -> bool:
    same = heartbeat.incarnation == earlier.incarnation
    return same and heartbeat.sequence < earlier.sequence


def read_peers(actor: PeersActor, now: float) -> tuple[PeerView, ...]:
    """Return the state of each other instance; for a `Query`."""
    names = sorted(actor.listed.keys() | actor.heartbeats.keys())
    return tuple(view for name in names if (view := _describe_peer(actor, name, now)))


def _describe_peer(actor: PeersActor, name: str, now: float) -> PeerView | None:
    listed = actor.listed.get(name)
    beat, heard_at = actor.heartbeats.get(name, (None, float("-inf")))
    source = listed or beat
    if source is None:
        return None
    return PeerView(
        name,
        source.domain,
        source.region,
        source.address,
        source.control_address,
        listed.state if listed else "",
        beat.incarnation if beat else "",
        beat,
        heard_at,
        now - heard_at,
        beat is not None and _is_live(actor, beat, heard_at, now),
    )


def _is_live(actor: PeersActor, beat: Heartbeat, heard_at: float, now: float) -> bool:
    silence_s = actor.settings.intervals.silence_s
    if beat.domain == actor.settings.instance.domain:
        return now - heard_at <= silence_s
    last = actor.domain_heard_at.get(beat.domain, float("-inf"))
    return beat.live and now - last <= _RELAYED_SILENCE_FACTOR * silence_s
