"""Decisions of a gateway on each caller's request, as a state machine without I/O.

`step` combines the credits, the queue, the health of runners, the retries and the
arbiters of request ids. Every accepted request gets exactly one `Answer`, as soon as
its outcome is decided.

Notes
-----
A non-idempotent request first goes to the arbiter of its id. Once admitted, or if it is
idempotent, it waits in the queue for a credit. If it can't meet its deadline here, it
is forwarded to the nearest peer with free credits, or else refused at once.
"""

from collections import Counter

from plantainyard.routing import events
from plantainyard.routing.credits import (
    count_free,
    drop_runner,
    release_lost,
)
from plantainyard.routing.events import Action, Event
from plantainyard.routing.health import describe_runner, mark_leaving, retain_runners
from plantainyard.routing.lifecycle import (
    accept_request,
    end_attempt,
    end_forward,
    expire_pending,
)
from plantainyard.routing.queue import record_service_time, select_waiting
from plantainyard.routing.sending import (
    apply_credit_answer,
    request_credits,
    return_credits,
    send_waiting,
)
from plantainyard.routing.state import GatewayState

__all__ = ["GatewayState", "count_free_credits", "dump_gateway", "is_idle", "step"]


def step(state: GatewayState, event: Event, now: float) -> list[Action]:
    """Apply `event` to `state` and return the actions to perform.

    Parameters
    ----------
    state : GatewayState
        Updated.
    event : Event
        The event.
    now : float
        Current time of `clock.read_clock` in seconds.

    Returns
    -------
    list of Action
        Actions in the order in which to perform them.

    Notes
    -----
    One event takes time proportional to the queue's length and the number of runners.
    """
    actions = _apply_event(state, event, now)
    actions += expire_pending(state, now)
    actions += send_waiting(state, now)
    actions += request_credits(state, event, now)
    if _is_drain_complete(state, now):
        state.drained = True
        actions += return_credits(state, now)
        actions.append(events.Drained())
    return actions


def is_idle(state: GatewayState) -> bool:
    """Return whether no request is pending."""
    return not state.pending


def count_free_credits(state: GatewayState, now: float) -> dict[str, int]:
    """Return the free credits of each service beyond the requests that wait here."""
    free_credits: Counter[str] = Counter()
    for held in state.credits.runners.values():
        if held.info.domain == state.location.domain:
            free_credits[held.info.service] += count_free(held, now)
    free_credits.subtract(request.service for request in select_waiting(state.queue))
    return {service: free for service, free in free_credits.items() if free > 0}


def dump_gateway(state: GatewayState, now: float) -> dict[str, object]:
    """Return the state and the latest decisions as plain values, for operators."""
    runners = {
        key: {
            "limit": held.limit,
            "sending": held.active_count,
            "lost": len(held.lost),
            "valid_for_s": held.valid_until - now,
            "health": describe_runner(state.health, key, now),
        }
        for key, held in state.credits.runners.items()
    }
    return {
        "runners": runners,
        "queued": state.queue.count,
        "queued_bytes": state.queue.size_bytes,
        "service_s": state.queue.service_time_s,
        "in_progress": len(state.pending),
        "forwarding": state.forwarding,
        "retry_tokens": state.budget.tokens,
        "ids": {r: len(a.entries) for r, a in state.arbitration.arbiters.items()},
        "draining": state.drain_after is not None,
        "decisions": list(state.decisions),
    }


def _apply_event(state: GatewayState, event: Event, now: float) -> list[Action]:
    match event:
        case events.RequestArrived(request, wall_s):
            return accept_request(state, request, wall_s, now)
        case events.AttemptEnded():
            return end_attempt(state, event, now)
        case events.LateAttemptEnded(key, runner_id, latency_s):
            release_lost(state.credits, runner_id, key)
            record_service_time(state.queue, latency_s)
        case events.ForwardEnded():
            return end_forward(state, event, now)
        case events.CreditAnswerReceived(answer):
            apply_credit_answer(state, answer)
            for runner_id in answer.leaving:
                mark_leaving(state.health, runner_id, "its rack's owner")
        case events.RunnersChanged(leaving, terminated):
            for runner_id in leaving:
                mark_leaving(state.health, runner_id, "list")
            for runner_id in terminated:
                drop_runner(state.credits, runner_id)
            retain_runners(state.health, {*state.credits.runners, *leaving})
        case events.OwnersChanged(owners):
            state.owners = owners
        case events.PeersChanged(peers):
            state.peers = {peer.instance: peer for peer in peers}
        case events.AuthorityChanged():
            state.arbitration.extend(event, state.settings)
        case events.Drain(grace_s):
            state.drain_after = now + grace_s
    return []


def _is_drain_complete(state: GatewayState, now: float) -> bool:
    grace_over = state.drain_after is not None and now >= state.drain_after
    return grace_over and not state.pending and not state.drained
