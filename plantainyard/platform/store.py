"""Calls to the platform's store: appends, reads, newest records and groups."""

import base64
import struct
from collections.abc import Sequence
from typing import Any, NamedTuple
from urllib.parse import quote, urlencode

from result import Err, Ok, Result

from plantainyard.clock import read_clock
from plantainyard.connections import build_request
from plantainyard.decoding import (
    FAILURES,
    DecodeError,
    describe_failure,
    read_integer,
    read_list,
    read_text,
)
from plantainyard.errors import CallError, ErrorKind
from plantainyard.multiplexer import Multiplexer
from plantainyard.platform.bodies import encode_body, read_object
from plantainyard.transport import (
    CallObservation,
    CallObserver,
    HttpResponse,
    classify_result,
    discard_observation,
    get_received_bytes,
)

__all__ = [
    "Append",
    "AppendResult",
    "Assignment",
    "PartitionOwner",
    "Membership",
    "Page",
    "Record",
    "Slice",
    "StoreCalls",
    "build_store_calls",
]

HEADER = struct.Struct(">QQ")
LENGTH = struct.Struct(">I")
MAX_IDLE_CONNECTIONS = 16
"""Maximum number of idle connections: one for each thread that calls the store."""

GONE = 410
"""HTTP status with which the store reports that records were dropped."""


TOO_LARGE = 413
"""HTTP status with which the store refuses a record or a call because of its size."""


class Record(NamedTuple):
    """A record of a keyed topic; an empty value deletes the key.

    Attributes
    ----------
    key, value : str, bytes
        Contents of the record.
    offset : int
        Its offset in the partition, for a record among the newest of a range of keys.
    """

    key: str
    value: bytes
    offset: int = 0

    @property
    def size(self) -> int:
        """Return the size in bytes that the store limits."""
        return 1 + len(self.key.encode()) + len(self.value)


class Append(NamedTuple):
    """Records to be appended atomically to one partition.

    Attributes
    ----------
    topic, partition : str, int
        The partition.
    records : sequence of Record
        May be empty if an epoch is given, to fence off older epochs.
    producer, epoch, sequence
        If `producer` is not empty, the store accepts the append only from the highest
        epoch that it has seen, and only once for each sequence number.
    expected_end : int or None
        If given, the store accepts the append only if the partition ends at this
        offset.
    """

    topic: str
    partition: int
    records: Sequence[Record]
    producer: str = ""
    epoch: int = 0
    sequence: int = 0
    expected_end: int | None = None


class AppendResult(NamedTuple):
    """The result of an append to which the store responded.

    Attributes
    ----------
    accepted : bool
        The records were stored.
    fenced : bool
        Another producer has written with the same or a higher epoch, so this producer
        must stop.
    end : int
        End of the partition after the append, if the store reports it.
    """

    accepted: bool
    fenced: bool
    end: int


class Slice(NamedTuple):
    """Records of a partition from an offset onwards.

    Attributes
    ----------
    records : list of Record
        Records in order, without those that cannot be decoded.
    next_offset : int
        Offset of the next read.
    end : int
        End of the partition when the store responded.
    dropped : bool
        The store no longer has the requested records; the newest record of each key
        must be read instead.
    """

    records: list[Record]
    next_offset: int
    end: int
    dropped: bool = False


class Page(NamedTuple):
    """The newest records of a range of keys of a partition.

    Attributes
    ----------
    records : list of Record
        Records ordered by key.
    last_key : str
        Key after which the next page starts, if `more`.
    more : bool
        There are further keys.
    end : int
        End of the partition when the store responded.
    """

    records: list[Record]
    last_key: str
    more: bool
    end: int


class Assignment(NamedTuple):
    """A partition that a group has assigned to a member."""

    topic: str
    partition: int


class PartitionOwner(NamedTuple):
    """A partition and the group member that owns it, which is empty if none does."""

    topic: str
    partition: int
    member: str


class Membership(NamedTuple):
    """The generation of a group and the partitions assigned to one member."""

    generation: int
    assignments: frozenset[Assignment]


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
        body = b"".join(_pack_record(record) for record in append.records)
        result = self._call("POST", "log-append", query, body, timeout_s)
        return result.and_then(_decode_append_result)

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
        return result.and_then(lambda response: _decode_slice(response, offset))

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
        return result.and_then(_decode_page)

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
        return result.and_then(_decode_membership)

    def read_partition_owners(
        self, group: str, timeout_s: float
    ) -> Result[list[PartitionOwner], CallError]:
        """Return the owner of each partition of a group.

        The caller does not have to be a member of the group.
        """
        query = {"group": group}
        result = self._call("GET", "log-owners", query, None, timeout_s)
        return result.and_then(_decode_partition_owners)

    def leave(
        self, group: str, member: str, timeout_s: float
    ) -> Result[None, CallError]:
        """Leave a group, so that its partitions are reassigned immediately."""
        body = encode_body({"group": group, "member": member})
        result = self._call("POST", "log-leave", {}, body, timeout_s)
        return result.and_then(_expect_ok)

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


