"""Memory of decided request ids, bounded in number.

The first record with a request id decides; a later one is void. What is forgotten
is covered by the writer's ``as_of``: a record written before the newest forgotten
verdict may be a repeat and is void too.
"""

from collections.abc import Mapping
from typing import Any

from plantainyard.state.changes import (
    FoldResult,
    RequestDecision,
    RequestKind,
    VoidReason,
)

__all__ = ["MAX_DECISIONS", "DecidedRequests", "check_request", "record_decision"]

# A constant and not a setting: what is forgotten decides verdicts, and every reader
# must reach the same one.
MAX_DECISIONS = 4096


class DecidedRequests:
    """Decided request ids.

    Attributes
    ----------
    verdicts : dict of str to Verdict
        The oldest first, at most `MAX_DECISIONS`.
    forgotten : int
        Offset of the newest forgotten verdict, -1 for none.
    """

    def __init__(self) -> None:
        self.decisions: dict[str, RequestDecision] = {}
        self.newest_forgotten = -1


def check_request(
    decided: DecidedRequests, offset: int, data: Mapping[str, Any]
) -> FoldResult | None:
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
    earlier = decided.decisions.get(data["request_id"])
    if earlier is not None:
        abandoned = earlier.kind == RequestKind.ABANDON
        reason = VoidReason.ABANDONED if abandoned else VoidReason.DUPLICATE
        winner = earlier.offset
        return FoldResult(data["type"], offset, False, reason, winner, earlier=earlier)
    # Guards against an append that the network held back for so long that the
    # verdict on its request id is forgotten: a job would be accepted twice. Such a
    # record was written before the forgotten verdict, as its as_of shows.
    if data.get("as_of", offset) <= decided.newest_forgotten:
        return FoldResult(
            data["type"], offset, False, VoidReason.FORGOTTEN, decided.newest_forgotten
        )
    return None


def record_decision(
    decided: DecidedRequests, request_id: str, decision: RequestDecision
) -> None:
    """Keep `decision`, forgetting the oldest one past the bound."""
    decided.decisions[request_id] = decision
    if len(decided.decisions) > MAX_DECISIONS:
        oldest = decided.decisions.pop(next(iter(decided.decisions)))
        decided.newest_forgotten = max(decided.newest_forgotten, oldest.offset)
