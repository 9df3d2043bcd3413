"""Folding of records about tasks: assigned, ended and moved."""

from collections.abc import Iterable, Mapping
from typing import Any

from plantainyard.state.changes import Change, Reason, VoidItem
from plantainyard.state.domain import MAX_COMPLETED, DomainState
from plantainyard.state.jobs import (
    Assignment,
    Failure,
    JobState,
    JobSummary,
    Retry,
    count_waiting,
    take_waiting,
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
    "forget_waiting",
]


def forget_waiting(state: DomainState, rack: str, job: str) -> None:
    """Take `job` out of the rack's index of jobs with waiting tasks."""
    jobs = state.waiting.get(rack, set())
    jobs.discard(job)
    if not jobs:
        state.waiting.pop(rack, None)


def complete_job(state: DomainState, offset: int, entry: JobState) -> None:
    """Keep only a summary of the job once all its tasks are done or cancelled."""
    job = entry.job
    if entry.done + entry.dropped < job.task_count:
        return
    del state.jobs[job.id]
    state.cancelled.discard(job.id)
    state.completed[job.id] = JobSummary(
        job.id,
        job.name,
        job.team,
        job.task_count,
        entry.done,
        entry.dropped,
        entry.offset,
        offset,
        job.latency_critical,
    )
    if len(state.completed) > MAX_COMPLETED:
        del state.completed[next(iter(state.completed))]


def _judge_term(
    state: DomainState, offset: int, data: Mapping[str, Any]
) -> Change | None:
    """Return the verdict on a record of a past owner, None for the present one's.

    A paused owner's records may arrive after its rack was claimed by another, which
    has already read where every task is. They must not change that.
    """
    claim = state.claims.get(data["rack"])
    if claim is not None and claim.holder and claim.term == data.get("term"):
        return None
    term = claim.term if claim else -1
    return Change(data["type"], offset, False, Reason.TERM, term)


def apply_assign(state: DomainState, offset: int, data: Mapping[str, Any]) -> Change:
    """Fold an ``assign`` record; each item is judged alone."""
    judged = _judge_term(state, offset, data)
    if judged is not None:
        return judged
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
) -> Change:
    verdicts = list(items)
    void = tuple(VoidItem(*item) for item in verdicts if item[2])
    applied = len(void) < len(verdicts)
    reason = "" if applied or not void else void[0].reason
    return Change(kind, offset, applied, reason, void=void)


def _assign_task(state: DomainState, rack: str, item: AssignItem) -> str:
    task = item.task
    entry = state.jobs.get(task.job)
    if entry is None:
        return Reason.NO_JOB
    retry = take_waiting(entry, rack, task.number)
    if retry is None:
        return Reason.NOT_WAITING
    # A record of an earlier attempt that arrives late must not be taken for a new
    # decision: the owner that wrote it has long known that the attempt ended.
    if retry.attempts + 1 != item.attempt:
        _put_waiting(state, entry, rack, task.number, retry)
        return Reason.ATTEMPT
    assignment = Assignment(
        item.attempt, item.worker, retry.checkpoint, item.incarnation
    )
    state.assigned.setdefault(rack, {})[task] = assignment
    entry.assigned += 1
    if not count_waiting(entry, rack):
        forget_waiting(state, rack, task.job)
    return ""


def _put_waiting(
    state: DomainState, entry: JobState, rack: str, number: int, retry: Retry
) -> None:
    if retry.attempts:
        entry.retries.setdefault(rack, {})[number] = retry
    else:
        add_number(entry.fresh.setdefault(rack, Ranges()), number)
    state.waiting.setdefault(rack, set()).add(entry.job.id)


def apply_results(state: DomainState, offset: int, data: Mapping[str, Any]) -> Change:
    """Fold a ``results`` record of the present term; each item is judged alone."""
    # A past owner concludes from what it knew that a lease lapsed or that an attempt
    # never started; its successor may have renewed or started it since, and the next
    # attempt would run beside it. What a worker told is not lost: it repeats it to the
    # successor.
    judged = _judge_term(state, offset, data)
    if judged is not None:
        return judged
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
    # A worker repeats a finished attempt until it is acknowledged, so its result
    # may be written twice, the second time while the next attempt is running.
    if assignment is None or assignment.attempt != attempt:
        return Reason.ATTEMPT
    del assigned[task]
    if not assigned:
        del state.assigned[rack]
    entry = state.jobs[task.job]
    entry.assigned -= 1
    if outcome == Outcome.DONE:
        entry.done += 1
        entry.failures.pop(task.number, None)
    elif entry.cancelled:
        entry.dropped += 1
    else:
        retry = _judge_retry(entry, task.number, attempt, outcome, detail)
        _put_waiting(state, entry, rack, task.number, retry)
    complete_job(state, offset, entry)
    return ""


def _judge_retry(
    entry: JobState, number: int, attempt: int, outcome: str, detail: str
) -> Retry:
    if outcome == Outcome.EVICTED:
        return Retry(attempt, detail)
    if outcome == Outcome.FAILED:
        count = entry.failures.get(number, Failure(0, "")).failures
        entry.failures[number] = Failure(count + 1, detail)
        return Retry(attempt, failed=True)
    return Retry(attempt)


def apply_move(state: DomainState, offset: int, data: Mapping[str, Any]) -> Change:
    """Fold a ``move`` record; each task is judged alone."""
    judged = _judge_term(state, offset, data)
    if judged is not None:
        return judged
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
        return Reason.NO_JOB
    retry = take_waiting(entry, rack, task.number)
    if retry is None:
        return Reason.NOT_WAITING
    if not count_waiting(entry, rack):
        forget_waiting(state, rack, task.job)
    _put_waiting(state, entry, data["to_rack"], task.number, retry)
    return ""
