"""What each request's fields must be, beyond their types."""

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

__all__ = ["CHECKS", "BadField", "check_request"]

NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9_-]{0,63}")
# Callers are told 128; instances put the home domain in front when they pass one on.
REQUEST_ID = re.compile(r"[A-Za-z0-9._-]{8,200}")
DRAINING_KEYS = {
    "instance": build_instance_draining_key,
    "worker": build_worker_draining_key,
}
MAX_TITLE = 200
MAX_TASKS = 1_000_000
MAX_RUNNERS = 100_000
MAX_SIZE = 1_000_000.0
MAX_RUN_S = 366 * 86_400.0
MAX_PAYLOAD_BYTES = 65_536
MAX_PAGE = 1_000
MAX_PLACES = 10_000
MAX_CANCELLED = 10_000
MAX_KEY = 200
MAX_SLOTS = 1_000_000
NO_VERSION = -1


class BadField(NamedTuple):
    """A field whose value is impossible."""

    path: str
    expected: str


def check_request(request: Message) -> BadField | None:
    """Return the first field of `request` that is missing or impossible, or None."""
    check = CHECKS.get(request.DESCRIPTOR.name, lambda _: ())
    return next(iter(check(request)), None)


def _name(path: str, value: str) -> Iterator[BadField]:
    if not NAME.fullmatch(value):
        yield BadField(path, "1 to 64 letters, digits, '-' and '_'")


def _integer(path: str, value: int, low: int, high: int) -> Iterator[BadField]:
    if not low <= value <= high:
        yield BadField(path, f"an integer from {low} to {high}")


def _number(path: str, value: float, high: float) -> Iterator[BadField]:
    if not (math.isfinite(value) and 0 < value <= high):
        yield BadField(path, f"a number above 0, to {high:g}")


def _request_id(request: Any) -> Iterator[BadField]:
    if not REQUEST_ID.fullmatch(request.request_id):
        yield BadField("request_id", "8 to 128 letters, digits, '.', '_' and '-'")


def _size(size: schema.Size) -> Iterator[BadField]:
    yield from _number("size.cores", size.cores, MAX_SIZE)
    yield from _number("size.memory_gb", size.memory_gb, MAX_SIZE)
    yield from _integer("size.accelerators", size.accelerators, 0, int(MAX_SIZE))


def _constraints(limits: schema.Constraints) -> Iterator[BadField]:
    for field, names in (("regions", limits.regions), ("domains", limits.domains)):
        for i, name in enumerate(names):
            yield from _name(f"constraints.{field}[{i}]", name)
    if limits.accelerator:
        yield from _name("constraints.accelerator", limits.accelerator)


def _work(request: Any) -> Iterator[BadField]:
    yield from _request_id(request)
    yield from _name("team", request.team)
    yield from _size(request.size)
    yield from _constraints(request.constraints)
    if request.workload:
        yield from _name("workload", request.workload)
    if len(request.payload.encode()) > MAX_PAYLOAD_BYTES:
        yield BadField("payload", f"at most {MAX_PAYLOAD_BYTES} bytes")


def _create_service(request: schema.CreateServiceRequest) -> Iterator[BadField]:
    yield from _name("name", request.name)
    yield from _work(request)
    if not request.runners:
        yield BadField("runners", "at least one failure domain")
    allowed = request.constraints.domains
    for domain, number in request.runners.items():
        yield from _name("runners", domain)
        yield from _integer(f"runners.{domain}", number, 1, MAX_RUNNERS)
        if allowed and domain not in allowed:
            yield BadField(f"runners.{domain}", "a domain that constraints.domains has")
    yield from _integer("slots", request.slots, 1, MAX_SLOTS)
    yield from _integer("connections", request.connections, 1, MAX_SLOTS)


def _create_job(request: schema.CreateJobRequest) -> Iterator[BadField]:
    if not 0 < len(request.name) <= MAX_TITLE or not request.name.isprintable():
        yield BadField("name", f"1 to {MAX_TITLE} printable characters")
    yield from _work(request)
    yield from _integer("task_count", request.task_count, 1, MAX_TASKS)
    yield from _number("run_s", request.run_s, MAX_RUN_S)


def _list_jobs(request: schema.ListJobsRequest) -> Iterator[BadField]:
    yield from _integer("page_size", request.page_size, 0, MAX_PAGE)


def _describe_job(request: schema.DescribeJobRequest) -> Iterator[BadField]:
    if not request.job_id:
        yield BadField("job_id", "the id of a job")
    yield from _integer("tasks_limit", request.tasks_limit, 0, MAX_PLACES)


def _explain_task(request: schema.ExplainTaskRequest) -> Iterator[BadField]:
    if not request.job_id:
        yield BadField("job_id", "the id of a job")
    yield from _integer("number", request.number, 0, MAX_TASKS)


def _cancel_jobs(request: schema.CancelJobsRequest) -> Iterator[BadField]:
    yield from _request_id(request)
    if not 0 < len(request.job_ids) <= MAX_CANCELLED:
        yield BadField("job_ids", f"1 to {MAX_CANCELLED} job ids")
    for i, job_id in enumerate(request.job_ids):
        if not job_id:
            yield BadField(f"job_ids[{i}]", "the id of a job")


def _apply_configuration(
    request: schema.ApplyConfigurationRequest,
) -> Iterator[BadField]:
    yield from _request_id(request)
    if not request.HasField("base_version") or request.base_version < NO_VERSION:
        yield BadField("base_version", "the version read before, -1 for none")
    if not request.changes:
        yield BadField("changes", "at least one key")
    for key, value in request.changes.items():
        if len(key) > MAX_KEY:
            yield BadField(f"changes.{key}", f"a key of at most {MAX_KEY} characters")
        elif not all(map(math.isfinite, _iter_numbers(value))):
            yield BadField(f"changes.{key}", "finite numbers")
        elif expected := check_change(key, read_value(value)):
            yield BadField(f"changes.{key}", expected)


def _iter_numbers(value: Value) -> Iterator[float]:
    kind = value.WhichOneof("kind")
    if kind == "number_value":
        yield value.number_value
        return
    inner: Iterable[Value] = {
        "struct_value": value.struct_value.fields.values(),
        "list_value": value.list_value.values,
    }.get(kind or "", ())
    yield from chain.from_iterable(map(_iter_numbers, inner))


def _history(request: schema.GetConfigurationHistoryRequest) -> Iterator[BadField]:
    yield from _integer("limit", request.limit, 0, MAX_PAGE)


def _drain(request: schema.DrainRequest) -> Iterator[BadField]:
    yield from _request_id(request)
    target = request.WhichOneof("target")
    if target is None:
        yield BadField("instance", "an instance or a worker")
    elif find_key(DRAINING_KEYS[target](getattr(request, target))) is None:
        yield BadField(target, "letters, digits, '.', '-' and '_'")


CHECKS: dict[str, Callable[[Any], Iterable[BadField]]] = {
    "CreateServiceRequest": _create_service,
    "CreateJobRequest": _create_job,
    "ListJobsRequest": _list_jobs,
    "DescribeJobRequest": _describe_job,
    "ExplainTaskRequest": _explain_task,
    "CancelJobsRequest": _cancel_jobs,
    "ApplyConfigurationRequest": _apply_configuration,
    "GetConfigurationHistoryRequest": _history,
    "DrainRequest": _drain,
}
