"""One call of the schema, over the instances that are given."""

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


class Failure(NamedTuple):
    """Why a call came to nothing.

    Attributes
    ----------
    exit_code : ExitCode
        What the tool exits with.
    error : ApiError
        What the last telling instance said.
    request_id : str
        Of a call that changes something.
    """

    exit_code: ExitCode
    error: ApiError
    request_id: str = ""


def call_instances(
    context: Context, access: Access, method: str, request: Message, timeout_s: float
) -> Result[Any, Failure]:
    """Send `request` until one instance settles it.

    Parameters
    ----------
    world : World
        Sends, sleeps and shows notes.
    access : Access
        The instances and the token.
    method : str
        A name in `plantainyard.api.METHODS`.
    request : Message
        Of the method's request class, with its request id.
    timeout_s : float
        Longest wait for one instance's answer.

    Returns
    -------
    Ok or Err
        The response, or a `Failure`.

    Notes
    -----
    The next instance is asked where the one before could not be reached or refused,
    up to two refusals. A call that changes something and whose answer was lost is
    repeated with the same request id only, for a few rounds.
    """
    request_id = getattr(request, "request_id", "")
    try:
        return _call_in_rounds(context, access, method, request, timeout_s)
    except KeyboardInterrupt:
        if METHODS[method].is_mutating:
            note = f"{method} may have been done; repeat with --request_id={request_id}"
            print(f"\nInterrupted: {note}", file=context.err)
        raise


def _call_in_rounds(
    context: Context, access: Access, method: str, request: Message, timeout_s: float
) -> Result[Any, Failure]:
    changes = METHODS[method].is_mutating
    request_id = getattr(request, "request_id", "")
    lost: Failure | None = None
    failures: list[Failure] = []
    for number in range(MAX_ROUNDS):
        if number:
            context.sleep(ROUND_PAUSE_S)
        for address in access.addresses:
            answer = _send(context, access, address, method, request, timeout_s)
            if isinstance(answer, Ok):
                return answer
            failure = answer.err_value._replace(request_id=request_id)
            if _is_final(failure, lost is not None):
                return Err(failure)
            failures.append(failure)
            if lost is None and _has_enough_refusals(failures):
                return Err(failure)
            if changes and failure.exit_code == ExitCode.UNKNOWN:
                lost = failure
                note = "no answer; repeating with the same request id"
                print(f"{address}: {note}", file=context.err)
        if lost is None:
            break
    return Err(lost or _pick_failure(failures))


def _is_final(failure: Failure, was_lost: bool) -> bool:
    # An answer was lost and the next instance refuses: "nothing was done" is then
    # true of the second sending only. Told as it stands, a script would send the
    # work under a new id and it would run twice. After a loss only the conflict of
    # the same request id settles the matter; anything else is still unknown.
    if was_lost:
        return failure.exit_code == ExitCode.CONFLICT
    return failure.exit_code not in RETRYABLE_EXIT_CODES


def _has_enough_refusals(failures: list[Failure]) -> bool:
    """Return whether asking on is idle: what two refuse is not their own matter."""
    codes = [failure.exit_code for failure in failures]
    return codes.count(ExitCode.REFUSED) >= MAX_REFUSALS


def _pick_failure(failures: list[Failure]) -> Failure:
    """Return the failure that tells the operator most."""
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
    answer = context.send(address, path, body, headers, timeout_s)
    if isinstance(answer, Err):
        return Err(_convert_call_error(method, answer.err_value))
    return _convert_response(method, address, answer.ok_value)


def _convert_call_error(method: str, error: CallError) -> Failure:
    told = ApiError(
        ErrorCode.UNKNOWN, describe_error(error), step=error.step, peer=error.peer
    )
    if error.kind == ErrorKind.UNREACHABLE or not METHODS[method].is_mutating:
        return Failure(ExitCode.UNREACHABLE, told._replace(code=ErrorCode.REFUSED))
    return Failure(ExitCode.UNKNOWN, told)


def _convert_response(
    method: str, address: str, answer: HttpResponse
) -> Result[Any, Failure]:
    if answer.status == STATUS_OK:
        try:
            response = METHODS[method].response()
            response.ParseFromString(answer.body)
            return Ok(response)
        except DecodeError:
            return Err(_convert_unreadable_response(method, address, answer))
    error = decode_error(answer.body)
    if error is None:
        return Err(_convert_unreadable_response(method, address, answer))
    return Err(Failure(EXIT_CODE_BY_ERROR[error.code], error))


def _convert_unreadable_response(
    method: str, address: str, answer: HttpResponse
) -> Failure:
    """Judge an answer that is none of the schema's, say of something in between."""
    detail = f"status {answer.status} with a body that is not of the schema"
    if METHODS[method].is_mutating:
        return Failure(
            ExitCode.UNKNOWN, ApiError(ErrorCode.UNKNOWN, detail, peer=address)
        )
    return Failure(
        ExitCode.INTERNAL, ApiError(ErrorCode.INTERNAL, detail, peer=address)
    )
