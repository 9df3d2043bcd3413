"""Queue, health, retries and the choice of places, each with its failure."""

from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from plantainyard.protocol import CreditAnswer
from plantainyard.routing import (
    Answer,
    AttemptEnded,
    CreditAnswerReceived,
    Drain,
    Drained,
    FinalAnswer,
    Forward,
    ForwardEnded,
    GatewayState,
    Location,
    Outcome,
    Peer,
    PeersChanged,
    Reason,
    Request,
    RequestCredits,
    RoutingSettings,
    RunnersChanged,
    Send,
    SendResult,
    Tick,
    step,
)
from plantainyard.routing.health import (
    HealthState,
    record_result,
    select_usable,
    start_probe,
)
from plantainyard.routing.queue import (
    QueueState,
    expire_requests,
    pop_request,
    push_request,
    record_service_time,
)
from plantainyard.routing.tests.test_gateway import arrive, build_gateway, pick

SMALL = RoutingSettings(queue_count=20, queue_bytes=100)
TEAMS = {"a": 1.0, "b": 3.0}


def make_request(key, team="a", deadline=100.0, **fields):
    return Request(str(key), str(key), "billing", team, deadline, **fields)


def test_teams_share_by_weight_and_no_class_starves():
    """A team's flood, or a wave of urgent work, takes all the slots.

    The bakery managers' orders wait behind one team's statements for minutes; or
    ordinary work stands still for as long as urgent work keeps coming.
    """
    state = QueueState(TEAMS)
    state.slots = 100
    served: Counter[tuple[str, bool]] = Counter()
    for number in range(800):
        for team, hurry in (("a", False), ("b", False), ("a", True), ("b", True)):
            key = f"{number}{team}{hurry}"
            push_request(state, make_request(key, team, urgent=hurry), SMALL, 0.0)
        request = pop_request(state, SMALL, lambda _: True)
        assert request is not None
        served[request.team, request.urgent] += 1
    urgent = served["a", True] + served["b", True]
    ordinary = served["a", False] + served["b", False]
    assert 0.85 < urgent / 800 < 0.95 and ordinary >= 75
    assert 2.7 < served["b", True] / served["a", True] < 3.3
    assert state.count <= SMALL.queue_count


@settings(derandomize=True, deadline=None, max_examples=100)
@given(
    st.lists(
        st.tuples(
            st.sampled_from("abc"),
            st.booleans(),
            st.integers(0, 60),
            st.floats(0.0, 3.0),
            st.floats(0.0, 0.5),
        ),
        max_size=80,
    )
)
def test_the_queue_is_bounded_and_loses_nothing(pushes):
    """Memory grows without end, or a request is forgotten and hangs.

    Each request must leave in exactly one way: popped, or given up with a time to
    come back; and what is given up must be given up the moment that it is too late.
    """
    state, now = QueueState(), 0.0
    left: Counter[str] = Counter()
    for number, (team, urgent, size, patience, span) in enumerate(pushes):
        now += span
        request = make_request(number, team, now + patience, urgent=urgent)
        rejected = push_request(state, request._replace(size_bytes=size), SMALL, now)
        rejected += expire_requests(state, now)
        assert all(item.retry_after_s > 0 for item in rejected)
        left.update(item.request.key for item in rejected)
        assert state.count <= 20 and state.size_bytes <= 100
        if number % 3 == 0 and (popped := pop_request(state, SMALL, lambda _: True)):
            assert now <= popped.deadline
            left[popped.key] += 1
    while popped := pop_request(state, SMALL, lambda _: True):
        left[popped.key] += 1
    assert left == Counter(str(n) for n in range(len(pushes)))
    assert not state.latest_send_times and state.size_bytes == 0


