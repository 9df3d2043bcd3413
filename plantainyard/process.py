"""The components of one instance's process: its actors, threads and servers."""

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
from result import Ok

from plantainyard import state as log_state
from plantainyard.api import Probes, create_app, record_process, record_status
from plantainyard.api import operators_pb2 as schema
from plantainyard.clients import build_log_client, build_peer, build_pool
from plantainyard.clock import read_clock
from plantainyard.gateway import (
    Gateway,
    call_peer,
    drain_gateway,
    post_event,
    run_gateway,
    serve_gateway,
)
from plantainyard.gateway.routing_settings import build_routing_settings
from plantainyard.metrics import Meter, create_meter, flush_meter
from plantainyard.node import (
    CONFIG_STREAM,
    ConfigActor,
    ConfigChanged,
    DomainActor,
    HeartbeatReceived,
    InstancesListed,
    LenderActor,
    LivePeers,
    PeersActor,
    Query,
    RackAuthority,
    Stop,
    StreamEvent,
    StreamIO,
    Tick,
    WorkerCaller,
    build_peer_app,
    name_stream,
    run_every,
)
from plantainyard.operators import (
    Node,
    ask_actor,
    build_handlers,
    describe_state,
    find_faults,
    get_status,
    list_unready_reasons,
)
from plantainyard.presence import (
    LocalState,
    build_heartbeat,
    refresh_local_state,
    request_credits,
    update_gateway,
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
    AuthorityChanged,
)
from plantainyard.serving import serve_app
from plantainyard.settings import Settings, compute_stop_grace, derive_port_limits

__all__ = ["Process", "drain_process", "run_process"]

_LOG_THREADS = 6
_CALL_THREADS = 24
_MAX_PEER_POOLS = 512
_QUERY_S = 5.0
_PEER_TIMEOUT_S = 2.0
_METRICS_INTERVAL_S = 1.0
_POLL_INTERVAL_S = 0.05

_logger = logging.getLogger(__name__)


class Process(NamedTuple):
    """A running process and its addresses.

    Attributes
    ----------
    node : Node
        Its components.
    address, control_address : str
        ``ip:port`` for callers, and for operators and other instances.
    """

    node: Node
    address: str
    control_address: str


class _Executors(NamedTuple):
    """Threads for blocking calls; long reads of the log don't delay short calls."""

    log: ThreadPoolExecutor
    calls: ThreadPoolExecutor
    peers: ThreadPoolExecutor


@contextlib.contextmanager
def run_process(settings: Settings) -> Iterator[Process]:
    """Run all components of one instance within the context.

    Parameters
    ----------
    settings : Settings
        Validated settings.

    Yields
    ------
    Process
        Available once both servers listen; it is ready for callers only when
        `list_unready_reasons` returns an empty list.
    """
    local = LocalState(settings, f"{settings.instance.id}.{uuid.uuid4().hex[:8]}")
    with contextlib.ExitStack() as stack:
        meter = create_meter(settings.metrics)
        pool = build_pool(_MAX_PEER_POOLS, _CALL_THREADS)
        executors = _Executors(
            *(
                _open_executor(stack, n)
                for n in (_LOG_THREADS, _CALL_THREADS, _CALL_THREADS)
            )
        )
        gateway = stack.enter_context(
            run_gateway(
                settings,
                local.incarnation,
                lambda ask: executors.peers.submit(request_credits, local, ask),
            )
        )
        node = _start_actors(stack, local, meter, pool, executors, gateway)
        local.node = node
        local.control_address = stack.enter_context(_serve_control(local, node))
        local.address = stack.enter_context(serve_gateway(settings, gateway, meter))
        _start_timers(stack, local, node)
        yield Process(node, local.address, local.control_address)


def drain_process(process: Process) -> bool:
    """Stop gracefully: become unready, hand over racks and credits, finish requests.

    Returns
    -------
    bool
        False if requests were still in progress after ``intervals.stop_s``.
    """
    node = process.node
    stop_s = node.settings.intervals.stop_s
    deadline = read_clock() + stop_s
    node.domain.tell(Stop())
    drain_gateway(node.gateway, compute_stop_grace(node.settings.intervals))
    drained = node.gateway.drained.wait(stop_s)
    while read_clock() < deadline and _owns_racks(node):
        time.sleep(_POLL_INTERVAL_S)
    return drained


def _owns_racks(node: Node) -> bool:
    return bool(ask_actor(node.domain, Query(lambda actor, _: bool(actor.node.terms))))


def _open_executor(stack: contextlib.ExitStack, count: int) -> ThreadPoolExecutor:
    executor = ThreadPoolExecutor(count)
    stack.callback(executor.shutdown, wait=False, cancel_futures=True)
    return executor


