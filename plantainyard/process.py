"""One process: its actors, threads and servers, for the length of a context."""

import contextlib
import logging
import random
import time
import uuid
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from typing import Any, NamedTuple, cast

import pykka
import urllib3
from result import Err, Ok

from plantainyard import state as log_state
from plantainyard.api import Probes, create_app, record_process, record_status
from plantainyard.api import operators_pb2 as schema
from plantainyard.clients import Instance, build_log_client, build_peer, build_pool
from plantainyard.clock import read_clock
from plantainyard.gateway import (
    Gateway,
    ask_owner,
    call_peer,
    drain_gateway,
    read_room,
    run_gateway,
    serve_gateway,
    tell_event,
)
from plantainyard.gateway.server import serve_app
from plantainyard.gateway.tuning import build_routing_settings
from plantainyard.metrics import Meter, create_meter, flush_meter
from plantainyard.node import (
    CONFIG_STREAM,
    ConfigActor,
    ConfigChanged,
    ConfigKnown,
    ConfigView,
    DomainActor,
    HeartbeatHeard,
    InstancesListed,
    LenderActor,
    PeersActor,
    PeersHeard,
    PeerView,
    Query,
    RackAuthority,
    ReadConfig,
    Stop,
    StreamEvent,
    StreamIO,
    StreamRole,
    Tick,
    WorkerCaller,
    build_peer_app,
    count_epochs,
    find_untils,
    name_stream,
    read_peers,
    run_every,
)
from plantainyard.operators import (
    Node,
    build_handlers,
    describe_state,
    find_faults,
    find_waits,
    make_url,
    tell_status,
)
from plantainyard.protocol import (
    RECORDS_PATH,
    CreditAsk,
    Heartbeat,
    Message,
    RecordsAnswer,
    RecordsAsk,
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

__all__ = ["Process", "drain_process", "run_process"]

_LOG_THREADS = 6
_CALL_THREADS = 24
_POOLS = 512
_QUERY_S = 5.0
_ASK_TIMEOUT_S = 2.0
_FLUSH_S = 1.0
_POLL_S = 0.05
_LONG_S = 1e9
_LIST_BOUND_S = 30.0

_logger = logging.getLogger(__name__)


class Process(NamedTuple):
    """A running process.

    Attributes
    ----------
    node : Node
        Its parts.
    address, control_address : str
        ``ip:port`` for callers, and for operators and other instances.
    """

    node: Node
    address: str
    control_address: str


class _Threads(NamedTuple):
    """Threads on which calls wait; the log's long reads are apart from short calls."""

    log: ThreadPoolExecutor
    calls: ThreadPoolExecutor
    peers: ThreadPoolExecutor


class _Own:
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


@contextlib.contextmanager
def run_process(settings: Settings) -> Iterator[Process]:
    """Run everything that one instance consists of.

    Parameters
    ----------
    settings : Settings
        Checked settings.

    Yields
    ------
    Process
        Once both servers listen; it is ready only when `find_waits` is empty.
    """
    own = _Own(settings, f"{settings.instance.id}.{uuid.uuid4().hex[:8]}")
    with contextlib.ExitStack() as stack:
        meter = create_meter(settings.metrics)
        pool = build_pool(_POOLS, _CALL_THREADS)
        threads = _Threads(
            *(
                _open_threads(stack, n)
                for n in (_LOG_THREADS, _CALL_THREADS, _CALL_THREADS)
            )
        )
        gateway = stack.enter_context(
            run_gateway(
                settings,
                own.name,
                lambda ask: threads.peers.submit(_ask_credits, own, ask),
            )
        )
        node = _start_actors(stack, own, meter, pool, threads, gateway)
        own.node = node
        own.control_address = stack.enter_context(_serve_control(own, node))
        own.address = stack.enter_context(serve_gateway(settings, gateway, meter))
        _run_ticks(stack, own, node)
        yield Process(node, own.address, own.control_address)


def drain_process(process: Process) -> bool:
    """Stop as planned: not ready, racks and credits handed over, requests finished.

    Returns
    -------
    bool
        False where requests were still in progress when the time ran out.
    """
    node = process.node
    stop_s = node.settings.intervals.stop_s
    deadline = read_clock() + stop_s
    node.domain.tell(Stop())
    # Callers that the balancer still sends in its lag are served, not refused.
    drain_gateway(node.gateway, node.settings.intervals.instances_s)
    drained = node.gateway.drained.wait(stop_s)
    while read_clock() < deadline and _owns_racks(node):
        time.sleep(_POLL_S)
    return drained


def _ask(ref: pykka.ActorRef[Any], message: Any) -> Any:
    return ref.ask(message, timeout=_QUERY_S)


def _owns_racks(node: Node) -> bool:
    return bool(_ask(node.domain, Query(lambda actor, _: bool(actor.node.terms))))


def _open_threads(stack: contextlib.ExitStack, count: int) -> ThreadPoolExecutor:
    executor = ThreadPoolExecutor(count)
    stack.callback(executor.shutdown, wait=False, cancel_futures=True)
    return executor


def _start_actors(
    stack: contextlib.ExitStack,
    own: _Own,
    meter: Meter,
    pool: urllib3.PoolManager,
    threads: _Threads,
    gateway: Gateway,
) -> Node:
    settings, name = own.settings, own.name
    platform = settings.platform
    log = build_log_client(platform.log, pool, platform.timeout_s)
    snapshots = log_state.SnapshotSettings(platform.log_retention_s)
    rng = random.Random(name)

    def hand_on(target: str, message: RecordsAnswer) -> None:
        threads.peers.submit(_hand_on, settings, pool, target, message)

    def make_io(deliver: Callable[[StreamEvent], object]) -> StreamIO:
        return StreamIO(
            log, threads.log, deliver, hand_on, settings.intervals.log_wait_s
        )

    lender = _start(stack, LenderActor, build_routing_settings(settings))
    domain = _start(
        stack,
        DomainActor,
        settings,
        name,
        rng,
        snapshots,
        make_io,
        WorkerCaller(pool, threads.calls, platform.timeout_s),
        _make_lender_teller(lender, gateway),
    )
    config = _start(
        stack,
        ConfigActor,
        name,
        rng,
        snapshots,
        make_io,
        lambda values: domain.tell(ConfigChanged(values)),
    )

    def publish(news: InstancesListed | PeersHeard) -> None:
        domain.tell(news)

    peers = _start(
        stack,
        PeersActor,
        settings,
        name,
        rng,
        pool,
        threads.peers,
        lambda sequence: _make_heartbeat(own, sequence),
        publish,
    )
    return Node(
        settings,
        name,
        domain,
        config,
        peers,
        lender,
        gateway,
        pool,
        meter,
        read_clock(),
    )


def _start(
    stack: contextlib.ExitStack, actor: type[pykka.ThreadingActor], *args: Any
) -> pykka.ActorRef[Any]:
    ref = actor.start(*args)
    stack.callback(ref.stop, block=True, timeout=_QUERY_S)
    return ref


def _hand_on(
    settings: Settings, pool: urllib3.PoolManager, target: str, message: RecordsAnswer
) -> None:
    # An answer that is lost does no harm: who is behind asks the log itself.
    call_peer(
        build_peer(target, pool),
        settings.security.token.reveal(),
        RECORDS_PATH,
        message,
        RecordsAsk,
        _ASK_TIMEOUT_S,
    )


def _make_lender_teller(
    lender: pykka.ActorRef[Any], gateway: Gateway
) -> Callable[[Any], None]:
    """Return what hands the domain's news to the lender and the gateway's arbiter."""
    untils: dict[str, tuple[int, float]] = {}

    def tell(news: Any) -> None:
        if not isinstance(news, RackAuthority):
            lender.tell(news)
            return
        epoch, until = untils.get(news.rack, (0, 0.0))
        gained = news.epoch != epoch or read_clock() >= until
        untils[news.rack] = (news.epoch, news.until)
        if news.epoch:
            lender.tell(news)
            changed = AuthorityChanged(news.rack, news.until, gained, time.time())
            tell_event(gateway, changed)
        elif epoch:
            # To be over before the answer: a successor may act at once.
            _ask(lender, news)
            lost = AuthorityChanged(news.rack, float("-inf"), False, time.time())
            _ask(gateway.ref, lost)

    return tell


def _make_heartbeat(own: _Own, sequence: int) -> Heartbeat:
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
        knows_config=config.is_current if config else False,
    )