def test_what_would_start_too_late_is_given_up_at_once():
    """Overload: requests are sent so late that their callers have gone.

    Every slot works for nobody, and a slot whose caller has gone is lost until the
    longest request has ended. But an estimate that has grown too long must not
    refuse a request for which a slot is free.
    """
    state = QueueState()
    state.slots = 1
    for _ in range(100):
        record_service_time(state, 0.1)
        record_service_time(state, 0.5)
    assert not push_request(state, make_request(1, deadline=2.0), SMALL, 0.0)
    assert not expire_requests(state, 0.5)
    (late,) = expire_requests(state, 1.1)
    assert late.reason == Reason.DEADLINE
    for _ in range(100):
        record_service_time(state, 50.0)
    assert not push_request(state, make_request(2, deadline=2.0), SMALL, 0.0)
    assert push_request(state, make_request(3, deadline=2.0), SMALL, 0.0)


def test_a_leaving_runner_gets_nothing_new():
    """A runner is stopped with requests in progress and callers see failures."""
    for tell in (
        RunnersChanged(leaving=("r0",)),
        AttemptEnded("a", SendResult.ANSWERED, 0.1, None, True),
    ):
        state = build_gateway()
        sends = [pick(arrive(state, "a", 0.1, idempotent=True), Send)[0]]
        leaving = sends[0].runner.id
        if isinstance(tell, RunnersChanged):
            tell = RunnersChanged(leaving=(leaving,))
        step(state, tell, 0.2)
        for number in range(4):
            actions = arrive(state, f"b{number}", 0.3, idempotent=True)
            sends += pick(actions, Send)
        assert leaving not in {send.runner.id for send in sends[1:]}
        assert len(sends) == 3


def test_bad_runners_are_set_aside_and_let_back_by_one_probe():
    """A runner fails or crawls, and every tenth caller suffers for ever.

    A failing runner answers fastest and draws the load; set aside for good it would
    be missing after its repair; a rush of probes would bring it down again.
    """
    state, names = HealthState(), [f"r{n}" for n in range(6)]
    plain = RoutingSettings()
    for _ in range(3):
        record_result(state, "r0", SendResult.LOST, 1.0, plain, 0.0)
    for _ in range(20):
        for name in names[1:]:
            latency_s = 5.0 if name == "r1" else 0.2
            record_result(state, name, SendResult.ANSWERED, latency_s, plain, 0.0)
    assert select_usable(state, names, True, plain, 0.5) == names[2:]
    assert set(select_usable(state, names, True, plain, 1.5)) == set(names)
    assert select_usable(state, names, False, plain, 1.5) == names[2:]
    start_probe(state, "r0", 1.5)
    assert "r0" not in select_usable(state, names, True, plain, 1.5)
    record_result(state, "r0", SendResult.FAILED, 0.1, plain, 1.6)
    assert "r0" not in select_usable(state, names, True, plain, 3.5)
    start_probe(state, "r0", 3.7)
    record_result(state, "r0", SendResult.ANSWERED, 0.2, plain, 3.8)
    assert "r0" in select_usable(state, names, False, plain, 3.8)


def test_the_load_is_not_heaped_on_the_few():
    """Nearly all runners look bad at once: the cause is hardly the runners.

    A gateway's own link fails, it sets one runner after the other aside and sends
    all it has to the last one. While some more are well, their slots bound what they
    are given, and a failing runner's answer would only be a failure.
    """
    state, names = HealthState(), [f"r{n}" for n in range(6)]
    for name in names[:5]:
        for _ in range(3):
            record_result(state, name, SendResult.FAILED, 0.1, RoutingSettings(), 0.0)
        if name == names[3]:
            healthy = select_usable(state, names, False, RoutingSettings(), 0.1)
            assert healthy == names[4:]
    assert select_usable(state, names, False, RoutingSettings(), 0.1) == names


