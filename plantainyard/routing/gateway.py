"""The gateway's deciding part: what happens to each caller's request.

`step` composes the credits, the queue, the health of runners, the retries and the
arbiters of request ids. Every accepted request gets exactly one `Answer`, at the
moment at which its outcome is decided.

Notes
-----
A non-idempotent request goes to the arbiter of its id before anything else. Once
judged, or if idempotent, it waits in the queue for a credit; where its deadline can't
be met here, it is forwarded to the nearest peer with room, else refused at once.
"""

from collections import Counter, deque
from collections.abc import Mapping
from itertools import chain

from plantainyard.protocol.constants import MAX_HOPS
from plantainyard.routing import events
from plantainyard.routing.arbitration import Arbitration, admit_id, settle_id
from plantainyard.routing.choices import (
    LinkBudget,
    Place,
    choose_peer,
    choose_runner,
    divide_demand,
    refill_link,
)
from plantainyard.routing.credits import (
    CreditState,
    apply_answer,
    build_ask,
    build_return,
    count_free,
    drop_runner,
    release_slot,
    take_slot,
)
from plantainyard.routing.events import Action, Answer, Event, Owner, Peer
from plantainyard.routing.health import (
    HealthState,
    describe_runner,
    forget_runners,
    mark_leaving,
    record_result,
    start_probe,
)
from plantainyard.routing.outcomes import FinalAnswer, Outcome, Reason
from plantainyard.routing.queue import (
    GivenUp,
    QueueState,
    expire_requests,
    measure_service,
    pop_request,
    push_request,
    select_waiting,
)
from plantainyard.routing.retries import (
    RetryBudget,
    SendResult,
    earn_retry,
    judge_retry,
)
from plantainyard.routing.values import Request, RoutingSettings

__all__ = ["GatewayState", "count_room", "dump_gateway", "is_idle", "step"]

_DECISIONS_KEPT = 200
_URGENT_ASK_S = 0.05
_PEAK_DECAY = 0.8
_LEAST_RETRY_S = 0.1
_DOUBTS = {SendResult.LOST: Outcome.UNKNOWN, SendResult.FAILED: Outcome.FAILED}


class _Flight:
    """A request that was accepted and not yet answered."""

    def __init__(self, request: Request) -> None:
        self.request = request
        self.attempts = 0
        self.runner_id = ""
        self.peer = ""
        self.failed_at: frozenset[str] = frozenset()
        self.tried: frozenset[str] = frozenset()
        self.doubt = ""


class GatewayState:
    """State of one gateway.

    Parameters
    ----------
    place : Place
        Where this instance stands.
    name : str
        Name of this process towards owners of racks; never used again.
    settings : RoutingSettings
        Bounds and times.
    weights : mapping of str to float
        Weights of the teams.
    """

    def __init__(
        self,
        place: Place,
        name: str,
        settings: RoutingSettings,
        weights: Mapping[str, float] | None = None,
    ) -> None:
        self.place = place
        self.settings = settings
        self.credits = CreditState(name)
        self.health = HealthState()
        self.queue = QueueState(weights)
        self.budget = RetryBudget(settings.retry_burst)
        self.link = LinkBudget(settings.link_bytes_s)
        self.arbitration = Arbitration(place.instance)
        self.owners: dict[str, Owner] = {}
        self.peers: dict[str, Peer] = {}
        self.flights: dict[str, _Flight] = {}
        self.forwarding = 0
        self.peaks: dict[str, float] = {}
        self.drain_after: float | None = None
        self.drained = False
        self.decisions: deque[str] = deque(maxlen=_DECISIONS_KEPT)


def step(state: GatewayState, event: Event, now: float) -> list[Action]:
    """Take `event` into `state` and return what is to be done.

    Parameters
    ----------
    state : GatewayState
        Changed.
    event : Event
        What happened.
    now : float
        Seconds of `clock.read_clock`.

    Returns
    -------
    list of Action
        In the order in which to do them.

    Notes
    -----
    The cost of an event is proportional to the queue's length and the number of
    runners.
    """
    actions = _take_event(state, event, now)
    actions += _expire(state, now)
    actions += _dispatch(state, now)
    actions += _ask_credits(state, event, now)
    if _is_done(state, now):
        state.drained = True
        actions += _return_credits(state, now)
        actions.append(events.Drained())
    return actions