@contextlib.contextmanager
def _serve_control(own: _Own, node: Node) -> Iterator[str]:
    settings = node.settings

    def hear(heartbeat: Heartbeat) -> Heartbeat:
        node.peers.tell(HeartbeatHeard(heartbeat))
        return _make_heartbeat(own, 0)

    def lend(ask: CreditAsk) -> Message:
        return cast(Message, _ask(node.lender, ask))

    app = create_app(
        settings,
        build_handlers(node),
        Probes(
            lambda: find_faults(node),
            lambda: find_waits(node),
            lambda: describe_state(node),
        ),
        node.meter,
        build_peer_app(
            hear,
            lend,
            lambda ask: cast(Message, _ask(node.peers, ask)),
            lambda records: _take_records(node, records),
        ),
    )
    with serve_app(
        app,
        settings.instance.control_address,
        settings.limits.control_threads,
        settings.limits.connections,
        settings.limits.body_bytes,
    ) as address:
        yield address


def _take_records(node: Node, message: RecordsAnswer) -> RecordsAsk:
    """Hand a relay's records to the actor that folds their stream."""
    own = name_stream(node.settings.instance.domain)
    ref = {CONFIG_STREAM: node.config, own: node.domain}.get(message.stream)
    if ref is not None:
        records = [log_state.LogRecord(*record) for record in message.records]
        event = log_state.Relayed(message.next, records)
        ref.tell(StreamEvent(message.stream, event, read_clock()))
    return RecordsAsk(message.stream, message.next)


