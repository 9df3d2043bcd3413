"""Errors of operators' calls, their HTTP statuses and their JSON encoding."""

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
"""Value of `ApiError.winning_version` without a conflict."""


class ErrorCode:
    """Codes of `ApiError`; the head of the schema says what each one guarantees."""

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
    """The reason why an operator's call failed.

    Attributes
    ----------
    code : str
        One of the values in `ErrorCode`.
    detail : str
        Human-readable description.
    field : str
        Path of the invalid field, such as ``size.cores``.
    retry_after_s : float
        Seconds after which to retry, or zero if unspecified.
    winning_version : int
        The newer version in a conflict, otherwise -1.
    step, peer : str
        The step and the peer at which the error arose, if in another process.
    """

    code: str
    detail: str = ""
    field: str = ""
    retry_after_s: float = 0.0
    winning_version: int = NO_VERSION
    step: str = ""
    peer: str = ""


def build_api_error(error: CallError) -> ApiError:
    """Return the error to report to an operator when another call failed with `error`.

    Notes
    -----
    Only a call that provably had no effect is reported as ``refused`` or ``conflict``.
    All others are ``unknown``, which the operator resolves by repeating the call with
    the same request id.
    """
    return ApiError(
        KIND_TO_CODE[error.kind],
        error.detail,
        retry_after_s=error.retry_after_s,
        step=error.step,
        peer=error.peer,
    )


def encode_error(error: ApiError) -> bytes:
    """Return `error` as the JSON body of a response, without empty fields."""
    default = ApiError(error.code)
    fields = {
        name: value
        for name, value in error._asdict().items()
        if name == "code" or value != getattr(default, name)
    }
    return json.dumps(fields).encode()


def decode_error(body: bytes) -> ApiError | None:
    """Return the error that `encode_error` encoded, or None for any other body."""
    try:
        data = json.loads(body)
    except (ValueError, RecursionError):
        return None
    if not isinstance(data, dict):
        return None
    code = data.get("code")
    if not isinstance(code, str) or code not in STATUS_OF_CODE:
        return None
    fields = {name: value for name, value in data.items() if name in ApiError._fields}
    return ApiError(**fields) if _has_valid_types(fields) else None


def _has_valid_types(fields: dict[str, Any]) -> bool:
    retry_after_s = fields.get("retry_after_s", 0.0)
    version = fields.get("winning_version", NO_VERSION)
    texts = [
        value
        for name, value in fields.items()
        if name not in ("retry_after_s", "winning_version")
    ]
    return (
        isinstance(retry_after_s, int | float)
        and math.isfinite(retry_after_s)
        and isinstance(version, int)
        and all(isinstance(text, str) for text in texts)
    )
