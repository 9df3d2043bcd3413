"""Client of the platform's append-only log.

`append_record` may fail with ``LOST``. The record may still be in the log then; only
reading the stream shows whether it is.
"""

from typing import Any, NamedTuple
from urllib.parse import quote

import urllib3
from result import Err, Ok, Result

from plantainyard.decoding import FAILURES, describe_failure
from plantainyard.errors import CallError, ErrorKind
from plantainyard.transport import DEFAULT_TIMEOUT_S, HttpPeer, build_peer, call_json

__all__ = [
    "LogClient",
    "LogPage",
    "LogRecord",
    "append_record",
    "build_log_client",
    "read_records",
]


class LogClient(NamedTuple):
    """A connection to the log service."""

    peer: HttpPeer


class LogRecord(NamedTuple):
    """A record of a stream.

    Attributes
    ----------
    offset : int
        Position in the stream.
    time_s : float
        Wall-clock time at which the log appended the record.
    data : dict
        Content of the record.
    """

    offset: int
    time_s: float
    data: dict[str, Any]


class LogPage(NamedTuple):
    """A page of consecutive records of a stream.

    Attributes
    ----------
    first : int
        Offset of the earliest record that the log still retains.
    next : int
        Offset that the next append will get.
    records : tuple of LogRecord
        Records read; empty if none was appended within the wait.
    """

    first: int
    next: int
    records: tuple[LogRecord, ...]


def build_log_client(
    address: str,
    pool: urllib3.PoolManager | None = None,
    timeout_s: float = DEFAULT_TIMEOUT_S,
) -> LogClient:
    """Return a client of the log at `address`."""
    return LogClient(build_peer(address, pool, timeout_s))


def append_record(
    client: LogClient, stream: str, record: dict[str, Any]
) -> Result[int, CallError]:
    """Append `record` to `stream` and return its offset."""
    step = "log.append"
    response = call_json(client.peer, step, "POST", _format_path(stream), record)
    if isinstance(response, Err):
        return response
    offset = response.ok_value.body.get("offset")
    if not isinstance(offset, int):
        # The record was appended at an unknown offset, as after a lost response.
        return Err(CallError(ErrorKind.LOST, step, client.peer.address, "no offset"))
    return Ok(offset)


def read_records(
    client: LogClient, stream: str, start: int, limit: int = 500, wait_s: float = 0.0
) -> Result[LogPage, CallError]:
    """Return up to `limit` records of `stream` from offset `start` on.

    Parameters
    ----------
    client : LogClient
        The log.
    stream : str
        Name of the stream; a stream without records reads as empty.
    start : int
        Offset of the first record to read. If the log no longer retains it, the page
        begins at `LogPage.first`.
    limit : int
        Maximum number of records.
    wait_s : float
        Longest time, in seconds, that the log waits for a first record.
    """
    step = "log.read"
    path = (
        f"{_format_path(stream)}?from={start}&limit={limit}"
        f"&wait_ms={int(wait_s * 1000)}"
    )
    timeout_s = client.peer.timeout_s + wait_s
    response = call_json(client.peer, step, "GET", path, timeout_s=timeout_s)
    if isinstance(response, Err):
        return response
    try:
        return Ok(_parse_page(response.ok_value.body))
    except FAILURES as error:
        detail = describe_failure(error)
        return Err(CallError(ErrorKind.MALFORMED, step, client.peer.address, detail))


def _format_path(stream: str) -> str:
    return f"/streams/{quote(stream, safe='')}/records"


def _parse_page(body: dict[str, Any]) -> LogPage:
    records = tuple(
        LogRecord(int(r["offset"]), float(r["time_s"]), dict(r["data"]))
        for r in body["records"]
    )
    return LogPage(int(body["first"]), int(body["next"]), records)
