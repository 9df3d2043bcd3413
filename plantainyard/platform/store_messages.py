"""What is said to the store and what it answers: records, appends, pages and groups."""

import base64
import struct
from collections.abc import Sequence
from typing import Any, NamedTuple

from result import Err, Ok, Result

from plantainyard.decoding import (
    FAILURES,
    DecodeError,
    describe_failure,
    read_integer,
    read_list,
    read_text,
)
from plantainyard.errors import CallError, ErrorKind
from plantainyard.platform.bodies import read_object
from plantainyard.transport import HttpResponse

__all__ = [
    "Append",
    "AppendResult",
    "Assignment",
    "Membership",
    "Page",
    "PartitionOwner",
    "Record",
    "Slice",
    "decode_append_result",
    "decode_departure",
    "decode_membership",
    "decode_page",
    "decode_partition_owners",
    "decode_slice",
    "pack_record",
]

HEADER = struct.Struct(">QQ")


LENGTH = struct.Struct(">I")


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


def pack_record(record: Record) -> bytes:
    """Return a record in the form in which the store takes it."""
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


def decode_append_result(response: HttpResponse) -> Result[AppendResult, CallError]:
    """Return the result of an append, or the error that the response stands for."""
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


def decode_slice(response: HttpResponse, offset: int) -> Result[Slice, CallError]:
    """Return the records that follow `offset`, without those that can't be decoded."""
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


def decode_page(response: HttpResponse, after: str = "") -> Result[Page, CallError]:
    """Return the newest records of a range of keys, without unreadable ones.

    Parameters
    ----------
    response : HttpResponse
        The store's response.
    after : str
        The key after which the page starts.

    Notes
    -----
    Guards against a topic that can't be read as long as one record is there: the next
    page starts after the last key that can be read. Guards against a reader that
    repeats the same call without a pause: a page after which no other can start is an
    error.
    """
    if response.status != 200:
        return Err(_classify_error(response, "store.newest"))
    data = read_object(response)
    try:
        items = read_list(data["items"], "items")
        records = [record for item in items if (record := _decode_item(item))]
        keys = (_read_key(item) for item in reversed(items))
        last_key = next((key for key in keys if key), "")
        more = bool(data.get("hasMore"))
        if more and last_key in ("", after):
            raise DecodeError("names no key after which the next page starts")
        return Ok(Page(records, last_key, more, read_integer(data["end"], "end")))
    except FAILURES as error:
        return Err(_describe_malformed(error, "store.newest"))


def _read_key(item: Any) -> str:
    """Return the key of an item, or an empty text if it can't be read."""
    try:
        return read_text(item["key"], "key")
    except FAILURES:
        return ""


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


def decode_membership(response: HttpResponse) -> Result[Membership, CallError]:
    """Return the member's partitions from the answer to a join."""
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


def decode_partition_owners(
    response: HttpResponse,
) -> Result[list[PartitionOwner], CallError]:
    """Return the owner of each partition of a group."""
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


def decode_departure(response: HttpResponse) -> Result[None, CallError]:
    """Return nothing if the store has taken note that a member left its group."""
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
