"""The arbiters of request ids alone, with owners that change and clocks that differ."""

import random
from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from plantainyard.routing import (
    AuthorityChanged,
    FinalAnswer,
    Outcome,
    Owner,
    Request,
    RoutingSettings,
)
from plantainyard.routing.arbitration import Arbitration, admit_id, complete_id
from plantainyard.routing.tests.test_gateway import issue_id

ROUTING = RoutingSettings(id_skew_s=0.5, id_memory_s=6.0, id_count=5)
WALL = 1_700_000_000.0
AUTHORITY_S = 0.05


@settings(derandomize=True, deadline=None, max_examples=400)
@given(st.integers(0, 2**32))
def test_an_id_is_let_run_once(seed):
    """A customer is charged twice after an instance was replaced.

    The caller sends the id again after its gateway died; the new arbiter has never
    seen it, or the old one has dropped it from its bounded memory, or the stamp in
    the id is ahead of the arbiter's clock.
    """
    rng = random.Random(seed)
    arbiters = [Arbitration(f"i{n}") for n in range(3)]
    walls = [rng.uniform(-0.25, 0.25) for _ in arbiters]
    allowed: Counter[str] = Counter()
    ids: list[str] = []
    running: list[tuple[Arbitration, Request]] = []
    now, until, owner = 100.0, 0.0, 0
    for number in range(120):
        now += rng.choice([0.005, 0.01, 0.05, 0.3])
        if number == 0 or rng.random() < 0.05:
            now = max(now, until)
            owner, gained = rng.randrange(len(arbiters)), True
        else:
            gained = False
        until = now + AUTHORITY_S
        wall = WALL + now + walls[owner]
        arbiters[owner].extend(AuthorityChanged("k1", until, gained, wall), ROUTING)
        fresh = not ids or rng.random() < 0.4
        ahead = 3.0 if rng.random() < 0.05 else 0.25
        stamp = WALL + now + rng.uniform(-0.25, ahead)
        name = issue_id(stamp, number) if fresh else rng.choice(ids[-15:])
        ids.append(name)
        # A caller's repeat can reach an instance that still thinks it is the arbiter.
        at = owner if rng.random() < 0.8 else rng.randrange(len(arbiters))
        request = Request(str(number), name, "billing", "t", now + 5)
        owners = {"k1": Owner(f"i{owner}", "d1", "reg")}
        wall = WALL + now + walls[at]
        verdict = admit_id(arbiters[at], owners, request, ROUTING, wall, now)
        if not (verdict.answer or verdict.joined or verdict.owner):
            allowed[name] += 1
            running.append((arbiters[at], request))
            assert allowed[name] == 1, "charged twice"
        if verdict.answer and verdict.answer.outcome == Outcome.REFUSED:
            assert not allowed[name]
        if running and rng.random() < 0.7:
            arbiter, ended = running.pop(rng.randrange(len(running)))
            complete_id(arbiter, ended, FinalAnswer(Outcome.DONE), ROUTING)
        assert all(len(a.arbiters["k1"].entries) <= 5 for a in arbiters if a.arbiters)


def test_an_unknown_home_is_nobodys():
    """An id runs in two domains during a partition or at a start.

    An instance that doesn't know the id's home domain yet let the hash choose an
    arbiter among the domains that it knew, itself perhaps; others asked the home.
    """
    arbiter = Arbitration("i1")
    arbiter.extend(AuthorityChanged("k1", 1e9, True, WALL), ROUTING)
    for owners in ({"k1": Owner("i1", "d1", "reg")}, {}):
        request = Request("1", f"d2.{issue_id(WALL + 9)}", "billing", "t", 99.0)
        verdict = admit_id(arbiter, owners, request, ROUTING, WALL + 9, 0.0)
        assert verdict.answer and verdict.answer.outcome == Outcome.UNKNOWN
