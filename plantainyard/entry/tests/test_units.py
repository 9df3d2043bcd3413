"""Several units: their layout, and finding jobs in them."""

import io
import json
import threading
from unittest.mock import Mock

import pytest
from prometheus_client import generate_latest
from result import Ok

from plantainyard.clock import read_clock
from plantainyard.entry import peers
from plantainyard.entry.copies import refresh_copy
from plantainyard.entry.eventlog import EventLog
from plantainyard.entry.instance import Instance, OwnedUnit
from plantainyard.entry.layout import (
    Owner,
    choose_unit_count,
    determine_layout,
    find_unit,
    propose_units,
)
from plantainyard.entry.peers import (
    MAX_COUNT_AGE_S,
    JobLookup,
    build_peer_app,
    fetch_job,
    look_up_job,
)
from plantainyard.entry.tests.harness import (
    BODY,
    JOB,
    call,
    make_settings,
    own_units,
    run_instance,
    wait_until,
)
from plantainyard.entry.topics import INTAKE, LAYOUT, RUNNERS, UNITS_KEY
from plantainyard.platform.store import Record
from plantainyard.transport import JsonResponse
from standins.platform import RunnerState, StoreState, serve_platform


def start_bare_instance(store: str) -> Instance:
    return Instance(make_settings(store), EventLog("edge-1", io.StringIO()))


def settle(instance: Instance, strong: bool = True) -> int:
    determine_layout(
        instance.store,
        instance.layout_reader,
        instance.layout,
        12,
        strong,
        instance.log,
        instance.stopping,
    )
    return instance.layout.units


def test_instances_that_start_together_agree_on_the_number_of_units():
    # Each instance counts the runners by itself, some before all have come. Were their
    # numbers to differ, a job would be stored where nobody looks for it.
    store = StoreState()
    with serve_platform(store, [RunnerState(f"r{n}") for n in range(3)]) as servers:
        first, second = (start_bare_instance(servers.store) for _ in range(2))
        assert settle(first) == 1
        store.put(LAYOUT, "owner/0", b'{"epoch": 3, "address": "a:1"}')
        assert settle(second) == 1
    assert json.loads(store.newest(LAYOUT)[UNITS_KEY]) == {"units": 1}


def test_a_large_fleet_is_divided():
    assert choose_unit_count(40, 12, True) == choose_unit_count(40, 12, False) == 1
    assert choose_unit_count(246, 12, False) == 11
    assert choose_unit_count(246, 12, True) == 6
    found = {find_unit(f"i-{number:x}", 11) for number in range(200)}
    assert found == set(range(11))


def test_a_weak_instance_leaves_the_division_to_a_strong_one():
    # All instances start together. A weak one, which is there first, would divide the
    # fleet for owners as weak as itself, although strong ones own it.
    store = StoreState()
    with serve_platform(store, [RunnerState(f"r{n}") for n in range(41)]) as servers:
        for runner in range(41):
            entry = RunnerState(f"r{runner}").entry(0.0)
            store.put(RUNNERS, f"r{runner}", json.dumps(entry).encode())
        weak, strong = (start_bare_instance(servers.store) for _ in range(2))
        thread = threading.Thread(target=settle, args=(weak, False))
        thread.start()
        assert settle(strong) == 1
        thread.join()
        assert weak.layout.units == 1


def test_an_owner_that_is_late_to_announce_itself_hides_no_successor():
    # The announcement of an owner that was frozen arrives after its successor's.
    instance = start_bare_instance("127.0.0.1:1")
    for epoch in (7, 5):
        value = json.dumps({"epoch": epoch, "address": f"a:{epoch}"}).encode()
        instance.layout.apply_record(Record("owner/0", value))
    instance.layout.apply_record(Record("owner/0", b"{"))
    assert instance.layout.owners[0].address == "a:7"


def test_a_record_of_the_layout_that_cannot_be_read_is_logged():
    # An instance of another version has written an owner's record in another form. Jobs
    # are looked for at the owner before, and nothing tells why.
    instance = start_bare_instance("127.0.0.1:1")
    instance.layout.apply_record(Record("owner/0", b"{"))
    instance.layout.apply_record(Record("owner/x", b"{}"))
    text = generate_latest(instance.meters.registry).decode()
    assert 'plantainyard_events_total{event="unreadable_entry"} 2.0' in text


def read_as_owner(instance: Instance) -> None:
    """Let an instance read all units as their owner does."""
    for copy in instance.copies:
        assert refresh_copy(copy)
        instance.owned[copy.unit] = OwnedUnit(Mock(), Mock())


def test_a_job_that_was_handed_over_is_found_in_its_new_unit():
    # A job's unit is full and hands it to another one. Callers go on asking by its id,
    # which names the first.
    store = StoreState()
    with run_instance(store, units=2) as instance:
        home = find_unit(JOB, 2)
        other = 1 - home
        assert call(instance, "POST", f"/jobs/{JOB}", BODY)[0] == 200
        store.put("keyed.progress", f"h/{JOB}", str(other).encode(), home)
        read_as_owner(instance)
        # Not there yet: the word of its first unit holds.
        assert call(instance, "GET", f"/jobs/{JOB}") == (200, {"state": "queued"})
        value = store.newest(INTAKE, home)[f"j/{JOB}"]
        store.put(INTAKE, f"j/{JOB}", value, other)
        store.put("keyed.progress", f"e/{JOB}", b"completed", other)
        read_as_owner(instance)
        assert call(instance, "GET", f"/jobs/{JOB}") == (200, {"state": "completed"})


