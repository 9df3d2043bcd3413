"""The folding of a domain's records against a naive model, snapshots included."""

import json
from typing import Any, NamedTuple

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from plantainyard.state import (
    AssignItem,
    DomainState,
    Outcome,
    ResultItem,
    VoidReason,
    apply_record,
    count_tasks,
    decode_domain,
    encode_domain,
    find_claim,
    find_decision,
    get_assigned,
    get_job,
    iter_waiting,
    list_cancelled_running,
    make_abandon,
    make_accept,
    make_assign,
    make_cancel,
    make_claim,
    make_group,
    make_move,
    make_results,
    requests,
)
from plantainyard.work import Job, Size, TaskKey

RACKS = ("r1", "r2")
TASKS = 2
OUTCOMES = (Outcome.DONE, Outcome.FAILED, Outcome.EVICTED, Outcome.LAPSED)


def make_job(name: str, count: int = TASKS) -> Job:
    return Job(name, name, "team", False, count, Size(1.0, 1.0), 60.0)


class Copy(NamedTuple):
    """What the naive model knows of a task."""

    rack: str
    place: str
    attempts: int = 0
    worker: str = ""
    checkpoint: str = ""
    failures: int = 0


class Folding(RuleBasedStateMachine):
    """Draws records of which many are stale, doubled or of a past owner."""

    def __init__(self) -> None:
        super().__init__()
        self.state = DomainState()
        self.offset = 0
        self.terms = {rack: [-1] for rack in RACKS}
        self.holders = dict.fromkeys(RACKS, "")
        self.tasks: dict[TaskKey, Copy] = {}
        self.cancelled: set[str] = set()
        self.decided: dict[str, str] = {}
        self.checkpoints: set[str] = set()
        self.consumed: list[str] = []

    def append(self, data: Any) -> Any:
        wire = json.loads(json.dumps(data))
        change = apply_record(self.state, self.offset, wire)
        assert not apply_record(self.state, self.offset, wire).applied
        self.offset += 1
        return change

    @initialize()
    def begin(self) -> None:
        self.accept("a", TASKS)
        for rack in RACKS:
            self.claim(rack, 0, "i1", ("w1",), False)

    def draw_task(self, data: Any, place: str) -> TaskKey:
        """Draw a task, mostly one that is in `place`."""
        fitting = [task for task, c in sorted(self.tasks.items()) if c.place == place]
        anywhere = not fitting or data.draw(st.sampled_from([False] * 5 + [True]))
        return data.draw(st.sampled_from(sorted(self.tasks) if anywhere else fitting))

    @rule(request=st.sampled_from("ab"), count=st.integers(0, TASKS))
    def accept(self, request: str, count: int) -> None:
        allotment = {"r1": count, "r2": TASKS - count}
        change = self.append(make_accept(request, make_job("j" + request), allotment))
        assert change.applied == (request not in self.decided)
        self.decided.setdefault(request, "accept")
        if change.applied:
            self.tasks |= {
                TaskKey("j" + request, n): Copy("r1" if n < count else "r2", "waiting")
                for n in range(TASKS)
            }

    @rule(request=st.sampled_from("abc"))
    def abandon(self, request: str) -> None:
        change = self.append(make_abandon(request))
        assert change.applied == (request not in self.decided)
        self.decided.setdefault(request, "abandon")
        decision = find_decision(self.state, request)
        assert decision is not None and decision.kind == self.decided[request]

    @rule(request=st.integers(0, 3), name=st.sampled_from("ab"))
    def cancel(self, request: int, name: str) -> None:
        job, key = "j" + name, f"cancel{request}"
        change = self.append(make_cancel(key, [job]))
        live = any(
            task.job == job and copy.place in ("waiting", "assigned")
            for task, copy in self.tasks.items()
        )
        fresh = key not in self.decided and job not in self.cancelled
        assert change.applied == (fresh and live)
        self.decided.setdefault(key, "cancel")
        if change.applied:
            self.cancelled.add(job)
            self.tasks |= {
                task: copy._replace(place="cancelled")
                for task, copy in self.tasks.items()
                if task.job == job and copy.place == "waiting"
            }

    @rule(
        rack=st.sampled_from(RACKS),
        back=st.sampled_from([0, 0, 0, 1]),
        holder=st.sampled_from(["i1", "i2", ""]),
        workers=st.sampled_from([("w1",), ("w1", "w2")]),
        established=st.sampled_from([False, False, True]),
    )
    def claim(
        self,
        rack: str,
        back: int,
        holder: str,
        workers: tuple[str, ...],
        established: bool,
    ) -> None:
        terms = self.terms[rack]
        base = terms[max(len(terms) - 1 - back, 0)]
        before = find_claim(self.state, rack)
        record = make_claim(rack, holder, base, workers, established)
        change = self.append(record)
        assert change.applied == (base == terms[-1])
        if not change.applied:
            assert change.reason == VoidReason.BASE and change.winner == terms[-1]
            return
        terms.append(change.offset)
        self.holders[rack] = holder
        claim = find_claim(self.state, rack)
        assert claim is not None
        assert claim[:3] == (holder, change.offset, workers)
        if before is not None and not before.holder:
            assert claim[3:] == before[3:]
            return
        earlier = set(before.previous) if before and not established else set()
        earlier |= {before.workers} if before else set()
        assert (set(claim.previous), claim.stopped) == (earlier, established)

    def draw_term(self, rack: str, back: int) -> tuple[int, bool]:
        terms = self.terms[rack]
        term = terms[max(len(terms) - 1 - back, 0)]
        return term, term == terms[-1] and bool(self.holders[rack])

    @precondition(lambda self: self.tasks)
    @rule(
        data=st.data(),
        astray=st.sampled_from([False, False, False, True]),
        back=st.sampled_from([0, 0, 0, 1]),
        skew=st.sampled_from([0, 0, 0, 1, -1]),
    )
    def assign(self, data: Any, astray: bool, back: int, skew: int) -> None:
        task = self.draw_task(data, "waiting")
        copy = self.tasks[task]
        rack = next(r for r in RACKS if (r == copy.rack) != astray)
        term, valid = self.draw_term(rack, back)
        attempt = max(copy.attempts + 1 + skew, 1)
        item = AssignItem(task, attempt, "w1")
        change = self.append(make_group([make_assign(rack, term, [item])]))
        legal = copy.place == "waiting" and copy.rack == rack
        assert change.applied == (valid and legal and attempt == copy.attempts + 1)
        if change.applied:
            if copy.checkpoint:
                self.consumed.append(copy.checkpoint)
            self.tasks[task] = copy._replace(
                place="assigned", attempts=attempt, worker="w1"
            )

    @rule(data=st.data(), outcome=st.sampled_from(OUTCOMES))
    def run(self, data: Any, outcome: str) -> None:
        self.assign(data, False, 0, 0)
        self.end(data, outcome, 0, 0)

    @precondition(lambda self: self.tasks)
    @rule(
        data=st.data(),
        outcome=st.sampled_from(OUTCOMES),
        back=st.sampled_from([0, 0, 0, 1]),
        skew=st.sampled_from([0, 0, 0, 1, -1]),
    )
    def end(self, data: Any, outcome: str, back: int, skew: int) -> None:
        task = self.draw_task(data, "assigned")
        copy = self.tasks[task]
        term, valid = self.draw_term(copy.rack, back)
        attempt = max(copy.attempts + skew, 1)
        detail = f"c{self.offset}" if outcome == Outcome.EVICTED else "why"
        item = ResultItem(task, attempt, outcome, detail)
        change = self.append(make_results(copy.rack, term, [item]))
        legal = copy.place == "assigned" and attempt == copy.attempts
        assert change.applied == (valid and legal)
        if change.applied:
            self.tasks[task] = self.end_copy(task, copy, outcome, detail)

    def end_copy(self, task: TaskKey, copy: Copy, outcome: str, detail: str) -> Copy:
        if outcome == Outcome.DONE:
            return copy._replace(place="done")
        place = "cancelled" if task.job in self.cancelled else "waiting"
        return copy._replace(
            place=place,
            worker="",
            checkpoint=detail if outcome == Outcome.EVICTED else "",
            failures=copy.failures + (outcome == Outcome.FAILED),
        )

    @precondition(lambda self: self.tasks)
    @rule(data=st.data(), back=st.sampled_from([0, 0, 1]))
    def move(self, data: Any, back: int) -> None:
        task = self.draw_task(data, "waiting")
        term, valid = self.draw_term("r1", back)
        copy = self.tasks[task]
        change = self.append(make_move("r1", term, [task], "r2"))
        assert change.applied == (
            valid and copy.place == "waiting" and copy.rack == "r1"
        )
        if change.applied:
            self.tasks[task] = copy._replace(rack="r2")

    @rule(
        junk=st.sampled_from(
            [None, 7, [], {"type": "later"}, {"type": "assign"}, {"type": 3}]
            + [{"type": "results", "rack": "r1", "items": [["ja/0", 1, "sung", ""]]}]
            + [{"type": "accept", "request_id": "x", "job": {}, "allotment": {}}]
        )
    )
    def pass_junk(self, junk: Any) -> None:
        assert not self.append(junk).applied

    @rule()
    def restore(self) -> None:
        self.state = decode_domain(json.loads(json.dumps(encode_domain(self.state))))

    @invariant()
    def agrees(self) -> None:
        for rack in RACKS:
            waiting = {
                entry.task: (entry.attempt, entry.checkpoint, entry.failures)
                for entry in iter_waiting(self.state, rack)
            }
            assert waiting == {
                task: (copy.attempts + 1, copy.checkpoint, copy.failures)
                for task, copy in self.tasks.items()
                if copy.place == "waiting" and copy.rack == rack
            }
            assigned = get_assigned(self.state, rack)
            assert {t: a[:2] for t, a in assigned.items()} == {
                task: (copy.attempts, copy.worker)
                for task, copy in self.tasks.items()
                if copy.place == "assigned" and copy.rack == rack
            }
            assert set(list_cancelled_running(self.state, rack)) == {
                task for task in assigned if task.job in self.cancelled
            }
        for job in {task.job for task in self.tasks}:
            entry = get_job(self.state, job)
            assert entry is not None
            counts = count_tasks(entry)
            copies = [c for task, c in self.tasks.items() if task.job == job]
            places = [copy.place for copy in copies]
            assert counts.waiting + counts.failed == places.count("waiting")
            assert counts[1:3] == (places.count("assigned"), places.count("done"))
            assert counts.cancelled == places.count("cancelled")

    @invariant()
    def consumes_each_checkpoint_once(self) -> None:
        assert len(self.consumed) == len(set(self.consumed))


