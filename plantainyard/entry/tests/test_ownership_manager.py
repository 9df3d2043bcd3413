"""Taking over, serving and losing units."""

import io
import threading
from collections.abc import Callable
from itertools import count
from types import SimpleNamespace
from typing import Any
from unittest.mock import Mock

from result import Ok

from plantainyard.batch.records import encode_progress, make_progress_key
from plantainyard.batch.replica import (
    FENCES_KEY,
    Fences,
    Replica,
    apply_record,
    encode_fences,
)
from plantainyard.batch.tasks import TaskKey
from plantainyard.batch.values import StepProgress, TaskProgress
from plantainyard.dispatch import (
    CancelRequested,
    Commit,
    JobSubmitted,
    OrderKind,
    SendOrder,
)
from plantainyard.entry import ownership_manager
from plantainyard.entry.copies import refresh_copy
from plantainyard.entry.eventlog import EventLog
from plantainyard.entry.group import GroupAssignment, follow_group, make_member_name
from plantainyard.entry.instance import OwnedUnit
from plantainyard.entry.ownership_manager import OwnershipManager
from plantainyard.entry.peers import JobLookup, fetch_job
from plantainyard.entry.readers import poll_reader
from plantainyard.entry.takeover import send_open_jobs
from plantainyard.entry.tests.harness import (
    BODY,
    JOB,
    assign_until,
    call,
    own_units,
    run_instance,
    wait_until,
)
from plantainyard.entry.topics import INTAKE, PROGRESS
from plantainyard.entry.unit import UnitActor, UnitContext
from plantainyard.platform.runner_messages import (
    OrderOutcome,
    OrderResult,
    RunnerReport,
)
from plantainyard.platform.store import build_store_calls
from plantainyard.platform.store_messages import Append, AppendResult, Record
from standins.platform import RunnerState, StoreState


def test_an_owner_releases_its_unit_when_the_store_refuses_its_epoch():
    # Guards against orders that rest on outdated state: a paused owner resumes after
    # its successor has written, and the store refuses its records.
    store = StoreState()
    with run_instance(store, RunnerState("r0", {JOB: 0.1})) as instance:
        manager = own_units(instance, 5, 0)
        calls = build_store_calls(instance.settings.store_address)
        successor = Append("keyed.progress", 0, [], "owner", 6, 0)
        assert calls.append(successor, 5.0).unwrap().accepted
        call(instance, "POST", f"/jobs/{JOB}", BODY)
        wait_until(lambda: not instance.claims)
        wait_until(lambda: not instance.owned)
        assign_until(manager, 5, {0}, instance.rejoin_needed.is_set)
        assert not instance.claims


def test_two_incarnations_of_an_instance_have_different_member_names():
    # Guards against a process that is killed and restarted before the group removes it.
    # Under its old name it would own the unit with a fencing token whose sequence
    # numbers are taken, so that the store refuses its records.
    assert make_member_name("edge-1") != make_member_name("edge-1")


def test_a_member_that_needs_a_later_epoch_rejoins_the_group():
    # Guards against a unit that no instance can own: the only member has lost it in the
    # generation that still assigns it the unit.
    store = StoreState()
    with run_instance(store) as instance:
        generations = []
        stopping = threading.Event()

        def take(assignment: GroupAssignment) -> None:
            generations.append(assignment.generation)
            instance.rejoin_needed.set() if len(generations) == 1 else stopping.set()

        follow_group(instance, take, lambda unit: True, stopping)
    assert generations[1] > generations[0]


def test_a_new_owner_reads_everything_if_history_was_dropped():
    # Guards against tasks that are started a second time. An instance had read a unit
    # before another one owned it and assigned tasks, and the store dropped the history.
    # When the instance became the owner, a read that only reported the drop counted as
    # complete, so it started the tasks beside runs that it didn't know of.
    store = StoreState()
    with run_instance(store) as instance:
        copy = instance.copies[0]
        assert refresh_copy(copy)
        assert call(instance, "POST", f"/jobs/{JOB}", BODY)[0] == 200
        progress = StepProgress(frozenset(), {0: TaskProgress(1, "r0@0")})
        store.put("keyed.progress", f"p/{JOB}/0/0", encode_progress(progress))
        store.drop_history()
        assert refresh_copy(copy)
        assert copy.replica.jobs[JOB].steps == {(0, 0): progress}


