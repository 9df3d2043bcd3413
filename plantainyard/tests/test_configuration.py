"""Configuration: only known keys with possible values pass."""

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

GOOD = {
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
        place = nested
        for name in path:
            place = place.setdefault(name, {})
        place[last] = value
    return nested


def test_every_kind_of_key_is_reachable_and_flattens():
    assert [find_key(key) for key in GOOD] == list(KEYS)
    assert all(check_change(key, value) is None for key, value in GOOD.items())
    assert all(check_change(key, None) is None for key in GOOD)
    assert flatten_changes(nest(GOOD)) == GOOD
    assert {build_quota_key("billing", name) for name in Size._fields} < GOOD.keys()
    assert build_worker_draining_key("w-1") in GOOD
    assert build_instance_draining_key("a_1") in GOOD


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
def test_impossible_change_is_told(key, value):
    """An operator mistypes a key or a unit, and the change is accepted.

    It is then in force everywhere, does nothing or lets a team take all, and nobody
    is told.
    """
    assert check_change(key, value)


def test_examples_are_sound():
    paths = list(EXAMPLES.glob(f"*/{CONFIGURATION}"))
    assert len(paths) == 2
    for path in paths:
        changes = flatten_changes(tomllib.loads(path.read_text()))
        assert [check_change(key, value) for key, value in changes.items()] == [
            None
        ] * len(changes)
