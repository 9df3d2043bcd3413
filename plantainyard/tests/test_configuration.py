"""Tests that only known configuration keys with valid values are accepted."""

import math
import tomllib

import pytest

from plantainyard.configuration import (
    KEYS,
    build_instance_draining_key,
    build_quota_key,
    build_worker_draining_key,
    check_change,
    find_key,
    flatten_changes,
)
from plantainyard.settings.tests.test_load import CONFIGURATION, EXAMPLES
from plantainyard.work import Size

VALID_CHANGES = {
    "weights.tail": 3,
    "weights.throughput": 1.0,
    "weights.evictions": 0,
    "teams.billing.cores": 40,
    "teams.billing.memory_gb": 160.5,
    "teams.billing.accelerators": 2,
    "workers.w-1.fenced": True,
    "workers.w-1.draining": False,
    "instances.a_1.draining": True,
}


def nest(changes):
    nested: dict = {}
    for key, value in changes.items():
        *path, last = key.split(".")
        table = nested
        for name in path:
            table = table.setdefault(name, {})
        table[last] = value
    return nested


def test_every_key_accepts_a_valid_change_and_flattens():
    assert [find_key(key) for key in VALID_CHANGES] == list(KEYS)
    assert all(check_change(key, value) is None for key, value in VALID_CHANGES.items())
    assert all(check_change(key, None) is None for key in VALID_CHANGES)
    assert flatten_changes(nest(VALID_CHANGES)) == VALID_CHANGES
    assert {
        build_quota_key("billing", name) for name in Size._fields
    } < VALID_CHANGES.keys()
    assert build_worker_draining_key("w-1") in VALID_CHANGES
    assert build_instance_draining_key("a_1") in VALID_CHANGES


@pytest.mark.parametrize(
    ("key", "value"),
    [
        ("weights", 1),
        ("weights.tail", -1),
        ("weights.tail", math.nan),
        ("teams.billing.cores", math.inf),
        ("teams.billing.cores", True),
        ("teams.billing.cores", "4"),
        ("teams.billing.cores", {}),
        ("teams.billing.accelerators", 0.5),
        ("teams.a.b.cores", 1),
        ("workers.w1.fenced", 1),
        ("workers.w1.fence", True),
        ("workers..fenced", True),
    ],
)
def test_invalid_change_is_rejected(key, value):
    """Guards against a mistyped key or value that takes effect without an error.

    The change would be in force everywhere, and would either do nothing or let a team
    use all resources.
    """
    assert check_change(key, value)


def test_example_files_are_valid():
    paths = list(EXAMPLES.glob(f"*/{CONFIGURATION}"))
    assert len(paths) == 2
    for path in paths:
        changes = flatten_changes(tomllib.loads(path.read_text()))
        assert [check_change(key, value) for key, value in changes.items()] == [
            None
        ] * len(changes)
