"""Tests that at most one instance has authority over a rack at any time."""

from typing import Any, NamedTuple

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from plantainyard.membership import (
    Authority,
    AuthorityTerms,
    has_authority,
    make_epoch,
    record_acceptance,
    record_read_epoch,
)

TERMS = AuthorityTerms(lease_s=10.0, drift=0.05)


def test_claim_at_offset_zero_has_a_positive_epoch():
    # Guards against runners that start but get no requests: if the claim of a rack is
    # the first record of a domain, an epoch of zero would mean "no authority".
    assert make_epoch(0) > 0
    assert make_epoch(0, 999) < make_epoch(1)


class Contender(NamedTuple):
    """An instance under one epoch; its clock runs at `rate`."""

    epoch: int
    rate: float
    workers: frozenset[str]
    authority: Authority


class AuthorityMachine(RuleBasedStateMachine):
    """Owners and caretakers of one rack, with delayed commands and responses.

    Guards against two instances that act at once, because an owner was paused or handed
    the rack over without knowing of a caretaker. An order would then be executed twice,
    or a runner would get more requests than it can hold.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.highest_epochs = dict.fromkeys("abcd", -1)
        self.calls: list[Any] = []
        self.term = 0
        self.takeovers = 0
        self.former_workers: list[frozenset[str]] = []
        self.clean_handover = False
        self.owner: Contender | None = None
        self.acting: list[Contender] = []
        self.claim(frozenset("abc"), 1.0)

    def read_clock(self, contender: Contender) -> float:
        return self.now * contender.rate

    @precondition(lambda self: len(self.acting) < 6)
    @rule(
        workers=st.sampled_from([frozenset("abc"), frozenset("bcd")]),
        rate=st.sampled_from([0.98, 1.0, 1.02]),
    )
    def claim(self, workers: frozenset[str], rate: float) -> None:
        """Claim on top of the present claim, whether its holder is live or not."""
        if self.owner is not None:
            self.former_workers.append(self.owner.workers)
            self.clean_handover = False
        self.term, self.takeovers = self.term + 1, 0
        authority = Authority(
            TERMS, workers, list(self.former_workers), self.clean_handover
        )
        self.owner = Contender(make_epoch(self.term), rate, workers, authority)
        self.acting.append(self.owner)

    @precondition(lambda self: self.owner)
    @rule()
    def hand_over(self) -> None:
        assert self.owner is not None
        self.clean_handover = has_authority(
            self.owner.authority, self.read_clock(self.owner)
        )
        self.former_workers = [] if self.clean_handover else self.former_workers
        self.former_workers.append(self.owner.workers)
        if self.owner in self.acting:
            self.acting.remove(self.owner)
        self.owner = None

    @precondition(lambda self: self.former_workers or self.owner)
    @rule(rate=st.sampled_from([0.98, 1.0, 1.02]))
    def start_caretaker(self, rate: float) -> None:
        """Start a caretaker for the last known owner while the log is unavailable."""
        workers = self.owner.workers if self.owner else self.former_workers[-1]
        self.takeovers += 1
        epoch = make_epoch(self.term, self.takeovers)
        authority = Authority(TERMS, workers, [workers])
        self.acting.append(Contender(epoch, rate, workers, authority))

    @rule(
        who=st.integers(0, 9),
        workers=st.sampled_from(["abcd", "abcd", "ab", "cd", "bc"]),
        reads=st.booleans(),
        seconds=st.floats(0.0, 2.0),
    )
    def call_several(self, who: int, workers: str, reads: bool, seconds: float) -> None:
        contender = self.acting[who % len(self.acting)] if self.acting else None
        if contender is None:
            return
        for worker in workers:
            self.call(contender, worker, reads)
        self.pass_time(seconds)
        self.deliver_responses()

    @rule(who=st.integers(0, 9), worker=st.sampled_from("abcd"), reads=st.booleans())
    def call_one(self, who: int, worker: str, reads: bool) -> None:
        if self.acting:
            self.call(self.acting[who % len(self.acting)], worker, reads)

    def call(self, contender: Contender, worker: str, reads: bool) -> None:
        sent_at = self.read_clock(contender)
        self.calls.append([contender, worker, reads, sent_at, None])

    @rule(index=st.integers(0, 30))
    def deliver_call(self, index: int) -> None:
        """Deliver one call to its worker; the response is delivered later."""
        undelivered = [call for call in self.calls if call[4] is None]
        if not undelivered:
            return
        call = undelivered[index % len(undelivered)]
        contender, worker, reads, *_ = call
        if reads:
            call[4] = self.highest_epochs[worker]
        else:
            call[4] = contender.epoch >= self.highest_epochs[worker]
            self.highest_epochs[worker] = max(
                self.highest_epochs[worker], contender.epoch
            )

    def deliver_responses(self) -> None:
        while any(call[4] is None for call in self.calls):
            self.deliver_call(0)
        calls, self.calls = self.calls, []
        for contender, worker, reads, sent_at, response in calls:
            clock = self.read_clock(contender)
            if reads:
                record_read_epoch(contender.authority, worker, response, sent_at)
            elif response:
                record_acceptance(contender.authority, worker, sent_at, clock)

    @rule(seconds=st.one_of(st.floats(0.0, 2.0), st.floats(8.0, 12.0)))
    def pass_time(self, seconds: float) -> None:
        self.now += seconds

    @invariant()
    def at_most_one_has_authority(self) -> None:
        holders = [
            contender.epoch
            for contender in self.acting
            if has_authority(contender.authority, self.read_clock(contender))
        ]
        assert len(holders) <= 1


TestAuthority = AuthorityMachine.TestCase
TestAuthority.settings = settings(
    derandomize=True, deadline=None, max_examples=400, stateful_step_count=30
)


def test_caretaker_that_fences_between_the_reading_and_the_hand_over() -> None:
    """Guards against an order that is executed twice, seconds after a graceful stop.

    The successor reads the workers, which have seen no caretaker. A caretaker then
    fences a majority and renews its lease once, and after that the successor fences the
    workers. The successor acts at once; the caretaker must not act, although its wait
    ends before its last lease does.
    """
    workers = ["w0", "w1", "w2"]
    caretaker = Authority(TERMS, workers, [workers])
    successor = Authority(TERMS, workers, [workers], clean_handover=True)
    for worker in workers:
        record_read_epoch(successor, worker, make_epoch(3), 100.0)
    for sent_at in (101.0, 104.0):
        for worker in workers:
            record_acceptance(caretaker, worker, sent_at, sent_at)
    for worker in workers:
        record_acceptance(successor, worker, 105.0, 105.0)
    assert has_authority(successor, 105.0)
    assert not any(has_authority(caretaker, 100.0 + n / 10) for n in range(300))
    slow = Authority(TERMS, workers, [workers], clean_handover=True)
    for worker in workers:
        record_read_epoch(slow, worker, make_epoch(3), 100.0)
        record_acceptance(slow, worker, 110.0, 110.0)
    assert not has_authority(slow, 110.0)


def test_claim_that_names_other_workers() -> None:
    """Guards against an order executed twice after a rack's workers were replaced.

    The owner still reaches two of the three workers that its claim names. A successor
    claims the rack with half of its workers replaced, and all present ones accept it.
    """
    owner = Authority(TERMS, ["w0", "w1", "w2"], [])
    successor = Authority(TERMS, ["w2", "w3", "w4"], [["w0", "w1", "w2"]])
    for now in range(100, 130):
        for worker in ("w0", "w1"):
            record_acceptance(owner, worker, now, now)
        for worker in ("w2", "w3", "w4"):
            record_acceptance(successor, worker, now, now)
        assert has_authority(owner, now) and not has_authority(successor, now)
