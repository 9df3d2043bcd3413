"""Outcomes of a request, a closed set, and the HTTP response that reports each."""

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
        The request ran; the response is the runner's.
    ``REFUSED``
        The request did not run, and will not. `FinalAnswer.retry_after_s` says when
        the caller may retry.
    ``FAILED``
        The request ran, at least in part, and the runner reported a failure.
    ``UNKNOWN``
        The request may or may not have run. The same request id may be sent again.
    """

    DONE = "done"
    REFUSED = "refused"
    FAILED = "failed"
    UNKNOWN = "unknown"


class Reason:
    """Names of the reasons that affect more than the text shown to callers."""

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
_TOO_MANY_REQUESTS = frozenset({Reason.QUEUE_FULL, Reason.SHED, Reason.QUOTA})
_BAD_REQUEST = frozenset({Reason.MALFORMED, Reason.ID_REUSED})


class Response(NamedTuple):
    """A runner's complete response."""

    status: int
    body: bytes
    content_type: str = "application/octet-stream"


class FinalAnswer(NamedTuple):
    """The final answer to a request; each request gets exactly one.

    Attributes
    ----------
    outcome : str
        One of the names in `Outcome`.
    reason : str
        Reason for the outcome, for callers and for the choice of the HTTP status.
    retry_after_s : float
        Seconds after which the caller may retry; zero where waiting does not help.
    response : Response or None
        The runner's response, where there is one.
    detail : str
        What is wrong with a malformed request, or why the response is missing.
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
    if answer.outcome == Outcome.REFUSED and answer.reason in _TOO_MANY_REQUESTS:
        return 429
    if answer.outcome == Outcome.REFUSED and answer.reason in _BAD_REQUEST:
        return 400
    return _STATUS[answer.outcome]


def build_headers(answer: FinalAnswer) -> list[tuple[str, str]]:
    """Return the headers of `answer`: outcome, reason, upstream status, retry time.

    Notes
    -----
    ``Retry-After`` takes whole seconds; it is rounded up, so that a caller that
    obeys it never retries too early.
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
    """Return the response to `answer`: the runner's own if done, else a JSON object."""
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
