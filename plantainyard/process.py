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
    run_gateway,
    serve_gateway,
    tell_event,
)
from plantainyard.gateway.tuning import build_routing_settings
from plantainyard.metrics import Meter, create_meter, flush_meter
from plantainyard.node import (
    CONFIG_STREAM,
    ConfigActor,
    ConfigChanged,
    DomainActor,
    HeartbeatHeard,
    InstancesListed,
    LenderActor,
    PeersActor,
    PeersHeard,
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
    find_waits,
    tell_status,
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
from plantainyard.settings import Settings, find_stop_grace

__all__ = ["Process", "drain_process", "run_process"]

_LOG_THREADS = 6
_CALL_THREADS = 24
_POOLS = 512
_QUERY_S = 5.0
_ASK_TIMEOUT_S = 2.0
_FLUSH_S = 1.0
_POLL_S = 0.05

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
    own = LocalState(settings, f"{settings.instance.id}.{uuid.uuid4().hex[:8]}")
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
                lambda ask: threads.peers.submit(request_credits, own, ask),
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
    drain_gateway(node.gateway, find_stop_grace(node.settings.intervals))
    drained = node.gateway.drained.wait(stop_s)
    while read_clock() < deadline and _owns_racks(node):
        time.sleep(_POLL_S)
    return drained


def _owns_racks(node: Node) -> bool:
    return bool(ask_actor(node.domain, Query(lambda actor, _: bool(actor.node.terms))))


def _open_threads(stack: contextlib.ExitStack, count: int) -> ThreadPoolExecutor:
    executor = ThreadPoolExecutor(count)
    stack.callback(executor.shutdown, wait=False, cancel_futures=True)
    return executor


def _start_actors(
    stack: contextlib.ExitStack,
    own: LocalState,
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
        lambda sequence: build_heartbeat(own, sequence),
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
            ask_actor(lender, news)
            lost = AuthorityChanged(news.rack, float("-inf"), False, time.time())
            ask_actor(gateway.ref, lost)

    return tell


@contextlib.contextmanager
def _serve_control(own: LocalState, node: Node) -> Iterator[str]:
    settings = node.settings

    def hear(heartbeat: Heartbeat) -> Heartbeat:
        node.peers.tell(HeartbeatHeard(heartbeat))
        return build_heartbeat(own, 0)

    def lend(ask: CreditAsk) -> Message:
        return cast(Message, ask_actor(node.lender, ask))

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
            lambda ask: cast(Message, ask_actor(node.peers, ask)),
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


def _run_ticks(stack: contextlib.ExitStack, own: LocalState, node: Node) -> None:
    intervals = node.settings.intervals

    def tick() -> None:
        for ref in (node.domain, node.config, node.peers):
            ref.tell(Tick())

    def gather() -> None:
        refresh_local_state(own, node)
        update_gateway(own, node)

    stack.enter_context(run_every("ticks", intervals.tick_s, tick))
    stack.enter_context(run_every("own", intervals.heartbeat_s / 2, gather))
    stack.enter_context(run_every("metrics", _FLUSH_S, lambda: _send_metrics(node)))


def _send_metrics(node: Node) -> None:
    record_process(node.meter)
    told = tell_status(node, schema.StatusRequest())
    if isinstance(told, Ok):
        record_status(node.meter, told.ok_value)
    flush_meter(node.meter)
