"""Folding of a failure domain's records into its state.

The log accepts every append, so the records' conditions are checked here, with the
same result at every reader: the first record in the log wins, and a later one that
builds on an outdated state is void and names the record that prevailed. The
conditions ensure that a delayed or repeated record has no effect.
"""

from collections.abc import Callable, Mapping
from typing import Any

from plantainyard.state.checks import Validity, check_record
from plantainyard.state.domain import Claim, DomainState
from plantainyard.state.fold_results import (
    FoldResult,
    RequestDecision,
    RequestKind,
    VoidReason,
)
from plantainyard.state.jobs import JobState, allot_tasks, count_waiting
from plantainyard.state.records import RecordType
from plantainyard.state.requests import apply_abandon, check_request, record_decision
from plantainyard.state.tasks import (
    apply_assign,
    apply_move,
    apply_results,
    complete_job,
    remove_waiting_job,
)
from plantainyard.work import decode_job

__all__ = ["apply_record"]


def apply_record(state: DomainState, offset: int, data: Any) -> FoldResult:
    """Fold the record at `offset` into `state`.

    Parameters
    ----------
    state : DomainState
        Modified in place.
    offset : int
        The record's offset; an offset that was folded before is ignored.
    data : JSON value
        The record, which may be malformed.

    Returns
    -------
    FoldResult
        Whether the record took effect, and if not, why and which offset prevailed.

    Raises
    ------
    ValueError
        If offsets are missing between the state and `offset`. A reader must never
        skip any; see `plantainyard.state.reader`.

    Notes
    -----
    Takes time linear in the number of items; for an ``accept``, in the number of
    racks; for a ``cancel``, in the number of attempted tasks of its jobs.
    """
    if offset < state.next_offset:
        return FoldResult(_get_type(data), offset, False, VoidReason.STALE)
    if offset > state.next_offset:
        raise ValueError(f"offsets {state.next_offset} to {offset - 1} are missing")
    state.next_offset = offset + 1
    return _apply_one(state, offset, data)


def _apply_one(state: DomainState, offset: int, data: Any) -> FoldResult:
    check = check_record(data)
    if check.kind == Validity.UNKNOWN:
        # Written by an instance of a newer version; it is skipped.
        state.skipped += 1
        return FoldResult(check.detail, offset, False, VoidReason.UNKNOWN)
    if check.kind == Validity.MALFORMED:
        kind = _get_type(data)
        return FoldResult(
            kind, offset, False, VoidReason.MALFORMED, detail=check.detail
        )
    fold = _FOLDS.get(data["type"])
    if fold is None:
        return FoldResult(data["type"], offset, False, VoidReason.UNKNOWN)
    return fold(state, offset, data)


def _get_type(data: Any) -> str:
    kind = data.get("type", "") if isinstance(data, dict) else ""
    return kind if isinstance(kind, str) else ""


def _apply_group(
    state: DomainState, offset: int, data: Mapping[str, Any]
) -> FoldResult:
    nested = (RecordType.GROUP, RecordType.SNAPSHOT)
    parts = tuple(
        FoldResult(_get_type(part), offset, False, VoidReason.MALFORMED)
        if _get_type(part) in nested
        else _apply_one(state, offset, part)
        for part in data["records"]
    )
    applied = any(part.applied for part in parts)
    return FoldResult(RecordType.GROUP, offset, applied, parts=parts)


def _apply_snapshot(
    state: DomainState, offset: int, data: Mapping[str, Any]
) -> FoldResult:
    return FoldResult(RecordType.SNAPSHOT, offset, True)


def _apply_accept(
    state: DomainState, offset: int, data: Mapping[str, Any]
) -> FoldResult:
    void_result = check_request(state.requests, offset, data)
    if void_result is not None:
        return void_result
    job = decode_job(data["job"])
    known = state.jobs.get(job.id)
    done = state.completed.get(job.id)
    fresh_id = known is None and done is None
    decision = RequestDecision(RequestKind.ACCEPT, offset, fresh_id, job.id)
    record_decision(state.requests, data["request_id"], decision)
    if known is not None or done is not None:
        winner = known.offset if known else done.accepted if done else -1
        return FoldResult(
            RecordType.ACCEPT, offset, False, VoidReason.DUPLICATE, winner
        )
    entry = JobState(job, offset)
    entry.unattempted = allot_tasks(data["allotment"])
    state.jobs[job.id] = entry
    for rack in entry.unattempted:
        state.waiting.setdefault(rack, set()).add(job.id)
    return FoldResult(RecordType.ACCEPT, offset, True)


def _apply_abandon(
    state: DomainState, offset: int, data: Mapping[str, Any]
) -> FoldResult:
    return apply_abandon(state.requests, offset, data)


def _apply_cancel(
    state: DomainState, offset: int, data: Mapping[str, Any]
) -> FoldResult:
    void_result = check_request(state.requests, offset, data)
    if void_result is not None:
        return void_result
    live = [state.jobs[job] for job in data["jobs"] if job in state.jobs]
    targets = [job for job in live if not job.cancelled]
    for job in targets:
        _cancel_job(state, offset, job)
    decision = RequestDecision(RequestKind.CANCEL, offset, bool(targets))
    record_decision(state.requests, data["request_id"], decision)
    reason = "" if targets else VoidReason.NO_JOB
    return FoldResult(RecordType.CANCEL, offset, bool(targets), reason)


def _cancel_job(state: DomainState, offset: int, job: JobState) -> None:
    job.cancelled = True
    for rack in {*job.unattempted, *job.retries}:
        job.cancelled_count += count_waiting(job, rack)
        remove_waiting_job(state, rack, job.job.id)
    job.unattempted.clear()
    job.retries.clear()
    job.failures.clear()
    state.cancelled.add(job.job.id)
    complete_job(state, offset, job)


def _apply_claim(
    state: DomainState, offset: int, data: Mapping[str, Any]
) -> FoldResult:
    present = state.claims.get(data["rack"])
    term = present.term if present else -1
    # If two instances build on the same claim, the second one in the log must lose,
    # and so must a claim that arrives after a claim of another owner.
    if data["base"] != term:
        return FoldResult(RecordType.CLAIM, offset, False, VoidReason.BASE, term)
    workers = tuple(data.get("workers", ()))
    stopped = data.get("established", False)
    if present is not None and not present.holder:
        stopped = present.stopped
    previous = _list_previous_workers(present, stopped)
    claim = Claim(data["holder"], offset, workers, previous, stopped)
    state.claims[data["rack"]] = claim
    return FoldResult(RecordType.CLAIM, offset, True)


def _list_previous_workers(
    present: Claim | None, stopped: bool
) -> tuple[tuple[str, ...], ...]:
    """Return the worker sets of all claims whose holders may still have authority.

    A holder that never gained authority never fenced the workers of its predecessor;
    a claim on top of it must therefore take both holders into account.
    """
    if present is None:
        return ()
    earlier = () if stopped and present.holder else present.previous
    sets = (*earlier, present.workers) if present.holder else earlier
    return tuple(dict.fromkeys(s for s in sets if s))


_FOLDS: Mapping[str, Callable[[DomainState, int, Mapping[str, Any]], FoldResult]] = {
    RecordType.ABANDON: _apply_abandon,
    RecordType.ACCEPT: _apply_accept,
    RecordType.ASSIGN: apply_assign,
    RecordType.CANCEL: _apply_cancel,
    RecordType.CLAIM: _apply_claim,
    RecordType.GROUP: _apply_group,
    RecordType.MOVE: apply_move,
    RecordType.RESULTS: apply_results,
    RecordType.SNAPSHOT: _apply_snapshot,
}
