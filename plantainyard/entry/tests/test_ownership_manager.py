"""Taking, keeping and losing the ownership of units."""

import io
import threading
from collections.abc import Callable
from itertools import count
from types import SimpleNamespace
from typing import Any
from unittest.mock import Mock

from result import Ok

from plantainyard.batch.records import encode_progress, make_progress_key
from plantainyard.batch.replica import Replica, apply_record
from plantainyard.batch.values import StepProgress, TaskProgress
from plantainyard.dispatch import CancelRequested, Commit, JobSubmitted
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
    call,
    deal_until,
    own_units,
    run_instance,
    wait_until,
)
from plantainyard.entry.topics import INTAKE, PROGRESS
from plantainyard.entry.unit import UnitActor, UnitContext
from plantainyard.platform.runners import OrderOutcome, OrderResult, RunnerReport
from plantainyard.platform.store import Append, AppendResult, Record, build_store_calls
from standins.platform import RunnerState, StoreState


def test_an_owner_whose_epoch_is_over_stops_at_once():
    # A paused owner comes back after its successor has written. The store refuses its
    # records; whatever it would still order is based on what is no longer true.
    store = StoreState()
    with run_instance(store, RunnerState("r0", {JOB: 0.1})) as instance:
        owners = own_units(instance, 5, 0)
        calls = build_store_calls(instance.settings.store_address)
        successor = Append("keyed.progress", 0, [], "owner", 6, 0)
        assert calls.append(successor, 5.0).unwrap().accepted
        call(instance, "POST", f"/jobs/{JOB}", BODY)
        wait_until(lambda: not instance.claims)
        wait_until(lambda: not instance.owned)
        deal_until(owners, 5, {0}, instance.rejoin_needed.is_set)
        assert not instance.claims


def test_two_lives_of_an_instance_are_two_members():
    # A killed process is back before the group has missed it. Under its old name it
    # would own the unit under a fencing token whose records the store has closed.
    assert make_member_name("edge-1") != make_member_name("edge-1")


def test_a_member_that_needs_a_later_epoch_joins_anew():
    # Guards against a unit that nobody can own: the only member has lost it under the
    # generation that goes on dealing it the unit.
    store = StoreState()
    with run_instance(store) as instance:
        generations = []
        stopping = threading.Event()

        def take(ownership: GroupAssignment) -> None:
            generations.append(ownership.generation)
            instance.rejoin_needed.set() if len(generations) == 1 else stopping.set()

        follow_group(instance, take, lambda unit: True, stopping)
    assert generations[1] > generations[0]


def test_a_new_owner_misses_nothing_where_history_was_dropped():
    # An instance has read a unit before. Another one owned it meanwhile and assigned
    # tasks; the store dropped its history. The instance becomes the owner, and one read
    # that only told it of the drop counted as having read all: it started the tasks
    # anew, beside the runs that it knew nothing of.
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
    # An owner that was frozen wakes after its successor has read the unit and before
    # that one has stored anything. Its record would be stored, and its successor never
    # learn of it.
    store = StoreState()
    with run_instance(store) as instance:
        own_units(instance, 7, 0)
        late = Append("keyed.progress", 0, [Record("p/x/0/0", b"{}")], "owner", 6, 4)
        assert not instance.store.append(late, 5.0).unwrap().accepted


def test_an_owner_that_a_runner_refuses_gives_up():
    # The store hasn't shown an owner its successor yet; a runner that the successor has
    # called already refuses it. What it does from then on rests on what isn't true.
    store = StoreState()
    runner = RunnerState("r0")
    runner.fence = 99
    with run_instance(store, runner) as instance:
        deal_until(OwnershipManager(instance), 5, {0}, instance.rejoin_needed.is_set)
        assert not instance.claims


def later(take: Callable[[Any], None], answer: Any) -> None:
    """Give an answer a tenth of a second later, as a runner does."""
    threading.Timer(0.1, take, (answer,)).start()


def test_an_owner_whose_order_a_runner_refuses_gives_up():
    # The runner answers an owner's report a moment before its successor calls. The
    # owner's next order is refused, and waiting for the next report it would go on
    # assigning tasks to runners that do nothing it says.
    store = StoreState()
    with run_instance(store, RunnerState("r0")) as instance:
        held = Ok(RunnerReport(1000, None, [], []))
        refused = OrderResult(OrderOutcome.FENCED)
        instance.runners.close()
        instance.runners = Mock()
        instance.runners.renew_lease.side_effect = lambda *args: later(args[-1], held)
        instance.runners.start.side_effect = lambda *args: args[-1](refused)
        owners = own_units(instance, 5, 0)
        assert call(instance, "POST", f"/jobs/{JOB}", BODY)[0] == 200
        wait_until(lambda: not instance.claims)
        deal_until(owners, 5, {0}, instance.rejoin_needed.is_set)


def test_a_cancel_that_is_read_before_its_job_is_told_after_it():
    # A job is handed over, and its caller's request to cancel it comes to the new unit
    # first. Told before the job it means nothing, and the job would run.
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
        told = [type(sent.args[0]) for sent in actor.tell.call_args_list]
    assert told[-2:] == [JobSubmitted, CancelRequested]


def test_an_owner_denies_no_job_that_it_has_not_read_yet():
    # A job is stored, and another instance asks the owner for it before the owner's
    # reading has come that far.
    store = StoreState()
    with run_instance(store) as instance:
        assert refresh_copy(instance.copies[0])
        instance.owned[0] = OwnedUnit(Mock(), Mock())
        assert call(instance, "POST", f"/jobs/{JOB}", BODY)[0] == 200
        assert fetch_job(instance, 0, JOB) == JobLookup("queued")


def test_a_new_owner_is_told_of_the_cancel_of_a_job_that_was_handed_over():
    # Guards against a cancelled job that runs on in another unit: its cancel was read
    # during the takeover.
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
    # Guards against a unit without an owner for good: a fault ended its takeover, and
    # the claim stayed.
    failures = [RuntimeError("dictionary changed size during iteration")]
    restore = ownership_manager.restore_unit

    def fail_once(*arguments):
        if failures:
            raise failures.pop()
        return restore(*arguments)

    monkeypatch.setattr(ownership_manager, "restore_unit", fail_once)
    with run_instance(StoreState()) as instance:
        owners, epochs = OwnershipManager(instance), count(5)
        epoch = next(epochs)

        def is_owned():
            nonlocal epoch
            if instance.rejoin_needed.is_set():
                instance.rejoin_needed.clear()
                epoch = next(epochs)
            owners.apply_assignment(GroupAssignment(epoch, frozenset({0})))
            return bool(instance.owned)

        wait_until(is_owned)
    assert not failures


def test_a_late_answer_to_an_ended_ownership_changes_no_copy():
    # Guards against a finished task that is told as unfinished, and begun again: the
    # instance owns the unit anew when an append of its ownership before is answered.
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
    actor: Any = SimpleNamespace(
        context=context, actor_ref=Mock(), _record_job_end=Mock()
    )
    apply_record(replica, key, old)
    UnitActor._commit(actor, Commit([Record(key, old)]), 1)
    assert replica.jobs[JOB].steps[0, 0].done == {0}
