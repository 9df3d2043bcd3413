"""What a process tells others of itself, and its gateway of others."""

import logging
import time
from typing import cast

from result import Err

from plantainyard.clients import Instance, build_peer
from plantainyard.clock import read_clock
from plantainyard.gateway import (
    ask_owner,
    read_room,
    tell_event,
)
from plantainyard.logs import log_call_error
from plantainyard.node import (
    ConfigKnown,
    ConfigView,
    PeerView,
    Query,
    ReadConfig,
    StreamRole,
    count_epochs,
    find_untils,
    knows_newest,
    read_peers,
)
from plantainyard.operators import (
    Node,
    ask_actor,
    find_waits,
    make_url,
)
from plantainyard.protocol import (
    Heartbeat,
)
from plantainyard.routing import (
    AskCredits,
    AuthorityChanged,
    CreditsAnswered,
    Owner,
    OwnersChanged,
    Peer,
    PeersChanged,
)
from plantainyard.settings import Settings

__all__ = [
    "LocalState",
    "request_credits",
    "refresh_local_state",
    "build_heartbeat",
    "update_gateway",
]

_QUERY_S = 5.0
_ASK_TIMEOUT_S = 2.0
_LONG_S = 1e9
_LIST_BOUND_S = 30.0

_logger = logging.getLogger(__name__)


class LocalState:
    """What this process last knew of itself, for its heartbeats.

    It is gathered by a thread of its own: a heartbeat that waited for a busy actor
    would make peers think that the process has died.
    """

    def __init__(self, settings: Settings, name: str) -> None:
        self.settings = settings
        self.name = name
        self.node: Node | None = None
        self.address = ""
        self.control_address = ""
        self.epochs: dict[str, int] = {}
        self.room: dict[str, int] = {}
        self.config: ConfigView | None = None
        self.ready = False
        self.draining = False
        self.racks: frozenset[str] = frozenset()
        self.untils: dict[str, float] = {}


def build_heartbeat(own: LocalState, sequence: int) -> Heartbeat:
    """Return this process's word about itself."""
    instance, config = own.settings.instance, own.config
    return Heartbeat(
        instance.id,
        instance.domain,
        instance.region,
        own.address,
        own.control_address,
        sequence,
        epochs=own.epochs,
        config_version=config.version if config else -1,
        room=own.room,
        ready=own.ready,
        draining=own.draining,
        incarnation=own.name,
        config_age_s=min(config.age_s, _LONG_S) if config else _LONG_S,
        knows_config=config is not None and knows_newest(own.settings, config),
    )


def refresh_local_state(own: LocalState, node: Node) -> None:
    """Ask the actors for what the next heartbeats say."""
    own.epochs = ask_actor(node.domain, Query(count_epochs))
    own.untils = ask_actor(node.domain, Query(find_untils))
    own.config = cast(ConfigView, ask_actor(node.config, ReadConfig()))
    node.domain.tell(ConfigKnown(read_clock() - own.config.age_s))
    own.room = read_room(node.gateway)
    own.ready = not find_waits(node)
    own.draining = ask_actor(node.domain, Query(lambda actor, _: actor.node.stopping))


def update_gateway(own: LocalState, node: Node) -> None:
    """Tell the gateway and the streams who lives, owns and relays."""
    views: tuple[PeerView, ...] = ask_actor(node.peers, Query(read_peers))
    live = [view for view in views if view.is_live and view.heartbeat is not None]
    tell_event(node.gateway, PeersChanged(tuple(_make_peer(v) for v in live)))
    instances: tuple[Instance, ...] = ask_actor(
        node.peers, Query(lambda actor, _: actor.instances)
    )
    owners = _find_owners(own, live, instances)
    _watch_racks(own, node, owners)
    tell_event(node.gateway, OwnersChanged(owners))
    _assign_roles(node, live)


