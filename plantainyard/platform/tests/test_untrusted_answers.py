"""Answers of the store and of runners, of any content."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok

from plantainyard.errors import ErrorKind
from plantainyard.platform import store_messages
from plantainyard.platform.bodies import read_object
from plantainyard.platform.runner_messages import (
    MAX_CHECKPOINT,
    Order,
    OrderOutcome,
    OrderResult,
    decode_report,
    decode_result,
    parse_task,
)
from plantainyard.platform.tests.untrusted import (
    DEEP,
    UNENCODABLE,
    VALUES,
    WRONG_NUMBERS,
)
from plantainyard.transport import (
    HttpResponse,
    JsonResponse,
    build_peer,
    parse_response,
)

ORDER = Order("r0", 1, "10.0.0.1:80", parse_task("a.0.0.0"), 0, 7)
REPORT = {
    "clockMs": 5,
    "born": 1,
    "running": [["a.0.0.0", 1, "", 41, 7.5]],
    "endedRuns": [[1, "a.0.0.1", 1, "done", ""]],
}
STATUSES = st.sampled_from([200, 409, 412, 410, 421, 500, 503])
BODIES = st.binary() | VALUES.map(lambda v: json.dumps(v).encode())
RESPONSES = st.builds(HttpResponse, STATUSES, st.just({}), BODIES)
ROWS = st.lists(VALUES, max_size=6)
DECODERS = (
    store_messages.decode_append_result,
    store_messages.decode_membership,
    store_messages.decode_page,
    store_messages.decode_partition_owners,
    lambda response: store_messages.decode_slice(response, 3),
    lambda response: decode_report(response, ORDER),
    lambda response: parse_response(build_peer("http://127.0.0.1:1"), "s", response),
)


def respond(data: object, status: int = 200) -> HttpResponse:
    body = data if isinstance(data, bytes) else json.dumps(data).encode()
    return HttpResponse(status, {}, body)


@given(RESPONSES)
def test_any_answer_is_a_result_or_an_error(response):
    # Guards against an exception in the threads that call the store and the runners.
    for decode in DECODERS:
        assert isinstance(decode(response), Ok | Err)
    assert isinstance(decode_result(response), OrderResult)


@given(st.dictionaries(st.sampled_from(["items", "end", "parts", "hasMore"]), VALUES))
def test_any_fields_of_the_store_are_a_result_or_an_error(fields):
    # Guards against an exception in the threads that read the store.
    data = {"items": [], "end": 0, "parts": [], "generation": 1, **fields}
    for decode in DECODERS:
        assert isinstance(decode(respond(data)), Ok | Err)


@given(st.lists(ROWS | VALUES, max_size=3), st.lists(ROWS | VALUES, max_size=3))
def test_any_rows_of_a_report_are_a_report_or_an_error(running, ended):
    # Guards against a runner that is never asked again after such a report.
    data = REPORT | {"running": running, "endedRuns": ended}
    found = decode_report(respond(data), ORDER)
    assert isinstance(found, Err) or json.dumps(found.ok_value, allow_nan=False)


@pytest.mark.parametrize("field", ["clockMs", "born"])
@pytest.mark.parametrize("number", WRONG_NUMBERS)
def test_a_number_out_of_range_makes_a_report_malformed(field, number):
    # Guards against numbers with which an owner can't calculate.
    text = json.dumps(REPORT | {field: "NUMBER"}).replace('"NUMBER"', number)
    error = decode_report(respond(text.encode()), ORDER).unwrap_err()
    assert error.kind == ErrorKind.MALFORMED


@pytest.mark.parametrize("reason", [["fence"], {}, 7, None, UNENCODABLE])
def test_a_refusal_for_a_reason_of_another_type_is_a_refusal(reason):
    # Guards against an order that stays open for good, as its answer fails.
    found = decode_result(respond({"reason": reason, "clockMs": 5}, 409))
    assert found[:2] == (OrderOutcome.REFUSED, 5)


@pytest.mark.parametrize("data", [DEEP, b'{"clockMs": 1e999}', b'{"clockMs": "5"}'])
def test_an_unreadable_answer_to_an_order_has_no_clock(data):
    # Guards against an order that stays open for good, as its answer fails.
    assert decode_result(respond(data)) == OrderResult(OrderOutcome.DONE, None)
    assert isinstance(read_object(respond(data)), dict)


def test_a_checkpoint_that_fits_into_no_record_is_left_out():
    # Guards against progress that can't be stored.
    rows = [["a.0.0.0", 1, "x" * (MAX_CHECKPOINT + 1), 41]]
    report = decode_report(respond(REPORT | {"running": rows}), ORDER).unwrap()
    assert report.running[0].checkpoint == ""


def test_a_load_that_is_not_finite_is_unknown():
    # Guards against a figure with which an owner can't calculate.
    text = json.dumps(REPORT).replace("7.5", "1e999")
    report = decode_report(respond(text.encode()), ORDER).unwrap()
    assert report.running[0].load is None


def test_an_unreadable_item_leaves_the_others_of_its_page():
    # Guards against a topic that can't be read as long as one record is there.
    good = {"key": "b", "value": "Yg==", "offset": 1}
    bad = [{"key": "a", "value": 7}, {"key": "a", "value": "x"}, {"key": "a"}, 3, [[]]]
    for item in bad:
        page = store_messages.decode_page(
            respond({"items": [item, good], "end": 2})
        ).unwrap()
        assert page.records[-1] == store_messages.Record("b", b"b", 1)
        assert page.last_key == "b"


@pytest.mark.parametrize("key", [UNENCODABLE, 7, None])
def test_an_unreadable_last_item_leaves_the_others_of_its_page(key):
    # Guards against a topic that can't be read as long as one record is there: keys of
    # bytes that are no text come last in a page.
    good = {"key": "b", "value": "Yg=="}
    for more in (False, True):
        body = {"items": [good, {"key": key}], "hasMore": more, "end": 2}
        page = store_messages.decode_page(respond(body)).unwrap()
        assert [record.key for record in page.records] == ["b"]
        assert (page.last_key, page.more) == ("b", more)


@pytest.mark.parametrize("items", [[], [{"key": "a", "value": "YQ=="}], [{"key": 7}]])
def test_a_page_after_which_no_other_can_start_is_malformed(items):
    # Guards against a reader that repeats the same call without a pause.
    body = {"items": items, "hasMore": True, "end": 2}
    error = store_messages.decode_page(respond(body), after="a").unwrap_err()
    assert error.kind == ErrorKind.MALFORMED


def test_a_slice_without_a_complete_record_is_malformed():
    # Guards against a reader that repeats the same call without a pause.
    body = store_messages.HEADER.pack(9, 0) + store_messages.LENGTH.pack(50) + b"part"
    error = store_messages.decode_slice(respond(body), 3).unwrap_err()
    assert error.kind == ErrorKind.MALFORMED


def test_an_answer_that_is_nested_too_deep_is_malformed():
    # Guards against an exception in the threads that call other instances.
    peer = build_peer("http://127.0.0.1:1")
    found = parse_response(peer, "s", respond(DEEP))
    assert found.unwrap_err().kind == ErrorKind.MALFORMED
    assert parse_response(peer, "s", respond(b"{}")).unwrap() == JsonResponse(200, {})
