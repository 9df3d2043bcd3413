"""Processes of a model of three instances, and the messages between them."""

from typing import Any, NamedTuple

from plantainyard.protocol import RunnerInfo
from plantainyard.routing import (
    GatewayState,
    LenderState,
    Location,
    RoutingSettings,
    Send,
    build_leased_lender,
)

__all__ = [
    "AUTHORITY_S",
    "DOMAINS",
    "Message",
    "Process",
    "RACKS",
    "ROUTING",
    "RUNNERS",
    "Run",
    "SLOTS",
    "WALL",
]

ROUTING = RoutingSettings(
    credit_s=2.0,
    request_max_s=3.0,
    drift=0.01,
    send_margin_s=0.1,
    id_skew_s=0.05,
    id_memory_s=8.0,
    id_count=12,
    queue_count=8,
)
SLOTS = 2
AUTHORITY_S = 1.5
WALL = 1_700_000_000.0
DOMAINS = {"i1": "d1", "i2": "d1", "i3": "d2"}
RACKS = {"k1": "d1", "k2": "d2"}
RUNNERS = [
    RunnerInfo(f"r{n}", "billing", "", "k1", "d1", "reg", SLOTS, 60) for n in range(2)
]


class Message(NamedTuple):
    """A message in transit to a process, or an attempt that has not started yet."""

    kind: str
    process: "Process"
    content: Any
    key: str = ""


class Run(NamedTuple):
    """A request in progress at a runner, until `until` at the latest."""

    process: "Process"
    send: Send
    until: float


class Process:
    """One process of an instance, with its own clock that runs at `rate`."""

    def __init__(self, instance, name, rate):
        location = Location(instance, DOMAINS[instance], "reg")
        self.gateway = GatewayState(location, name, ROUTING)
        self.instance = instance
        self.rate = rate
        self.lenders = {rack: LenderState(rack) for rack in RACKS}
        self.lend = build_leased_lender(ROUTING)
        self.alive = True
        self.paused = False
        self.threads: dict[str, tuple[float, Any]] = {}
