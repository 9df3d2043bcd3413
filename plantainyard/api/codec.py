"""Strict decoding and encoding of the schema's messages as JSON or binary protobuf."""

import json
from collections import Counter
from collections.abc import Iterator
from typing import Any, NamedTuple, TypeVar

from google.protobuf import json_format
from google.protobuf.descriptor import FieldDescriptor
from google.protobuf.message import DecodeError, EncodeError, Message
from google.protobuf.message_factory import GetMessageClass
from google.protobuf.unknown_fields import UnknownFieldSet
from result import Err, Ok, Result

from plantainyard.api.errors import ApiError, ErrorCode

__all__ = [
    "BINARY",
    "JSON",
    "decode_message",
    "encode_message",
    "parse_content_type",
]

JSON = "application/json"
BINARY = "application/x-protobuf"
BINARY_NAMES = frozenset({BINARY, "application/protobuf"})
WELL_KNOWN_PACKAGE = "google.protobuf."
PARSE_ERRORS = (
    json_format.ParseError,
    ValueError,
    TypeError,
    AttributeError,
    OverflowError,
    RecursionError,
    # The library raises it in place of a RecursionError in its C code.
    SystemError,
    EncodeError,
)
"""Exceptions that the library raises for JSON values that a message can't hold."""

EXPECTED_TYPES = {
    FieldDescriptor.CPPTYPE_INT32: "an integer of 32 bits",
    FieldDescriptor.CPPTYPE_INT64: "an integer of 64 bits",
    FieldDescriptor.CPPTYPE_DOUBLE: "a number",
    FieldDescriptor.CPPTYPE_BOOL: "true or false",
    FieldDescriptor.CPPTYPE_STRING: "a string of valid Unicode",
    FieldDescriptor.CPPTYPE_MESSAGE: "an object",
}

MAX_QUOTED = 200
"""Maximum number of characters of a request that an error quotes."""

MessageT = TypeVar("MessageT", bound=Message)


class FieldError(NamedTuple):
    """A field that can't be decoded, and the reason."""

    path: str
    detail: str


def parse_content_type(header: str) -> str | None:
    """Return `JSON` or `BINARY` for a Content-Type header, or None for other types.

    Examples
    --------
    >>> parse_content_type("application/json; charset=utf-8")
    'application/json'
    """
    name = header.partition(";")[0].strip().lower()
    if name == JSON:
        return JSON
    return BINARY if name in BINARY_NAMES else None


def decode_message(
    message_class: type[MessageT], content_type: str, body: bytes
) -> Result[MessageT, ApiError]:
    """Return the message in `body`, or an error that names the invalid field.

    Parameters
    ----------
    message_class : type
        Generated class of the message.
    content_type : str
        `JSON` or `BINARY`.
    body : bytes
        The complete body.

    Notes
    -----
    Unknown fields are rejected in both encodings. The library would drop them
    silently, so a constraint from a newer tool would be lost and a task could be
    placed where it must not run.
    """
    if content_type == BINARY:
        return _decode_binary(message_class, body)
    return _decode_json(message_class, body)


def encode_message(message: Message, content_type: str) -> bytes:
    """Return `message` encoded as `content_type`; JSON includes every field."""
    if content_type == BINARY:
        return message.SerializeToString()
    data = json_format.MessageToDict(
        message,
        preserving_proto_field_name=True,
        always_print_fields_with_no_presence=True,
    )
    return json.dumps(data).encode()


def _decode_binary(
    message_class: type[MessageT], body: bytes
) -> Result[MessageT, ApiError]:
    message = message_class()
    try:
        message.ParseFromString(body)
    except DecodeError:
        detail = f"not a binary {message_class.DESCRIPTOR.name}"
        return Err(ApiError(ErrorCode.MALFORMED, detail))
    path = next(_iter_unknown(message, ""), None)
    if path is not None:
        return Err(ApiError(ErrorCode.MALFORMED, "unknown field", path))
    return Ok(message)