def test_a_new_owner_fences_its_predecessors_before_it_reads():
    # Guards against a record that a successor never learns of: a frozen owner resumes
    # after its successor has read the unit and before it has stored anything.
    store = StoreState()
    with run_instance(store) as instance:
        own_units(instance, 7, 0)
        late = Append("keyed.progress", 0, [Record("p/x/0/0", b"{}")], "owner", 6, 4)
        assert not instance.store.append(late, 5.0).unwrap().accepted


def test_an_owner_releases_its_unit_when_a_runner_refuses_a_report():
    # Guards against an owner that acts on outdated state: a runner that the successor
    # has already called refuses the owner before the store shows it the successor.
    store = StoreState()
    runner = RunnerState("r0")
    runner.fence = 99
    with run_instance(store, runner) as instance:
        assign_until(OwnershipManager(instance), 5, {0}, instance.rejoin_needed.is_set)
        assert not instance.claims


def test_a_new_owner_begins_above_the_tokens_of_its_predecessors():
    # Guards against a unit that nobody can serve: a predecessor has raised its fencing
    # token at a runner that started again, and the runner refuses its successor.
    store, runner = StoreState(), RunnerState("r0", {JOB: 0.0})
    store.put(PROGRESS, FENCES_KEY, encode_fences(Fences(9)))
    runner.fence = 9
    with run_instance(store, runner) as instance:
        own_units(instance, 5, 0)
        assert call(instance, "POST", f"/jobs/{JOB}", BODY)[0] == 200
        wait_until(lambda: runner.running)
        assert runner.fence == 10
        assert instance.claims[0].epoch == 5
        assert store.newest(PROGRESS)[FENCES_KEY] == encode_fences(Fences(10))


def test_an_owner_keeps_its_unit_when_a_runner_refuses_an_earlier_token_of_its_own():
    # Guards against a unit that changes its owner because a runner has started again: a
    # call to the earlier incarnation arrives after the higher token of the later one.
    with run_instance(StoreState(), RunnerState("r0")) as instance:
        step_down = Mock()
        context = UnitContext(
            0,
            5,
            instance.store,
            instance.runners,
            Replica(),
            instance.log,
            step_down,
            instance.meters,
        )
        actor = UnitActor(context, context.dispatcher)
        entry = Mock(runner="r0", incarnation="r0@1")
        refused = OrderResult(OrderOutcome.FENCED)
        context.fences["r0"] = 6
        for fence, expected in ((5, 0), (6, 1)):
            order = SendOrder(OrderKind.STOP, entry, TaskKey(JOB, 0, 0, 0), 1, fence)
            actor._handle_result(order, refused, 0.0)
            assert step_down.call_count == expected


def answer_later(take: Callable[[Any], None], answer: Any) -> None:
    """Deliver an answer after a tenth of a second, as a runner does."""
    threading.Timer(0.1, take, (answer,)).start()


def test_an_owner_releases_its_unit_when_a_runner_refuses_an_order():
    # Guards against an owner that goes on assigning tasks to runners that refuse them
    # until its next request for a report. The runner has answered the last one just
    # before the successor called, and refuses the owner's next order.
    store = StoreState()
    with run_instance(store, RunnerState("r0")) as instance:
        report = Ok(RunnerReport(1000, None, [], []))
        refused = OrderResult(OrderOutcome.FENCED)
        instance.runners.close()
        instance.runners = Mock()
        instance.runners.renew_lease.side_effect = lambda *args: answer_later(
            args[-1], report
        )
        instance.runners.start.side_effect = lambda *args: args[-1](refused)
        manager = own_units(instance, 5, 0)
        assert call(instance, "POST", f"/jobs/{JOB}", BODY)[0] == 200
        wait_until(lambda: not instance.claims)
        assign_until(manager, 5, {0}, instance.rejoin_needed.is_set)


