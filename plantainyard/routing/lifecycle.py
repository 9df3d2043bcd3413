"""Lifecycle of one request: arrival, admission of its id, attempts, forwards, answer.

Each function takes one event into the `GatewayState` and returns the actions that
follow from it.
"""

from itertools import chain

from plantainyard.protocol.constants import MAX_HOPS
from plantainyard.routing import events
from plantainyard.routing.arbitration import admit_id
from plantainyard.routing.credits import release_slot
from plantainyard.routing.events import Action, Answer, Peer
from plantainyard.routing.health import mark_leaving, record_result
from plantainyard.routing.outcomes import FinalAnswer, Outcome, Reason
from plantainyard.routing.queue import (
    Rejection,
    expire_requests,
    push_request,
    record_service_time,
)
from plantainyard.routing.retries import SendResult, decide_retry
from plantainyard.routing.selection import choose_peer
from plantainyard.routing.state import (
    GatewayState,
    PendingRequest,
    finish_request,
    record_decision,
)
from plantainyard.routing.values import Request

__all__ = ["accept_request", "end_attempt", "end_forward", "expire_pending"]

_MIN_RETRY_AFTER_S = 0.1
"""Shortest retry time in seconds that a caller gets."""

_MIN_FORWARD_MARGIN_S = 0.05
"""Minimum time in seconds by which a forwarded request's deadline is shortened."""

_FORWARD_MARGIN_SHARE = 0.1
"""Share of the remaining time by which a forwarded request's deadline is shortened."""

_EARLIER_OUTCOMES = {
    SendResult.LOST: Outcome.UNKNOWN,
    SendResult.FAILED: Outcome.FAILED,
}
"""Outcome by the result of an attempt that ran or may have run."""


def accept_request(
    state: GatewayState, request: Request, wall_s: float, now: float
) -> list[Action]:
    """Accept a request: have its id admitted where that is needed, then queue it."""
    if state.drained:
        answer = FinalAnswer(Outcome.REFUSED, Reason.DRAINING, _MIN_RETRY_AFTER_S)
        return [Answer(request.key, answer)]
    state.pending[request.key] = PendingRequest(request)
    if request.idempotent or request.admitted:
        return _enqueue(state, request, now)
    admission = admit_id(
        state.arbitration, state.owners, request, state.settings, wall_s, now
    )
    record_decision(state, request, f"id: {admission.reason}", now)
    if admission.answer is not None:
        return finish_request(state, request.key, admission.answer)
    if admission.joined:
        return []
    if admission.owner:
        return _forward_to_owner(state, request, admission.owner, now)
    return _enqueue(state, request, now)


def _forward_to_owner(
    state: GatewayState, request: Request, owner: str, now: float
) -> list[Action]:
    peer = state.peers.get(owner)
    full = state.forwarding >= state.settings.forward_max
    if peer is None or full or request.hops >= MAX_HOPS:
        # "Refused" would state that the id never ran, which only its arbiter knows: an
        # earlier attempt through another gateway may have run.
        reason = Reason.QUEUE_FULL if full else Reason.NO_ARBITER
        answer = FinalAnswer(Outcome.UNKNOWN, reason, state.settings.credit_s)
        return finish_request(state, request.key, answer)
    return _forward(state, request, peer, now)


def _forward(
    state: GatewayState, request: Request, peer: Peer, now: float
) -> list[Action]:
    pending = state.pending[request.key]
    pending.peer = peer.instance
    pending.tried_peers |= {peer.instance}
    state.forwarding += 1
    if peer.region != state.location.region:
        state.link.tokens -= request.size_bytes
    record_decision(state, request, f"forward to {peer.instance}", now)
    remaining_s = request.deadline - now
    # The peer refuses the request at the deadline that it is given. If this gateway
    # stopped waiting at the same moment, the peer's "refused" would arrive too late and
    # the caller would get "unknown" instead.
    margin_s = max(_MIN_FORWARD_MARGIN_S, _FORWARD_MARGIN_SHARE * remaining_s)
    deadline = request.deadline - margin_s
    sent = request._replace(hops=request.hops + 1, deadline=deadline)
    return [events.Forward(request.key, sent, peer, remaining_s)]


def _enqueue(state: GatewayState, request: Request, now: float) -> list[Action]:
    if not _has_credits(state, request.service, now):
        # Queueing here would use up the caller's time waiting for slots that don't
        # exist.
        actions = _try_forward(state, request, now)
        if actions:
            return actions
        if not _may_have_runner(state, request.service):
            reason, wait_s = Reason.NO_RUNNERS, state.settings.credit_s
            answer = FinalAnswer(Outcome.REFUSED, reason, wait_s)
            return finish_request(state, request.key, answer)
    rejected = push_request(state.queue, request, state.settings, now)
    return list(
        chain.from_iterable(_forward_or_reject(state, item, now) for item in rejected)
    )


def _forward_or_reject(
    state: GatewayState, item: Rejection, now: float
) -> list[Action]:
    """Forward a request that the queue has rejected, or refuse it."""
    actions = _try_forward(state, item.request, now)
    if actions:
        return actions
    record_decision(state, item.request, f"given up: {item.reason}", now)
    answer = FinalAnswer(Outcome.REFUSED, item.reason, item.retry_after_s)
    return finish_request(state, item.request.key, answer)


def _has_credits(state: GatewayState, service: str, now: float) -> bool:
    return any(
        held.limit > 0 and now < held.valid_until
        for held in state.credits.runners.values()
        if held.info.service == service
    )


