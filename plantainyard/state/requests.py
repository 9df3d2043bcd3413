"""Memory of decided request ids, bounded in number.

The first record with a request id decides; a later one is void. What is forgotten
is covered by the writer's ``as_of``: a record written before the newest forgotten
verdict may be a repeat and is void too.
"""

from collections.abc import Mapping
from typing import Any

from plantainyard.state.changes import Change, Reason, Verdict, VerdictKind

__all__ = ["MAX_VERDICTS", "RequestMemory", "judge_request", "remember_request"]

# A constant and not a setting: what is forgotten decides verdicts, and every reader
# must reach the same one.
MAX_VERDICTS = 4096


class RequestMemory:
    """Decided request ids.

    Attributes
    ----------
    verdicts : dict of str to Verdict
        The oldest first, at most `MAX_VERDICTS`.
    forgotten : int
        Offset of the newest forgotten verdict, -1 for none.
    """

    def __init__(self) -> None:
        self.verdicts: dict[str, Verdict] = {}
        self.forgotten = -1


def judge_request(
    memory: RequestMemory, offset: int, data: Mapping[str, Any]
) -> Change | None:
    """Return the verdict on a record that must be void, None for a new request.

    Parameters
    ----------
    memory : RequestMemory
        What was decided before `offset`.
    offset : int
        Offset of the record.
    data : Mapping
        A record with a ``request_id``.
    """
    earlier = memory.verdicts.get(data["request_id"])
    if earlier is not None:
        abandoned = earlier.kind == VerdictKind.ABANDON
        reason = Reason.ABANDONED if abandoned else Reason.DUPLICATE
        winner = earlier.offset
        return Change(data["type"], offset, False, reason, winner, earlier=earlier)
    # Guards against an append that the network held back for so long that the
    # verdict on its request id is forgotten: a job would be accepted twice. Such a
    # record was written before the forgotten verdict, as its as_of shows.
    if data.get("as_of", offset) <= memory.forgotten:
        return Change(data["type"], offset, False, Reason.FORGOTTEN, memory.forgotten)
    return None


def remember_request(memory: RequestMemory, request_id: str, verdict: Verdict) -> None:
    """Keep `verdict`, forgetting the oldest one past the bound."""
    memory.verdicts[request_id] = verdict
    if len(memory.verdicts) > MAX_VERDICTS:
        oldest = memory.verdicts.pop(next(iter(memory.verdicts)))
        memory.forgotten = max(memory.forgotten, oldest.offset)
