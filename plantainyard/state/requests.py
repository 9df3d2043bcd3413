"""Bounded collection of decided request ids, for idempotent requests.

The first record with a request id decides the request, and later records with the
same id are void. Old decisions are forgotten. A record whose ``as_of`` shows that it
was written before the newest forgotten decision may be a repeat and is void too.
"""

from collections.abc import Mapping
from typing import Any

from plantainyard.state.fold_results import (
    FoldResult,
    RequestDecision,
    RequestKind,
    VoidReason,
)
from plantainyard.state.records import RecordType

__all__ = [
    "MAX_DECISIONS",
    "DecidedRequests",
    "apply_abandon",
    "check_request",
    "record_decision",
]

# Not a setting: which decisions are forgotten affects whether later records are void,
# and every reader must reach the same result.
MAX_DECISIONS = 4096


class DecidedRequests:
    """The newest decisions on request ids.

    Attributes
    ----------
    decisions : dict of str to RequestDecision
        For each request id, its decision; oldest first, at most `MAX_DECISIONS`.
    newest_forgotten : int
        Offset of the newest forgotten decision, -1 for none.
    """

    def __init__(self) -> None:
        self.decisions: dict[str, RequestDecision] = {}
        self.newest_forgotten = -1


def check_request(
    decided: DecidedRequests, offset: int, data: Mapping[str, Any]
) -> FoldResult | None:
    """Return the result of a record that must be void, None for a new request.

    Parameters
    ----------
    decided : DecidedRequests
        Requests that were decided before `offset`.
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
    # Guards against an append that the network delays for so long that the decision
    # on its request id is forgotten, by which a job would be accepted twice. The as_of
    # of such a record shows that it was written before the forgotten decision.
    if data.get("as_of", offset) <= decided.newest_forgotten:
        return FoldResult(
            data["type"], offset, False, VoidReason.FORGOTTEN, decided.newest_forgotten
        )
    return None


def record_decision(
    decided: DecidedRequests, request_id: str, decision: RequestDecision
) -> None:
    """Store `decision` and drop the oldest one if there are too many."""
    decided.decisions[request_id] = decision
    if len(decided.decisions) > MAX_DECISIONS:
        oldest = decided.decisions.pop(next(iter(decided.decisions)))
        decided.newest_forgotten = max(decided.newest_forgotten, oldest.offset)


def apply_abandon(
    decided: DecidedRequests, offset: int, data: Mapping[str, Any]
) -> FoldResult:
    """Fold an ``abandon`` record, after which its request has no effect any more.

    Parameters
    ----------
    decided : DecidedRequests
        Changed in place.
    offset : int
        Offset of the record.
    data : Mapping
        The record.
    """
    void_result = check_request(decided, offset, data)
    if void_result is not None:
        return void_result
    decision = RequestDecision(RequestKind.ABANDON, offset, True)
    record_decision(decided, data["request_id"], decision)
    return FoldResult(RecordType.ABANDON, offset, True)
