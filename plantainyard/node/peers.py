"""The actor that knows the other instances: the lagging list and heartbeats."""

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

_LIST_PATIENCE = 2.5
_RELAYED_SILENCES = 2.0

__all__ = ["PeerView", "PeersActor", "read_peers"]


class PeerView(NamedTuple):
    """What is known of another instance.

    Attributes
    ----------
    instance, domain, region, address, control_address : str
        Who it is and where it is reached from here; the list goes before the peer's
        own word, because it knows the way between the two domains.
    state : str
        As the list has it.
    process : str
        Name of the process that was last heard, empty for none.
    heartbeat : Heartbeat or None
        Its last word.
    heard_at : float
        This instance's clock at its last word, minus infinity for none.
    age_s : float
        Seconds since its last word.
    is_live : bool
        Whether it was heard from within the silence bound.
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
    """Owns what is known of the other instances.

    Parameters
    ----------
    settings : Settings
        The instance's settings.
    name : str
        Name of this process.
    rng : random.Random
        Spreads rounds, so that instances do not speak all at once.
    pool : urllib3.PoolManager
        Shared connections.
    executor : Executor
        Threads on which calls wait.
    describe : callable
        Returns this process's own heartbeat with a given sequence number.
    publish : callable
        Told `InstancesListed`, `LivePeers` and `RelayRole`.
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
        """Take one message in."""
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
        """Return the domain's instances that were heard: live and draining ones."""
        oldest = now - self.settings.intervals.silence_s
        domain = self.settings.instance.domain
        near = {
            name: beat.draining
            for name, (beat, heard_at) in self.heartbeats.items()
            if beat.domain == domain and heard_at >= oldest
        }
        return [n for n in near if not near[n]], [n for n in near if near[n]]

    def _refresh_list(self, now: float) -> None:
        """Read the platform's list where this instance relays or nobody else does."""
        patience = _LIST_PATIENCE * self.settings.intervals.instances_s
        if self.is_relay or now - self.list_read_at > patience:
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
            near = peer.domain == own.domain
            sending = self._list_news(name, near)
            ages = self._list_ages(now) if near and self.is_relay else {}
            beat = own._replace(members=sending.heartbeats, domain_ages=ages)
            self.executor.submit(
                send_heartbeat,
                self.settings,
                self.pool,
                self.actor_ref,
                peer,
                beat,
                sending.version,
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

    def _list_news(self, peer: str, near: bool) -> HeartbeatBatch:
        if not self.is_relay:
            return HeartbeatBatch((), 0)
        own = self.settings.instance.domain
        others = {word.domain for word in self.relay.heartbeats.values()} - {own}
        return list_unconfirmed(self.relay, peer, others if near else {own})

    def _list_ages(self, now: float) -> dict[str, float]:
        return {
            domain: now - heartbeats
            for domain, heartbeats in self.domain_heard_at.items()
        }

    def _record_silent_peers(self, now: float) -> None:
        """Say of the own domain's silent instances that they are not live."""
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
            # A peer that was started anew knows nothing of what it had confirmed.
            reset_confirmations(self.relay, heartbeat.instance)
        own = self.settings.instance.domain
        if heartbeat.domain != own:
            self.domain_heard_at[heartbeat.domain] = now
        for word in heartbeat.members:
            if word.domain != own:
                self.heartbeats[word.instance] = (word, now)
                record_heartbeat(self.relay, word)
        for domain, age_s in heartbeat.domain_ages.items():
            heartbeats = self.domain_heard_at.get(domain, float("-inf"))
            self.domain_heard_at[domain] = max(heartbeats, now - age_s)
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
    """Return what is known of each other instance; for a `Query`."""
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
    return beat.live and now - last <= _RELAYED_SILENCES * silence_s
