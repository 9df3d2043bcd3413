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

__all__ = ["Intake", "build_request_id", "read_caller", "read_forward"]

_ID_LENGTH = 200
_MS = 1000.0
_FLAGS = {"true": True, "1": True, "false": False, "0": False, "": False}
_UUID_VERSION = 7
_VARIANT = 2

_numbers = itertools.count(1)


class Intake(NamedTuple):
    """A request as decisions need it, and its body."""

    request: Request
    body: bytes
    content_type: str


def read_caller(
    environ: Mapping[str, Any], service: str, body: bytes, settings: Settings
) -> Result[Intake, str]:
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
    idempotent = _FLAGS.get(_get(environ, IDEMPOTENT_HEADER).lower())
    if idempotent is None:
        return Err(f"{IDEMPOTENT_HEADER}: expected true or false")
    urgent = _FLAGS.get(_get(environ, URGENT_HEADER).lower())
    if urgent is None:
        return Err(f"{URGENT_HEADER}: expected true or false")
    longest = int(settings.requests.request_max_s * _MS)
    text = _get(environ, DEADLINE_HEADER) or str(settings.requests.default_deadline_ms)
    if not (text.isascii() and text.isdecimal() and 0 < int(text[:12]) <= longest):
        return Err(f"{DEADLINE_HEADER}: expected an integer from 1 to {longest}")
    request_id = _get(environ, REQUEST_ID_HEADER)
    if not request_id and not idempotent:
        return Err(f"{REQUEST_ID_HEADER}: required unless {IDEMPOTENT_HEADER} is true")
    request_id = request_id or build_request_id(time.time())
    if fault := _find_id_fault(request_id):
        return Err(f"{REQUEST_ID_HEADER}: {fault}")
    team = _get(environ, TEAM_HEADER)
    if len(team) > _ID_LENGTH:
        return Err(f"{TEAM_HEADER}: longer than {_ID_LENGTH} characters")
    request = Request(
        _make_key(),
        request_id,
        service,
        team,
        read_clock() + int(text) / _MS,
        urgent,
        idempotent,
        len(body),
        digest=_hash_content(service, body),
    )
    content_type = environ.get("CONTENT_TYPE") or "application/octet-stream"
    return Ok(Intake(request, body, content_type))


def read_forward(ask: ForwardAsk) -> Result[Intake, str]:
    """Return the request in a peer's message, or what is wrong with it."""
    try:
        body = base64.b64decode(ask.body, validate=True)
    except (ValueError, binascii.Error):
        return Err("body: not base64")
    if ask.hops > MAX_HOPS:
        return Err(f"hops: more than {MAX_HOPS}")
    if fault := _find_id_fault(ask.request_id):
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
        _hash_content(ask.service, body),
        ask.judged,
    )
    return Ok(Intake(request, body, ask.content_type))


def build_request_id(wall_s: float) -> str:
    """Return a new UUIDv7 issued at `wall_s`.

    References
    ----------
    RFC 9562, section 5.7.
    """
    bits = uuid.uuid4().int & ((1 << 62) - 1)
    filler = uuid.uuid4().int & 0xFFF
    value = int(wall_s * _MS) << 80 | _UUID_VERSION << 76 | filler << 64
    return str(uuid.UUID(int=value | _VARIANT << 62 | bits))


def _get(environ: Mapping[str, Any], header: str) -> str:
    value: str = environ.get("HTTP_" + header.upper().replace("-", "_"), "")
    return value.strip()


def _find_id_fault(request_id: str) -> str:
    if len(request_id) > _ID_LENGTH:
        return f"longer than {_ID_LENGTH} characters"
    if not (request_id.isascii() and request_id.isprintable()) or not request_id:
        return "expected printable ASCII characters"
    return ""


def _make_key() -> str:
    return str(next(_numbers))


def _hash_content(service: str, body: bytes) -> int:
    return xxhash.xxh64_intdigest(body, xxhash.xxh32_intdigest(service.encode()))
