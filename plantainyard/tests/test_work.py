"""Tests of the encoding of declared work."""

from plantainyard.work import Constraints, Job, Size, decode_job, encode_job


def test_job_is_unchanged_by_encoding_and_decoding():
    job = Job(
        "j", "bake", "ovens", False, 3, Size(1, 2), 5.0, Constraints(("ashanti",))
    )
    assert decode_job(encode_job(job)) == job
