"""Client of the platform's instance list, which lags behind by some seconds."""

import json
from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple

import urllib3
import xxhash
from result import Err, Ok, Result

from plantainyard.decoding import FAILURES, describe_failure
from plantainyard.errors import CallError, ErrorKind
from plantainyard.transport import DEFAULT_TIMEOUT_S, HttpPeer, build_peer, call_json
from plantainyard.work import Size, WorkerInfo

__all__ = [
    "Instance",
    "InstanceKind",
    "InstanceState",
    "InstancesClient",
    "build_instances_client",
    "decode_instance",
    "digest_instances",
    "encode_instance",
    "read_instances",
]


class InstanceKind:
    """Names of the kinds of instances in the list."""

    ENTRY = "entry"
    WORKER = "worker"


class InstanceState:
    """Names of the states of an instance in the list, which lags by some seconds."""

    LIVE = "live"
    LEAVING = "leaving"
    TERMINATED = "gone"


class Instance(NamedTuple):
    """An instance of the platform.

    Attributes
    ----------
    kind, state : str
        Names in `InstanceKind` and `InstanceState`.
    region, domain : str
        Region and failure domain in which the instance runs.
    address : str
        Address at which callers reach an entry instance, or the owner a worker.
    control_address : str
        Address of the control port of an entry instance; empty for a worker.
    worker : WorkerInfo or None
        Rack and capacity; None for an entry instance.
    """

    id: str
    kind: str
    region: str
    domain: str
    address: str
    control_address: str
    state: str
    worker: WorkerInfo | None


class InstancesClient(NamedTuple):
    """A connection to the instance list."""

    peer: HttpPeer


def build_instances_client(
    address: str,
    pool: urllib3.PoolManager | None = None,
    timeout_s: float = DEFAULT_TIMEOUT_S,
) -> InstancesClient:
    """Return a client of the instance list at `address`."""
    return InstancesClient(build_peer(address, pool, timeout_s))


def read_instances(
    client: InstancesClient,
) -> Result[tuple[Instance, ...], CallError]:
    """Return all instances in the platform's list."""
    step = "instances.read"
    response = call_json(client.peer, step, "GET", "/instances")
    if isinstance(response, Err):
        return response
    try:
        items = response.ok_value.body["instances"]
        return Ok(tuple(_parse_instance(item) for item in items))
    except FAILURES as error:
        detail = describe_failure(error)
        return Err(CallError(ErrorKind.MALFORMED, step, client.peer.address, detail))


def encode_instance(instance: Instance) -> dict[str, Any]:
    """Return `instance` as a JSON object in the list's format."""
    encoded: dict[str, Any] = {k: v for k, v in instance._asdict().items() if v}
    worker = encoded.pop("worker", None)
    if worker is None:
        return encoded
    size = worker.capacity._asdict()
    worker_fields = {
        "rack": worker.rack,
        "accelerator": worker.accelerator,
        "capacity": size,
    }
    return {**encoded, **worker_fields}


def decode_instance(item: Mapping[str, Any]) -> Instance:
    """Return the instance in an item encoded by `encode_instance`."""
    return _parse_instance(item)


def digest_instances(instances: Iterable[Instance]) -> str:
    """Return a short digest of `instances` that does not depend on their order."""
    items = sorted(json.dumps(encode_instance(i), sort_keys=True) for i in instances)
    return xxhash.xxh3_64_hexdigest("\n".join(items).encode())


def _parse_instance(item: Mapping[str, Any]) -> Instance:
    is_worker = item["kind"] == InstanceKind.WORKER
    return Instance(
        id=str(item["id"]),
        kind=str(item["kind"]),
        region=str(item["region"]),
        domain=str(item["domain"]),
        address=str(item["address"]),
        control_address=str(item.get("control_address", "")),
        state=str(item["state"]),
        worker=_parse_worker(item) if is_worker else None,
    )


def _parse_worker(item: Mapping[str, Any]) -> WorkerInfo:
    return WorkerInfo(
        id=str(item["id"]),
        address=str(item["address"]),
        region=str(item["region"]),
        domain=str(item["domain"]),
        rack=str(item["rack"]),
        capacity=Size(**item["capacity"]),
        accelerator=str(item.get("accelerator", "")),
        leaving=item["state"] == InstanceState.LEAVING,
    )
