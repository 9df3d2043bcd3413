"""Conversion between the schema's messages and the package's own types."""

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
    """Return the `Size` that a message holds."""
    return Size(size.cores, size.memory_gb, size.accelerators)


def write_size(size: Size) -> schema.Size:
    """Return the message that holds a `Size`."""
    return schema.Size(**size._asdict())


def read_constraints(constraints: schema.Constraints) -> Constraints:
    """Return the `Constraints` that a message holds."""
    return Constraints(
        tuple(constraints.regions), tuple(constraints.domains), constraints.accelerator
    )


def write_constraints(constraints: Constraints) -> schema.Constraints:
    """Return the message that holds `Constraints`."""
    return schema.Constraints(**constraints._asdict())


def read_job(request: schema.CreateJobRequest, job_id: str) -> Job:
    """Return the batch job that `request` describes."""
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
        The service to create.
    job_id : str
        Prefix of the jobs' ids, to which the name of the domain is appended.

    Notes
    -----
    Each job is constrained to its domain, so that decisions about it don't depend on
    another domain.
    """
    constraints = read_constraints(request.constraints)
    for domain, count in sorted(request.runners.items()):
        yield Job(
            id=f"{job_id}.{domain}",
            name=request.name,
            team=request.team,
            latency_critical=True,
            task_count=count,
            size=read_size(request.size),
            constraints=constraints._replace(domains=(domain,)),
            workload=request.workload,
            slots=request.slots,
            connections=request.connections,
            payload=request.payload,
        )


def read_value(value: Value) -> Any:
    """Return the JSON value that a message holds, with whole numbers as integers.

    Notes
    -----
    Protobuf's `Value` holds only floating-point numbers. A count that was read as 40.0
    would fail the check that it is an integer.
    """
    return _restore_integers(json_format.MessageToDict(value))


def write_value(value: Any) -> Value:
    """Return the message that holds a JSON value."""
    return json_format.ParseDict(value, Value())


def read_changes(request: schema.ApplyConfigurationRequest) -> dict[str, Any]:
    """Return the changes in a request; the value None removes a key."""
    return {key: read_value(value) for key, value in request.changes.items()}


def _restore_integers(value: Any) -> Any:
    if isinstance(value, float) and value.is_integer():
        return int(value)
    if isinstance(value, list):
        return [_restore_integers(item) for item in value]
    if isinstance(value, dict):
        return {name: _restore_integers(item) for name, item in value.items()}
    return value
