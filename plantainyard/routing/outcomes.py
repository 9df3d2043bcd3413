"""The closed set of outcomes of a request, and how each is told to the caller."""

import json
import math
from typing import NamedTuple

from plantainyard.protocol.constants import (
    OUTCOME_HEADER,
    REASON_HEADER,
    UPSTREAM_STATUS_HEADER,
)

__all__ = [
    "FinalAnswer",
    "Outcome",
    "Reason",
    "Response",
    "build_body",
    "build_headers",
    "get_status",
]


class Outcome:
    """Names of the outcomes.

    Notes
    -----
    ``DONE``
        The request ran; the answer is the runner's.
    ``REFUSED``
        The request did not run, and will not. `FinalAnswer.retry_after_s` says when
        to come back.
    ``FAILED``
        The request ran, or was run in part, and the runner says that it failed.
    ``UNKNOWN``
        Whether the request ran is not known. The same request id may be sent again.
    """

    DONE = "done"
    REFUSED = "refused"
    FAILED = "failed"
    UNKNOWN = "unknown"


class Reason:
    """Names of the reasons that decide about more than the text for people."""

    QUEUE_FULL = "queue full"
    DEADLINE = "deadline can't be met"
    SHED = "shed for more urgent work"
    QUOTA = "quota of the team is used up"
    MALFORMED = "malformed request"
    NO_RUNNERS = "no runner of the service is reachable"
    DRAINING = "instance is stopping"
    RETRY_BUDGET = "retry budget is used up"
    ANSWER_LOST = "answer was lost"
    ID_EXPIRED = "request id is older than the history of ids"
    ID_AHEAD = "request id was issued ahead of the clock"
    NO_ARBITER = "arbiter of the request id can't be reached"
    ID_REUSED = "request id was used for another request"
    RUN_FAILED = "runner reported a failure"


_STATUS = {
    Outcome.DONE: 200,
    Outcome.REFUSED: 503,
    Outcome.FAILED: 502,
    Outcome.UNKNOWN: 504,
}
_TOO_MANY = frozenset({Reason.QUEUE_FULL, Reason.SHED, Reason.QUOTA})
_BAD_REQUEST = frozenset({Reason.MALFORMED, Reason.ID_REUSED})


class Response(NamedTuple):
    """A runner's answer, whole."""

    status: int
    body: bytes
    content_type: str = "application/octet-stream"


class FinalAnswer(NamedTuple):
    """The one answer to a request.

    Attributes
    ----------
    outcome : str
        One of the names in `Outcome`.
    reason : str
        Why, for people and for the mapping to a status.
    retry_after_s : float
        Seconds after which to come back; zero where there is nothing to wait for.
    response : Response or None
        The runner's answer, where there is one.
    detail : str
        What is wrong with a malformed request.
    """

    outcome: str
    reason: str = ""
    retry_after_s: float = 0.0
    response: Response | None = None
    detail: str = ""


def get_status(answer: FinalAnswer) -> int:
    """Return the HTTP status of `answer`.

    Examples
    --------
    >>> get_status(FinalAnswer("refused", Reason.QUEUE_FULL, 2.0))
    429
    """
    if answer.outcome == Outcome.REFUSED and answer.reason in _TOO_MANY:
        return 429
    if answer.outcome == Outcome.REFUSED and answer.reason in _BAD_REQUEST:
        return 400
    return _STATUS[answer.outcome]


def build_headers(answer: FinalAnswer) -> list[tuple[str, str]]:
    """Return the headers that tell `answer`: outcome, reason, time to come back.

    Notes
    -----
    ``Retry-After`` takes whole seconds; it is rounded up, so that a caller that
    obeys never comes too early.
    """
    headers = [(OUTCOME_HEADER, answer.outcome)]
    if answer.reason:
        headers.append((REASON_HEADER, answer.reason))
    if answer.response is not None and answer.response.status != _STATUS[Outcome.DONE]:
        headers.append((UPSTREAM_STATUS_HEADER, str(answer.response.status)))
    if answer.retry_after_s > 0:
        headers.append(("Retry-After", str(math.ceil(answer.retry_after_s))))
    return headers


def build_body(answer: FinalAnswer, request_id: str) -> Response:
    """Return the body that tells `answer`: the runner's own, else a JSON object."""
    if answer.outcome == Outcome.DONE and answer.response is not None:
        return answer.response
    data: dict[str, object] = {
        "outcome": answer.outcome,
        "reason": answer.reason,
        "request_id": request_id,
        "retry_after_s": answer.retry_after_s,
    }
    if answer.detail:
        data["detail"] = answer.detail
    if answer.response is not None:
        data["upstream_status"] = answer.response.status
        data["upstream_body"] = answer.response.body.decode(errors="replace")
    body = json.dumps(data).encode()
    return Response(get_status(answer), body, "application/json")
