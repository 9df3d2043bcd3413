"""Runners' entries that other writers have stored, of any content."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from plantainyard.platform.entries import RunnerEntry, decode_entry
from plantainyard.platform.tests.test_decoding import ENTRY
from plantainyard.platform.tests.untrusted import (
    DEEP,
    UNENCODABLE,
    VALUES,
    WRONG_NUMBERS,
)


@pytest.mark.parametrize("field", ["service", "address", "zone", "state", "machine"])
@pytest.mark.parametrize("value", [["ready"], {"a": 1}, 7, True, None, UNENCODABLE])
def test_a_text_field_of_another_type_names_no_runner(field, value):
    # Guards against owners that fail when they read such an entry, so that nothing
    # starts any more.
    data = json.dumps(ENTRY | {field: value}).encode()
    assert decode_entry("r1", data) is None


@pytest.mark.parametrize("field", ["born", "clockMs", "coldLeftMs", "remainingMs"])
@pytest.mark.parametrize("number", WRONG_NUMBERS)
def test_a_number_out_of_range_names_no_runner(field, number):
    # Guards against numbers with which an owner can't calculate.
    text = json.dumps(ENTRY | {field: "NUMBER"}).replace('"NUMBER"', number)
    assert decode_entry("r1", text.encode()) is None


@pytest.mark.parametrize("number", WRONG_NUMBERS)
def test_a_capacity_out_of_range_names_no_runner(number):
    # Guards against numbers with which an owner can't calculate.
    for field in ("cpu", "memMb", "gpu"):
        text = json.dumps(ENTRY | {"capacity": {field: "NUMBER"}})
        data = text.replace('"NUMBER"', number).encode()
        assert decode_entry("r1", data) is None


def test_an_entry_that_is_nested_too_deep_names_no_runner():
    # Guards against owners that fail when they read such an entry.
    assert decode_entry("r1", DEEP) is None


@pytest.mark.parametrize(
    "address", ["10.0.0.1:²", "10.0.0.1:0", "10.0.0.1:65536", "host:80", ":80", "::1"]
)
def test_an_address_to_which_nothing_can_connect_names_no_runner(address):
    # Guards against calls that fail where a connection is opened.
    assert decode_entry("r1", json.dumps(ENTRY | {"address": address}).encode()) is None


@pytest.mark.parametrize("runner", ["", "a\r\nb", "ä", UNENCODABLE, "a" * 256, " a"])
def test_an_id_that_no_header_can_carry_names_no_runner(runner):
    # Guards against calls that fail where their request is built.
    assert decode_entry(runner, json.dumps(ENTRY).encode()) is None


def test_an_entry_may_have_further_fields_of_any_value():
    # Guards against runners of a later version that aren't used.
    text = json.dumps(ENTRY | {"later": "VALUE"})
    for value in ('"\\ud800"', "1e999", "1" * 400, "[[[]]]"):
        data = text.replace('"VALUE"', value).encode()
        assert decode_entry("r1", data) is not None


@given(st.text(), st.binary() | VALUES.map(lambda v: json.dumps(v).encode()))
def test_any_bytes_are_an_entry_or_none(runner, value):
    # Guards against an exception in the threads that read the entries.
    assert isinstance(decode_entry(runner, value), RunnerEntry | None)


@given(st.dictionaries(st.sampled_from([*ENTRY, "machine", "remainingMs"]), VALUES))
def test_any_fields_are_an_entry_or_none(fields):
    # Guards against an exception in the threads that read the entries.
    value = json.dumps(ENTRY | fields).encode()
    entry = decode_entry("r1", value)
    assert isinstance(entry, RunnerEntry | None)
    if entry is not None:
        entry.machine.encode()
