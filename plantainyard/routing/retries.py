"""Retries: which attempts may be repeated, within a retry budget.

Notes
-----
The budget is a token bucket: each first attempt adds a share of a token, and each retry
takes one token. The load on upstreams is therefore at most ``1 + share`` times the load
of the callers, plus the burst, however many upstreams fail.
"""

from typing import NamedTuple

from plantainyard.routing.outcomes import Outcome, Reason
from plantainyard.routing.values import Request, RoutingSettings

__all__ = [
    "RetryBudget",
    "RetryDecision",
    "SendResult",
    "decide_retry",
    "earn_retry",
]


class SendResult:
    """Names of the results of an attempt.

    Notes
    -----
    ``ANSWERED``
        The runner's complete answer to this request was received.
    ``FAILED``
        The runner answered that it ran the request and that it failed.
    ``NOT_RUN``
        The request provably did not run: no connection was made, or the runner
        reported so.
    ``NOT_SENT``
        The credit ended before the request was sent; no upstream received it.
    ``LOST``
        The request may have run: the answer is late, truncated, or for another request.
    """

    ANSWERED = "answered"
    FAILED = "failed"
    NOT_RUN = "not run"
    NOT_SENT = "not sent"
    LOST = "lost"


class RetryBudget:
    """Token bucket for retries.

    Parameters
    ----------
    tokens : float
        Initial number of tokens.
    """

    def __init__(self, tokens: float) -> None:
        self.tokens = tokens


class RetryDecision(NamedTuple):
    """Whether to retry, and the outcome and reason if not."""

    retry: bool
    outcome: str = ""
    reason: str = ""


def earn_retry(budget: RetryBudget, settings: RoutingSettings) -> None:
    """Add the share of a token that a first attempt earns."""
    budget.tokens = min(settings.retry_burst, budget.tokens + settings.retry_share)


def decide_retry(
    budget: RetryBudget,
    request: Request,
    result: str,
    attempts: int,
    service_time_s: float,
    settings: RoutingSettings,
    now: float,
) -> RetryDecision:
    """Decide whether to retry after an attempt without a successful answer.

    Parameters
    ----------
    budget : RetryBudget
        A token is taken where a retry is granted, except after ``NOT_SENT``.
    request : Request
        The request.
    result : str
        One of the names in `SendResult` except ``ANSWERED``.
    attempts : int
        Number of attempts so far.
    service_time_s : float
        Estimated duration of an attempt, which must fit before the deadline.
    settings : RoutingSettings
        Limits.
    now : float
        Current time.

    Returns
    -------
    RetryDecision
        Whether to retry, or else the final outcome.
    """
    outcome, reason = _find_outcome(result)
    # Repeating a non-idempotent request that may have run could charge a customer
    # twice. Only an attempt that provably did not run is repeated.
    is_safe = request.idempotent or result in (SendResult.NOT_RUN, SendResult.NOT_SENT)
    if not is_safe or attempts >= settings.attempts_max:
        return RetryDecision(False, outcome, reason)
    if now + service_time_s > request.deadline:
        return RetryDecision(False, outcome, reason or Reason.DEADLINE)
    if result == SendResult.NOT_SENT:
        return RetryDecision(True)
    if budget.tokens < 1.0:
        return RetryDecision(False, outcome, reason or Reason.RETRY_BUDGET)
    budget.tokens -= 1.0
    return RetryDecision(True)


def _find_outcome(result: str) -> tuple[str, str]:
    if result == SendResult.FAILED:
        return Outcome.FAILED, Reason.RUN_FAILED
    if result == SendResult.LOST:
        return Outcome.UNKNOWN, Reason.ANSWER_LOST
    return Outcome.REFUSED, ""