def _may_have_runner(state: GatewayState, service: str) -> bool:
    """Return whether the service may have a runner, as far as this gateway knows."""
    if any(held.info.service == service for held in state.credits.runners.values()):
        return True
    owned_regions = {o.region for o in state.owners.values() if o.instance}
    # Until an owner has answered for the first time, its runners are not known.
    return state.location.region in owned_regions and not state.credits.terms


def _try_forward(state: GatewayState, request: Request, now: float) -> list[Action]:
    """Forward to the nearest peer with free credits; return no actions without one."""
    pending = state.pending[request.key]
    peer = choose_peer(
        state.location, state.peers.values(), request, state.link, pending.tried_peers
    )
    if (
        peer is None
        or now >= request.deadline
        or state.forwarding >= state.settings.forward_max
    ):
        return []
    # The peer's free credits are decremented here until its next heartbeat: otherwise
    # every request until then would go to the one peer that reported the most.
    free_credits = {
        **peer.free_credits,
        request.service: peer.free_credits[request.service] - 1,
    }
    state.peers[peer.instance] = peer._replace(free_credits=free_credits)
    admitted = request._replace(admitted=not request.idempotent)
    return _forward(state, admitted, peer, now)


def end_attempt(
    state: GatewayState, event: events.AttemptEnded, now: float
) -> list[Action]:
    """Record the end of an attempt, then answer the caller or retry."""
    pending = state.pending.get(event.key)
    if pending is None or not pending.runner_id:
        return []
    runner_id, pending.runner_id = pending.runner_id, ""
    ended = event.result != SendResult.LOST
    release_slot(state.credits, runner_id, event.key, ended, state.settings, now)
    record_result(
        state.health, runner_id, event.result, event.latency_s, state.settings, now
    )
    if event.leaving:
        mark_leaving(state.health, runner_id, "its own word")
    if event.result == SendResult.ANSWERED:
        record_service_time(state.queue, event.latency_s)
        answer = FinalAnswer(Outcome.DONE, response=event.response)
        return finish_request(state, event.key, answer)
    if event.result != SendResult.NOT_SENT:
        pending.failed_runners |= {runner_id}
    pending.earlier_outcome = _EARLIER_OUTCOMES.get(
        event.result, pending.earlier_outcome
    )
    return _retry(state, pending, event, now)


def _retry(
    state: GatewayState, pending: PendingRequest, event: events.AttemptEnded, now: float
) -> list[Action]:
    request = pending.request
    decision = decide_retry(
        state.budget,
        request,
        event.result,
        pending.attempts,
        state.queue.service_time_s,
        state.settings,
        now,
    )
    record_decision(state, request, f"{event.result}: again={decision.retry}", now)
    if decision.retry:
        return _enqueue(state, request, now)
    wait = max(_MIN_RETRY_AFTER_S, event.retry_after_s, state.queue.service_time_s)
    retry_after_s = 0.0 if decision.outcome == Outcome.FAILED else wait
    answer = FinalAnswer(
        decision.outcome, decision.reason, retry_after_s, event.response
    )
    return finish_request(state, request.key, answer)


def end_forward(
    state: GatewayState, event: events.ForwardEnded, now: float
) -> list[Action]:
    """Record the end of a forward, then relay the peer's answer or retry."""
    pending = state.pending.get(event.key)
    if pending is None or not pending.peer:
        return []
    peer, pending.peer = pending.peer, ""
    state.forwarding -= 1
    if event.answer is not None:
        _update_free_credits(state, peer, pending.request.service, event.answer.outcome)
        return finish_request(state, event.key, event.answer)
    state.peers.pop(peer, None)
    request = pending.request
    not_admitted = not request.idempotent and not _is_admitted(state, request)
    if not_admitted:
        reason = (
            Reason.ANSWER_LOST if event.result == SendResult.LOST else Reason.NO_ARBITER
        )
        answer = FinalAnswer(Outcome.UNKNOWN, reason, state.settings.credit_s)
        return finish_request(state, event.key, answer)
    pending.attempts += 1
    pending.earlier_outcome = _EARLIER_OUTCOMES.get(
        event.result, pending.earlier_outcome
    )
    ended = events.AttemptEnded(event.key, event.result)
    return _retry(state, pending, ended, now)


def _update_free_credits(
    state: GatewayState, peer: str, service: str, outcome: str
) -> None:
    """Update the count of a peer's free credits with the outcome of a forward.

    A refusal sets the count to zero. Any other outcome raises it by one, because the
    request's slot has become free.

    Notes
    -----
    A heartbeat reports the free credits at one moment. If the count were only
    decremented, no more requests could be forwarded between two heartbeats than there
    were free credits at the first, although slots become free all the time.
    """
    known = state.peers.get(peer)
    if known is None:
        return
    free_credits = (
        0 if outcome == Outcome.REFUSED else known.free_credits.get(service, 0) + 1
    )
    state.peers[peer] = known._replace(
        free_credits={**known.free_credits, service: free_credits}
    )


def _is_admitted(state: GatewayState, request: Request) -> bool:
    """Return whether the arbiter of the request's id has let it run."""
    return request.admitted or request.key in state.arbitration.running_racks


def expire_pending(state: GatewayState, now: float) -> list[Action]:
    """Forward or answer the requests that can no longer meet their deadline here."""
    rejected = expire_requests(state.queue, now)
    actions = [_forward_or_reject(state, item, now) for item in rejected]
    late = [
        key
        for key in state.arbitration.list_joined()
        if now >= state.pending[key].request.deadline
    ]
    answer = FinalAnswer(Outcome.UNKNOWN, Reason.ANSWER_LOST, _MIN_RETRY_AFTER_S)
    for key in late:
        state.arbitration.remove_joined(key)
        actions.append(finish_request(state, key, answer))
    return list(chain.from_iterable(actions))
