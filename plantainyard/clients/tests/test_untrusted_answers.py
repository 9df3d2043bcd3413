"""Answers of the platform's stand-ins, and records of its log, of any content."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok

from plantainyard.clients.instances import build_instances_client, read_instances
from plantainyard.clients.log import build_log_client, read_records
from plantainyard.clients.worker import _parse_response, build_worker_client
from plantainyard.platform.tests.untrusted import HUGE, VALUES
from plantainyard.state.checks import Validity, check_record
from plantainyard.transport import JsonResponse

ADDRESS = "http://127.0.0.1:1"
FIELDS = [
    *("instances", "records", "first", "next", "worker", "incarnation", "clock_s"),
    *("epoch", "holder", "capacity", "running", "finished", "usage", "refused"),
]


@given(st.dictionaries(st.sampled_from(FIELDS), VALUES))
def test_any_answer_is_a_result_or_an_error(body):
    # Guards against an exception in the threads that call the platform.
    with pytest.MonkeyPatch.context() as patch:
        for module in ("instances", "log"):
            patch.setattr(
                f"plantainyard.clients.{module}.call_json",
                lambda *_, **__: Ok(JsonResponse(200, body)),
            )
        found = (
            read_instances(build_instances_client(ADDRESS)),
            read_records(build_log_client(ADDRESS), "s", 0, 1, 0.0),
            _parse_response(
                build_worker_client(ADDRESS), "step", JsonResponse(200, body)
            ),
        )
    assert all(isinstance(result, Ok | Err) for result in found)


@given(VALUES, st.dictionaries(st.sampled_from(["job", "allotment", "jobs"]), VALUES))
def test_any_record_of_the_log_is_classified(value, fields):
    # Guards against an exception in the thread that follows the log.
    types = ("abandon", "accept", "cancel")
    records = [value, *({"type": kind, "request_id": "r", **fields} for kind in types)]
    kinds = {check_record(record).kind for record in records}
    assert kinds <= {Validity.KNOWN, Validity.UNKNOWN, Validity.MALFORMED}


@pytest.mark.parametrize("number", [HUGE, float("inf")])
def test_a_number_out_of_range_is_an_error(number, monkeypatch):
    # Guards against an exception in the thread that follows the log.
    record = {"offset": number, "time_s": number, "data": {}}
    body = json.loads(json.dumps({"records": [record], "first": 0, "next": 1}))
    answer = Ok(JsonResponse(200, body))
    monkeypatch.setattr("plantainyard.clients.log.call_json", lambda *_, **__: answer)
    assert read_records(build_log_client(ADDRESS), "s", 0, 1, 0.0).is_err()
