"""State of an instance: its configuration and the dumps of its state."""

import io
import json
from types import SimpleNamespace
from typing import Any
from unittest.mock import Mock

from prometheus_client import generate_latest

from plantainyard.dispatch.actions import JobSummary
from plantainyard.dispatch.run_times import RunTimeEntry
from plantainyard.entry.eventlog import EventLog
from plantainyard.entry.inspection import (
    build_inspection_app,
    describe_job,
    describe_state,
)
from plantainyard.entry.meters import Meters
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
from plantainyard.entry.unit_log import record_job_end
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


def test_learned_run_times_are_in_the_dump_and_the_gauge():
    # Guards against estimates that mislead and that nobody can look up.
    store = StoreState()
    with run_instance(store, RunnerState("r0")) as instance:
        own_units(instance, 5, 0)
        entries = instance.owned[0].context.dispatcher.run_times.entries
        described = describe_state(instance)["owned"][0]
        assert described["run_times"] == []
        assert described["headroom"]["typical_task_cpu"] == 0
        entries["route", 2] = RunTimeEntry(3.0, 7.0, 0.25, 3.0, 0.81, 1.0)
        (row,) = describe_state(instance)["owned"][0]["run_times"]
        assert (row["queue"], row["step"]) == ("route", 2)
        assert (row["spread"], row["declared_error"]) == (0.5, 0.9)
        instance.refresh_meters()
        text = generate_latest(instance.meters.registry).decode()
        assert "plantainyard_run_time_entries 1.0" in text


def test_the_log_says_which_estimate_decided_about_a_job():
    # Guards against lateness that nobody can explain. Lines of deployments that don't
    # learn run times are as before.
    log = EventLog("edge-1", io.StringIO())
    context: Any = SimpleNamespace(log=log, meters=Meters(), unit=0)
    estimate = {"declared_s": 0.1, "estimated_s": 0.9, "entries_age_s": 4.0}
    without = JobSummary(JOB, "completed", "q", 0.1, 1.0, 0.5, {}, {})
    for summary in (without, without._replace(estimate=estimate)):
        record_job_end(context, summary, 0.0)
    lines = [json.loads(log.lines.get_nowait() or "") for _ in range(2)]
    assert "estimate" not in lines[0]
    assert lines[1]["estimate"] == estimate
