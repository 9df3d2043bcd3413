"""A call of an operators' method, with failover between instances.

A retry never repeats a change under another request id, so that lost responses don't
duplicate work.
"""

from typing import Any, NamedTuple

from google.protobuf.message import DecodeError, Message
from result import Err, Ok, Result

from plantainyard.api import METHODS, SERVICE, ApiError, ErrorCode, decode_error
from plantainyard.api.codec import BINARY
from plantainyard.commands.access import Access
from plantainyard.commands.context import Context
from plantainyard.commands.exit_codes import EXIT_CODE_BY_ERROR, ExitCode
from plantainyard.errors import CallError, ErrorKind, describe_error
from plantainyard.transport import HttpResponse

__all__ = ["Failure", "call_instances"]

STATUS_OK = 200
MAX_ROUNDS = 3
MAX_REFUSALS = 2
ROUND_PAUSE_S = 1.0
RETRYABLE_EXIT_CODES = (
    ExitCode.REFUSED,
    ExitCode.INTERNAL,
    ExitCode.UNKNOWN,
    ExitCode.UNREACHABLE,
)
"""Failures after which the next instance is called, the most informative first."""


class Failure(NamedTuple):
    """Why a call failed.

    Attributes
    ----------
    exit_code : ExitCode
        Exit code of the tool.
    error : ApiError
        Error of the instance whose failure is reported.
    request_id : str
        Request id of a call that changes something, otherwise empty.
    """

    exit_code: ExitCode
    error: ApiError
    request_id: str = ""


def call_instances(
    context: Context, access: Access, method: str, request: Message, timeout_s: float
) -> Result[Any, Failure]:
    """Send `request` to one instance after another until one gives a final response.

    Parameters
    ----------
    context : Context
        Sends requests, sleeps and prints messages.
    access : Access
        The instances and the token.
    method : str
        A name in `plantainyard.api.METHODS`.
    request : Message
        Message of the method's request class, with its request id.
    timeout_s : float
        Timeout for the response of one instance, in seconds.

    Returns
    -------
    Ok or Err
        The response, or a `Failure`.

    Notes
    -----
    The next instance is called if the previous one could not be reached or refused,
    up to two refusals. A call that changes something and whose response was lost is
    repeated, only with the same request id, for up to three rounds.
    """
    request_id = getattr(request, "request_id", "")
    try:
        return _call_in_rounds(context, access, method, request, timeout_s)
    except KeyboardInterrupt:
        if METHODS[method].is_mutating:
            hint = f"{method} may have been done; repeat with --request_id={request_id}"
            print(f"\nInterrupted: {hint}", file=context.err)
        raise


def _call_in_rounds(
    context: Context, access: Access, method: str, request: Message, timeout_s: float
) -> Result[Any, Failure]:
    is_mutating = METHODS[method].is_mutating
    request_id = getattr(request, "request_id", "")
    lost_failure: Failure | None = None
    failures: list[Failure] = []
    for round_number in range(MAX_ROUNDS):
        if round_number:
            context.sleep(ROUND_PAUSE_S)
        for address in access.addresses:
            response = _send(context, access, address, method, request, timeout_s)
            if isinstance(response, Ok):
                return response
            failure = response.err_value._replace(request_id=request_id)
            if _is_final(failure, lost_failure is not None):
                return Err(failure)
            failures.append(failure)
            if lost_failure is None and _has_enough_refusals(failures):
                return Err(failure)
            if is_mutating and failure.exit_code == ExitCode.UNKNOWN:
                lost_failure = failure
                hint = "no answer; repeating with the same request id"
                print(f"{address}: {hint}", file=context.err)
        if lost_failure is None:
            break
    return Err(lost_failure or _pick_failure(failures))


def _is_final(failure: Failure, was_lost: bool) -> bool:
    # If a response was lost and the next instance refuses, "nothing was done" holds for
    # the second request only. If the refusal were reported, a script would submit the
    # work under a new id and it would run twice. After a lost response, only a conflict
    # on the same request id is final; after any other failure the outcome is unknown.
    if was_lost:
        return failure.exit_code == ExitCode.CONFLICT
    return failure.exit_code not in RETRYABLE_EXIT_CODES


def _has_enough_refusals(failures: list[Failure]) -> bool:
    """Return whether to stop, because two refusals rule out one instance's fault."""
    codes = [failure.exit_code for failure in failures]
    return codes.count(ExitCode.REFUSED) >= MAX_REFUSALS


def _pick_failure(failures: list[Failure]) -> Failure:
    """Return the most informative failure."""
    return min(
        failures, key=lambda failure: RETRYABLE_EXIT_CODES.index(failure.exit_code)
    )


def _send(
    context: Context,
    access: Access,
    address: str,
    method: str,
    request: Message,
    timeout_s: float,
) -> Result[Any, Failure]:
    headers = {
        "Authorization": f"Bearer {access.token.reveal()}",
        "Content-Type": BINARY,
    }
    path = f"/{SERVICE}/{method}"
    body = request.SerializeToString()
    response = context.send(address, path, body, headers, timeout_s)
    if isinstance(response, Err):
        return Err(_convert_call_error(method, response.err_value))
    return _convert_response(method, address, response.ok_value)


def _convert_call_error(method: str, error: CallError) -> Failure:
    api_error = ApiError(
        ErrorCode.UNKNOWN, describe_error(error), step=error.step, peer=error.peer
    )
    if error.kind == ErrorKind.UNREACHABLE or not METHODS[method].is_mutating:
        return Failure(ExitCode.UNREACHABLE, api_error._replace(code=ErrorCode.REFUSED))
    return Failure(ExitCode.UNKNOWN, api_error)


def _convert_response(
    method: str, address: str, response: HttpResponse
) -> Result[Any, Failure]:
    if response.status == STATUS_OK:
        try:
            message = METHODS[method].response()
            message.ParseFromString(response.body)
            return Ok(message)
        except DecodeError:
            return Err(_convert_unreadable_response(method, address, response))
    error = decode_error(response.body)
    if error is None:
        return Err(_convert_unreadable_response(method, address, response))
    return Err(Failure(EXIT_CODE_BY_ERROR[error.code], error))


def _convert_unreadable_response(
    method: str, address: str, response: HttpResponse
) -> Failure:
    """Return the failure for a response that isn't of the schema, such as a proxy's."""
    detail = f"status {response.status} with a body that is not of the schema"
    if METHODS[method].is_mutating:
        return Failure(
            ExitCode.UNKNOWN, ApiError(ErrorCode.UNKNOWN, detail, peer=address)
        )
    return Failure(
        ExitCode.INTERNAL, ApiError(ErrorCode.INTERNAL, detail, peer=address)
    )
