"""Heartbeats of this process, and updates of its gateway about the other instances.

One thread periodically collects the state that heartbeats report, and passes the live
peers, the owners of racks and the stream roles to the gateway and the stream actors.
"""

import logging
import time
from typing import cast

from result import Err

from plantainyard.clients import Instance, build_peer
from plantainyard.clock import read_clock
from plantainyard.gateway import (
    post_event,
    read_free_credits,
    send_credit_request,
)
from plantainyard.logs import log_call_error
from plantainyard.node import (
    ConfigConfirmed,
    ConfigView,
    PeerView,
    Query,
    ReadConfig,
    StreamRole,
    find_authority_ends,
    knows_newest,
    list_epochs,
    read_peers,
)
from plantainyard.operators import (
    Node,
    ask_actor,
    list_unready_reasons,
    make_url,
)
from plantainyard.protocol import (
    Heartbeat,
)
from plantainyard.routing import (
    AuthorityChanged,
    CreditAnswerReceived,
    Owner,
    OwnersChanged,
    Peer,
    PeersChanged,
    RequestCredits,
)
from plantainyard.settings import Settings

__all__ = [
    "LocalState",
    "build_heartbeat",
    "refresh_local_state",
    "request_credits",
    "update_gateway",
]

_QUERY_S = 5.0
_PEER_TIMEOUT_S = 2.0
_MAX_AGE_S = 1e9
_LIST_PROPAGATION_S = 30.0
"""Time within which every instance has read the new instance list."""

_logger = logging.getLogger(__name__)


class LocalState:
    """Latest collected state of this process, from which heartbeats are built.

    A separate thread collects it: a heartbeat that waited for a busy actor would make
    peers consider the process dead.

    Attributes
    ----------
    incarnation : str
        Name of this process; unique for each start.
    node : Node or None
        The process's components, once they are started.
    epochs : dict
        Epoch of each rack over which this instance has authority.
    free_credits : dict
        Free credits for each service.
    known_racks : frozenset of str
        Racks at the last update of the gateway.
    authority_ends : dict
        For each rack, the time at which the authority ends unless it is renewed.
    """

    def __init__(self, settings: Settings, incarnation: str) -> None:
        self.settings = settings
        self.incarnation = incarnation
        self.node: Node | None = None
        self.address = ""
        self.control_address = ""
        self.epochs: dict[str, int] = {}
        self.free_credits: dict[str, int] = {}
        self.config: ConfigView | None = None
        self.ready = False
        self.draining = False
        self.known_racks: frozenset[str] = frozenset()
        self.authority_ends: dict[str, float] = {}


def build_heartbeat(local: LocalState, sequence: int) -> Heartbeat:
    """Return a heartbeat with the latest collected state of this process."""
    instance, config = local.settings.instance, local.config
    return Heartbeat(
        instance.id,
        instance.domain,
        instance.region,
        local.address,
        local.control_address,
        sequence,
        epochs=local.epochs,
        config_version=config.version if config else -1,
        room=local.free_credits,
        ready=local.ready,
        draining=local.draining,
        incarnation=local.incarnation,
        config_age_s=min(config.age_s, _MAX_AGE_S) if config else _MAX_AGE_S,
        knows_config=config is not None and knows_newest(local.settings, config),
    )


def refresh_local_state(local: LocalState, node: Node) -> None:
    """Collect from the actors the state that the next heartbeats report."""
    local.epochs = ask_actor(node.domain, Query(list_epochs))
    local.authority_ends = ask_actor(node.domain, Query(find_authority_ends))
    local.config = cast(ConfigView, ask_actor(node.config, ReadConfig()))
    node.domain.tell(ConfigConfirmed(read_clock() - local.config.age_s))
    local.free_credits = read_free_credits(node.gateway)
    local.ready = not list_unready_reasons(node)
    local.draining = ask_actor(node.domain, Query(lambda actor, _: actor.node.stopping))


def update_gateway(local: LocalState, node: Node) -> None:
    """Update the gateway's live peers and rack owners, and the streams' roles."""
    views: tuple[PeerView, ...] = ask_actor(node.peers, Query(read_peers))
    live = [view for view in views if view.is_live and view.heartbeat is not None]
    post_event(node.gateway, PeersChanged(tuple(_build_peer_info(v) for v in live)))
    instances: tuple[Instance, ...] = ask_actor(
        node.peers, Query(lambda actor, _: actor.instances)
    )
    owners = _find_owners(local, live, instances)
    _restart_histories(local, node, owners)
    post_event(node.gateway, OwnersChanged(owners))
    _assign_stream_roles(node, live)


