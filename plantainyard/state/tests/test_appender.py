"""Tests of grouped appends to a log that loses answers, refuses or is delayed."""

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
    """Two instances that append to one stream over a network that delays records."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.log: list[Any] = []
        self.delayed: list[Any] = []
        self.folded = [DomainState(), DomainState()]
        rng = random.Random(3)
        self.writers = [AppenderState(FAST, f"w{n}.", rng) for n in range(2)]
        self.in_flight: list[Any] = [None, None]
        self.reports: list[dict[str, list[AppendReport]]] = [{}, {}]
        self.submitted = 0

    def step(self, index: int, event: Any) -> None:
        for action in step_appender(self.writers[index], event, self.now):
            match action:
                case Append(record):
                    assert self.in_flight[index] is None, "two appends in flight"
                    self.in_flight[index] = record
                case AppendReport():
                    self.collect_report(index, action)

    def collect_report(self, index: int, report: AppendReport) -> None:
        reports = self.reports[index].setdefault(report.key, [])
        final = [r for r in reports if r.status != AppendStatus.UNKNOWN]
        assert not final or report.key.startswith("again"), "reported twice"
        reports.append(report)

    @rule(index=st.sampled_from([0, 1]), valid_s=st.sampled_from([1.0, 9.0, 1e9]))
    def submit(self, index: int, valid_s: float) -> None:
        self.submitted += 1
        name = f"a{self.submitted}"
        submit = Submit(make_request(name), name, self.now + valid_s)
        self.step(index, submit)

    @rule(index=st.sampled_from([0, 1]))
    def tick(self, index: int) -> None:
        self.now += 0.7
        self.step(index, AppendTick())

    @rule(
        index=st.sampled_from([0, 1]),
        outcome=st.sampled_from(
            ["answer", "answer", "late", "lost", "delayed", "refused"]
        ),
    )
    def answer(self, index: int, outcome: str) -> None:
        record, self.in_flight[index] = self.in_flight[index], None
        if record is None:
            return
        if outcome == "delayed":
            self.delayed.append(record)
        if outcome in ("answer", "late"):
            self.log.append(record)
        match outcome:
            case "answer":
                self.step(index, AppendSucceeded(len(self.log) - 1))
            case "refused":
                self.step(index, AppendRefused(0.3))
            case _:
                self.step(index, AppendUnconfirmed())

    @precondition(lambda self: self.delayed)
    @rule()
    def deliver(self) -> None:
        self.log.append(self.delayed.pop(0))

    @rule(index=st.sampled_from([0, 1]))
    def read(self, index: int) -> None:
        state = self.folded[index]
        for offset in range(state.next_offset, len(self.log)):
            result = apply_record(state, offset, self.log[offset])
            self.step(index, RecordRead(offset, self.log[offset], result))

    @rule(index=st.sampled_from([0, 1]))
    def skip(self, index: int) -> None:
        state = self.folded[index]
        for offset in range(state.next_offset, len(self.log)):
            apply_record(state, offset, self.log[offset])
        self.step(index, RecordsSkipped(state.next_offset))

    def teardown(self) -> None:
        for _ in range(60):
            for index in (0, 1):
                self.now += 5.0
                self.step(index, AppendTick())
                self.answer(index, "answer")
                self.read(index)
        for record in self.delayed:
            self.log.append(record)
        for index in (0, 1):
            self.read(index)
            assert count_backlog(self.writers[index]) == 0
            self.check_reports(index)

    def check_reports(self, index: int) -> None:
        for name, reports in self.reports[index].items():
            decision = find_decision(self.folded[index], name)
            applied = decision is not None and bool(decision.job) and decision.applied
            last = reports[-1]
            assert last.status in (AppendStatus.APPLIED, AppendStatus.NOT_RUN)
            assert (last.status == AppendStatus.APPLIED) == applied
            if applied:
                assert decision is not None and last.offset == decision.offset
        reported = sum(len(names) for names in self.reports)
        assert reported == self.submitted


TestAppending = Appending.TestCase
TestAppending.settings = settings(
    derandomize=True, deadline=None, max_examples=150, stateful_step_count=50
)


def collect(actions: list[Any], kind: type) -> list[Any]:
    return [action for action in actions if isinstance(action, kind)]


def test_appends_do_not_grow_with_work() -> None:
    """Guards against overloading the log with a backlog after an outage.

    The log is out for a minute while results accumulate. When it returns, they must
    be sent in groups at the usual rate and not in one append for each record.
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
            result = apply_record(make_state(offset), offset, action.record)
            step_appender(state, AppendSucceeded(offset), now)
            step_appender(state, RecordRead(offset, action.record, result), now)
            offset += 1
    appends = len(starts)
    assert appends == -(-2000 // AppenderSettings().max_group)
    gaps = [after - before for before, after in zip(starts, starts[1:], strict=False)]
    assert min(gaps) >= AppenderSettings().interval_s - 1e-9


def make_state(next_offset: int) -> DomainState:
    state = DomainState()
    state.next_offset = next_offset
    return state


def test_full_backlog_refuses_records_except_urgent_ones() -> None:
    """Guards against claims that wait behind, or are refused by, a full backlog."""
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


def test_snapshot_is_appended_alone() -> None:
    """Guards against a snapshot in a group, where its record would be malformed."""
    state = AppenderState(FAST, "w.", random.Random(5))
    step_appender(state, Submit(make_abandon("a"), "a"), 0.0)
    step_appender(state, Submit(make_abandon("b"), "b"), 0.0)
    step_appender(state, Submit(make_snapshot(0, {}), "s"), 0.0)
    step_appender(state, Submit(make_abandon("c"), "c"), 0.0)
    types = []
    for now in (1.0, 2.0, 3.0):
        (append,) = collect(step_appender(state, AppendSucceeded(0), now), Append)
        types.append(append.record["type"])
    assert types == ["abandon", "snapshot", "abandon"]


def test_refused_retry_of_an_unconfirmed_record_stays_unknown() -> None:
    """Guards against reporting "not run" for a request that is carried out later.

    The answer to an append is lost while the network still delays the record. The log
    then fails and refuses the retry until the submission expires. After "not run" the
    caller would submit the request again and be charged twice.
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
