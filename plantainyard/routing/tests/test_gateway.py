"""The path of a request through one gateway, and helpers for the other tests."""

import uuid

from plantainyard.protocol import RunnerInfo
from plantainyard.routing import (
    Answer,
    AttemptEnded,
    AuthorityChanged,
    AuthorityGained,
    CreditAnswerReceived,
    GatewayState,
    LenderState,
    Location,
    Owner,
    OwnersChanged,
    Request,
    RequestArrived,
    RequestCredits,
    Response,
    RoutingSettings,
    RunnerUp,
    Send,
    SendResult,
    build_leased_lender,
    step,
)

SETTINGS = RoutingSettings()
RUNNERS = [
    RunnerInfo(f"r{n}", "billing", f"127.0.0.1:{n}", "k1", "d1", "reg", 2, 60)
    for n in range(2)
]
WALL = 1_700_000_000.0


def issue_id(wall_s, number=0):
    stamp = int(wall_s * 1000) << 80
    return str(uuid.UUID(int=stamp | 7 << 76 | 2 << 62 | number))


def build_gateway(name="g1", settings=SETTINGS):
    """Return the state of a gateway that holds credits of both runners."""
    state = GatewayState(Location("i1", "d1", "reg"), name, settings)
    lender, lend = LenderState("k1"), build_leased_lender(settings)
    lend(lender, AuthorityGained(1e9, 1), -1e3)
    for runner in RUNNERS:
        lend(lender, RunnerUp(runner, True), -1e3)
    actions = step(state, OwnersChanged({"k1": Owner("i1", "d1", "reg")}), 0.0)
    step(state, AuthorityChanged("k1", 1e9, True, WALL - 100), 0.0)
    while asks := [a.ask for a in actions if isinstance(a, RequestCredits)]:
        (answer,) = lend(lender, asks[0], 0.0)
        actions = step(state, CreditAnswerReceived(answer), 0.0)
    return state


def arrive(state, key, now, **fields):
    request = Request(key, fields.pop("id", key), "billing", "t", now + 5.0, **fields)
    return step(state, RequestArrived(request, WALL + now), now)


def pick(actions, kind):
    return [action for action in actions if isinstance(action, kind)]


def test_a_request_gets_its_answer():
    state = build_gateway()
    (send,) = pick(arrive(state, "a", 0.1, idempotent=True), Send)
    ended = AttemptEnded("a", SendResult.ANSWERED, 0.01, Response(200, b"x"))
    (answer,) = pick(step(state, ended, 0.2), Answer)
    assert (answer.answer.outcome, answer.answer.response.body) == ("done", b"x")
    assert send.runner in RUNNERS
