"""Checks of the values in requests that their types don't express."""

import math
import re
from collections.abc import Callable, Iterable, Iterator
from itertools import chain
from typing import Any, NamedTuple

from google.protobuf.message import Message
from google.protobuf.struct_pb2 import Value

from plantainyard.api import operators_pb2 as schema
from plantainyard.api.convert import read_value
from plantainyard.configuration import (
    build_instance_draining_key,
    build_worker_draining_key,
    check_change,
    find_key,
)

__all__ = ["CHECKS", "InvalidField", "check_request"]

NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9_-]{0,63}")
# The limit for operators is 128. An instance prepends the home domain to an id that it
# forwards.
REQUEST_ID = re.compile(r"[A-Za-z0-9._-]{8,200}")
DRAINING_KEYS = {
    "instance": build_instance_draining_key,
    "worker": build_worker_draining_key,
}
MAX_JOB_NAME_LENGTH = 200
MAX_TASKS = 1_000_000
MAX_RUNNERS = 100_000
MAX_RESOURCE = 1_000_000.0
MAX_RUN_S = 366 * 86_400.0
MAX_PAYLOAD_BYTES = 65_536
MAX_PAGE_SIZE = 1_000
MAX_LISTED_TASKS = 10_000
MAX_CANCELLED_JOBS = 10_000
MAX_KEY_LENGTH = 200
MAX_SLOTS = 1_000_000
NO_VERSION = -1


class InvalidField(NamedTuple):
    """A field whose value is not allowed.

    Attributes
    ----------
    path : str
        Path of the field in the request.
    expected : str
        Description of the allowed values.
    """

    path: str
    expected: str


def check_request(request: Message) -> InvalidField | None:
    """Return the first field of `request` that is missing or invalid, or None."""
    check = CHECKS.get(request.DESCRIPTOR.name, lambda _: ())
    return next(iter(check(request)), None)


def _check_name(path: str, value: str) -> Iterator[InvalidField]:
    if not NAME.fullmatch(value):
        yield InvalidField(path, "1 to 64 letters, digits, '-' and '_'")


def _check_integer(
    path: str, value: int, minimum: int, maximum: int
) -> Iterator[InvalidField]:
    if not minimum <= value <= maximum:
        yield InvalidField(path, f"an integer from {minimum} to {maximum}")


def _check_number(path: str, value: float, maximum: float) -> Iterator[InvalidField]:
    if not (math.isfinite(value) and 0 < value <= maximum):
        yield InvalidField(path, f"a number above 0, to {maximum:g}")


def _check_request_id(request: Any) -> Iterator[InvalidField]:
    if not REQUEST_ID.fullmatch(request.request_id):
        yield InvalidField("request_id", "8 to 128 letters, digits, '.', '_' and '-'")


def _check_size(size: schema.Size) -> Iterator[InvalidField]:
    yield from _check_number("size.cores", size.cores, MAX_RESOURCE)
    yield from _check_number("size.memory_gb", size.memory_gb, MAX_RESOURCE)
    yield from _check_integer(
        "size.accelerators", size.accelerators, 0, int(MAX_RESOURCE)
    )


def _check_constraints(constraints: schema.Constraints) -> Iterator[InvalidField]:
    for field, names in (
        ("regions", constraints.regions),
        ("domains", constraints.domains),
    ):
        for i, name in enumerate(names):
            yield from _check_name(f"constraints.{field}[{i}]", name)
    if constraints.accelerator:
        yield from _check_name("constraints.accelerator", constraints.accelerator)


def _check_common_fields(request: Any) -> Iterator[InvalidField]:
    """Yield the invalid fields among those that jobs and services share."""
    yield from _check_request_id(request)
    yield from _check_name("team", request.team)
    yield from _check_size(request.size)
    yield from _check_constraints(request.constraints)
    if request.workload:
        yield from _check_name("workload", request.workload)
    if len(request.payload.encode()) > MAX_PAYLOAD_BYTES:
        yield InvalidField("payload", f"at most {MAX_PAYLOAD_BYTES} bytes")


def _check_create_service(
    request: schema.CreateServiceRequest,
) -> Iterator[InvalidField]:
    yield from _check_name("name", request.name)
    yield from _check_common_fields(request)
    if not request.runners:
        yield InvalidField("runners", "at least one failure domain")
    allowed = request.constraints.domains
    for domain, count in request.runners.items():
        yield from _check_name("runners", domain)
        yield from _check_integer(f"runners.{domain}", count, 1, MAX_RUNNERS)
        if allowed and domain not in allowed:
            yield InvalidField(
                f"runners.{domain}", "a domain that constraints.domains has"
            )
    yield from _check_integer("slots", request.slots, 1, MAX_SLOTS)
    yield from _check_integer("connections", request.connections, 1, MAX_SLOTS)