def is_idle(state: GatewayState) -> bool:
    """Tell whether no request is in progress."""
    return not state.flights


def count_room(state: GatewayState, now: float) -> dict[str, int]:
    """Return the credits for each service that nothing here is waiting for."""
    room: Counter[str] = Counter()
    for held in state.credits.held.values():
        if held.info.domain == state.place.domain:
            room[held.info.service] += count_free(held, now)
    room.subtract(request.service for request in select_waiting(state.queue))
    return {service: free for service, free in room.items() if free > 0}


def dump_gateway(state: GatewayState, now: float) -> dict[str, object]:
    """Return the state and the last decisions as plain values, for people."""
    runners = {
        key: {
            "limit": held.limit,
            "sending": held.sending,
            "lost": len(held.lost),
            "valid_for_s": held.valid_until - now,
            "health": describe_runner(state.health, key, now),
        }
        for key, held in state.credits.held.items()
    }
    return {
        "runners": runners,
        "queued": state.queue.count,
        "queued_bytes": state.queue.size_bytes,
        "service_s": state.queue.service_s,
        "in_progress": len(state.flights),
        "forwarding": state.forwarding,
        "retry_tokens": state.budget.tokens,
        "ids": {r: len(a.entries) for r, a in state.arbitration.arbiters.items()},
        "draining": state.drain_after is not None,
        "decisions": list(state.decisions),
    }


def _take_event(state: GatewayState, event: Event, now: float) -> list[Action]:
    match event:
        case events.RequestArrived(request, wall_s):
            return _accept(state, request, wall_s, now)
        case events.AttemptEnded():
            return _end_attempt(state, event, now)
        case events.ForwardEnded():
            return _end_forward(state, event, now)
        case events.CreditsAnswered(answer):
            apply_answer(state.credits, answer, state.settings)
            for runner_id in answer.leaving:
                mark_leaving(state.health, runner_id, "its rack's owner")
        case events.RunnersChanged(leaving, gone):
            for runner_id in leaving:
                mark_leaving(state.health, runner_id, "list")
            for runner_id in gone:
                drop_runner(state.credits, runner_id)
            forget_runners(state.health, {*state.credits.held, *leaving})
        case events.OwnersChanged(owners):
            state.owners = owners
        case events.PeersChanged(peers):
            state.peers = {peer.instance: peer for peer in peers}
        case events.AuthorityChanged():
            state.arbitration.extend(event, state.settings)
        case events.Drain(grace_s):
            state.drain_after = now + grace_s
    return []


def _accept(
    state: GatewayState, request: Request, wall_s: float, now: float
) -> list[Action]:
    if state.drained:
        answer = FinalAnswer(Outcome.REFUSED, Reason.DRAINING, _LEAST_RETRY_S)
        return [Answer(request.key, answer)]
    state.flights[request.key] = _Flight(request)
    if request.idempotent or request.judged:
        return _enqueue(state, request, now)
    admission = admit_id(
        state.arbitration, state.owners, request, state.settings, wall_s, now
    )
    _note(state, request, f"id: {admission.reason}", now)
    if admission.answer is not None:
        return _finish(state, request.key, admission.answer)
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
        # "Refused" would say that the id never ran, which only its arbiter knows: an
        # earlier sending through another gateway may have run.
        reason = Reason.QUEUE_FULL if full else Reason.NO_ARBITER
        answer = FinalAnswer(Outcome.UNKNOWN, reason, state.settings.credit_s)
        return _finish(state, request.key, answer)
    return _forward(state, request, peer, now)


def _forward(
    state: GatewayState, request: Request, peer: Peer, now: float
) -> list[Action]:
    flight = state.flights[request.key]
    flight.peer = peer.instance
    flight.tried |= {peer.instance}
    state.forwarding += 1
    if peer.region != state.place.region:
        state.link.tokens -= request.size_bytes
    _note(state, request, f"forward to {peer.instance}", now)
    sent = request._replace(hops=request.hops + 1)
    return [events.Forward(request.key, sent, peer, request.deadline - now)]


def _enqueue(state: GatewayState, request: Request, now: float) -> list[Action]:
    given_up = push_request(state.queue, request, state.settings, now)
    return list(chain.from_iterable(_pass_on(state, item, now) for item in given_up))


