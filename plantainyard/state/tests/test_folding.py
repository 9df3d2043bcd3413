"""Tests of folding a domain's records against a simple model, with snapshots."""

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


class TaskModel(NamedTuple):
    """The state of a task in the simple model."""

    rack: str
    status: str
    attempts: int = 0
    worker: str = ""
    checkpoint: str = ""
    failures: int = 0


class Folding(RuleBasedStateMachine):
    """Draws records, many of which are stale, repeated or of a former owner."""

    def __init__(self) -> None:
        super().__init__()
        self.state = DomainState()
        self.offset = 0
        self.terms = {rack: [-1] for rack in RACKS}
        self.holders = dict.fromkeys(RACKS, "")
        self.tasks: dict[TaskKey, TaskModel] = {}
        self.cancelled: set[str] = set()
        self.decided: dict[str, str] = {}
        self.checkpoints: set[str] = set()
        self.consumed: list[str] = []

    def append(self, data: Any) -> Any:
        decoded = json.loads(json.dumps(data))
        result = apply_record(self.state, self.offset, decoded)
        assert not apply_record(self.state, self.offset, decoded).applied
        self.offset += 1
        return result

    @initialize()
    def set_up(self) -> None:
        self.accept("a", TASKS)
        for rack in RACKS:
            self.claim(rack, 0, "i1", ("w1",), False)

    def draw_task(self, data: Any, status: str) -> TaskKey:
        """Draw a task, in most cases one whose state is `status`."""
        matching = [
            task for task, c in sorted(self.tasks.items()) if c.status == status
        ]
        any_task = not matching or data.draw(st.sampled_from([False] * 5 + [True]))
        return data.draw(st.sampled_from(sorted(self.tasks) if any_task else matching))

    @rule(request=st.sampled_from("ab"), count=st.integers(0, TASKS))
    def accept(self, request: str, count: int) -> None:
        allotment = {"r1": count, "r2": TASKS - count}
        result = self.append(make_accept(request, make_job("j" + request), allotment))
        assert result.applied == (request not in self.decided)
        self.decided.setdefault(request, "accept")
        if result.applied:
            self.tasks |= {
                TaskKey("j" + request, n): TaskModel(
                    "r1" if n < count else "r2", "waiting"
                )
                for n in range(TASKS)
            }

    @rule(request=st.sampled_from("abc"))
    def abandon(self, request: str) -> None:
        result = self.append(make_abandon(request))
        assert result.applied == (request not in self.decided)
        self.decided.setdefault(request, "abandon")
        decision = find_decision(self.state, request)
        assert decision is not None and decision.kind == self.decided[request]

    @rule(request=st.integers(0, 3), name=st.sampled_from("ab"))
    def cancel(self, request: int, name: str) -> None:
        job, key = "j" + name, f"cancel{request}"
        result = self.append(make_cancel(key, [job]))
        live = any(
            task.job == job and model.status in ("waiting", "assigned")
            for task, model in self.tasks.items()
        )
        undecided = key not in self.decided and job not in self.cancelled
        assert result.applied == (undecided and live)
        self.decided.setdefault(key, "cancel")
        if result.applied:
            self.cancelled.add(job)
            self.tasks |= {
                task: model._replace(status="cancelled")
                for task, model in self.tasks.items()
                if task.job == job and model.status == "waiting"
            }

    @rule(
        rack=st.sampled_from(RACKS),
        terms_back=st.sampled_from([0, 0, 0, 1]),
        holder=st.sampled_from(["i1", "i2", ""]),
        workers=st.sampled_from([("w1",), ("w1", "w2")]),
        established=st.sampled_from([False, False, True]),
    )
    def claim(
        self,
        rack: str,
        terms_back: int,
        holder: str,
        workers: tuple[str, ...],
        established: bool,
    ) -> None:
        terms = self.terms[rack]
        base = terms[max(len(terms) - 1 - terms_back, 0)]
        before = find_claim(self.state, rack)
        record = make_claim(rack, holder, base, workers, established)
        result = self.append(record)
        assert result.applied == (base == terms[-1])
        if not result.applied:
            assert result.reason == VoidReason.BASE and result.winner == terms[-1]
            return
        terms.append(result.offset)
        self.holders[rack] = holder
        claim = find_claim(self.state, rack)
        assert claim is not None
        assert claim[:3] == (holder, result.offset, workers)
        if before is not None and not before.holder:
            assert claim[3:] == before[3:]
            return
        earlier = set(before.previous) if before and not established else set()
        earlier |= {before.workers} if before else set()
        assert (set(claim.previous), claim.stopped) == (earlier, established)

    def draw_term(self, rack: str, terms_back: int) -> tuple[int, bool]:
        terms = self.terms[rack]
        term = terms[max(len(terms) - 1 - terms_back, 0)]
        return term, term == terms[-1] and bool(self.holders[rack])

    @precondition(lambda self: self.tasks)
    @rule(
        data=st.data(),
        wrong_rack=st.sampled_from([False, False, False, True]),
        terms_back=st.sampled_from([0, 0, 0, 1]),
        attempt_skew=st.sampled_from([0, 0, 0, 1, -1]),
    )
    def assign(
        self, data: Any, wrong_rack: bool, terms_back: int, attempt_skew: int
    ) -> None:
        task = self.draw_task(data, "waiting")
        model = self.tasks[task]
        rack = next(r for r in RACKS if (r == model.rack) != wrong_rack)
        term, valid = self.draw_term(rack, terms_back)
        attempt = max(model.attempts + 1 + attempt_skew, 1)
        item = AssignItem(task, attempt, "w1")
        result = self.append(make_group([make_assign(rack, term, [item])]))
        possible = model.status == "waiting" and model.rack == rack
        assert result.applied == (valid and possible and attempt == model.attempts + 1)
        if result.applied:
            if model.checkpoint:
                self.consumed.append(model.checkpoint)
            self.tasks[task] = model._replace(
                status="assigned", attempts=attempt, worker="w1"
            )

    @rule(data=st.data(), outcome=st.sampled_from(OUTCOMES))
    def run(self, data: Any, outcome: str) -> None:
        self.assign(data, False, 0, 0)
        self.end(data, outcome, 0, 0)

    @precondition(lambda self: self.tasks)
    @rule(
        data=st.data(),
        outcome=st.sampled_from(OUTCOMES),
        terms_back=st.sampled_from([0, 0, 0, 1]),
        attempt_skew=st.sampled_from([0, 0, 0, 1, -1]),
    )
    def end(self, data: Any, outcome: str, terms_back: int, attempt_skew: int) -> None:
        task = self.draw_task(data, "assigned")
        model = self.tasks[task]
        term, valid = self.draw_term(model.rack, terms_back)
        attempt = max(model.attempts + attempt_skew, 1)
        detail = f"c{self.offset}" if outcome == Outcome.EVICTED else "why"
        item = ResultItem(task, attempt, outcome, detail)
        result = self.append(make_results(model.rack, term, [item]))
        possible = model.status == "assigned" and attempt == model.attempts
        assert result.applied == (valid and possible)
        if result.applied:
            self.tasks[task] = self.end_task(task, model, outcome, detail)

    def end_task(
        self, task: TaskKey, model: TaskModel, outcome: str, detail: str
    ) -> TaskModel:
        if outcome == Outcome.DONE:
            return model._replace(status="done")
        status = "cancelled" if task.job in self.cancelled else "waiting"
        return model._replace(
            status=status,
            worker="",
            checkpoint=detail if outcome == Outcome.EVICTED else "",
            failures=model.failures + (outcome == Outcome.FAILED),
        )

    @precondition(lambda self: self.tasks)
    @rule(data=st.data(), terms_back=st.sampled_from([0, 0, 1]))
    def move(self, data: Any, terms_back: int) -> None:
        task = self.draw_task(data, "waiting")
        term, valid = self.draw_term("r1", terms_back)
        model = self.tasks[task]
        result = self.append(make_move("r1", term, [task], "r2"))
        assert result.applied == (
            valid and model.status == "waiting" and model.rack == "r1"
        )
        if result.applied:
            self.tasks[task] = model._replace(rack="r2")

    @rule(
        invalid=st.sampled_from(
            [None, 7, [], {"type": "later"}, {"type": "assign"}, {"type": 3}]
            + [{"type": "results", "rack": "r1", "items": [["ja/0", 1, "sung", ""]]}]
            + [{"type": "accept", "request_id": "x", "job": {}, "allotment": {}}]
        )
    )
    def ignore_invalid(self, invalid: Any) -> None:
        assert not self.append(invalid).applied

    @rule()
    def restore(self) -> None:
        self.state = decode_domain(json.loads(json.dumps(encode_domain(self.state))))

    @invariant()
    def matches_model(self) -> None:
        for rack in RACKS:
            waiting = {
                entry.task: (entry.attempt, entry.checkpoint, entry.failures)
                for entry in iter_waiting(self.state, rack)
            }
            assert waiting == {
                task: (model.attempts + 1, model.checkpoint, model.failures)
                for task, model in self.tasks.items()
                if model.status == "waiting" and model.rack == rack
            }
            assigned = get_assigned(self.state, rack)
            assert {t: a[:2] for t, a in assigned.items()} == {
                task: (model.attempts, model.worker)
                for task, model in self.tasks.items()
                if model.status == "assigned" and model.rack == rack
            }
            assert set(list_cancelled_running(self.state, rack)) == {
                task for task in assigned if task.job in self.cancelled
            }
        for job in {task.job for task in self.tasks}:
            entry = get_job(self.state, job)
            assert entry is not None
            counts = count_tasks(entry)
            models = [c for task, c in self.tasks.items() if task.job == job]
            statuses = [model.status for model in models]
            assert counts.waiting + counts.failed == statuses.count("waiting")
            assert counts[1:3] == (statuses.count("assigned"), statuses.count("done"))
            assert counts.cancelled == statuses.count("cancelled")

    @invariant()
    def consumes_each_checkpoint_once(self) -> None:
        assert len(self.consumed) == len(set(self.consumed))


TestFolding = Folding.TestCase
TestFolding.settings = settings(
    derandomize=True, deadline=None, max_examples=100, stateful_step_count=50
)


def test_skipped_offset_is_an_error() -> None:
    """Guards against a state that silently lacks records."""
    state = DomainState()
    apply_record(state, 0, make_abandon("a"))
    with pytest.raises(ValueError, match="1 to 1 are missing"):
        apply_record(state, 2, make_abandon("b"))


def test_delayed_accept_after_its_decision_is_forgotten(monkeypatch) -> None:
    """Guards against running a job a second time, days after it was accepted.

    The answer to the first append is lost, so the record is sent again and accepted.
    Then so many requests are decided that the id is forgotten, and only after that
    does the network deliver the first copy.
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
    result = apply_record(state, 5, first)
    assert (result.applied, result.reason) == (False, VoidReason.FORGOTTEN)
    assert get_job(state, "ja") is None


def test_lapse_recorded_by_a_former_owner_is_void() -> None:
    """Guards against running a task twice at the same time, billing customers twice.

    An owner is paused; its successor takes over the rack and renews the running
    task's lease. The first owner resumes, finds the lease that it knows expired and
    records a lapse. The task would be assigned again while it is still running.
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
