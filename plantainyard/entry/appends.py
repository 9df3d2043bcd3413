"""Appends by the owner of a unit: repeated until answered, in parts that fit."""

from collections import deque
from collections.abc import Iterable, Iterator, Sequence

from result import Err

from plantainyard.entry.context import UnitContext
from plantainyard.entry.topics import INTAKE, PRODUCER, PROGRESS
from plantainyard.errors import ErrorKind
from plantainyard.platform.store_messages import LENGTH, Append, Record

__all__ = ["append_until_answered", "forward_records", "store_records"]

APPEND_TIMEOUT_S = 0.6
"""Timeout in seconds of the first attempt of an append. The store answers a repeated
append like the first, so that only the waiting time is lost."""

SLOW_APPEND_TIMEOUT_S = 3.0
"""Timeout in seconds of repeated appends, which leaves a slow store time to answer."""

RETRY_S = 0.05
"""Pause in seconds before an append is repeated."""


class _Outcome:
    """Names of what became of an append."""

    STORED = "stored"
    ENDED = "ended"
    TOO_LARGE = "too large"


def append_until_answered(context: UnitContext, append: Append) -> bool:
    """Send an append until the store answers; return whether it was accepted.

    Notes
    -----
    Guards against an append whose answer was lost, which may have taken effect or may
    do so seconds later. A repeat with the same sequence number is stored only once. A
    refused append means that a successor has fenced this ownership.
    """
    outcome = _append(context, append)
    if outcome == _Outcome.TOO_LARGE:
        context.step_down()
    return outcome == _Outcome.STORED


def _append(context: UnitContext, append: Append) -> str:
    timeout_s = APPEND_TIMEOUT_S
    while not context.stopping.is_set():
        answer = context.store.append(append, timeout_s)
        if isinstance(answer, Err):
            context.log.write(
                "order_failed", kind="append", why=answer.err_value.detail
            )
            if answer.err_value.kind == ErrorKind.TOO_LARGE:
                return _Outcome.TOO_LARGE
            timeout_s = SLOW_APPEND_TIMEOUT_S
            context.stopping.wait(RETRY_S)
            continue
        if answer.ok_value.accepted:
            return _Outcome.STORED
        context.step_down()
        return _Outcome.ENDED
    return _Outcome.ENDED


def store_records(
    context: UnitContext, records: Sequence[Record]
) -> list[Record] | None:
    """Store records of the unit's progress, in order and in one or several calls.

    Parameters
    ----------
    context : UnitContext
        The ownership; its sequence number advances with each call.
    records : sequence of Record
        May be more than the store takes in one call.

    Returns
    -------
    list of Record or None
        Records that no call can store, because each is too large by itself; None if the
        ownership has ended before all others were stored.

    Notes
    -----
    Guards against one job that stops its unit for all others: a refusal because of the
    size doesn't change with a repeat, so that the records of other jobs would wait
    behind it for good. The store's limits may be lower than the settings say; a refused
    part is then divided.
    """
    too_large = [record for record in records if record.size > context.record_bytes]
    fitting = [record for record in records if record.size <= context.record_bytes]
    parts = deque(_split(fitting, context.call_bytes))
    while parts:
        part = parts.popleft()
        outcome = _append(context, _number(context, part))
        if outcome == _Outcome.ENDED:
            return None
        if outcome == _Outcome.TOO_LARGE:
            # The store has taken no note of the number of a call that it refused.
            context.sequence -= 1
            too_large += _divide(parts, part)
    return too_large


def _number(context: UnitContext, records: list[Record]) -> Append:
    context.sequence += 1
    return Append(
        PROGRESS, context.unit, records, PRODUCER, context.epoch, context.sequence
    )


def forward_records(context: UnitContext, unit: int, records: Sequence[Record]) -> bool:
    """Store records for another unit; return False if the ownership ends before.

    Notes
    -----
    No fencing is needed. Whichever instance owned this unit when the hand-over was
    stored may send the job, and a repeated append changes nothing. A record that is too
    large by itself is left out, so that it doesn't hold up the others.
    """
    parts = deque(_split(records, context.call_bytes))
    while parts:
        part = parts.popleft()
        outcome = _append(context, Append(INTAKE, unit, part))
        if outcome == _Outcome.ENDED:
            return False
        if outcome == _Outcome.TOO_LARGE:
            for record in _divide(parts, part):
                context.log.write("record_too_large", key=record.key, size=record.size)
            continue
        for record in part:
            context.log.write("job_handed_over", key=record.key, unit=unit)
    return True


def _split(records: Iterable[Record], call_bytes: int) -> Iterator[list[Record]]:
    """Yield the records in order, in parts that fit into one call."""
    part: list[Record] = []
    size = 0
    for record in records:
        record_size = LENGTH.size + record.size
        if part and size + record_size > call_bytes:
            yield part
            part, size = [], 0
        part.append(record)
        size += record_size
    if part:
        yield part


def _divide(parts: deque[list[Record]], refused: list[Record]) -> list[Record]:
    """Put the halves of a refused part first; return the record if it has only one."""
    if len(refused) == 1:
        return refused
    middle = len(refused) // 2
    parts.extendleft((refused[middle:], refused[:middle]))
    return []