def _check_create_job(request: schema.CreateJobRequest) -> Iterator[InvalidField]:
    if (
        not 0 < len(request.name) <= MAX_JOB_NAME_LENGTH
        or not request.name.isprintable()
    ):
        yield InvalidField("name", f"1 to {MAX_JOB_NAME_LENGTH} printable characters")
    yield from _check_common_fields(request)
    yield from _check_integer("task_count", request.task_count, 1, MAX_TASKS)
    yield from _check_number("run_s", request.run_s, MAX_RUN_S)


def _check_list_jobs(request: schema.ListJobsRequest) -> Iterator[InvalidField]:
    yield from _check_integer("page_size", request.page_size, 0, MAX_PAGE_SIZE)


def _check_describe_job(request: schema.DescribeJobRequest) -> Iterator[InvalidField]:
    if not request.job_id:
        yield InvalidField("job_id", "the id of a job")
    yield from _check_integer("tasks_limit", request.tasks_limit, 0, MAX_LISTED_TASKS)


def _check_explain_task(request: schema.ExplainTaskRequest) -> Iterator[InvalidField]:
    if not request.job_id:
        yield InvalidField("job_id", "the id of a job")
    yield from _check_integer("number", request.number, 0, MAX_TASKS)


def _check_cancel_jobs(request: schema.CancelJobsRequest) -> Iterator[InvalidField]:
    yield from _check_request_id(request)
    if not 0 < len(request.job_ids) <= MAX_CANCELLED_JOBS:
        yield InvalidField("job_ids", f"1 to {MAX_CANCELLED_JOBS} job ids")
    for i, job_id in enumerate(request.job_ids):
        if not job_id:
            yield InvalidField(f"job_ids[{i}]", "the id of a job")


def _check_apply_configuration(
    request: schema.ApplyConfigurationRequest,
) -> Iterator[InvalidField]:
    yield from _check_request_id(request)
    if not request.HasField("base_version") or request.base_version < NO_VERSION:
        yield InvalidField("base_version", "the version read before, -1 for none")
    if not request.changes:
        yield InvalidField("changes", "at least one key")
    for key, value in request.changes.items():
        if len(key) > MAX_KEY_LENGTH:
            yield InvalidField(
                f"changes.{key}", f"a key of at most {MAX_KEY_LENGTH} characters"
            )
        elif not all(map(math.isfinite, _iter_numbers(value))):
            yield InvalidField(f"changes.{key}", "finite numbers")
        elif expected := check_change(key, read_value(value)):
            yield InvalidField(f"changes.{key}", expected)


def _iter_numbers(value: Value) -> Iterator[float]:
    kind = value.WhichOneof("kind")
    if kind == "number_value":
        yield value.number_value
        return
    nested: Iterable[Value] = {
        "struct_value": value.struct_value.fields.values(),
        "list_value": value.list_value.values,
    }.get(kind or "", ())
    yield from chain.from_iterable(map(_iter_numbers, nested))


def _check_get_history(
    request: schema.GetConfigurationHistoryRequest,
) -> Iterator[InvalidField]:
    yield from _check_integer("limit", request.limit, 0, MAX_PAGE_SIZE)


def _check_drain(request: schema.DrainRequest) -> Iterator[InvalidField]:
    yield from _check_request_id(request)
    target = request.WhichOneof("target")
    if target is None:
        yield InvalidField("instance", "an instance or a worker")
    elif find_key(DRAINING_KEYS[target](getattr(request, target))) is None:
        yield InvalidField(target, "letters, digits, '.', '-' and '_'")


CHECKS: dict[str, Callable[[Any], Iterable[InvalidField]]] = {
    "CreateServiceRequest": _check_create_service,
    "CreateJobRequest": _check_create_job,
    "ListJobsRequest": _check_list_jobs,
    "DescribeJobRequest": _check_describe_job,
    "ExplainTaskRequest": _check_explain_task,
    "CancelJobsRequest": _check_cancel_jobs,
    "ApplyConfigurationRequest": _check_apply_configuration,
    "GetConfigurationHistoryRequest": _check_get_history,
    "DrainRequest": _check_drain,
}