def _pass_on(state: GatewayState, item: GivenUp, now: float) -> list[Action]:
    """Send what can't run here to the nearest peer with room, or refuse it."""
    request = item.request
    flight = state.flights[request.key]
    peer = choose_peer(
        state.place, state.peers.values(), request, state.link, flight.tried
    )
    in_time = now + state.queue.service_s <= request.deadline
    if peer is None or not in_time or state.forwarding >= state.settings.forward_max:
        _note(state, request, f"given up: {item.reason}", now)
        answer = FinalAnswer(Outcome.REFUSED, item.reason, item.retry_after_s)
        return _finish(state, request.key, answer)
    # Until the peer's next word the room is counted down here: else every request
    # of that time would go to the one peer that looked emptiest.
    room = {**peer.room, request.service: peer.room[request.service] - 1}
    state.peers[peer.instance] = peer._replace(room=room)
    judged = request._replace(judged=not request.idempotent)
    return _forward(state, judged, peer, now)


def _end_attempt(
    state: GatewayState, event: events.AttemptEnded, now: float
) -> list[Action]:
    flight = state.flights.get(event.key)
    if flight is None or not flight.runner_id:
        return []
    runner_id, flight.runner_id = flight.runner_id, ""
    ended = event.result != SendResult.LOST
    release_slot(state.credits, runner_id, ended, state.settings, now)
    record_result(
        state.health, runner_id, event.result, event.latency_s, state.settings, now
    )
    if event.leaving:
        mark_leaving(state.health, runner_id, "its own word")
    if event.result == SendResult.ANSWERED:
        measure_service(state.queue, event.latency_s)
        answer = FinalAnswer(Outcome.DONE, response=event.response)
        return _finish(state, event.key, answer)
    if event.result != SendResult.NOT_SENT:
        flight.failed_at |= {runner_id}
    flight.doubt = _DOUBTS.get(event.result, flight.doubt)
    return _retry(state, flight, event, now)


def _retry(
    state: GatewayState, flight: _Flight, event: events.AttemptEnded, now: float
) -> list[Action]:
    request = flight.request
    verdict = judge_retry(
        state.budget,
        request,
        event.result,
        flight.attempts,
        state.queue.service_s,
        state.settings,
        now,
    )
    _note(state, request, f"{event.result}: again={verdict.again}", now)
    if verdict.again:
        return _enqueue(state, request, now)
    wait = max(_LEAST_RETRY_S, event.retry_after_s, state.queue.service_s)
    retry_after_s = 0.0 if verdict.outcome == Outcome.FAILED else wait
    answer = FinalAnswer(verdict.outcome, verdict.reason, retry_after_s, event.response)
    return _finish(state, request.key, answer)


def _end_forward(
    state: GatewayState, event: events.ForwardEnded, now: float
) -> list[Action]:
    flight = state.flights.get(event.key)
    if flight is None or not flight.peer:
        return []
    peer, flight.peer = flight.peer, ""
    state.forwarding -= 1
    if event.answer is not None:
        return _finish(state, event.key, event.answer)
    state.peers.pop(peer, None)
    request = flight.request
    unjudged = not request.idempotent and not _is_judged_here(state, request)
    if unjudged:
        reason = Reason.LOST if event.result == SendResult.LOST else Reason.NO_ARBITER
        answer = FinalAnswer(Outcome.UNKNOWN, reason, state.settings.credit_s)
        return _finish(state, event.key, answer)
    flight.attempts += 1
    flight.doubt = _DOUBTS.get(event.result, flight.doubt)
    ended = events.AttemptEnded(event.key, event.result)
    return _retry(state, flight, ended, now)


def _is_judged_here(state: GatewayState, request: Request) -> bool:
    return request.judged or request.key in state.arbitration.running


def _expire(state: GatewayState, now: float) -> list[Action]:
    given_up = expire_requests(state.queue, now)
    actions = [_pass_on(state, item, now) for item in given_up]
    late = [
        key
        for key in state.arbitration.select_joined()
        if now >= state.flights[key].request.deadline
    ]
    answer = FinalAnswer(Outcome.UNKNOWN, Reason.LOST, _LEAST_RETRY_S)
    for key in late:
        state.arbitration.leave(key)
        actions.append(_finish(state, key, answer))
    return list(chain.from_iterable(actions))