TestFolding = Folding.TestCase
TestFolding.settings = settings(
    derandomize=True, deadline=None, max_examples=100, stateful_step_count=50
)


def test_skipped_offset_is_an_error() -> None:
    state = DomainState()
    apply_record(state, 0, make_abandon("a"))
    with pytest.raises(ValueError, match="1 to 1 are missing"):
        apply_record(state, 2, make_abandon("b"))


def test_late_accept_after_its_verdict_is_forgotten(monkeypatch) -> None:
    """A job runs a second time, days after it was accepted.

    The answer to the first append is lost, the record is sent again and accepted.
    Then so many requests are decided that the id is forgotten, and only now does the
    network deliver the first copy.
    """
    monkeypatch.setattr(requests, "MAX_DECISIONS", 2)
    state = DomainState()
    first = {**make_accept("a", make_job("ja", 1), {"r1": 1}), "as_of": 0}
    cancel = make_cancel("b", ["ja"])
    later = (make_abandon(f"x{n}") for n in range(3))
    for offset, record in enumerate([first, cancel, *later]):
        apply_record(state, offset, record)
    state.completed.clear()
    assert find_decision(state, "a") is None
    change = apply_record(state, 5, first)
    assert (change.applied, change.reason) == (False, VoidReason.FORGOTTEN)
    assert get_job(state, "ja") is None


def test_lapse_told_by_a_past_owner() -> None:
    """A statement run bills some hauliers twice.

    An owner is paused; its successor takes the rack over and renews the running
    task's lease. The first one wakes, sees that the lease it knew of is over and
    writes so. The task would be assigned again while it is running.
    """
    state, task = DomainState(), TaskKey("ja", 0)
    lapsed = [ResultItem(task, 1, Outcome.LAPSED)]
    records = [
        make_accept("a", make_job("ja", 1), {"r1": 1}),
        make_claim("r1", "i1", -1),
        make_assign("r1", 1, [AssignItem(task, 1, "w1")]),
        make_claim("r1", "i2", 1),
        make_results("r1", 1, lapsed),
    ]
    *_, last = [apply_record(state, n, record) for n, record in enumerate(records)]
    assert (last.applied, last.reason) == (False, VoidReason.TERM)
    assert task in get_assigned(state, "r1")
    assert apply_record(state, 5, make_results("r1", 3, lapsed)).applied
