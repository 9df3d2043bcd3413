"""Verdicts on folded records: what took effect, what is void and why."""

from typing import NamedTuple

from plantainyard.work import TaskKey

__all__ = ["FoldResult", "VoidReason", "RequestDecision", "RequestKind", "VoidItem"]


class RequestKind:
    """What a request id was first used for."""

    ACCEPT = "accept"
    CANCEL = "cancel"
    ABANDON = "abandon"
    CONFIG = "config"


class RequestDecision(NamedTuple):
    """What the log decided about a request id.

    Attributes
    ----------
    kind : str
        A name in `RequestKind`. ``abandon`` means that the request did not and
        will not run.
    offset : int
        Offset of the deciding record.
    applied : bool
        False where the deciding record was void.
    job : str
        Id of the accepted job; empty for other kinds.
    """

    kind: str
    offset: int
    applied: bool
    job: str = ""


class VoidReason:
    """Why a record, or one item of it, is void.

    Notes
    -----
    ``DUPLICATE``
        The same request id stands at the winning offset already.
    ``ABANDONED``
        The request id was abandoned at the winning offset.
    ``FORGOTTEN``
        The record was written before the oldest request id still remembered, so it
        can't be told whether it is a repeat.
    ``BASE``
        The record builds on a claim or value that the winning offset replaced.
    ``TERM``
        The rack has another term, which is the winning offset.
    ``NOT_WAITING``
        The task is not waiting in the rack: assigned, done, cancelled, elsewhere.
    ``ATTEMPT``
        The attempt is not the next one, or not the assigned one.
    ``NO_JOB``
        No such job, or it is complete.
    ``STALE``
        The offset was folded before.
    """

    DUPLICATE = "duplicate"
    ABANDONED = "abandoned"
    FORGOTTEN = "forgotten"
    BASE = "base"
    TERM = "term"
    NOT_WAITING = "not waiting"
    ATTEMPT = "attempt"
    NO_JOB = "no job"
    STALE = "stale"
    MALFORMED = "malformed"
    UNKNOWN = "unknown type"


class VoidItem(NamedTuple):
    """An item of a record that had no effect; `reason` is a name in `VoidReason`."""

    task: TaskKey
    attempt: int
    reason: str


class FoldResult(NamedTuple):
    """The verdict on one record.

    Attributes
    ----------
    type : str
        The record's type; empty where it has none.
    offset : int
        Its offset.
    applied : bool
        True where the record, or at least one item of it, took effect.
    reason : str
        Why it is void, a name in `VoidReason`; empty where it is not.
    winner : int
        For a void record, the offset that prevailed, -1 for none.
    void : tuple of VoidItem
        Items of ``assign``, ``results`` and ``move`` that had no effect.
    parts : tuple of Change
        The verdicts on the records of a ``group``.
    earlier : Verdict or None
        For a repeated request id, the verdict that stands.
    earlier : Verdict or None
        For a repeated request id, the verdict that stands.
    detail : str
        Text for people.
    """

    type: str
    offset: int
    applied: bool
    reason: str = ""
    winner: int = -1
    void: tuple[VoidItem, ...] = ()
    parts: tuple["FoldResult", ...] = ()
    earlier: RequestDecision | None = None
    detail: str = ""
