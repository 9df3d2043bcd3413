"""State of a gateway: its pending requests and the parts that decide on them."""

from collections import deque
from collections.abc import Mapping

from plantainyard.routing.arbitration import Arbitration, complete_id
from plantainyard.routing.credits import CreditState
from plantainyard.routing.events import Action, Answer, Owner, Peer
from plantainyard.routing.health import HealthState
from plantainyard.routing.outcomes import FinalAnswer, Outcome
from plantainyard.routing.queue import QueueState
from plantainyard.routing.retries import RetryBudget
from plantainyard.routing.selection import LinkBudget, Location
from plantainyard.routing.values import Request, RoutingSettings

__all__ = ["GatewayState", "PendingRequest", "finish_request", "record_decision"]

_DECISIONS_KEPT = 200
"""Number of latest decisions kept for the state dump."""


class PendingRequest:
    """A request that was accepted and not yet answered.

    `earlier_outcome` is the outcome of an earlier attempt that ran or may have run;
    it is empty where there was none.
    """

    def __init__(self, request: Request) -> None:
        self.request = request
        self.attempts = 0
        self.runner_id = ""
        self.peer = ""
        self.failed_runners: frozenset[str] = frozenset()
        self.tried_peers: frozenset[str] = frozenset()
        self.earlier_outcome = ""


class GatewayState:
    """State of one gateway.

    Parameters
    ----------
    location : Location
        Location of this instance.
    name : str
        Name of this process in credit requests; no later process may use it again.
    settings : RoutingSettings
        Limits and times.
    weights : mapping of str to float
        Weights of the teams.
    """

    def __init__(
        self,
        location: Location,
        name: str,
        settings: RoutingSettings,
        weights: Mapping[str, float] | None = None,
    ) -> None:
        self.location = location
        self.settings = settings
        self.credits = CreditState(name)
        self.health = HealthState()
        self.queue = QueueState(weights)
        self.budget = RetryBudget(settings.retry_burst)
        self.link = LinkBudget(settings.link_bytes_s)
        self.arbitration = Arbitration(location.instance)
        self.owners: dict[str, Owner] = {}
        self.peers: dict[str, Peer] = {}
        self.pending: dict[str, PendingRequest] = {}
        self.forwarding = 0
        self.demand_peaks: dict[str, float] = {}
        self.backlog_intervals: dict[str, float] = {}
        self.drain_after: float | None = None
        self.drained = False
        self.decisions: deque[str] = deque(maxlen=_DECISIONS_KEPT)


def finish_request(state: GatewayState, key: str, answer: FinalAnswer) -> list[Action]:
    """Answer a request and the repeats that have joined it."""
    pending = state.pending.pop(key)
    # "Refused" states that the request did not run. After an earlier attempt that ran
    # or may have run this would be false, whatever the result of the last attempt.
    if answer.outcome == Outcome.REFUSED and pending.earlier_outcome:
        answer = answer._replace(outcome=pending.earlier_outcome)
    joined = complete_id(state.arbitration, pending.request, answer, state.settings)
    for other in joined:
        state.pending.pop(other)
    return [Answer(k, answer) for k in (key, *joined)]


def record_decision(
    state: GatewayState, request: Request, text: str, now: float
) -> None:
    """Record a decision and its reason for the state dump."""
    state.decisions.append(f"{now:.3f} {request.id} ({request.key}): {text}")
