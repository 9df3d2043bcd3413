"""The start of an instance whose store holds records of any content in all topics."""

import io
import json
import threading

import pytest

from plantainyard.entry.eventlog import EventLog
from plantainyard.entry.instance import Instance
from plantainyard.entry.process import start_threads
from plantainyard.entry.tests.harness import (
    BODY,
    JOB,
    call,
    put_configuration,
    wait_until,
)
from plantainyard.entry.topics import (
    INTAKE,
    LAYOUT,
    OPERATIONS,
    PROGRESS,
    RUNNERS,
    UNITS_KEY,
)
from plantainyard.platform.evacuations import EVACUATION_PREFIX
from plantainyard.platform.tests.untrusted import DEEP, DEEP_OBJECT
from standins.platform import RunnerState, StoreState, serve_platform
from standins.platform.samples import BAD_SUBMISSIONS, make_settings

KEYS = (
    (RUNNERS, "i-stray"),
    (OPERATIONS, "config"),
    (OPERATIONS, EVACUATION_PREFIX + "addis-akaki"),
    (LAYOUT, UNITS_KEY),
    (LAYOUT, "owner/0"),
    (INTAKE, "j/00000000000000ff"),
    (INTAKE, "c/00000000000000ff"),
    (PROGRESS, f"p/{JOB}/0/0"),
    (PROGRESS, f"e/{JOB}"),
    (PROGRESS, "p/00000000000000ff/0/0"),
    (PROGRESS, "owner"),
    (PROGRESS, "fences"),
    (PROGRESS, "bounds"),
    (PROGRESS, "harms"),
    (PROGRESS, "run_times"),
)


@pytest.mark.parametrize(
    "value",
    [
        DEEP,
        DEEP_OBJECT,
        b"\xff",
        b"null",
        b'{"state":["ready"],"version":1e999,"routes":[[]],"units":{},"epoch":[]}',
        json.dumps({"born": 10**400, "highest": 10**400, "done": {}}).encode(),
    ],
)
def test_an_instance_starts_and_serves_beside_records_of_any_content(value):
    # Guards against an instance that never becomes ready, or a unit without an owner,
    # because of what stood in the store before the first start.
    store = StoreState()
    for topic, key in KEYS:
        store.put(topic, key, value)
    runner = RunnerState("r0", {JOB: 0.1})
    with serve_platform(store, [runner]) as servers:
        log = EventLog("edge-1", io.StringIO())
        settings = make_settings(servers.store)._replace(evacuation_deadline_s=5.0)
        instance = Instance(settings, log)
        draining = threading.Event()
        start_threads(instance, draining)
        try:
            for body, _ in BAD_SUBMISSIONS:
                assert call(instance, "POST", f"/jobs/{JOB}", body)[0] == 503
            store.put(RUNNERS, "r0", json.dumps(runner.build_entry(0.0)).encode())
            wait_until(lambda: instance.copies)
            put_configuration(store, 7)
            wait_until(lambda: instance.configuration)
            wait_until(lambda: call(instance, "POST", f"/jobs/{JOB}", BODY)[0] == 200)
            wait_until(
                lambda: (
                    call(instance, "GET", f"/jobs/{JOB}")
                    == (200, {"state": "completed"})
                )
            )
        finally:
            draining.set()
            instance.stopping.set()
