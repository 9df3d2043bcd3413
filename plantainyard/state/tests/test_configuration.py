"""Tests of folding the configuration stream."""

import json
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from plantainyard.state import (
    ConfigState,
    VoidReason,
    apply_config,
    configuration,
    decode_config,
    encode_config,
    get_value,
    get_version,
    list_history,
    make_abandon,
    make_config,
    make_group,
    requests,
)

KEY_CHANGES = st.dictionaries(st.sampled_from("xyz"), st.none() | st.integers(0, 3))
CONFIGS = st.builds(
    make_config,
    st.sampled_from("abcdefghij"),
    st.integers(-1, 12),
    KEY_CHANGES.filter(bool),
)
RECORDS = st.one_of(
    CONFIGS,
    st.lists(CONFIGS, max_size=3).map(make_group),
    st.builds(make_abandon, st.sampled_from("abcdefghij")),
    st.just({"type": "of a newer version"}),
)


def fold(records: list[Any], state: ConfigState, start: int = 0) -> ConfigState:
    for offset, record in enumerate(records, start):
        before = {key: get_version(state, key) for key in "xyz"}
        result = apply_config(state, offset, record)
        after = {key: get_version(state, key) for key in "xyz"}
        assert all(before[key] <= after[key] for key in "xyz")
        if record["type"] == "config" and record["base"] >= offset:
            assert not result.applied
        if result.reason == VoidReason.BASE:
            assert result.winner == max(before[key] for key in record["changes"])
    return state


@settings(derandomize=True, deadline=None, max_examples=300)
@given(records=st.lists(RECORDS, max_size=14), split=st.integers(0, 14))
def test_versions_only_increase_also_across_a_snapshot(records, split) -> None:
    """Guards against a setting that reverts on one instance after its restart.

    Two instances fold the same stream, one of them from a snapshot and with some of
    the records delivered twice. Both must hold the same values and versions.
    """
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(configuration, "MAX_DELETED", 1)
        patch.setattr(requests, "MAX_DECISIONS", 3)
        check_snapshot(json.loads(json.dumps(records)), split)


def check_snapshot(records: list[Any], split: int) -> None:
    expected = fold(records, ConfigState())
    restored = fold(records[:split], ConfigState())
    restored = decode_config(json.loads(json.dumps(encode_config(restored))))
    for offset, record in enumerate(records[:split]):
        assert not apply_config(restored, offset, record).applied
    restored = fold(records[split:], restored, min(split, len(records)))
    assert encode_config(restored) == encode_config(expected)


def test_only_one_of_two_concurrent_changes_is_accepted() -> None:
    """Guards against accepting conflicting changes of two operators.

    Both operators read version 0 and append a change of the same setting, and the log
    stores both records. Only the first one in the log may take effect, and the second
    must be refused with the version that won.
    """
    state = ConfigState()
    apply_config(state, 0, make_config("a", -1, {"x": 1, "y": 1}))
    first = apply_config(state, 1, make_config("b", 0, {"x": 2}))
    second = apply_config(state, 2, make_config("c", 0, {"x": 3, "y": 3}))
    other = apply_config(state, 3, make_config("d", 0, {"y": 4}))
    assert (first.applied, second.applied, other.applied) == (True, False, True)
    assert (second.reason, second.winner) == (VoidReason.BASE, 1)
    assert (get_value(state, "x"), get_value(state, "y")) == (2, 4)
    assert [entry.version for entry in list_history(state)] == [0, 1, 3]


def test_forgotten_deletion_still_conflicts(monkeypatch) -> None:
    """Guards against a delayed change that restores a deleted setting.

    The network delays a change. Meanwhile the key is deleted, and then so many other
    keys that the deletion is forgotten. Then the change arrives.
    """
    monkeypatch.setattr(configuration, "MAX_DELETED", 2)
    state = ConfigState()
    apply_config(state, 0, make_config("a", -1, {"x": 1}))
    for offset, key in enumerate("xpqr", 1):
        change = make_config(f"r{key}", offset - 1, {key: None})
        assert apply_config(state, offset, change).applied
    assert "x" not in state.deleted
    assert not apply_config(state, 5, make_config("late", 0, {"x": 7})).applied
    assert get_value(state, "x") is None
