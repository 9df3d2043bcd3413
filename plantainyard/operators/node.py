"""Access of the handlers of operators' calls to the actors and peers of a process."""

import concurrent.futures
import uuid
from collections.abc import Mapping
from typing import Any, NamedTuple, cast

import pykka
import urllib3
from google.protobuf.message import Message
from result import Err, Ok, Result

from plantainyard import state as log_state
from plantainyard.api import (
    SERVICE,
    ApiError,
    ErrorCode,
    build_api_error,
    decode_error,
)
from plantainyard.clients import Instance, build_peer
from plantainyard.clock import read_clock
from plantainyard.gateway import Gateway
from plantainyard.metrics import Meter
from plantainyard.node import (
    PeerView,
    Query,
    ReadConfig,
    SubmitRecord,
    read_peers,
)
from plantainyard.node.configuration import ConfigView
from plantainyard.protocol import build_authorization
from plantainyard.settings import Settings
from plantainyard.transport import send_request

__all__ = [
    "Node",
    "ask_actor",
    "forward_call",
    "build_append_error",
    "build_unreachable_error",
    "find_peer",
    "list_instances",
    "list_peers",
    "make_url",
    "mark_relayed",
    "query",
    "read_config",
    "submit_and_wait",
]

_QUERY_TIMEOUT_S = 5.0
_APPEND_TIMEOUT_S = 5.0
_REPORT_TIMEOUT_S = 8.0
_RETRY_AFTER_S = 2.0
_STATUS_OK = 200


class Node(NamedTuple):
    """The parts of a running process.

    Attributes
    ----------
    settings : Settings
        The instance's settings.
    name : str
        Name of this process in claims.
    domain, config, peers, lender : pykka.ActorRef
        Actors of the domain's stream, the configuration, the peers and the lending of
        slots.
    gateway : Gateway
        Serves callers' requests.
    pool : urllib3.PoolManager
        Shared connection pool.
    meter : Meter
        Records metrics.
    started_at : float
        Reading of `read_clock` when the process started, in seconds.
    """

    settings: Settings
    name: str
    domain: pykka.ActorRef[Any]
    config: pykka.ActorRef[Any]
    peers: pykka.ActorRef[Any]
    lender: pykka.ActorRef[Any]
    gateway: Gateway
    pool: urllib3.PoolManager
    meter: Meter
    started_at: float


def ask_actor(ref: pykka.ActorRef[Any], message: Any) -> Any:
    """Return an actor's reply to `message`."""
    return ref.ask(message, timeout=_QUERY_TIMEOUT_S)


def query(ref: pykka.ActorRef[Any], read: Any) -> Any:
    """Return the result of `read`, called in an actor with the actor and its clock.

    It must hold plain values only, and nothing that the actor goes on changing.
    """
    return ask_actor(ref, Query(read))


def read_config(node: Node) -> ConfigView:
    """Return the configuration in force on this instance."""
    view: Any = node.config.ask(ReadConfig(), timeout=_QUERY_TIMEOUT_S)
    return cast(ConfigView, view)


def list_peers(node: Node) -> tuple[PeerView, ...]:
    """Return the current view of each other instance."""
    views: tuple[PeerView, ...] = query(node.peers, read_peers)
    return views


def list_instances(node: Node) -> tuple[Instance, ...]:
    """Return the platform's list of instances as last read."""
    instances: tuple[Instance, ...] = query(node.peers, lambda a, _: a.instances)
    return instances


def find_peer(node: Node, domain: str) -> PeerView | None:
    """Return the live instance of `domain` with the latest heartbeat, or None."""
    peers = [p for p in list_peers(node) if p.domain == domain and p.is_live]
    return max(peers, key=lambda peer: peer.heard_at, default=None)


def build_unreachable_error(node: Node, domain: str) -> ApiError:
    """Return the error for a call to a domain without a live instance."""
    if any(instance.domain == domain for instance in list_instances(node)):
        detail = f"no instance of {domain} is heard from"
        return ApiError(ErrorCode.REFUSED, detail, retry_after_s=_RETRY_AFTER_S)
    return ApiError(ErrorCode.NOT_FOUND, f"no failure domain {domain!r}", "job_id")


