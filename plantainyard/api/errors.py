"""Errors of operators' calls, and the HTTP status of each."""

import json
import math
from typing import Any, NamedTuple

from plantainyard.errors import CallError, ErrorKind

__all__ = [
    "STATUS_OF_CODE",
    "ApiError",
    "ErrorCode",
    "build_api_error",
    "decode_error",
    "encode_error",
]

NO_VERSION = -1


class ErrorCode:
    """Names of the kinds of `ApiError`; the schema's head says what each promises."""

    MALFORMED = "malformed"
    UNAUTHORIZED = "unauthorized"
    NOT_FOUND = "not_found"
    CONFLICT = "conflict"
    TOO_LARGE = "too_large"
    INFEASIBLE = "infeasible"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    INTERNAL = "internal"


STATUS_OF_CODE = {
    ErrorCode.MALFORMED: 400,
    ErrorCode.UNAUTHORIZED: 401,
    ErrorCode.NOT_FOUND: 404,
    ErrorCode.CONFLICT: 409,
    ErrorCode.TOO_LARGE: 413,
    ErrorCode.INFEASIBLE: 422,
    ErrorCode.INTERNAL: 500,
    ErrorCode.REFUSED: 503,
    ErrorCode.UNKNOWN: 504,
}

KIND_TO_CODE = {
    ErrorKind.UNREACHABLE: ErrorCode.REFUSED,
    ErrorKind.REFUSED: ErrorCode.REFUSED,
    ErrorKind.CONFLICT: ErrorCode.CONFLICT,
    ErrorKind.OTHER_INCARNATION: ErrorCode.REFUSED,
    ErrorKind.MALFORMED: ErrorCode.UNKNOWN,
    ErrorKind.LOST: ErrorCode.UNKNOWN,
}


class ApiError(NamedTuple):
    """Why an operator's call has no answer.

    Attributes
    ----------
    code : str
        One of the names in `ErrorCode`.
    detail : str
        Free text for people.
    field : str
        Path of the field that is at fault, such as ``size.cores``.
    retry_after_s : float
        Seconds after which to come back; zero where no time is named.
    winning_version : int
        For a conflict the newer version, else -1.
    step, peer : str
        Where the error arose, if at another process.
    """

    code: str
    detail: str = ""
    field: str = ""
    retry_after_s: float = 0.0
    winning_version: int = NO_VERSION
    step: str = ""
    peer: str = ""


def build_api_error(error: CallError) -> ApiError:
    """Return what an operator is told when the call `error` was the cause.

    Notes
    -----
    Only a call that provably had no effect becomes ``refused``; everything else is
    ``unknown``, which the operator settles by repeating with the same request id.
    """
    return ApiError(
        KIND_TO_CODE[error.kind],
        error.detail,
        retry_after_s=error.retry_after_s,
        step=error.step,
        peer=error.peer,
    )


def encode_error(error: ApiError) -> bytes:
    """Return `error` as the JSON body of an answer, empty fields left out."""
    default = ApiError(error.code)
    fields = {
        name: value
        for name, value in error._asdict().items()
        if name == "code" or value != getattr(default, name)
    }
    return json.dumps(fields).encode()


def decode_error(body: bytes) -> ApiError | None:
    """Return the error that `encode_error` wrote, or None for any other body."""
    try:
        data = json.loads(body)
    except (ValueError, RecursionError):
        return None
    if not isinstance(data, dict) or data.get("code") not in STATUS_OF_CODE:
        return None
    known = {name: value for name, value in data.items() if name in ApiError._fields}
    return ApiError(**known) if _has_right_types(known) else None


def _has_right_types(known: dict[str, Any]) -> bool:
    retry_after_s = known.get("retry_after_s", 0.0)
    version = known.get("winning_version", NO_VERSION)
    texts = [
        value
        for name, value in known.items()
        if name not in ("retry_after_s", "winning_version")
    ]
    return (
        isinstance(retry_after_s, int | float)
        and math.isfinite(retry_after_s)
        and isinstance(version, int)
        and all(isinstance(text, str) for text in texts)
    )
