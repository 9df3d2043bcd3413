"""Sending of waiting requests under credits, and requests for more credits.

Notes
-----
A credit allows the gateway to use one slot of a runner until its lease ends. The owner
of the runner's rack grants credits in answer to a `CreditAsk`.
"""

from collections import Counter
from collections.abc import Callable
from functools import cache

from plantainyard.protocol.messages import CreditAnswer
from plantainyard.routing import events
from plantainyard.routing.credits import (
    apply_answer,
    build_closing_request,
    build_credit_request,
    count_free,
    take_slot,
)
from plantainyard.routing.events import Action, Event
from plantainyard.routing.health import start_probe
from plantainyard.routing.queue import pop_request, select_waiting
from plantainyard.routing.retries import earn_retry
from plantainyard.routing.selection import (
    Candidates,
    choose_runner,
    divide_demand,
    rank_runners,
    refill_link,
)
from plantainyard.routing.state import GatewayState, record_decision
from plantainyard.routing.values import Request

__all__ = ["apply_credit_answer", "request_credits", "return_credits", "send_waiting"]

_BACKLOG_INTERVAL_S = 0.05
"""Shortest interval in seconds between credit requests while requests wait."""

_PEAK_DECAY = 0.8
"""Factor by which a peak of the demand decays at each measurement."""

_MIN_PEAK = 0.5
"""Peak of the demand, in slots, below which no demand is reported."""

_IDLE_INTERVAL_MAX_S = 1.5
"""Upper bound in seconds for the interval between credit requests of an idle gateway.
The answers name the leaving runners, and a gateway has to stop sending new requests to
a leaving runner within 2 s."""

_IDLE_INTERVAL_SHARE = 0.3
"""Interval between credit requests of an idle gateway, as a share of the lease."""


def send_waiting(state: GatewayState, now: float) -> list[Action]:
    """Send waiting requests while there are free credits."""
    held = state.credits.runners.values()
    state.queue.slots = sum(h.limit for h in held if now < h.valid_until)
    actions: list[Action] = []
    while state.queue.count and any(count_free(h, now) > 0 for h in held):
        find = _build_runner_finder(state, now)
        request = pop_request(state.queue, state.settings, find)
        if request is None:
            break
        runner_id = find(request)
        assert runner_id is not None
        actions.append(_send(state, request, runner_id, now))
    return actions


def _build_runner_finder(
    state: GatewayState, now: float
) -> Callable[[Request], str | None]:
    """Return a function that finds the runner for a request in the current state."""

    @cache
    def rank(service: str, idempotent: bool) -> Candidates:
        return rank_runners(
            state.location,
            state.credits,
            state.health,
            service,
            idempotent,
            state.settings,
            now,
        )

    def find(request: Request) -> str | None:
        candidates = rank(request.service, request.idempotent)
        return choose_runner(candidates, state.pending[request.key].failed_runners)

    return find


def _send(state: GatewayState, request: Request, runner_id: str, now: float) -> Action:
    runner = state.credits.runners[runner_id].info
    not_after = take_slot(state.credits, runner_id, now)
    assert not_after is not None
    pending = state.pending[request.key]
    pending.runner_id = runner_id
    pending.attempts += 1
    if pending.attempts == 1:
        earn_retry(state.budget, state.settings)
    start_probe(state.health, runner_id, now)
    record_decision(
        state, request, f"send to {runner_id}, attempt {pending.attempts}", now
    )
    timeout_s = min(request.deadline - now, state.settings.request_max_s)
    return events.Send(request.key, request, runner, not_after, timeout_s)


def apply_credit_answer(state: GatewayState, answer: CreditAnswer) -> None:
    """Apply an owner's answer, and adjust the interval between credit requests.

    Notes
    -----
    While requests wait, credits are requested more often. Under overload this brings no
    credits, and at the shortest interval the credit requests alone exceeded the cost
    budget of all control traffic. The interval therefore doubles with each answer that
    doesn't raise the credits, as an exponential backoff.
    """
    before = _sum_limits(state, answer.rack)
    if not apply_answer(state.credits, answer, state.settings):
        return
    has_grown = _sum_limits(state, answer.rack) > before
    backlog_s = 2 * state.backlog_intervals.get(answer.rack, _BACKLOG_INTERVAL_S)
    state.backlog_intervals[answer.rack] = (
        _BACKLOG_INTERVAL_S if has_grown else backlog_s
    )


