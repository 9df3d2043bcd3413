"""JSON codec of the messages between instances, with checks.

A message is one JSON object with its version, its type and its fields. Decoding
checks each field against the message's annotations and names the first that is
wrong. Fields that are not known are ignored, so that two versions run side by side.
"""

import json
import math
from types import UnionType
from typing import Any, TypeVar, get_args, get_origin, get_type_hints

from result import Err, Ok, Result

from plantainyard.errors import CallError, ErrorKind
from plantainyard.protocol.constants import PROTOCOL_VERSION
from plantainyard.protocol.messages import Message

__all__ = ["decode_message", "encode_message"]

_STEP = "protocol.decode"
_TYPES: dict[str, Any] = {kind.__name__: kind for kind in get_args(Message)}
_HINTS: dict[Any, dict[str, Any]] = {}
_M = TypeVar("_M")


def encode_message(message: Message) -> bytes:
    """Return `message` as a JSON object in UTF-8, without fields at their default."""
    fields = _flatten(message)
    envelope = {"version": PROTOCOL_VERSION, "type": type(message).__name__}
    return json.dumps({**envelope, **fields}, separators=(",", ":")).encode()


def decode_message(body: bytes, expected: type[_M], peer: str) -> Result[_M, CallError]:
    """Return the message in `body`.

    Parameters
    ----------
    body : bytes
        What the peer sent.
    expected : type
        The message's type; another type is an error.
    peer : str
        The sender, named in the error.

    Returns
    -------
    Result
        The message, or a `CallError` of kind ``MALFORMED`` that names the field.

    Examples
    --------
    >>> decode_message(b"{}", Message, "p").unwrap_err().detail
    'version: 1 expected, not None'
    """
    try:
        data = json.loads(body)
    except (ValueError, RecursionError):
        return _refuse(peer, "body: not JSON")
    if not isinstance(data, dict):
        return _refuse(peer, "body: not an object")
    if data.get("version") != PROTOCOL_VERSION:
        detail = f"version: {PROTOCOL_VERSION} expected, not {data.get('version')!r}"
        return _refuse(peer, detail)
    if _TYPES.get(str(data.get("type"))) is not expected:
        detail = f"type: {expected.__name__} expected, not {data.get('type')!r}"
        return _refuse(peer, detail)
    try:
        return Ok(_read_tuple(data, expected, ""))
    except _FieldError as error:
        return _refuse(peer, str(error))


class _FieldError(ValueError):
    """A field that is missing or of a wrong type."""


def _refuse(peer: str, detail: str) -> Err[CallError]:
    return Err(CallError(ErrorKind.MALFORMED, _STEP, peer, detail))


def _flatten(value: Any) -> Any:
    if hasattr(value, "_asdict"):
        defaults = value._field_defaults
        return {
            name: _flatten(item)
            for name, item in value._asdict().items()
            if name not in defaults or defaults[name] != item
        }
    if isinstance(value, dict):
        return {key: _flatten(item) for key, item in value.items()}
    if isinstance(value, tuple | list):
        return [_flatten(item) for item in value]
    return value


def _read_tuple(data: Any, kind: Any, path: str) -> Any:
    if not isinstance(data, dict):
        raise _FieldError(f"{path or 'body'}: not an object")
    if kind not in _HINTS:
        _HINTS[kind] = get_type_hints(kind)
    missing = [
        name
        for name in kind._fields
        if name not in data and name not in kind._field_defaults
    ]
    if missing:
        raise _FieldError(f"{path}{missing[0]}: missing")
    fields = {
        name: _read_value(data[name], hint, f"{path}{name}")
        for name, hint in _HINTS[kind].items()
        if name in data
    }
    return kind(**fields)


def _read_value(value: Any, hint: Any, path: str) -> Any:
    if hint is Any:
        return value
    origin = get_origin(hint) or hint
    arguments = get_args(hint)
    if origin is UnionType:
        return None if value is None else _read_value(value, arguments[0], path)
    if origin is dict:
        if not isinstance(value, dict):
            raise _FieldError(f"{path}: not an object")
        inner = arguments[1]
        return {k: _read_value(v, inner, f"{path}.{k}") for k, v in value.items()}
    if origin is tuple:
        if not isinstance(value, list):
            raise _FieldError(f"{path}: not an array")
        inner = arguments[0]
        items = enumerate(value)
        return tuple(_read_value(v, inner, f"{path}[{n}]") for n, v in items)
    if hasattr(origin, "_fields"):
        return _read_tuple(value, origin, f"{path}.")
    return _read_plain(value, origin, path)


def _read_plain(value: Any, kind: Any, path: str) -> Any:
    if kind is float and isinstance(value, int) and not isinstance(value, bool):
        value = float(value)
    # In Python a bool is an int: without the exact comparison `true` passes as 1.
    if type(value) is not kind:
        raise _FieldError(f"{path}: {kind.__name__} expected")
    if kind is float and not math.isfinite(value):
        raise _FieldError(f"{path}: not finite")
    if kind is int and value < -1:
        raise _FieldError(f"{path}: negative")
    return value