def test_retries_go_elsewhere_and_are_bounded():
    """Retries multiply the load on upstreams that fail because of the load."""
    settings_ = RoutingSettings(retry_burst=3.0, retry_share=0.1)
    state = build_gateway(settings=settings_)
    sent, now = 0, 0.1
    for number in range(100):
        now += 0.01
        sends = pick(arrive(state, str(number), now, idempotent=True), Send)
        runners = []
        while sends:
            sent += 1
            runners.append(sends[0].runner.id)
            ended = AttemptEnded(str(number), SendResult.FAILED, 0.001)
            sends = pick(step(state, ended, now), Send)
        assert len(set(runners)) == min(2, len(runners))
    assert 100 < sent <= 100 * 1.1 + 3


def test_a_domain_without_runners_forwards_to_the_nearest_with_room():
    """A domain loses its runners and its callers are refused, or all cross the link.

    Waiting for slots that don't exist spends the caller's time; the link between
    regions is paid for by the byte and comes last, within its share.
    """
    state = GatewayState(Location("i9", "d9", "reg"), "g9", RoutingSettings())
    state.link.tokens = 150.0
    far = Peer("far", "d3", "other", "", {"billing": 9})
    near = Peer("near", "d2", "reg", "", {"billing": 1})
    step(state, PeersChanged((far, near)), 0.0)
    taken: list[str] = []
    for number in range(3):
        actions = arrive(state, str(number), 0.0, idempotent=True, size_bytes=100)
        assert all(a.request.deadline <= 4.5 for a in pick(actions, Forward))
        taken += [a.peer.instance for a in pick(actions, Forward)]
    assert taken == ["near", "far"]
    (last,) = pick(actions, Answer)
    assert last.answer.reason == Reason.NO_RUNNERS and last.answer.retry_after_s
    (answer,) = pick(step(state, ForwardEnded("0", SendResult.NOT_RUN), 0.0), Answer)
    assert answer.answer.outcome == Outcome.REFUSED


def test_a_drain_answers_all_and_gives_credits_back():
    """After a planned stop the instance's slots lie idle until its leases end."""
    state = build_gateway()
    arrive(state, "a", 0.1, idempotent=True)
    assert not pick(step(state, Drain(0.0), 0.2), Drained)
    ended = AttemptEnded("a", SendResult.ANSWERED, 0.1)
    actions = step(state, ended, 0.3)
    assert pick(actions, Drained) and pick(actions, Answer)
    asks = [action.ask for action in pick(actions, RequestCredits)]
    holdings = [h for ask in asks for h in ask.holdings.values()]
    assert all(ask.closing for ask in asks) and holdings
    assert all((h.limit, h.in_flight) == (0, 0) for h in holdings)


def test_a_peers_room_is_counted_with_each_forward():
    """A peer has free slots and its neighbours refuse, until the next heartbeat.

    Or it is full and gets one request after the other, each to be refused there.
    """
    state = GatewayState(Location("i9", "d9", "reg"), "g9", RoutingSettings())
    step(state, PeersChanged((Peer("near", "d2", "reg", "", {"billing": 1}),)), 0.0)
    outcomes = (Outcome.DONE, Outcome.DONE, Outcome.REFUSED)
    for number, outcome in enumerate(outcomes):
        assert pick(arrive(state, str(number), 0.0, idempotent=True), Forward)
        ended = ForwardEnded(str(number), SendResult.ANSWERED, FinalAnswer(outcome))
        step(state, ended, 0.1)
    assert not pick(arrive(state, "last", 0.2, idempotent=True), Forward)


def test_asks_that_bring_nothing_become_rarer():
    """Overload: the asks for credits alone take more than control may."""
    state = build_gateway()
    for number in range(40):
        arrive(state, str(number), 0.1, idempotent=True)
    asks = 0
    for tick in range(1, 80):
        now = 0.1 + tick * 0.05
        for action in pick(step(state, Tick(), now), RequestCredits):
            asks += 1
            ask = action.ask
            grants = {key: held.limit for key, held in ask.holdings.items()}
            names = (ask.gateway, ask.rack, ask.sequence)
            answer = CreditAnswer(*names, True, 2.0, grants, term=ask.term)
            step(state, CreditAnswerReceived(answer), now)
    assert state.queue.count and 8 <= asks <= 14