def _dispatch(state: GatewayState, now: float) -> list[Action]:
    """Send what waits, as far as credits are free."""
    held = state.credits.held.values()
    state.queue.slots = sum(h.limit for h in held if now < h.valid_until)
    actions: list[Action] = []
    while state.queue.count:
        open_services = {h.info.service for h in held if count_free(h, now) > 0}
        if not open_services:
            break

        def can_send(request: Request, services: set[str] = open_services) -> bool:
            return request.service in services and _choose(state, request, now)

        request = pop_request(state.queue, state.settings, can_send)
        if request is None:
            break
        actions.append(_send(state, request, now))
    return actions


def _choose(state: GatewayState, request: Request, now: float) -> bool:
    return _pick_runner(state, request, now) is not None


def _pick_runner(
    state: GatewayState, request: Request, now: float
) -> events.RunnerInfo | None:
    failed_at = state.flights[request.key].failed_at
    return choose_runner(
        state.place,
        state.credits,
        state.health,
        request,
        failed_at,
        state.settings,
        now,
    )


def _send(state: GatewayState, request: Request, now: float) -> Action:
    runner = _pick_runner(state, request, now)
    assert runner is not None
    not_after = take_slot(state.credits, runner.id, now)
    assert not_after is not None
    flight = state.flights[request.key]
    flight.runner_id = runner.id
    flight.attempts += 1
    if flight.attempts == 1:
        earn_retry(state.budget, state.settings)
    start_probe(state.health, runner.id, now)
    _note(state, request, f"send to {runner.id}, attempt {flight.attempts}", now)
    timeout_s = min(request.deadline - now, state.settings.request_max_s)
    return events.Send(request.key, request, runner, not_after, timeout_s)


def _finish(state: GatewayState, key: str, answer: FinalAnswer) -> list[Action]:
    """Answer a request, and the repeats that have joined it."""
    flight = state.flights.pop(key)
    # "Refused" says that the request did not run. After an earlier sending that ran,
    # or may have run, it would be untrue, whatever became of the last one.
    if answer.outcome == Outcome.REFUSED and flight.doubt:
        answer = answer._replace(outcome=flight.doubt)
    joined = settle_id(state.arbitration, flight.request, answer, state.settings)
    for other in joined:
        state.flights.pop(other)
    return [Answer(k, answer) for k in (key, *joined)]


def _ask_credits(state: GatewayState, event: Event, now: float) -> list[Action]:
    refill_link(state.link, state.settings, now)
    if state.drained:
        return []
    wanted = Counter(
        flight.request.service for flight in state.flights.values() if flight.runner_id
    )
    wanted.update(request.service for request in select_waiting(state.queue))
    again = _find_refused(event)
    due = [
        rack
        for rack, owner in state.owners.items()
        if owner.instance
        and owner.region == state.place.region
        and (_is_due(state, rack, now) or rack == again)
    ]
    if not due:
        return []
    services = {*wanted, *state.peaks}
    state.peaks = {
        s: max(wanted[s], _PEAK_DECAY * state.peaks.get(s, 0.0)) for s in services
    }
    demand = {s: round(n) for s, n in state.peaks.items() if n >= 0.5}
    parts = divide_demand(state.place, state.owners, demand, state.credits, now)
    return [
        events.AskCredits(
            state.owners[rack].instance,
            build_ask(state.credits, rack, parts[rack], state.settings, now),
        )
        for rack in due
    ]


def _find_refused(event: Event) -> str:
    """Return the rack whose owner wants to be asked again under its new term."""
    match event:
        case events.CreditsAnswered(answer) if answer.term and not answer.granted:
            return answer.rack
    return ""


def _is_due(state: GatewayState, rack: str, now: float) -> bool:
    waited = now - state.credits.asked.get(rack, float("-inf"))
    hurry = state.queue.count > 0 and waited >= _URGENT_ASK_S
    return hurry or waited >= state.settings.ask_every_s


def _return_credits(state: GatewayState, now: float) -> list[Action]:
    """Hand all credits back, so that others need not wait for the leases to end."""
    racks = {held.info.rack for held in state.credits.held.values()}
    return [
        events.AskCredits(
            state.owners[rack].instance, build_return(state.credits, rack, now)
        )
        for rack in sorted(racks & state.owners.keys())
    ]


def _is_done(state: GatewayState, now: float) -> bool:
    over = state.drain_after is not None and now >= state.drain_after
    return over and not state.flights and not state.drained


def _note(state: GatewayState, request: Request, text: str, now: float) -> None:
    state.decisions.append(f"{now:.3f} {request.id} ({request.key}): {text}")
