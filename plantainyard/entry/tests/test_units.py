"""Several units: their layout, and the lookup of jobs in them."""

import io
import json
import threading
from unittest.mock import Mock

import pytest
from prometheus_client import generate_latest
from result import Ok

from plantainyard.clock import read_clock
from plantainyard.dispatch import Dispatcher, Limits
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
from plantainyard.entry.peer_app import build_peer_app
from plantainyard.entry.peers import (
    MAX_COUNT_AGE_S,
    JobLookup,
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
from plantainyard.platform.store_messages import Record
from plantainyard.transport import JsonResponse
from standins.platform import RunnerState, StoreState, serve_platform


def make_instance(store: str) -> Instance:
    """Return an instance that hasn't read anything."""
    return Instance(make_settings(store), EventLog("edge-1", io.StringIO()))


def determine_unit_count(instance: Instance, strong: bool = True) -> int:
    """Let an instance determine the layout; return the number of units."""
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
    # Guards against jobs that are stored in one unit and looked up in another: each
    # instance counts the runners on its own, some before all runners have started.
    store = StoreState()
    with serve_platform(store, [RunnerState(f"r{n}") for n in range(3)]) as servers:
        first, second = (make_instance(servers.store) for _ in range(2))
        assert determine_unit_count(first) == 1
        store.put(LAYOUT, "owner/0", b'{"epoch": 3, "address": "a:1"}')
        assert determine_unit_count(second) == 1
    assert json.loads(store.newest(LAYOUT)[UNITS_KEY]) == {"units": 1}


def test_a_large_fleet_is_divided_into_units():
    # Guards against units that are too large for their owners, and against units to
    # which no name belongs.
    assert choose_unit_count(40, 12, True) == choose_unit_count(40, 12, False) == 1
    assert choose_unit_count(246, 12, False) == 11
    assert choose_unit_count(246, 12, True) == 6
    assert choose_unit_count(246, 12, True, 96) == 3
    assert choose_unit_count(246, 12, False, 96) == 11
    found = {find_unit(f"i-{number:x}", 11) for number in range(200)}
    assert found == set(range(11))


def test_a_weak_instance_leaves_the_division_to_a_strong_one():
    # Guards against a weak instance that starts first and divides the fleet for weak
    # owners, although strong instances will own it.
    store = StoreState()
    with serve_platform(store, [RunnerState(f"r{n}") for n in range(41)]) as servers:
        for runner in range(41):
            entry = RunnerState(f"r{runner}").build_entry(0.0)
            store.put(RUNNERS, f"r{runner}", json.dumps(entry).encode())
        weak, strong = (make_instance(servers.store) for _ in range(2))
        thread = threading.Thread(target=determine_unit_count, args=(weak, False))
        thread.start()
        assert determine_unit_count(strong) == 1
        thread.join()
        assert weak.layout.units == 1


def test_a_late_announcement_of_an_owner_does_not_replace_its_successor():
    # Guards against the announcement of a frozen owner that arrives after that of its
    # successor.
    instance = make_instance("127.0.0.1:1")
    for epoch in (7, 5):
        value = json.dumps({"epoch": epoch, "address": f"a:{epoch}"}).encode()
        instance.layout.apply_record(Record("owner/0", value))
    instance.layout.apply_record(Record("owner/0", b"{"))
    assert instance.layout.owners[0].address == "a:7"


def test_an_unreadable_layout_record_is_logged():
    # Guards against lookups at a previous owner for no visible reason: an instance of
    # another version has written an owner's record in a different format.
    instance = make_instance("127.0.0.1:1")
    instance.layout.apply_record(Record("owner/0", b"{"))
    instance.layout.apply_record(Record("owner/x", b"{}"))
    text = generate_latest(instance.meters.registry).decode()
    assert 'plantainyard_events_total{event="unreadable_entry"} 2.0' in text


def read_as_owner(instance: Instance) -> None:
    """Make an instance read all units and serve them as their owner."""
    for copy in instance.copies:
        assert refresh_copy(copy)
        instance.owned[copy.unit] = OwnedUnit(Mock(), Mock())


def test_a_handed_over_job_is_found_in_its_new_unit():
    # Guards against lookups that end in a job's first unit, which its id determines,
    # after that unit was full and has handed the job over to another.
    store = StoreState()
    with run_instance(store, units=2) as instance:
        home = find_unit(JOB, 2)
        other = 1 - home
        assert call(instance, "POST", f"/jobs/{JOB}", BODY)[0] == 200
        store.put("keyed.progress", f"h/{JOB}", str(other).encode(), home)
        read_as_owner(instance)
        # Its new unit doesn't have it yet, so the answer of the first unit is used.
        assert call(instance, "GET", f"/jobs/{JOB}") == (200, {"state": "queued"})
        value = store.newest(INTAKE, home)[f"j/{JOB}"]
        store.put(INTAKE, f"j/{JOB}", value, other)
        store.put("keyed.progress", f"e/{JOB}", b"completed", other)
        read_as_owner(instance)
        assert call(instance, "GET", f"/jobs/{JOB}") == (200, {"state": "completed"})


def test_a_cancel_of_a_handed_over_job_reaches_its_new_unit():
    # Guards against a cancel that is stored in the unit that handed the job over.
    store = StoreState()
    with run_instance(store, units=2) as instance:
        home = find_unit(JOB, 2)
        assert call(instance, "POST", f"/jobs/{JOB}", BODY)[0] == 200
        store.put("keyed.progress", f"h/{JOB}", str(1 - home).encode(), home)
        read_as_owner(instance)
        assert call(instance, "DELETE", f"/jobs/{JOB}")[0] == 200
    assert f"c/{JOB}" in store.newest(INTAKE, 1 - home)


def test_an_owner_that_has_lost_the_store_gives_no_counts():
    # Guards against a count that omits jobs accepted since the owner was cut off.
    store = StoreState()
    with run_instance(store, units=2) as instance:
        own_units(instance, 5, 0, 1)
        assert call(instance, "GET", "/jobs/") == (200, {"pending": 0})
        assert query_peer(instance, "/units/0/pending/q")["age_s"] < MAX_COUNT_AGE_S
        store.faults.down = True
        intake = instance.copies[0].intake
        wait_until(lambda: read_clock() - intake.synced_at > MAX_COUNT_AGE_S)
        assert set(instance.owned) == {0, 1}
        assert query_peer(instance, "/units/0/pending/q") == {}
        assert call(instance, "GET", "/jobs/")[0] == 503
        store.faults.down = False
        wait_until(lambda: call(instance, "GET", "/jobs/")[0] == 200)


@pytest.mark.parametrize(
    ("age_s", "is_told"), [(MAX_COUNT_AGE_S, True), (MAX_COUNT_AGE_S + 0.0004, False)]
)
def test_a_count_is_too_old_from_its_exact_age_on(age_s, is_told, monkeypatch):
    # Guards against an owner that tells counts older than the limit because it rounds
    # their age before it compares.
    with run_instance(StoreState()) as instance:
        context = Mock(dispatcher=Dispatcher(Limits()))
        instance.owned[0] = OwnedUnit(context, Mock())
        synced_at = instance.copies[0].intake.synced_at
        monkeypatch.setattr(peers, "read_clock", lambda: synced_at + age_s)
        count = query_peer(instance, "/units/0/pending/q")
    assert bool(count) == is_told
    assert count.get("age_s", MAX_COUNT_AGE_S) == MAX_COUNT_AGE_S


def is_completed(instance: Instance, job: str) -> bool:
    return look_up_job(instance.find_copy(job), job).state == "completed"


def query_peer(instance: Instance, path: str) -> dict:
    """Return the instance's answer to a query of another instance."""
    (body,) = build_peer_app(instance)({"PATH_INFO": path}, Mock())
    return json.loads(body)


def test_each_unit_serves_only_its_own_jobs_and_runners():
    # Guards against jobs that start on a runner of another unit.
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
        assert query_peer(instance, f"/units/0/jobs/{jobs[0]}")["state"] == "completed"
        assert len(query_peer(instance, "/units/1/load")["load"]) == 5
        assert fetch_job(instance, 0, jobs[0]) == JobLookup("completed")
    for unit, runner in runners.items():
        assert {start[1].partition(".")[0] for start in runner.started} == {jobs[unit]}


def test_an_instance_on_a_narrow_link_does_not_read_units_of_others():
    # Guards against owners whose calls time out on a narrow link after a power loss:
    # units had no owners, and each instance that a caller queried read all units.
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
    # Guards against a link between regions that is saturated by reads of whole units
    # after a power loss, so that no instance can take the units over.
    store = StoreState()
    with run_instance(store, units=2) as instance:
        assert call(instance, "POST", f"/jobs/{JOB}", BODY)[0] == 200
        assert call(instance, "GET", f"/jobs/{JOB}")[0] == 503
        assert call(instance, "DELETE", f"/jobs/{JOB}")[0] == 503
        assert call(instance, "GET", "/jobs/")[0] == 503
        assert all(copy.intake.offset is None for copy in instance.copies)
        read_as_owner(instance)
        assert call(instance, "GET", f"/jobs/{JOB}") == (200, {"state": "queued"})


def test_the_first_of_two_proposed_numbers_of_units_is_kept():
    # Guards against two numbers of units: two instances both find no decision and count
    # different fleets.
    store = StoreState()
    with serve_platform(store, ()) as servers:
        for units in (3, 5):
            instance = make_instance(servers.store)
            propose_units(instance.store, units, instance.log)
    assert json.loads(store.newest(LAYOUT)[UNITS_KEY]) == {"units": 3}


@pytest.mark.parametrize("body", [{}, {"load": 3}, {"load": [0.5]}])
def test_a_load_in_an_unknown_format_is_logged_and_ignored(body, monkeypatch):
    # Guards against a unit to which no more jobs are handed over for no visible reason:
    # its owner runs another version, which reports its load in a different format.
    instance = make_instance("127.0.0.1:1")
    instance.layout.owners[1] = Owner(3, "127.0.0.1:9")
    answer = Ok(JsonResponse(200, body))
    monkeypatch.setattr(peers, "call_json", lambda *_: answer)
    assert peers.fetch_load(instance, 1) is None
    text = generate_latest(instance.meters.registry).decode()
    assert 'plantainyard_events_total{event="peer_silent"} 1.0' in text


@pytest.mark.parametrize("value", [b"[" * 100_000, b"\xff", b'{"units": 1e999}', b"3"])
def test_stray_records_do_not_keep_instances_from_starting(value):
    # Guards against instances that never become ready: records of other writers stand
    # among the runners' entries and in the layout before the system first starts.
    store = StoreState()
    store.put(LAYOUT, UNITS_KEY, value)
    store.put(LAYOUT, "owner/x", value)
    store.put(RUNNERS, "i-stray", value)
    with serve_platform(store, [RunnerState(f"r{n}") for n in range(3)]) as servers:
        instance = make_instance(servers.store)
        assert determine_unit_count(instance) == 1
        assert json.loads(store.newest(LAYOUT)[UNITS_KEY]) == {"units": 1}