def _iter_unknown(message: Message, prefix: str) -> Iterator[str]:
    unknown = UnknownFieldSet(message)
    for i in range(len(unknown)):
        yield f"{prefix}{unknown[i].field_number}"
    for field, value in message.ListFields():
        if field.message_type is None or _is_map(field):
            continue
        nested = value if field.is_repeated else [value]
        for item in nested:
            yield from _iter_unknown(item, f"{prefix}{field.name}.")


def _decode_json(
    message_class: type[MessageT], body: bytes
) -> Result[MessageT, ApiError]:
    try:
        data = json.loads(body or b"{}", object_pairs_hook=_reject_duplicates)
    except (ValueError, RecursionError) as error:
        return Err(ApiError(ErrorCode.MALFORMED, f"not a JSON object: {error}"))
    if not isinstance(data, dict):
        return Err(ApiError(ErrorCode.MALFORMED, "not a JSON object"))
    message = message_class()
    try:
        json_format.ParseDict(data, message)
        message.SerializeToString()
    except PARSE_ERRORS as error:
        field_error = _find_field_error(data, message.DESCRIPTOR, "")
        cause = field_error or FieldError("", str(error).partition("\n")[0])
        return Err(ApiError(ErrorCode.MALFORMED, cause.detail, cause.path))
    return Ok(message)


def _reject_duplicates(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    data = dict(pairs)
    if len(data) != len(pairs):
        counts = Counter(name for name, _ in pairs)
        duplicate = next(name for name, count in counts.items() if count > 1)
        raise ValueError(f"the name {duplicate[:MAX_QUOTED]!r} stands twice")
    return data


def _find_field_error(
    data: dict[str, Any], message: Any, path: str
) -> FieldError | None:
    """Return the first field of `data` that `message` can't hold, or None.

    Notes
    -----
    The library's own error texts contain only part of the path and differ between
    versions.
    """
    names = {field.name: field for field in message.fields}
    names |= {field.json_name: field for field in message.fields}
    message_class = GetMessageClass(message)
    for name, value in data.items():
        if name not in names:
            known_names = ", ".join(field.name for field in message.fields)
            return FieldError(
                f"{path}{name}",
                f"unknown field; known are {known_names or 'none'}",
            )
        if error := _find_value_error(
            message_class, names[name], value, f"{path}{name}"
        ):
            return error
    return None


def _find_value_error(
    message_class: type[Message], field: FieldDescriptor, value: Any, path: str
) -> FieldError | None:
    nested = field.message_type if _is_plain_message(field) else None
    if nested is not None:
        if field.is_repeated and isinstance(value, list):
            items = [(f"{path}[{i}]", item) for i, item in enumerate(value)]
        else:
            items = [(path, value)]
        for item_path, item in items:
            if isinstance(item, dict) and (
                error := _find_field_error(item, nested, f"{item_path}.")
            ):
                return error
    whole_message = message_class()
    try:
        json_format.ParseDict({field.name: value}, whole_message)
        whole_message.SerializeToString()
    except PARSE_ERRORS:
        return FieldError(path, f"expected {_describe_expected(field)}")
    return None


def _describe_expected(field: FieldDescriptor) -> str:
    if field.message_type is not None and _is_map(field):
        value = field.message_type.fields_by_name["value"]
        return f"an object whose values are each {_describe_expected(value)}"
    if field.enum_type is not None:
        expected = f"one of {', '.join(value.name for value in field.enum_type.values)}"
    elif (
        field.message_type
        and field.message_type.full_name == f"{WELL_KNOWN_PACKAGE}Value"
    ):
        expected = "a JSON value"
    else:
        expected = EXPECTED_TYPES[field.cpp_type]
    return f"a list whose items are each {expected}" if field.is_repeated else expected


def _is_map(field: FieldDescriptor) -> bool:
    entry = field.message_type
    return entry is not None and entry.GetOptions().map_entry


def _is_plain_message(field: FieldDescriptor) -> bool:
    message = field.message_type
    return (
        message is not None
        and not _is_map(field)
        and not message.full_name.startswith(WELL_KNOWN_PACKAGE)
    )
