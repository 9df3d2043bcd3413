"""Events, actions, reports and settings of a stream's appender."""

import math
from collections.abc import Mapping
from typing import Any, NamedTuple

from plantainyard.state.fold_results import FoldResult

__all__ = [
    "Append",
    "AppendAction",
    "AppendEvent",
    "AppendRefused",
    "AppendReport",
    "AppendStatus",
    "AppendSucceeded",
    "AppendTick",
    "AppendUnconfirmed",
    "AppenderSettings",
    "RecordRead",
    "RecordsSkipped",
    "Submit",
]


class AppendStatus:
    """Values of the status of an `AppendReport`.

    Notes
    -----
    ``APPLIED``
        The record, or an earlier one with the same request id, took effect at the
        report's offset.
    ``VOID``
        The record is in the log without effect; the offset is that of the record that
        prevailed.
    ``NOT_RUN``
        The record is not in the log or is permanently void, and never takes effect.
    ``UNKNOWN``
        The outcome is not known yet. Another report follows, unless the reason is
        "forgotten".
    """

    APPLIED = "applied"
    VOID = "void"
    NOT_RUN = "not run"
    UNKNOWN = "unknown"


class Submit(NamedTuple):
    """Append a record.

    Attributes
    ----------
    record : Mapping
        The record, without an ``append_id``.
    key : str
        Identifies the submission in reports; the request id of a record that has one.
    expires_at : float
        Time after which the submitter no longer needs the record. If it has been sent
        by then, it is abandoned if its type has a request id.
    urgent : bool
        Whether the record goes ahead of the backlog and is exempt from its bound, as
        for claims and abandons.
    """

    record: Mapping[str, Any]
    key: str = ""
    expires_at: float = math.inf
    urgent: bool = False


class AppendSucceeded(NamedTuple):
    """The log confirmed the append in flight and returned its offset."""

    offset: int


class AppendUnconfirmed(NamedTuple):
    """The append in flight may or may not have been written to the log."""


class AppendRefused(NamedTuple):
    """The append in flight was not written: outage, rate limit or no connection."""

    retry_after_s: float = 0.0


class RecordRead(NamedTuple):
    """A record was read from the log and folded, giving `result`."""

    offset: int
    data: Any
    result: FoldResult


class RecordsSkipped(NamedTuple):
    """The reader restarted from a snapshot.

    Some of the records below `next_offset` were not read.
    """

    next_offset: int


class AppendTick(NamedTuple):
    """A periodic tick."""


AppendEvent = (
    Submit
    | AppendSucceeded
    | AppendUnconfirmed
    | AppendRefused
    | RecordRead
    | RecordsSkipped
    | AppendTick
)


class Append(NamedTuple):
    """Send `record` to the log.

    The answer is an `AppendSucceeded`, `AppendUnconfirmed` or `AppendRefused` event.
    """

    record: Mapping[str, Any]


class AppendReport(NamedTuple):
    """The outcome of a submission.

    Attributes
    ----------
    key : str
        The submission's key.
    status : str
        A value of `AppendStatus`.
    offset : int
        Offset at which the record took effect, or that of the record that prevailed;
        -1 for none.
    result : FoldResult or None
        The result of folding the record, if it was read from the log.
    retry_after_s : float
        For a refused submission, the seconds after which to submit it again.
    """

    key: str
    status: str
    offset: int = -1
    result: FoldResult | None = None
    retry_after_s: float = 0.0


AppendAction = Append | AppendReport


class AppenderSettings(NamedTuple):
    """Rate and size limits of one stream's appends.

    Attributes
    ----------
    interval_s : float
        Minimum seconds from the start of one append to the start of the next.
    max_group : int
        Maximum number of records in one append.
    max_backlog : int
        Maximum number of submitted records whose outcome is open; more are refused.
    settle_s : float
        Seconds to wait for an unconfirmed record to be read before it is sent again.
    backoff_s, backoff_max_s : float
        Initial and maximum pause in seconds after a refused or unconfirmed append; the
        pause doubles with each failure.
    """

    interval_s: float = 0.1
    max_group: int = 256
    max_backlog: int = 4096
    settle_s: float = 2.0
    backoff_s: float = 0.5
    backoff_max_s: float = 20.0
