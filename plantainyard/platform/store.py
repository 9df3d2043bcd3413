"""Calls to the platform's store: appends, reads, newest records, groups."""

import base64
import struct
from collections.abc import Sequence
from typing import Any, NamedTuple
from urllib.parse import quote, urlencode

from result import Err, Ok, Result

from plantainyard.clock import read_clock
from plantainyard.connections import build_request
from plantainyard.errors import CallError, ErrorKind
from plantainyard.multiplexer import Multiplexer
from plantainyard.platform.bodies import encode_body, read_object
from plantainyard.transport import (
    CallObserver,
    HttpResponse,
    classify_result,
    discard_observation,
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
CONNECTIONS = 16
"""Idle connections kept: one for each thread that calls the store."""

GONE = 410


class Record(NamedTuple):
    """A record of a keyed topic; an empty value drops the key."""

    key: str
    value: bytes


class Append(NamedTuple):
    """Records to be appended to one partition, all or none of them.

    Attributes
    ----------
    topic, partition : str, int
        Where to.
    records : sequence of Record
        May be empty where an epoch is given: this fences older epochs off.
    producer, epoch, sequence
        Where `producer` isn't empty: the store takes the append only from the highest
        epoch it has seen, and once for each sequence number.
    expected_end : int or None
        The store takes the append only if the partition ends there.
    """

    topic: str
    partition: int
    records: Sequence[Record]
    producer: str = ""
    epoch: int = 0
    sequence: int = 0
    expected_end: int | None = None


class AppendResult(NamedTuple):
    """What became of an append that was answered.

    Attributes
    ----------
    accepted : bool
        The records are stored.
    fenced : bool
        Another has written under a higher epoch, or under this one: this producer's
        time is over.
    end : int
        The partition's end after it, where the store says so.
    """

    accepted: bool
    fenced: bool
    end: int


class Slice(NamedTuple):
    """Records of a partition from some offset on.

    Attributes
    ----------
    records : list of Record
        In order; records that can't be read are left out.
    next_offset : int
        Where to go on.
    end : int
        End of the partition when the store answered.
    dropped : bool
        The records asked for are gone; read the newest of each key instead.
    """

    records: list[Record]
    next_offset: int
    end: int
    dropped: bool = False


class Page(NamedTuple):
    """Newest records of some keys of a partition.

    Attributes
    ----------
    records : list of Record
        Ordered by key.
    last_key : str
        Where to go on if `more`.
    more : bool
        Further keys follow.
    end : int
        End of the partition when the store answered.
    """

    records: list[Record]
    last_key: str
    more: bool
    end: int


class Assignment(NamedTuple):
    """A partition that a group has dealt to a member."""

    topic: str
    partition: int


class PartitionOwner(NamedTuple):
    """A partition and the group's member that has it; empty for nobody."""

    topic: str
    partition: int
    member: str


class Membership(NamedTuple):
    """What a group's member is told: the generation and its partitions."""

    generation: int
    assignments: frozenset[Assignment]


class StoreCalls(NamedTuple):
    """The platform's store.

    Attributes
    ----------
    address : str
        ``ip:port``.
    multiplexer : Multiplexer
        The connections.
    observe : CallObserver
        Told of each call.
    """

    address: str
    multiplexer: Multiplexer
    observe: CallObserver = discard_observation

    def append(
        self, append: Append, timeout_s: float
    ) -> Result[AppendResult, CallError]:
        """Append records.

        Returns
        -------
        Result[AppendResult, CallError]
            ``REFUSED`` or ``UNREACHABLE`` means that nothing was and nothing will be
            done; after ``LOST`` the append may take effect even seconds later.
        """
        query: dict[str, Any] = {"topic": append.topic, "part": append.partition}
        if append.producer:
            query["producer"] = append.producer
            query["epoch"] = append.epoch
            query["sequence"] = append.sequence
        if append.expected_end is not None:
            query["at"] = append.expected_end
        body = b"".join(_pack_record(record) for record in append.records)
        answer = self._call("POST", "log-append", query, body, timeout_s)
        return answer.and_then(_decode_appended)

    def read(
        self,
        topic: str,
        partition: int,
        offset: int,
        wait_s: float,
        timeout_s: float,
    ) -> Result[Slice, CallError]:
        """Read records from `offset` on, waiting up to `wait_s` for the first one."""
        query = {"topic": topic, "part": partition, "from": offset}
        if wait_s:
            query["waitMs"] = round(wait_s * 1000)
        answer = self._call("GET", "log-read", query, None, timeout_s + wait_s)
        return answer.and_then(lambda found: _decode_slice(found, offset))

    def read_newest(
        self, topic: str, partition: int, after: str, timeout_s: float
    ) -> Result[Page, CallError]:
        """Read the newest record of each key that follows `after`."""
        query = {"topic": topic, "part": partition}
        if after:
            query["after"] = after
        answer = self._call("GET", "log-newest", query, None, timeout_s)
        return answer.and_then(_decode_page)

    def join(
        self,
        group: str,
        member: str,
        topics: Sequence[str],
        ttl_s: float,
        generation: int,
        timeout_s: float,
    ) -> Result[Membership, CallError]:
        """Join a group or stay in it, and learn which partitions are the member's."""
        body = {
            "group": group,
            "member": member,
            "topics": list(topics),
            "ttlMs": round(ttl_s * 1000),
            "generation": generation,
        }
        answer = self._call("POST", "log-join", {}, encode_body(body), timeout_s)
        return answer.and_then(_decode_membership)

    def read_partition_owners(
        self, group: str, timeout_s: float
    ) -> Result[list[PartitionOwner], CallError]:
        """Return which member of a group has which partition; anybody may ask."""
        query = {"group": group}
        answer = self._call("GET", "log-owners", query, None, timeout_s)
        return answer.and_then(_decode_holdings)

    def leave(
        self, group: str, member: str, timeout_s: float
    ) -> Result[None, CallError]:
        """Leave a group, so that its partitions are dealt to others at once."""
        body = encode_body({"group": group, "member": member})
        answer = self._call("POST", "log-leave", {}, body, timeout_s)
        return answer.and_then(_expect_ok)

    def _call(
        self,
        method: str,
        name: str,
        query: dict[str, Any],
        body: bytes | None,
        timeout_s: float,
    ) -> Result[HttpResponse, CallError]:
        path = f"/v1/{name}"
        if query:
            path += "?" + urlencode(query, quote_via=quote)
        headers = {"Content-Type": "application/json"} if body is not None else {}
        step = "store." + name.removeprefix("log-")
        data = build_request(method, path, self.address, headers, body)
        began = read_clock()
        answer = self.multiplexer.call(step, "store", self.address, data, timeout_s)
        self.observe(step, classify_result(answer), read_clock() - began)
        return answer

    def close(self) -> None:
        """Close all connections; calls that are out fail."""
        self.multiplexer.close()


def build_store_calls(
    address: str, observe: CallObserver = discard_observation
) -> StoreCalls:
    """Return the calls to the store at ``ip:port``, with connections of their own."""
    return StoreCalls(address, Multiplexer(CONNECTIONS), observe)


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


def _decode_appended(answer: HttpResponse) -> Result[AppendResult, CallError]:
    if answer.status == 200:
        return Ok(AppendResult(True, False, int(read_object(answer).get("end", 0))))
    if answer.status == 409 and read_object(answer).get("reason") in ("fenced", "seq"):
        return Ok(AppendResult(False, True, 0))
    if answer.status == 412:
        return Ok(AppendResult(False, False, int(read_object(answer).get("end", 0))))
    return Err(_judge(answer, "store.append"))


def _decode_slice(answer: HttpResponse, offset: int) -> Result[Slice, CallError]:
    if answer.status == GONE:
        return Ok(Slice([], offset, 0, dropped=True))
    if answer.status != 200 or len(answer.body) < HEADER.size:
        return Err(_judge(answer, "store.read"))
    end, first = HEADER.unpack_from(answer.body)
    if first > offset:
        return Ok(Slice([], offset, end, dropped=True))
    raw = _split(answer.body)
    records = [record for data in raw if (record := _unpack_record(data))]
    return Ok(Slice(records, offset + len(raw), end))


def _split(body: bytes) -> list[bytes]:
    raw = []
    place = HEADER.size
    while place + LENGTH.size <= len(body):
        (size,) = LENGTH.unpack_from(body, place)
        place += LENGTH.size
        if place + size > len(body):
            break
        raw.append(body[place : place + size])
        place += size
    return raw


def _decode_page(answer: HttpResponse) -> Result[Page, CallError]:
    if answer.status != 200:
        return Err(_judge(answer, "store.newest"))
    data = read_object(answer)
    try:
        items = data["items"]
        records = [Record(item["key"], _decode_value(item)) for item in items]
        last_key = items[-1]["key"] if items else ""
        return Ok(Page(records, last_key, bool(data.get("hasMore")), int(data["end"])))
    except (ValueError, TypeError, KeyError) as error:
        detail = f"{error!r}"
        return Err(CallError(ErrorKind.MALFORMED, "store.newest", "store", detail))


def _decode_value(item: dict[str, Any]) -> bytes:
    return base64.b64decode(item.get("value") or "")


def _decode_membership(answer: HttpResponse) -> Result[Membership, CallError]:
    if answer.status != 200:
        return Err(_judge(answer, "store.join"))
    data = read_object(answer)
    try:
        rows = frozenset(Assignment(row[0], int(row[1])) for row in data["parts"])
        return Ok(Membership(int(data["generation"]), rows))
    except (ValueError, TypeError, KeyError, IndexError) as error:
        detail = f"{error!r}"
        return Err(CallError(ErrorKind.MALFORMED, "store.join", "store", detail))


def _decode_holdings(answer: HttpResponse) -> Result[list[PartitionOwner], CallError]:
    if answer.status != 200:
        return Err(_judge(answer, "store.owners"))
    try:
        # The fourth column is a committed offset, which nothing here uses.
        rows = read_object(answer)["parts"]
        holdings = [
            PartitionOwner(str(row[0]), int(row[1]), str(row[2] or "")) for row in rows
        ]
        return Ok(holdings)
    except (ValueError, TypeError, KeyError, IndexError) as error:
        detail = f"{error!r}"
        return Err(CallError(ErrorKind.MALFORMED, "store.owners", "store", detail))


def _expect_ok(answer: HttpResponse) -> Result[None, CallError]:
    return Ok(None) if answer.status == 200 else Err(_judge(answer, "store.leave"))


def _judge(answer: HttpResponse, step: str) -> CallError:
    refused = 400 <= answer.status < 500 or answer.status == 503
    kind = ErrorKind.REFUSED if refused else ErrorKind.LOST
    text = answer.body[:200].decode(errors="replace")
    return CallError(kind, step, "store", f"status {answer.status} {text}".strip())