def make_url(address: str) -> str:
    """Return `address` as a URL, with the scheme ``http`` unless it has one."""
    return address if "://" in address else f"http://{address}"


def submit_and_wait(
    ref: pykka.ActorRef[Any], record: Mapping[str, Any]
) -> log_state.AppendReport:
    """Append `record` to the actor's log and wait for the outcome.

    Returns
    -------
    AppendReport
        Its status is ``unknown`` if the outcome isn't known in time. A record that may
        still take effect is never reported as ``not_run``.
    """
    settled: concurrent.futures.Future[log_state.AppendReport] = (
        concurrent.futures.Future()
    )

    def settle(report: log_state.AppendReport) -> None:
        final = report.status != log_state.AppendStatus.UNKNOWN
        if final and not settled.done():
            settled.set_result(report)

    key = uuid.uuid4().hex
    expires_at = read_clock() + _APPEND_TIMEOUT_S
    submit = log_state.Submit(record, key, expires_at)
    ref.tell(SubmitRecord(submit, settle))
    try:
        return settled.result(_REPORT_TIMEOUT_S)
    except concurrent.futures.TimeoutError:
        return log_state.AppendReport(key, log_state.AppendStatus.UNKNOWN)


def build_append_error(report: log_state.AppendReport) -> ApiError | None:
    """Return the error for an append's report, or None if the record took effect."""
    match report.status:
        case log_state.AppendStatus.APPLIED:
            return None
        case log_state.AppendStatus.VOID:
            return ApiError(
                ErrorCode.CONFLICT,
                "another change came first",
                winning_version=report.offset,
            )
        case log_state.AppendStatus.NOT_RUN:
            pause = report.retry_after_s or _RETRY_AFTER_S
            return ApiError(
                ErrorCode.REFUSED, _describe_refusal(report), retry_after_s=pause
            )
    return ApiError(
        ErrorCode.UNKNOWN,
        "the log has not said yet",
        retry_after_s=_RETRY_AFTER_S,
    )


def _describe_refusal(report: log_state.AppendReport) -> str:
    if report.result is None:
        return "the log took no record"
    return report.result.detail or report.result.reason or "abandoned"


def forward_call(
    node: Node, peer: PeerView, method: str, request: Message, response: Message
) -> Result[Any, ApiError]:
    """Forward an operator's call to another instance, without retries.

    Parameters
    ----------
    node : Node
        This process.
    peer : PeerView
        The instance to forward to.
    method : str
        Name of the method.
    request : Message
        Request of the call.
    response : Message
        An empty response message, which is filled and returned.
    """
    target = build_peer(
        make_url(peer.control_address), node.pool, _REPORT_TIMEOUT_S + 1.0
    )
    headers = {
        "Authorization": build_authorization(node.settings.security.token.reveal()),
        "Content-Type": "application/x-protobuf",
    }
    step = f"operator.{method}"
    body = request.SerializeToString()
    answer = send_request(target, step, "POST", f"/{SERVICE}/{method}", body, headers)
    if isinstance(answer, Err):
        return Err(build_api_error(answer.err_value))
    if answer.ok_value.status != _STATUS_OK:
        error = decode_error(answer.ok_value.body)
        unreadable = ApiError(ErrorCode.UNKNOWN, step=step, peer=peer.instance)
        return Err(error or unreadable)
    response.ParseFromString(answer.ok_value.body)
    return Ok(response)


def mark_relayed(request: Any) -> Any:
    """Return a copy of an operator's request that isn't forwarded again.

    Notes
    -----
    Guards against a forwarding loop between two instances that each believe that the
    other is the owner, because one has read further in the log: the loop would take
    up all their threads and leave none for heartbeats. A relayed call is therefore
    answered from the state of the instance that it was forwarded to.
    """
    relayed = type(request)()
    relayed.CopyFrom(request)
    relayed.relayed = True
    return relayed
