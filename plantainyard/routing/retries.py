"""Retries: which sending may be repeated, and out of which budget.

Notes
-----
The budget is a token bucket: each first sending adds a share of a token and each retry
takes one. So the load offered to upstreams is at most ``1 + share`` times the load of
the callers plus the burst, however many upstreams fail.
"""

from typing import NamedTuple

from plantainyard.routing.outcomes import Outcome, Reason
from plantainyard.routing.values import Request, RoutingSettings

__all__ = [
    "RetryBudget",
    "RetryDecision",
    "SendResult",
    "earn_retry",
    "decide_retry",
]


class SendResult:
    """Names of the ways in which a sending ends.

    Notes
    -----
    ``ANSWERED``
        The runner's whole answer to this request came.
    ``FAILED``
        The runner answered that it ran the request and failed.
    ``NOT_RUN``
        Provably not run: never connected, or the runner said so.
    ``NOT_SENT``
        The credit ended before the send; no upstream heard of it.
    ``LOST``
        It may have run: the answer is late, cut off, or for another request.
    """

    ANSWERED = "answered"
    FAILED = "failed"
    NOT_RUN = "not run"
    NOT_SENT = "not sent"
    LOST = "lost"


class RetryBudget:
    """Tokens for retries.

    Parameters
    ----------
    tokens : float
        Tokens at the start.
    """

    def __init__(self, tokens: float) -> None:
        self.tokens = tokens


class RetryDecision(NamedTuple):
    """Whether to send again, and the outcome if not."""

    retry: bool
    outcome: str = ""
    reason: str = ""


def earn_retry(budget: RetryBudget, settings: RoutingSettings) -> None:
    """Count a first sending."""
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
    """Decide what follows a sending that brought no answer.

    Parameters
    ----------
    budget : RetryBudget
        Changed where a retry is granted.
    request : Request
        The request.
    result : str
        One of the names in `SendResult` but ``ANSWERED``.
    attempts : int
        Sendings so far.
    service_s : float
        Usual time of a sending, which must fit before the deadline.
    settings : RoutingSettings
        Bounds.
    now : float
        Present time.

    Returns
    -------
    RetryVerdict
        Send again, or the final outcome.
    """
    outcome, reason = _conclude(result)
    # A non-idempotent request that may have run would run twice: a customer charged
    # twice. Only a sending that provably did not run is repeated.
    safe = request.idempotent or result in (SendResult.NOT_RUN, SendResult.NOT_SENT)
    if not safe or attempts >= settings.attempts_max:
        return RetryDecision(False, outcome, reason)
    if now + service_time_s > request.deadline:
        return RetryDecision(False, outcome, reason or Reason.DEADLINE)
    if result == SendResult.NOT_SENT:
        return RetryDecision(True)
    if budget.tokens < 1.0:
        return RetryDecision(False, outcome, reason or Reason.RETRY_BUDGET)
    budget.tokens -= 1.0
    return RetryDecision(True)


def _conclude(result: str) -> tuple[str, str]:
    if result == SendResult.FAILED:
        return Outcome.FAILED, Reason.RUN_FAILED
    if result == SendResult.LOST:
        return Outcome.UNKNOWN, Reason.ANSWER_LOST
    return Outcome.REFUSED, ""
