"""The package's error values.

Errors are values, carried in `result.Err`. Each names the step and the peer at which
it arose, so that a single log line locates the failure.
"""

from typing import NamedTuple

__all__ = ["CallError", "ErrorKind", "describe_error"]


class ErrorKind:
    """Names of the kinds of `CallError`.

    Notes
    -----
    ``UNREACHABLE``
        The request certainly did not reach the peer: there was no connection.
    ``REFUSED``
        The peer responded that it did not act; `CallError.retry_after_s` may say
        when to retry.
    ``TOO_LARGE``
        The peer did not act because of the size of the request, and will not act on a
        repeat either.
    ``CONFLICT``
        The peer holds a newer version, epoch or fencing token than the one sent.
    ``OTHER_INCARNATION``
        The addressed process has ended; another one responded at its address.
    ``MALFORMED``
        The peer responded, but the response can't be parsed or belongs to another
        call.
    ``LOST``
        The request may have reached the peer; whether the peer acted is unknown.
    """

    UNREACHABLE = "unreachable"
    REFUSED = "refused"
    TOO_LARGE = "too large"
    CONFLICT = "conflict"
    OTHER_INCARNATION = "other life"
    MALFORMED = "malformed"
    LOST = "lost"


class CallError(NamedTuple):
    """A failed step against a peer.

    Attributes
    ----------
    kind : str
        One of the names in `ErrorKind`.
    step : str
        What was being done, for example ``"log.append"``.
    peer : str
        Address or identifier of the other side.
    detail : str
        Free text for human readers.
    retry_after_s : float
        Seconds to wait before a retry; zero if the peer did not specify any.
    received_bytes : int
        Bytes of the response that arrived before the failure.
    """

    kind: str
    step: str
    peer: str
    detail: str = ""
    retry_after_s: float = 0.0
    received_bytes: int = 0


def describe_error(error: CallError) -> str:
    """Return `error` as one human-readable line.

    Parameters
    ----------
    error : CallError
        The error to describe.

    Returns
    -------
    str
        The step, the peer, the kind and the detail.

    Examples
    --------
    >>> describe_error(CallError("lost", "log.append", "127.0.0.1:7", "no answer"))
    'log.append at 127.0.0.1:7: lost (no answer)'
    """
    detail = f" ({error.detail})" if error.detail else ""
    return f"{error.step} at {error.peer}: {error.kind}{detail}"