def _run_ticks(stack: contextlib.ExitStack, own: _Own, node: Node) -> None:
    intervals = node.settings.intervals

    def tick() -> None:
        for ref in (node.domain, node.config, node.peers):
            ref.tell(Tick())

    def gather() -> None:
        _gather_own(own, node)
        _tell_gateway(own, node)

    stack.enter_context(run_every("ticks", intervals.tick_s, tick))
    stack.enter_context(run_every("own", intervals.heartbeat_s / 2, gather))
    stack.enter_context(run_every("metrics", _FLUSH_S, lambda: _send_metrics(node)))


def _send_metrics(node: Node) -> None:
    record_process(node.meter)
    told = tell_status(node, schema.StatusRequest())
    if isinstance(told, Ok):
        record_status(node.meter, told.ok_value)
    flush_meter(node.meter)


def _gather_own(own: _Own, node: Node) -> None:
    own.epochs = _ask(node.domain, Query(count_epochs))
    own.untils = _ask(node.domain, Query(find_untils))
    own.config = cast(ConfigView, _ask(node.config, ReadConfig()))
    node.domain.tell(ConfigKnown(read_clock() - own.config.age_s))
    own.room = read_room(node.gateway)
    own.ready = not find_waits(node)
    own.draining = _ask(node.domain, Query(lambda actor, _: actor.node.stopping))


def _tell_gateway(own: _Own, node: Node) -> None:
    views: tuple[PeerView, ...] = _ask(node.peers, Query(read_peers))
    live = [view for view in views if view.is_live and view.heartbeat is not None]
    tell_event(node.gateway, PeersChanged(tuple(_make_peer(v) for v in live)))
    instances: tuple[Instance, ...] = _ask(
        node.peers, Query(lambda actor, _: actor.instances)
    )
    owners = _find_owners(own, live, instances)
    _watch_racks(own, node, owners)
    tell_event(node.gateway, OwnersChanged(owners))
    _assign_roles(node, live)


def _assign_roles(node: Node, live: list[PeerView]) -> None:
    """Say which streams this instance reads itself and to whom it hands them on."""
    instance = node.settings.instance
    relays = bool(_ask(node.peers, Query(lambda actor, _: actor.is_relay)))
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
    room = view.heartbeat.room if view.heartbeat else {}
    return Peer(view.instance, view.domain, view.region, view.address, room)


def _watch_racks(own: _Own, node: Node, owners: dict[str, Owner]) -> None:
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
    own: _Own, live: list[PeerView], instances: tuple[Instance, ...]
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


def _ask_credits(own: _Own, action: AskCredits) -> None:
    node = own.node
    if node is None:
        return
    if action.owner == node.settings.instance.id:
        tell_event(node.gateway, CreditsAnswered(_ask(node.lender, action.ask)))
        return
    views: tuple[PeerView, ...] = _ask(node.peers, Query(read_peers))
    peer = next((view for view in views if view.instance == action.owner), None)
    if peer is None:
        return
    target = build_peer(make_url(peer.control_address), node.pool)
    token = node.settings.security.token.reveal()
    asked = ask_owner(target, token, action.ask, _ASK_TIMEOUT_S)
    if isinstance(asked, Err):
        _logger.info("credit ask failed: %s", asked.err_value)
        return
    tell_event(node.gateway, CreditsAnswered(asked.ok_value))