def _start_actors(
    stack: contextlib.ExitStack,
    local: LocalState,
    meter: Meter,
    pool: urllib3.PoolManager,
    executors: _Executors,
    gateway: Gateway,
) -> Node:
    settings, name = local.settings, local.incarnation
    platform = settings.platform
    log = build_log_client(platform.log, pool, platform.timeout_s)
    snapshots = log_state.SnapshotSettings(platform.log_retention_s)
    rng = random.Random(name)

    def relay_records(target: str, message: RecordsAnswer) -> None:
        executors.peers.submit(_send_records, settings, pool, target, message)

    def make_io(deliver: Callable[[StreamEvent], object]) -> StreamIO:
        return StreamIO(
            log, executors.log, deliver, relay_records, settings.intervals.log_wait_s
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
        WorkerCaller(pool, executors.calls, platform.timeout_s),
        _build_domain_listener(lender, gateway),
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

    def publish(update: InstancesListed | LivePeers) -> None:
        domain.tell(update)

    peers = _start(
        stack,
        PeersActor,
        settings,
        name,
        rng,
        pool,
        executors.peers,
        lambda sequence: build_heartbeat(local, sequence),
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


def _send_records(
    settings: Settings, pool: urllib3.PoolManager, target: str, message: RecordsAnswer
) -> None:
    # The result is ignored: an instance that misses records reads them from the log.
    call_peer(
        build_peer(target, pool),
        settings.security.token.reveal(),
        RECORDS_PATH,
        message,
        RecordsAsk,
        _PEER_TIMEOUT_S,
    )


def _build_domain_listener(
    lender: pykka.ActorRef[Any], gateway: Gateway
) -> Callable[[Any], None]:
    """Return a function that passes the domain's updates to the lender and gateway."""
    authorities: dict[str, tuple[int, float]] = {}

    def notify(update: Any) -> None:
        if not isinstance(update, RackAuthority):
            lender.tell(update)
            return
        epoch, until = authorities.get(update.rack, (0, 0.0))
        gained = update.epoch != epoch or read_clock() >= until
        authorities[update.rack] = (update.epoch, update.until)
        if update.epoch:
            lender.tell(update)
            changed = AuthorityChanged(update.rack, update.until, gained, time.time())
            post_event(gateway, changed)
        elif epoch:
            # Waits until both have stopped using the authority, because a successor
            # may act as soon as this function returns.
            ask_actor(lender, update)
            lost = AuthorityChanged(update.rack, float("-inf"), False, time.time())
            ask_actor(gateway.ref, lost)

    return notify


@contextlib.contextmanager
def _serve_control(local: LocalState, node: Node) -> Iterator[str]:
    settings = node.settings

    def exchange_heartbeats(heartbeat: Heartbeat) -> Heartbeat:
        node.peers.tell(HeartbeatReceived(heartbeat))
        return build_heartbeat(local, 0)

    def lend_credits(ask: CreditAsk) -> Message:
        return cast(Message, ask_actor(node.lender, ask))

    app = create_app(
        settings,
        build_handlers(node),
        Probes(
            lambda: find_faults(node),
            lambda: list_unready_reasons(node),
            lambda: describe_state(node),
        ),
        node.meter,
        build_peer_app(
            exchange_heartbeats,
            lend_credits,
            lambda ask: cast(Message, ask_actor(node.peers, ask)),
            lambda records: _receive_records(node, records),
        ),
    )
    _, port_limits = derive_port_limits(settings.limits)
    with serve_app(
        app,
        settings.instance.control_address,
        settings.limits.control_threads,
        port_limits.connections,
        settings.limits.body_bytes,
        limits=port_limits.server,
    ) as address:
        yield address


def _receive_records(node: Node, message: RecordsAnswer) -> RecordsAsk:
    """Pass a relay's records to the actor that folds their stream."""
    own_stream = name_stream(node.settings.instance.domain)
    ref = {CONFIG_STREAM: node.config, own_stream: node.domain}.get(message.stream)
    if ref is not None:
        records = [log_state.LogRecord(*record) for record in message.records]
        event = log_state.Relayed(message.next, records)
        ref.tell(StreamEvent(message.stream, event, read_clock()))
    return RecordsAsk(message.stream, message.next)


def _start_timers(stack: contextlib.ExitStack, local: LocalState, node: Node) -> None:
    intervals = node.settings.intervals

    def tick() -> None:
        for ref in (node.domain, node.config, node.peers):
            ref.tell(Tick())

    def refresh() -> None:
        refresh_local_state(local, node)
        update_gateway(local, node)

    stack.enter_context(run_every("ticks", intervals.tick_s, tick))
    stack.enter_context(run_every("own", intervals.heartbeat_s / 2, refresh))
    stack.enter_context(
        run_every("metrics", _METRICS_INTERVAL_S, lambda: _send_metrics(node))
    )


def _send_metrics(node: Node) -> None:
    record_process(node.meter)
    status = get_status(node, schema.StatusRequest())
    if isinstance(status, Ok):
        record_status(node.meter, status.ok_value)
    flush_meter(node.meter)
