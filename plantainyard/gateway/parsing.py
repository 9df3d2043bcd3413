"""Parsing and checking of requests from callers and from peers."""

import base64
import binascii
import itertools
import time
import uuid
from collections.abc import Mapping
from typing import Any, NamedTuple

import xxhash
from result import Err, Ok, Result

from plantainyard.clock import read_clock
from plantainyard.protocol import (
    DEADLINE_HEADER,
    FORWARD_PATH,
    IDEMPOTENT_HEADER,
    MAX_HOPS,
    REQUEST_ID_HEADER,
    TEAM_HEADER,
    URGENT_HEADER,
    ForwardAsk,
)
from plantainyard.routing import Request
from plantainyard.settings import Settings

__all__ = [
    "IncomingRequest",
    "build_request_id",
    "may_refuse",
    "parse_caller_request",
    "parse_forward_request",
]

_MAX_LENGTH = 200
"""Largest number of characters in a request id or a team name."""

_MS_PER_S = 1000.0
_BOOLEANS = {"true": True, "1": True, "false": False, "0": False, "": False}
_UUID_VERSION = 7
_VARIANT = 2

_key_numbers = itertools.count(1)


class IncomingRequest(NamedTuple):
    """A request with its body; routing uses only `request`."""

    request: Request
    body: bytes
    content_type: str


def parse_caller_request(
    environ: Mapping[str, Any], service: str, body: bytes, settings: Settings
) -> Result[IncomingRequest, str]:
    """Return the request of a caller, or a description of what is wrong with it.

    Parameters
    ----------
    environ : mapping
        The WSGI environment.
    service : str
        Name of the service, from the path.
    body : bytes
        The complete body.
    settings : Settings
        Gives the default deadline and the longest one.
    """
    idempotent = _BOOLEANS.get(_read_header(environ, IDEMPOTENT_HEADER).lower())
    if idempotent is None:
        return Err(f"{IDEMPOTENT_HEADER}: expected true or false")
    urgent = _BOOLEANS.get(_read_header(environ, URGENT_HEADER).lower())
    if urgent is None:
        return Err(f"{URGENT_HEADER}: expected true or false")
    max_deadline_ms = int(settings.requests.request_max_s * _MS_PER_S)
    deadline_ms = _read_header(environ, DEADLINE_HEADER) or str(
        settings.requests.default_deadline_ms
    )
    if not (
        deadline_ms.isascii()
        and deadline_ms.isdecimal()
        and 0 < int(deadline_ms[:12]) <= max_deadline_ms
    ):
        return Err(
            f"{DEADLINE_HEADER}: expected an integer from 1 to {max_deadline_ms}"
        )
    request_id = _read_header(environ, REQUEST_ID_HEADER)
    if not request_id and not idempotent:
        return Err(f"{REQUEST_ID_HEADER}: required unless {IDEMPOTENT_HEADER} is true")
    request_id = request_id or build_request_id(time.time())
    if error := _find_id_error(request_id):
        return Err(f"{REQUEST_ID_HEADER}: {error}")
    team = _read_header(environ, TEAM_HEADER)
    if len(team) > _MAX_LENGTH:
        return Err(f"{TEAM_HEADER}: longer than {_MAX_LENGTH} characters")
    request = Request(
        _make_key(),
        request_id,
        service,
        team,
        read_clock() + int(deadline_ms) / _MS_PER_S,
        urgent,
        idempotent,
        len(body),
        digest=_compute_digest(service, body),
    )
    content_type = environ.get("CONTENT_TYPE") or "application/octet-stream"
    return Ok(IncomingRequest(request, body, content_type))


def may_refuse(path: str, headers: Mapping[str, str]) -> bool:
    """Return whether a request may be refused that wasn't looked at.

    Notes
    -----
    Guards against a request that is reported as not run, although an earlier one with
    its id has run. A gateway that forwards takes a refusal for that of the forward.
    """
    name = IDEMPOTENT_HEADER.upper().replace("-", "_")
    is_idempotent = _BOOLEANS.get(headers.get(name, "").strip().lower())
    return path == FORWARD_PATH or bool(is_idempotent)


def parse_forward_request(message: ForwardAsk) -> Result[IncomingRequest, str]:
    """Return the request in a peer's message, or a description of what is wrong."""
    try:
        body = base64.b64decode(message.body, validate=True)
    except (ValueError, binascii.Error):
        return Err("body: not base64")
    if message.hops > MAX_HOPS:
        return Err(f"hops: more than {MAX_HOPS}")
    if error := _find_id_error(message.request_id):
        return Err(f"request_id: {error}")
    request = Request(
        _make_key(),
        message.request_id,
        message.service,
        message.team,
        read_clock() + message.remaining_s,
        message.urgent,
        message.idempotent,
        len(body),
        message.hops,
        _compute_digest(message.service, body),
        message.judged,
    )
    return Ok(IncomingRequest(request, body, message.content_type))


def build_request_id(wall_s: float) -> str:
    """Return a new UUIDv7 for the wall-clock time `wall_s`.

    References
    ----------
    RFC 9562, section 5.7.
    """
    rand_b = uuid.uuid4().int & ((1 << 62) - 1)
    rand_a = uuid.uuid4().int & 0xFFF
    high_bits = int(wall_s * _MS_PER_S) << 80 | _UUID_VERSION << 76 | rand_a << 64
    return str(uuid.UUID(int=high_bits | _VARIANT << 62 | rand_b))


def _read_header(environ: Mapping[str, Any], header: str) -> str:
    value: str = environ.get("HTTP_" + header.upper().replace("-", "_"), "")
    return value.strip()


def _find_id_error(request_id: str) -> str:
    if len(request_id) > _MAX_LENGTH:
        return f"longer than {_MAX_LENGTH} characters"
    if not (request_id.isascii() and request_id.isprintable()) or not request_id:
        return "expected printable ASCII characters"
    return ""


def _make_key() -> str:
    return str(next(_key_numbers))


def _compute_digest(service: str, body: bytes) -> int:
    return xxhash.xxh64_intdigest(body, xxhash.xxh32_intdigest(service.encode()))