def test_a_cancel_that_is_read_before_its_job_is_sent_after_it():
    # Guards against a cancelled job that runs: it is handed over, and the request to
    # cancel it reaches the new unit first. Sent before the job, the request is ignored.
    store = StoreState()
    with run_instance(store) as instance:
        assert call(instance, "POST", f"/jobs/{JOB}", BODY)[0] == 200
        value = store.newest(INTAKE)[f"j/{JOB}"]
        other = StoreState()
        other.put(INTAKE, f"c/{JOB}", b"1")
        other.put(INTAKE, f"j/{JOB}", value)
    with run_instance(other) as instance:
        actor = Mock()
        instance.owned[0] = OwnedUnit(Mock(), actor)
        assert poll_reader(instance.copies[0].intake).is_ok()
        sent_types = [type(sent.args[0]) for sent in actor.tell.call_args_list]
    assert sent_types[-2:] == [JobSubmitted, CancelRequested]


def test_an_owner_finds_a_job_that_it_has_not_read_yet():
    # Guards against reporting an accepted job as unknown: another instance queries the
    # owner for it before the owner has read its record.
    store = StoreState()
    with run_instance(store) as instance:
        assert refresh_copy(instance.copies[0])
        instance.owned[0] = OwnedUnit(Mock(), Mock())
        assert call(instance, "POST", f"/jobs/{JOB}", BODY)[0] == 200
        assert fetch_job(instance, 0, JOB) == JobLookup("queued")


def test_a_new_owner_receives_the_cancel_of_a_handed_over_job():
    # Guards against a cancelled job that goes on running in another unit because the
    # request to cancel it was read during the takeover.
    store = StoreState()
    with run_instance(store) as instance:
        assert call(instance, "POST", f"/jobs/{JOB}", BODY)[0] == 200
        store.put(PROGRESS, f"h/{JOB}", b"1")
        store.put(INTAKE, f"c/{JOB}", b"1")
        assert refresh_copy(instance.copies[0])
        actor = Mock()
        instance.owned[0] = OwnedUnit(Mock(), actor)
        send_open_jobs(instance, instance.copies[0])
    assert [sent.args[0] for sent in actor.tell.call_args_list] == [
        CancelRequested(JOB)
    ]


def test_a_unit_whose_takeover_fails_once_gets_an_owner(monkeypatch):
    # Guards against a unit that stays without an owner: an exception ended its
    # takeover, and the claim stayed.
    failures = [RuntimeError("dictionary changed size during iteration")]
    restore = ownership_manager.restore_unit

    def fail_once(*arguments):
        if failures:
            raise failures.pop()
        return restore(*arguments)

    monkeypatch.setattr(ownership_manager, "restore_unit", fail_once)
    with run_instance(StoreState()) as instance:
        manager, epochs = OwnershipManager(instance), count(5)
        epoch = next(epochs)

        def is_owned():
            nonlocal epoch
            if instance.rejoin_needed.is_set():
                instance.rejoin_needed.clear()
                epoch = next(epochs)
            manager.apply_assignment(GroupAssignment(epoch, frozenset({0})))
            return bool(instance.owned)

        wait_until(is_owned)
    assert not failures


def test_a_late_answer_to_an_ended_ownership_does_not_change_the_copy():
    # Guards against a finished task that is reported as unfinished and started again:
    # the instance owns the unit again when an append of an earlier epoch is answered.
    replica, key = Replica(), make_progress_key(JOB, 0, 0)
    old = encode_progress(StepProgress(frozenset(), {0: TaskProgress(1, "r0@1")}))
    new = encode_progress(StepProgress(frozenset({0}), {}))

    def answer_late(append, timeout_s):
        context.stopping.set()
        apply_record(replica, key, new)
        return Ok(AppendResult(True, False, 1))

    apply_record(replica, f"j/{JOB}", b"")
    store: Any = SimpleNamespace(append=answer_late)
    log = EventLog("edge-1", io.StringIO())
    context = UnitContext(0, 5, store, Mock(), replica, log, Mock(), Mock())
    actor: Any = SimpleNamespace(context=context, actor_ref=Mock())
    apply_record(replica, key, old)
    UnitActor._commit(actor, Commit([Record(key, old)]))
    assert replica.jobs[JOB].steps[0, 0].done == {0}


def test_a_takeover_on_a_busy_machine_leaves_the_configuration_recent():
    # Guards against tests that are refused with 503 because their instance has taken a
    # unit over for longer than a reading of the configuration counts as recent.
    with run_instance(StoreState(), RunnerState("r0", {JOB: 0.1})) as instance:
        instance.operations_reader.synced_at -= 3.0
        own_units(instance, 5, 0)
        assert call(instance, "POST", f"/jobs/{JOB}", BODY)[0] == 200
