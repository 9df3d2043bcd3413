"""The folding of the configuration stream."""

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

CHANGES = st.dictionaries(st.sampled_from("xyz"), st.none() | st.integers(0, 3))
CONFIGS = st.builds(
    make_config,
    st.sampled_from("abcdefghij"),
    st.integers(-1, 12),
    CHANGES.filter(bool),
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
        change = apply_config(state, offset, record)
        after = {key: get_version(state, key) for key in "xyz"}
        assert all(before[key] <= after[key] for key in "xyz")
        if record["type"] == "config" and record["base"] >= offset:
            assert not change.applied
        if change.reason == VoidReason.BASE:
            assert change.winner == max(before[key] for key in record["changes"])
    return state


@settings(derandomize=True, deadline=None, max_examples=300)
@given(records=st.lists(RECORDS, max_size=14), cut=st.integers(0, 14))
def test_versions_only_grow_also_over_a_snapshot(records, cut) -> None:
    """A setting jumps back to an old value on one instance after its restart.

    Two instances fold the same stream, one of them from a snapshot and with a part
    of the records delivered twice. Both must hold the same values and versions.
    """
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(configuration, "MAX_DELETED", 1)
        patch.setattr(requests, "MAX_DECISIONS", 3)
        check_snapshot(json.loads(json.dumps(records)), cut)


def check_snapshot(records: list[Any], cut: int) -> None:
    whole = fold(records, ConfigState())
    part = fold(records[:cut], ConfigState())
    part = decode_config(json.loads(json.dumps(encode_config(part))))
    for offset, record in enumerate(records[:cut]):
        assert not apply_config(part, offset, record).applied
    part = fold(records[cut:], part, min(cut, len(records)))
    assert encode_config(part) == encode_config(whole)


def test_of_two_racing_operators_one_wins() -> None:
    """Two operators narrow and widen the same setting; both are told "accepted".

    Both read version 0 and append; the log takes both. Only the first one in the
    log may be in force, and the second has to be told of it.
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
    """A setting that an operator deleted comes back by itself.

    A change is held back by the network; the key is deleted meanwhile, and so many
    others after it that the deletion is forgotten. Then the change arrives.
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