def _pack_record(record: Record) -> bytes:
    key = record.key.encode()
    return (
        b"".join(
            (LENGTH.pack(1 + len(key) + len(record.value)), bytes((len(key),)), key)
        )
        + record.value
    )


def _unpack_record(data: bytes) -> Record | None:
    if not data or len(data) < 1 + data[0]:
        return None
    size = 1 + data[0]
    try:
        return Record(data[1:size].decode(), data[size:])
    except UnicodeDecodeError:
        return None


def _decode_append_result(response: HttpResponse) -> Result[AppendResult, CallError]:
    if response.status == 200:
        return Ok(AppendResult(True, False, _read_end(response)))
    if response.status == 409 and read_object(response).get("reason") in (
        "fenced",
        "seq",
    ):
        return Ok(AppendResult(False, True, 0))
    if response.status == 412:
        return Ok(AppendResult(False, False, _read_end(response)))
    return Err(_classify_error(response, "store.append"))


def _read_end(response: HttpResponse) -> int:
    """Return the end of a partition, or 0 if the response doesn't give it."""
    try:
        return read_integer(read_object(response).get("end", 0), "end")
    except DecodeError:
        return 0


def _decode_slice(response: HttpResponse, offset: int) -> Result[Slice, CallError]:
    if response.status == GONE:
        return Ok(Slice([], offset, 0, dropped=True))
    if response.status != 200 or len(response.body) < HEADER.size:
        return Err(_classify_error(response, "store.read"))
    end, first = HEADER.unpack_from(response.body)
    if first > offset:
        return Ok(Slice([], offset, end, dropped=True))
    raw = _split_records(response.body)
    if not raw and end > offset:
        # To read on at the same offset would repeat the call without a pause.
        detail = "no complete record"
        return Err(CallError(ErrorKind.MALFORMED, "store.read", "store", detail))
    records = [record for data in raw if (record := _unpack_record(data))]
    return Ok(Slice(records, offset + len(raw), end))


def _split_records(body: bytes) -> list[bytes]:
    raw = []
    position = HEADER.size
    while position + LENGTH.size <= len(body):
        (size,) = LENGTH.unpack_from(body, position)
        position += LENGTH.size
        if position + size > len(body):
            break
        raw.append(body[position : position + size])
        position += size
    return raw


def _decode_page(response: HttpResponse) -> Result[Page, CallError]:
    if response.status != 200:
        return Err(_classify_error(response, "store.newest"))
    data = read_object(response)
    try:
        items = read_list(data["items"], "items")
        records = [record for item in items if (record := _decode_item(item))]
        last_key = read_text(items[-1]["key"], "key") if items else ""
        end = read_integer(data["end"], "end")
        return Ok(Page(records, last_key, bool(data.get("hasMore")), end))
    except FAILURES as error:
        return Err(_describe_malformed(error, "store.newest"))


def _decode_item(item: Any) -> Record | None:
    """Return a record, or None if it can't be decoded, as with those of a slice."""
    try:
        return Record(
            read_text(item["key"], "key"),
            base64.b64decode(item.get("value") or ""),
            read_integer(item.get("offset", 0), "offset"),
        )
    except FAILURES:
        return None


def _describe_malformed(error: BaseException, step: str) -> CallError:
    detail = describe_failure(error)
    return CallError(ErrorKind.MALFORMED, step, "store", detail)


def _decode_membership(response: HttpResponse) -> Result[Membership, CallError]:
    if response.status != 200:
        return Err(_classify_error(response, "store.join"))
    data = read_object(response)
    try:
        rows = frozenset(
            Assignment(read_text(row[0], "topic"), read_integer(row[1], "partition"))
            for row in read_list(data["parts"], "parts")
        )
        return Ok(Membership(read_integer(data["generation"], "generation"), rows))
    except FAILURES as error:
        return Err(_describe_malformed(error, "store.join"))


def _decode_partition_owners(
    response: HttpResponse,
) -> Result[list[PartitionOwner], CallError]:
    if response.status != 200:
        return Err(_classify_error(response, "store.owners"))
    try:
        # The fourth column, a committed offset, is not used.
        rows = read_list(read_object(response)["parts"], "parts")
        owners = [
            PartitionOwner(
                read_text(row[0], "topic"),
                read_integer(row[1], "partition"),
                read_text(row[2] or "", "member"),
            )
            for row in rows
        ]
        return Ok(owners)
    except FAILURES as error:
        return Err(_describe_malformed(error, "store.owners"))


def _expect_ok(response: HttpResponse) -> Result[None, CallError]:
    return (
        Ok(None)
        if response.status == 200
        else Err(_classify_error(response, "store.leave"))
    )


def _classify_error(response: HttpResponse, step: str) -> CallError:
    refused = 400 <= response.status < 500 or response.status == 503
    kind = ErrorKind.REFUSED if refused else ErrorKind.LOST
    if response.status == TOO_LARGE:
        kind = ErrorKind.TOO_LARGE
    text = response.body[:200].decode(errors="replace")
    return CallError(kind, step, "store", f"status {response.status} {text}".strip())
