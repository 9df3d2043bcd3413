"""Accepting a service of which only some domains answer."""

import uuid
from typing import Any, cast

from result import Err, Ok

from plantainyard.api import ApiError, ErrorCode
from plantainyard.api import operators_pb2 as schema
from plantainyard.operators import creation
from plantainyard.work import Size, WorkerInfo

WORKERS = [WorkerInfo(f"w-{d}", "", "r", d, d, Size(8, 8)) for d in ("a", "b")]


def test_partially_accepted_service_is_not_reported_as_refused(monkeypatch):
    # Guards against an error that claims that nothing was done after the first of two
    # domains accepted its part and the second could not be reached: the operator would
    # create the service again under another id, and the first domain would run twice
    # as many runners.
    answers = iter(
        [Ok(schema.AcceptedJob(domain="a")), Err(ApiError("refused", "cut"))]
    )
    monkeypatch.setattr(creation, "list_workers", lambda _: WORKERS)
    monkeypatch.setattr(creation, "_accept_part", lambda *_: next(answers))
    request = schema.CreateServiceRequest(
        request_id=uuid.uuid4().hex, name="s", runners={"a": 1, "b": 1}
    )
    error = creation.create_service(cast(Any, None), request).unwrap_err()
    assert error.code == ErrorCode.UNKNOWN
    assert error.detail == "done in a; then refused: cut"
