import uuid
from typing import Any, cast

from result import Err, Ok

from plantainyard.api import ApiError, ErrorCode
from plantainyard.api import operators_pb2 as schema
from plantainyard.operators import creation
from plantainyard.work import Size, WorkerInfo

WORKERS = [WorkerInfo(f"w-{d}", "", "r", d, d, Size(8, 8)) for d in ("a", "b")]


def test_service_accepted_in_part_is_not_told_as_refused(monkeypatch):
    # A service of two domains: the first accepts its part, the second can't be reached.
    # The operator is told "nothing was done" and creates it again under another id;
    # the first domain then runs twice as many runners.
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
