"""The actor that owns a gateway's state.

The thread that serves a caller posts the request to the actor and waits on a channel
of its own. The actor decides what to do and puts the actions on that channel. The
thread performs them, so that the actor never waits for a runner or a peer.
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
    "ActionChannel",
    "Gateway",
    "close_channel",
    "describe_gateway",
    "drain_gateway",
    "is_alive",
    "open_channel",
    "post_event",
    "read_free_credits",
    "run_gateway",
]

_TICK_INTERVAL_S = 0.1
"""Seconds between two `Tick` events."""

_ACTOR_REPLY_TIMEOUT_S = 2.0
"""Longest wait in seconds for the actor's reply to a read of its state."""

_STOP_TIMEOUT_S = 5.0
"""Longest wait in seconds for the actor to stop."""

_logger = logging.getLogger(__name__)


class ActionChannel:
    """Queue of actions for the thread that serves one request.

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
        Channels of the requests in progress, by request key.
    lock : threading.Lock
        Guards `channels`.
    drained : threading.Event
        Set after `drain_gateway` once no request is in progress.
    """

    ref: pykka.ActorRef[Any]
    channels: dict[str, ActionChannel]
    lock: threading.Lock
    drained: threading.Event


class _ReadState(NamedTuple):
    """Message that requests the actor's state as plain values."""


class _ReadFreeCredits(NamedTuple):
    """Message that requests the actor's free credits."""


class _GatewayActor(pykka.ThreadingActor):
    """Actor that owns a `GatewayState` and applies events to it one at a time."""

    use_daemon_thread = True

    def __init__(
        self, state: GatewayState, perform: Callable[[Action], Event | None]
    ) -> None:
        super().__init__()
        self.state = state
        self.perform = perform

    def on_receive(self, message: Any) -> Any:
        if isinstance(message, _ReadState):
            return self._dump_state()
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

    def _dump_state(self) -> dict[str, object]:
        inbox: Any = self.actor_inbox
        return {"mailbox": inbox.qsize(), **dump_gateway(self.state, read_clock())}


@contextlib.contextmanager
def run_gateway(
    settings: Settings, name: str, request_credits: Callable[[RequestCredits], object]
) -> Iterator[Gateway]:
    """Run the actor and its timer for the duration of the context.

    Parameters
    ----------
    settings : Settings
        Location and limits of the instance.
    name : str
        Name of this process in its credit requests to the owners of racks. It must be
        unique, also among processes that start later.
    request_credits : callable
        Sends a credit request to the owner of its rack without blocking, and later
        passes the owner's answer on with `post_event`.

    Yields
    ------
    Gateway
        The running gateway.
    """
    instance = settings.instance
    location = Location(instance.id, instance.domain, instance.region)
    state = GatewayState(location, name, build_routing_settings(settings))
    channels: dict[str, ActionChannel] = {}
    lock, drained = threading.Lock(), threading.Event()

    def perform(action: Action) -> Event | None:
        match action:
            case RequestCredits():
                request_credits(action)
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
    """Post an event to the actor without waiting; drop it if the actor has ended."""
    with contextlib.suppress(pykka.ActorDeadError):
        gateway.ref.tell(event)


def open_channel(gateway: Gateway, arrival: RequestArrived) -> ActionChannel:
    """Post a request to the actor and return the channel of its actions."""
    channel = ActionChannel(arrival.request.key)
    with gateway.lock:
        gateway.channels[channel.key] = channel
    post_event(gateway, arrival)
    return channel


def close_channel(gateway: Gateway, channel: ActionChannel) -> None:
    """Remove a channel and report its unperformed actions to the actor as not sent."""
    with gateway.lock:
        gateway.channels.pop(channel.key, None)
    while not channel.actions.empty():
        event = _build_not_sent_event(channel.actions.get())
        if event is not None:
            post_event(gateway, event)


def drain_gateway(gateway: Gateway, grace_s: float) -> None:
    """Begin a planned stop; `Gateway.drained` is set when it is complete."""
    post_event(gateway, Drain(grace_s))


def describe_gateway(gateway: Gateway) -> dict[str, Any]:
    """Return the gateway's state as plain values."""
    state: Any = gateway.ref.ask(_ReadState(), timeout=_ACTOR_REPLY_TIMEOUT_S)
    return dict(state)


def read_free_credits(gateway: Gateway) -> dict[str, int]:
    """Return the free credits of each service, for the heartbeats to peers."""
    credits: Any = gateway.ref.ask(_ReadFreeCredits(), timeout=_ACTOR_REPLY_TIMEOUT_S)
    return dict(credits)


def is_alive(gateway: Gateway) -> bool:
    """Return whether the actor still accepts events."""
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
    # The thread of this request has ended, so no one would perform the action and its
    # slot would stay taken forever.
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
