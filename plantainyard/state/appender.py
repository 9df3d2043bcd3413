"""Deciding part of the grouped appends to one stream.

One append is in flight at a time and carries all that gathered since the last one,
so the records a second are bounded by the pace and not by the work. An answer that
is lost is settled by reading on: each submitted record has an ``append_id``. All
records are conditional, so a repeat does no harm. "Not run" is said only of what was
provably never sent, or once an ``abandon`` stands in the log ahead of it.
"""

import math
import random
from collections import deque
from collections.abc import Iterator
from itertools import chain
from typing import Any

from plantainyard.state.appends import (
    Answered,
    Append,
    AppendAction,
    AppenderSettings,
    AppendEvent,
    AppendReport,
    AppendStatus,
    AppendTick,
    Lost,
    Refused,
    Seen,
    Skipped,
    Submit,
)
from plantainyard.state.changes import Change, Reason, VerdictKind
from plantainyard.state.records import RecordType, make_abandon, make_group

__all__ = [
    "AppenderState",
    "count_backlog",
    "step_appender",
]

_ABANDONABLE = (RecordType.ACCEPT, RecordType.CANCEL, RecordType.CONFIG)
_ALONE = (RecordType.SNAPSHOT, RecordType.CONFIG_SNAPSHOT)


class _Item:
    """A submitted record; `sent` once it may stand in the log.

    `origin` is set for an abandon: the append id of what it abandons.
    """

    __slots__ = (
        "append_id",
        "give_up_at",
        "given_up",
        "key",
        "origin",
        "record",
        "sent",
    )

    def __init__(self, append_id: str, submit: Submit, as_of: int) -> None:
        self.append_id = append_id
        self.record = {**submit.record, "append_id": append_id, "as_of": as_of}
        self.key = submit.key
        self.give_up_at = submit.give_up_at
        self.sent = False
        self.given_up = False
        self.origin = ""


class AppenderState:
    """The appends of one instance to one stream.

    Parameters
    ----------
    settings : AppenderSettings
        Pace and bounds.
    writer : str
        Unique for this start of this instance; begins every ``append_id``.
    rng : random.Random
        Spreads retries.

    Attributes
    ----------
    as_of : int
        Next offset known to be written; stamped on every record.
    """

    def __init__(
        self, settings: AppenderSettings, writer: str, rng: random.Random
    ) -> None:
        self.settings = settings
        self.writer = writer
        self.rng = rng
        self.as_of = 0
        self._count = 0
        self._urgent: deque[_Item] = deque()
        self._waiting: deque[_Item] = deque()
        self._flying: list[_Item] | None = None
        # Sent, and by now in the log, or perhaps: the time to send again.
        self._unseen: dict[str, tuple[_Item, float]] = {}
        self._first_sent: set[str] = set()
        self._next_at = -math.inf
        self._failures = 0


def count_backlog(state: AppenderState) -> int:
    """Return the number of records that are submitted and not settled."""
    flying = len(state._flying or ())
    return len(state._urgent) + len(state._waiting) + flying + len(state._unseen)


def step_appender(
    state: AppenderState, event: AppendEvent, now: float
) -> list[AppendAction]:
    """Take `event` in and return what to do, in order.

    Parameters
    ----------
    state : AppenderState
        Changed in place.
    event : AppendEvent
        What happened. Each `Append` is answered by one `Answered`, `Lost` or
        `Refused`; every record that the reader folds is told by `Seen`, whoever
        wrote it.
    now : float
        Seconds on the instance's clock.

    Returns
    -------
    list of AppendAction
        Reports, and at most one `Append`.
    """
    actions: list[AppendAction] = []
    match event:
        case Submit():
            _submit(state, event, now, actions)
        case Answered():
            _land(state, math.inf)
            state._failures = 0
        case Lost():
            pause = _back_off(state, now, 0.0)
            _land(state, now + max(state.settings.settle_s, pause))
        case Refused():
            _back_off(state, now, event.retry_after_s)
            _take_back(state)
        case Seen():
            _see(state, event, actions)
        case Skipped():
            _skip(state, event, now)
        case AppendTick():
            _give_up(state, now, actions)
            _resend(state, now)
    _send(state, now, actions)
    return actions


def _submit(
    state: AppenderState, event: Submit, now: float, actions: list[AppendAction]
) -> None:
    settings = state.settings
    if not event.urgent and count_backlog(state) >= settings.max_backlog:
        groups = settings.max_backlog / settings.max_group
        pause = max(state._next_at - now, 0.0) + groups * settings.interval_s
        actions.append(
            AppendReport(event.key, AppendStatus.NOT_RUN, retry_after_s=pause)
        )
        return
    state._count += 1
    item = _Item(f"{state.writer}.{state._count}", event, state.as_of)
    (state._urgent if event.urgent else state._waiting).append(item)


def _send(state: AppenderState, now: float, actions: list[AppendAction]) -> None:
    if state._flying is not None or now < state._next_at:
        return
    items = list(_take_group(state))
    if not items:
        return
    state._flying = items
    state._next_at = now + state.settings.interval_s
    state._first_sent = {item.append_id for item in items if not item.sent}
    for item in items:
        item.sent = True
    records = [item.record for item in items]
    actions.append(Append(records[0] if len(records) == 1 else make_group(records)))


def _take_group(state: AppenderState) -> Iterator[_Item]:
    for count in range(state.settings.max_group):
        queue = state._urgent or state._waiting
        if not queue:
            return
        alone = queue[0].record["type"] in _ALONE
        if alone and count:
            return
        yield queue.popleft()
        if alone:
            return


