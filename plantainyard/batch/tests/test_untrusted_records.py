"""Records that are read back from the store, of any content."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from plantainyard.batch.records import (
    decode_progress,
    decode_submission,
    encode_progress,
    encode_submission,
    make_end_key,
    make_handover_key,
    make_progress_key,
    make_submission_key,
    parse_key,
)
from plantainyard.batch.replica import (
    BOUNDS_KEY,
    FENCES_KEY,
    INTERFERENCE_KEY,
    RUN_TIMES_KEY,
    Fences,
    Replica,
    apply_record,
    describe_state,
    encode_fences,
)
from plantainyard.batch.values import Step, StepProgress, Submission, TaskProgress
from plantainyard.decoding import DecodeError
from plantainyard.dispatch.run_time_records import decode_run_times
from plantainyard.dispatch.weights import decode_interference
from plantainyard.entry.layout import decode_owner
from plantainyard.platform.tests.untrusted import DEEP, DEEP_OBJECT, VALUES

SUBMISSION = Submission("a", "q", "s", "", (Step(2), Step(1, after=(0,))))
KEYS = (
    make_submission_key("a"),
    make_end_key("a"),
    make_handover_key("a"),
    make_progress_key("a", 0, 0),
    FENCES_KEY,
    BOUNDS_KEY,
    INTERFERENCE_KEY,
    RUN_TIMES_KEY,
    "c/a",
    "p/a/0",
    "p/a/²/0",
)
DECODERS = (
    decode_submission,
    decode_progress,
    decode_owner,
    decode_interference,
    lambda value: decode_run_times(value, 0.0, 1.0),
)
ANY_BYTES = st.binary() | VALUES.map(lambda v: json.dumps(v).encode())


@given(st.sampled_from(KEYS) | st.text(), ANY_BYTES)
def test_any_record_leaves_the_replica_in_order(key, value):
    # Guards against an exception in the threads that read a unit's records, and against
    # a bad record that replaces a good one.
    replica = Replica()
    apply_record(replica, make_submission_key("a"), encode_submission(SUBMISSION))
    apply_record(replica, key, value)
    for view in replica.jobs.values():
        assert view.submission in (None, SUBMISSION)
        assert describe_state(view)


@given(ANY_BYTES)
def test_any_bytes_are_a_record_or_one_error(value):
    # Guards against an exception in the threads that read a unit's records.
    for decode in DECODERS:
        try:
            decode(value)
        except DecodeError as error:
            assert str(error)


@pytest.mark.parametrize("value", [DEEP, DEEP_OBJECT, b"\xff", b"9" * 5000])
@pytest.mark.parametrize("decode", DECODERS)
def test_unusual_bytes_are_one_error(decode, value):
    # Guards against an exception in the threads that read a unit's records.
    with pytest.raises(DecodeError):
        decode(value)


@given(st.dictionaries(st.sampled_from([*Submission._fields, "more"]), VALUES))
def test_any_fields_are_a_submission_or_one_error(fields):
    # Guards against a stored job with which its owner can't calculate.
    data = json.loads(encode_submission(SUBMISSION)) | fields
    try:
        found = decode_submission(json.dumps(data).encode())
    except DecodeError:
        return
    assert decode_submission(encode_submission(found)) == found


@given(st.dictionaries(st.sampled_from([*Step._fields, "more"]), VALUES))
def test_any_fields_of_a_step_are_a_submission_or_one_error(fields):
    # Guards against a stored job with which its owner can't calculate.
    data = json.loads(encode_submission(SUBMISSION))
    data["steps"][0] |= fields
    try:
        found = decode_submission(json.dumps(data).encode())
    except DecodeError:
        return
    assert decode_submission(encode_submission(found)) == found


@pytest.mark.parametrize("piece", [[0, 2, 0], [0, 0], [0, 0, 0, 0], ["0", 0, 0]])
def test_a_piece_of_a_missing_step_is_one_error(piece):
    # Guards against an owner that fails when it adds the task.
    data = json.loads(encode_submission(SUBMISSION)) | {"piece": piece}
    with pytest.raises(DecodeError):
        decode_submission(json.dumps(data).encode())


def test_progress_of_extreme_size_is_one_error():
    # Guards against an owner that takes minutes to read one record.
    value = json.dumps({"done": "f" * 1_000_000, "tasks": {}}).encode()
    with pytest.raises(DecodeError):
        decode_progress(value)


@given(st.dictionaries(st.sampled_from(["done", "tasks", "unseen", "sent_to"]), VALUES))
def test_any_fields_are_progress_or_one_error(fields):
    # Guards against progress with which its owner can't calculate.
    stored = StepProgress(frozenset({0}), {1: TaskProgress(2, "r@7", 1, "")})
    data = json.loads(encode_progress(stored)) | fields
    try:
        found = decode_progress(json.dumps(data).encode())
    except DecodeError:
        return
    assert decode_progress(encode_progress(found)) == found


def test_a_submission_under_the_key_of_another_job_is_left_out():
    # Guards against two owners' views of one job.
    replica = Replica()
    apply_record(replica, make_submission_key("b"), encode_submission(SUBMISSION))
    assert replica.jobs["b"].submission is None


def test_a_state_that_is_not_final_ends_no_job():
    # Guards against a job that never runs, as a bad record seems to end it.
    replica = Replica()
    apply_record(replica, make_submission_key("a"), encode_submission(SUBMISSION))
    apply_record(replica, make_end_key("a"), b"unknown")
    assert replica.jobs["a"].final_state == ""


def test_a_fence_beyond_all_others_is_left_out():
    # Guards against a unit that no owner can serve, as no token is higher.
    replica = Replica()
    apply_record(replica, FENCES_KEY, encode_fences(Fences(7)))
    apply_record(replica, FENCES_KEY, b'{"highest":9007199254740991,"restarts":[]}')
    assert replica.fences == Fences(7)


@pytest.mark.parametrize("key", ["p/a/²/0", "p/a/-1/0", "p/a/" + "9" * 5000 + "/0"])
def test_a_key_without_numbers_is_one_error(key):
    # Guards against an exception in the threads that read a unit's records.
    with pytest.raises(DecodeError):
        parse_key(key)
