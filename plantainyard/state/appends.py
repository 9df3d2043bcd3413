"""What the appender of a stream is told, what it asks for and what it reports."""

import math
from collections.abc import Mapping
from typing import Any, NamedTuple

from plantainyard.state.changes import FoldResult

__all__ = [
    "AppendSucceeded",
    "Append",
    "AppendAction",
    "AppendEvent",
    "AppendReport",
    "AppendStatus",
    "AppendTick",
    "AppenderSettings",
    "AppendUnconfirmed",
    "AppendRefused",
    "RecordRead",
    "RecordsSkipped",
    "Submit",
]


class AppendStatus:
    """What an `AppendReport` says.

    Notes
    -----
    ``APPLIED``
        The record, or an earlier one with the same request id, took effect at the
        report's offset.
    ``VOID``
        The record stands in the log without effect; the offset is the winner's.
    ``NOT_RUN``
        The record is not in the log, or is void for good, and never takes effect.
    ``UNKNOWN``
        Not known yet. Another report follows, except for the reason "forgotten".
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
        Names the submission in reports: the request id of a record that has one.
    give_up_at : float
        Time after which the submitter doesn't want it any more. What was sent by
        then is abandoned, if its kind has a request id.
    urgent : bool
        Goes ahead of the backlog and past its bound: claims, abandons.
    """

    record: Mapping[str, Any]
    key: str = ""
    expires_at: float = math.inf
    urgent: bool = False


class AppendSucceeded(NamedTuple):
    """The log answered the append in flight with its offset."""

    offset: int


class AppendUnconfirmed(NamedTuple):
    """The append in flight may or may not have reached the log."""


class AppendRefused(NamedTuple):
    """The append in flight did not take place: outage, rate limit, no connection."""

    retry_after_s: float = 0.0


class RecordRead(NamedTuple):
    """A record was read back and folded with the verdict `result`."""

    offset: int
    data: Any
    result: FoldResult


class RecordsSkipped(NamedTuple):
    """The reader started over from a snapshot; records below were not seen."""

    next_offset: int


class AppendTick(NamedTuple):
    """Time has passed."""


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
    """What became of a submission.

    Attributes
    ----------
    key : str
        The submission's key.
    status : str
        A name in `AppendStatus`.
    offset : int
        Where it took effect, or the offset that prevailed; -1 for none.
    change : Change or None
        The verdict, where the record was read back.
    retry_after_s : float
        For a refused submission, the time after which to come back.
    """

    key: str
    status: str
    offset: int = -1
    result: FoldResult | None = None
    retry_after_s: float = 0.0


AppendAction = Append | AppendReport


class AppenderSettings(NamedTuple):
    """Pace and bounds of one stream's appends.

    Attributes
    ----------
    interval_s : float
        Least time from the start of one append to that of the next.
    max_group : int
        Records in one append.
    max_backlog : int
        Records submitted and not settled; further ones are refused.
    settle_s : float
        Time to read on after a lost answer before the record is sent again.
    backoff_s, backoff_max_s : float
        First and greatest pause after a refusal or loss; it doubles in between.
    """

    interval_s: float = 0.1
    max_group: int = 256
    max_backlog: int = 4096
    settle_s: float = 2.0
    backoff_s: float = 0.5
    backoff_max_s: float = 20.0
