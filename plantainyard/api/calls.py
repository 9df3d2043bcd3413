"""Serving of operators' calls, from a method name and a body to a response."""

import logging
import math
from collections.abc import Callable, Mapping
from typing import Any, NamedTuple

from google.protobuf.message import Message
from google.protobuf.message_factory import GetMessageClass
from result import Err, Ok, Result

from plantainyard.api import operators_pb2 as schema
from plantainyard.api.checks import check_request
from plantainyard.api.codec import (
    BINARY,
    JSON,
    decode_message,
    encode_message,
    parse_content_type,
)
from plantainyard.api.errors import STATUS_OF_CODE, ApiError, ErrorCode, encode_error
from plantainyard.decode_budget import control_budget
from plantainyard.logs import get_logger, log_step

__all__ = [
    "METHODS",
    "SERVICE",
    "CallResponse",
    "Handler",
    "Handlers",
    "Method",
    "build_error_response",
    "serve_call",
]

STATUS_OK = 200
RETRY_AFTER_S = 1.0
"""Time in seconds after which an operator should repeat a call that was refused for its
size."""

REQUEST_ID = "request_id"
"""Field that every request of a mutating method has."""

Handler = Callable[[Any], Result[Message, ApiError]]
Handlers = Mapping[str, Handler]


class Method(NamedTuple):
    """A method of the schema's service.

    Attributes
    ----------
    request, response : type
        Generated classes of its messages.
    is_mutating : bool
        Whether a call changes state and therefore has a request id.
    """

    request: type[Message]
    response: type[Message]
    is_mutating: bool


class CallResponse(NamedTuple):
    """The HTTP response to a call."""

    status: int
    body: bytes
    content_type: str = JSON
    retry_after_s: float = 0.0


_SERVICE = schema.DESCRIPTOR.services_by_name["Operators"]
SERVICE: str = _SERVICE.full_name
METHODS: dict[str, Method] = {
    method.name: Method(
        GetMessageClass(method.input_type),
        GetMessageClass(method.output_type),
        REQUEST_ID in method.input_type.fields_by_name,
    )
    for method in _SERVICE.methods
}
_logger = get_logger("api")


def serve_call(
    handlers: Handlers, method_name: str, content_type: str, body: bytes
) -> CallResponse:
    """Decode, check and handle one call, and return its encoded response.

    Parameters
    ----------
    handlers : mapping
        Function that handles each method, by method name. A handler must be
        idempotent for calls with the same request id.
    method_name : str
        Last segment of the path.
    content_type : str
        Content-Type header of the request.
    body : bytes
        Body of the request.

    Returns
    -------
    CallResponse
        Encoded like the request, except that errors are always JSON.
    """
    method = METHODS.get(method_name)
    if method is None or method_name not in handlers:
        detail = f"no such method; known are {', '.join(METHODS)}"
        return build_error_response(ApiError(ErrorCode.NOT_FOUND, detail, "method"))
    encoding = parse_content_type(content_type)
    if encoding is None:
        detail = f"expected {JSON} or {BINARY}"
        return build_error_response(
            ApiError(ErrorCode.MALFORMED, detail, "Content-Type")
        )
    decoded = _decode_request(method, encoding, body)
    if isinstance(decoded, Err):
        return build_error_response(decoded.err_value)
    result = _handle(method_name, method, handlers[method_name], decoded.ok_value)
    if isinstance(result, Ok):
        return CallResponse(
            STATUS_OK, encode_message(result.ok_value, encoding), encoding
        )
    return build_error_response(result.err_value)


def _decode_request(
    method: Method, encoding: str, body: bytes
) -> Result[Any, ApiError]:
    """Return the checked request in a body, or why it can't be handled."""
    with control_budget.reserve(body) as is_reserved:
        if not is_reserved:
            detail = "too many large requests"
            return Err(ApiError(ErrorCode.REFUSED, detail, retry_after_s=RETRY_AFTER_S))
        decoded = decode_message(method.request, encoding, body)
        if isinstance(decoded, Err):
            return decoded
        invalid = check_request(decoded.ok_value)
    if invalid is not None:
        detail = f"expected {invalid.expected}"
        return Err(ApiError(ErrorCode.MALFORMED, detail, invalid.path))
    return decoded


def build_error_response(error: ApiError) -> CallResponse:
    """Return the HTTP response that reports `error`."""
    status = STATUS_OF_CODE[error.code]
    return CallResponse(
        status, encode_error(error), JSON, math.ceil(error.retry_after_s)
    )


def _handle(
    name: str, method: Method, handler: Handler, request: Any
) -> Result[Message, ApiError]:
    request_id = getattr(request, REQUEST_ID, "")
    step = f"api.{name}"
    # The handler may fail after the record was appended. If that were reported as a
    # plain failure, the operator would submit the work again with a new id and it would
    # run twice. After "unknown", the operator repeats the call with the same id, which
    # is recognized.
    try:
        result = handler(request)
    except Exception:
        _logger.exception(
            "handler failed", extra={"step": step, "request_id": request_id}
        )
        code = ErrorCode.UNKNOWN if method.is_mutating else ErrorCode.INTERNAL
        return Err(ApiError(code, "a fault of the daemon; see its log", step=step))
    if method.is_mutating:
        outcome = result.err_value.code if isinstance(result, Err) else "accepted"
        log_step(_logger, logging.INFO, outcome, step, request_id=request_id)
    return result
