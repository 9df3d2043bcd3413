"""Reading of callers' and peers' requests, with checks that name the fault."""

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
    "parse_caller_request",
    "parse_forward_request",
]

_ID_LENGTH = 200
_MS_PER_S = 1000.0
_FLAGS = {"true": True, "1": True, "false": False, "0": False, "": False}
_UUID_VERSION = 7
_VARIANT = 2

_key_numbers = itertools.count(1)


class IncomingRequest(NamedTuple):
    """A request as decisions need it, and its body."""

    request: Request
    body: bytes
    content_type: str


def parse_caller_request(
    environ: Mapping[str, Any], service: str, body: bytes, settings: Settings
) -> Result[IncomingRequest, str]:
    """Return the request in a caller's call, or what is wrong with it.

    Parameters
    ----------
    environ : mapping
        The WSGI environment.
    service : str
        From the path.
    body : bytes
        The whole body.
    settings : Settings
        For the deadline of a request that names none, and the longest.
    """
    idempotent = _FLAGS.get(_read_header(environ, IDEMPOTENT_HEADER).lower())
    if idempotent is None:
        return Err(f"{IDEMPOTENT_HEADER}: expected true or false")
    urgent = _FLAGS.get(_read_header(environ, URGENT_HEADER).lower())
    if urgent is None:
        return Err(f"{URGENT_HEADER}: expected true or false")
    longest = int(settings.requests.request_max_s * _MS_PER_S)
    text = _read_header(environ, DEADLINE_HEADER) or str(
        settings.requests.default_deadline_ms
    )
    if not (text.isascii() and text.isdecimal() and 0 < int(text[:12]) <= longest):
        return Err(f"{DEADLINE_HEADER}: expected an integer from 1 to {longest}")
    request_id = _read_header(environ, REQUEST_ID_HEADER)
    if not request_id and not idempotent:
        return Err(f"{REQUEST_ID_HEADER}: required unless {IDEMPOTENT_HEADER} is true")
    request_id = request_id or build_request_id(time.time())
    if fault := _find_id_error(request_id):
        return Err(f"{REQUEST_ID_HEADER}: {fault}")
    team = _read_header(environ, TEAM_HEADER)
    if len(team) > _ID_LENGTH:
        return Err(f"{TEAM_HEADER}: longer than {_ID_LENGTH} characters")
    request = Request(
        _make_key(),
        request_id,
        service,
        team,
        read_clock() + int(text) / _MS_PER_S,
        urgent,
        idempotent,
        len(body),
        digest=_compute_digest(service, body),
    )
    content_type = environ.get("CONTENT_TYPE") or "application/octet-stream"
    return Ok(IncomingRequest(request, body, content_type))


def parse_forward_request(ask: ForwardAsk) -> Result[IncomingRequest, str]:
    """Return the request in a peer's message, or what is wrong with it."""
    try:
        body = base64.b64decode(ask.body, validate=True)
    except (ValueError, binascii.Error):
        return Err("body: not base64")
    if ask.hops > MAX_HOPS:
        return Err(f"hops: more than {MAX_HOPS}")
    if fault := _find_id_error(ask.request_id):
        return Err(f"request_id: {fault}")
    request = Request(
        _make_key(),
        ask.request_id,
        ask.service,
        ask.team,
        read_clock() + ask.remaining_s,
        ask.urgent,
        ask.idempotent,
        len(body),
        ask.hops,
        _compute_digest(ask.service, body),
        ask.judged,
    )
    return Ok(IncomingRequest(request, body, ask.content_type))


def build_request_id(wall_s: float) -> str:
    """Return a new UUIDv7 issued at `wall_s`.

    References
    ----------
    RFC 9562, section 5.7.
    """
    bits = uuid.uuid4().int & ((1 << 62) - 1)
    filler = uuid.uuid4().int & 0xFFF
    value = int(wall_s * _MS_PER_S) << 80 | _UUID_VERSION << 76 | filler << 64
    return str(uuid.UUID(int=value | _VARIANT << 62 | bits))


def _read_header(environ: Mapping[str, Any], header: str) -> str:
    value: str = environ.get("HTTP_" + header.upper().replace("-", "_"), "")
    return value.strip()


def _find_id_error(request_id: str) -> str:
    if len(request_id) > _ID_LENGTH:
        return f"longer than {_ID_LENGTH} characters"
    if not (request_id.isascii() and request_id.isprintable()) or not request_id:
        return "expected printable ASCII characters"
    return ""


def _make_key() -> str:
    return str(next(_key_numbers))


def _compute_digest(service: str, body: bytes) -> int:
    return xxhash.xxh64_intdigest(body, xxhash.xxh32_intdigest(service.encode()))