def _assign_stream_roles(node: Node, live: list[PeerView]) -> None:
    """Set which streams this instance reads and to which instances it relays them."""
    instance = node.settings.instance
    is_relay = bool(ask_actor(node.peers, Query(lambda actor, _: actor.is_relay)))
    same_domain = [view for view in live if view.domain == instance.domain]
    domain_urls = tuple(make_url(view.control_address) for view in same_domain)
    other_relays = [
        view
        for view in live
        if view.region == instance.region
        and view.domain != instance.domain
        and view.heartbeat is not None
        and view.heartbeat.is_relay
    ]
    # Only one of a region's relays reads the configuration, so that its records cross
    # the link between regions once.
    is_leader = is_relay and all(instance.domain < view.domain for view in other_relays)
    relay_urls = tuple(make_url(view.control_address) for view in other_relays)
    node.domain.tell(StreamRole(is_relay, domain_urls if is_relay else ()))
    targets = domain_urls + (relay_urls if is_leader else ())
    node.config.tell(StreamRole(is_leader, targets if is_relay else ()))


def _build_peer_info(view: PeerView) -> Peer:
    # A draining instance still arbitrates its request ids, but offers no capacity.
    has_capacity = view.heartbeat is not None and not view.heartbeat.draining
    room = view.heartbeat.room if view.heartbeat and has_capacity else {}
    return Peer(view.instance, view.domain, view.region, view.address, room)


def _restart_histories(local: LocalState, node: Node, owners: dict[str, Owner]) -> None:
    """Restart the histories of request ids when the set of racks changes.

    Notes
    -----
    Guards against a second run of a request id. With another set of racks, the id
    hashes to another arbiter that has no record of it, while instances with an older
    list still use the former arbiter. Until all instances have read the new list, ids
    count as unknown.
    """
    racks = frozenset(owners)
    if owners and racks != local.known_racks:
        since = time.time() + _LIST_PROPAGATION_S
        for rack in local.epochs:
            event = AuthorityChanged(
                rack, local.authority_ends.get(rack, 0.0), True, since
            )
            post_event(node.gateway, event)
    local.known_racks = racks


def _find_owners(
    local: LocalState, live: list[PeerView], instances: tuple[Instance, ...]
) -> dict[str, Owner]:
    """Return the owner of each listed rack, with an empty name if it has none.

    Notes
    -----
    Racks without an owner are included: an id that hashes to one must not go to another
    rack's arbiter meanwhile, which would let it run a second time.
    """
    if not instances:
        # With only some of the racks known, an id would hash to a wrong arbiter.
        return {}
    instance = local.settings.instance
    listed = {
        i.worker.rack: (-1, Owner("", i.worker.domain, i.worker.region))
        for i in instances
        if i.worker is not None
    }
    owned = {
        rack: (epoch, Owner(instance.id, instance.domain, instance.region))
        for rack, epoch in local.epochs.items()
    }
    found = {**listed, **owned}
    for view in live:
        for rack, epoch in (view.heartbeat.epochs if view.heartbeat else {}).items():
            if rack not in found or found[rack][0] < epoch:
                owner = Owner(view.instance, view.domain, view.region)
                found[rack] = (epoch, owner)
    return {rack: owner for rack, (_, owner) in found.items()}


def request_credits(local: LocalState, action: RequestCredits) -> None:
    """Request credits from a rack's owner and pass its answer to the gateway."""
    node = local.node
    if node is None:
        return
    if action.owner == node.settings.instance.id:
        post_event(
            node.gateway, CreditAnswerReceived(ask_actor(node.lender, action.ask))
        )
        return
    views: tuple[PeerView, ...] = ask_actor(node.peers, Query(read_peers))
    peer = next((view for view in views if view.instance == action.owner), None)
    if peer is None:
        return
    target = build_peer(make_url(peer.control_address), node.pool)
    token = node.settings.security.token.reveal()
    result = send_credit_request(target, token, action.ask, _PEER_TIMEOUT_S)
    if isinstance(result, Err):
        log_call_error(_logger, result.err_value, level=logging.DEBUG)
        return
    post_event(node.gateway, CreditAnswerReceived(result.ok_value))
