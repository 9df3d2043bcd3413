"""Tests that evacuations are read, logged, counted, and in force at each owner."""

import json
import threading
from typing import Any

import pytest

from plantainyard.clock import read_clock
from plantainyard.entry.evacuations import (
    apply_reading,
    follow_evacuations,
    read_evacuations,
)
from plantainyard.entry.inspection import describe_state
from plantainyard.entry.instance import Instance
from plantainyard.entry.tests.harness import own_units, run_instance, wait_until
from plantainyard.entry.topics import OPERATIONS
from plantainyard.platform.evacuations import EVACUATION_PREFIX, decode_evacuations
from plantainyard.platform.settings import parse_instance_settings
from plantainyard.platform.store_messages import Record
from plantainyard.platform.tests.test_decoding import SETTINGS
from standins.platform import RunnerState, StoreState

DOMAIN = "addis-kality"
KEY = EVACUATION_PREFIX + DOMAIN


def collect_log(instance: Instance) -> list[tuple[str, dict[str, Any]]]:
    """Return the list to which each further line of the log is added."""
    lines: list[tuple[str, dict[str, Any]]] = []

    def write(event: str, **fields: Any) -> None:
        lines.append((event, fields))

    setattr(instance.log, "write", write)  # noqa: B010
    return lines


def read_once(instance: Instance) -> None:
    apply_reading(instance, read_evacuations(instance.store).unwrap(), read_clock())


def test_a_request_is_in_force_until_its_record_is_removed():
    # Guards against a request that is lost with the store's history, or comes back.
    store = StoreState()
    with run_instance(store) as instance:
        lines = collect_log(instance)
        store.put(OPERATIONS, KEY, b"{}")
        store.drop_history()
        read_once(instance)
        assert instance.evacuations.versions.keys() == {DOMAIN}
        store.put(OPERATIONS, KEY, b"")
        read_once(instance)
        assert not instance.evacuations.versions
        assert [event for event, _ in lines] == ["evacuation_begun", "evacuation_ended"]
        assert {fields["version"] for _, fields in lines} == {1}


def test_an_owner_knows_the_evacuations_from_its_takeover_on():
    # Guards against a new owner that starts tasks in a domain that was evacuated
    # before its takeover, and against one that never starts any.
    store = StoreState()
    store.put(OPERATIONS, KEY, b"{}")
    with run_instance(store, RunnerState("r0")) as instance:
        instance.settings = instance.settings._replace(evacuation_deadline_s=5.0)
        follower = threading.Thread(target=follow_evacuations, args=(instance,))
        follower.start()
        own_units(instance, 1, 0)
        state = instance.owned[0].context.dispatcher
        wait_until(lambda: state.evacuated_domains == {DOMAIN})
        instance.refresh_meters()
        assert describe_state(instance)["evacuations"]["versions"] == {DOMAIN: 0}
        store.put(OPERATIONS, KEY, b"")
        wait_until(lambda: not state.evacuated_domains)
        instance.stopping.set()
        instance.evacuations.due.set()
        follower.join()


@pytest.mark.parametrize(
    ("key", "value", "why"),
    [
        (KEY, b"\xff", "UnicodeDecodeError"),
        (KEY, b"{", "JSONDecodeError"),
        (KEY, b"[]", "expected an object"),
        (EVACUATION_PREFIX, b"{}", "names no failure domain"),
        (EVACUATION_PREFIX + "elsewhere", b"{}", "unknown failure domain"),
    ],
)
def test_a_bad_record_is_logged_once_and_has_no_other_effect(key, value, why):
    # Guards against a bad record that stops an owner, or fills its log.
    store = StoreState()
    with run_instance(store) as instance:
        instance.settings = instance.settings._replace(domains=frozenset({DOMAIN}))
        lines = collect_log(instance)
        apply_reading(instance, [Record(key, value, 3)], read_clock())
        apply_reading(instance, [Record(key, value, 3)], read_clock())
        unreadable = [f for event, f in lines if event == "unreadable_entry"]
        assert [fields["key"] for fields in unreadable] == [key]
        assert why in unreadable[0]["why"]
        assert DOMAIN not in instance.evacuations.versions


def test_a_repeated_request_and_a_removal_without_one_change_nothing():
    # Guards against an evacuation that ends or begins by a record without news.
    store = StoreState()
    with run_instance(store) as instance:
        lines = collect_log(instance)
        for value in (b"", b"{}", b"{}"):
            store.put(OPERATIONS, KEY, value)
            read_once(instance)
        assert [event for event, _ in lines] == [
            "evacuation_begun",
            "evacuation_repeated",
        ]
        assert instance.evacuations.versions.keys() == {DOMAIN}


def test_other_records_of_operators_are_no_evacuations():
    records = [Record("config", b"{}"), Record("wave/1", json.dumps({}).encode())]
    assert decode_evacuations(records) == ([], [])


def test_the_bound_and_the_domains_come_from_the_settings():
    text = SETTINGS.replace("[bounds]\n", "[bounds]\nevacuateMs = 5000\n")
    found = parse_instance_settings(text + '[zones]\na = "north"\n').unwrap()
    assert found.evacuation_deadline_s == 5.0
    assert found.domains == {"a"}
    assert parse_instance_settings(SETTINGS).unwrap().evacuation_deadline_s is None