def _land(state: AppenderState, send_again_at: float) -> None:
    for item in state._flying or ():
        again_at = math.inf if _is_abandoned(item) else send_again_at
        state._unseen[item.append_id] = (item, again_at)
    state._flying = None


def _take_back(state: AppenderState) -> None:
    items, state._flying = state._flying or [], None
    for item in items:
        # Sent for the first time and refused: it is provably not in the log. A
        # record that was lost once stays in doubt whatever its repeats meet.
        if item.append_id in state._first_sent:
            item.sent = False
    for item in filter(_is_abandoned, items):
        state._unseen[item.append_id] = (item, math.inf)
    again = [item for item in items if not _is_abandoned(item)]
    state._waiting.extendleft(reversed(again))


def _is_abandoned(item: _Item) -> bool:
    return item.given_up and item.record["type"] in _ABANDONABLE


def _back_off(state: AppenderState, now: float, retry_after_s: float) -> float:
    settings = state.settings
    pause = min(settings.backoff_max_s, settings.backoff_s * 2**state._failures)
    state._failures = min(state._failures + 1, 30)
    # Every instance meets the same outage; the jitter keeps them from returning
    # together, and a backlog goes out at the usual pace, one group at a time.
    pause = max(pause, retry_after_s) * state.rng.uniform(1.0, 1.5)
    state._next_at = max(state._next_at, now + pause)
    return pause


def _resend(state: AppenderState, now: float) -> None:
    due = [key for key, (_, again_at) in state._unseen.items() if now >= again_at]
    items = [state._unseen.pop(key)[0] for key in due]
    state._waiting.extendleft(reversed(items))


def _skip(state: AppenderState, event: Skipped, now: float) -> None:
    # What the snapshot covers was never seen here. A repeat tells: it takes effect,
    # or is a duplicate and names the offset that stands.
    state.as_of = max(state.as_of, event.next_offset)
    state._unseen = {
        key: (item, again_at if _is_abandoned(item) else now)
        for key, (item, again_at) in state._unseen.items()
    }


def _see(state: AppenderState, event: Seen, actions: list[AppendAction]) -> None:
    state.as_of = max(state.as_of, event.offset + 1)
    grouped = event.change.type == RecordType.GROUP
    records = event.data["records"] if grouped and event.change.parts else [event.data]
    changes = event.change.parts if grouped else (event.change,)
    for record, change in zip(records, changes, strict=False):
        append_id = record.get("append_id") if isinstance(record, dict) else None
        item = _take_item(state, append_id)
        if item is None:
            continue
        # An abandon speaks for the record it abandons, unless that was seen first.
        if not item.origin or _take_item(state, item.origin) is not None:
            actions.append(_judge(item, change))


def _take_item(state: AppenderState, append_id: Any) -> _Item | None:
    if not isinstance(append_id, str) or not append_id.startswith(state.writer):
        return None
    if append_id in state._unseen:
        return state._unseen.pop(append_id)[0]
    queues = (state._flying or [], state._urgent, state._waiting)
    for queue in queues:
        found = next((item for item in queue if item.append_id == append_id), None)
        if found is not None:
            queue.remove(found)
            return found
    return None


def _judge(item: _Item, change: Change) -> AppendReport:
    abandon = item.record["type"] == RecordType.ABANDON
    if change.applied:
        status = AppendStatus.NOT_RUN if abandon else AppendStatus.APPLIED
        return AppendReport(item.key, status, change.offset, change)
    earlier = change.earlier
    if change.reason == Reason.FORGOTTEN:
        return AppendReport(item.key, AppendStatus.UNKNOWN, change.winner, change)
    if earlier is not None and earlier.kind == VerdictKind.ABANDON:
        return AppendReport(item.key, AppendStatus.NOT_RUN, earlier.offset, change)
    if earlier is not None and earlier.applied:
        return AppendReport(item.key, AppendStatus.APPLIED, earlier.offset, change)
    return AppendReport(item.key, AppendStatus.VOID, change.winner, change)


def _give_up(state: AppenderState, now: float, actions: list[AppendAction]) -> None:
    waiting = chain(state._urgent, state._waiting)
    unseen = (item for item, _ in state._unseen.values())
    late = [
        item
        for item in chain(waiting, unseen, state._flying or ())
        if now >= item.give_up_at and not item.given_up
    ]
    for item in late:
        item.given_up = True
        if not item.sent:
            _drop(state, item)
            actions.append(AppendReport(item.key, AppendStatus.NOT_RUN))
            continue
        actions.append(AppendReport(item.key, AppendStatus.UNKNOWN))
        if item.record["type"] in _ABANDONABLE:
            _abandon(state, item)


def _drop(state: AppenderState, item: _Item) -> None:
    queue = state._urgent if item in state._urgent else state._waiting
    queue.remove(item)


def _abandon(state: AppenderState, item: _Item) -> None:
    """Stop sending a record of which it isn't known whether it stands in the log.

    The submitter may not be told "not run" while a copy is on its way. Whichever
    of the record and its abandon stands first decides for both.
    """
    if item not in (state._flying or ()):
        if item.append_id not in state._unseen:
            _drop(state, item)
        state._unseen[item.append_id] = (item, math.inf)
    state._count += 1
    record = make_abandon(item.record["request_id"])
    append_id = f"{state.writer}.{state._count}"
    abandon = _Item(append_id, Submit(record, item.key), item.record["as_of"])
    abandon.origin = item.append_id
    state._urgent.append(abandon)