def _assign_roles(node: Node, live: list[PeerView]) -> None:
    """Say which streams this instance reads itself and to whom it hands them on."""
    instance = node.settings.instance
    relays = bool(ask_actor(node.peers, Query(lambda actor, _: actor.is_relay)))
    near = [view for view in live if view.domain == instance.domain]
    near_urls = tuple(make_url(view.control_address) for view in near)
    others = [
        view
        for view in live
        if view.region == instance.region
        and view.domain != instance.domain
        and view.heartbeat is not None
        and view.heartbeat.is_relay
    ]
    # Of a region's relays one reads the configuration, so that its records cross the
    # link between the regions once.
    leads = relays and all(instance.domain < view.domain for view in others)
    far_urls = tuple(make_url(view.control_address) for view in others)
    node.domain.tell(StreamRole(relays, near_urls if relays else ()))
    targets = near_urls + (far_urls if leads else ())
    node.config.tell(StreamRole(leads, targets if relays else ()))


def _make_peer(view: PeerView) -> Peer:
    # A stopping instance is still asked about the ids that it judges, for nothing else.
    usable = view.heartbeat is not None and not view.heartbeat.draining
    room = view.heartbeat.room if view.heartbeat and usable else {}
    return Peer(view.instance, view.domain, view.region, view.address, room)


def _watch_racks(own: LocalState, node: Node, owners: dict[str, Owner]) -> None:
    """Begin the histories of request ids anew when the set of racks changes.

    Notes
    -----
    Guards against a second run of an id: with another set of racks it hashes to
    another arbiter, which never heard of it, while instances with an older list still
    go to the former one. Until all have read the list again, ids count as unknown.
    """
    racks = frozenset(owners)
    if owners and racks != own.racks:
        since = time.time() + _LIST_BOUND_S
        for rack in own.epochs:
            event = AuthorityChanged(rack, own.untils.get(rack, 0.0), True, since)
            tell_event(node.gateway, event)
    own.racks = racks


def _find_owners(
    own: LocalState, live: list[PeerView], instances: tuple[Instance, ...]
) -> dict[str, Owner]:
    """Return the owner of each rack that is listed, with an empty name for none.

    Notes
    -----
    Racks without an owner stay in: an id that hashes to one must not go to another
    rack's arbiter meanwhile, which would let it run a second time.
    """
    if not instances:
        # Over the few racks known so far an id would hash to a wrong arbiter.
        return {}
    instance = own.settings.instance
    listed = {
        i.worker.rack: (-1, Owner("", i.worker.domain, i.worker.region))
        for i in instances
        if i.worker is not None
    }
    mine = {
        rack: (epoch, Owner(instance.id, instance.domain, instance.region))
        for rack, epoch in own.epochs.items()
    }
    found = {**listed, **mine}
    for view in live:
        for rack, epoch in (view.heartbeat.epochs if view.heartbeat else {}).items():
            if rack not in found or found[rack][0] < epoch:
                owner = Owner(view.instance, view.domain, view.region)
                found[rack] = (epoch, owner)
    return {rack: owner for rack, (_, owner) in found.items()}


def request_credits(own: LocalState, action: AskCredits) -> None:
    """Ask a rack's owner for credits and hand its answer to the gateway."""
    node = own.node
    if node is None:
        return
    if action.owner == node.settings.instance.id:
        tell_event(node.gateway, CreditsAnswered(ask_actor(node.lender, action.ask)))
        return
    views: tuple[PeerView, ...] = ask_actor(node.peers, Query(read_peers))
    peer = next((view for view in views if view.instance == action.owner), None)
    if peer is None:
        return
    target = build_peer(make_url(peer.control_address), node.pool)
    token = node.settings.security.token.reveal()
    asked = ask_owner(target, token, action.ask, _ASK_TIMEOUT_S)
    if isinstance(asked, Err):
        log_call_error(_logger, asked.err_value, level=logging.DEBUG)
        return
    tell_event(node.gateway, CreditsAnswered(asked.ok_value))
