"""Calls to other instances at their ports for peers."""

from collections.abc import Callable
from typing import Any, TypeVar

from result import Err

from plantainyard.decoding import DecodeError, convert_errors
from plantainyard.entry.instance import Instance
from plantainyard.transport import HttpPeer, build_peer, build_pool, call_json

__all__ = ["ROUNDING_S", "build_instance_peer", "decode_answer", "query_owner"]

_T = TypeVar("_T")

QUERY_TIMEOUT_S = 0.4
"""Timeout in seconds of a query to an owner. An answer between regions takes 30 ms."""

ROUNDING_S = 0.001
"""Added to durations that are rounded to milliseconds but must not become shorter."""

_pool = build_pool(pools=64, connections_per_peer=4)


def build_instance_peer(instance: Instance, address: str, timeout_s: float) -> HttpPeer:
    """Return the peer for calls to the instance at an address, ``ip:port``."""
    peer = build_peer(f"http://{address}", _pool, timeout_s)
    return peer._replace(observe=instance.meters.observe_call)


def query_owner(
    instance: Instance,
    unit: int,
    step: str,
    path: str,
    field: str,
    kind: type,
    timeout_s: float = QUERY_TIMEOUT_S,
) -> dict[str, Any] | None:
    """Return an owner's answer if `field` is of type `kind`; log the reason if not."""
    owner = instance.layout.owners.get(unit)
    if owner is None or owner.address == instance.peer_address():
        return None
    peer = build_instance_peer(instance, owner.address, timeout_s)
    answer = call_json(peer, step, "GET", path)
    if isinstance(answer, Err):
        detail = answer.err_value.detail
        instance.log.write("peer_silent", unit=unit, address=owner.address, why=detail)
        return None
    body = answer.ok_value.body
    if not isinstance(body.get(field), kind):
        why = f"no {field} in the answer to {step}"
        instance.log.write("peer_silent", unit=unit, address=owner.address, why=why)
        return None
    return body


def decode_answer(
    instance: Instance, unit: int, step: str, decode: Callable[[], _T]
) -> _T | None:
    """Return what `decode` returns, or log the reason why the answer is unusable."""
    try:
        with convert_errors(f"answer to {step}"):
            return decode()
    except DecodeError as error:
        instance.log.write("peer_silent", unit=unit, why=str(error))
        return None
