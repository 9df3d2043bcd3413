"""Between messages of the schema and the package's own values."""

from collections.abc import Iterator
from typing import Any

from google.protobuf import json_format
from google.protobuf.struct_pb2 import Value

from plantainyard.api import operators_pb2 as schema
from plantainyard.work import Constraints, Job, Size

__all__ = [
    "iter_service_jobs",
    "read_changes",
    "read_constraints",
    "read_job",
    "read_size",
    "read_value",
    "write_constraints",
    "write_size",
    "write_value",
]


def read_size(size: schema.Size) -> Size:
    """Return the value of a message."""
    return Size(size.cores, size.memory_gb, size.accelerators)


def write_size(size: Size) -> schema.Size:
    """Return the message of a value."""
    return schema.Size(**size._asdict())


def read_constraints(limits: schema.Constraints) -> Constraints:
    """Return the value of a message."""
    return Constraints(tuple(limits.regions), tuple(limits.domains), limits.accelerator)


def write_constraints(limits: Constraints) -> schema.Constraints:
    """Return the message of a value."""
    return schema.Constraints(**limits._asdict())


def read_job(request: schema.CreateJobRequest, job_id: str) -> Job:
    """Return the batch job that `request` declares."""
    return Job(
        id=job_id,
        name=request.name,
        team=request.team,
        latency_critical=False,
        task_count=request.task_count,
        size=read_size(request.size),
        run_s=request.run_s,
        constraints=read_constraints(request.constraints),
        workload=request.workload,
        urgent=request.urgent,
        gang=request.gang,
        payload=request.payload,
    )


def iter_service_jobs(
    request: schema.CreateServiceRequest, job_id: str
) -> Iterator[Job]:
    """Yield the job of each failure domain that a service has runners in.

    Parameters
    ----------
    request : CreateServiceRequest
        The declared service.
    job_id : str
        Stem of the jobs' ids; the domain's name is added.

    Notes
    -----
    Each part is constrained to its domain, so that no decision about it needs
    another domain.
    """
    limits = read_constraints(request.constraints)
    for domain, number in sorted(request.runners.items()):
        yield Job(
            id=f"{job_id}.{domain}",
            name=request.name,
            team=request.team,
            latency_critical=True,
            task_count=number,
            size=read_size(request.size),
            constraints=limits._replace(domains=(domain,)),
            workload=request.workload,
            slots=request.slots,
            connections=request.connections,
            payload=request.payload,
        )


def read_value(value: Value) -> Any:
    """Return a JSON value; whole numbers come back as integers.

    Notes
    -----
    Protobuf's values know only floating-point numbers, and a count that came back
    as 40.0 would fail the check that it is an integer.
    """
    return _restore_integers(json_format.MessageToDict(value))


def write_value(value: Any) -> Value:
    """Return the message of a JSON value."""
    return json_format.ParseDict(value, Value())


def read_changes(request: schema.ApplyConfigurationRequest) -> dict[str, Any]:
    """Return the changes of a request; None takes a key away."""
    return {key: read_value(value) for key, value in request.changes.items()}


def _restore_integers(value: Any) -> Any:
    if isinstance(value, float) and value.is_integer():
        return int(value)
    if isinstance(value, list):
        return [_restore_integers(item) for item in value]
    if isinstance(value, dict):
        return {name: _restore_integers(item) for name, item in value.items()}
    return value
