"""Results of folding records: what took effect, and what is void for which reason."""

from typing import NamedTuple

from plantainyard.work import TaskKey

__all__ = ["FoldResult", "RequestDecision", "RequestKind", "VoidItem", "VoidReason"]


class RequestKind:
    """Kinds of requests that a request id can be decided for."""

    ACCEPT = "accept"
    CANCEL = "cancel"
    ABANDON = "abandon"
    CONFIG = "config"


class RequestDecision(NamedTuple):
    """The decision that the log contains for a request id.

    Attributes
    ----------
    kind : str
        A value of `RequestKind`. ``abandon`` means that the request has not been and
        will not be carried out.
    offset : int
        Offset of the record that decided the request.
    applied : bool
        False if that record was void.
    job : str
        Id of the accepted job; empty for other kinds.
    """

    kind: str
    offset: int
    applied: bool
    job: str = ""


class VoidReason:
    """Reasons why a record, or one item of it, is void.

    Notes
    -----
    ``DUPLICATE``
        The record at the winning offset has the same request id.
    ``ABANDONED``
        The request id was abandoned at the winning offset.
    ``FORGOTTEN``
        The record was written before the oldest decision that is still stored, so it
        is not known whether it is a repeat.
    ``BASE``
        The record builds on a claim or value that was replaced at the winning offset.
    ``TERM``
        The rack is in another term, which is the winning offset.
    ``NOT_WAITING``
        The task is not waiting in the rack: it is assigned, done, cancelled or in
        another rack.
    ``ATTEMPT``
        The attempt is not the next one of the task, or not the assigned one.
    ``NO_JOB``
        The job does not exist or is complete.
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
    """An item of a record that had no effect; `reason` is a value of `VoidReason`."""

    task: TaskKey
    attempt: int
    reason: str


class FoldResult(NamedTuple):
    """The result of folding one record.

    Attributes
    ----------
    type : str
        The record's type; empty if it has none.
    offset : int
        The record's offset.
    applied : bool
        True if the record, or at least one item of it, took effect.
    reason : str
        Why the record is void, a value of `VoidReason`; empty if it is not void.
    winner : int
        For a void record, the offset of the record that prevailed, -1 for none.
    void : tuple of VoidItem
        Items of ``assign``, ``results`` and ``move`` that had no effect.
    parts : tuple of FoldResult
        The results of the records of a ``group``.
    earlier : RequestDecision or None
        For a repeated request id, the decision that remains in force.
    detail : str
        Human-readable explanation.
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
