"""Operators' calls: from a method's name and a body to an answer."""

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
REQUEST_ID = "request_id"

Handler = Callable[[Any], Result[Message, ApiError]]
Handlers = Mapping[str, Handler]


class Method(NamedTuple):
    """A method of the schema.

    Attributes
    ----------
    request, response : type
        Generated message classes.
    is_mutating : bool
        Whether a call changes something, and so carries a request id.
    """

    request: type[Message]
    response: type[Message]
    is_mutating: bool


class CallResponse(NamedTuple):
    """An HTTP answer."""

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
    """Decode, check, hand over and encode one call.

    Parameters
    ----------
    handlers : mapping
        Method name to the function that answers it. A handler must itself be safe
        to repeat with the same request id.
    method_name : str
        Last part of the path.
    content_type : str
        The request's header.
    body : bytes
        The request's body.

    Returns
    -------
    CallResponse
        In the form of the request; errors are always JSON.
    """
    method = METHODS.get(method_name)
    if method is None or method_name not in handlers:
        detail = f"no such method; known are {', '.join(METHODS)}"
        return build_error_response(ApiError(ErrorCode.NOT_FOUND, detail, "method"))
    form = parse_content_type(content_type)
    if form is None:
        detail = f"expected {JSON} or {BINARY}"
        return build_error_response(
            ApiError(ErrorCode.MALFORMED, detail, "Content-Type")
        )
    decoded = decode_message(method.request, form, body)
    if isinstance(decoded, Err):
        return build_error_response(decoded.err_value)
    bad = check_request(decoded.ok_value)
    if bad is not None:
        detail = f"expected {bad.expected}"
        return build_error_response(ApiError(ErrorCode.MALFORMED, detail, bad.path))
    handled = _handle(method_name, method, handlers[method_name], decoded.ok_value)
    if isinstance(handled, Ok):
        return CallResponse(STATUS_OK, encode_message(handled.ok_value, form), form)
    return build_error_response(handled.err_value)


def build_error_response(error: ApiError) -> CallResponse:
    """Return the HTTP answer that tells of `error`."""
    status = STATUS_OF_CODE[error.code]
    return CallResponse(
        status, encode_error(error), JSON, math.ceil(error.retry_after_s)
    )


def _handle(
    name: str, method: Method, handler: Handler, request: Any
) -> Result[Message, ApiError]:
    request_id = getattr(request, REQUEST_ID, "")
    step = f"api.{name}"
    # A fault of the handler may come after the record was appended. Told as a plain
    # failure, the operator would send the work again under a new id and it would run
    # twice; told as unknown, the repeat carries the same id and is recognised.
    try:
        handled = handler(request)
    except Exception:
        _logger.exception(
            "handler failed", extra={"step": step, "request_id": request_id}
        )
        code = ErrorCode.UNKNOWN if method.is_mutating else ErrorCode.INTERNAL
        return Err(ApiError(code, "a fault of the daemon; see its log", step=step))
    if method.is_mutating:
        outcome = handled.err_value.code if isinstance(handled, Err) else "accepted"
        log_step(_logger, logging.INFO, outcome, step, request_id=request_id)
    return handled
