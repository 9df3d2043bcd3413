"""State machine that appends groups of records to one stream.

One append is in flight at a time and contains the records submitted since the last
one, so the rate of appends is bounded and doesn't depend on the load. If the answer
to an append is lost, its outcome is determined by reading the log, where each record
is recognized by its ``append_id``. All records are conditional, so appending one
twice is harmless. The status "not run" is reported only for a record that was provably
never sent, or once an ``abandon`` precedes it in the log.
"""

import math
import random
from collections import deque
from collections.abc import Iterator
from itertools import chain
from typing import Any

from plantainyard.state.append_events import (
    Append,
    AppendAction,
    AppenderSettings,
    AppendEvent,
    AppendRefused,
    AppendReport,
    AppendStatus,
    AppendSucceeded,
    AppendTick,
    AppendUnconfirmed,
    RecordRead,
    RecordsSkipped,
    Submit,
)
from plantainyard.state.fold_results import FoldResult, RequestKind, VoidReason
from plantainyard.state.records import RecordType, make_abandon, make_group

__all__ = [
    "AppenderState",
    "count_backlog",
    "step_appender",
]

_ABANDONABLE = (RecordType.ACCEPT, RecordType.CANCEL, RecordType.CONFIG)
_SENT_ALONE = (RecordType.SNAPSHOT, RecordType.CONFIG_SNAPSHOT)


class _Item:
    """A submitted record; `sent` is true once it may be in the log.

    For an abandon, `abandoned_id` is the append id of the record that it abandons.
    """

    __slots__ = (
        "abandoned_id",
        "append_id",
        "expired",
        "expires_at",
        "key",
        "record",
        "sent",
    )

    def __init__(self, append_id: str, submit: Submit, as_of: int) -> None:
        self.append_id = append_id
        self.record = {**submit.record, "append_id": append_id, "as_of": as_of}
        self.key = submit.key
        self.expires_at = submit.expires_at
        self.sent = False
        self.expired = False
        self.abandoned_id = ""


class AppenderState:
    """The appends of one instance to one stream.

    Parameters
    ----------
    settings : AppenderSettings
        Rate and size limits.
    writer : str
        Prefix of every ``append_id``, unique for each start of each instance.
    rng : random.Random
        Source of the jitter of retries.

    Attributes
    ----------
    as_of : int
        Next offset of the stream as far as known; set in every submitted record.
    """

    def __init__(
        self, settings: AppenderSettings, writer: str, rng: random.Random
    ) -> None:
        self.settings = settings
        self.writer = writer
        self.rng = rng
        self.as_of = 0
        self._submitted_count = 0
        self._urgent: deque[_Item] = deque()
        self._waiting: deque[_Item] = deque()
        self._in_flight: list[_Item] | None = None
        # Sent records that are or may be in the log, with the time to send them again.
        self._unconfirmed: dict[str, tuple[_Item, float]] = {}
        self._first_attempts: set[str] = set()
        self._next_at = -math.inf
        self._failures = 0


def count_backlog(state: AppenderState) -> int:
    """Return the number of submitted records whose outcome is open."""
    in_flight = len(state._in_flight or ())
    return (
        len(state._urgent) + len(state._waiting) + in_flight + len(state._unconfirmed)
    )


