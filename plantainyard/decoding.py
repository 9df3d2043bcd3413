"""Strict reading of values that come from outside the process.

Whatever the bytes are, a decoder that reads them with these functions returns a typed
value or raises `DecodeError`. Numbers are finite and limited, so that they can be
calculated with, and texts can be encoded, so that they can be stored and sent on.
"""

import json
import tomllib
from collections.abc import Iterator
from contextlib import contextmanager
from types import UnionType
from typing import Any

__all__ = [
    "FAILURES",
    "MAX_INTEGER",
    "DecodeError",
    "check_containers",
    "convert_errors",
    "count_outside_texts",
    "describe_failure",
    "parse_decimal",
    "parse_json",
    "parse_toml",
    "read_flag",
    "read_integer",
    "read_integers",
    "read_list",
    "read_number",
    "read_object",
    "read_text",
    "read_truncated",
]

MAX_INTEGER = 2**53 - 1
"""Largest whole number that a floating-point number represents exactly, as do all its
predecessors."""

MAX_DETAIL = 200
"""Maximum number of characters that are quoted from an error."""

MAX_DIGITS = len(str(MAX_INTEGER))

FAILURES = (
    ValueError,
    TypeError,
    LookupError,
    AttributeError,
    ArithmeticError,
    RecursionError,
)
"""What the reading of a value of another form can raise. `RecursionError` is raised for
values that are nested too deep."""


class DecodeError(ValueError):
    """A value from outside the process that can't be read."""


@contextmanager
def convert_errors(what: str) -> Iterator[None]:
    """Raise `DecodeError` in place of each error that unusable values cause.

    Parameters
    ----------
    what : str
        What is being decoded, for the message.
    """
    try:
        yield
    except FAILURES as error:
        raise DecodeError(f"{what}: {describe_failure(error)}") from None


def describe_failure(error: BaseException) -> str:
    """Return a short description of an error, whatever value it quotes."""
    if isinstance(error, DecodeError):
        return str(error)
    return f"{type(error).__name__}: {error}"[:MAX_DETAIL]


def check_containers(data: bytes, maximum: int) -> None:
    """Raise `DecodeError` if JSON has more than `maximum` objects and arrays.

    Parameters
    ----------
    data : bytes
        The encoded JSON, before it is parsed.
    maximum : int
        Maximum number of objects and arrays.

    Notes
    -----
    Guards against small bodies that become large values: an empty list takes three
    bytes and its value 64.

    Examples
    --------
    >>> check_containers(b'["[[[[[[["]', 1)
    >>> check_containers(b"[[], {}]", 2)
    Traceback (most recent call last):
    plantainyard.decoding.DecodeError: more than 2 objects and lists
    """
    if data.count(b"{") + data.count(b"[") <= maximum:
        return
    if count_outside_texts(data, b"{[") > maximum:
        raise DecodeError(f"more than {maximum} objects and lists")


def count_outside_texts(data: bytes, characters: bytes) -> int:
    r"""Return how often any of `characters` stands in JSON outside of its texts.

    Examples
    --------
    >>> count_outside_texts(rb'{"a{":"\"{"}', b"{")
    1
    """
    others = bytes(set(range(256)) - set(b'"' + characters))
    unescaped = data.replace(rb"\\", b"").replace(rb"\"", b"")
    outside = unescaped.translate(None, others).split(b'"')[::2]
    return sum(map(len, outside))


def _reject_constant(name: str) -> Any:
    raise DecodeError(f"{name} isn't a number")


_decoder = json.JSONDecoder(parse_constant=_reject_constant)


def parse_json(data: bytes) -> Any:
    """Return the value that UTF-8 encoded JSON describes.

    Examples
    --------
    >>> parse_json(b'{"run": 2}')
    {'run': 2}
    >>> parse_json(b"[" * 100_000)
    Traceback (most recent call last):
    plantainyard.decoding.DecodeError: nested too deep
    """
    try:
        return _decoder.decode(data.decode())
    except RecursionError:
        raise DecodeError("nested too deep") from None
    except (json.JSONDecodeError, UnicodeDecodeError) as error:
        raise DecodeError(describe_failure(error)) from None
    except ValueError as error:
        # The only other one is about a whole number of thousands of digits.
        is_known = isinstance(error, DecodeError)
        raise DecodeError(str(error) if is_known else "a number is too long") from None


