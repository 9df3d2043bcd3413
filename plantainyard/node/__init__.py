"""The actors and threads of one process.

They carry out the actions of the modules that decide: membership, placement, execution,
routing and state.
"""

from .configuration import (
    CONFIG_STREAM,
    ConfigActor,
    ConfigView,
    ReadConfig,
    knows_newest,
)
from .control import build_peer_app
from .domain import DomainActor, name_stream
from .lending import DumpLenders, LenderActor, RackAuthority, RackRunners
from .messages import (
    ConfigChanged,
    ConfigConfirmed,
    InstancesListed,
    LivePeers,
    Query,
    Stop,
    SubmitRecord,
    Tick,
    WorkerReply,
)
from .peer_calls import HeartbeatReceived
from .peers import PeersActor, PeerView, read_peers
from .racks import DomainNode
from .reports import dump_domain, find_authority_ends, list_epochs, list_racks
from .streams import StreamEvent, StreamIO, StreamRole, StreamState
from .threads import run_every, run_forever
from .workers import WorkerCaller, start_call

__all__ = [
    "CONFIG_STREAM",
    "ConfigActor",
    "ConfigChanged",
    "ConfigConfirmed",
    "ConfigView",
    "DomainActor",
    "DomainNode",
    "DumpLenders",
    "HeartbeatReceived",
    "InstancesListed",
    "LenderActor",
    "PeerView",
    "PeersActor",
    "LivePeers",
    "Query",
    "RackAuthority",
    "WorkerReply",
    "RackRunners",
    "ReadConfig",
    "Stop",
    "StreamEvent",
    "StreamIO",
    "StreamRole",
    "StreamState",
    "SubmitRecord",
    "Tick",
    "WorkerCaller",
    "build_peer_app",
    "list_epochs",
    "dump_domain",
    "find_authority_ends",
    "knows_newest",
    "list_racks",
    "name_stream",
    "read_peers",
    "run_every",
    "run_forever",
    "start_call",
]
