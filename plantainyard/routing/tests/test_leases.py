"""Ends of leases at the gateway and at the lender, to a tenth of a second."""

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
    build_credit_request,
    release_lost,
    release_slot,
    take_slot,
)

ROUTING = RoutingSettings(credit_s=2.0, request_max_s=3.0, drift=0.1, send_margin_s=0.0)
RUNNER = RunnerInfo("r1", "billing", "", "k1", "d1", "reg", 5, 60)
LEND = build_leased_lender(ROUTING)


def build_lender(until=1e9, now=0.0, fresh=True):
    state = LenderState("k1")
    LEND(state, AuthorityGained(until, 1), now)
    LEND(state, RunnerUp(RUNNER, fresh), now)
    return state


def obtain_credits(lender, credits, requested_at, answered_at):
    """Request credits twice, since the first answer only names the term."""
    for _ in range(2):
        message = build_credit_request(
            credits, "k1", {"billing": 5}, ROUTING, requested_at
        )
        (answer,) = LEND(lender, message, answered_at)
        apply_answer(credits, answer, ROUTING)
    return answer


def test_a_credit_ends_at_the_holder_before_it_ends_at_the_lender():
    """Guards against sending under a credit that another gateway holds by then.

    The answer to the credit request was late, or the gateway's thread was suspended
    between taking a slot and sending; its clock runs slow, and the lender's fast.
    """
    lender, credits = build_lender(), CreditState("g1")
    obtain_credits(lender, credits, 100.0, 101.0)
    not_after = take_slot(credits, "r1", 101.7)
    assert not_after is not None and abs(not_after - 101.8) < 1e-6
    assert check_credit(not_after, 101.79) and not check_credit(not_after, 101.81)
    assert take_slot(credits, "r1", 101.81) is None
    # The lease and then the longest request last 5 s on a clock that is a tenth slow.
    LEND(lender, Tick(), 101.0 + 5.0 * 1.1)
    assert count_lent(lender, "r1") == 5
    LEND(lender, Tick(), 101.0 + 5.0 * 1.2 + 0.1)
    assert count_lent(lender, "r1") == 0


def test_an_owner_without_authority_lends_nothing():
    """Guards against a suspended former owner that lends slots after its authority."""
    lender, credits = build_lender(until=101.0), CreditState("g1")
    assert not obtain_credits(lender, credits, 100.0, 101.0).granted
    assert take_slot(credits, "r1", 101.0) is None


def test_a_credit_request_from_before_the_term_is_refused():
    """Guards against overfilling a runner after its rack's owner changed.

    A gateway's credit request was delayed in the new owner's socket while the former
    owner took back four of its credits and lent them to another gateway. If the new
    owner accepted that request, four slots would seem free once the next one reports a
    single credit.
    """
    lender = build_lender(fresh=False)
    stale = CreditAsk("g1", "k1", 7, {"billing": 5}, {"r1": Holding(5, 0)}, "0.9")
    (answer,) = LEND(lender, stale, 1.0)
    assert not answer.granted and count_lent(lender, "r1") == 0
    holdings = {"r1": Holding(1, 0)}
    fresh = CreditAsk("g1", "k1", 9, {"billing": 5}, holdings, answer.term)
    LEND(lender, fresh, 1.1)
    other = CreditAsk("g2", "k1", 1, {"billing": 5}, {}, answer.term)
    (answer,) = LEND(lender, other, 1.2)
    assert answer.grants == {"r1": 0}


def test_a_runner_reported_as_terminated_by_mistake_keeps_its_loans():
    """Guards against overfilling a runner that the platform's list omits briefly."""
    lender, credits = build_lender(), CreditState("g1")
    obtain_credits(lender, credits, 100.0, 100.0)
    for event in (RunnerTerminated("r1"), Tick(), RunnerUp(RUNNER)):
        LEND(lender, event, 100.5)
    assert count_lent(lender, "r1") == 5


def test_a_late_answer_releases_only_the_slot_of_its_own_request():
    """Guards against releasing the slot of another lost request that still runs."""
    lender, credits = build_lender(), CreditState("g1")
    obtain_credits(lender, credits, 100.0, 100.0)
    for key in ("a", "b"):
        take_slot(credits, "r1", 100.1)
        release_slot(credits, "r1", key, False, ROUTING, 100.2)
    release_lost(credits, "r1", "a")
    release_lost(credits, "r1", "a")
    message = build_credit_request(credits, "k1", {"billing": 5}, ROUTING, 100.3)
    assert message.holdings["r1"].in_flight == 1
