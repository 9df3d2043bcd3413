"""State of an instance: its configuration and the dumps of its state."""

import json
from unittest.mock import Mock

from plantainyard.entry.inspection import build_inspection_app, describe_job
from plantainyard.entry.readers import poll_reader
from plantainyard.entry.tests.harness import (
    BODY,
    JOB,
    call,
    own_units,
    put_configuration,
    run_instance,
    wait_until,
)
from standins.platform import RunnerState, StoreState


def test_a_configuration_never_reverts():
    # Guards against a late record of an older version replacing a newer configuration.
    store = StoreState()
    with run_instance(store) as instance:
        put_configuration(store, 9, routes=[])
        put_configuration(store, 8)
        poll_reader(instance.operations_reader)
        assert instance.configuration and instance.configuration.version == 9


def test_an_unreadable_configuration_changes_nothing():
    # Guards against an invalid record that ends or empties the configuration in force.
    store = StoreState()
    with run_instance(store) as instance:
        store.put("keyed.op", "config", b"\xff{")
        store.put("keyed.op", "config", b'{"version": 10}')
        poll_reader(instance.operations_reader)
        assert instance.configuration and instance.configuration.version == 7


def test_a_dump_shows_the_runner_of_each_task_of_a_job():
    # Guards against dumps that lack the tasks, runs or runners of a running job.
    store = StoreState()
    runner = RunnerState("r0", {JOB: 0.0})
    with run_instance(store, runner) as instance:
        own_units(instance, 5, 0)
        assert call(instance, "POST", f"/jobs/{JOB}", BODY)[0] == 200
        wait_until(lambda: len(runner.running) == 2)
        wait_until(
            lambda: (
                {t["phase"] for t in describe_job(instance, JOB)["tasks"]}
                == {"running"}
            )
        )
        app = build_inspection_app(instance, Mock(return_value=[b"meters"]))
        (body,) = app({"PATH_INFO": f"/jobs/{JOB}"}, Mock())
        tasks = json.loads(body)["tasks"]
        assert [task["run"] for task in tasks] == [1, 1]
        assert tasks[0]["runner"].startswith("r0@")
        (body,) = app({"PATH_INFO": "/state"}, Mock())
        assert json.loads(body)["owned"]["0"]["jobs"] == 1
        assert app({"PATH_INFO": "/metrics"}, Mock()) == [b"meters"]