def test_cancelling_a_job_that_was_handed_over_reaches_its_new_unit():
    store = StoreState()
    with run_instance(store, units=2) as instance:
        home = find_unit(JOB, 2)
        assert call(instance, "POST", f"/jobs/{JOB}", BODY)[0] == 200
        store.put("keyed.progress", f"h/{JOB}", str(1 - home).encode(), home)
        read_as_owner(instance)
        assert call(instance, "DELETE", f"/jobs/{JOB}")[0] == 200
    assert f"c/{JOB}" in store.newest(INTAKE, 1 - home)


def test_an_owner_that_has_lost_the_store_does_not_count():
    # Guards against a count without all that was accepted since the owner was cut off.
    store = StoreState()
    with run_instance(store, units=2) as instance:
        own_units(instance, 5, 0, 1)
        assert call(instance, "GET", "/jobs/") == (200, {"pending": 0})
        assert ask_peer(instance, "/units/0/pending/q")["age_s"] < MAX_COUNT_AGE_S
        store.faults.down = True
        intake = instance.copies[0].intake
        wait_until(lambda: read_clock() - intake.synced_at > MAX_COUNT_AGE_S)
        assert set(instance.owned) == {0, 1}
        assert ask_peer(instance, "/units/0/pending/q") == {}
        assert call(instance, "GET", "/jobs/")[0] == 503
        store.faults.down = False
        wait_until(lambda: call(instance, "GET", "/jobs/")[0] == 200)


def is_completed(instance: Instance, job: str) -> bool:
    return look_up_job(instance.find_copy(job), job).state == "completed"


def ask_peer(instance: Instance, path: str) -> dict:
    (body,) = build_peer_app(instance)({"PATH_INFO": path}, Mock())
    return json.loads(body)


def test_each_unit_is_served_by_its_own_owner():
    store = StoreState()
    jobs = {find_unit(f"{number:016x}", 2): f"{number:016x}" for number in range(20)}
    runners = {find_unit(f"r{n}", 2): RunnerState(f"r{n}") for n in range(20)}
    for runner in runners.values():
        runner.durations = dict.fromkeys(jobs.values(), 0.1)
    with run_instance(store, *runners.values(), units=2) as instance:
        own_units(instance, 5, 0, 1)
        for job in jobs.values():
            assert call(instance, "POST", f"/jobs/{job}", BODY)[0] == 200
        wait_until(lambda: all(is_completed(instance, j) for j in jobs.values()))
        assert call(instance, "GET", "/jobs/") == (200, {"pending": 0})
        assert ask_peer(instance, f"/units/0/jobs/{jobs[0]}")["state"] == "completed"
        assert len(ask_peer(instance, "/units/1/load")["load"]) == 5
        assert fetch_job(instance, 0, jobs[0]) == JobLookup("completed")
    for unit, runner in runners.items():
        assert {start[1].partition(".")[0] for start in runner.started} == {jobs[unit]}


def test_an_instance_on_a_narrow_link_does_not_read_units_that_it_doesnt_own():
    # All owners are away after a loss of power, and callers ask all instances. Each
    # read all units over its narrow link, and the owners' calls timed out on it.
    store = StoreState()
    with run_instance(store) as instance:
        assert call(instance, "POST", f"/jobs/{JOB}", BODY)[0] == 200
        instance.settings = instance.settings._replace(link_mbps=10.0)
        assert call(instance, "GET", f"/jobs/{JOB}")[0] == 503
        assert call(instance, "GET", "/jobs/")[0] == 503
        assert instance.copies[0].replica.jobs == {}
        instance.settings = instance.settings._replace(link_mbps=1000.0)
        assert call(instance, "GET", f"/jobs/{JOB}")[0] == 200


def test_units_without_owners_are_not_read_for_callers():
    # Guards against a link between regions that is full of whole units after a loss of
    # power, so that nobody gets to own them.
    store = StoreState()
    with run_instance(store, units=2) as instance:
        assert call(instance, "POST", f"/jobs/{JOB}", BODY)[0] == 200
        assert call(instance, "GET", f"/jobs/{JOB}")[0] == 503
        assert call(instance, "DELETE", f"/jobs/{JOB}")[0] == 503
        assert call(instance, "GET", "/jobs/")[0] == 503
        assert all(copy.intake.offset is None for copy in instance.copies)
        read_as_owner(instance)
        assert call(instance, "GET", f"/jobs/{JOB}") == (200, {"state": "queued"})


def test_of_two_proposals_of_the_number_of_units_the_first_counts():
    # Two instances have read that nobody decided, and counted different fleets.
    store = StoreState()
    with serve_platform(store, ()) as servers:
        for units in (3, 5):
            instance = start_bare_instance(servers.store)
            propose_units(instance.store, units, instance.log)
    assert json.loads(store.newest(LAYOUT)[UNITS_KEY]) == {"units": 3}


@pytest.mark.parametrize("body", [{}, {"load": 3}, {"load": [0.5]}])
def test_an_answer_of_another_form_is_logged_and_counts_as_none(body, monkeypatch):
    # The owner of a unit runs another version, which tells its load in another form.
    # Nothing is handed to it any more, and no line says why.
    instance = start_bare_instance("127.0.0.1:1")
    instance.layout.owners[1] = Owner(3, "127.0.0.1:9")
    answer = Ok(JsonResponse(200, body))
    monkeypatch.setattr(peers, "call_json", lambda *_: answer)
    assert peers.fetch_load(instance, 1) is None
    text = generate_latest(instance.meters.registry).decode()
    assert 'plantainyard_events_total{event="peer_silent"} 1.0' in text
