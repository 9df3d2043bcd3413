"""Folding of records that assign, end or move tasks."""

from collections.abc import Iterable, Mapping
from typing import Any

from plantainyard.state.domain import MAX_COMPLETED, DomainState
from plantainyard.state.fold_results import FoldResult, VoidItem, VoidReason
from plantainyard.state.jobs import (
    Assignment,
    Failure,
    JobState,
    JobSummary,
    Retry,
    count_waiting,
    remove_waiting,
)
from plantainyard.state.ranges import Ranges, add_number
from plantainyard.state.records import (
    AssignItem,
    Outcome,
    RecordType,
    parse_assign_item,
)
from plantainyard.work import TaskKey, parse_task

__all__ = [
    "apply_assign",
    "apply_move",
    "apply_results",
    "complete_job",
    "remove_waiting_job",
]


def remove_waiting_job(state: DomainState, rack: str, job: str) -> None:
    """Remove `job` from the rack's index of jobs with waiting tasks."""
    jobs = state.waiting.get(rack, set())
    jobs.discard(job)
    if not jobs:
        state.waiting.pop(rack, None)


def complete_job(state: DomainState, offset: int, entry: JobState) -> None:
    """Replace the job by its summary if all its tasks are done or cancelled."""
    job = entry.job
    if entry.done_count + entry.cancelled_count < job.task_count:
        return
    del state.jobs[job.id]
    state.cancelled.discard(job.id)
    state.completed[job.id] = JobSummary(
        job.id,
        job.name,
        job.team,
        job.task_count,
        entry.done_count,
        entry.cancelled_count,
        entry.offset,
        offset,
        job.latency_critical,
    )
    if len(state.completed) > MAX_COMPLETED:
        del state.completed[next(iter(state.completed))]


def _check_term(
    state: DomainState, offset: int, data: Mapping[str, Any]
) -> FoldResult | None:
    """Return the result of a former owner's void record, None for the current owner's.

    Records of a paused owner may arrive after another owner has claimed its rack and
    has read the state of every task. They must not change that state.
    """
    claim = state.claims.get(data["rack"])
    if claim is not None and claim.holder and claim.term == data.get("term"):
        return None
    term = claim.term if claim else -1
    return FoldResult(data["type"], offset, False, VoidReason.TERM, term)


def apply_assign(
    state: DomainState, offset: int, data: Mapping[str, Any]
) -> FoldResult:
    """Fold an ``assign`` record; each item is applied or void independently."""
    void_result = _check_term(state, offset, data)
    if void_result is not None:
        return void_result
    return _apply_items(
        RecordType.ASSIGN,
        offset,
        (
            (item.task, item.attempt, _assign_task(state, data["rack"], item))
            for item in map(parse_assign_item, data["items"])
        ),
    )


def _apply_items(
    kind: str, offset: int, items: Iterable[tuple[TaskKey, int, str]]
) -> FoldResult:
    checked_items = list(items)
    void = tuple(VoidItem(*item) for item in checked_items if item[2])
    applied = len(void) < len(checked_items)
    reason = "" if applied or not void else void[0].reason
    return FoldResult(kind, offset, applied, reason, void=void)


def _assign_task(state: DomainState, rack: str, item: AssignItem) -> str:
    task = item.task
    entry = state.jobs.get(task.job)
    if entry is None:
        return VoidReason.NO_JOB
    retry = remove_waiting(entry, rack, task.number)
    if retry is None:
        return VoidReason.NOT_WAITING
    # A delayed record of an earlier attempt must not be taken for a new assignment:
    # the owner that wrote it has since learned that the attempt ended.
    if retry.attempts + 1 != item.attempt:
        _add_waiting(state, entry, rack, task.number, retry)
        return VoidReason.ATTEMPT
    assignment = Assignment(
        item.attempt, item.worker, retry.checkpoint, item.incarnation
    )
    state.assigned.setdefault(rack, {})[task] = assignment
    entry.assigned_count += 1
    if not count_waiting(entry, rack):
        remove_waiting_job(state, rack, task.job)
    return ""


def _add_waiting(
    state: DomainState, entry: JobState, rack: str, number: int, retry: Retry
) -> None:
    if retry.attempts:
        entry.retries.setdefault(rack, {})[number] = retry
    else:
        add_number(entry.unattempted.setdefault(rack, Ranges()), number)
    state.waiting.setdefault(rack, set()).add(entry.job.id)


def apply_results(
    state: DomainState, offset: int, data: Mapping[str, Any]
) -> FoldResult:
    """Fold a ``results`` record of the rack's current term, item by item."""
    # A former owner may conclude from outdated information that a lease lapsed or that
    # an attempt never started. Its successor may have renewed or started it since, and
    # the next attempt would run at the same time. Results reported by a worker aren't
    # lost, because the worker reports them again to the successor.
    void_result = _check_term(state, offset, data)
    if void_result is not None:
        return void_result
    return _apply_items(
        RecordType.RESULTS,
        offset,
        (
            (parse_task(item[0]), item[1], _end_attempt(state, offset, data, *item))
            for item in data["items"]
        ),
    )


def _end_attempt(
    state: DomainState,
    offset: int,
    data: Mapping[str, Any],
    text: str,
    attempt: int,
    outcome: str,
    detail: str,
) -> str:
    task, rack = parse_task(text), data["rack"]
    assigned = state.assigned.get(rack, {})
    assignment = assigned.get(task)
    # A worker reports a finished attempt until it is acknowledged, so its result may
    # be written twice, the second time while the next attempt is running.
    if assignment is None or assignment.attempt != attempt:
        return VoidReason.ATTEMPT
    del assigned[task]
    if not assigned:
        del state.assigned[rack]
    entry = state.jobs[task.job]
    entry.assigned_count -= 1
    if outcome == Outcome.DONE:
        entry.done_count += 1
        entry.failures.pop(task.number, None)
    elif entry.cancelled:
        entry.cancelled_count += 1
    else:
        retry = _make_retry(entry, task.number, attempt, outcome, detail)
        _add_waiting(state, entry, rack, task.number, retry)
    complete_job(state, offset, entry)
    return ""


def _make_retry(
    entry: JobState, number: int, attempt: int, outcome: str, detail: str
) -> Retry:
    if outcome == Outcome.EVICTED:
        return Retry(attempt, detail)
    if outcome == Outcome.FAILED:
        count = entry.failures.get(number, Failure(0, "")).failures
        entry.failures[number] = Failure(count + 1, detail)
        return Retry(attempt, failed=True)
    return Retry(attempt)


def apply_move(state: DomainState, offset: int, data: Mapping[str, Any]) -> FoldResult:
    """Fold a ``move`` record; each task is moved or void independently."""
    void_result = _check_term(state, offset, data)
    if void_result is not None:
        return void_result
    return _apply_items(
        RecordType.MOVE,
        offset,
        (
            (parse_task(text), 0, _move_task(state, data, text))
            for text in data["tasks"]
        ),
    )


def _move_task(state: DomainState, data: Mapping[str, Any], text: str) -> str:
    task, rack = parse_task(text), data["rack"]
    entry = state.jobs.get(task.job)
    if entry is None:
        return VoidReason.NO_JOB
    retry = remove_waiting(entry, rack, task.number)
    if retry is None:
        return VoidReason.NOT_WAITING
    if not count_waiting(entry, rack):
        remove_waiting_job(state, rack, task.job)
    _add_waiting(state, entry, data["to_rack"], task.number, retry)
    return ""
