"""Validation of records read from the log.

A stream may contain records of a newer version, which are skipped and counted, and
malformed records, which are void. Neither may stop a reader: every instance has to
handle the same record in the same way.
"""

from collections.abc import Callable, Mapping
from typing import Any, NamedTuple

from plantainyard.decoding import FAILURES, describe_failure
from plantainyard.state.records import Outcome, RecordType
from plantainyard.work import decode_job, parse_task

__all__ = ["RecordCheck", "Validity", "check_record"]

_OUTCOMES = frozenset((Outcome.DONE, Outcome.FAILED, Outcome.EVICTED, Outcome.LAPSED))


class Validity:
    """Kinds of `RecordCheck`."""

    KNOWN = "known"
    UNKNOWN = "unknown"
    MALFORMED = "malformed"


class RecordCheck(NamedTuple):
    """The result of `check_record`; `detail` says why a record was not accepted."""

    kind: str
    detail: str = ""


def check_record(data: Any) -> RecordCheck:
    """Return whether `data` is a well-formed record of a known type.

    Parameters
    ----------
    data : JSON value
        A record as read from the log.

    Returns
    -------
    RecordCheck
        Its kind is ``known``, ``unknown`` (a type of another version, to be skipped)
        or ``malformed``.

    Examples
    --------
    >>> check_record({"type": "abandon", "request_id": "r1"}).kind
    'known'
    >>> check_record({"type": "abandon"}).kind
    'malformed'
    >>> check_record({"type": "from the future"}).kind
    'unknown'
    """
    if not isinstance(data, dict) or not isinstance(data.get("type"), str):
        return RecordCheck(Validity.MALFORMED, "not an object with a type")
    check = _CHECKS.get(data["type"])
    if check is None:
        return RecordCheck(Validity.UNKNOWN, data["type"])
    try:
        fault = _find_common_fault(data) or check(data)
    except FAILURES as error:
        fault = describe_failure(error)
    if fault:
        return RecordCheck(Validity.MALFORMED, f"{data['type']}: {fault}")
    return RecordCheck(Validity.KNOWN)


def _find_common_fault(data: Mapping[str, Any]) -> str:
    if not isinstance(data.get("append_id", ""), str):
        return "append_id is not a string"
    if not _is_number(data.get("as_of", 0)):
        return "as_of is not a number"
    return ""


def _is_number(value: Any, least: int = -1) -> bool:
    return isinstance(value, int) and not isinstance(value, bool) and value >= least


def _check_types(data: Mapping[str, Any], **kinds: type) -> str:
    wrong = (name for name, kind in kinds.items() if type(data.get(name)) is not kind)
    return "".join(f"bad {name}; " for name in wrong)


def _check_abandon(data: Mapping[str, Any]) -> str:
    return _check_types(data, request_id=str)


def _check_accept(data: Mapping[str, Any]) -> str:
    fault = _check_types(data, request_id=str, job=dict, allotment=dict)
    if fault:
        return fault
    job = decode_job(data["job"])
    if not isinstance(job.id, str) or not job.id or not _is_number(job.task_count, 1):
        return "bad job id or task count"
    counts = data["allotment"].values()
    if not all(_is_number(count, 0) for count in counts):
        return "bad count in the allotment"
    return "" if sum(counts) == job.task_count else "allotment is not the task count"


def _check_cancel(data: Mapping[str, Any]) -> str:
    fault = _check_types(data, request_id=str, jobs=list)
    return fault or _check_strings(data["jobs"])


def _check_strings(values: list[Any]) -> str:
    return "" if all(isinstance(v, str) for v in values) else "not all strings"


def _check_claim(data: Mapping[str, Any]) -> str:
    fault = _check_types(data, rack=str, holder=str, base=int)
    workers = data.get("workers", [])
    established = isinstance(data.get("established", False), bool)
    if not fault and not (isinstance(workers, list) and established):
        return "workers or established of a wrong type"
    return fault or _check_strings(workers)


def _check_assign(data: Mapping[str, Any]) -> str:
    fault = _check_types(data, rack=str, term=int, items=list)
    return fault or next(filter(None, map(_check_assign_item, data["items"])), "")


def _check_assign_item(item: Any) -> str:
    text, attempt, worker, *rest = item
    parse_task(text)
    good = _is_number(attempt, 1) and isinstance(worker, str) and bool(worker)
    known = all(map(_is_number, rest[:1]))
    return "" if good and known else "bad assign item"


def _check_results(data: Mapping[str, Any]) -> str:
    fault = _check_types(data, rack=str, items=list)
    if not _is_number(data.get("term", -1)):
        return "bad term"
    return fault or next(filter(None, map(_check_result_item, data["items"])), "")


def _check_result_item(item: Any) -> str:
    text, attempt, outcome, detail = item
    parse_task(text)
    good = _is_number(attempt, 1) and outcome in _OUTCOMES and isinstance(detail, str)
    return "" if good else "bad results item"


def _check_move(data: Mapping[str, Any]) -> str:
    fault = _check_types(data, rack=str, term=int, tasks=list, to_rack=str)
    if fault or not data["to_rack"]:
        return fault or "no receiving rack"
    for text in data["tasks"]:
        parse_task(text)
    return ""


def _check_config(data: Mapping[str, Any]) -> str:
    fault = _check_types(data, request_id=str, base=int, changes=dict)
    return fault or ("" if data["changes"] else "no changes")


def _check_snapshot(data: Mapping[str, Any]) -> str:
    return _check_types(data, covers=int, state=dict)


def _check_group(data: Mapping[str, Any]) -> str:
    # The records of a group are checked individually as they are folded, so that one
    # malformed record does not make the others void.
    return _check_types(data, records=list)


_CHECKS: Mapping[str, Callable[[Mapping[str, Any]], str]] = {
    RecordType.ABANDON: _check_abandon,
    RecordType.ACCEPT: _check_accept,
    RecordType.ASSIGN: _check_assign,
    RecordType.CANCEL: _check_cancel,
    RecordType.CLAIM: _check_claim,
    RecordType.CONFIG: _check_config,
    RecordType.CONFIG_SNAPSHOT: _check_snapshot,
    RecordType.GROUP: _check_group,
    RecordType.MOVE: _check_move,
    RecordType.RESULTS: _check_results,
    RecordType.SNAPSHOT: _check_snapshot,
}
