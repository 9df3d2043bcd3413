"""The actor that knows the other instances: the lagging list and heartbeats."""

import random
from collections.abc import Callable
from concurrent.futures import Executor
from typing import Any, NamedTuple

import pykka
import urllib3
from result import Ok

from plantainyard.clients import (
    Instance,
    InstanceKind,
    InstanceState,
    build_instances_client,
    build_peer,
    read_instances,
)
from plantainyard.clock import read_clock
from plantainyard.gateway import call_peer
from plantainyard.protocol import HEARTBEAT_PATH, Heartbeat
from plantainyard.settings import Settings

from .messages import InstancesListed, PeersHeard, Query, Tick

__all__ = ["HeartbeatHeard", "PeerView", "PeersActor", "read_peers"]


class HeartbeatHeard(NamedTuple):
    """A peer's word about itself, as a message or as an answer."""

    heartbeat: Heartbeat


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
    pool : urllib3.PoolManager
        Shared connections.
    executor : Executor
        Threads on which calls wait.
    describe : callable
        Returns this process's own heartbeat with a given sequence number.
    publish : callable
        Told `InstancesListed`, `PeersHeard` and the views on each change.
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
        self.heard: dict[str, tuple[Heartbeat, float]] = {}
        self.sequence = 0
        self.next_list_at = float("-inf")
        self.next_beat_at = float("-inf")

    def on_receive(self, message: Any) -> Any:
        """Take one message in."""
        now = read_clock()
        match message:
            case Tick():
                self._tick(now)
            case HeartbeatHeard(heartbeat):
                self._hear(heartbeat, now)
            case InstancesListed(instances):
                self.instances = instances
                self.listed = {
                    i.id: i
                    for i in instances
                    if i.kind == InstanceKind.ENTRY
                    and i.id != self.settings.instance.id
                }
                self.publish(message)
            case Query(read):
                return read(self, now)
        return None

    def _tick(self, now: float) -> None:
        intervals = self.settings.intervals
        if now >= self.next_list_at:
            self.next_list_at = now + intervals.instances_s * self.rng.uniform(0.9, 1.1)
            self.executor.submit(self._read_list)
        if now >= self.next_beat_at:
            self.next_beat_at = now + intervals.heartbeat_s * self.rng.uniform(0.9, 1.1)
            self._send_heartbeats()
        self._publish_live(now)

    def _read_list(self) -> None:
        platform = self.settings.platform
        client = build_instances_client(
            platform.instances, self.pool, platform.timeout_s
        )
        answer = read_instances(client)
        if isinstance(answer, Ok):
            self.actor_ref.tell(InstancesListed(answer.ok_value))

    def _send_heartbeats(self) -> None:
        self.sequence += 1
        beat = self.describe(self.sequence)
        for peer in self.listed.values():
            if peer.state != InstanceState.GONE and peer.control_address:
                self.executor.submit(self._send_heartbeat, peer, beat)

    def _send_heartbeat(self, peer: Instance, beat: Heartbeat) -> None:
        url = _make_url(peer.control_address)
        answer = call_peer(
            build_peer(url, self.pool),
            self.settings.security.token.reveal(),
            HEARTBEAT_PATH,
            beat,
            Heartbeat,
            self.settings.intervals.silence_s / 2,
        )
        if isinstance(answer, Ok):
            self.actor_ref.tell(HeartbeatHeard(answer.ok_value))

    def _hear(self, heartbeat: Heartbeat, now: float) -> None:
        earlier = self.heard.get(heartbeat.instance)
        if earlier is not None and _is_older(heartbeat, earlier[0]):
            return
        self.heard[heartbeat.instance] = (heartbeat, now)

    def _publish_live(self, now: float) -> None:
        oldest = now - self.settings.intervals.silence_s
        domain = self.settings.instance.domain
        live = {
            beat.incarnation
            for beat, heard_at in self.heard.values()
            if heard_at >= oldest and beat.domain == domain and not beat.draining
        }
        self.publish(PeersHeard(frozenset(live | {self.name})))


def _is_older(heartbeat: Heartbeat, earlier: Heartbeat) -> bool:
    same = heartbeat.incarnation == earlier.incarnation
    return same and heartbeat.sequence < earlier.sequence


def _make_url(address: str) -> str:
    return address if "://" in address else f"http://{address}"


def read_peers(actor: PeersActor, now: float) -> tuple[PeerView, ...]:
    """Return what is known of each other instance; for a `Query`."""
    names = sorted(actor.listed.keys() | actor.heard.keys())
    return tuple(view for name in names if (view := _describe_peer(actor, name, now)))


def _describe_peer(actor: PeersActor, name: str, now: float) -> PeerView | None:
    listed = actor.listed.get(name)
    beat, heard_at = actor.heard.get(name, (None, float("-inf")))
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
        now - heard_at <= actor.settings.intervals.silence_s,
    )
