"""Calls to the platform and to peers, made outside the actor that tracks peers."""

from typing import Any, NamedTuple

import pykka
import urllib3
from result import Ok

from plantainyard.clients import (
    Instance,
    build_instances_client,
    build_peer,
    decode_instance,
    digest_instances,
    read_instances,
)
from plantainyard.gateway import call_peer
from plantainyard.protocol import (
    HEARTBEAT_PATH,
    INSTANCES_PATH,
    Heartbeat,
    InstancesAnswer,
    InstancesAsk,
)
from plantainyard.settings import Settings

from .messages import InstancesListed

__all__ = [
    "HeartbeatSent",
    "HeartbeatReceived",
    "request_instance_list",
    "read_instance_list",
    "send_heartbeat",
]


class HeartbeatReceived(NamedTuple):
    """A peer's own heartbeat, received as a request or as a response."""

    heartbeat: Heartbeat


class HeartbeatSent(NamedTuple):
    """The end of sending a heartbeat to a peer.

    Attributes
    ----------
    peer : str
        Instance id of the peer.
    version : int
        Version of the relay's updates that the heartbeat carried.
    delivered : bool
        Whether the peer responded.
    """

    peer: str
    version: int
    delivered: bool


def read_instance_list(
    settings: Settings, pool: urllib3.PoolManager, ref: pykka.ActorRef[Any]
) -> None:
    """Read the platform's instance list and send it to the actor."""
    platform = settings.platform
    client = build_instances_client(platform.instances, pool, platform.timeout_s)
    answer = read_instances(client)
    if isinstance(answer, Ok):
        instances = answer.ok_value
        ref.tell(InstancesListed(instances, digest_instances(instances)))


def request_instance_list(
    settings: Settings,
    pool: urllib3.PoolManager,
    ref: pykka.ActorRef[Any],
    peer: Instance,
    digest: str,
) -> None:
    """Request the domain relay's instance list if it differs from `digest`."""
    answer = call_peer(
        build_peer(_make_url(peer.control_address), pool),
        settings.security.token.reveal(),
        INSTANCES_PATH,
        InstancesAsk(digest),
        InstancesAnswer,
        settings.platform.timeout_s,
    )
    if isinstance(answer, Ok) and answer.ok_value.instances:
        items = tuple(decode_instance(item) for item in answer.ok_value.instances)
        ref.tell(InstancesListed(items, answer.ok_value.digest))


def send_heartbeat(
    settings: Settings,
    pool: urllib3.PoolManager,
    ref: pykka.ActorRef[Any],
    peer: Instance,
    beat: Heartbeat,
    version: int,
) -> None:
    """Send a heartbeat and pass its response and the end of the call to the actor."""
    answer = call_peer(
        build_peer(_make_url(peer.control_address), pool),
        settings.security.token.reveal(),
        HEARTBEAT_PATH,
        beat,
        Heartbeat,
        settings.intervals.silence_s / 2,
    )
    if isinstance(answer, Ok):
        ref.tell(HeartbeatReceived(answer.ok_value))
    ref.tell(HeartbeatSent(peer.id, version, isinstance(answer, Ok)))


def _make_url(address: str) -> str:
    return address if "://" in address else f"http://{address}"
