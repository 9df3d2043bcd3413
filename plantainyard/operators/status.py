"""Health, readiness, status and full state of this process."""

import json
from collections.abc import Mapping
from typing import Any

from google.protobuf import json_format
from result import Ok, Result

from plantainyard import __version__
from plantainyard import state as log_state
from plantainyard.api import ApiError
from plantainyard.api import operators_pb2 as schema
from plantainyard.clock import read_clock
from plantainyard.gateway import describe_gateway, is_alive
from plantainyard.metrics import describe_meter
from plantainyard.node import DumpLenders, dump_domain, list_racks

from .node import Node, list_peers, query, read_config

__all__ = [
    "describe_state",
    "dump",
    "find_faults",
    "list_unready_reasons",
    "get_status",
]

_DUMP_TIMEOUT_S = 5.0


def find_faults(node: Node) -> list[str]:
    """Return the reasons to replace the process, empty if it is healthy.

    Notes
    -----
    Guards against a process that keeps running after one of its actors has died: the
    actor no longer handles messages, while all other parts still look healthy.
    """
    actors = {
        "domain": node.domain,
        "configuration": node.config,
        "peers": node.peers,
        "lender": node.lender,
    }
    dead = [name for name, ref in actors.items() if not ref.is_alive()]
    if not is_alive(node.gateway):
        dead.append("gateway")
    return [f"the actor {name} has died" for name in dead]


def list_unready_reasons(node: Node) -> list[str]:
    """Return why the load balancer should avoid this instance, empty if it is ready."""
    faults = find_faults(node)
    if faults:
        return faults
    reasons = []
    if not read_config(node).is_current:
        reasons.append("the configuration is not read to its end")
    if not query(node.domain, _is_current):
        reasons.append("the domain's stream is not read to its end")
    if query(node.domain, lambda actor, _: actor.node.stopping):
        reasons.append("draining")
    return reasons


def _is_current(actor: Any, _: float) -> bool:
    return log_state.is_current(actor.stream.reader)


def get_status(
    node: Node, request: schema.StatusRequest
) -> Result[schema.StatusResponse, ApiError]:
    """Return the status of this instance, its racks and its peers."""
    instance = node.settings.instance
    view = read_config(node)
    unready_reasons = list_unready_reasons(node)
    described = describe_gateway(node.gateway)
    age_s = query(
        node.domain,
        lambda actor, now: log_state.get_staleness(actor.stream.reader, now),
    )
    return Ok(
        schema.StatusResponse(
            instance=instance.id,
            region=instance.region,
            domain=instance.domain,
            software_version=__version__,
            ready=not unready_reasons,
            not_ready_reasons=unready_reasons,
            uptime_s=read_clock() - node.started_at,
            configuration_version=view.version,
            configuration_age_s=view.age_s,
            racks=[schema.RackStatus(**r) for r in query(node.domain, list_racks)],
            peers=_write_peers(node),
            streams=[schema.DomainAge(domain=instance.domain, age_s=age_s)],
            requests_in_progress=described["in_progress"],
            requests_queued=described["queued"],
        )
    )


def _write_peers(node: Node) -> list[schema.PeerStatus]:
    return [
        schema.PeerStatus(
            instance=peer.instance,
            domain=peer.domain,
            state=_determine_peer_state(peer.state, peer.is_live),
            heard_s=peer.age_s,
            address=peer.control_address,
        )
        for peer in list_peers(node)
    ]


def _determine_peer_state(listed: str, is_live: bool) -> str:
    if listed in ("leaving", "gone"):
        return listed
    return "live" if is_live else "silent"


def describe_state(node: Node) -> Mapping[str, Any]:
    """Return the full state of the process as plain values, without secrets."""
    view = read_config(node)
    state = {
        "instance": node.settings.instance._asdict(),
        "process": node.name,
        "uptime_s": read_clock() - node.started_at,
        "not_ready": list_unready_reasons(node),
        "configuration": view._asdict(),
        "domain": query(node.domain, dump_domain),
        "peers": [_dump_peer(peer) for peer in list_peers(node)],
        "lenders": node.lender.ask(DumpLenders(), timeout=_DUMP_TIMEOUT_S),
        "gateway": describe_gateway(node.gateway),
        "metrics": describe_meter(node.meter),
    }
    # Tuples become lists and infinities become strings, which JSON can represent.
    plain: dict[str, Any] = json.loads(
        json.dumps(state, default=str), parse_constant=str
    )
    return plain


def _dump_peer(peer: Any) -> dict[str, Any]:
    heartbeat = peer.heartbeat._asdict() if peer.heartbeat else None
    return {**peer._asdict(), "heartbeat": heartbeat}


def dump(
    node: Node, request: schema.DumpRequest
) -> Result[schema.DumpResponse, ApiError]:
    """Return the response with the full state of the process."""
    response = schema.DumpResponse()
    json_format.ParseDict(dict(describe_state(node)), response.state)
    return Ok(response)
