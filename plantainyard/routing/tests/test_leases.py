"""Ends of credits, at the holder and at the lender, to the tenth of a second."""

from plantainyard.protocol import CreditAsk, Holding, RunnerInfo
from plantainyard.routing import (
    AuthorityGained,
    CreditState,
    LenderState,
    RoutingSettings,
    RunnerTerminated,
    RunnerUp,
    Tick,
    build_leased_lender,
    check_credit,
    count_lent,
)
from plantainyard.routing.credits import (
    apply_answer,
    build_ask,
    release_lost,
    release_slot,
    take_slot,
)

ROUTING = RoutingSettings(credit_s=2.0, request_max_s=3.0, drift=0.1, send_margin_s=0.0)
RUNNER = RunnerInfo("r1", "billing", "", "k1", "d1", "reg", 5, 60)
LEND = build_leased_lender(ROUTING)


def open_lender(until=1e9, now=0.0, fresh=True):
    state = LenderState("k1")
    LEND(state, AuthorityGained(until, 1), now)
    LEND(state, RunnerUp(RUNNER, fresh), now)
    return state


def ask(lender, credits, asked_at, answered_at):
    """Let a gateway ask twice, since the first answer only names the term."""
    for _ in range(2):
        message = build_ask(credits, "k1", {"billing": 5}, ROUTING, asked_at)
        (answer,) = LEND(lender, message, answered_at)
        apply_answer(credits, answer, ROUTING)
    return answer


def test_a_credit_ends_at_the_holder_before_it_ends_at_the_lender():
    """A gateway that slept sends into slots that others have by then.

    The answer to its ask was late, or its thread slept between taking a slot and
    sending; its clock runs slow, the lender's fast.
    """
    lender, credits = open_lender(), CreditState("g1")
    ask(lender, credits, 100.0, 101.0)
    not_after = take_slot(credits, "r1", 101.7)
    assert not_after is not None and abs(not_after - 101.8) < 1e-6
    assert check_credit(not_after, 101.79) and not check_credit(not_after, 101.81)
    assert take_slot(credits, "r1", 101.81) is None
    # Lease and longest request, each by a clock slow by a tenth against this one.
    LEND(lender, Tick(), 101.0 + 5.0 * 1.1)
    assert count_lent(lender, "r1") == 5
    LEND(lender, Tick(), 101.0 + 5.0 * 1.2 + 0.1)
    assert count_lent(lender, "r1") == 0


def test_an_owner_without_authority_lends_nothing():
    """Two owners lend the same slots: the former one slept and missed its end."""
    lender, credits = open_lender(until=101.0), CreditState("g1")
    assert not ask(lender, credits, 100.0, 101.0).granted
    assert take_slot(credits, "r1", 101.0) is None


def test_an_ask_from_before_the_term_is_not_believed():
    """A runner is overfilled after its rack's owner changed.

    The gateway's ask lay in the new owner's socket while the former owner took four
    of its credits back and lent them to another gateway. The new owner takes the ask
    for news; when the next one shows a single credit, four seem to be free.
    """
    lender = open_lender(fresh=False)
    stale = CreditAsk("g1", "k1", 7, {"billing": 5}, {"r1": Holding(5, 0)}, "0.9")
    (answer,) = LEND(lender, stale, 1.0)
    assert not answer.granted and count_lent(lender, "r1") == 0
    holdings = {"r1": Holding(1, 0)}
    fresh = CreditAsk("g1", "k1", 9, {"billing": 5}, holdings, answer.term)
    LEND(lender, fresh, 1.1)
    other = CreditAsk("g2", "k1", 1, {"billing": 5}, {}, answer.term)
    (answer,) = LEND(lender, other, 1.2)
    assert answer.grants == {"r1": 0}


def test_a_runner_that_was_called_gone_comes_back_with_its_loans():
    """The platform's list loses sight of a runner for a moment; it is overfilled."""
    lender, credits = open_lender(), CreditState("g1")
    ask(lender, credits, 100.0, 100.0)
    for event in (RunnerTerminated("r1"), Tick(), RunnerUp(RUNNER)):
        LEND(lender, event, 100.5)
    assert count_lent(lender, "r1") == 5


def test_a_late_end_frees_the_slot_of_its_own_request_only():
    """Two callers have gone; one answer comes late; the other request still runs."""
    lender, credits = open_lender(), CreditState("g1")
    ask(lender, credits, 100.0, 100.0)
    for key in ("a", "b"):
        take_slot(credits, "r1", 100.1)
        release_slot(credits, "r1", key, False, ROUTING, 100.2)
    release_lost(credits, "r1", "a")
    release_lost(credits, "r1", "a")
    message = build_ask(credits, "k1", {"billing": 5}, ROUTING, 100.3)
    assert message.holdings["r1"].in_flight == 1
