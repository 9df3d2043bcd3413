"""Folding of the ``config`` stream into values, their versions and the history.

The offset of the record that set a key is the key's version. Versions only increase:
an offset that was folded before is ignored, so no instance ever returns to an older
value.
"""

from collections import deque
from collections.abc import Mapping
from typing import Any, NamedTuple

from plantainyard.state.checks import Validity, check_record
from plantainyard.state.fold_results import (
    FoldResult,
    RequestDecision,
    RequestKind,
    VoidReason,
)
from plantainyard.state.records import RecordType
from plantainyard.state.requests import (
    DecidedRequests,
    apply_abandon,
    check_request,
    record_decision,
)

__all__ = [
    "ConfigState",
    "ConfigValue",
    "HistoryEntry",
    "MAX_DELETED",
    "MAX_HISTORY",
    "apply_config",
    "get_value",
    "get_version",
    "list_history",
    "list_values",
]

# Not settings: which deletions are forgotten affects whether later records are void.
MAX_DELETED = 1024
MAX_HISTORY = 256


class ConfigValue(NamedTuple):
    """A configuration value and the version that set it."""

    value: Any
    version: int


class HistoryEntry(NamedTuple):
    """An accepted change of the configuration.

    Attributes
    ----------
    version : int
        Offset of the change.
    request_id : str
        Id of the call that requested the change.
    changes : Mapping of str to JSON value
        New value of each changed key; None for a deleted key.
    """

    version: int
    request_id: str
    changes: Mapping[str, Any]


class ConfigState:
    """The state folded from the ``config`` stream up to an offset.

    Attributes
    ----------
    next_offset : int
        Offset of the first record that is not yet folded.
    version : int
        Offset of the newest accepted change, -1 for none.
    values : dict of str to ConfigValue
        The values in force.
    deleted : dict of str to int
        For each deleted key, the version that deleted it; oldest first, at most
        `MAX_DELETED`.
    newest_forgotten_deletion : int
        Newest version of a forgotten deletion, -1 for none.
    requests : DecidedRequests
        Decided request ids.
    history : deque of HistoryEntry
        The newest accepted changes, at most `MAX_HISTORY`.
    skipped : int
        Number of skipped records of unknown type.
    """

    def __init__(self) -> None:
        self.next_offset = 0
        self.version = -1
        self.values: dict[str, ConfigValue] = {}
        self.deleted: dict[str, int] = {}
        self.newest_forgotten_deletion = -1
        self.requests = DecidedRequests()
        self.history: deque[HistoryEntry] = deque(maxlen=MAX_HISTORY)
        self.skipped = 0


def get_value(state: ConfigState, key: str, default: Any = None) -> Any:
    """Return the value in force for `key`, or `default` if it has none."""
    entry = state.values.get(key)
    return default if entry is None else entry.value


def get_version(state: ConfigState, key: str) -> int:
    """Return the version that last set or deleted `key`.

    Notes
    -----
    A key whose deletion is forgotten counts as deleted at the newest forgotten
    deletion. A change may then be refused unnecessarily, but a conflicting change is
    never accepted.
    """
    entry = state.values.get(key)
    if entry is not None:
        return entry.version
    return state.deleted.get(key, state.newest_forgotten_deletion)


def list_values(state: ConfigState, prefix: str = "") -> dict[str, Any]:
    """Return the values in force whose keys begin with `prefix`, sorted by key."""
    return {
        key: state.values[key].value
        for key in sorted(state.values)
        if key.startswith(prefix)
    }


def list_history(state: ConfigState) -> list[HistoryEntry]:
    """Return the newest accepted changes, the oldest first."""
    return list(state.history)


def apply_config(state: ConfigState, offset: int, data: Any) -> FoldResult:
    """Fold the record at `offset` of the ``config`` stream into `state`.

    Parameters
    ----------
    state : ConfigState
        Modified in place.
    offset : int
        The record's offset; an offset that was folded before is ignored.
    data : JSON value
        The record, which may be malformed.

    Returns
    -------
    FoldResult
        Whether the change was accepted. If it conflicts, `winner` is the newest
        version that set one of its keys after the operator read them.

    Raises
    ------
    ValueError
        If offsets are missing between the state and `offset`.
    """
    kind = data.get("type", "") if isinstance(data, dict) else ""
    if offset < state.next_offset:
        return FoldResult(str(kind), offset, False, VoidReason.STALE)
    if offset > state.next_offset:
        raise ValueError(f"offsets {state.next_offset} to {offset - 1} are missing")
    state.next_offset = offset + 1
    return _apply_one(state, offset, data, str(kind))


def _apply_one(state: ConfigState, offset: int, data: Any, kind: str) -> FoldResult:
    check = check_record(data)
    if check.kind == Validity.MALFORMED:
        return FoldResult(
            kind, offset, False, VoidReason.MALFORMED, detail=check.detail
        )
    if kind == RecordType.CONFIG:
        return _apply_changes(state, offset, data)
    if kind == RecordType.ABANDON:
        return apply_abandon(state.requests, offset, data)
    if kind == RecordType.CONFIG_SNAPSHOT:
        return FoldResult(kind, offset, True)
    if kind == RecordType.GROUP:
        return _apply_group(state, offset, data)
    state.skipped += 1
    return FoldResult(kind, offset, False, VoidReason.UNKNOWN)


def _apply_group(
    state: ConfigState, offset: int, data: Mapping[str, Any]
) -> FoldResult:
    # All parts have the group's offset. The second of two changes of one key must
    # still conflict, so a part must not build on the group's own offset.
    parts = tuple(
        _apply_one(state, offset, part, part["type"])
        if isinstance(part, dict)
        and part.get("type") in (RecordType.CONFIG, RecordType.ABANDON)
        else FoldResult("", offset, False, VoidReason.MALFORMED)
        for part in data["records"]
    )
    applied = any(part.applied for part in parts)
    return FoldResult(RecordType.GROUP, offset, applied, parts=parts)


def _apply_changes(
    state: ConfigState, offset: int, data: Mapping[str, Any]
) -> FoldResult:
    void_result = check_request(state.requests, offset, data)
    if void_result is not None:
        return void_result
    changes = data["changes"]
    winner = max(get_version(state, key) for key in changes)
    # If two operators change the same key concurrently, the second change in the log
    # would silently undo the first. It is void instead and names the winning version.
    applied = winner <= data["base"] < offset
    decision = RequestDecision(RequestKind.CONFIG, offset, applied)
    record_decision(state.requests, data["request_id"], decision)
    if not applied:
        return FoldResult(RecordType.CONFIG, offset, False, VoidReason.BASE, winner)
    for key, value in changes.items():
        _set_value(state, offset, key, value)
    state.version = offset
    state.history.append(HistoryEntry(offset, data["request_id"], changes))
    return FoldResult(RecordType.CONFIG, offset, True)


def _set_value(state: ConfigState, offset: int, key: str, value: Any) -> None:
    state.deleted.pop(key, None)
    if value is not None:
        state.values[key] = ConfigValue(value, offset)
        return
    state.values.pop(key, None)
    state.deleted[key] = offset
    if len(state.deleted) > MAX_DELETED:
        state.newest_forgotten_deletion = max(
            state.newest_forgotten_deletion,
            state.deleted.pop(next(iter(state.deleted))),
        )
