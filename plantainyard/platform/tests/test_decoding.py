"""Tests that the platform's formats are decoded, skipped, or reported with location."""

import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from plantainyard.batch.values import Resources
from plantainyard.errors import ErrorKind
from plantainyard.platform.configuration import decode_configuration, find_queue
from plantainyard.platform.entries import decode_entry
from plantainyard.platform.runner_messages import (
    Order,
    decode_report,
    format_task,
    parse_task,
)
from plantainyard.platform.settings import parse_instance_settings
from plantainyard.platform.store_messages import Record, _unpack_record, pack_record
from plantainyard.platform.submissions import decode_body
from plantainyard.transport import HttpResponse

SETTINGS = """\
node = "edge-1"
zone = "addis-kality"
region = "addis"
ip = "10.1.0.13"
internalPorts = [7720,7735]
unknown = 5
[listen]
front = "10.1.0.13:8161"
ready = "10.1.0.13:8167"
[bounds]
maxHoldMs = 6000
harmMs = 4500
graceS = 6
[platform]
address = "10.200.1.7:8169"
parts = 12
"""

ENTRY = {
    "service": "huvo11a",
    "address": "10.128.0.9:8080",
    "zone": "addis-kality",
    "version": "v1",
    "slotCount": 8,
    "state": "ready",
    "coldLeftMs": 0,
    "capacity": {"cpu": 16000, "memMb": 32768, "gpu": 0},
    "labels": ["a", "r1-3"],
    "born": 1700000000000,
    "sequence": 4,
}


def test_settings_are_converted_to_seconds():
    found = parse_instance_settings(SETTINGS).unwrap()
    assert found.instance == "edge-1"
    assert (found.peer_port, found.metrics_port) == (7720, 7735)
    assert found.longest_lease_s == 6.0
    assert found.max_target_violation_s == 4.5


def test_allowed_regions_are_decoded():
    route = {"name": "q", "host": "h", "pathPrefix": "/", "service": "s"}
    for regions in ([], ["addis"], None):
        value = {"version": 1, "routes": [route | {"allowedRegions": regions}]}
        (queue,) = decode_configuration(json.dumps(value).encode()).queues
        assert queue.allowed_regions == tuple(regions or ())


def test_cancel_deadline_is_the_sum_of_two_bounds():
    bounds = "[bounds]\ncancel_ms = 4000\nstopMs = 200\n"
    found = parse_instance_settings(SETTINGS.replace("[bounds]\n", bounds)).unwrap()
    assert found.cancel_deadline_s == 4.2


@pytest.mark.parametrize(
    ("old", "new", "key", "line"),
    [
        ('ip = "10.1.0.13"', "ip = 5", "ip", 4),
        ("internalPorts = [7720,7735]", "internalPorts = [1]", "internalPorts", 5),
        ('node = "edge-1"', "", "node", 0),
        ("maxHoldMs = 6000", 'maxHoldMs = "six"', "maxHoldMs", 11),
        ("parts = 12", "parts =", "", 16),
    ],
)
def test_an_invalid_settings_file_is_reported_with_key_and_line(old, new, key, line):
    fault = parse_instance_settings(SETTINGS.replace(old, new), "file").unwrap_err()
    assert (fault.path, fault.key, fault.line) == ("file", key, line)


def test_a_runner_entry_is_decoded():
    entry = decode_entry("i-1", json.dumps(ENTRY).encode())
    assert entry is not None
    assert entry.incarnation == "i-1@1700000000000"
    assert entry.rack == "r1-3"
    assert entry.capacity == Resources(16000, 32768, 0)
    assert not entry.draining


@pytest.mark.parametrize(
    "changes",
    [
        {"service": None},
        {"address": 5},
        {"address": "nowhere"},
        {"state": "resting"},
        {"capacity": []},
        {"capacity": {"cpu": "many"}},
        {"labels": 7},
        {"born": "yesterday"},
        {"zone": True},
    ],
)
def test_entries_of_other_writers_are_skipped(changes):
    # Other programs write records to the topic of the runners' entries. Treating one as
    # a runner, or failing to read past it, would stop all placement.
    assert decode_entry("i-1", json.dumps({**ENTRY, **changes}).encode()) is None


@settings(derandomize=True, deadline=None)
@given(value=st.binary(max_size=60) | st.text(max_size=60).map(str.encode))
def test_arbitrary_bytes_are_skipped_as_runner_entries(value):
    assert decode_entry("i-1", value) is None


def test_the_longest_matching_prefix_selects_the_queue():
    routes = [
        {"name": n, "host": "Nony.example", "pathPrefix": p, "service": "s"}
        for n, p in (("short", "/a/"), ("long", "/a/b/"))
    ]
    value = json.dumps({"version": 3, "routes": routes}).encode()
    configuration = decode_configuration(value)
    found = find_queue(configuration, "nony.example:80", "/a/b/0123")
    assert found is not None
    assert (found[0].name, found[1]) == ("long", "0123")
    assert find_queue(configuration, "other.example", "/a/b/0123") is None


def test_a_submission_is_decoded_into_descriptive_fields():
    routes = [
        {
            "name": "q",
            "host": "h",
            "pathPrefix": "/",
            "service": "s",
            "maxAttempts": 4,
            "stretch": 1.5,
        }
    ]
    value = json.dumps({"version": 3, "routes": routes}).encode()
    queue = decode_configuration(value).queues[0]
    step = {"count": 2, "cpu": 500, "fillCount": True, "antiAffinity": 1, "mayMiss": 2}
    body = json.dumps({"spec": "x", "steps": [step]}).encode()
    submission = decode_body(body, "id", queue, 0)
    (found,) = submission.steps
    assert (found.size, found.backfill, found.max_per_runner) == (2, True, 1)
    assert (found.max_unavailable, submission.max_attempts) == (2, 4)


@given(st.text(max_size=20), st.binary(max_size=50))
@settings(derandomize=True, deadline=None)
def test_packed_records_keep_key_and_value(key, value):
    packed = pack_record(Record(key, value))
    assert _unpack_record(packed[4:]) == Record(key, value)


def test_task_names_survive_parsing_and_formatting():
    assert format_task(parse_task("5c0e7a21d94b36f8.0.1.17")) == (
        "5c0e7a21d94b36f8.0.1.17"
    )


@pytest.mark.parametrize(
    ("status", "reason", "kind"),
    [
        (409, "fence", ErrorKind.CONFLICT),
        (409, "late", ErrorKind.REFUSED),
        (421, "", ErrorKind.OTHER_INCARNATION),
        (503, "", ErrorKind.REFUSED),
        (500, "", ErrorKind.LOST),
    ],
)
def test_a_rejected_report_is_classified_by_its_reason(status, reason, kind):
    # Every rejection includes the runner's fencing token. If a rejection for another
    # reason were taken for a higher token, the owner would give up its unit.
    order = Order("r0", 1, "a:1", parse_task("a.0.0.0"), 0, 7)
    body = json.dumps({"reason": reason, "fence": 7, "clockMs": 5}).encode()
    error = decode_report(HttpResponse(status, {}, body), order).unwrap_err()
    assert error.kind == kind