def step_appender(
    state: AppenderState, event: AppendEvent, now: float
) -> list[AppendAction]:
    """Process `event` and return the actions to perform, in order.

    Parameters
    ----------
    state : AppenderState
        Modified in place.
    event : AppendEvent
        The event. Each `Append` is answered by exactly one `AppendSucceeded`,
        `AppendUnconfirmed` or `AppendRefused`. Every record that the reader folds is
        reported by a `RecordRead`, whichever instance wrote it.
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
            _queue_record(state, event, now, actions)
        case AppendSucceeded():
            _mark_sent(state, math.inf)
            state._failures = 0
        case AppendUnconfirmed():
            pause = _back_off(state, now, 0.0)
            _mark_sent(state, now + max(state.settings.settle_s, pause))
        case AppendRefused():
            _back_off(state, now, event.retry_after_s)
            _requeue_refused(state)
        case RecordRead():
            _match_record(state, event, actions)
        case RecordsSkipped():
            _handle_skipped(state, event, now)
        case AppendTick():
            _expire_items(state, now, actions)
            _resend(state, now)
    _send(state, now, actions)
    return actions


def _queue_record(
    state: AppenderState, event: Submit, now: float, actions: list[AppendAction]
) -> None:
    settings = state.settings
    if not event.urgent and count_backlog(state) >= settings.max_backlog:
        full_groups = settings.max_backlog / settings.max_group
        pause = max(state._next_at - now, 0.0) + full_groups * settings.interval_s
        actions.append(
            AppendReport(event.key, AppendStatus.NOT_RUN, retry_after_s=pause)
        )
        return
    state._submitted_count += 1
    item = _Item(f"{state.writer}.{state._submitted_count}", event, state.as_of)
    (state._urgent if event.urgent else state._waiting).append(item)


def _send(state: AppenderState, now: float, actions: list[AppendAction]) -> None:
    if state._in_flight is not None or now < state._next_at:
        return
    items = list(_take_group(state))
    if not items:
        return
    state._in_flight = items
    state._next_at = now + state.settings.interval_s
    state._first_attempts = {item.append_id for item in items if not item.sent}
    for item in items:
        item.sent = True
    records = [item.record for item in items]
    actions.append(Append(records[0] if len(records) == 1 else make_group(records)))


def _take_group(state: AppenderState) -> Iterator[_Item]:
    for count in range(state.settings.max_group):
        queue = state._urgent or state._waiting
        if not queue:
            return
        sent_alone = queue[0].record["type"] in _SENT_ALONE
        if sent_alone and count:
            return
        yield queue.popleft()
        if sent_alone:
            return


def _mark_sent(state: AppenderState, send_again_at: float) -> None:
    for item in state._in_flight or ():
        again_at = math.inf if _is_abandoned(item) else send_again_at
        state._unconfirmed[item.append_id] = (item, again_at)
    state._in_flight = None


def _requeue_refused(state: AppenderState) -> None:
    items, state._in_flight = state._in_flight or [], None
    for item in items:
        # A record that is refused when first sent is provably not in the log. A record
        # that was unconfirmed once may be in the log, whatever happens when it is
        # sent again.
        if item.append_id in state._first_attempts:
            item.sent = False
    for item in filter(_is_abandoned, items):
        state._unconfirmed[item.append_id] = (item, math.inf)
    retried = [item for item in items if not _is_abandoned(item)]
    state._waiting.extendleft(reversed(retried))


def _is_abandoned(item: _Item) -> bool:
    return item.expired and item.record["type"] in _ABANDONABLE


def _back_off(state: AppenderState, now: float, retry_after_s: float) -> float:
    settings = state.settings
    pause = min(settings.backoff_max_s, settings.backoff_s * 2**state._failures)
    state._failures = min(state._failures + 1, 30)
    # All instances are affected by the same outage. The jitter keeps them from retrying
    # at the same time, and a backlog is sent at the usual rate, one group at a time.
    pause = max(pause, retry_after_s) * state.rng.uniform(1.0, 1.5)
    state._next_at = max(state._next_at, now + pause)
    return pause


def _resend(state: AppenderState, now: float) -> None:
    due_ids = [
        append_id
        for append_id, (_, again_at) in state._unconfirmed.items()
        if now >= again_at
    ]
    items = [state._unconfirmed.pop(append_id)[0] for append_id in due_ids]
    state._waiting.extendleft(reversed(items))


def _handle_skipped(state: AppenderState, event: RecordsSkipped, now: float) -> None:
    # The records that the snapshot covers were never read here. Sending a record again
    # determines its outcome: it takes effect, or it is a duplicate and its result names
    # the offset that prevailed.
    state.as_of = max(state.as_of, event.next_offset)
    state._unconfirmed = {
        key: (item, again_at if _is_abandoned(item) else now)
        for key, (item, again_at) in state._unconfirmed.items()
    }


def _match_record(
    state: AppenderState, event: RecordRead, actions: list[AppendAction]
) -> None:
    state.as_of = max(state.as_of, event.offset + 1)
    grouped = event.result.type == RecordType.GROUP
    records = event.data["records"] if grouped and event.result.parts else [event.data]
    results = event.result.parts if grouped else (event.result,)
    for record, result in zip(records, results, strict=False):
        append_id = record.get("append_id") if isinstance(record, dict) else None
        item = _remove_item(state, append_id)
        if item is None:
            continue
        # An abandon determines the outcome of the record that it abandons, unless that
        # record was read first.
        if not item.abandoned_id or _remove_item(state, item.abandoned_id) is not None:
            actions.append(_make_report(item, result))


def _remove_item(state: AppenderState, append_id: Any) -> _Item | None:
    if not isinstance(append_id, str) or not append_id.startswith(state.writer):
        return None
    if append_id in state._unconfirmed:
        return state._unconfirmed.pop(append_id)[0]
    queues = (state._in_flight or [], state._urgent, state._waiting)
    for queue in queues:
        found = next((item for item in queue if item.append_id == append_id), None)
        if found is not None:
            queue.remove(found)
            return found
    return None


def _make_report(item: _Item, result: FoldResult) -> AppendReport:
    is_abandon = item.record["type"] == RecordType.ABANDON
    if result.applied:
        status = AppendStatus.NOT_RUN if is_abandon else AppendStatus.APPLIED
        return AppendReport(item.key, status, result.offset, result)
    earlier = result.earlier
    if result.reason == VoidReason.FORGOTTEN:
        return AppendReport(item.key, AppendStatus.UNKNOWN, result.winner, result)
    if earlier is not None and earlier.kind == RequestKind.ABANDON:
        return AppendReport(item.key, AppendStatus.NOT_RUN, earlier.offset, result)
    if earlier is not None and earlier.applied:
        return AppendReport(item.key, AppendStatus.APPLIED, earlier.offset, result)
    return AppendReport(item.key, AppendStatus.VOID, result.winner, result)


def _expire_items(
    state: AppenderState, now: float, actions: list[AppendAction]
) -> None:
    waiting = chain(state._urgent, state._waiting)
    unconfirmed = (item for item, _ in state._unconfirmed.values())
    expired_items = [
        item
        for item in chain(waiting, unconfirmed, state._in_flight or ())
        if now >= item.expires_at and not item.expired
    ]
    for item in expired_items:
        item.expired = True
        if not item.sent:
            _remove_queued(state, item)
            actions.append(AppendReport(item.key, AppendStatus.NOT_RUN))
            continue
        actions.append(AppendReport(item.key, AppendStatus.UNKNOWN))
        if item.record["type"] in _ABANDONABLE:
            _abandon(state, item)


def _remove_queued(state: AppenderState, item: _Item) -> None:
    queue = state._urgent if item in state._urgent else state._waiting
    queue.remove(item)


def _abandon(state: AppenderState, item: _Item) -> None:
    """Stop sending a record that may be in the log, and submit an abandon for it.

    "Not run" must not be reported while a copy of the record may still arrive.
    Whichever of the record and its abandon is first in the log decides for both.
    """
    if item not in (state._in_flight or ()):
        if item.append_id not in state._unconfirmed:
            _remove_queued(state, item)
        state._unconfirmed[item.append_id] = (item, math.inf)
    state._submitted_count += 1
    record = make_abandon(item.record["request_id"])
    append_id = f"{state.writer}.{state._submitted_count}"
    abandon = _Item(append_id, Submit(record, item.key), item.record["as_of"])
    abandon.abandoned_id = item.append_id
    state._urgent.append(abandon)
