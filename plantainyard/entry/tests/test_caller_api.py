"""The callers' port of one instance over the stand-in platform."""

from unittest.mock import Mock

import pytest
from prometheus_client import generate_latest

from plantainyard.entry.caller_api import build_caller_app
from plantainyard.entry.instance import Instance
from plantainyard.entry.peers import look_up_job
from plantainyard.entry.tests.harness import (
    BODY,
    JOB,
    call,
    own_units,
    run_instance,
    wait_until,
)
from plantainyard.entry.topics import INTAKE
from standins.platform import RunnerState, StoreState
from standins.platform.samples import BAD_SUBMISSIONS


def test_a_job_goes_through_from_submission_to_completion():
    store = StoreState()
    runner = RunnerState("r0", {JOB: 0.1})
    with run_instance(store, runner) as instance:
        own_units(instance, 5, 0)
        assert call(instance, "POST", f"/jobs/{JOB}", BODY)[0] == 200
        wait_until(lambda: look_up_job(instance.copies[0], JOB).state == "completed")
        assert call(instance, "GET", f"/jobs/{JOB}") == (200, {"state": "completed"})
    assert len(runner.started) == 2


def test_a_job_is_stored_before_it_is_accepted():
    store = StoreState()
    with run_instance(store) as instance:
        assert call(instance, "POST", f"/jobs/{JOB}", BODY)[0] == 200
    assert f"j/{JOB}" in store.newest(INTAKE)


def test_a_job_that_was_not_stored_is_refused_and_never_runs():
    store = StoreState()
    with run_instance(store) as instance:
        store.faults.down = True
        status, body = call(instance, "POST", f"/jobs/{JOB}", BODY)
        assert status == 503
        assert body["error"].startswith("not run")
        store.faults.down = False
    assert store.newest(INTAKE) == {}


def test_a_lost_answer_of_the_store_is_never_told_as_refused():
    # The store takes the record and its answer is lost; then the store is down. Told
    # "not accepted" the caller would give up a job that runs.
    store = StoreState()
    with run_instance(store) as instance:
        store.faults.lose_answers = 1000
        assert call(instance, "POST", f"/jobs/{JOB}", BODY)[0] == 504


@pytest.mark.parametrize(("body", "status"), BAD_SUBMISSIONS)
def test_bad_submissions_get_a_clear_answer(body, status):
    store = StoreState()
    with run_instance(store) as instance:
        found, answer = call(instance, "POST", f"/jobs/{JOB}", body)
        assert (found, bool(answer["error"])) == (status, True)
        assert call(instance, "POST", "/jobs/xyz", BODY)[0] == 400
    assert store.newest(INTAKE) == {}


def test_unknown_queues_and_jobs_are_told_as_such():
    with run_instance(StoreState()) as instance:
        assert call(instance, "POST", f"/other/{JOB}", BODY)[0] == 404
        assert call(instance, "GET", f"/jobs/{JOB}")[0] == 410
        assert call(instance, "DELETE", f"/jobs/{JOB}")[0] == 410


def test_a_job_that_another_instance_accepted_a_moment_ago_is_known():
    # A caller submits at one instance and asks the next one, which has not read the
    # record yet. It must not say that there is no such job.
    store = StoreState()
    with run_instance(store) as instance, run_instance(store) as other:
        assert call(other, "POST", f"/jobs/{JOB}", BODY)[0] == 200
        assert call(instance, "GET", f"/jobs/{JOB}") == (200, {"state": "queued"})


def test_without_the_store_an_unknown_job_is_not_denied():
    store = StoreState()
    with run_instance(store) as instance:
        store.faults.down = True
        assert call(instance, "GET", f"/jobs/{JOB}")[0] == 503


def test_an_instance_with_an_old_configuration_says_so():
    # The store can't be reached for some seconds: the operators may have added the
    # queue that a caller asks for. A 404 would be untrue.
    store = StoreState()
    with run_instance(store) as instance:
        instance.operations_reader.synced_at -= 10
        assert call(instance, "GET", "/other/")[0] == 503
        assert call(instance, "POST", f"/jobs/{JOB}", BODY)[0] == 503


def count_refusals(instance: Instance, method: str) -> str:
    """Send a request over the callers' port and return the text of the meters."""
    environ = {
        "REQUEST_METHOD": method,
        "HTTP_HOST": "nony.example",
        "PATH_INFO": f"/jobs/{JOB}",
    }
    build_caller_app(instance)(environ, Mock())
    return generate_latest(instance.meters.registry).decode()


def test_refusals_are_counted_by_their_reason():
    store = StoreState()
    with run_instance(store) as instance:
        store.faults.down = True
        text = count_refusals(instance, "GET")
    assert 'plantainyard_refused_total{reason="store"} 1.0' in text


def test_a_method_that_is_not_known_is_counted_as_refused():
    # A caller's library sends another method. It is turned away, and no meter shows why
    # its jobs don't come.
    with run_instance(StoreState()) as instance:
        text = count_refusals(instance, "PATCH")
    assert 'plantainyard_refused_total{reason="wrong request"} 1.0' in text
