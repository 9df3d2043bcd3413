"""Grouped appends to a log that loses answers, refuses, and delivers late."""

import random
from typing import Any

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule

from plantainyard.state import (
    Append,
    AppenderSettings,
    AppenderState,
    AppendRefused,
    AppendReport,
    AppendStatus,
    AppendSucceeded,
    AppendTick,
    AppendUnconfirmed,
    DomainState,
    RecordRead,
    RecordsSkipped,
    Submit,
    apply_record,
    count_backlog,
    find_decision,
    make_abandon,
    make_accept,
    make_claim,
    make_snapshot,
    step_appender,
)
from plantainyard.work import Job, Size

FAST = AppenderSettings(0.1, 3, 8, 2.0, 0.5, 4.0)


def make_request(name: str) -> Any:
    job = Job("j" + name, name, "team", False, 1, Size(1.0, 1.0), 60.0)
    return make_accept(name, job, {"r1": 1})


class Appending(RuleBasedStateMachine):
    """Two instances that append the same requests, and a network that holds back."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.log: list[Any] = []
        self.held: list[Any] = []
        self.folded = [DomainState(), DomainState()]
        rng = random.Random(3)
        self.writers = [AppenderState(FAST, f"w{n}.", rng) for n in range(2)]
        self.flying: list[Any] = [None, None]
        self.reports: list[dict[str, list[AppendReport]]] = [{}, {}]
        self.submitted = 0

    def step(self, who: int, event: Any) -> None:
        for action in step_appender(self.writers[who], event, self.now):
            match action:
                case Append(record):
                    assert self.flying[who] is None, "two appends in flight"
                    self.flying[who] = record
                case AppendReport():
                    self.take_report(who, action)

    def take_report(self, who: int, report: AppendReport) -> None:
        reports = self.reports[who].setdefault(report.key, [])
        final = [r for r in reports if r.status != AppendStatus.UNKNOWN]
        assert not final or report.key.startswith("again"), "reported twice"
        reports.append(report)

    @rule(who=st.sampled_from([0, 1]), patience=st.sampled_from([1.0, 9.0, 1e9]))
    def submit(self, who: int, patience: float) -> None:
        self.submitted += 1
        name = f"a{self.submitted}"
        submit = Submit(make_request(name), name, self.now + patience)
        self.step(who, submit)

    @rule(who=st.sampled_from([0, 1]))
    def tick(self, who: int) -> None:
        self.now += 0.7
        self.step(who, AppendTick())

    @rule(
        who=st.sampled_from([0, 1]),
        fate=st.sampled_from(["answer", "answer", "late", "lost", "held", "refused"]),
    )
    def answer(self, who: int, fate: str) -> None:
        record, self.flying[who] = self.flying[who], None
        if record is None:
            return
        if fate == "held":
            self.held.append(record)
        if fate in ("answer", "late"):
            self.log.append(record)
        match fate:
            case "answer":
                self.step(who, AppendSucceeded(len(self.log) - 1))
            case "refused":
                self.step(who, AppendRefused(0.3))
            case _:
                self.step(who, AppendUnconfirmed())

    @precondition(lambda self: self.held)
    @rule()
    def deliver(self) -> None:
        self.log.append(self.held.pop(0))

    @rule(who=st.sampled_from([0, 1]))
    def read(self, who: int) -> None:
        state = self.folded[who]
        for offset in range(state.next_offset, len(self.log)):
            change = apply_record(state, offset, self.log[offset])
            self.step(who, RecordRead(offset, self.log[offset], change))

    @rule(who=st.sampled_from([0, 1]))
    def skip(self, who: int) -> None:
        state = self.folded[who]
        for offset in range(state.next_offset, len(self.log)):
            apply_record(state, offset, self.log[offset])
        self.step(who, RecordsSkipped(state.next_offset))

    def teardown(self) -> None:
        for _ in range(60):
            for who in (0, 1):
                self.now += 5.0
                self.step(who, AppendTick())
                self.answer(who, "answer")
                self.read(who)
        for record in self.held:
            self.log.append(record)
        for who in (0, 1):
            self.read(who)
            assert count_backlog(self.writers[who]) == 0
            self.check_truth(who)

    def check_truth(self, who: int) -> None:
        for name, reports in self.reports[who].items():
            decision = find_decision(self.folded[who], name)
            stands = decision is not None and bool(decision.job) and decision.applied
            last = reports[-1]
            assert last.status in (AppendStatus.APPLIED, AppendStatus.NOT_RUN)
            assert (last.status == AppendStatus.APPLIED) == stands
            if stands:
                assert decision is not None and last.offset == decision.offset
        told = sum(len(names) for names in self.reports)
        assert told == self.submitted


TestAppending = Appending.TestCase
TestAppending.settings = settings(
    derandomize=True, deadline=None, max_examples=150, stateful_step_count=50
)


def collect(actions: list[Any], kind: type) -> list[Any]:
    return [action for action in actions if isinstance(action, kind)]


def test_appends_do_not_grow_with_work() -> None:
    """The log refuses everybody because the backlog of an outage hits it at once.

    The log is out for a minute while results gather; on its return every record
    would go out in an append of its own.
    """
    state = AppenderState(AppenderSettings(), "w.", random.Random(5))
    appends, now = 0, 0.0
    for n in range(2000):
        now = n * 0.03
        event = Submit(make_claim(f"r{n}", "i", -1), f"k{n}")
        for _ in collect(step_appender(state, event, now), Append):
            step_appender(state, AppendRefused(), now)
    offset = 0
    starts = []
    while count_backlog(state):
        now += 0.01
        for action in collect(step_appender(state, AppendTick(), now), Append):
            starts.append(now)
            change = apply_record(state_of(offset), offset, action.record)
            step_appender(state, AppendSucceeded(offset), now)
            step_appender(state, RecordRead(offset, action.record, change), now)
            offset += 1
    appends = len(starts)
    assert appends == -(-2000 // AppenderSettings().max_group)
    gaps = [late - early for early, late in zip(starts, starts[1:], strict=False)]
    assert min(gaps) >= AppenderSettings().interval_s - 1e-9


def state_of(next_offset: int) -> DomainState:
    state = DomainState()
    state.next_offset = next_offset
    return state


def test_full_backlog_refuses_truthfully_but_takes_urgent_records() -> None:
    state = AppenderState(FAST, "w.", random.Random(5))
    for n in range(8):
        step_appender(state, Submit(make_request(f"a{n}"), f"a{n}"), 0.0)
    (report,) = step_appender(state, Submit(make_request("b"), "b"), 0.0)
    assert isinstance(report, AppendReport)
    assert report.status == AppendStatus.NOT_RUN and report.retry_after_s > 0.0
    step_appender(state, AppendSucceeded(0), 0.0)
    urgent = Submit(make_claim("r1", "i", -1), "c", urgent=True)
    (append,) = collect(step_appender(state, urgent, 1.0), Append)
    assert append.record["records"][0]["type"] == "claim"


def test_snapshot_travels_alone() -> None:
    state = AppenderState(FAST, "w.", random.Random(5))
    step_appender(state, Submit(make_abandon("a"), "a"), 0.0)
    step_appender(state, Submit(make_abandon("b"), "b"), 0.0)
    step_appender(state, Submit(make_snapshot(0, {}), "s"), 0.0)
    step_appender(state, Submit(make_abandon("c"), "c"), 0.0)
    kinds = []
    for now in (1.0, 2.0, 3.0):
        (append,) = collect(step_appender(state, AppendSucceeded(0), now), Append)
        kinds.append(append.record["type"])
    assert kinds == ["abandon", "snapshot", "abandon"]


def test_refused_repeat_of_a_lost_record_stays_in_doubt() -> None:
    """A caller is told "not run", comes back, and is charged twice.

    The answer to an append is lost, and the network still holds the record. The log
    goes out and refuses the repeat; the caller's patience ends.
    """
    state = AppenderState(FAST, "w.", random.Random(5))
    step_appender(state, Submit(make_request("a"), "a", 9.0), 0.0)
    step_appender(state, AppendUnconfirmed(), 0.1)
    assert collect(step_appender(state, AppendTick(), 4.0), Append)
    step_appender(state, AppendRefused(), 4.1)
    actions = step_appender(state, AppendTick(), 9.0)
    assert [r.status for r in collect(actions, AppendReport)] == [AppendStatus.UNKNOWN]
    (append,) = collect(actions + step_appender(state, AppendTick(), 20.0), Append)
    assert append.record["type"] == "abandon"
