"""Reading of values of any type, and the one error that it may raise."""

import json
import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from plantainyard.decoding import (
    DecodeError,
    convert_errors,
    parse_decimal,
    parse_json,
    read_flag,
    read_integer,
    read_list,
    read_number,
    read_object,
    read_text,
    read_truncated,
)
from plantainyard.platform.tests.untrusted import DEEP, DEEP_OBJECT, VALUES

READERS = (
    read_flag,
    read_integer,
    read_list,
    read_number,
    read_object,
    read_text,
    read_truncated,
)


@given(st.binary() | VALUES.map(lambda v: json.dumps(v).encode()))
def test_any_bytes_are_a_value_or_one_error(data):
    # Guards against an exception that the caller of a decoder doesn't expect.
    try:
        parse_json(data)
    except DecodeError as error:
        assert str(error)


@pytest.mark.parametrize("data", [DEEP, DEEP_OBJECT, b"9" * 5000, b"NaN", b"\xff", b""])
def test_unusual_bytes_are_one_error(data):
    # Guards against an exception that the caller of a decoder doesn't expect.
    with pytest.raises(DecodeError):
        parse_json(data)


@given(VALUES)
def test_any_value_is_usable_or_one_error(value):
    # Guards against a value that can't be calculated with, encoded or stored.
    for read in READERS:
        try:
            found = read(value, "field")
        except DecodeError:
            continue
        if isinstance(found, str):
            found.encode()
        elif isinstance(found, int | float):
            assert math.isfinite(float(found) * 1e9)


@given(st.text())
def test_any_text_is_a_number_or_none(text):
    # Guards against digits of other scripts, which no number can be made of.
    found = parse_decimal(text)
    assert found is None or found == int(text)


@pytest.mark.parametrize("error", [KeyError("a"), OverflowError(), RecursionError()])
def test_unexpected_values_raise_one_error(error):
    # Guards against an exception that the caller of a decoder doesn't expect.
    with pytest.raises(DecodeError, match="entry"), convert_errors("entry"):
        raise error
