"""Client of a runner, which sends one caller's request once without retries."""

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
    """Names of the possible outcomes of a request sent to a runner.

    Notes
    -----
    ``ANSWERED``
        A complete response to this request arrived; the runner ran the request.
    ``NOT_RUN``
        The request certainly did not run: there was no connection, or the runner
        responded that it did not run it.
    ``LOST``
        The request may have run: the response was lost, late, truncated or belongs to
        another request.
    """

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    LOST = "lost"


class RunnerClient(NamedTuple):
    """A connection to a runner."""

    peer: HttpPeer


class RunnerResult(NamedTuple):
    """The result of sending one request.

    Attributes
    ----------
    outcome : str
        One of the names in `RunnerOutcome`.
    response : HttpResponse or None
        The runner's response; None if no complete response to this request arrived.
    error : CallError or None
        Reason for the missing response; None if there is a response.
    retry_after_s : float
        Seconds to wait before a retry, as requested by the runner; zero if it
        requested none.
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
    """Send one request to the runner and return the result.

    Parameters
    ----------
    client : RunnerClient
        The runner.
    body : bytes
        The caller's body.
    request_id : str
        Identifier that the response must repeat.
    timeout_s : float
        Longest wait for the complete response.
    headers : mapping, optional
        The caller's headers to pass on.
    remaining_s : float, optional
        Time left until the caller's deadline, sent to the runner; `timeout_s` by
        default.

    Returns
    -------
    RunnerResult
        Failures are reported as an outcome and are never raised.
    """
    sent_headers = {
        **(headers or {}),
        REQUEST_ID_HEADER: request_id,
        DEADLINE_HEADER: str(
            int((timeout_s if remaining_s is None else remaining_s) * 1000)
        ),
    }
    # Responses can be swapped or late. A response with the id of another request must
    # not reach this caller; whether this caller's request ran is then unknown.
    result = send_request(
        client.peer,
        "runner.request",
        "POST",
        "/",
        body,
        sent_headers,
        timeout_s,
        expected_headers={REQUEST_ID_HEADER: request_id},
    )
    if isinstance(result, Err):
        error = result.err_value
        certainly_not_run = error.kind == ErrorKind.UNREACHABLE
        outcome = RunnerOutcome.NOT_RUN if certainly_not_run else RunnerOutcome.LOST
        return RunnerResult(outcome, error=error)
    return _classify_response(result.ok_value)


def _classify_response(response: HttpResponse) -> RunnerResult:
    not_run = response.headers.get(NOT_RUN_HEADER, "").lower()
    if response.status == UNAVAILABLE and not_run == "true":
        return RunnerResult(
            RunnerOutcome.NOT_RUN, response, retry_after_s=read_retry_after(response)
        )
    return RunnerResult(RunnerOutcome.ANSWERED, response)