def parse_toml(text: str) -> dict[str, Any]:
    """Return the tables that a text in TOML describes.

    Examples
    --------
    >>> parse_toml("a = " + "[" * 100_000)
    Traceback (most recent call last):
    plantainyard.decoding.DecodeError: nested too deep
    """
    try:
        return tomllib.loads(text)
    except RecursionError:
        raise DecodeError("nested too deep") from None
    except ValueError as error:
        is_known = isinstance(error, tomllib.TOMLDecodeError)
        raise DecodeError(str(error) if is_known else "a number is too long") from None


def read_object(value: Any, name: str) -> dict[str, Any]:
    """Return `value` if it is a JSON object."""
    return _expect(value, name, dict, "an object")


def read_list(value: Any, name: str) -> list[Any]:
    """Return `value` as a list if it is a JSON array, or a tuple encoded as one."""
    return list(_expect(value, name, list | tuple, "a list"))


def read_flag(value: Any, name: str) -> bool:
    """Return `value` if it is a truth value."""
    return _expect(value, name, bool, "true or false")


def read_text(value: Any, name: str, max_length: int | None = None) -> str:
    r"""Return `value` if it is a text that can be encoded.

    Examples
    --------
    >>> read_text("\ud800", "zone")
    Traceback (most recent call last):
    plantainyard.decoding.DecodeError: zone is a text that can't be encoded
    """
    if not isinstance(value, str):
        raise _build_type_error(value, name, "a text")
    if max_length is not None and len(value) > max_length:
        raise DecodeError(f"{name} is longer than {max_length} characters")
    if not value.isascii():
        try:
            value.encode()
        except UnicodeEncodeError:
            raise DecodeError(f"{name} is a text that can't be encoded") from None
    return value


def read_integer(value: Any, name: str, low: int = 0, high: int = MAX_INTEGER) -> int:
    """Return `value` if it is a whole number from `low` to `high`.

    Examples
    --------
    >>> read_integer(10**400, "count")
    Traceback (most recent call last):
    plantainyard.decoding.DecodeError: count is not from 0 to 9007199254740991
    """
    if type(value) is not int:
        raise _build_type_error(value, name, "a whole number")
    if not low <= value <= high:
        raise _build_range_error(name, low, high)
    return value


def read_integers(value: Any, name: str) -> list[int]:
    """Return `value` if it is a JSON array of whole numbers from 0 to `MAX_INTEGER`.

    Examples
    --------
    >>> read_integers([3, True], "after")
    Traceback (most recent call last):
    plantainyard.decoding.DecodeError: after is not a whole number but of type bool
    """
    items = read_list(value, name)
    # A call for each item takes ten times as long, and there may be 130,000.
    if not set(map(type, items)) <= {int}:
        wrong = next(item for item in items if type(item) is not int)
        raise _build_type_error(wrong, name, "a whole number")
    if items and not (min(items) >= 0 and max(items) <= MAX_INTEGER):
        raise _build_range_error(name, 0, MAX_INTEGER)
    return items


def read_number(
    value: Any, name: str, low: float = -MAX_INTEGER, high: float = MAX_INTEGER
) -> float:
    """Return `value` as a float if it is a finite number from `low` to `high`."""
    if type(value) is not int and type(value) is not float:
        raise _build_type_error(value, name, "a number")
    # The comparison is false for NaN, too.
    if not low <= value <= high:
        raise _build_range_error(name, low, high)
    return float(value)


def read_truncated(value: Any, name: str, low: int = 0, high: int = MAX_INTEGER) -> int:
    """Return `value` without its fraction if it is a number from `low` to `high`."""
    return int(read_number(value, name, low, high))


def parse_decimal(text: str) -> int | None:
    r"""Return the number that a text of ASCII digits names, or None.

    Examples
    --------
    >>> parse_decimal("17"), parse_decimal("\u00b2"), parse_decimal("9" * 5000)
    (17, None, None)
    """
    is_number = text.isascii() and text.isdigit() and len(text) <= MAX_DIGITS
    return int(text) if is_number else None


def _build_range_error(name: str, low: float, high: float) -> DecodeError:
    return DecodeError(f"{name} is not from {low} to {high}")


def _expect(value: Any, name: str, kind: type | UnionType, noun: str) -> Any:
    if not isinstance(value, kind):
        raise _build_type_error(value, name, noun)
    return value


def _build_type_error(value: Any, name: str, noun: str) -> DecodeError:
    return DecodeError(f"{name} is not {noun} but of type {type(value).__name__}")
