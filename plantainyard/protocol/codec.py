"""JSON codec of the messages between instances, with validation.

A message is a JSON object with its version, its type and its fields. Decoding checks
each field against the message's annotations and reports the first invalid one. Unknown
fields are ignored, so that instances of two versions can run side by side.
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

_DECODE_STEP = "protocol.decode"
_MESSAGE_TYPES: dict[str, Any] = {type_.__name__: type_ for type_ in get_args(Message)}
_TYPE_HINTS: dict[Any, dict[str, Any]] = {}
_M = TypeVar("_M")

MAX_QUOTED = 200
"""Maximum number of characters of a message that an error quotes."""


def encode_message(message: Message) -> bytes:
    """Return `message` as JSON in UTF-8, without fields that have their default."""
    fields = _convert_to_json(message)
    envelope = {"version": PROTOCOL_VERSION, "type": type(message).__name__}
    return json.dumps({**envelope, **fields}, separators=(",", ":")).encode()


def decode_message(body: bytes, expected: type[_M], peer: str) -> Result[_M, CallError]:
    """Return the message in `body`.

    Parameters
    ----------
    body : bytes
        Body received from the peer.
    expected : type
        Expected type of the message; any other type is an error.
    peer : str
        The sender, for the error.

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
        return _build_error(peer, "body: not JSON")
    if not isinstance(data, dict):
        return _build_error(peer, "body: not an object")
    if data.get("version") != PROTOCOL_VERSION:
        detail = (
            f"version: {PROTOCOL_VERSION} expected, not {_quote(data.get('version'))}"
        )
        return _build_error(peer, detail)
    kind = data.get("type")
    if not isinstance(kind, str) or _MESSAGE_TYPES.get(kind) is not expected:
        detail = f"type: {expected.__name__} expected, not {_quote(data.get('type'))}"
        return _build_error(peer, detail)
    try:
        return Ok(_decode_tuple(data, expected, ""))
    except _FieldError as error:
        return _build_error(peer, str(error))


class _FieldError(ValueError):
    """Raised for a field that is missing or has an invalid value."""


def _quote(value: Any) -> str:
    """Return a short form of a value in a message, however long it is.

    Notes
    -----
    Guards against answers of several megabytes to messages that are lists of lists.
    """
    if isinstance(value, str | int | float | None):
        return f"{value!r}"[:MAX_QUOTED]
    return f"of type {type(value).__name__}"


def _build_error(peer: str, detail: str) -> Err[CallError]:
    return Err(CallError(ErrorKind.MALFORMED, _DECODE_STEP, peer, detail))


def _convert_to_json(value: Any) -> Any:
    if hasattr(value, "_asdict"):
        defaults = value._field_defaults
        return {
            name: _convert_to_json(item)
            for name, item in value._asdict().items()
            if name not in defaults or defaults[name] != item
        }
    if isinstance(value, dict):
        return {key: _convert_to_json(item) for key, item in value.items()}
    if isinstance(value, tuple | list):
        return [_convert_to_json(item) for item in value]
    return value


def _decode_tuple(data: Any, type_: Any, path: str) -> Any:
    if not isinstance(data, dict):
        raise _FieldError(f"{path or 'body'}: not an object")
    if type_ not in _TYPE_HINTS:
        _TYPE_HINTS[type_] = get_type_hints(type_)
    missing = [
        name
        for name in type_._fields
        if name not in data and name not in type_._field_defaults
    ]
    if missing:
        raise _FieldError(f"{path}{missing[0]}: missing")
    fields = {
        name: _decode_value(data[name], hint, f"{path}{name}")
        for name, hint in _TYPE_HINTS[type_].items()
        if name in data
    }
    return type_(**fields)


def _decode_value(value: Any, hint: Any, path: str) -> Any:
    if hint is Any:
        return value
    origin = get_origin(hint) or hint
    arguments = get_args(hint)
    if origin is UnionType:
        return None if value is None else _decode_value(value, arguments[0], path)
    if origin is dict:
        if not isinstance(value, dict):
            raise _FieldError(f"{path}: not an object")
        item_hint = arguments[1]
        return {k: _decode_value(v, item_hint, f"{path}.{k}") for k, v in value.items()}
    if origin is tuple:
        if not isinstance(value, list):
            raise _FieldError(f"{path}: not an array")
        item_hint = arguments[0]
        items = enumerate(value)
        return tuple(_decode_value(v, item_hint, f"{path}[{i}]") for i, v in items)
    if hasattr(origin, "_fields"):
        return _decode_tuple(value, origin, f"{path}.")
    return _decode_scalar(value, origin, path)


def _decode_scalar(value: Any, type_: Any, path: str) -> Any:
    if type_ is float and isinstance(value, int) and not isinstance(value, bool):
        try:
            value = float(value)
        except OverflowError:
            raise _FieldError(f"{path}: not finite") from None
    # In Python bool is a subclass of int; an isinstance check would accept `true` as 1.
    if type(value) is not type_:
        raise _FieldError(f"{path}: {type_.__name__} expected")
    if type_ is float and not math.isfinite(value):
        raise _FieldError(f"{path}: not finite")
    if type_ is int and value < -1:
        raise _FieldError(f"{path}: negative")
    return value