def _sum_limits(state: GatewayState, rack: str) -> int:
    held = state.credits.runners.values()
    return sum(h.limit for h in held if h.info.rack == rack)


def request_credits(state: GatewayState, event: Event, now: float) -> list[Action]:
    """Return the credit requests that are due to the owners of the region's racks.

    Notes
    -----
    The demand is the number of credits in use and of requests that wait. A peak of the
    demand decays gradually, so that credits aren't returned between two bursts.
    """
    refill_link(state.link, state.settings, now)
    refused = _find_new_term_rack(event)
    due = [
        rack
        for rack, owner in state.owners.items()
        if owner.instance
        and owner.region == state.location.region
        and (_is_request_due(state, rack, now) or rack == refused)
    ]
    if not due or state.drained:
        return []
    demand = _measure_demand(state)
    parts = divide_demand(state.location, state.owners, demand, state.credits, now)
    requests = [_prepare_credit_request(state, rack, parts[rack], now) for rack in due]
    return [ask for ask in requests if ask is not None]


def _measure_demand(state: GatewayState) -> dict[str, int]:
    wanted = Counter(
        pending.request.service
        for pending in state.pending.values()
        if pending.runner_id
    )
    wanted.update(request.service for request in select_waiting(state.queue))
    peaks = {
        s: max(wanted[s], _PEAK_DECAY * state.demand_peaks.get(s, 0.0))
        for s in {*wanted, *state.demand_peaks}
    }
    # Callers choose the names of services, so that only those in demand are kept.
    state.demand_peaks = {s: n for s, n in peaks.items() if n >= _MIN_PEAK}
    return {s: round(n) for s, n in state.demand_peaks.items()}


def _prepare_credit_request(
    state: GatewayState, rack: str, demand: dict[str, int], now: float
) -> Action | None:
    """Return the credit request to a rack's owner, or None where none is needed.

    Notes
    -----
    A rack of another domain gets a request only while there is demand for its slots:
    an answer also grants a share of the idle slots, which should go to the gateways of
    the rack's own domain.
    """
    owner = state.owners[rack]
    if any(demand.values()) or owner.domain == state.location.domain:
        ask = build_credit_request(state.credits, rack, demand, state.settings, now)
        return events.RequestCredits(owner.instance, ask)
    if any(held.info.rack == rack for held in state.credits.runners.values()):
        ask = build_closing_request(state.credits, rack, now)
        return events.RequestCredits(owner.instance, ask)
    return None


def _find_new_term_rack(event: Event) -> str:
    """Return the rack whose owner requires a new request under its new term, or ""."""
    match event:
        case events.CreditAnswerReceived(answer) if answer.term and not answer.granted:
            return answer.rack
    return ""


def _is_request_due(state: GatewayState, rack: str, now: float) -> bool:
    elapsed_s = now - state.credits.requested_at.get(rack, float("-inf"))
    if not state.queue.count:
        state.backlog_intervals.clear()
    backlog_s = state.backlog_intervals.get(rack, _BACKLOG_INTERVAL_S)
    is_backlog_due = state.queue.count > 0 and elapsed_s >= backlog_s
    idle_s = min(_IDLE_INTERVAL_MAX_S, state.settings.credit_s * _IDLE_INTERVAL_SHARE)
    usual_s = state.settings.credit_request_interval_s
    return is_backlog_due or elapsed_s >= (
        usual_s if state.pending else max(usual_s, idle_s)
    )


def return_credits(state: GatewayState, now: float) -> list[Action]:
    """Return all credits, so that other gateways needn't wait for the leases to end."""
    racks = {held.info.rack for held in state.credits.runners.values()}
    return [
        events.RequestCredits(
            state.owners[rack].instance, build_closing_request(state.credits, rack, now)
        )
        for rack in sorted(racks & state.owners.keys())
    ]
