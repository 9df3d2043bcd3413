"""Authority over a rack: at most one instance at any moment."""

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


def test_claim_at_offset_zero_has_an_epoch_that_counts():
    # A domain's very first record is the claim of a rack. Its runners start, yet every
    # request to them is refused: an epoch of zero was read as "no authority".
    assert make_epoch(0) > 0
    assert make_epoch(0, 999) < make_epoch(1)


class Contender(NamedTuple):
    """An instance under one epoch; its clock runs at `rate`."""

    epoch: int
    rate: float
    workers: frozenset[str]
    authority: Authority


class Contest(RuleBasedStateMachine):
    """Owners and caretakers of one rack, whose commands and answers come late.

    A user sees an order taken twice, or a runner with more requests than it holds: an
    owner that was paused, or handed over without knowing of a caretaker, acts beside
    another instance.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.fence = dict.fromkeys("abcd", -1)
        self.calls: list[Any] = []
        self.term = 0
        self.takeover = 0
        self.earlier: list[frozenset[str]] = []
        self.stopped = False
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
        """Claim on top of the present claim, whether its holder lives or not."""
        if self.owner is not None:
            self.earlier.append(self.owner.workers)
            self.stopped = False
        self.term, self.takeover = self.term + 1, 0
        authority = Authority(TERMS, workers, list(self.earlier), self.stopped)
        self.owner = Contender(make_epoch(self.term), rate, workers, authority)
        self.acting.append(self.owner)

    @precondition(lambda self: self.owner)
    @rule()
    def hand_over(self) -> None:
        assert self.owner is not None
        self.stopped = has_authority(self.owner.authority, self.read_clock(self.owner))
        self.earlier = [] if self.stopped else self.earlier
        self.earlier.append(self.owner.workers)
        if self.owner in self.acting:
            self.acting.remove(self.owner)
        self.owner = None

    @precondition(lambda self: self.earlier or self.owner)
    @rule(rate=st.sampled_from([0.98, 1.0, 1.02]))
    def care(self, rate: float) -> None:
        """Care for the last owner that is known where the log is out of reach."""
        workers = self.owner.workers if self.owner else self.earlier[-1]
        self.takeover += 1
        epoch = make_epoch(self.term, self.takeover)
        authority = Authority(TERMS, workers, [workers])
        self.acting.append(Contender(epoch, rate, workers, authority))

    @rule(
        who=st.integers(0, 9),
        reached=st.sampled_from(["abcd", "abcd", "ab", "cd", "bc"]),
        reads=st.booleans(),
        seconds=st.floats(0.0, 2.0),
    )
    def call_some(self, who: int, reached: str, reads: bool, seconds: float) -> None:
        contender = self.acting[who % len(self.acting)] if self.acting else None
        if contender is None:
            return
        for worker in reached:
            self.call(contender, worker, reads)
        self.pass_time(seconds)
        self.answer_all()

    @rule(who=st.integers(0, 9), worker=st.sampled_from("abcd"), reads=st.booleans())
    def call_one(self, who: int, worker: str, reads: bool) -> None:
        if self.acting:
            self.call(self.acting[who % len(self.acting)], worker, reads)

    def call(self, contender: Contender, worker: str, reads: bool) -> None:
        sent_at = self.read_clock(contender)
        self.calls.append([contender, worker, reads, sent_at, None])

    @rule(index=st.integers(0, 30))
    def reach(self, index: int) -> None:
        """Let one call reach its worker; its answer comes later."""
        waiting = [call for call in self.calls if call[4] is None]
        if not waiting:
            return
        call = waiting[index % len(waiting)]
        contender, worker, reads, *_ = call
        if reads:
            call[4] = self.fence[worker]
        else:
            call[4] = contender.epoch >= self.fence[worker]
            self.fence[worker] = max(self.fence[worker], contender.epoch)

    def answer_all(self) -> None:
        while any(call[4] is None for call in self.calls):
            self.reach(0)
        calls, self.calls = self.calls, []
        for contender, worker, reads, sent_at, answer in calls:
            clock = self.read_clock(contender)
            if reads:
                record_read_epoch(contender.authority, worker, answer, sent_at)
            elif answer:
                record_acceptance(contender.authority, worker, sent_at, clock)

    @rule(seconds=st.one_of(st.floats(0.0, 2.0), st.floats(8.0, 12.0)))
    def pass_time(self, seconds: float) -> None:
        self.now += seconds

    @invariant()
    def has_one_authority(self) -> None:
        holders = [
            contender.epoch
            for contender in self.acting
            if has_authority(contender.authority, self.read_clock(contender))
        ]
        assert len(holders) <= 1


TestContest = Contest.TestCase
TestContest.settings = settings(
    derandomize=True, deadline=None, max_examples=400, stateful_step_count=30
)


def test_caretaker_that_fenced_between_a_reading_and_a_hand_over() -> None:
    """An order is taken twice, seconds after a planned stop.

    The successor reads the workers, which know of no caretaker; then a caretaker
    fences a majority and renews once; then the successor fences them. It acts at
    once, and the caretaker, whose wait is over before its last lease, acts too.
    """
    workers = ["w0", "w1", "w2"]
    caretaker = Authority(TERMS, workers, [workers])
    successor = Authority(TERMS, workers, [workers], stopped=True)
    for worker in workers:
        record_read_epoch(successor, worker, make_epoch(3), 100.0)
    for sent_at in (101.0, 104.0):
        for worker in workers:
            record_acceptance(caretaker, worker, sent_at, sent_at)
    for worker in workers:
        record_acceptance(successor, worker, 105.0, 105.0)
    assert has_authority(successor, 105.0)
    assert not any(has_authority(caretaker, 100.0 + n / 10) for n in range(300))
    slow = Authority(TERMS, workers, [workers], stopped=True)
    for worker in workers:
        record_read_epoch(slow, worker, make_epoch(3), 100.0)
        record_acceptance(slow, worker, 110.0, 110.0)
    assert not has_authority(slow, 110.0)


def test_claim_that_names_other_workers() -> None:
    """An order is taken twice after half of a rack's workers were replaced.

    The owner still reaches two of the three workers that its claim names. A successor
    claims with the workers of today, and all of them accept it.
    """
    owner = Authority(TERMS, ["w0", "w1", "w2"], [])
    successor = Authority(TERMS, ["w2", "w3", "w4"], [["w0", "w1", "w2"]])
    for now in range(100, 130):
        for worker in ("w0", "w1"):
            record_acceptance(owner, worker, now, now)
        for worker in ("w2", "w3", "w4"):
            record_acceptance(successor, worker, now, now)
        assert has_authority(owner, now) and not has_authority(successor, now)
