"""Configuration: only known keys with possible values pass."""

import math

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from plantainyard.configuration import (
    KEYS,
    check_change,
    find_key,
    flatten_changes,
    name_instance_draining,
    name_quota,
    name_worker_draining,
    read_quotas,
)
from plantainyard.work import Size

GOOD = {
    "weights": {"tail": 3, "throughput": 1.0, "evictions": 0},
    "teams.billing.quota": {"cores": 40, "memory_gb": 160.5},
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
    assert flatten_changes(nest(GOOD)) == GOOD
    assert flatten_changes({"teams": {"a": {"quotas": 1}}}) == {"teams.a.quotas": 1}
    assert read_quotas(GOOD) == {"billing": Size(40, 160.5)}
    assert {name_quota("billing"), name_worker_draining("w-1")} < GOOD.keys()
    assert name_instance_draining("a_1") in GOOD


@pytest.mark.parametrize(
    ("key", "value"),
    [
        ("weights", {"tail": 0, "throughput": 0, "evictions": 0}),
        ("weights", {"tail": 1, "throughput": 1}),
        ("weights", {"tail": -1, "throughput": 1, "evictions": 1}),
        ("teams.billing.quota", {"cores": 1}),
        ("teams.billing.quota", {"cores": True, "memory_gb": 1}),
        ("teams.billing.quota", {"cores": 1, "memory_gb": 1, "accelerators": 0.5}),
        ("teams.billing.quota", {"cores": math.inf, "memory_gb": 1}),
        ("workers.w1.fenced", 1),
        ("workers.w1.fence", True),
        ("workers..fenced", True),
    ],
)
def test_impossible_change_is_told(key, value):
    assert check_change(key, value)


@given(
    st.sampled_from(sorted(GOOD)),
    st.recursive(
        st.none() | st.booleans() | st.floats() | st.text(max_size=3),
        lambda inner: (
            st.lists(inner, max_size=2)
            | st.dictionaries(
                st.sampled_from(["cores", "memory_gb", "accelerators", "tail"]), inner
            )
        ),
        max_leaves=4,
    ),
)
@settings(derandomize=True, deadline=None, max_examples=300)
def test_what_passes_can_be_read(key, value):
    if check_change(key, value) is None and value is not None:
        assert all(
            math.isfinite(cores) and math.isfinite(memory_gb)
            for cores, memory_gb, _ in read_quotas({key: value}).values()
        )
