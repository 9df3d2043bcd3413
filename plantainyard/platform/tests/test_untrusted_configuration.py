"""Configurations, evacuations and settings of any content."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok

from plantainyard.decoding import DecodeError
from plantainyard.entry.policies import parse_policy
from plantainyard.platform.configuration import Configuration, decode_configuration
from plantainyard.platform.evacuations import EVACUATION_PREFIX, decode_evacuations
from plantainyard.platform.settings import (
    load_instance_settings,
    parse_instance_settings,
)
from plantainyard.platform.store_messages import Record
from plantainyard.platform.tests.test_decoding import SETTINGS
from plantainyard.platform.tests.untrusted import (
    DEEP,
    DEEP_OBJECT,
    UNENCODABLE,
    VALUES,
    WRONG_NUMBERS,
)

ROUTE = {"name": "q", "host": "h", "pathPrefix": "/", "service": "s"}
NUMBERS = ["priority", "maxAttempts", "stretch", "targetLatencyMs"]


def configure(route: object, **fields: object) -> bytes:
    return json.dumps({"version": 1, "routes": [route], **fields}).encode()


@given(
    st.dictionaries(st.sampled_from([*ROUTE, *NUMBERS, "allowedRegions"]), VALUES),
    st.dictionaries(st.sampled_from(["version", "routes", "limits"]), VALUES),
)
def test_any_fields_are_a_configuration_or_one_error(route, fields):
    # Guards against an exception in the thread that follows the configuration.
    try:
        found = decode_configuration(configure(ROUTE | route, **fields))
    except DecodeError:
        return
    assert isinstance(found, Configuration)
    json.dumps(found, allow_nan=False).encode()


@given(st.binary())
def test_any_bytes_are_a_configuration_or_one_error(value):
    # Guards against an exception in the thread that follows the configuration.
    with pytest.raises(DecodeError):
        decode_configuration(value)


@pytest.mark.parametrize("value", [DEEP, DEEP_OBJECT, b"null", b'{"version":1}'])
def test_unusual_bytes_are_one_error(value):
    # Guards against an exception in the thread that follows the configuration.
    with pytest.raises(DecodeError):
        decode_configuration(value)


@pytest.mark.parametrize("field", NUMBERS)
@pytest.mark.parametrize("number", WRONG_NUMBERS)
def test_a_number_out_of_range_is_no_configuration(field, number):
    # Guards against numbers that each later job takes over from its queue.
    text = configure(ROUTE | {field: "NUMBER"}).decode().replace('"NUMBER"', number)
    with pytest.raises(DecodeError):
        decode_configuration(text.encode())


def test_a_version_beyond_all_others_is_no_configuration():
    # Guards against a configuration that no later one can replace.
    text = configure(ROUTE).decode().replace('"version": 1', '"version": 1' + "0" * 400)
    with pytest.raises(DecodeError):
        decode_configuration(text.encode())


@given(st.text(), st.binary() | VALUES.map(lambda v: json.dumps(v).encode()))
def test_any_record_is_an_evacuation_or_unreadable(domain, value):
    # Guards against an exception in the thread that follows the evacuations.
    records = [Record(EVACUATION_PREFIX + domain, value, 4)]
    found, unreadable = decode_evacuations(records)
    assert len(found) + len(unreadable) == 1


def test_a_deep_evacuation_leaves_the_others():
    # Guards against evacuations that aren't read any more, so that nothing starts.
    key = EVACUATION_PREFIX + "d"
    records = [Record(key + "1", DEEP_OBJECT, 1), Record(key + "2", b"{}", 2)]
    found, unreadable = decode_evacuations(records)
    assert [record.domain for record in found] == ["d2"]
    assert [record.version for record in unreadable] == [1]


@pytest.mark.parametrize(
    "text",
    [
        "a = " + "[" * 100_000,
        "a = " + "9" * 5000,
        SETTINGS + "recordBytes = nan",
        SETTINGS + "recordBytes = 0",
        SETTINGS.replace("6000", "inf"),
        SETTINGS.replace("6000", "9" * 400),
        SETTINGS.replace("[7720,7735]", "[7720,70000]"),
        "bounds = 3\n" + SETTINGS.replace("[bounds]", "[more]"),
        "zones = [1]\n" + SETTINGS,
    ],
)
def test_unusable_settings_are_a_fault(text):
    # Guards against a process that ends when its settings are read again.
    assert isinstance(parse_instance_settings(text).unwrap_err().detail, str)


@given(st.text())
def test_any_text_is_settings_or_a_fault(text):
    # Guards against a process that ends when its settings are read again.
    assert isinstance(parse_instance_settings(text), Ok | Err)
    assert isinstance(parse_policy(text), Ok | Err)


@pytest.mark.parametrize("value", ["[" * 100_000, "1" + "0" * 400, "nan", '"a"'])
def test_an_unusable_policy_is_a_fault(value):
    # Guards against a process that ends when its scheduling policy is read again.
    assert parse_policy(f"[room]\nmax_wait_s = {value}").is_err()


def test_settings_that_are_not_text_are_a_fault(tmp_path):
    # Guards against a process that ends when its settings are read again.
    path = tmp_path / "settings.toml"
    path.write_bytes(b"\xff")
    assert load_instance_settings(path).unwrap_err().path == str(path)


def test_an_unencodable_name_is_no_configuration():
    # Guards against jobs that can't be stored, as they name their queue.
    for field in ROUTE:
        with pytest.raises(DecodeError):
            decode_configuration(configure(ROUTE | {field: UNENCODABLE}))
