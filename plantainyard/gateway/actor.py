"""The actor that owns a gateway's state.

A caller's thread tells the actor of its request and waits on a channel of its own. The
actor decides and puts what is to be done on the channel; the caller's thread does it,
so that the actor never waits for a runner or a peer.
"""

import contextlib
import logging
import queue
import threading
from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

import pykka

from plantainyard.clock import read_clock
from plantainyard.gateway.routing_settings import build_routing_settings
from plantainyard.routing import (
    Action,
    Answer,
    AttemptEnded,
    Drain,
    Drained,
    Event,
    Forward,
    ForwardEnded,
    GatewayState,
    Location,
    RequestArrived,
    RequestCredits,
    Send,
    SendResult,
    Tick,
    count_free_credits,
    dump_gateway,
    step,
)
from plantainyard.settings import Settings

__all__ = [
    "Gateway",
    "ActionChannel",
    "close_channel",
    "describe_gateway",
    "drain_gateway",
    "is_alive",
    "open_channel",
    "read_free_credits",
    "run_gateway",
    "post_event",
]

_TICK_INTERVAL_S = 0.1
_DUMP_TIMEOUT_S = 2.0
_STOP_TIMEOUT_S = 5.0

_logger = logging.getLogger(__name__)


class ActionChannel:
    """Where a caller's thread waits for what it is to do next.

    Parameters
    ----------
    key : str
        Key of the request.
    """

    def __init__(self, key: str) -> None:
        self.key = key
        self.actions: queue.SimpleQueue[Action] = queue.SimpleQueue()


class Gateway(NamedTuple):
    """A running gateway.

    Attributes
    ----------
    ref : pykka.ActorRef
        The actor that owns the state.
    channels : dict of str to ActionChannel
        Those of the requests in progress.
    lock : threading.Lock
        Held while the channels change.
    drained : threading.Event
        Set once nothing is in progress after `drain_gateway`.
    """

    ref: pykka.ActorRef[Any]
    channels: dict[str, ActionChannel]
    lock: threading.Lock
    drained: threading.Event


class _Dump(NamedTuple):
    """Asks the actor for its state as plain values."""


class _ReadFreeCredits(NamedTuple):
    """Asks the actor for its free credits."""


class _GatewayActor(pykka.ThreadingActor):
    """Owner of a `GatewayState`."""

    use_daemon_thread = True

    def __init__(
        self, state: GatewayState, perform: Callable[[Action], Event | None]
    ) -> None:
        super().__init__()
        self.state = state
        self.perform = perform

    def on_receive(self, message: Any) -> Any:
        if isinstance(message, _Dump):
            return self._dump()
        if isinstance(message, _ReadFreeCredits):
            return count_free_credits(self.state, read_clock())
        events = [message]
        while events:
            actions = step(self.state, events.pop(0), read_clock())
            events += [e for a in actions if (e := self.perform(a)) is not None]
        return None

    def on_failure(
        self, exception_type: Any, exception_value: Any, traceback: Any
    ) -> None:
        _logger.error("gateway actor failed", exc_info=exception_value)

    def _dump(self) -> dict[str, object]:
        inbox: Any = self.actor_inbox
        return {"mailbox": inbox.qsize(), **dump_gateway(self.state, read_clock())}


@contextlib.contextmanager
def run_gateway(
    settings: Settings, name: str, ask: Callable[[RequestCredits], object]
) -> Iterator[Gateway]:
    """Run the actor for the length of the context.

    Parameters
    ----------
    settings : Settings
        Place and limits.
    name : str
        Name of this process towards the owners of racks; no other process, and none
        after this one, may have it.
    ask : callable
        Takes a credit ask to its rack's owner without waiting, and later tells the
        answer with `post_event`.
    """
    instance = settings.instance
    place = Location(instance.id, instance.domain, instance.region)
    state = GatewayState(place, name, build_routing_settings(settings))
    channels: dict[str, ActionChannel] = {}
    lock, drained = threading.Lock(), threading.Event()

    def perform(action: Action) -> Event | None:
        match action:
            case RequestCredits():
                ask(action)
            case Drained():
                drained.set()
            case Send() | Forward() | Answer():
                return _deliver(channels, lock, action)
        return None

    ref = _GatewayActor.start(state, perform)
    gateway = Gateway(ref, channels, lock, drained)
    try:
        with _run_ticks(gateway):
            yield gateway
    finally:
        ref.stop(block=True, timeout=_STOP_TIMEOUT_S)


def post_event(gateway: Gateway, event: Event) -> None:
    """Hand an event to the actor without waiting; an actor that ended takes none."""
    with contextlib.suppress(pykka.ActorDeadError):
        gateway.ref.tell(event)


def open_channel(gateway: Gateway, arrival: RequestArrived) -> ActionChannel:
    """Hand a request to the actor and return the channel to wait on."""
    channel = ActionChannel(arrival.request.key)
    with gateway.lock:
        gateway.channels[channel.key] = channel
    post_event(gateway, arrival)
    return channel


def close_channel(gateway: Gateway, channel: ActionChannel) -> None:
    """End the waiting on a channel and give back what was not done."""
    with gateway.lock:
        gateway.channels.pop(channel.key, None)
    while not channel.actions.empty():
        event = _build_not_sent_event(channel.actions.get())
        if event is not None:
            post_event(gateway, event)


def drain_gateway(gateway: Gateway, grace_s: float) -> None:
    """Begin the planned stop; `Gateway.drained` tells the end."""
    post_event(gateway, Drain(grace_s))


def describe_gateway(gateway: Gateway) -> dict[str, Any]:
    """Return the gateway's state as plain values."""
    dump: Any = gateway.ref.ask(_Dump(), timeout=_DUMP_TIMEOUT_S)
    return dict(dump)


def read_free_credits(gateway: Gateway) -> dict[str, int]:
    """Return the free credits for each service, for the heartbeats to peers."""
    room: Any = gateway.ref.ask(_ReadFreeCredits(), timeout=_DUMP_TIMEOUT_S)
    return dict(room)


def is_alive(gateway: Gateway) -> bool:
    """Tell whether the actor still takes events."""
    return bool(gateway.ref.is_alive())


def _deliver(
    channels: dict[str, ActionChannel],
    lock: threading.Lock,
    action: Send | Forward | Answer,
) -> Event | None:
    with lock:
        channel = channels.get(action.key)
        if channel is not None:
            channel.actions.put(action)
            return None
    # The caller's thread has gone: nobody would do the sending, and its slot would
    # stay taken for ever.
    return _build_not_sent_event(action)


def _build_not_sent_event(action: Action) -> Event | None:
    if isinstance(action, Send):
        return AttemptEnded(action.key, SendResult.NOT_SENT)
    if isinstance(action, Forward):
        return ForwardEnded(action.key, SendResult.NOT_SENT)
    return None


@contextlib.contextmanager
def _run_ticks(gateway: Gateway) -> Iterator[None]:
    stop = threading.Event()

    def run() -> None:
        while not stop.wait(_TICK_INTERVAL_S):
            post_event(gateway, Tick())

    thread = threading.Thread(target=run, name="gateway-ticks", daemon=True)
    thread.start()
    try:
        yield
    finally:
        stop.set()
        thread.join()
