"""The operators' API: the published schema, its generated code and the server side."""

from plantainyard.api.app import Probes, create_app, has_token, read_body
from plantainyard.api.calls import (
    METHODS,
    SERVICE,
    CallResponse,
    Handler,
    Handlers,
    build_error_response,
    serve_call,
)
from plantainyard.api.convert import (
    iter_service_jobs,
    read_changes,
    read_constraints,
    read_job,
    read_size,
    read_value,
    write_constraints,
    write_size,
    write_value,
)
from plantainyard.api.errors import (
    ApiError,
    ErrorCode,
    build_api_error,
    decode_error,
    encode_error,
)
from plantainyard.api.gauges import record_process, record_status

__all__ = [
    "METHODS",
    "SERVICE",
    "ApiError",
    "CallResponse",
    "ErrorCode",
    "Handler",
    "Handlers",
    "Probes",
    "build_api_error",
    "build_error_response",
    "create_app",
    "decode_error",
    "encode_error",
    "has_token",
    "iter_service_jobs",
    "read_body",
    "read_changes",
    "read_constraints",
    "read_job",
    "read_size",
    "read_value",
    "record_process",
    "record_status",
    "serve_call",
    "write_constraints",
    "write_size",
    "write_value",
]
