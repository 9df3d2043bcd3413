"""Client of a runner: send it one caller's request, once."""

from collections.abc import Mapping
from typing import NamedTuple

import urllib3
from result import Err

from plantainyard.errors import CallError, ErrorKind
from plantainyard.transport import (
    DEFAULT_TIMEOUT_S,
    HttpPeer,
    HttpResponse,
    build_peer,
    read_retry_after,
    send_request,
)

__all__ = [
    "RunnerResult",
    "RunnerClient",
    "RunnerOutcome",
    "build_runner_client",
    "run_request",
]

DEADLINE_HEADER = "Deadline-Ms"
NOT_RUN_HEADER = "Not-Run"
REQUEST_ID_HEADER = "Request-Id"
UNAVAILABLE = 503


class RunnerOutcome:
    """What is known of a request after it was sent.

    Notes
    -----
    ``ANSWERED``
        The whole answer came and is for this request; the runner ran it.
    ``NOT_RUN``
        It provably did not run: no connection was made, or the runner said so.
    ``LOST``
        It may have run: the answer was lost, late, cut short or another's.
    """

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    LOST = "lost"


class RunnerClient(NamedTuple):
    """A runner as one instance reaches it."""

    peer: HttpPeer


class RunnerResult(NamedTuple):
    """The outcome of one sending.

    Attributes
    ----------
    outcome : str
        One of the names in `RunnerOutcome`.
    answer : HttpResponse or None
        The runner's answer; present whenever a whole one for this request came.
    error : CallError or None
        Why there is no answer; None with an answer.
    retry_after_s : float
        Seconds after which the runner asks to come back, else zero.
    """

    outcome: str
    response: HttpResponse | None = None
    error: CallError | None = None
    retry_after_s: float = 0.0


def build_runner_client(
    address: str,
    pool: urllib3.PoolManager | None = None,
    timeout_s: float = DEFAULT_TIMEOUT_S,
) -> RunnerClient:
    """Return a client of the runner at `address`."""
    return RunnerClient(build_peer(address, pool, timeout_s))


def run_request(
    client: RunnerClient,
    body: bytes,
    request_id: str,
    timeout_s: float,
    headers: Mapping[str, str] | None = None,
    remaining_s: float | None = None,
) -> RunnerResult:
    """Send one request to the runner and return its outcome.

    Parameters
    ----------
    client : RunnerClient
        The runner.
    body : bytes
        The caller's body.
    request_id : str
        Identifier that the answer must repeat.
    timeout_s : float
        Longest wait for the whole answer.
    headers : mapping, optional
        The caller's headers to pass on.
    remaining_s : float, optional
        Time left until the caller's deadline, which the runner is told; `timeout_s`
        by default.

    Returns
    -------
    RunnerResult
        Never an error of its own: each failure is an outcome.
    """
    sent = {
        **(headers or {}),
        REQUEST_ID_HEADER: request_id,
        DEADLINE_HEADER: str(
            int((timeout_s if remaining_s is None else remaining_s) * 1000)
        ),
    }
    # Answers can be swapped or late: a runner's answer with another request's id must
    # not reach this caller, and whether this one ran is then not known.
    result = send_request(
        client.peer,
        "runner.request",
        "POST",
        "/",
        body,
        sent,
        timeout_s,
        expected_headers={REQUEST_ID_HEADER: request_id},
    )
    if isinstance(result, Err):
        error = result.err_value
        sure = error.kind == ErrorKind.UNREACHABLE
        outcome = RunnerOutcome.NOT_RUN if sure else RunnerOutcome.LOST
        return RunnerResult(outcome, error=error)
    return _classify_response(result.ok_value)


def _classify_response(answer: HttpResponse) -> RunnerResult:
    flag = answer.headers.get(NOT_RUN_HEADER, "").lower()
    if answer.status == UNAVAILABLE and flag == "true":
        return RunnerResult(
            RunnerOutcome.NOT_RUN, answer, retry_after_s=read_retry_after(answer)
        )
    return RunnerResult(RunnerOutcome.ANSWERED, answer)
