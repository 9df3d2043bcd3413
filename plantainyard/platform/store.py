"""Calls to the platform's store: appends, reads, newest records and groups."""

from collections.abc import Sequence
from typing import Any, NamedTuple
from urllib.parse import quote, urlencode

from result import Result

from plantainyard.clock import read_clock
from plantainyard.connections import build_request
from plantainyard.errors import CallError
from plantainyard.multiplexer import Multiplexer
from plantainyard.platform.bodies import encode_body
from plantainyard.platform.store_messages import (
    Append,
    AppendResult,
    Membership,
    Page,
    PartitionOwner,
    Slice,
    decode_append_result,
    decode_departure,
    decode_membership,
    decode_page,
    decode_partition_owners,
    decode_slice,
    pack_record,
)
from plantainyard.transport import (
    CallObservation,
    CallObserver,
    HttpResponse,
    classify_result,
    discard_observation,
    get_received_bytes,
)

__all__ = [
    "StoreCalls",
    "build_store_calls",
]

MAX_IDLE_CONNECTIONS = 16

"""Maximum number of idle connections: one for each thread that calls the store."""


class StoreCalls(NamedTuple):
    """Blocking calls to the platform's store.

    Attributes
    ----------
    address : str
        Address of the store as ``ip:port``.
    multiplexer : Multiplexer
        The connections to the store.
    observe : CallObserver
        Receives each call when it has ended.
    """

    address: str
    multiplexer: Multiplexer
    observe: CallObserver = discard_observation

    def append(
        self, append: Append, timeout_s: float
    ) -> Result[AppendResult, CallError]:
        """Append records to a partition.

        Returns
        -------
        Result[AppendResult, CallError]
            After ``REFUSED``, ``TOO_LARGE`` or ``UNREACHABLE`` the append has not taken
            effect and never will; after ``LOST`` it may still take effect, even seconds
            later.
        """
        query: dict[str, Any] = {"topic": append.topic, "part": append.partition}
        if append.producer:
            query["producer"] = append.producer
            query["epoch"] = append.epoch
            query["sequence"] = append.sequence
        if append.expected_end is not None:
            query["at"] = append.expected_end
        body = b"".join(pack_record(record) for record in append.records)
        result = self._call("POST", "log-append", query, body, timeout_s)
        return result.and_then(decode_append_result)

    def read(
        self,
        topic: str,
        partition: int,
        offset: int,
        wait_s: float,
        timeout_s: float,
    ) -> Result[Slice, CallError]:
        """Return the records from `offset` on, waiting up to `wait_s` for the first.

        The call fails if nothing arrives for `timeout_s`, without the wait; a response
        that keeps arriving may take longer.
        """
        query = {"topic": topic, "part": partition, "from": offset}
        if wait_s:
            query["waitMs"] = round(wait_s * 1000)
        result = self._call(
            "GET", "log-read", query, None, timeout_s + wait_s, timeout_s
        )
        return result.and_then(lambda response: decode_slice(response, offset))

    def read_newest(
        self, topic: str, partition: int, after: str, timeout_s: float
    ) -> Result[Page, CallError]:
        """Return the newest record of each key that follows `after`.

        The call fails if nothing arrives for `timeout_s`; a response that keeps
        arriving may take longer.
        """
        query = {"topic": topic, "part": partition}
        if after:
            query["after"] = after
        result = self._call("GET", "log-newest", query, None, timeout_s, timeout_s)
        return result.and_then(lambda response: decode_page(response, after))

    def join(
        self,
        group: str,
        member: str,
        topics: Sequence[str],
        ttl_s: float,
        generation: int,
        timeout_s: float,
    ) -> Result[Membership, CallError]:
        """Join a group or renew its membership, and return the member's partitions."""
        body = {
            "group": group,
            "member": member,
            "topics": list(topics),
            "ttlMs": round(ttl_s * 1000),
            "generation": generation,
        }
        result = self._call("POST", "log-join", {}, encode_body(body), timeout_s)
        return result.and_then(decode_membership)

    def read_partition_owners(
        self, group: str, timeout_s: float
    ) -> Result[list[PartitionOwner], CallError]:
        """Return the owner of each partition of a group.

        The caller does not have to be a member of the group.
        """
        query = {"group": group}
        result = self._call("GET", "log-owners", query, None, timeout_s)
        return result.and_then(decode_partition_owners)

    def leave(
        self, group: str, member: str, timeout_s: float
    ) -> Result[None, CallError]:
        """Leave a group, so that its partitions are reassigned immediately."""
        body = encode_body({"group": group, "member": member})
        result = self._call("POST", "log-leave", {}, body, timeout_s)
        return result.and_then(decode_departure)

    def _call(
        self,
        method: str,
        name: str,
        query: dict[str, Any],
        body: bytes | None,
        timeout_s: float,
        idle_timeout_s: float = 0.0,
    ) -> Result[HttpResponse, CallError]:
        path = f"/v1/{name}"
        if query:
            path += "?" + urlencode(query, quote_via=quote)
        headers = {"Content-Type": "application/json"} if body is not None else {}
        step = "store." + name.removeprefix("log-")
        data = build_request(method, path, self.address, headers, body)
        started_at = read_clock()
        result = self.multiplexer.call(
            step, "store", self.address, data, timeout_s, idle_timeout_s
        )
        self.observe(
            CallObservation(
                step,
                classify_result(result),
                read_clock() - started_at,
                get_received_bytes(result),
                query.get("topic", ""),
                query.get("part", 0),
            )
        )
        return result

    def close(self) -> None:
        """Close all connections; outstanding calls fail."""
        self.multiplexer.close()


def build_store_calls(
    address: str, observe: CallObserver = discard_observation
) -> StoreCalls:
    """Return calls to the store at ``ip:port`` that use their own connections."""
    return StoreCalls(address, Multiplexer(MAX_IDLE_CONNECTIONS), observe)
