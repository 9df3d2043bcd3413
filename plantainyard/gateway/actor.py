"""The actor that owns a gateway's state.

A caller's thread tells the actor of its request and waits on a ticket of its own. The
actor decides and puts what is to be done on the ticket; the caller's thread does it,
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
from plantainyard.gateway.tuning import build_routing_settings
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
    "Ticket",
    "close_ticket",
    "describe_gateway",
    "drain_gateway",
    "is_alive",
    "open_ticket",
    "read_room",
    "run_gateway",
    "tell_event",
]

_TICK_S = 0.1
_DUMP_TIMEOUT_S = 2.0
_STOP_TIMEOUT_S = 5.0

_logger = logging.getLogger(__name__)


class Ticket:
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
    tickets : dict of str to Ticket
        Those of the requests in progress.
    lock : threading.Lock
        Held while the tickets change.
    drained : threading.Event
        Set once nothing is in progress after `drain_gateway`.
    """

    ref: pykka.ActorRef[Any]
    tickets: dict[str, Ticket]
    lock: threading.Lock
    drained: threading.Event


class _Dump(NamedTuple):
    """Asks the actor for its state as plain values."""


class _Room(NamedTuple):
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
        if isinstance(message, _Room):
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
        answer with `tell_event`.
    """
    instance = settings.instance
    place = Location(instance.id, instance.domain, instance.region)
    state = GatewayState(place, name, build_routing_settings(settings))
    tickets: dict[str, Ticket] = {}
    lock, drained = threading.Lock(), threading.Event()

    def perform(action: Action) -> Event | None:
        match action:
            case RequestCredits():
                ask(action)
            case Drained():
                drained.set()
            case Send() | Forward() | Answer():
                return _deliver(tickets, lock, action)
        return None

    ref = _GatewayActor.start(state, perform)
    gateway = Gateway(ref, tickets, lock, drained)
    try:
        with _run_ticks(gateway):
            yield gateway
    finally:
        ref.stop(block=True, timeout=_STOP_TIMEOUT_S)


def tell_event(gateway: Gateway, event: Event) -> None:
    """Hand an event to the actor without waiting; an actor that ended takes none."""
    with contextlib.suppress(pykka.ActorDeadError):
        gateway.ref.tell(event)


def open_ticket(gateway: Gateway, arrival: RequestArrived) -> Ticket:
    """Hand a request to the actor and return the ticket to wait on."""
    ticket = Ticket(arrival.request.key)
    with gateway.lock:
        gateway.tickets[ticket.key] = ticket
    tell_event(gateway, arrival)
    return ticket


def close_ticket(gateway: Gateway, ticket: Ticket) -> None:
    """End the waiting on a ticket and give back what was not done."""
    with gateway.lock:
        gateway.tickets.pop(ticket.key, None)
    while not ticket.actions.empty():
        event = _refuse(ticket.actions.get())
        if event is not None:
            tell_event(gateway, event)


def drain_gateway(gateway: Gateway, grace_s: float) -> None:
    """Begin the planned stop; `Gateway.drained` tells the end."""
    tell_event(gateway, Drain(grace_s))


def describe_gateway(gateway: Gateway) -> dict[str, Any]:
    """Return the gateway's state as plain values."""
    dump: Any = gateway.ref.ask(_Dump(), timeout=_DUMP_TIMEOUT_S)
    return dict(dump)


def read_room(gateway: Gateway) -> dict[str, int]:
    """Return the free credits for each service, for the heartbeats to peers."""
    room: Any = gateway.ref.ask(_Room(), timeout=_DUMP_TIMEOUT_S)
    return dict(room)


def is_alive(gateway: Gateway) -> bool:
    """Tell whether the actor still takes events."""
    return bool(gateway.ref.is_alive())


def _deliver(
    tickets: dict[str, Ticket], lock: threading.Lock, action: Send | Forward | Answer
) -> Event | None:
    with lock:
        ticket = tickets.get(action.key)
        if ticket is not None:
            ticket.actions.put(action)
            return None
    # The caller's thread has gone: nobody would do the sending, and its slot would
    # stay taken for ever.
    return _refuse(action)


def _refuse(action: Action) -> Event | None:
    if isinstance(action, Send):
        return AttemptEnded(action.key, SendResult.NOT_SENT)
    if isinstance(action, Forward):
        return ForwardEnded(action.key, SendResult.NOT_SENT)
    return None


@contextlib.contextmanager
def _run_ticks(gateway: Gateway) -> Iterator[None]:
    stop = threading.Event()

    def run() -> None:
        while not stop.wait(_TICK_S):
            tell_event(gateway, Tick())

    thread = threading.Thread(target=run, name="gateway-ticks", daemon=True)
    thread.start()
    try:
        yield
    finally:
        stop.set()
        thread.join()
