"""A context for the command-line tool whose requests have preset outcomes."""

import io
from typing import Any

from result import Err, Ok

from plantainyard.api import (
    ApiError,
    ErrorCode,
    encode_error,
    serve_call,
)
from plantainyard.api import operators_pb2 as schema
from plantainyard.api.errors import STATUS_OF_CODE
from plantainyard.commands import Context
from plantainyard.errors import CallError, ErrorKind
from plantainyard.transport import HttpResponse

__all__ = [
    "ANSWERED",
    "BUSY",
    "CREATE",
    "DOWN",
    "ENVIRON",
    "LOST",
    "REJECTED",
    "GARBLED",
    "SUMMARY",
    "build_accepting_handlers",
    "build_failing_handler",
    "make_context",
    "read_output",
]

ENVIRON = {
    "PLANTAINYARD_ADDRESSES": "127.0.0.1:1,127.0.0.1:2",
    "PLANTAINYARD_TOKEN": "0123456789abcdef",
}
CREATE = [
    "jobs",
    "create",
    "--name=n",
    "--team=t",
    "--cores=1",
    "--memory_gb=1",
    "--run_s=1",
]
ANSWERED, LOST, DOWN, GARBLED = "answered", "lost", "down", "garbled"
BUSY, REJECTED = ErrorCode.REFUSED, ErrorCode.INFEASIBLE
SUMMARY = schema.JobSummary(job_id="j0", name="n", state=schema.JOB_STATE_RUNNING)


def build_failing_handler(code, **more):
    return lambda request: Err(ApiError(code, **more))


def make_context(handlers, outcomes=(), environ=ENVIRON):
    """Return a context, and the list of addresses and bodies of requests sent.

    The requests have the given `outcomes` in turn, and all later ones are answered by
    `handlers`. A lost request reaches its handler; only the response is lost. A busy or
    rejecting instance does nothing.
    """
    remaining, sent = list(outcomes), []

    def send(address, path, body, headers, timeout_s):
        sent.append((address, body))
        outcome = remaining.pop(0) if remaining else ANSWERED
        if outcome == DOWN:
            return Err(CallError(ErrorKind.UNREACHABLE, path, address))
        if outcome in (BUSY, REJECTED):
            return Ok(
                HttpResponse(
                    STATUS_OF_CODE[outcome], {}, encode_error(ApiError(outcome))
                )
            )
        method = path.rpartition("/")[2]
        answer = serve_call(handlers, method, headers["Content-Type"], body)
        if outcome == LOST:
            return Err(CallError(ErrorKind.LOST, path, address))
        if outcome == GARBLED:
            return Ok(HttpResponse(502, {}, b"<html>"))
        return Ok(HttpResponse(answer.status, {}, answer.body))

    clock = iter(range(10_000))
    ids = (f"request-{n}" for n in range(100))
    context = Context(
        environ,
        io.StringIO(),
        io.StringIO(),
        send,
        lambda seconds: None,
        lambda: next(clock),
        lambda: next(ids),
    )
    return context, sent


def build_accepting_handlers(accepted):
    def handle(request):
        job_id = accepted.setdefault(request.request_id, f"j{len(accepted)}")
        return Ok(schema.CreateJobResponse(job=schema.AcceptedJob(job_id=job_id)))

    return {"CreateJob": handle}


def read_output(stream: Any) -> str:
    return stream.getvalue()
